package cmd

import (
	"context"
	"fmt"
	"io"
	"strings"
)

// `trefoildeck version`
func cmdVersion(version string) *command {
	return &command{
		name:     "version",
		synopsis: "Print the version.",
		usage:    "version",
		run: func(_ context.Context, _ []string, out io.Writer) error {
			fmt.Fprintln(out, strings.TrimSpace(version))

			return nil
		},
	}
}
