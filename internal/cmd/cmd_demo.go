package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"trefoildeck/internal/demo"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const demoTimeout = 60 * time.Second

// `trefoildeck demo [-verbose]`
func cmdDemo() *command {
	var verbose bool

	return &command{
		name:     "demo",
		synopsis: "Show the main functions in one process, on stand-ins.",
		usage:    "demo [-verbose]",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&verbose, "verbose", false, "print the logs")
		},
		run: func(ctx context.Context, args []string, out io.Writer) error {
			if len(args) > 0 {
				return fmt.Errorf("no arguments expected: %w", errUsage)
			}

			ctx, cancel := context.WithTimeout(ctx, demoTimeout)
			defer cancel()

			log := zap.NewNop()

			if verbose {
				var err error
				if log, err = newLog(zapcore.InfoLevel); err != nil {
					return err
				}
			}

			return demo.Run(ctx, out, log)
		},
	}
}
