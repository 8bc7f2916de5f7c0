package cmd_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"trefoildeck/internal/cmd"
)

func TestExitStatus(t *testing.T) {
	cases := map[string]struct {
		args   []string
		status int
	}{
		"version":           {[]string{"version"}, 0},
		"help":              {[]string{"help"}, 0},
		"help of a command": {[]string{"apply", "-h"}, 0},
		"no command":        {nil, 2},
		"unknown command":   {[]string{"frobnicate"}, 2},
		"unknown flag":      {[]string{"get", "-x"}, 2},
		"no kind":           {[]string{"get"}, 2},
		"no settings":       {[]string{"entry"}, 2},
		"no such file":      {[]string{"check", "none.ini"}, 1},
		"samples":           {[]string{"check", "../../examples/balisage-armor/declarations"}, 0},
		"sample settings":   {[]string{"check", "../../examples/sillas-del-valle/entry-1.ini"}, 0},
		"node settings":     {[]string{"check", "testdata/agent.ini"}, 0},
		"invalid node":      {[]string{"check", "testdata/agent_invalid.ini"}, 1},
		"entry not there":   {[]string{"get", "-entry", "http://127.0.0.1:1", "-token-file", "../../examples/balisage-armor/token", "Job"}, 1},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, cmd.Main("1.2.3\n", c.args), c.status)
		})
	}
}
