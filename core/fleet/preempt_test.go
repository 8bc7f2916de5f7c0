package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

// urgentID is the job of priority 0 of these tests, and otherID one of priority 2.
const (
	urgentID = "00000000000000f0"
	otherID  = "00000000000000f2"
)

// preemptingFleet returns a fleet with workers of 4 cores and 10,000 MB, each of which is full with
// tasks of 5,000 MB of the priority 2, a job a step.
func preemptingFleet(t *testing.T, workers int, steps ...job.Step) *Fleet {
	t.Helper()

	f := New(1)
	f.Preemption = true

	for i := range workers {
		node := fmt.Sprintf("n%d", i+1)
		f.Report(0, node, described(node))
	}

	for i, s := range steps {
		assert.Assert(t, f.Add(0, 0, lessUrgent(fmt.Sprintf("%016x", i+1), s)))
		// The steps after the first one are placed later, so that their runs are shorter.
		f.Schedule(time.Duration(i)*time.Second, time.Time{})
	}

	return f
}

func lessUrgent(id string, steps ...job.Step) job.Record {
	r := record(id, steps...)
	r.Priority = 2

	return r
}

// fillingStep returns a step of filling tasks of 5,000 MB with checkpoints.
func fillingStep(count int) job.Step {
	s := step(count)
	s.Size.MemoryMB = 5000
	s.Fills, s.Checkpointing = true, true

	return s
}

// withoutCheckpoints returns the step without checkpoints.
func withoutCheckpoints(s job.Step) job.Step {
	s.Checkpointing = false

	return s
}

// urgentStep returns a step of tasks that need 4,000 MB.
func urgentStep(count int) job.Step {
	s := step(count)
	s.Size.MemoryMB = 4000

	return s
}

// stopped returns the jobs of the runs that are to be stopped, by node.
func stopped(orders map[string]*Orders) map[string][]string {
	all := map[string][]string{}

	for n, o := range orders {
		for _, s := range o.Stops {
			all[n] = append(all[n], s.Task.Job)
		}

		slices.Sort(all[n])
	}

	return all
}

func startedOf(orders map[string]*Orders, id string) int {
	n := 0

	for _, l := range starts(orders) {
		for _, s := range l {
			if s.Task.Job == id {
				n++
			}
		}
	}

	return n
}

// endStopped ends a run as stopped.
func endStopped(f *Fleet, now time.Duration, node, id string, index, attempt int) {
	f.RecordEnd(now, node, gate.End{
		Number:  1,
		Task:    job.TaskID{Job: id, Index: index},
		Attempt: attempt,
		Reason:  gate.Stopped,
	})
}

// TestPreemption checks which runs are stopped for an urgent task that finds no worker. Without
// preemption, it waits until one of them ends.
func TestPreemption(t *testing.T) {
	serving := fillingStep(1)
	serving.Fills, serving.LongRunning, serving.TargetLatency = false, true, 150*time.Millisecond

	gang := fillingStep(2)
	gang.Gang = true

	small := fillingStep(4)
	small.Size.MemoryMB = 2500

	large, tiny := fillingStep(1), fillingStep(1)
	large.Size.MemoryMB, tiny.Size.MemoryMB = 8000, 1500

	labelled := urgentStep(1)
	labelled.Requires = "none"

	processor := withoutCheckpoints(step(4))

	tests := map[string]struct {
		workers int
		steps   []job.Step
		urgent  job.Step
		want    map[string][]string
	}{
		"Room":      {2, []job.Step{fillingStep(3)}, urgentStep(1), map[string][]string{}},
		"Memory":    {1, []job.Step{fillingStep(2)}, urgentStep(1), map[string][]string{"n1": {"0000000000000001"}}},
		"Processor": {1, []job.Step{processor}, step(1), map[string][]string{"n1": {"0000000000000001"}}},
		// As many as it takes on one worker.
		"Several": {1, []job.Step{small}, urgentStep(1), map[string][]string{"n1": {"0000000000000001", "0000000000000001"}}},
		"CheckpointsFirst": {
			1,
			[]job.Step{fillingStep(1), withoutCheckpoints(fillingStep(1))},
			urgentStep(1),
			map[string][]string{"n1": {"0000000000000001"}},
		},
		"LeastWorkLost": {
			1,
			[]job.Step{withoutCheckpoints(fillingStep(1)), withoutCheckpoints(fillingStep(1))},
			urgentStep(1),
			map[string][]string{"n1": {"0000000000000002"}},
		},
		"CheapestWorker": {
			2,
			[]job.Step{withoutCheckpoints(fillingStep(3)), fillingStep(1)},
			urgentStep(1),
			map[string][]string{"n2": {"0000000000000002"}},
		},
		"Serving": {1, []job.Step{serving, fillingStep(1)}, urgentStep(1), map[string][]string{"n1": {"0000000000000002"}}},
		// Not even if there is no other.
		"OnlyServing": {1, []job.Step{serving, serving}, urgentStep(1), map[string][]string{}},
		"Gang":        {1, []job.Step{gang}, urgentStep(1), map[string][]string{}},
		// Room is of no use where the task can't run.
		"Label": {1, []job.Step{fillingStep(2)}, labelled, map[string][]string{}},
		// A filling task doesn't take the room of others.
		"FillingTask": {1, []job.Step{fillingStep(2)}, fillingStep(1), map[string][]string{}},
		// The first run, with the least work lost, is not needed beside the second one.
		"AsFewAsNeeded": {
			1,
			[]job.Step{withoutCheckpoints(large), withoutCheckpoints(tiny)},
			urgentStep(1),
			map[string][]string{"n1": {"0000000000000001"}},
		},
		// One worker for each task.
		"TwoTasks": {3, []job.Step{fillingStep(6)}, urgentStep(2), map[string][]string{
			"n1": {"0000000000000001"},
			"n2": {"0000000000000001"},
		}},
	}

	const now = 5 * time.Second

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			for _, on := range []bool{true, false} {
				f := preemptingFleet(t, c.workers, c.steps...)
				f.Preemption = on
				assert.Assert(t, f.Add(now, 0, record(urgentID, c.urgent)))

				o := f.Schedule(now, time.Time{})
				if !on {
					c.want = map[string][]string{}
				}

				assert.DeepEqual(t, stopped(o), c.want)
				assert.Equal(t, len(f.Preemptions()), stops(o))

				// Nothing more while the room is awaited.
				assert.Equal(t, stops(f.Schedule(now+time.Second, time.Time{})), 0)
			}
		})
	}
}

// TestPreemptionOfEqualPriority checks that tasks of the same priority are not stopped.
func TestPreemptionOfEqualPriority(t *testing.T) {
	f := preemptingFleet(t, 1)
	assert.Assert(t, f.Add(0, 0, record(jobA, fillingStep(2))))
	f.Schedule(0, time.Time{})
	assert.Assert(t, f.Add(0, 0, record(urgentID, urgentStep(1))))
	assert.Equal(t, stops(f.Schedule(time.Second, time.Time{})), 0)

	// Nor does a less urgent task stop others.
	f = preemptingFleet(t, 1)
	r := lessUrgent(jobA, fillingStep(2))
	r.Priority = 3
	assert.Assert(t, f.Add(0, 0, r))
	f.Schedule(0, time.Time{})
	assert.Assert(t, f.Add(0, 0, lessUrgent(otherID, urgentStep(1))))
	assert.Equal(t, stops(f.Schedule(time.Second, time.Time{})), 0)
}

// TestRoomIsKept checks that the room that is made goes to the urgent task: the stopped task, or
// another one, took it as soon as it was free.
func TestRoomIsKept(t *testing.T) {
	small := fillingStep(4)
	small.Size.MemoryMB = 2500

	tests := map[string]struct {
		// change happens after the stop and before its end.
		change func(*Fleet)
		// restarted is whether a stopped task starts again where it ended.
		restarted bool
	}{
		"Kept":      {func(*Fleet) {}, false},
		"Cancelled": {func(f *Fleet) { f.Cancel(urgentID) }, true},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			f := preemptingFleet(t, 1, small)
			assert.Assert(t, f.Add(0, 0, record(urgentID, urgentStep(1))))

			now := 5 * time.Second
			o := f.Schedule(now, time.Time{})
			assert.Equal(t, stops(o), 2)
			c.change(f)

			// The first of two ends makes room for a task of 2,500 MB, but not for the urgent one.
			first, second := o["n1"].Stops[0], o["n1"].Stops[1]
			endStopped(f, now, "n1", first.Task.Job, first.Task.Index, first.Attempt)
			o = f.Schedule(now, time.Time{})
			assert.Equal(t, len(starts(o)) > 0, c.restarted)

			if c.restarted {
				return
			}

			endStopped(f, now, "n1", second.Task.Job, second.Task.Index, second.Attempt)
			o = f.Schedule(now, time.Time{})
			assert.Equal(t, startedOf(o, urgentID), 1)
			assert.Equal(t, len(starts(o)["n1"]), 1)

			// Afterwards, the worker is as any other.
			f.RecordEnd(now, "n1", end("n1", 3, urgentID, 1, gate.Done).End)
			assert.Equal(t, len(starts(f.Schedule(now, time.Time{}))["n1"]), 2)
		})
	}
}

// TestLostPreemption checks that a stop is ordered again if its run doesn't end, on another worker
// if there is one, and that no room is kept for good on a worker that stops nothing.
func TestLostPreemption(t *testing.T) {
	for workers, want := range map[int]string{
		1: "n1",
		2: "n2",
	} {
		t.Run(want, func(t *testing.T) {
			f := preemptingFleet(t, workers, fillingStep(2*workers))
			assert.Assert(t, f.Add(0, 0, record(urgentID, urgentStep(1))))

			now := 5 * time.Second
			assert.Equal(t, len(stopped(f.Schedule(now, time.Time{}))["n1"]), 1)
			assert.Equal(t, len(f.Preemptions()), 1)

			assert.Assert(t, f.NextWake(now) <= now+stopRepeatDelay)

			now += stopRepeatDelay
			o := f.Schedule(now, time.Time{})
			assert.DeepEqual(t, stopped(o), map[string][]string{want: {"0000000000000001"}})
			// The repetition on the same worker is no other preemption.
			assert.Equal(t, len(f.Preemptions()), workers-1)
		})
	}
}

// TestRoomLapses checks that a worker is no longer cleared when the urgent task found room elsewhere,
// and when a time has passed without an event.
func TestRoomLapses(t *testing.T) {
	f := preemptingFleet(t, 1, fillingStep(2))
	assert.Assert(t, f.Add(0, 0, record(urgentID, urgentStep(1))))

	now := 5 * time.Second
	assert.Equal(t, stops(f.Schedule(now, time.Time{})), 1)

	w := f.workers["n1"]
	less := &jobInfo{record: lessUrgent(otherID)}
	assert.Assert(t, w.clearing.keepsOut(now, less))
	assert.Assert(t, !w.clearing.keepsOut(now, &jobInfo{}))
	assert.Assert(t, !w.clearing.keepsOut(now+stopRepeatDelay, less))

	f.Report(now, "n2", described("n2"))
	assert.Equal(t, startedOf(f.Schedule(now, time.Time{}), urgentID), 1)
	assert.Assert(t, !w.clearing.keepsOut(now, less))
}

// TestPreemptedOnce checks that a task is stopped for others at most once in 10 s, however many
// urgent tasks come.
func TestPreemptedOnce(t *testing.T) {
	f := preemptingFleet(t, 1, fillingStep(2))
	now, attempts := 5*time.Second, map[int]int{0: 1, 1: 1}
	ends := map[int]time.Duration{}

	for i := range 100 {
		id := fmt.Sprintf("%016x", 1000+i)
		assert.Assert(t, f.Add(now, 0, record(id, urgentStep(1))))

		o := f.Schedule(now, time.Time{})

		for _, s := range o["n1"].stopList() {
			last, again := ends[s.Task.Index]
			assert.Assert(t, !again || now >= last+preemptionInterval, "task %d was stopped at %s and %s", s.Task.Index, last, now)
			ends[s.Task.Index] = now
			endStopped(f, now, "n1", s.Task.Job, s.Task.Index, attempts[s.Task.Index])
		}

		// The urgent tasks end at once, and the others start again.
		for range 2 {
			for _, s := range f.Schedule(now, time.Time{})["n1"].startList() {
				if s.Task.Job == "0000000000000001" {
					attempts[s.Task.Index] = s.Attempt

					continue
				}

				f.RecordEnd(now, "n1", gate.End{
					Number:  1,
					Task:    s.Task,
					Attempt: s.Attempt,
					Reason:  gate.Done,
				})
			}
		}

		now += 500 * time.Millisecond
	}

	assert.Equal(t, len(ends), 2)
}

// stopList returns the stops, also of no orders.
func (o *Orders) stopList() []Stop {
	if o == nil {
		return nil
	}

	return o.Stops
}

// startList returns the starts, also of no orders.
func (o *Orders) startList() []gate.StartOrder {
	if o == nil {
		return nil
	}

	return o.Starts
}

// TestRoomSearches checks that a pass makes a bounded number of searches, and none again at once where
// no room can be made: each one goes through all workers.
func TestRoomSearches(t *testing.T) {
	f := preemptingFleet(t, 20, fillingStep(40))
	assert.Assert(t, f.Add(0, 0, record(urgentID, urgentStep(20))))

	now := 5 * time.Second
	assert.Equal(t, stops(f.Schedule(now, time.Time{})), maxRoomSearches)
	assert.Equal(t, stops(f.Schedule(now+time.Millisecond, time.Time{})), maxRoomSearches)

	f = preemptingFleet(t, 1)
	for i := range 100 {
		assert.Assert(t, f.Add(0, 0, record(fmt.Sprintf("%016x", i), urgentStep(3))))
	}

	f.Schedule(now, time.Time{})
	assert.Equal(t, f.preemption.searches, 1)
	f.Schedule(now+time.Millisecond, time.Time{})
	assert.Equal(t, f.preemption.searches, 0)
	assert.Assert(t, f.NextWake(now+time.Millisecond) <= now+roomSearchDelay)
}

// TestRoomBesideAntiAffinity guards against a task for which no room can be made only because of its
// anti-affinity, and which keeps the others of its size from having room made.
func TestRoomBesideAntiAffinity(t *testing.T) {
	f := preemptingFleet(t, 1, fillingStep(1))

	// Its first task runs, and no other may on that worker.
	apart := urgentStep(2)
	apart.AntiAffinity = 1

	now := 5 * time.Second
	assert.Assert(t, f.Add(now, 0, record(jobA, apart)))
	assert.Assert(t, f.Add(now, 0, record(urgentID, urgentStep(1))))
	assert.Equal(t, startedOf(f.Schedule(now, time.Time{}), jobA), 1)
	assert.Equal(t, f.open[0].record.ID, jobA)
	assert.Equal(t, f.preemption.searches, 2)

	preemptions := f.Preemptions()
	assert.Equal(t, len(preemptions), 1)
	assert.Equal(t, preemptions[0].For, urgentID)

	// Nor is room sought for it in each pass.
	f.Schedule(now+time.Millisecond, time.Time{})
	assert.Equal(t, f.preemption.searches, 0)
	assert.Assert(t, f.NextWake(now+time.Millisecond) <= now+roomSearchDelay)
	f.Schedule(now+roomSearchDelay, time.Time{})
	assert.Equal(t, f.preemption.searches, 1)
}

// TestNoRoomForRackWait guards against runs that are stopped for a task that has room and only waits for
// the rack of its data.
func TestNoRoomForRackWait(t *testing.T) {
	f := newRackFleet(true)
	f.Preemption = true

	// A worker without room, which is outside the rack as well.
	f.workers["n2"].ready = false
	f.Report(0, "n0", described("n0"))
	assert.Assert(t, f.Add(0, 0, lessUrgent(otherID, fillingStep(2))))
	f.Schedule(0, time.Time{})
	assert.Equal(t, runsOf(f, otherID)["n0"], 2)

	f.workers["n2"].ready = true

	now := 600 * time.Millisecond
	s := urgentStep(1)
	s.DataRack = rackLabel
	assert.Assert(t, f.Add(now, 0, record(urgentID, s)))

	o := f.Schedule(now, time.Time{})
	assert.Equal(t, startedOf(o, urgentID), 0)
	assert.Equal(t, stops(o), 0)
	assert.Assert(t, f.workers["n0"].clearing.task == nil)
}

// TestNoRoomOnReservedWorker guards against runs that are stopped for a task where the room is then kept
// for the reservation of another task, which comes first.
func TestNoRoomOnReservedWorker(t *testing.T) {
	f := New(1)
	f.Preemption, f.LookAhead = true, true
	f.Report(0, "n1", described("n1"))

	urgent, less := sized(1, 2, 2*time.Second), sized(1, 2, time.Minute)
	less.Checkpointing = true

	assert.Assert(t, f.Add(0, 0, record(jobA, urgent)))
	assert.Assert(t, f.Add(0, 0, lessUrgent(otherID, less)))
	f.Schedule(0, time.Time{})

	// No room can be made for the first task before that of jobA ends. The other one would fit at once,
	// but would delay it.
	first, second := sized(1, 3, time.Second), sized(1, 2, time.Minute)
	assert.Assert(t, f.Add(0, time.Second, record(jobB, first)))
	assert.Assert(t, f.Add(0, 0, record(urgentID, second)))

	assert.Equal(t, stops(f.Schedule(time.Second, time.Time{})), 0)
	assert.Equal(t, len(f.Reservations()), 1)

	// A task that comes before that of the reservation is not bound by it.
	assert.Assert(t, f.Add(time.Second, 2300*time.Millisecond, record(jobC, sized(1, 2, time.Second))))
	assert.Equal(t, stops(f.Schedule(1500*time.Millisecond, time.Time{})), 1)
	assert.Equal(t, f.Preemptions()[0].For, jobC)
}

// TestRunsComparedWithoutText guards against text that is formatted for each pair of runs that are sorted,
// which took more than half of the time of a search for room.
func TestRunsComparedWithoutText(t *testing.T) {
	small := withoutCheckpoints(fillingStep(50))
	small.Size.MemoryMB, small.Size.MilliCores = 200, 50

	f := preemptingFleet(t, 1, small)
	assert.Assert(t, f.Add(0, 0, record(urgentID, urgentStep(1))))

	j, w := f.jobs[urgentID], f.workers["n1"]
	assert.Equal(t, len(w.runs), 50)

	allocations := testing.AllocsPerRun(10, func() { f.victimsOn(5*time.Second, j, w) })
	// Those of the list, which grows.
	assert.Assert(t, allocations < 20, "%g allocations", allocations)
}

// TestRoomToCome guards against runs that are stopped for an urgent task although another run, which is
// already being stopped for a move, leaves it room.
func TestRoomToCome(t *testing.T) {
	for stopping, stopped := range map[bool]int{
		true:  0,
		false: 1,
	} {
		f := preemptingFleet(t, 1, fillingStep(2))

		now := 5 * time.Second
		if stopping {
			f.workers["n1"].runs[job.TaskID{Job: "0000000000000001"}].stopAwaitedUntil = now + stopRepeatDelay
		}

		assert.Assert(t, f.Add(now, 0, record(urgentID, urgentStep(1))))
		assert.Equal(t, stops(f.Schedule(now, time.Time{})), stopped)
		// In either case, the room is kept for it.
		assert.Assert(t, f.workers["n1"].clearing.active(now))
	}
}
