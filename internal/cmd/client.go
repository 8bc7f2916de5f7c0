package cmd

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"trefoildeck/core/resource"
	"trefoildeck/io/operator"
	"trefoildeck/settings"
)

// Environment variables with the defaults of the operator commands' flags.
const (
	envEntry     = "TREFOILDECK_ENTRY"
	envTokenFile = "TREFOILDECK_TOKEN_FILE"
)

// client has the flags shared by the operator commands.
type client struct {
	entry     string
	tokenFile string
	json      bool
}

func (c *client) flags(f *flag.FlagSet) {
	f.StringVar(&c.entry, "entry", os.Getenv(envEntry), "URL of an entry's operator address (default $"+envEntry+")")
	f.StringVar(&c.tokenFile, "token-file", os.Getenv(envTokenFile), "file with the operator's token (default $"+envTokenFile+")")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *client) dial() (*operator.Client, error) {
	if c.entry == "" || c.tokenFile == "" {
		return nil, fmt.Errorf("-entry and -token-file are required: %w", errUsage)
	}

	token, err := settings.ReadSecret(c.tokenFile)
	if err != nil {
		return nil, fmt.Errorf("read token file: %w", err)
	}

	return &operator.Client{
		URL:   c.entry,
		Token: token,
	}, nil
}

// parseID parses the arguments KIND NAME. NAME may be missing if optional is set.
func parseID(args []string, optional bool) (resource.ID, error) {
	var id resource.ID

	switch {
	case len(args) == 2:
		id.Name = args[1]
	case len(args) == 1 && optional:
	default:
		return id, fmt.Errorf("KIND and NAME expected: %w", errUsage)
	}

	id.Kind = resource.Kind(args[0])

	return id, nil
}

func printJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")

	if err := e.Encode(v); err != nil {
		return fmt.Errorf("print JSON: %w", err)
	}

	return nil
}

func printResults(out io.Writer, results []operator.ResultView) {
	for _, r := range results {
		fmt.Fprintf(out, "%s %s %s", r.Kind, r.Name, r.Action)

		if r.Revision > 0 {
			fmt.Fprintf(out, " at revision %d", r.Revision)
		}

		fmt.Fprintln(out)
	}
}
