package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"

	"trefoildeck/entry"
	"trefoildeck/settings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// `trefoildeck entry -settings FILE`
func cmdEntry() *command {
	var p processFlags

	return &command{
		name:     "entry",
		synopsis: "Run an entry, the process that serves callers and operators and schedules tasks.",
		usage:    "entry -settings FILE [-log-level LEVEL]",
		flags:    p.flags,
		run: func(ctx context.Context, args []string, _ io.Writer) error {
			log, err := p.newLog(args)
			if err != nil {
				return err
			}

			s, err := settings.LoadEntry(p.settings)
			if err != nil {
				return err
			}

			t, err := entry.DialTable(s.Table)
			if err != nil {
				return err
			}

			e, err := entry.New(s, t, log)
			if err != nil {
				return err
			}

			return e.Run(ctx)
		},
	}
}

// processFlags has the flags shared by the commands that run a process.
type processFlags struct {
	settings string
	level    string
}

func (p *processFlags) flags(f *flag.FlagSet) {
	f.StringVar(&p.settings, "settings", "", "settings file")
	f.StringVar(&p.level, "log-level", "info", "log level: debug, info, warn or error")
}

// newLog checks the flags and returns a logger.
func (p *processFlags) newLog(args []string) (*zap.Logger, error) {
	if p.settings == "" || len(args) > 0 {
		return nil, fmt.Errorf("-settings FILE and no arguments expected: %w", errUsage)
	}

	level, err := zapcore.ParseLevel(p.level)
	if err != nil {
		return nil, fmt.Errorf("unknown -log-level %s: %w", p.level, errUsage)
	}

	return newLog(level)
}

// newLog returns a logger that writes JSON lines to standard error.
func newLog(level zapcore.Level) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(level)
	c.Sampling = nil
	c.DisableStacktrace = true
	c.DisableCaller = true
	c.EncoderConfig.TimeKey = "Time"
	c.EncoderConfig.LevelKey = "Level"
	c.EncoderConfig.MessageKey = "Event"
	c.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder

	log, err := c.Build()
	if err != nil {
		return nil, fmt.Errorf("build logger: %w", err)
	}

	return log, nil
}
