package fleet

import (
	"fmt"
	"testing"
	"time"

	"trefoildeck/core/backlog"
	"trefoildeck/core/gate"
	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

// TestOverload checks that a fleet with capacity for half of the jobs serves a quarter of them in
// time. All were finished too late, in the order of their deadlines.
func TestOverload(t *testing.T) {
	for _, o := range []backlog.Policy{backlog.ByDeadline, backlog.Fair} {
		t.Run(string(o), func(t *testing.T) { runOverload(t, o) })
	}
}

func runOverload(t *testing.T, order backlog.Policy) {
	t.Helper()

	const (
		tick     = 50 * time.Millisecond
		period   = 250 * time.Millisecond
		duration = time.Second
		steady   = 20 * time.Second
		end      = 60 * time.Second
		// usefulFor is three times the objective of 1.5 s and half a second.
		usefulFor = 6 * time.Second
	)

	f := New(1)
	f.Order = order
	accepted, ends := map[string]time.Duration{}, map[job.TaskID]time.Duration{}
	submitted, served := 0, 0

	for now := time.Duration(0); now < end; now += tick {
		r := Report{}
		if now == 0 {
			r = described("n1")
		}

		for id, at := range ends {
			if now < at {
				continue
			}

			delete(ends, id)

			r.Ends = append(r.Ends, gate.EndEvent{End: gate.End{
				Number:  1,
				Task:    id,
				Attempt: 1,
				Reason:  gate.Done,
			}})

			if a := accepted[id.Job]; a >= steady && now-a <= usefulFor {
				served++
			}
		}

		f.Report(now, "n1", r)

		if now%period == 0 && now < end-usefulFor {
			s := step(1)
			s.Size = job.Size{MilliCores: 2000}
			s.Estimate = duration
			j := record(fmt.Sprintf("%016x", now), s)
			j.Stretch, j.TargetLatency = 1.5, 500*time.Millisecond
			accepted[j.ID] = now

			assert.Assert(t, f.Add(now, 0, j))

			if now >= steady {
				submitted++
			}
		}

		for _, o := range starts(f.Schedule(now, time.Time{}))["n1"] {
			ends[o.Task] = now + duration
		}
	}

	assert.Assert(t, served >= submitted/4, "%d of %d jobs were served in time", served, submitted)
}
