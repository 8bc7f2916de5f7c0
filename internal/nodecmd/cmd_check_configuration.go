package nodecmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math"
	"os"

	"trefoildeck/core/config"
	"trefoildeck/core/configcheck"
	"trefoildeck/core/resource"
	"trefoildeck/io/intake"
	"trefoildeck/platform"
	"trefoildeck/settings"

	"github.com/google/subcommands"
)

// configurationCheck is the subcommand that checks a configuration before it is sent.
type configurationCheck struct {
	inForce  string
	settings string
	// out receives the differences and the result, and problems the problems and warnings.
	out      io.Writer
	problems io.Writer
}

// `trefoildeck-node check-configuration [-in-force FILE] [-settings FILE] FILE`
func cmdCheckConfiguration() *configurationCheck {
	return &configurationCheck{
		out:      os.Stdout,
		problems: os.Stderr,
	}
}

// Name implements subcommands.Command.
func (c *configurationCheck) Name() string { return "check-configuration" }

// Synopsis implements subcommands.Command.
func (c *configurationCheck) Synopsis() string {
	return "Check a configuration before it is sent; exit with status 1 if there are problems."
}

// Usage implements subcommands.Command.
func (c *configurationCheck) Usage() string {
	return "usage: trefoildeck-node " + c.Name() + " [-in-force FILE] [-settings FILE] FILE\n" + c.Synopsis() + "\n"
}

// SetFlags implements subcommands.Command.
func (c *configurationCheck) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.inForce, "in-force", "", "file with the configuration in force, to print the differences")
	f.StringVar(&c.settings, "settings", "", "settings file of a process, to compare its limits")
}

// Execute implements subcommands.Command.
func (c *configurationCheck) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || f.Arg(0) == "" {
		fmt.Fprint(c.problems, c.Usage())

		return subcommands.ExitUsageError
	}

	if err := c.run(f.Arg(0)); err != nil {
		fmt.Fprintln(c.problems, err)

		return subcommands.ExitFailure
	}

	fmt.Fprintln(c.out, "ok")

	return subcommands.ExitSuccess
}

// run checks a file. The error has all problems, also those of the files that it is compared with.
func (c *configurationCheck) run(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}

	inForce, inForceErr := c.loadInForce()
	process, processErr := c.loadProcess()
	source := platform.ReadConfiguration(file, data)
	report := configcheck.Check(source, configcheck.Context{
		InForce:     inForce,
		InForceFile: c.inForce,
		Process:     process,
	})

	if inForce != nil && source.Configuration != nil {
		for _, d := range configcheck.Differences(inForce, source.Configuration, source.Names) {
			fmt.Fprintln(c.out, d)
		}
	}

	for _, w := range report.Warnings.List {
		fmt.Fprintf(c.problems, "warning: %s\n", w)
	}

	return errors.Join(inForceErr, processErr, report.Problems.Err())
}

// loadInForce reads the configuration in force as the processes do. It returns nil if there is no
// file for it.
func (c *configurationCheck) loadInForce() (*config.Configuration, error) {
	if c.inForce == "" {
		return nil, nil
	}

	data, err := os.ReadFile(c.inForce)
	if err != nil {
		return nil, fmt.Errorf("read configuration in force: %w", err)
	}

	p, err := platform.ParseConfiguration(data)
	if err != nil {
		problems := resource.Problems{
			File:    c.inForce,
			Section: "configuration",
		}
		problems.Add("", err.Error(), "a configuration that the processes can decode")

		return nil, problems.Err()
	}

	return p, nil
}

// loadProcess reads the limits of a process. It returns nil if there is no file with its settings.
func (c *configurationCheck) loadProcess() (*configcheck.Process, error) {
	if c.settings == "" {
		return nil, nil
	}

	s, err := settings.LoadNode(c.settings)
	if err != nil {
		return nil, err
	}

	p := &configcheck.Process{
		File:             c.settings,
		RowBytes:         int64(s.Store.RowLimit()),
		DefaultBodyBytes: platform.DefaultBodyBytes,
	}

	// Agents serve no callers.
	if s.Node.CallerAddress.IsValid() {
		// The memory doesn't depend on the descriptors.
		l := s.CallerLimits(math.MaxInt32)
		p.HeaderBytes = intake.MaxHeaderBytes
		p.BodyBytes = l.LargestBody()
		p.HeaderTime = l.HeaderTime
		p.IdleTime = l.IdleTime
	}

	return p, nil
}
