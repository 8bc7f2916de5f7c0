package declaration_test

import (
	"strings"
	"testing"

	"trefoildeck/core/resource"
	"trefoildeck/io/declaration"

	"gotest.tools/v3/assert"
)

func TestProblems(t *testing.T) {
	cases := map[string]struct {
		text string
		says []string
	}{
		"unknown kind":      {"[Server a]\n", []string{"[Server a]", "DataCentre, Team, Service"}},
		"outage":            {"[Outage a]\n", []string{`kind "Outage"`}},
		"unknown key":       {"[Service a]\nTimeot = 1s\n", []string{"Timeot", "an unknown key", "LatencyTarget"}},
		"not a duration":    {"[Service a]\nTimeout = 5\n", []string{"Timeout", `"5"`, "250ms"}},
		"not a number":      {"[Team a]\nMilliCores = many\n", []string{"MilliCores", "a whole number"}},
		"not a bool":        {"[Job a]\nUrgent = yes\n", []string{"Urgent", "true or false"}},
		"key twice":         {"[Team a]\nMilliCores = 1\nMilliCores = 1\n", []string{"MilliCores", "the key twice"}},
		"section twice":     {"[Team a]\n[Team a]\n", []string{"[Team a]", "the section twice"}},
		"out of range":      {"[Service a]\nTimeout = 1h\n", []string{"Timeout", "1h0m0s", "1ms to 10m0s"}},
		"too many tasks":    {"[Job a]\nTeam = t\nTasks = 100000\n", []string{"Tasks", "1 to 2000"}},
		"no team":           {"[Job a]\n", []string{"Team", "a value is required"}},
		"refers to nothing": {"[Job a]\nTeam = none\n", []string{`"none", which does not exist`}},
		"bad name":          {"[Team A_b]\n", []string{`"A_b"`, "lower-case"}},
		"no name":           {"[Team]\n", []string{"[Team ]", "names have"}},
		"truncated":         {"[Team a\n", []string{"text that is not INI"}},
		"too large":         {strings.Repeat(";\n", declaration.MaxBytes), []string{"up to"}},
		"several at once":   {"[Team a]\nX = 1\n[Job b]\nY = 2\n", []string{"X", "Y"}},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var p resource.Problems

			list := declaration.Read("f.ini", []byte(c.text), &p)
			resource.CheckSet(list, func(resource.ID) bool { return false }, &p)

			err := p.Err()
			assert.Assert(t, err != nil)
			assert.ErrorContains(t, err, "f.ini: ")

			for _, s := range c.says {
				assert.ErrorContains(t, err, s)
			}
		})
	}
}

// FuzzRead checks that no text makes Read panic, and that each resource that it
// returns has a kind and a spec.
func FuzzRead(f *testing.F) {
	for _, s := range []string{
		"[Service a]\nTimeout = 1s\n", "[Job b]\nTeam = t\nDataCentres = x, y\n", "[Configuration c]\nK = v\n",
		"[", "]", "[a]\n=\n", "\x00", "[Team \xff]\n", "[Job a]\nTasks = 9999999999999999999\n", "a = b\n[Team c]", "[Team a]\nX = \"\"\"",
	} {
		f.Add([]byte(s))
	}

	f.Fuzz(func(t *testing.T, data []byte) {
		var p resource.Problems

		for _, r := range declaration.Read("f", data, &p) {
			assert.Assert(t, r.Spec != nil && r.ID.Kind != "")
			resource.CheckOne(r, &p)
		}
	})
}
