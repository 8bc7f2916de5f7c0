package fleet

import (
	"testing"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

// TestLostStop checks that a stop that never arrived is ordered again: a stalled run stayed where it
// was, and a gang whose member had failed waited for the others for ever.
func TestLostStop(t *testing.T) {
	gang := gangStep(2)
	gang.AntiAffinity = 1

	tests := map[string]struct {
		step job.Step
		// stop makes the fleet stop the run on n1.
		stop func(*Fleet)
	}{
		"Stalled": {
			step: step(1),
			stop: func(f *Fleet) {
				f.Report(0, "n1", Report{Runs: []gate.Run{{
					Task:       job.TaskID{Job: jobA},
					Attempt:    1,
					OrderKnown: true,
					Confirmed:  true,
					Stalled:    true,
				}}})
			},
		},
		"Gang": {
			step: gang,
			stop: func(f *Fleet) { f.RecordEnd(0, "n2", memberEnd(1, 1, gate.Failed)) },
		},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			f := New(1)
			f.Report(0, "n1", described("n1"))

			if c.step.Gang {
				f.Report(0, "n2", described("n2"))
			}

			f.Add(0, 0, record(jobA, c.step))
			assert.Assert(t, len(starts(f.Schedule(0, time.Time{}))["n1"]) == 1)
			f.Report(0, "n2", described("n2"))

			c.stop(f)
			assert.Equal(t, stops(f.Schedule(0, time.Time{})), 1)

			// The session ends before the order has arrived.
			now := time.Second
			f.Disconnected("n1")

			r := described("n1")
			r.Runs = []gate.Run{{
				Task:       job.TaskID{Job: jobA},
				Attempt:    1,
				OrderKnown: true,
				Confirmed:  true,
			}}
			f.Report(now, "n1", r)
			assert.Equal(t, stops(f.Schedule(now, time.Time{})), 0)
			assert.Equal(t, stops(f.Schedule(stopRepeatDelay, time.Time{})), 1)
		})
	}
}
