package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"trefoildeck/core/resource"
	"trefoildeck/io/operator"
)

// `trefoildeck get KIND [NAME]`
func cmdGet() *command {
	var c client

	return &command{
		name:     "get",
		synopsis: "List resources and their state.",
		usage:    "get [-entry URL] [-token-file FILE] [-json] KIND [NAME]",
		flags:    c.flags,
		run: func(ctx context.Context, args []string, out io.Writer) error {
			id, err := parseID(args, true)
			if err != nil {
				return err
			}

			o, err := c.dial()
			if err != nil {
				return err
			}

			views, err := fetch(ctx, o, id)
			if err != nil {
				return fmt.Errorf("get: %w", err)
			}

			if c.json {
				return printJSON(out, views)
			}

			return printViews(out, views)
		},
	}
}

func fetch(ctx context.Context, o *operator.Client, id resource.ID) ([]operator.View, error) {
	if id.Name == "" {
		return o.List(ctx, id.Kind)
	}

	v, err := o.Get(ctx, id)

	return []operator.View{v}, err
}

func printViews(out io.Writer, views []operator.View) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tREVISION\tSTATE")

	for _, v := range views {
		fmt.Fprintf(w, "%s\t%d\t%s\n", v.Name, v.Revision, summary(v))
	}

	if err := w.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}

	return nil
}

// summary returns a resource's state in one line.
func summary(v operator.View) string {
	var s struct {
		State      string
		Reason     string
		Pending    int
		Assigned   int
		Finished   int
		Failed     int
		Out        *bool
		Holder     string
		Endpoints  *int
		InUse      int
		Slots      int
		Latency    string
		DataCentre string
		InForce    map[string]struct{ Revision int64 }
	}

	if len(v.Status) == 0 || json.Unmarshal(v.Status, &s) != nil {
		return "-"
	}

	switch {
	case v.Kind == resource.KindJob:
		return fmt.Sprintf("%s: %d pending, %d assigned, %d finished, %d failed %s", s.State, s.Pending, s.Assigned, s.Finished, s.Failed, s.Reason)
	case s.Out != nil && *s.Out:
		return "Out, scheduled by " + s.Holder
	case s.Out != nil:
		return "In, scheduled by " + s.Holder
	case s.Endpoints != nil:
		return fmt.Sprintf("%d endpoints, %d of %d slots in use", *s.Endpoints, s.InUse, s.Slots)
	case v.Kind == resource.KindConfiguration:
		return fmt.Sprintf("in force in %d data centres", countInForce(s.InForce, v.Revision))
	case s.State != "":
		return s.State + " in " + s.DataCentre
	default:
		return string(v.Status)
	}
}

func countInForce(inForce map[string]struct{ Revision int64 }, revision int64) int {
	n := 0

	for _, f := range inForce {
		if f.Revision >= revision {
			n++
		}
	}

	return n
}
