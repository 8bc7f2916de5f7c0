package storeversion

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestKnownFor checks that a version never counts as known for longer than it was. The process notes
// version n at n seconds, and version 30 once more at 40.
func TestKnownFor(t *testing.T) {
	tests := map[string]struct {
		now, least time.Duration
		want       int64
	}{
		"Now":      {40 * time.Second, 0, 30},
		"Lately":   {40 * time.Second, 15 * time.Second, 25},
		"Before":   {40*time.Second - 1, 15 * time.Second, 24},
		"AtFirst":  {40 * time.Second, 39 * time.Second, 1},
		"NotYet":   {40 * time.Second, 40 * time.Second, 0},
		"LongAgo":  {40 * time.Second, Kept, 0},
		"MuchLate": {time.Hour, Kept, 30},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var l Log

			for n := int64(1); n <= 30; n++ {
				l.Note(time.Duration(n)*time.Second, n)
			}

			l.Note(40*time.Second, 30)
			assert.Equal(t, l.KnownFor(c.now, c.least), c.want)
		})
	}
}

// TestSamplesBounded checks that the log doesn't grow with the number of answers, and still knows what
// was known Kept ago.
func TestSamplesBounded(t *testing.T) {
	var l Log

	const day = 24 * time.Hour

	for at := time.Duration(0); at <= day; at += 50 * time.Millisecond {
		l.Note(at, int64(at/time.Millisecond)+1)
	}

	assert.Assert(t, len(l.samples) <= int(Kept/samplePeriod)+2, "%d samples", len(l.samples))

	known := time.Duration(l.KnownFor(day, Kept)) * time.Millisecond
	assert.Assert(t, known <= day-Kept+time.Millisecond && known > day-Kept-2*samplePeriod, "%s", known)
}
