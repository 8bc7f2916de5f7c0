// Package nodecmd has the command line of trefoildeck-node.
//
// # Usage
//
//	os.Exit(nodecmd.Main(os.Args[1:]))
package nodecmd

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"trefoildeck/coordinator"
	"trefoildeck/internal/jsonlog"
	"trefoildeck/platform"
	"trefoildeck/settings"
	"trefoildeck/sidecar"

	"github.com/google/subcommands"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// envSettingsFile is the environment variable with the default of -settings.
const envSettingsFile = "TREFOILDECK_NODE_FILE"

// gcPercent is the heap growth between two collections. It is below the default of
// 100, since peak memory costs more here than collecting a small heap more often.
const gcPercent = 50

// memoryLimitPercent is the share of the process's memory that is the soft memory
// limit of the Go runtime. The rest is for memory that the runtime does not count: the
// program itself, and bytes that were received and not read, up to a third of the memory
// (docs/design/client-limits.md).
const memoryLimitPercent = 60

// program is a subcommand that runs a process until SIGINT or SIGTERM.
type program struct {
	name, synopsis string
	file           string
	run            func(ctx context.Context, file string, s settings.Node, log *zap.Logger) error
}

// Main runs the command line and returns the exit status.
func Main(args []string) int {
	flags := flag.NewFlagSet("trefoildeck-node", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "trefoildeck-node")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(cmdEntry(), "processes")
	commander.Register(cmdAgent(), "processes")
	commander.Register(cmdCheckConfiguration(), "configuration")

	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}

	return int(commander.Execute(context.Background()))
}

// `trefoildeck-node entry [-settings FILE]`
func cmdEntry() *program {
	return &program{
		name:     "entry",
		synopsis: "Run an entry, the process that serves callers and schedules tasks.",
		run: func(ctx context.Context, file string, s settings.Node, log *zap.Logger) error {
			if err := s.CheckEntry(file); err != nil {
				return err
			}

			return coordinator.New(s, platform.NewStore(s.Store.Address), log).Run(ctx)
		},
	}
}

// `trefoildeck-node agent [-settings FILE]`
func cmdAgent() *program {
	return &program{
		name:     "agent",
		synopsis: "Run an agent, the process beside a worker.",
		run: func(ctx context.Context, file string, s settings.Node, log *zap.Logger) error {
			if err := s.CheckAgent(file); err != nil {
				return err
			}

			return sidecar.New(s, platform.NewStore(s.Store.Address), log).Run(ctx)
		},
	}
}

// checkSettingsOnHangup loads the settings again at each SIGHUP and logs whether they
// are valid. Changed settings take effect only when the process restarts.
func (p *program) checkSettingsOnHangup(ctx context.Context, log *zap.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)

	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}

		_, err := settings.LoadNode(p.file)
		if err != nil {
			log.Warn("SettingsInvalid", jsonlog.Error(err))

			continue
		}

		log.Info("SettingsChecked", zap.String("Effect", "at the next start"))
	}
}

// Name implements subcommands.Command.
func (p *program) Name() string { return p.name }

// Synopsis implements subcommands.Command.
func (p *program) Synopsis() string { return p.synopsis }

// Usage implements subcommands.Command.
func (p *program) Usage() string {
	return "usage: trefoildeck-node " + p.name + " [-settings FILE]\n" + p.synopsis + "\n"
}

// SetFlags implements subcommands.Command.
func (p *program) SetFlags(f *flag.FlagSet) {
	f.StringVar(&p.file, "settings", os.Getenv(envSettingsFile), "settings file")
}

// Execute implements subcommands.Command.
func (p *program) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if p.file == "" || f.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "%s", p.Usage())

		return subcommands.ExitUsageError
	}

	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()

	debug.SetGCPercent(gcPercent)

	log, flush := jsonlog.New(os.Stdout, zapcore.InfoLevel)
	defer flush()

	s, err := settings.LoadNode(p.file)
	if err == nil {
		log = log.With(zap.String("Process", s.Node.Name))
		log.Info("Started", zap.String("Program", p.name), zap.String("DataCentre", s.Node.DataCentre))
		debug.SetMemoryLimit(s.Node.MemoryMB * memoryLimitPercent / 100 << 20)

		go p.checkSettingsOnHangup(ctx, log)
		err = p.run(ctx, p.file, s, log)
	}

	if err != nil {
		log.Error("Stopped", jsonlog.Error(err))

		return subcommands.ExitFailure
	}

	log.Info("Stopped")

	return subcommands.ExitSuccess
}
