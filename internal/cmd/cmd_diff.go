package cmd

import (
	"context"
	"fmt"
	"io"

	"trefoildeck/io/operator"
)

// `trefoildeck diff FILE|DIR…`
func cmdDiff() *command {
	var c client

	return &command{
		name:     "diff",
		synopsis: "Show what apply would change; exit with status 1 if there are changes.",
		usage:    "diff [-entry URL] [-token-file FILE] [-json] FILE|DIR…",
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

			results, err := o.Apply(ctx, list, true)
			if err != nil {
				return fmt.Errorf("diff: %w", err)
			}

			return printDiff(out, changedOnly(results), c.json)
		},
	}
}

func changedOnly(results []operator.ResultView) []operator.ResultView {
	var changed []operator.ResultView

	for _, r := range results {
		if r.Action != operator.ActionUnchanged {
			changed = append(changed, r)
		}
	}

	return changed
}

func printDiff(out io.Writer, changed []operator.ResultView, asJSON bool) error {
	if asJSON {
		if err := printJSON(out, changed); err != nil {
			return err
		}
	}

	if len(changed) == 0 {
		return nil
	}

	if !asJSON {
		for _, r := range changed {
			fmt.Fprintf(out, "%s %s would be %s\n", r.Kind, r.Name, r.Action)

			if len(r.From) > 0 {
				fmt.Fprintf(out, "- %s\n", r.From)
			}

			fmt.Fprintf(out, "+ %s\n", r.To)
		}
	}

	return errDifferent
}
