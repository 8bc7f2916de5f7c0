package locality_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"trefoildeck/core/locality"

	"gotest.tools/v3/assert"
)

// TestWaits checks when tasks wait for their rack. A task that runs elsewhere at once ends later if
// the rack has room soon, and one that waits ends later if it has not.
func TestWaits(t *testing.T) {
	const now = time.Minute

	ends := []locality.End{
		{
			At:         now + 400*time.Millisecond,
			MilliCores: 500,
		},
		{
			At:         now + 100*time.Millisecond,
			MilliCores: 500,
		},
	}

	tests := map[string]struct {
		need   int64
		factor float64
		since  time.Duration
		ends   []locality.End
		waits  bool
	}{
		"Soon":       {500, 1.5, now, ends, true},
		"Both":       {1000, 1.5, now, ends, true},
		"TooLate":    {1000, 1.3, now, ends, false},
		"TooMuch":    {1500, 3, now, ends, false},
		"NoRack":     {500, 3, now, nil, false},
		"NoGain":     {500, 1, now, ends, false},
		"TooLong":    {500, 1.5, now - 500*time.Millisecond, ends, false},
		"NotTooLong": {500, 1.5, now - 499*time.Millisecond, ends, true},
		"Bounded":    {500, 100, now - locality.MaxWait, ends, false},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			waits := locality.NewRack(slices.Clone(c.ends)).Waits(now, locality.Wait{
				Need:   c.need,
				Run:    time.Second,
				Factor: c.factor,
				Since:  c.since,
			})
			assert.Equal(t, waits, c.waits)
		})
	}
}

// TestExpectedEnd checks that a run that should have ended is expected to end a tenth of its time
// later: its estimate may be off by 90%, and it would be expected at once for ever.
func TestExpectedEnd(t *testing.T) {
	assert.Equal(t, locality.ExpectedEnd(time.Second, 0, 3*time.Second), 3*time.Second)
	assert.Equal(t, locality.ExpectedEnd(5*time.Second, 0, 3*time.Second), 5500*time.Millisecond)
}

// TestSameRack replays many tasks that want a rack which is busy, with ends as expected: of those that
// wait in one pass, no more do than the rack has room for in time. All would wait for the same end.
func TestSameRack(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))

		var ends []locality.End

		// A rack of 8 workers of 32 cores, full of tasks of 540 millicores that take 1 s.
		for range 8 * 59 {
			ends = append(ends, locality.End{
				At:         time.Duration(random.Int64N(int64(time.Second))),
				MilliCores: 540,
			})
		}

		r := locality.NewRack(ends)
		waiting := 0

		// 60% of 11.8 jobs a second of 1.6 steps of 10 tasks, for 5.5 s.
		for range 62 {
			if r.Waits(0, locality.Wait{
				Need:   10 * 540,
				Run:    time.Second,
				Factor: 1.5,
			}) {
				waiting += 10
			}
		}

		assert.Assert(t, waiting >= 200 && waiting <= 270, "seed %d: %d tasks wait", seed, waiting)
	}
}
