package speed_test

import (
	"cmp"
	"slices"
	"strconv"
	"testing"
	"time"

	"trefoildeck/core/job"
	"trefoildeck/core/speed"

	"gotest.tools/v3/assert"
)

// burst are filling jobs at 2.6 times their rate.
var burst = load{
	perSecond: 2.6 * fillingJobs.perSecond,
	twoSteps:  fillingJobs.twoSteps,
	tasks:     fillingJobs.tasks,
	duration:  fillingJobs.duration,
	fills:     true,
}

const (
	slowFrom  = 10 * time.Second
	slowUntil = 16 * time.Second
	slowest   = "n0"
)

// slowdown returns a function for cluster.speed, in which the first worker is slower by a factor from
// slowFrom to a time.
func slowdown(factor float64, until time.Duration) func(time.Duration, int) float64 {
	return func(now time.Duration, worker int) float64 {
		if worker == 0 && now >= slowFrom && now < until {
			return 1 / factor
		}

		return 1
	}
}

// detected returns when a worker was first judged slow, or 0, and fails the test if another one was.
func (c *cluster) detected(t *testing.T) time.Duration {
	t.Helper()

	var at time.Duration

	for _, change := range c.changes {
		assert.Equal(t, change.Node, slowest)

		if change.Slow && at == 0 {
			at = change.at
		}
	}

	return at
}

// starts returns the number of starts on a worker between two times.
func (c *cluster) starts(worker int, from, until time.Duration) int {
	n := 0

	for second, starts := range c.started[worker] {
		if at := time.Duration(second) * time.Second; at >= from && at < until {
			n += starts
		}
	}

	return n
}

// TestSlowWorker checks that a worker that turns slow for 6 s while it still starts and ends all that
// it gets is found before it is over, and no other worker. Each step with a task there was as late as
// that task, since neither its health check nor its ends show anything.
func TestSlowWorker(t *testing.T) {
	const seeds = 16

	tests := map[string]struct {
		workers int
		factor  float64
		loads   []load
		// median is the time until the worker is found, and late the number of seeds in which it is
		// found when it is over, or never.
		median time.Duration
		late   int
	}{
		"Plain":         {10, 8, []load{plainJobs}, 3700 * time.Millisecond, 0},
		"PlainLessSlow": {10, 5, []load{plainJobs}, 4200 * time.Millisecond, 0},
		"Filling":       {52, 8, []load{fillingJobs}, 3700 * time.Millisecond, 0},
		// The readings of filling tasks take longer to show less.
		"FillingLessSlow": {52, 5, []load{fillingJobs}, 4700 * time.Millisecond, 4},
		// Few filling jobs run at a time on ten workers, and evidence of two is required.
		"FillingBurst": {10, 8, []load{burst}, 3700 * time.Millisecond, 2},
		"Both":         {10, 8, []load{plainJobs, fillingJobs}, 3200 * time.Millisecond, 0},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var found []time.Duration

			late := 0

			for seed := range uint64(seeds) {
				s := newCluster(seed, c.workers, c.loads...)
				s.speed = slowdown(c.factor, slowUntil)
				s.run(20 * time.Second)

				at := s.detected(t)
				if at == 0 || at > slowUntil {
					late++
				}

				found = append(found, cmp.Or(at, time.Hour)-slowFrom)
			}

			slices.Sort(found)
			t.Logf("found after %v, late in %d of %d", found[seeds/2], late, seeds)
			assert.Assert(t, found[0] > 0)
			assert.Assert(t, found[seeds/2] <= c.median, "median %v", found[seeds/2])
			assert.Assert(t, late <= c.late, "late in %d of %d", late, seeds)
		})
	}
}

// TestWellAgain checks that a worker that is no longer slow is used again. Without new runs there is
// no evidence that would clear it, and it would stay idle.
func TestWellAgain(t *testing.T) {
	for name, loads := range map[string][]load{"Plain": {plainJobs}, "Filling": {burst}} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(12) {
				c := newCluster(seed, 10, loads...)
				c.speed = slowdown(8, slowUntil)
				c.run(50 * time.Second)
				c.detected(t)
				assert.Assert(t, !c.tracker.Avoid(slowest), "seed %d", seed)

				from, until := slowUntil+12*time.Second, 50*time.Second
				own, other := c.starts(0, from, until), c.starts(1, from, until)
				assert.Assert(t, own > other/2, "seed %d: %d starts, %d on another worker", seed, own, other)
			}
		})
	}
}

// TestStaysSlow checks that a worker that stays slow is tried with few runs once its evidence has
// decayed. It would get as many as it has room for, each time.
func TestStaysSlow(t *testing.T) {
	for seed := range uint64(12) {
		c := newCluster(seed, 10, plainJobs)
		c.speed = slowdown(8, time.Hour)
		c.run(60 * time.Second)
		assert.Assert(t, c.detected(t) > 0)

		before, after := c.starts(0, 0, slowFrom), c.starts(0, 20*time.Second, 60*time.Second)
		t.Logf("seed %d: %d starts in 10 s before, %d in 40 s after", seed, before, after)
		assert.Assert(t, after <= 24, "seed %d: %d starts", seed, after)
	}
}

// TestSoundWorkers checks that no sound worker counts as slow, whatever its tasks' run times, which
// vary by 30% within a step and differ by a factor of 19 between steps, and however its filling tasks
// are paced. It would be idle while jobs wait.
func TestSoundWorkers(t *testing.T) {
	paces := map[string]func(time.Duration, int) float64{
		"Full": func(time.Duration, int) float64 { return 1 },
		"Low": func(_ time.Duration, worker int) float64 {
			if worker < 5 {
				return 0.25
			}

			return 1
		},
		// The pace changes as often as it is set, so that it is full at most readings.
		"Alternating": func(now time.Duration, worker int) float64 {
			if worker%2 == 0 && now/(500*time.Millisecond)%2 == 1 {
				return 0
			}

			return 1
		},
		// Runs that stand still are not reported until they go on.
		"Stopped": func(now time.Duration, worker int) float64 {
			if worker == int(now/(8*time.Second))%10 {
				return 0
			}

			return 1
		},
	}

	for name, pace := range paces {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			for seed := range uint64(10) {
				c := newCluster(seed, 10, plainJobs, fillingJobs)
				c.pace = pace
				c.run(60 * time.Second)
				assert.Equal(t, len(c.changes), 0, "seed %d: %+v", seed, c.changes)
			}
		})
	}
}

func fullSpeed(percent int) speed.Reading {
	return speed.Reading{
		Percent: percent,
		Limits:  speed.FullSpeed,
	}
}

func taskID(id string, index int) job.TaskID {
	return job.TaskID{
		Job:   id,
		Index: index,
	}
}

// finish lets two tasks of each of some jobs run on a worker, each for a time.
func finish(t *speed.Tracker, node string, jobs int, remote bool, took time.Duration) {
	for j := range jobs {
		for k := range 2 {
			id := taskID(strconv.Itoa(j), k)
			if node != slowest {
				id.Index += 2
			}

			t.Start(0, speed.Start{
				Node: node,
				Task: id,
				Step: speed.Step{
					Job:    id.Job,
					Remote: remote,
				},
				Fresh:  true,
				Limits: speed.FullSpeed,
			})
			t.End(took, id, true)
		}
	}

	t.Judge(took)
}

// TestNothingToCompare checks what says nothing about a worker: a step that runs there alone, one
// job, and a worker outside the rack of the data beside one inside, which takes up to 3 times as
// long. A worker with tasks unlike the others' would count as slow.
func TestNothingToCompare(t *testing.T) {
	tests := map[string]struct {
		jobs int
		// elsewhere says that tasks of the same steps run elsewhere, and remote that the worker is
		// outside the rack of their data, unlike the other.
		elsewhere, remote bool
		slow              bool
	}{
		"Compared": {2, true, false, true},
		"Alone":    {2, false, false, false},
		"OneJob":   {1, true, false, false},
		"Remote":   {2, true, true, false},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			k := speed.New()

			if c.elsewhere {
				finish(k, "n1", c.jobs, false, time.Second)
			}

			finish(k, slowest, c.jobs, c.remote, 6*time.Second)
			assert.Equal(t, k.Slow(slowest), c.slow)

			v, ok := k.Speed(6*time.Second, slowest)
			assert.Equal(t, ok, c.slow)
			assert.Equal(t, v < 0.6, c.elsewhere && !c.remote)
			assert.Assert(t, !k.Slow("n1"))
		})
	}
}

// TestForgotten checks that a worker that restarted has no evidence against it, and that a run that
// was stopped before its first reading leaves none. What an earlier process did, or the time for which
// a run was not reported, would count against the worker.
func TestForgotten(t *testing.T) {
	k := speed.New()
	finish(k, "n1", 2, false, time.Second)
	finish(k, slowest, 2, false, 6*time.Second)
	k.Forget(slowest)
	assert.Assert(t, !k.Avoid(slowest))

	for j := range 2 {
		id := taskID(strconv.Itoa(j), 0)
		k.Start(7*time.Second, speed.Start{
			Node:   slowest,
			Task:   id,
			Step:   speed.Step{Job: id.Job},
			Fresh:  true,
			Limits: speed.FullSpeed,
		})
		k.End(20*time.Second, id, false)
	}

	assert.Equal(t, len(k.Judge(20*time.Second)), 0)
}

// TestFound checks that runs that this tracker has not seen start, as after a change of the leader,
// show within 5 s that their worker is slow, and that 2 s are enough if readings are fresh.
func TestFound(t *testing.T) {
	for name, c := range map[string]struct{ age, limit time.Duration }{
		"Fresh": {50 * time.Millisecond, 2 * time.Second},
		"Old":   {1200 * time.Millisecond, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			k := speed.New()

			for second := 0; !k.Slow(slowest); second++ {
				now := time.Duration(second) * time.Second
				assert.Assert(t, now <= c.limit)

				for j := range 3 {
					for n := range 5 {
						id := taskID(strconv.Itoa(j), n)
						r := fullSpeed(10 + 16*second)
						r.Age = c.age

						if n == 0 {
							r.Percent = 10 + 2*second
						}

						k.Observe(now, "n"+strconv.Itoa(n), speed.Step{Job: id.Job}, id, r)
					}
				}

				k.Judge(now)
			}
		})
	}
}
