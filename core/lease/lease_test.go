package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestClock checks the upper bound of the store's clock, whose true reading is the local
// time plus ten seconds.
func TestClock(t *testing.T) {
	const offset = 10 * time.Second

	type call struct{ sent, took time.Duration }

	fast := call{0, 10 * time.Millisecond}

	tests := map[string]struct {
		calls []call
		now   time.Duration
		// loose is by how much the bound may exceed the true reading.
		loose time.Duration
	}{
		"Fast": {[]call{fast}, 0, 10 * time.Millisecond},
		"Aged": {[]call{fast}, time.Second, 30 * time.Millisecond},
		// The slow answers are looser than the first one with a second's drift.
		"Slow":    {[]call{fast, {500 * time.Millisecond, 400 * time.Millisecond}}, time.Second, 30 * time.Millisecond},
		"Renewed": {[]call{fast, {time.Minute, 10 * time.Millisecond}}, time.Minute, 10 * time.Millisecond},
		"OnlySlow": {
			[]call{{0, 400 * time.Millisecond}, {time.Second, 500 * time.Millisecond}},
			2 * time.Second,
			440 * time.Millisecond,
		},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var k Clock

			for _, l := range c.calls {
				k.Observe(l.sent, l.sent+l.took+offset)
			}

			latest := k.Latest(c.now)
			assert.Assert(t, latest >= c.now+offset, "%s", latest)
			assert.Assert(t, latest <= c.now+offset+c.loose, "%s", latest)
		})
	}
}

// TestWait checks that the store's clock shows the end after the wait, also if the local clock is 2% faster.
func TestWait(t *testing.T) {
	tests := map[string]struct{ reading, end, least time.Duration }{
		"Ahead":  {10 * time.Second, 20 * time.Second, 10 * time.Second},
		"Now":    {10 * time.Second, 10 * time.Second, 0},
		"Passed": {10 * time.Second, 0, -10 * time.Second},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			wait := Wait(c.reading, c.end)
			assert.Assert(t, wait >= c.least*driftDivisor/(driftDivisor-1), "%s", wait)
			assert.Assert(t, wait <= max(0, c.least+c.least/10), "%s", wait)
		})
	}
}
