package cmd

import (
	"context"
	"io"

	"trefoildeck/core/resource"
	"trefoildeck/io/operator"
)

// `trefoildeck back DATACENTRE`
func cmdBack() *command {
	var c client

	return &command{
		name:     "back",
		synopsis: "Bring back a data centre that was taken out.",
		usage:    "back [-entry URL] [-token-file FILE] [-json] DATACENTRE",
		flags:    c.flags,
		run: func(ctx context.Context, args []string, out io.Writer) error {
			return c.changeOutage(ctx, args, out, func(o *operator.Client, id resource.ID) (operator.ResultView, error) {
				return o.Delete(ctx, id)
			})
		},
	}
}
