package gate

import (
	"testing"
	"time"

	"trefoildeck/core/interference"
	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

const (
	serves = "000000000000000b"
	fills  = "000000000000000c"
)

// beside returns a gate whose worker runs a task that serves and one that fills.
func beside(t *testing.T) *Gate {
	t.Helper()

	g := settled(t)

	for _, o := range []StartOrder{
		{
			Task:   job.TaskID{Job: serves},
			Size:   job.Size{MilliCores: 1000},
			Target: 100 * time.Millisecond,
			Image:  "Serves",
		},
		{
			Task:  job.TaskID{Job: fills},
			Size:  job.Size{MilliCores: 1000},
			Fills: true,
			Image: "Fills",
		},
	} {
		o.Attempt = 1
		assert.Equal(t, g.Admit(0, o), "")
		g.Reserve(0, o)
		g.Confirm(0, o.Task, 1)
	}

	return g
}

// TestDistrust checks that a task that fills is held back where a serving task stays
// over its target, even if the pair was learnt to be harmless.
func TestDistrust(t *testing.T) {
	tests := map[string]struct {
		latency int64
		pace    int
	}{
		"Over":  {120, 0},
		"Under": {60, 100},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := beside(t)
			l := interference.New()
			l.Merge(map[interference.Pair]interference.Estimate{{
				Filling: "Fills",
				Serving: "Serves",
			}: {Weight: 1}})

			for now := time.Second; now < 4*time.Second; now += 500 * time.Millisecond {
				g.list(now, []Run{
					{
						Task:            job.TaskID{Job: serves},
						Attempt:         1,
						ProgressPercent: fullPace,
						Measurement:     c.latency,
					},
					{
						Task:        job.TaskID{Job: fills},
						Attempt:     1,
						Measurement: 1000,
					},
				}, nil)
				g.Pace(g.Sample(now), l)
			}

			assert.Equal(t, g.Runs[job.TaskID{Job: fills}].PacePercent, c.pace)
		})
	}
}
