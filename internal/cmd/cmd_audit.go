package cmd

import (
	"context"
	"fmt"
	"io"
	"time"

	"trefoildeck/core/resource"
)

// `trefoildeck audit [KIND NAME]`
func cmdAudit() *command {
	var c client

	return &command{
		name:     "audit",
		synopsis: "Show who changed which resource when, from what to what.",
		usage:    "audit [-entry URL] [-token-file FILE] [-json] [KIND NAME]",
		flags:    c.flags,
		run: func(ctx context.Context, args []string, out io.Writer) error {
			var id resource.ID

			if len(args) > 0 {
				var err error
				if id, err = parseID(args, true); err != nil {
					return err
				}
			}

			o, err := c.dial()
			if err != nil {
				return err
			}

			list, err := o.Audit(ctx, id)
			if err != nil {
				return fmt.Errorf("audit: %w", err)
			}

			if c.json {
				return printJSON(out, list)
			}

			for _, a := range list {
				fmt.Fprintf(out, "%d %s %s %s %s\n", a.Revision, a.Time.Format(time.RFC3339), a.Operator, a.Kind, a.Name)

				if len(a.From) > 0 {
					fmt.Fprintf(out, "  - %s\n", a.From)
				}

				if len(a.To) > 0 {
					fmt.Fprintf(out, "  + %s\n", a.To)
				}
			}

			return nil
		},
	}
}
