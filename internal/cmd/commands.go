// Package cmd implements the command line, with one file for each subcommand.
//
// # Usage
//
//	os.Exit(cmd.Main(version, os.Args[1:]))
package cmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
)

// errUsage is returned for an invalid command line; the command's usage is printed.
var errUsage = eris.New("invalid usage")

// errDifferent makes a command exit with status 1 without a message.
var errDifferent = eris.New("declared resources differ")

// command is a subcommand.
type command struct {
	name     string
	synopsis string
	usage    string
	// flags declares the command's flags, if it has any.
	flags func(*flag.FlagSet)
	run   func(ctx context.Context, args []string, out io.Writer) error
}

// commands lists every subcommand by group.
func commands(version string) map[string][]*command {
	return map[string][]*command{
		"programs": {cmdEntry(), cmdAgent(), cmdStandin(), cmdDemo()},
		"resources": {
			cmdApply(), cmdDiff(), cmdGet(), cmdDescribe(), cmdWatch(), cmdDelete(),
			cmdOut(), cmdBack(), cmdAudit(), cmdCheck(),
		},
		"other": {cmdVersion(version)},
	}
}

// Main runs the command line and returns the exit status: 0 for success, 1 for
// a failure, 2 for invalid usage.
func Main(version string, args []string) int {
	flags := flag.NewFlagSet("trefoildeck", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "trefoildeck")
	commander.Register(commander.HelpCommand(), "")

	for group, list := range commands(version) {
		for _, c := range list {
			commander.Register(c, group)
		}
	}

	if len(args) == 2 && slices.Contains([]string{"-h", "-help", "--help"}, args[1]) {
		// A request for help exits with status 0.
		args = []string{commander.HelpCommand().Name(), args[0]}
	}

	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return int(subcommands.ExitSuccess)
		}

		return int(subcommands.ExitUsageError)
	}

	return int(commander.Execute(context.Background()))
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string { return "usage: trefoildeck " + c.usage + "\n" + c.synopsis + "\n" }

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := withSignals(ctx)
	defer stop()

	err := c.run(ctx, f.Args(), os.Stdout)

	switch {
	case err == nil:
		return subcommands.ExitSuccess
	case errors.Is(err, errDifferent):
		return subcommands.ExitFailure
	case errors.Is(err, errUsage):
		fmt.Fprintf(os.Stderr, "trefoildeck %s: %v\n%s", c.name, err, c.Usage())

		return subcommands.ExitUsageError
	default:
		fmt.Fprintf(os.Stderr, "trefoildeck %s: %v\n", c.name, err)

		return subcommands.ExitFailure
	}
}

// withSignals returns a context that ends at the first SIGINT or SIGTERM. A second
// signal ends the process at once.
func withSignals(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)

	go func() {
		<-ctx.Done()
		stop()
	}()

	return ctx, stop
}
