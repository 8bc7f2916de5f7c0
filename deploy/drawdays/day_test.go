package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// rounds splits a day where the pause between two entries is longer than any within a round.
func rounds(d day) []day {
	var all []day

	for i, t := range d {
		if i == 0 || t.at-d[i-1].at > roundPause-troubleSpan-1 {
			all = append(all, nil)
		}

		all[len(all)-1] = append(all[len(all)-1], t)
	}

	return all
}

func TestDrawDay(t *testing.T) {
	for seed := range uint64(500) {
		d := drawDay(seed, true)
		assert.DeepEqual(t, d.text("day"), drawDay(seed, true).text("day"))

		all := rounds(d)
		assert.Assert(t, len(all) == 2 || len(all) == 3, "seed %d has %d rounds", seed, len(all))

		for _, r := range all {
			assert.Assert(t, len(r) >= minTroubles && len(r) <= maxTroubles, "seed %d has %d troubles in a round", seed, len(r))

			for _, x := range r {
				assert.Assert(t, x.at-r[0].at < troubleSpan && r[0].at-x.at < troubleSpan, "seed %d", seed)
			}
		}
	}
}

func TestDrawDayAnswersLost(t *testing.T) {
	drawn := false

	for seed := range uint64(100) {
		drawn = drawn || strings.Contains(drawDay(seed, true).text("day"), "answer_lost")
		assert.Assert(t, !strings.Contains(drawDay(seed, false).text("day"), "answer_lost"))
	}

	assert.Assert(t, drawn)
}

func TestRun(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "days")
	assert.NilError(t, run([]string{directory, "7", "2"}, false))

	text, err := os.ReadFile(filepath.Join(directory, "drawn-8.toml"))
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(text), "name = \"drawn-8\"\n"))

	tests := map[string]struct {
		args    []string
		message string
	}{
		"NoCount":       {[]string{directory, "7"}, "usage"},
		"NegativeFirst": {[]string{directory, "-1", "2"}, "FIRST"},
		"WordForCount":  {[]string{directory, "1", "two"}, "COUNT"},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			assert.ErrorContains(t, run(c.args, false), c.message)
		})
	}
}
