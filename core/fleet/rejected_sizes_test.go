package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

// randomStep returns a step of one of a few kinds, so that sizes and constraints
// coincide.
func randomStep(r *rand.Rand) job.Step {
	s := step(1 + r.IntN(6))
	s.Size.MilliCores = 500 * int64(1+r.IntN(8))
	s.Size.MemoryMB = 1000 * int64(1+r.IntN(5))

	switch r.IntN(4) {
	case 0:
		s.Fills = true
		s.Image = fmt.Sprintf("f%d", r.IntN(3))
	case 1:
		s.LongRunning = true
		s.Image = fmt.Sprintf("s%d", r.IntN(3))
		s.TargetLatency = 100 * time.Millisecond
	case 2:
		s.AntiAffinity = 1 + r.IntN(2)
	}

	return s
}

// TestNoneLeftBehind checks that Schedule leaves no task waiting that a worker has
// room for: rejectedSizes must not skip a task that would fit.
func TestNoneLeftBehind(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		f := New(1)

		for i := range 1 + r.IntN(5) {
			f.Report(0, fmt.Sprintf("n%d", i), described(fmt.Sprintf("n%d", i)))
		}

		var running []startedRun

		for pass := range 10 {
			now := time.Duration(pass) * time.Second
			f.Add(now, 0, record(fmt.Sprintf("%016x", pass), randomStep(r), randomStep(r)))

			if len(running) > 0 {
				e := running[r.IntN(len(running))]
				f.RecordEnd(now, e.node, gate.End{
					Task:    e.order.Task,
					Attempt: e.order.Attempt,
					Reason:  gate.Stopped,
				})
			}

			for n, o := range f.Schedule(now, time.Time{}) {
				for _, s := range o.Starts {
					running = append(running, startedRun{
						node:  n,
						order: s,
					})
				}
			}

			f.checkNoneWaits(t, seed, now)
		}
	}
}

// checkNoneWaits tries each waiting task on each worker.
func (f *Fleet) checkNoneWaits(t *testing.T, seed uint64, now time.Duration) {
	t.Helper()

	for _, j := range f.open {
		for i := range j.steps {
			s := &j.steps[i]
			if s.waiting == 0 || !f.stepReady(j, i) {
				continue
			}

			for _, w := range f.sortedWorkers {
				w.headroomsStale = true

				if !f.feasible(now, j, s, w) {
					continue
				}

				_, ok := f.score(s.spec, w, j.active == 0)
				assert.Assert(t, !ok, "seed %d: a task of %s, step %d, waits though %s has room", seed, j.record.ID, i, w.node)
			}
		}
	}
}
