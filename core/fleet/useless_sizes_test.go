package fleet

import (
	"testing"
	"time"

	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

// TestUselessSizes guards against a size that stands for others that a reservation is of use for.
func TestUselessSizes(t *testing.T) {
	c := constraints{service: "orders"}
	other := constraints{service: "bills"}
	size := func(cores int64) job.Size { return job.Size{MilliCores: 1000 * cores} }

	tests := map[string]struct {
		oneEnd bool
		c      constraints
		need   job.Size
		at     time.Duration
		until  time.Duration
	}{
		"Same":        {true, c, size(2), 0, time.Second},
		"Smaller":     {true, c, size(1), 0, time.Second},
		"Larger":      {true, c, size(3), 0, 0},
		"NeverSame":   {false, c, size(2), 0, time.Second},
		"NeverLarger": {false, c, size(3), 0, time.Second},
		"NeverSmall":  {false, c, size(1), 0, 0},
		"Constraints": {true, other, size(2), 0, 0},
		"Later":       {true, c, size(2), time.Second, 0},
	}

	for name, k := range tests {
		t.Run(name, func(t *testing.T) {
			var l uselessSizes

			for range 2 * maxUselessSizes {
				l.add(uselessSize{
					constraints: c,
					need:        size(2),
					oneEnd:      k.oneEnd,
					until:       time.Second,
				})
			}

			assert.Equal(t, len(l), maxUselessSizes)
			assert.Equal(t, l.until(k.at, k.c, k.need), k.until)
		})
	}
}
