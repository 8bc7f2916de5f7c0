package cmd

import (
	"context"
	"fmt"
	"io"

	"trefoildeck/io/operator"
)

// `trefoildeck delete KIND NAME`
func cmdDelete() *command {
	var c client

	return &command{
		name:     "delete",
		synopsis: "Delete a resource; deleting a job stops its tasks.",
		usage:    "delete [-entry URL] [-token-file FILE] [-json] KIND NAME",
		flags:    c.flags,
		run: func(ctx context.Context, args []string, out io.Writer) error {
			id, err := parseID(args, false)
			if err != nil {
				return err
			}

			o, err := c.dial()
			if err != nil {
				return err
			}

			r, err := o.Delete(ctx, id)
			if err != nil {
				return fmt.Errorf("delete: %w", err)
			}

			return c.printResult(out, r)
		},
	}
}

func (c *client) printResult(out io.Writer, r operator.ResultView) error {
	if c.json {
		return printJSON(out, r)
	}

	printResults(out, []operator.ResultView{r})

	return nil
}
