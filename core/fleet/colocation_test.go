package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/interference"
	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

// newColocationFleet returns a fleet with colocation and workers n1, n2… of 32 cores. The filling image
// "hot" slows the serving image "api" and no other, and "any" slows none.
func newColocationFleet(workers int) *Fleet {
	f := New(1)
	f.Colocation = true
	f.AwaitReports(0, nil, nil, nil)

	for i := range workers {
		r := described(fmt.Sprintf("n%d", i+1))
		r.Capacity = job.Size{
			MilliCores: 32_000,
			MemoryMB:   125_000,
		}
		f.Report(0, fmt.Sprintf("n%d", i+1), r)
	}

	estimates := map[interference.Pair]interference.Estimate{}

	for _, filling := range []string{"hot", "any"} {
		for _, serving := range []string{"api", "search"} {
			e := interference.Estimate{Weight: 1}
			if filling == "hot" && serving == "api" {
				e.Factor = 10
			}

			estimates[interference.Pair{
				Filling: filling,
				Serving: serving,
			}] = e
		}
	}

	f.Interference.Put("n1", estimates)

	return f
}

// servingImage returns a step of serving tasks of 6.4 cores.
func servingImage(count int, image string) job.Step {
	s := step(count)
	s.LongRunning, s.TargetLatency, s.Image = true, 150*time.Millisecond, image
	s.Size.MilliCores = 6400

	return s
}

// fillingImage returns a step of filling tasks of 3.5 cores.
func fillingImage(count int, image string) job.Step {
	s := step(count)
	s.Fills, s.Checkpointing, s.Image = true, true, image
	s.Size.MilliCores = 3500

	return s
}

// reportRuns reports all runs of a fleet as at work, with a latency for serving tasks and a pace.
func reportRuns(f *Fleet, now time.Duration, latency int64, pace map[job.TaskID]int) {
	for _, w := range f.sortedWorkers {
		var r Report

		for id, run := range w.runs {
			g := gate.Run{
				Task:            id,
				Attempt:         run.attempt,
				ProgressPercent: 10,
				PacePercent:     100,
				Confirmed:       true,
				OrderKnown:      true,
			}

			if run.step.TargetLatency > 0 {
				g.ProgressPercent, g.Measurement = 100, latency
			}

			if p, ok := pace[id]; ok {
				g.PacePercent = p
			}

			r.Runs = append(r.Runs, g)
		}

		f.Report(now, w.node, r)
	}
}

// runsOf returns the number of a job's runs by node.
func runsOf(f *Fleet, id string) map[string]int {
	runs := map[string]int{}

	for _, w := range f.sortedWorkers {
		for t := range w.runs {
			if t.Job == id {
				runs[w.node]++
			}
		}
	}

	return runs
}

// TestScarceWorkerKept checks that tasks of an image that could run anywhere leave the only worker that
// suits another image to its tasks. They took it, and the others waited beside idle workers.
func TestScarceWorkerKept(t *testing.T) {
	tests := map[string]struct {
		colocation bool
		kept       bool
	}{
		"On":  {true, true},
		"Off": {false, false},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			f := newColocationFleet(4)
			f.Colocation = c.colocation

			// Four tasks on each of three workers, and one on the fourth, which has most room.
			f.Add(0, 0, record(jobA, servingImage(12, "api")))
			f.Add(0, 0, record(jobB, servingImage(1, "search")))
			f.Schedule(0, time.Time{})
			reportRuns(f, time.Second, 60, nil)

			// Accepted first, so that they are placed first.
			f.Add(time.Second, 0, record(jobC, fillingImage(11, "any")))
			f.Add(time.Second, 0, record(jobD, fillingImage(8, "hot")))
			f.Schedule(time.Second, time.Time{})

			suits := ""
			for n := range runsOf(f, jobB) {
				suits = n
			}

			assert.Equal(t, runsOf(f, jobD)[suits] >= 6, c.kept, "any: %v, hot: %v", runsOf(f, jobC), runsOf(f, jobD))
		})
	}
}

// TestServingPlacedByEffects guards against a serving task that is placed beside tasks of an image that
// blocks other filling work than its own, although it would block nothing new elsewhere.
func TestServingPlacedByEffects(t *testing.T) {
	for colocation, want := range map[bool]string{
		true:  "n1",
		false: "n2",
	} {
		f := newColocationFleet(2)
		f.Colocation = colocation

		for node, image := range map[string]string{
			"n1": "web",
			"n2": "search",
		} {
			for _, w := range f.sortedWorkers {
				w.ready = w.node == node
			}

			f.Add(0, 0, record("00000000000000"+node, servingImage(map[string]int{
				"n1": 3,
				"n2": 2,
			}[node], image)))
			f.Schedule(0, time.Time{})
		}

		for _, w := range f.sortedWorkers {
			w.ready = true
		}

		// "web" is slowed by the same filling image as "api".
		f.Interference.Put("n2", map[interference.Pair]interference.Estimate{{
			Filling: "hot",
			Serving: "web",
		}: {
			Factor: 10,
			Weight: 1,
		}})

		f.Add(0, 0, record(jobD, fillingImage(20, "hot")))
		f.Schedule(time.Second, time.Time{})
		f.Add(time.Second, 0, record(jobA, servingImage(1, "api")))
		f.Schedule(2*time.Second, time.Time{})
		assert.DeepEqual(t, runsOf(f, jobA), map[string]int{want: 1})
	}
}

// TestServingTaskMoved checks that a serving task that alone keeps filling work from its worker is moved
// beside others that do the same, but not before it has served for a while, nor while another task of
// its step is not at work. The work waited for as long as the serving task ran.
func TestServingTaskMoved(t *testing.T) {
	tests := map[string]struct {
		now      time.Duration
		starting bool
		moves    int
	}{
		"Served":      {6 * time.Second, false, 1},
		"JustStarted": {4 * time.Second, false, 0},
		"OtherStarts": {6 * time.Second, true, 0},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			f := newColocationFleet(2)
			f.Add(0, 0, record(jobA, servingImage(3, "api")))
			f.Schedule(0, time.Time{})
			f.Add(0, 0, record(jobB, servingImage(3, "search")))
			f.Schedule(0, time.Time{})

			api := f.sortedWorkers[0]
			if runsOf(f, jobA)[api.node] == 0 {
				api = f.sortedWorkers[1]
			}

			// The worker beside whose tasks it belongs takes nothing for a moment.
			api.ready = false
			f.Add(0, 0, record(jobC, servingImage(2, "api")))
			f.Schedule(0, time.Time{})

			api.ready = true
			assert.Equal(t, runsOf(f, jobC)[api.node], 0)

			f.Add(time.Second, 0, record(jobD, fillingImage(40, "hot")))
			reportRuns(f, c.now, 60, nil)

			if c.starting {
				for _, w := range f.sortedWorkers {
					for id, r := range w.runs {
						if id == (job.TaskID{Job: jobC, Index: 1}) {
							r.progressPercent = 0
						}
					}
				}
			}

			orders := f.Schedule(c.now, time.Time{})
			moves := f.ServingMoves()
			assert.Equal(t, len(moves), c.moves)
			assert.Equal(t, stops(orders), c.moves)

			for _, m := range moves {
				assert.Equal(t, m.Task.Job, jobC)
				assert.Equal(t, m.To, api.node)
				assert.Assert(t, m.Gain >= 2)
			}
		})
	}
}

// movableServing returns a fleet with a serving task on n2 that keeps filling work from running, and
// belongs on n1, beside others of its image. There may be other tasks of its step, each on a worker of its
// own. All have served for 6 s.
func movableServing(t *testing.T, others ...string) *Fleet {
	t.Helper()

	f := newColocationFleet(2 + len(others))
	place := func(id string, s job.Step, on ...string) {
		for _, w := range f.sortedWorkers {
			w.ready = slices.Contains(on, w.node)
		}

		f.Add(0, 0, record(id, s))
		f.Schedule(0, time.Time{})

		for _, n := range on {
			assert.Equal(t, runsOf(f, id)[n], s.Count/len(on))
		}
	}

	place(jobA, servingImage(3, "api"), "n1")
	place(jobB, servingImage(3, "search"), "n2")

	moved := servingImage(1+len(others), "api")
	moved.AntiAffinity = 1
	place(jobC, moved, append(others, "n2")...)

	for _, w := range f.sortedWorkers {
		w.ready = true
	}

	f.Add(time.Second, 0, record(jobD, fillingImage(60, "hot")))
	reportRuns(f, 6*time.Second, 60, nil)

	return f
}

// TestNoServingMoveWhileStartsWait guards against a serving task that is stopped by a leader which can't
// start it elsewhere, as it still awaits the report of a node: the task was out of service until then.
func TestNoServingMoveWhileStartsWait(t *testing.T) {
	f := movableServing(t)
	f.unreported["n3"] = MaxLeaseTime

	assert.Equal(t, stops(f.Schedule(6*time.Second, time.Time{})), 0)
	assert.Equal(t, len(f.ServingMoves()), 0)

	f.Schedule(MaxLeaseTime, time.Time{})
	assert.Equal(t, len(f.ServingMoves()), 1)
}

// TestNoServingMoveBesideLostTask guards against a serving task that is moved while another one of its
// step is on a worker without a session, and may be lost: two of them were away.
func TestNoServingMoveBesideLostTask(t *testing.T) {
	for lost, moves := range map[bool]int{
		false: 1,
		true:  0,
	} {
		f := movableServing(t, "n3")
		if lost {
			f.Disconnected("n3")
		}

		f.Schedule(6*time.Second, time.Time{})

		list := slices.DeleteFunc(f.ServingMoves(), func(m ServingMove) bool { return m.Task.Job != jobC })
		assert.Equal(t, len(list), moves, "lost: %t", lost)
	}
}

// TestServingMoveSearches guards against an update whose cost grows with the square of the workers: it
// searched all of them for each candidate, also if none had room for any. It checks as well that a
// candidate that comes late gets its turn.
func TestServingMoveSearches(t *testing.T) {
	const workers = 3 * maxServingSearches

	f := newColocationFleet(workers)
	s := servingImage(workers, "api")
	s.AntiAffinity = 1
	f.Add(0, 0, record(jobA, s))
	f.Schedule(0, time.Time{})
	f.Add(0, 0, record(jobD, fillingImage(10*workers, "hot")))
	reportRuns(f, 6*time.Second, 60, nil)

	// No other worker has memory for one more.
	for _, w := range f.sortedWorkers {
		w.used.MemoryMB = w.capacity.MemoryMB
	}

	searched := map[int]bool{}

	for now := 6 * time.Second; now < 8*time.Second; now += 100 * time.Millisecond {
		f.Schedule(now, time.Time{})
		assert.Assert(t, f.colocation.searches <= maxServingSearches)
		searched[f.colocation.searchFrom] = true
	}

	assert.Equal(t, len(f.colocation.planner.Candidates()), workers)
	assert.DeepEqual(t, searched, map[int]bool{
		0:                      true,
		maxServingSearches:     true,
		2 * maxServingSearches: true,
	})
}

// updateTime returns the time of an update with a serving step of a task on each worker, of which one is
// not at work.
func updateTime(t *testing.T, workers int) time.Duration {
	t.Helper()

	f := newColocationFleet(workers)
	s := servingImage(workers, "api")
	s.AntiAffinity = 1
	f.Add(0, 0, record(jobA, s))
	f.Schedule(0, time.Time{})
	f.Add(0, 0, record(jobD, fillingImage(10*workers, "hot")))
	reportRuns(f, 6*time.Second, 60, nil)

	last := job.TaskID{Job: jobA, Index: workers - 1}
	_, _, k := f.findTask(last)
	k.worker.runs[last].progressPercent = 50

	fastest := time.Hour

	for now := 6 * time.Second; now < 16*time.Second; now += time.Second {
		began := time.Now()
		f.updateColocation(now, false)
		fastest = min(fastest, time.Since(began))
	}

	assert.Equal(t, len(f.ServingMoves()), 0)

	return fastest
}

// TestLargeServingStep guards against an update that looks at all tasks of a step for each of them.
func TestLargeServingStep(t *testing.T) {
	few, many := updateTime(t, 100), updateTime(t, 1600)

	// 16 times as many tasks take 16 times as long, and took about 256 times as long.
	assert.Assert(t, many < 64*few, "100 tasks take %s, 1600 take %s", few, many)
}

// TestPacedRunMovedFirst checks that a run that is paced down gets the room that becomes free before
// tasks that wait, if its job comes first, and that the room is kept for it until it has stopped. Tasks
// of other jobs took each free place, and the run stood still for 10 to 18 s.
func TestPacedRunMovedFirst(t *testing.T) {
	f := newColocationFleet(1)

	f.Add(0, 0, record(jobA, servingImage(4, "api")))
	f.Add(0, 0, record(jobC, fillingImage(1, "hot")))
	f.Schedule(0, time.Time{})
	assert.Equal(t, runsOf(f, jobC)["n1"], 1)

	// A worker without serving tasks comes, and is full.
	const full = "n2"

	r := described(full)
	r.Capacity = f.sortedWorkers[0].capacity
	f.Report(0, full, r)

	busy := step(1)
	busy.Size.MilliCores = 32_000
	f.Add(0, 0, record(jobB, busy))
	f.Schedule(0, time.Time{})
	assert.Equal(t, runsOf(f, jobB)[full], 1)

	id := job.TaskID{Job: jobC}
	reportRuns(f, time.Second, 140, map[job.TaskID]int{id: 0})
	// More tasks than there is room for, of a job that comes later.
	f.Add(time.Second, 0, record(jobD, fillingImage(40, "any")))
	reportRuns(f, 2*time.Second, 140, map[job.TaskID]int{id: 0})
	f.RecordEnd(2*time.Second, full, end(full, 1, jobB, 1, gate.Done).End)

	orders := f.Schedule(2*time.Second, time.Time{})
	assert.Equal(t, stops(orders), 1)
	assert.Equal(t, f.Moves()[0].Task, id)

	// While the stop is under way, its room stays free.
	f.Schedule(2500*time.Millisecond, time.Time{})
	f.RecordEnd(2800*time.Millisecond, f.tasksNode(id), gate.End{
		Number:     1,
		Task:       id,
		Attempt:    1,
		Reason:     gate.Stopped,
		Checkpoint: "saved",
	})
	f.Schedule(2800*time.Millisecond, time.Time{})
	assert.Equal(t, runsOf(f, jobC)[full], 1, "the run is not where room was held for it")
}

// tasksNode returns the node on which a task is active.
func (f *Fleet) tasksNode(id job.TaskID) string {
	_, _, t := f.findTask(id)

	return t.worker.node
}

// TestPacedRunsInOrder guards against a run of a later job that is moved to the only free place before one
// of an earlier job.
func TestPacedRunsInOrder(t *testing.T) {
	// The IDs of the jobs are in the other order.
	f := newColocationFleet(2)
	f.Add(0, 0, record(jobB, servingImage(5, "api")))

	for _, w := range f.sortedWorkers {
		w.ready = w.node == "n1"
	}

	f.Schedule(0, time.Time{})

	pace := map[job.TaskID]int{}

	for i, id := range []string{jobD, jobC} {
		s := fillingImage(1, "any")
		s.Size.MilliCores = 20_000
		f.Add(time.Duration(i)*time.Millisecond, 0, record(id, s))

		j, s0 := f.jobs[id], &f.jobs[id].steps[0]
		f.assign(0, j, s0, &s0.tasks[0], f.workers["n1"], j.taskID(0, 0), 1)

		pace[j.taskID(0, 0)] = 0
	}

	for _, w := range f.sortedWorkers {
		w.ready = true
	}

	reportRuns(f, time.Second, 140, pace)
	reportRuns(f, 2*time.Second, 140, pace)

	assert.Equal(t, stops(f.Schedule(2*time.Second, time.Time{})), 1)
	assert.Equal(t, f.Moves()[0].Task, job.TaskID{Job: jobD})
}

// TestPacedRunsWithoutRoom guards against paced runs that no other worker suits and that use up all searches
// of each pass, so that a run of a later job stays although a worker has room for it.
func TestPacedRunsWithoutRoom(t *testing.T) {
	f := newColocationFleet(2)
	f.Add(0, 0, record(jobA, servingImage(10, "api")))
	f.Schedule(0, time.Time{})
	assert.DeepEqual(t, runsOf(f, jobA), map[string]int{
		"n1": 5,
		"n2": 5,
	})

	pace := map[job.TaskID]int{}

	for i, r := range []job.Record{
		record(jobC, fillingImage(2*maxPacedSearches, "hot")),
		record(jobD, fillingImage(1, "any")),
	} {
		f.Add(time.Duration(i), 0, r)
		j := f.jobs[r.ID]

		for k := range j.steps[0].tasks {
			id := j.taskID(0, k)
			f.assign(0, j, &j.steps[0], &j.steps[0].tasks[k], f.workers["n1"], id, 1)

			pace[id] = 0
		}
	}

	reportRuns(f, time.Second, 140, pace)
	reportRuns(f, 2*time.Second, 140, pace)

	assert.Equal(t, stops(f.Schedule(2*time.Second, time.Time{})), 1)
	assert.Equal(t, f.Moves()[0].Task, job.TaskID{Job: jobD})
}

// TestHeldRoomBehindWaitingTask guards against room that is held for a task and stays idle, since a task of
// the same step comes first that no worker has room for.
func TestHeldRoomBehindWaitingTask(t *testing.T) {
	f := newColocationFleet(2)
	f.Add(0, 0, record(jobA, fillingImage(3, "any")))
	f.Schedule(0, time.Time{})

	moved := job.TaskID{
		Job:   jobA,
		Index: 1,
	}
	_, s, k := f.findTask(moved)
	from, to := k.worker, f.sortedWorkers[0]

	if to == from {
		to = f.sortedWorkers[1]
	}

	f.moveTo(time.Second, from, to, s, k, moved, from.runs[moved])

	// Tasks of others have taken the rest.
	for _, w := range f.sortedWorkers {
		w.fillingMilliCores = 2 * w.capacity.MilliCores
	}

	for i, id := range []job.TaskID{{Job: jobA}, moved} {
		f.RecordEnd(2*time.Second, f.tasksNode(id), gate.End{
			Number:  int64(i + 1),
			Task:    id,
			Attempt: 1,
			Reason:  gate.Stopped,
		})
	}

	f.Schedule(2*time.Second, time.Time{})
	assert.Equal(t, s.tasks[0].phase, waiting)
	assert.Equal(t, k.phase, active)
	assert.Equal(t, k.worker, to)
}

// TestHeldRoomGivenUp checks that room that is held for a run is free again when the stop of the run
// takes too long, and that the sizes in use add up afterwards.
func TestHeldRoomGivenUp(t *testing.T) {
	f := newColocationFleet(2)
	f.Add(0, 0, record(jobA, fillingImage(1, "any")))
	f.Schedule(0, time.Time{})

	id := job.TaskID{Job: jobA}
	j, s, k := f.findTask(id)
	from := k.worker

	to := f.sortedWorkers[0]
	if to == from {
		to = f.sortedWorkers[1]
	}

	f.moveTo(0, from, to, s, k, id, from.runs[id])
	assert.Equal(t, to.fillingMilliCores, int64(3500))
	assert.Equal(t, f.NextWake(0), destinationTime)

	f.Schedule(destinationTime, time.Time{})
	assert.Equal(t, to.fillingMilliCores, int64(0))
	assert.Equal(t, j.active, 1)
}
