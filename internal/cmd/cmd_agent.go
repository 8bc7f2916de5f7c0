package cmd

import (
	"context"
	"io"

	"trefoildeck/agent"
	"trefoildeck/settings"
)

// `trefoildeck agent -settings FILE`
func cmdAgent() *command {
	var p processFlags

	return &command{
		name:     "agent",
		synopsis: "Run an agent, the process beside an endpoint and a worker.",
		usage:    "agent -settings FILE [-log-level LEVEL]",
		flags:    p.flags,
		run: func(ctx context.Context, args []string, _ io.Writer) error {
			log, err := p.newLog(args)
			if err != nil {
				return err
			}

			s, err := settings.LoadAgent(p.settings)
			if err != nil {
				return err
			}

			a, err := agent.New(s, log)
			if err != nil {
				return err
			}

			return a.Run(ctx)
		},
	}
}
