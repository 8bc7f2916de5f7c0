package fleet

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

// checkpointingFleet returns a fleet that stores checkpoints after 2 s, with count running tasks on n1.
func checkpointingFleet(t *testing.T, count int) *Fleet {
	t.Helper()

	f := New(1)
	f.CheckpointInterval = 2 * time.Second

	r := described("n1")
	r.Capacity = job.Size{
		MilliCores: 1 << 30,
		MemoryMB:   1 << 30,
	}
	f.Report(0, "n1", r)
	f.Add(0, 0, record(jobA, step(count)))
	assert.Equal(t, len(starts(f.Schedule(0, time.Time{}))["n1"]), count)

	return f
}

// reportCheckpoints reports a checkpoint of the time now for each of the first count tasks.
func reportCheckpoints(f *Fleet, now time.Duration, count int) {
	var runs []gate.Run
	for i := range count {
		runs = append(runs, gate.Run{
			Task: job.TaskID{
				Job:   jobA,
				Index: i,
			},
			Attempt:    1,
			Checkpoint: fmt.Sprintf("%d at %s", i, now),
			Confirmed:  true,
			OrderKnown: true,
		})
	}

	f.Report(now, "n1", Report{Runs: runs})
}

// storedCheckpoint returns the checkpoint of the first task that a new leader reads.
func storedCheckpoint(t *testing.T, stored []StoredRow, count int) string {
	t.Helper()

	slices.SortFunc(stored, func(a, b StoredRow) int { return strings.Compare(a.Key, b.Key) })

	f := New(2)
	assert.NilError(t, f.Load(0, 0, record(jobA, step(count)), stored, false))

	return f.jobs[jobA].steps[0].tasks[0].checkpoint
}

// TestCheckpointsStored guards against running tasks that start anew when their worker is lost together
// with the leader: the checkpoints of the last interval are all that may be missing.
func TestCheckpointsStored(t *testing.T) {
	tests := map[string]struct {
		interval time.Duration
		want     []string
	}{
		"Interval":  {2 * time.Second, []string{"", "", "", "0 at 3s", "0 at 3s", "0 at 3s", "0 at 6s"}},
		"WhenEnded": {0, []string{"", "", "", "", "", "", ""}},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			f := checkpointingFleet(t, 3)
			f.CheckpointInterval = c.interval

			var stored []StoredRow

			for i, want := range c.want {
				now := time.Duration(i) * time.Second
				if i > 0 {
					reportCheckpoints(f, now, 3)
				}

				f.Schedule(now, time.Time{})
				stored = storeAll(t, f, stored)

				assert.Equal(t, storedCheckpoint(t, stored, 3), want, "at %s", now)
			}
		})
	}
}

// TestCheckpointAfterEnd guards against a row that is written too early, and again and again, since it was
// written with the end of another task after it began to lack a checkpoint. It also checks that the next
// pass for checkpoints needs no event.
func TestCheckpointAfterEnd(t *testing.T) {
	f := checkpointingFleet(t, 2)
	reportCheckpoints(f, time.Second, 1)

	e := end("n1", 1, jobA, 1, gate.Done).End
	e.Task.Index = 1
	f.RecordEnd(1500*time.Millisecond, "n1", e)

	stored := storeAll(t, f, nil)
	assert.Equal(t, storedCheckpoint(t, stored, 2), "0 at 1s")

	reportCheckpoints(f, 2*time.Second, 1)
	f.Schedule(3*time.Second, time.Time{})
	assert.Equal(t, f.CheckpointWrites().Rows, 0)

	wake := f.NextWake(3 * time.Second)
	assert.Assert(t, wake >= 4*time.Second && wake <= 4*time.Second+checkpointPassPeriod, "%s", wake)

	f.Schedule(wake, time.Time{})
	assert.Equal(t, f.CheckpointWrites().Rows, 1)
	assert.Equal(t, storedCheckpoint(t, storeAll(t, f, stored), 2), "0 at 2s")
	assert.Equal(t, f.NextWake(wake), time.Duration(0))
}

// TestCheckpointBesideHead guards against a job that callers see as queued, since only a later row of its
// progress was written for a checkpoint, and not the first one.
func TestCheckpointBesideHead(t *testing.T) {
	f := checkpointingFleet(t, segmentTasks+1)
	f.Report(time.Second, "n1", Report{Runs: []gate.Run{{
		Task: job.TaskID{
			Job:   jobA,
			Index: segmentTasks,
		},
		Attempt:    1,
		Checkpoint: "saved",
		Confirmed:  true,
		OrderKnown: true,
	}}})
	f.Schedule(4*time.Second, time.Time{})

	stored := storeAll(t, f, nil)
	assert.Equal(t, len(stored), 2)
	assert.Assert(t, slices.ContainsFunc(stored, func(r StoredRow) bool { return r.Key == jobA }))
}

// TestCheckpointsOfLostMachines guards against a task that a new leader starts from the beginning although
// its checkpoint is stored, and against one that counts as failed because of it.
func TestCheckpointsOfLostMachines(t *testing.T) {
	f := checkpointingFleet(t, 2)
	reportCheckpoints(f, time.Second, 2)
	f.Schedule(3*time.Second, time.Time{})

	stored := storeAll(t, f, nil)

	next := New(2)
	assert.NilError(t, next.Load(0, 0, record(jobA, step(2)), stored, false))
	next.AwaitReports(0, []string{"n2"}, nil, nil)
	next.Report(0, "n2", described("n2"))

	list := starts(next.Schedule(0, time.Time{}))["n2"]
	assert.Equal(t, len(list), 2)
	assert.Equal(t, list[0].Checkpoint, "0 at 1s")
	assert.Equal(t, list[1].Checkpoint, "1 at 1s")
	assert.Assert(t, list[0].Attempt > 1)
	assert.Equal(t, len(next.jobs[jobA].steps[0].tasks[0].failures), 0)
}

// TestCheckpointRowsBounded guards against a job at the protocol's limits whose checkpoints take the
// writes of the store that the ends of other jobs need.
func TestCheckpointRowsBounded(t *testing.T) {
	const count = 10_000

	f := checkpointingFleet(t, count)
	// Each task has a row of its own.
	f.RowBytes = 1 << 10

	for i := range count {
		f.jobs[jobA].steps[0].tasks[i].noteRow = true
	}

	total := 0

	for now := time.Second; now < 12*time.Second; now += 100 * time.Millisecond {
		reportCheckpoints(f, now, count)
		f.Schedule(now, time.Time{})

		total += f.CheckpointWrites().Rows
		storeAll(t, f, nil)
	}

	// 9 s of writes after the interval, and the burst.
	assert.Assert(t, total <= 9*100+checkpointRowBurst+1, "%d rows", total)
	assert.Assert(t, total >= 9*100-checkpointRowBurst, "%d rows", total)
}

// TestCheckpointTurns guards against a job at the protocol's limits that delays the checkpoints of the
// others until all of its own are stored.
func TestCheckpointTurns(t *testing.T) {
	const count = 10_000

	f := checkpointingFleet(t, count)
	f.RowBytes = 1 << 10

	for i := range count {
		f.jobs[jobA].steps[0].tasks[i].noteRow = true
	}

	reportCheckpoints(f, time.Second, count)

	f.Add(time.Second, 0, record(jobB, step(1)))
	f.Schedule(time.Second, time.Time{})
	f.Report(1100*time.Millisecond, "n1", Report{Runs: []gate.Run{{
		Task:       job.TaskID{Job: jobB},
		Attempt:    1,
		Checkpoint: "saved",
		Confirmed:  true,
		OrderKnown: true,
	}}})

	for now := 3 * time.Second; now <= 4*time.Second; now += 100 * time.Millisecond {
		f.Schedule(now, time.Time{})
	}

	_, unsaved := f.jobs[jobB].unsaved[rowName{}]
	assert.Assert(t, !unsaved)
	assert.Assert(t, len(f.jobs[jobA].unsaved) > count/2)
}
