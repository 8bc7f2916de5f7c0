package cmd

import (
	"context"
	"fmt"
	"io"

	"trefoildeck/core/resource"
	"trefoildeck/io/declaration"
)

// `trefoildeck apply FILE|DIR…`
func cmdApply() *command {
	var c client

	return &command{
		name:     "apply",
		synopsis: "Create or change resources as declared; safe to repeat.",
		usage:    "apply [-entry URL] [-token-file FILE] [-json] FILE|DIR…",
		flags:    c.flags,
		run: func(ctx context.Context, args []string, out io.Writer) error {
			list, err := readDeclarations(args)
			if err != nil {
				return err
			}

			o, err := c.dial()
			if err != nil {
				return err
			}

			results, err := o.Apply(ctx, list, false)
			if err != nil {
				return fmt.Errorf("apply: %w", err)
			}

			if c.json {
				return printJSON(out, results)
			}

			printResults(out, results)

			return nil
		},
	}
}

// readDeclarations reads declarations and checks each resource on its own, without
// its references to others.
func readDeclarations(paths []string) ([]resource.Resource, error) {
	if len(paths) == 0 {
		return nil, fmt.Errorf("FILE or DIR expected: %w", errUsage)
	}

	var p resource.Problems

	list, err := declaration.ReadPaths(paths, &p)
	if err != nil {
		return nil, fmt.Errorf("read declarations: %w", err)
	}

	for _, r := range list {
		resource.CheckOne(r, &p)
	}

	return list, p.Err()
}
