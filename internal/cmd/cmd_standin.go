package cmd

import (
	"context"
	"fmt"
	"io"
	"os"

	"trefoildeck/standin"
)

// `trefoildeck standin -settings FILE`
func cmdStandin() *command {
	var p processFlags

	return &command{
		name:     "standin",
		synopsis: "Run stand-ins for the platform, to try the system without it.",
		usage:    "standin -settings FILE",
		flags:    p.flags,
		run: func(ctx context.Context, args []string, _ io.Writer) error {
			log, err := p.newLog(args)
			if err != nil {
				return err
			}

			data, err := os.ReadFile(p.settings)
			if err != nil {
				return fmt.Errorf("read settings: %w", err)
			}

			s, err := standin.ParseSettings(p.settings, data)
			if err != nil {
				return err
			}

			log.Info("StandinStarted")

			return standin.NewServer(s).Serve(ctx)
		},
	}
}
