package fleet

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"
	"trefoildeck/core/speed"

	"gotest.tools/v3/assert"
)

const slowNode = "n00"

// slowFor makes a worker 8 times slower from 10 s for some time.
func slowFor(d time.Duration) func(time.Duration, *unevenWorker) float64 {
	return func(now time.Duration, w *unevenWorker) float64 {
		if w.node == slowNode && now >= 10*time.Second && now < 10*time.Second+d {
			return 0.125
		}

		return 1
	}
}

// TestSlowWorkerAvoided checks that fewer jobs are late while one worker of ten is 8 times slower for
// 6 s, and that it is used again. Each job with a task there was as late as that task.
func TestSlowWorkerAvoided(t *testing.T) {
	tests := map[string]struct {
		load  func(*unevenWorld)
		limit time.Duration
	}{
		"Plain": {
			func(u *unevenWorld) { u.arrivals(4, func() { u.plain("") }) },
			1750 * time.Millisecond,
		},
		"Filling": {
			func(u *unevenWorld) { u.arrivals(0.45, func() { u.filling() }) },
			11800 * time.Millisecond,
		},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			var late [2]int

			moves := 0

			for seed := range uint64(16) {
				for i, enabled := range []bool{false, true} {
					u := newUnevenWorld(t, seed)
					u.addWorkers(10, "dc0")
					u.speed = slowFor(6 * time.Second)

					if enabled {
						u.fleet.EnableSlowWorkers()
					}

					u.run(30*time.Second, func() { c.load(u) })
					u.run(50*time.Second, func() {})

					for _, d := range u.times(7*time.Second, 16*time.Second) {
						if d > c.limit {
							late[i]++
						}
					}

					moves += len(u.moves)

					from, until := 24*time.Second, 30*time.Second
					slow, other := u.startsOn(from, until, slowNode), u.startsOn(from, until, "n01")
					assert.Assert(t, other < 6 || 4*slow > other, "seed %d: %d and %d starts", seed, slow, other)
				}
			}

			t.Logf("%d jobs late, %d with the speeds known; %d moves", late[0], late[1], moves)
			assert.Assert(t, late[1] < late[0]*97/100)
			assert.Assert(t, moves > 0)
		})
	}
}

// TestSlowLastResort checks that a slow worker gets a task, also a serving one, only if no other has
// room. Serving tasks would be over their targets there although there is room elsewhere, and others
// would wait while the worker is idle.
func TestSlowLastResort(t *testing.T) {
	serving := step(5)
	serving.LongRunning, serving.TargetLatency = true, 150*time.Millisecond

	for name, s := range map[string]job.Step{"Plain": step(5), "Serving": serving} {
		t.Run(name, func(t *testing.T) {
			f := New(1)
			f.EnableSlowWorkers()

			for _, n := range []string{"n1", "n2"} {
				f.Report(0, n, described(n))
			}

			f.workers["n1"].speed.avoided = true
			f.Add(0, 0, record(jobA, s))

			all := starts(f.Schedule(0, time.Time{}))
			assert.Equal(t, len(all["n2"]), 4)
			assert.Equal(t, len(all["n1"]), 1)
		})
	}
}

// newSlowFleet returns a fleet of five workers with the tasks of two jobs, and the time at which the
// tasks on all but n1 are done, those on n1 are not, and the worker has just reported them.
func newSlowFleet(t *testing.T) (*Fleet, time.Duration) {
	t.Helper()

	f := New(1)
	f.EnableSlowWorkers()

	for i := range 5 {
		f.Report(0, "n"+strconv.Itoa(i+1), described("n"+strconv.Itoa(i+1)))
	}

	s := step(20)
	s.Size.MilliCores = 500
	f.Add(0, 0, record(jobA, s))
	f.Add(0, 0, record(jobB, s))

	var left []gate.Run

	number := int64(0)

	for n, o := range f.Schedule(0, time.Time{}) {
		for _, g := range o.Starts {
			if n == "n1" {
				left = append(left, gate.Run{
					Task:            g.Task,
					Attempt:         1,
					ProgressPercent: 30,
				})

				continue
			}

			number++
			e := end(n, number, g.Task.Job, 1, gate.Done)
			e.Task = g.Task
			f.Report(time.Second, n, Report{Ends: []gate.EndEvent{e}})
		}
	}

	now := 3 * time.Second
	f.Report(now, "n1", atWork("n1", left...))

	return f, now
}

// TestSlowMoveRepeated checks that few runs are moved away from a slow worker at a time, that a stop
// that got lost is ordered again, and that none is once the worker is no longer slow. All runs of a
// worker would be stopped at once, or one whose stop got lost would be waited for.
func TestSlowMoveRepeated(t *testing.T) {
	f, now := newSlowFleet(t)

	first := f.Schedule(now, time.Time{})["n1"].Stops
	assert.Equal(t, len(first), maxSlowMoves)

	changes := f.SpeedChanges()
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, changes[0].Slow && changes[0].Speed < 0.6 && changes[0].Jobs == 2)

	for _, m := range f.Moves() {
		assert.Equal(t, m.Reason, MoveSlow)
		assert.Assert(t, m.Gain > 0)
	}

	assert.Equal(t, stops(f.Schedule(now+time.Second, time.Time{})), 0)

	e := end("n1", 1, first[0].Task.Job, 1, gate.Stopped)
	e.Task = first[0].Task
	f.RecordEnd(now+time.Second, "n1", e.End)
	orders := f.Schedule(now+roomHeld, time.Time{})
	assert.Equal(t, stops(orders), 1)
	assert.Equal(t, len(starts(orders)["n1"]), 0)
	assert.Equal(t, len(starts(orders)), 1, "the run that was stopped")

	later := now + stopRepeatDelay
	assert.Equal(t, stops(f.Schedule(later, time.Time{})), maxSlowMoves-1)

	f.workers["n1"].speed.slow = false
	f.slow.judgedAt = later + stopRepeatDelay
	assert.Equal(t, stops(f.Schedule(later+stopRepeatDelay, time.Time{})), 0)
}

// TestSlowMoveReserved guards against stopping a run for room that is reserved for another task, where the
// stopped task could not start.
func TestSlowMoveReserved(t *testing.T) {
	for name, reserved := range map[string]bool{"Free": false, "Reserved": true} {
		t.Run(name, func(t *testing.T) {
			f, now := newSlowFleet(t)
			f.LookAhead = true

			// The only other worker has one core to spare.
			for _, n := range []string{"n3", "n4", "n5"} {
				f.workers[n].ready = false
			}

			f.Add(now, 0, record(jobC, sized(3, 1, 500*time.Millisecond)))

			if reserved {
				large := record(jobD, sized(1, 4, time.Second))
				large.Stretch = 100
				f.Add(now, 0, large)
			}

			orders := f.Schedule(now, time.Time{})
			assert.Assert(t, f.workers["n1"].speed.slow)
			assert.Equal(t, len(starts(orders)["n2"]), 3)
			assert.Equal(t, f.workers["n2"].reserved.held, reserved)
			assert.Equal(t, stops(orders) > 0, !reserved)

			if reserved {
				r, _ := f.ahead.plan.On("n2")
				assert.Equal(t, r.HeldBack, 0, "a run that isn't moved is counted as a task that isn't placed")
			}
		})
	}
}

// newFullSlowFleet returns a fleet of full workers of which each 50th is slow, and the time.
func newFullSlowFleet(t *testing.T, workers int) (*Fleet, time.Duration) {
	t.Helper()

	f := New(1)
	f.EnableSlowWorkers()

	for i := range workers {
		node := fmt.Sprintf("n%04d", i)
		f.Report(0, node, described(node))
	}

	s := step(8)
	s.Size.MilliCores = 500

	for i := range workers {
		f.Add(0, 0, record(fmt.Sprintf("%016x", i), s))
	}

	now := 3 * time.Second

	for node, o := range f.Schedule(0, time.Time{}) {
		var r Report

		for i, g := range o.Starts {
			if strings.HasSuffix(node, "00") || strings.HasSuffix(node, "50") {
				r.Runs = append(r.Runs, gate.Run{
					Task:            g.Task,
					Attempt:         1,
					ProgressPercent: 30,
					Confirmed:       true,
					OrderKnown:      true,
					PacePercent:     100,
				})

				continue
			}

			e := end(node, int64(i+1), g.Task.Job, 1, gate.Done)
			e.Task = g.Task
			f.RecordEnd(time.Second, node, e.End)
		}

		f.Report(now, node, r)
	}

	for i := range workers {
		f.Add(now, 0, record(fmt.Sprintf("%016x", workers+i), s))
	}

	assert.Equal(t, stops(f.Schedule(now, time.Time{})), 0)
	assert.Equal(t, len(f.SpeedChanges()), workers/50)

	return f, now
}

// TestSlowMoveCost guards against a pass whose cost grows with the square of the workers: each run of each
// slow worker was compared with all workers although none had room.
func TestSlowMoveCost(t *testing.T) {
	const few, many = 100, 800

	cost := func(workers int) time.Duration {
		f, now := newFullSlowFleet(t, workers)
		least := time.Hour

		for range 20 {
			began := time.Now()
			f.moveFromSlow(now)
			least = min(least, time.Since(began))
		}

		return least
	}

	a, b := cost(few), cost(many)
	t.Logf("%v with %d workers, %v with %d", a, few, b, many)
	assert.Assert(t, b < 3*many/few*a)
}

// TestSlowForgotten checks that nothing is held against a worker whose session ended: the ends of its
// runs are reported late then.
func TestSlowForgotten(t *testing.T) {
	f, now := newSlowFleet(t)
	f.Schedule(now, time.Time{})
	assert.Assert(t, f.workers["n1"].speed.slow)

	f.Disconnected("n1")
	assert.Assert(t, !f.workers["n1"].speed.slow && !f.workers["n1"].speed.avoided)
}

// TestOversubscribed checks that a filling task that gets little processor time, since others come
// first on its worker, doesn't count against the worker.
func TestOversubscribed(t *testing.T) {
	tests := map[string]struct {
		used, filling int64
		pace          int
		limits        speed.Limits
	}{
		"Idle":           {0, 4000, 100, speed.Limits{Pace: 1, Share: 1}},
		"Oversubscribed": {2000, 8000, 100, speed.Limits{Pace: 1, Share: 0.25}},
		"Full":           {4000, 4000, 100, speed.Limits{Pace: 1}},
		"Paced":          {2000, 4000, 50, speed.Limits{Pace: 0.5, Share: 0.5}},
		"UnknownPace":    {0, 1000, gate.UnknownPace, speed.Limits{Pace: speed.UnknownPace, Share: 1}},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := step(1)
			s.Fills = true
			w := &workerInfo{
				capacity:          job.Size{MilliCores: 4000},
				used:              job.Size{MilliCores: c.used},
				fillingMilliCores: c.filling,
			}

			assert.Equal(t, w.limits(&s, c.pace), c.limits)
		})
	}
}
