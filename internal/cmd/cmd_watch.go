package cmd

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"trefoildeck/io/operator"

	"golang.org/x/sync/errgroup"
)

// `trefoildeck watch KIND [NAME]`
func cmdWatch() *command {
	var c client

	return &command{
		name:     "watch",
		synopsis: "Print state changes as they happen, until interrupted.",
		usage:    "watch [-entry URL] [-token-file FILE] [-json] KIND [NAME]",
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

			if c.json {
				return o.Watch(ctx, id, out)
			}

			reader, writer := io.Pipe()
			group, ctx := errgroup.WithContext(ctx)

			group.Go(func() error {
				err := o.Watch(ctx, id, writer)
				writer.CloseWithError(io.EOF)

				return err
			})
			group.Go(func() error { return printChanges(out, reader) })

			return group.Wait()
		},
	}
}

func printChanges(out io.Writer, in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, 16<<20)

	for scanner.Scan() {
		var v struct {
			operator.View
			Deleted bool
		}
		if err := json.Unmarshal(scanner.Bytes(), &v); err != nil {
			return fmt.Errorf("read change: %w", err)
		}

		state := "Deleted"
		if !v.Deleted {
			state = summary(v.View)
		}

		fmt.Fprintf(out, "%s %s %s %s\n", time.Now().Format(time.TimeOnly), v.Kind, v.Name, state)
	}

	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read changes: %w", err)
	}

	return nil
}
