package gate

import (
	"testing"
	"time"

	"trefoildeck/core/interference"
	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

const (
	servingJob = "000000000000000b"
	fillingJob = "000000000000000c"
)

// colocatedGate returns a gate whose worker runs a serving task and a filling task.
func colocatedGate(t *testing.T) *Gate {
	t.Helper()

	g := syncedGate(t)

	for _, o := range []StartOrder{
		{
			Task:   job.TaskID{Job: servingJob},
			Size:   job.Size{MilliCores: 1000},
			Target: 100 * time.Millisecond,
			Image:  "Serves",
		},
		{
			Task:  job.TaskID{Job: fillingJob},
			Size:  job.Size{MilliCores: 1000},
			Fills: true,
			Image: "Fills",
		},
	} {
		o.Attempt = 1
		assert.Equal(t, g.Admit(0, o), Admitted)
		g.Reserve(0, o)
		g.Confirm(0, o.Task, 1)
	}

	return g
}

// TestDistrustOverTarget checks that the pace of a filling task is 0 while a serving task
// stays over its target, even if the learned factor of the pair is 0.
func TestDistrustOverTarget(t *testing.T) {
	tests := map[string]struct {
		latency int64
		pace    int
	}{
		"Over":  {120, 0},
		"Under": {60, 100},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := colocatedGate(t)
			l := interference.New()
			l.SetPooled(map[interference.Pair]interference.Estimate{{
				Filling: "Fills",
				Serving: "Serves",
			}: {Weight: 1}})

			for now := time.Second; now < 4*time.Second; now += 500 * time.Millisecond {
				g.list(now, []Run{
					{
						Task:            job.TaskID{Job: servingJob},
						Attempt:         1,
						ProgressPercent: fullPercent,
						Measurement:     c.latency,
					},
					{
						Task:        job.TaskID{Job: fillingJob},
						Attempt:     1,
						Measurement: 1000,
					},
				}, nil)
				g.Pace(g.Sample(now), l)
			}

			assert.Equal(t, g.Runs[job.TaskID{Job: fillingJob}].PacePercent, c.pace)
		})
	}
}

// TestUnknownPace checks that a pace is ordered again if the call may have failed, also of
// a run that is not listed yet, and that the pace of a run which was found on the worker is
// ordered, whatever it is.
func TestUnknownPace(t *testing.T) {
	found := []Run{{
		Task:    job.TaskID{Job: fillingJob},
		Attempt: 1,
	}}
	order := StartOrder{
		Task:    job.TaskID{Job: fillingJob},
		Attempt: 1,
		Size:    job.Size{MilliCores: 1000},
		Fills:   true,
	}
	tests := map[string]struct {
		prepare func(*testing.T) *Gate
	}{
		"CallFailed": {func(t *testing.T) *Gate {
			t.Helper()

			g := colocatedGate(t)
			g.HandlePaceFailure(PaceOrder{
				Task:    order.Task,
				Attempt: 1,
				Percent: fullPercent,
			})

			return g
		}},
		"RunFound": {func(t *testing.T) *Gate {
			t.Helper()

			g := syncedGate(t)
			g.list(0, found, nil)
			g.Adopt(order)

			return g
		}},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := c.prepare(t)
			want := []PaceOrder{{
				Task:    order.Task,
				Attempt: 1,
				Percent: fullPercent,
			}}

			assert.DeepEqual(t, g.Pace(g.Sample(0), interference.New()), want)
			assert.Equal(t, len(g.Pace(g.Sample(0), interference.New())), 0)

			// An older order that failed says nothing of the present pace.
			g.HandlePaceFailure(PaceOrder{
				Task:    order.Task,
				Attempt: 1,
				Percent: 0,
			})
			assert.Equal(t, len(g.Pace(g.Sample(0), interference.New())), 0)
		})
	}
}
