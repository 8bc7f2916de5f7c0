package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"
	"trefoildeck/core/lookahead"

	"gotest.tools/v3/assert"
)

const (
	jobC = "000000000000000c"
	jobD = "000000000000000d"
)

// sized returns a step of count tasks of a number of cores.
func sized(count int, cores int64, estimate time.Duration) job.Step {
	s := step(count)
	s.Size.MilliCores = 1000 * cores
	s.Estimate = estimate

	return s
}

// newReservingFleet returns a fleet whose worker n1 of four cores runs four tasks of jobA of one
// core and one second, while a task of jobB of three cores waits.
func newReservingFleet(t *testing.T, enabled bool) *Fleet {
	t.Helper()

	f := New(1)
	f.LookAhead = enabled
	f.Report(0, "n1", described("n1"))
	f.Add(0, 0, record(jobA, sized(4, 1, time.Second)))
	assert.Equal(t, len(starts(f.Schedule(0, time.Time{}))["n1"]), 4)

	// Ahead of the others, and useful for a long time.
	large := record(jobB, sized(1, 3, time.Second))
	large.Stretch = 100
	f.Add(0, 99*time.Second, large)
	assert.Equal(t, len(starts(f.Schedule(0, time.Time{}))), 0)

	return f
}

// endTask records the successful end of a task of jobA.
func endTask(f *Fleet, now time.Duration, index int) {
	e := end("n1", int64(index+1), jobA, 1, gate.Done).End
	e.Task.Index = index
	f.RecordEnd(now, "n1", e)
}

// startedJobs returns the jobs of which tasks are started by orders, sorted.
func startedJobs(orders map[string]*Orders) []string {
	list := []string{}

	for _, o := range orders {
		for _, s := range o.Starts {
			list = append(list, s.Task.Job)
		}
	}

	slices.Sort(list)

	return list
}

// TestReservation guards against small tasks that take the room of a large one that waits, and
// against those being held back that end before it starts.
func TestReservation(t *testing.T) {
	tests := map[string]struct {
		enabled     bool
		early, late []string
		made        int
	}{
		"Off": {false, []string{jobD}, []string{jobC}, 0},
		"On":  {true, []string{jobC}, []string{jobB}, 1},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			f := newReservingFleet(t, c.enabled)
			made := f.Reservations()
			assert.Equal(t, len(made), c.made)

			if c.enabled {
				assert.DeepEqual(t, made[0], Reservation{
					Node:    "n1",
					Task:    job.TaskID{Job: jobB},
					Wait:    time.Second,
					Lacking: "MilliCores",
				})
				assert.Equal(t, f.NextWake(0), 3*time.Second, "a pass is needed when it lapses")
			}

			now := 500 * time.Millisecond
			endTask(f, now, 0)
			endTask(f, now, 1)
			// The longer task comes first in order, and must not stand for the shorter one.
			f.Add(now, 1700*time.Millisecond, record(jobD, sized(1, 2, 1500*time.Millisecond)))
			f.Add(now, 0, record(jobC, sized(1, 1, 400*time.Millisecond)))
			assert.DeepEqual(t, startedJobs(f.Schedule(now, time.Time{})), c.early)

			now = time.Second
			endTask(f, now, 2)
			endTask(f, now, 3)

			if c.enabled {
				f.RecordEnd(now, "n1", end("n1", 5, jobC, 1, gate.Done).End)
			}

			assert.DeepEqual(t, startedJobs(f.Schedule(now, time.Time{})), c.late)

			for _, e := range f.ReservationEnds() {
				assert.Equal(t, e.Why, ReservationUsed)
				assert.Equal(t, e.FirstHeldBack, jobD)
			}
		})
	}
}

// TestNoRoomMadeOnReserved guards against stopping less urgent runs on a reserved worker for a task behind the
// reservation: the task would take the room that is kept, and the reservation would end.
func TestNoRoomMadeOnReserved(t *testing.T) {
	for name, reserved := range map[string]bool{"Free": false, "Reserved": true} {
		t.Run(name, func(t *testing.T) {
			f := New(1)
			f.LookAhead, f.Preemption = true, true
			f.Report(0, "n1", described("n1"))

			fills := step(1)
			fills.Fills, fills.Size.MemoryMB = true, 8000
			other := record(jobD, fills)
			other.Priority = 2

			f.Add(0, 0, other)
			f.Add(0, 0, record(jobA, sized(3, 1, time.Second)))
			assert.Equal(t, len(starts(f.Schedule(0, time.Time{}))["n1"]), 4)

			if reserved {
				f.Add(0, 0, record(jobB, sized(1, 4, time.Second)))
			}

			late := sized(1, 1, time.Minute)
			late.Size.MemoryMB = 5000
			behind := record(jobC, late)
			behind.Stretch = 100
			f.Add(0, 0, behind)

			now := 10 * time.Millisecond
			assert.Equal(t, stops(f.Schedule(now, time.Time{})) > 0, !reserved)

			f.Schedule(2*now, time.Time{})

			r, ok := f.ahead.plan.On("n1")
			assert.Assert(t, ok)
			assert.Equal(t, r.Step.Job == jobB, reserved)
		})
	}
}

// TestReservedInStream guards against a stream of small tasks that keeps a large one waiting for
// ever: each takes the room that the one before it leaves.
func TestReservedInStream(t *testing.T) {
	for name, enabled := range map[string]bool{"Off": false, "On": true} {
		t.Run(name, func(t *testing.T) {
			f := newReservingFleet(t, enabled)
			ends := map[job.TaskID]time.Duration{}
			number, small := int64(0), 0

			for i := range 4 {
				ends[job.TaskID{
					Job:   jobA,
					Index: i,
				}] = time.Duration(i+1) * 250 * time.Millisecond
			}

			for now := 50 * time.Millisecond; now < time.Minute; now += 50 * time.Millisecond {
				for id, at := range ends {
					if at <= now {
						number++
						e := end("n1", number, id.Job, 1, gate.Done).End
						e.Task = id
						f.RecordEnd(now, "n1", e)
						delete(ends, id)
					}
				}

				f.Add(now, 0, record(fmt.Sprintf("%016x", 1000+now.Milliseconds()), sized(1, 1, time.Second)))

				for _, s := range f.Schedule(now, time.Time{})["n1"].startsOrNone() {
					ends[s.Task] = now + s.Estimate
					small++

					if s.Task.Job == jobB {
						assert.Assert(t, enabled)
						assert.Assert(t, now <= 1500*time.Millisecond, "started at %s", now)

						return
					}
				}
			}

			assert.Assert(t, !enabled, "the large task did not start")
			assert.Assert(t, small > 200, "%d small tasks", small)
		})
	}
}

func (o *Orders) startsOrNone() []gate.StartOrder {
	if o == nil {
		return nil
	}

	return o.Starts
}

// TestReservationEnds guards against a reservation that keeps a worker although it can't be used
// or its time has passed.
func TestReservationEnds(t *testing.T) {
	const now = 500 * time.Millisecond

	urgent := record(jobC, sized(1, 2, time.Minute))
	urgent.Priority = -1

	tests := map[string]struct {
		change func(f *Fleet)
		at     time.Duration
		why    LapseReason
	}{
		"Lost": {func(f *Fleet) { f.Disconnected("n1") }, now, WorkerUnavailable},
		"Draining": {func(f *Fleet) {
			r := described("n1")
			r.Full, r.Ready = false, false
			f.Report(now, "n1", r)
		}, now, WorkerUnavailable},
		"Out": {func(f *Fleet) { f.Out["dc-n1"] = true }, now, WorkerUnavailable},
		"Quarantined": {func(f *Fleet) {
			f.workers["n1"].health.quarantine, f.workers["n1"].quarantinedUntil = time.Second, time.Minute
		}, now, WorkerUnavailable},
		"Cancelled": {func(f *Fleet) { f.Cancel(jobB) }, now, ReservationOver},
		"Late":      {func(*Fleet) {}, 3 * time.Second, ReservationLate},
		"Urgent": {func(f *Fleet) {
			endTask(f, now, 0)
			endTask(f, now, 1)
			f.Add(now, 0, urgent)
		}, now, Outranked},
		"Elsewhere": {func(f *Fleet) { f.Report(now, "n2", described("n2")) }, now, ReservationUsed},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			f := newReservingFleet(t, true)
			assert.Equal(t, len(f.Reservations()), 1)

			c.change(f)
			f.Schedule(c.at, time.Time{})

			ended := f.ReservationEnds()
			assert.Equal(t, len(ended), 1)
			assert.Equal(t, ended[0].Why, c.why)
			assert.Equal(t, ended[0].Job, jobB)
			assert.Equal(t, f.workers["n1"].reserved.held, f.ahead.plan.Len() > 0)
			assert.Equal(t, f.jobs[jobB].steps[0].reservedLate, c.why == ReservationLate)
		})
	}
}

// TestReservedWorker guards against a reservation on a worker that the task can't use, and against one
// that is of no use or goes to a worker that has room later than another.
func TestReservedWorker(t *testing.T) {
	tests := map[string]struct {
		step   func(s *job.Step)
		change func(f *Fleet)
		node   string
	}{
		"Earliest": {func(*job.Step) {}, func(*Fleet) {}, "n1"},
		"Label":    {func(s *job.Step) { s.Requires = "gpu" }, func(f *Fleet) { f.workers["n2"].labels = []string{"gpu"} }, "n2"},
		"Service":  {func(*job.Step) {}, func(f *Fleet) { f.workers["n1"].service = "bills" }, "n2"},
		"Out":      {func(*job.Step) {}, func(f *Fleet) { f.Out["dc-n1"] = true }, "n2"},
		"Draining": {func(*job.Step) {}, func(f *Fleet) { f.workers["n1"].ready = false }, "n2"},
		"Affinity": {func(s *job.Step) { s.AntiAffinity = 1 }, func(f *Fleet) {
			f.jobs[jobB].steps[0].perWorker[f.workers["n1"]] = 1
		}, "n2"},
		"Avoided":   {func(*job.Step) {}, func(f *Fleet) { f.jobs[jobB].steps[0].tasks[0].avoidNode = "n1" }, "n2"},
		"TooLarge":  {func(s *job.Step) { s.Size.MilliCores = 9000 }, func(*Fleet) {}, ""},
		"OneEnd":    {func(s *job.Step) { s.Size.MilliCores = 1000 }, func(*Fleet) {}, ""},
		"NeverEnds": {func(s *job.Step) { s.Size.MilliCores = 4000 }, func(f *Fleet) { f.jobs[jobA].steps[0].spec.LongRunning = true }, ""},
		"Filling":   {func(s *job.Step) { s.Fills = true }, func(f *Fleet) { f.jobs[jobB].active++ }, "n1"},
		"FillingMemory": {func(s *job.Step) {
			s.Fills = true
			s.Size.MemoryMB = 9700
		}, func(*Fleet) {}, "n1"},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			f := New(1)
			f.Report(0, "n1", described("n1"))
			f.Add(0, 0, record(jobA, sized(8, 1, time.Second)))
			f.Schedule(0, time.Time{})
			f.Report(time.Millisecond, "n2", described("n2"))
			f.Schedule(time.Millisecond, time.Time{})
			assert.Equal(t, f.workers["n2"].used.MilliCores, int64(4000))

			f.LookAhead = true
			s := sized(1, 3, time.Second)
			c.step(&s)
			f.Add(0, 0, record(jobB, s))
			c.change(f)
			f.Schedule(time.Millisecond, time.Time{})

			made := f.Reservations()
			if c.node == "" {
				assert.Equal(t, len(made), 0)

				return
			}

			assert.Equal(t, len(made), 1)
			assert.Equal(t, made[0].Node, c.node)
		})
	}
}

// TestReservationsBounded guards against a pass whose cost grows with the number of large tasks that
// wait, and against tasks without use for a reservation that keep others from theirs.
func TestReservationsBounded(t *testing.T) {
	f := New(1)
	f.LookAhead = true

	for i := range 300 {
		node := fmt.Sprintf("n%d", i)
		f.Report(0, node, described(node))
	}

	f.Add(0, 0, record(jobA, sized(1200, 1, time.Second)))
	f.Schedule(0, time.Time{})

	const waiting = 2000

	for i := range waiting {
		s := sized(1, 2, time.Second)
		s.Size.MilliCores += int64(i)
		f.Add(0, time.Minute, record(fmt.Sprintf("%016x", 1000+i), s))
	}

	searches, now := 0, time.Duration(0)

	for range 20 {
		now += 5 * time.Millisecond
		f.Schedule(now, time.Time{})
		assert.Assert(t, f.ahead.looks <= maxLooks)
		searches += f.ahead.looks / 300
	}

	assert.Equal(t, f.ahead.plan.Len(), lookahead.MaxReservations)
	assert.Equal(t, searches, lookahead.MaxReservations, "a full plan needs no searches")

	nodes := map[string]bool{}
	for _, r := range f.Reservations() {
		nodes[r.Node] = true
	}

	assert.Equal(t, len(nodes), lookahead.MaxReservations, "each worker has one reservation")
}

// TestSmallTasksBefore guards against hundreds of small tasks, which need no reservation, that use up
// the searches before a large one behind them is reached.
func TestSmallTasksBefore(t *testing.T) {
	f := New(1)
	f.LookAhead = true

	for i := range 300 {
		node := fmt.Sprintf("n%d", i)
		f.Report(0, node, described(node))
	}

	f.Add(0, 0, record(jobA, sized(1200, 1, time.Second)))
	f.Schedule(0, time.Time{})

	for i := range 1000 {
		s := sized(1, 1, time.Second)
		s.Size.MilliCores -= int64(i)
		f.Add(0, time.Second, record(fmt.Sprintf("%016x", 1000+i), s))
	}

	f.Add(0, 0, record(jobB, sized(1, 3, time.Second)))
	f.Schedule(time.Millisecond, time.Time{})

	made := f.Reservations()
	assert.Equal(t, len(made), 1)
	assert.Equal(t, made[0].Task.Job, jobB)
}
