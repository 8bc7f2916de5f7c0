package placement_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"trefoildeck/core/placement"
	"trefoildeck/io/table"

	"gotest.tools/v3/assert"
)

// TestHistories checks under random faults that no task runs twice at once, that
// none starts in a data centre that is out, and that all finish once the faults
// end.
func TestHistories(t *testing.T) {
	const seeds = 4

	cases := map[string]faults{
		"calm":         {},
		"late":         {maxDelay: 400 * time.Millisecond},
		"very late":    {maxDelay: 2500 * time.Millisecond},
		"lost answers": {loseResult: 0.3, maxDelay: 200 * time.Millisecond},
		"paused":       {pause: 0.01, maxDelay: 300 * time.Millisecond},
		"silent":       {silent: 0.003, maxDelay: 300 * time.Millisecond},
		"frozen":       {freeze: 0.4, silent: 0.02, maxDelay: 300 * time.Millisecond},
		"rebooted":     {reboot: 0.002, maxDelay: 300 * time.Millisecond},
		"together":     {freeze: 0.05, pause: 0.005, silent: 0.002, reboot: 0.001, loseResult: 0.1, maxDelay: time.Second},
	}

	// Seeds with which an attempt started after it counted as lapsed, since its worker had
	// reported again before that end was recorded.
	lapsed := map[string][]uint64{"frozen": {9, 10, 16, 185, 192, 213, 289}}

	for name, f := range cases {
		list := lapsed[name]
		for seed := range uint64(seeds) {
			list = append(list, seed)
		}

		for _, seed := range list {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runHistory(t, seed, f) })
			})
		}
	}
}

// TestFinishOnce checks that no task finishes twice when workers fall silent. Ends
// that could not be reported before the worker's lease ran out don't count.
func TestFinishOnce(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := runHistory(t, seed, faults{
					silent:   0.003,
					maxDelay: 300 * time.Millisecond,
				})
				assert.Equal(t, len(w.finishedTwice), 0, "%v", w.finishedTwice)
			})
		})
	}
}

func runHistory(t *testing.T, seed uint64, f faults) *world {
	t.Helper()

	const tasks = 60

	w := newWorld(t, seed, 3, 4, 3, f)
	w.declare(job("mix", tasks/2, 2000, 5*time.Second))
	w.declare(job("report", tasks/2, 3000, 8*time.Second))
	w.run(10 * time.Second)
	w.setOut(true)
	w.run(20 * time.Second)
	w.setOut(false)
	w.run(time.Minute)

	// Without faults, every task must finish.
	w.faults = faults{}
	w.run(2 * time.Minute)

	assert.Equal(t, w.countRecorded(placement.PhaseFinished), tasks)
	assert.Equal(t, w.checkRuns(), tasks)

	return w
}

// TestSameSeed checks that runs with the same seed are identical, so that failures
// can be reproduced.
func TestSameSeed(t *testing.T) {
	tests := map[string]struct {
		seed   uint64
		faults faults
	}{
		"Together": {7, faults{pause: 0.005, silent: 0.002, loseResult: 0.1, maxDelay: 500 * time.Millisecond}},
		"Frozen":   {3, faults{freeze: 0.4, silent: 0.02, maxDelay: 300 * time.Millisecond}},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, eventsOf(t, c.seed, c.faults), eventsOf(t, c.seed, c.faults))
		})
	}
}

// eventsOf returns the events of all workers in a run.
func eventsOf(t *testing.T, seed uint64, f faults) string {
	t.Helper()

	var text string

	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, seed, 3, 4, 3, f)
		w.declare(job("mix", 30, 2000, 5*time.Second))
		w.declare(job("report", 30, 3000, 8*time.Second))
		w.run(90 * time.Second)

		for _, k := range w.workers {
			text += fmt.Sprintln(k.runtime.Events())
		}
	})

	return text
}

// TestRejectedBatches checks that the scheduler survives the rejection of its first batch,
// whose rows don't exist yet, and that the rows of a rejected batch are read again in a
// fixed order. Tasks are queued in the order in which their rows are read.
func TestRejectedBatches(t *testing.T) {
	const jobs = 20

	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 1, jobs, 1, faults{})
		for n := range jobs {
			w.declare(job(fmt.Sprintf("mix-%02d", n), 4, 500, time.Minute))
		}

		s := w.schedulers[0]
		first, sorted := true, 0

		for range 400 {
			time.Sleep(step)
			w.runDelayed()
			w.renewShards(s)

			for _, k := range w.workers {
				w.stepWorker(k)
			}

			for _, b := range s.core.Tick(time.Now()).Batches {
				if !first && len(b.Segments) < jobs/2 {
					w.commit(s, b)

					continue
				}

				first = false

				s.core.ApplyResult(b, placement.ResultRejected)

				_, keys := s.core.StaleRows(b.DataCentre)
				sorted = max(sorted, len(keys))
				assert.Assert(t, slices.IsSortedFunc(keys, func(a, b placement.SegmentKey) int {
					return strings.Compare(a.Job, b.Job)
				}), "%v", keys)
				w.reload(s, b.DataCentre)
			}
		}

		assert.Assert(t, sorted >= jobs/2, "at most %d stale segments", sorted)
	})
}

// TestDeletedJobs checks that all attempts of a deleted job stop and that nothing
// stays committed, also if every scheduler that learned of the deletion is lost.
func TestDeletedJobs(t *testing.T) {
	const seeds = 12

	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { deleteJobs(t, seed) })
		})
	}
}

func deleteJobs(t *testing.T, seed uint64) {
	t.Helper()

	w := newWorld(t, seed, 3, 4, 2, faults{maxDelay: 400 * time.Millisecond})
	w.declare(job("long", 120, 1000, time.Hour))
	w.run(4*time.Second + time.Duration(w.random.Int64N(int64(3*time.Second))))
	w.deleteJob("long@1")

	if seed%2 == 0 {
		w.run(time.Duration(w.random.Int64N(int64(500 * time.Millisecond))))
		w.replaceScheduler(0, seed+100)
		w.replaceScheduler(1, seed+200)
	}

	w.run(30 * time.Second)

	for task, list := range w.intervals() {
		for _, i := range list {
			assert.Assert(t, i.to.Before(time.Now()), "%v still runs: %v", task, i)
		}
	}

	for n := range 3 {
		for _, row := range w.table.Rows(table.PagePartition(fmt.Sprintf("dc%d", n))) {
			p, err := table.ReadPage(row)
			assert.NilError(t, err)

			for _, k := range p.Workers {
				assert.Equal(t, len(k.Committed), 0, "worker %s", k.Name)
			}
		}
	}
}
