package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"

	"trefoildeck/core/resource"
	"trefoildeck/io/operator"
)

// `trefoildeck out DATACENTRE`
func cmdOut() *command {
	var (
		c      client
		reason string
	)

	return &command{
		name:     "out",
		synopsis: "Take a data centre out, so that nothing starts there any more.",
		usage:    "out [-entry URL] [-token-file FILE] [-json] [-reason TEXT] DATACENTRE",
		flags: func(f *flag.FlagSet) {
			c.flags(f)
			f.StringVar(&reason, "reason", "", "reason to show to other operators")
		},
		run: func(ctx context.Context, args []string, out io.Writer) error {
			return c.changeOutage(ctx, args, out, func(o *operator.Client, id resource.ID) (operator.ResultView, error) {
				return o.Put(ctx, id, &resource.Outage{Reason: reason})
			})
		},
	}
}

// changeOutage declares or deletes the outage of a data centre.
func (c *client) changeOutage(
	_ context.Context, args []string, out io.Writer,
	change func(*operator.Client, resource.ID) (operator.ResultView, error),
) error {
	if len(args) != 1 {
		return fmt.Errorf("one DATACENTRE expected: %w", errUsage)
	}

	o, err := c.dial()
	if err != nil {
		return err
	}

	r, err := change(o, resource.ID{
		Kind: resource.KindOutage,
		Name: args[0],
	})
	if err != nil {
		return fmt.Errorf("change data centre %s: %w", args[0], err)
	}

	return c.printResult(out, r)
}
