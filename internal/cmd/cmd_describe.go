package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// `trefoildeck describe KIND NAME`
func cmdDescribe() *command {
	var c client

	return &command{
		name:     "describe",
		synopsis: "Show the declaration and the observed state of a resource.",
		usage:    "describe [-entry URL] [-token-file FILE] [-json] KIND NAME",
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

			v, err := o.Get(ctx, id)
			if err != nil {
				return fmt.Errorf("describe: %w", err)
			}

			if c.json {
				return printJSON(out, v)
			}

			fmt.Fprintf(out, "Kind: %s\nName: %s\nRevision: %d\n", v.Kind, v.Name, v.Revision)
			fmt.Fprintln(out, "Declared:")
			printValue(out, decodeAny(v.Spec), 1)
			fmt.Fprintln(out, "Observed:")
			printValue(out, decodeAny(v.Status), 1)

			return nil
		},
	}
}

func decodeAny(data json.RawMessage) any {
	var v any
	if len(data) == 0 || json.Unmarshal(data, &v) != nil {
		return nil
	}

	return v
}

// printValue prints a JSON value as indented lines.
func printValue(out io.Writer, v any, depth int) {
	indent := strings.Repeat("  ", depth)

	switch t := v.(type) {
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(t)) {
			printKey(out, indent, k, t[k], depth)
		}
	case []any:
		for i, e := range t {
			printKey(out, indent, fmt.Sprint(i), e, depth)
		}
	case nil:
		fmt.Fprintf(out, "%snothing\n", indent)
	default:
		fmt.Fprintf(out, "%s%v\n", indent, t)
	}
}

func printKey(out io.Writer, indent, key string, v any, depth int) {
	switch v.(type) {
	case map[string]any, []any:
		fmt.Fprintf(out, "%s%s:\n", indent, key)
		printValue(out, v, depth+1)
	default:
		fmt.Fprintf(out, "%s%s: %v\n", indent, key, v)
	}
}
