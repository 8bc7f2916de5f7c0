package placement_test

import (
	"testing"
	"testing/synctest"
	"time"

	"trefoildeck/core/placement"

	"gotest.tools/v3/assert"
)

// TestFailedWhileOthersSilent checks that a task that failed on the only worker that
// reports is tried on others that come back within half a minute, and else fails.
func TestFailedWhileOthersSilent(t *testing.T) {
	tests := map[string]struct {
		silent time.Duration
		want   placement.Phase
	}{
		"Replaced": {10 * time.Second, placement.PhaseFinished},
		"Gone":     {time.Hour, placement.PhaseFailed},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 1, 1, 4, 1, faults{})
				w.run(5 * time.Second)
				w.silenceOthers(c.silent)
				w.workers[0].runtime.SetFailAll(true)
				w.declare(job("mix", 3, 1000, time.Second))

				w.run(4 * time.Second)
				assert.Equal(t, w.countRecorded(placement.PhasePending), 3)

				w.run(time.Minute)
				assert.Equal(t, w.countRecorded(c.want), 3)
			})
		})
	}
}

// TestFailedWhileShardLapsed checks that a task does not fail for good on the workers of one
// data centre while the lease of another one's shard has lapsed.
func TestFailedWhileShardLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 3

		w := newWorld(t, 1, 2, 2, 2, faults{})
		w.schedulers[1].pausedUntil = time.Now().Add(time.Hour)
		w.run(5 * time.Second)

		for _, k := range w.workers[:2] {
			k.runtime.SetFailAll(true)
		}

		w.schedulers[0].core.ReleaseShard("dc1")
		w.schedulers[1].validUntil["dc1"] = time.Now().Add(6 * time.Second)
		w.declare(job("mix", tasks, 1000, time.Second))

		w.run(5 * time.Second)
		assert.Equal(t, w.countRecorded(placement.PhaseFailed), 0)

		w.run(time.Minute)
		assert.Equal(t, w.countRecorded(placement.PhaseFinished), tasks)
	})
}

// TestRoomBesideFailed checks that a task that may not run on the only worker with room,
// since it failed there, doesn't hold up tasks of the same size.
func TestRoomBesideFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 1, 2, 1, faults{})
		w.run(5 * time.Second)
		w.silenceOthers(20 * time.Second)
		w.workers[0].runtime.SetFailAll(true)
		w.declare(job("mix", 2, 1000, time.Second))
		w.run(4 * time.Second)

		w.workers[0].runtime.SetFailAll(false)
		w.declare(job("report", 2, 1000, time.Second))
		w.run(4 * time.Second)

		assert.Equal(t, w.countRecorded(placement.PhasePending), 2)
		assert.Equal(t, w.countRecorded(placement.PhaseFinished), 2)
	})
}

// silenceOthers makes all workers but the first one silent, and runs until they take no
// more tasks.
func (w *world) silenceOthers(d time.Duration) {
	for _, k := range w.workers[1:] {
		k.silentUntil = time.Now().Add(d)
	}

	w.run(4 * time.Second)
}

// TestUsageAfterTakeover checks that a scheduler that takes a shard counts what runs there
// already against the quotas of teams.
func TestUsageAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 10

		w := newWorld(t, 1, 1, 4, 1, faults{})
		w.declare(job("mix", tasks, 1000, time.Hour))
		w.run(10 * time.Second)

		want := placement.Size{
			MilliCores: tasks * 1000,
			MemoryMB:   tasks * 100,
		}
		assert.Equal(t, w.schedulers[0].core.TeamUsage("mixing"), want)

		w.replaceScheduler(0, 2)
		w.run(20 * time.Second)

		s := w.schedulers[1].core
		_, held := s.Holds("dc0")
		assert.Assert(t, held)
		assert.Equal(t, s.TeamUsage("mixing"), want)

		s.ReleaseShard("dc0")
		assert.Equal(t, s.TeamUsage("mixing"), placement.Size{})
	})
}
