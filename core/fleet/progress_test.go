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

// storeAll stores the changes of a fleet, batch by batch, and checks that each of them fits into a
// transaction.
func storeAll(t *testing.T, f *Fleet, stored []StoredRow) []StoredRow {
	t.Helper()

	for f.Changed() {
		b, err := f.Changes(testLimits)
		assert.NilError(t, err)
		assert.Assert(t, len(b.Rows) <= testLimits.Rows, "%d rows", len(b.Rows))

		size := 0

		for _, r := range b.Rows {
			assert.Assert(t, len(r.Value) <= f.maxRowBytes(), "%s has %d bytes", r.Key, len(r.Value))
			size += len(r.Value)
		}

		assert.Assert(t, size <= testLimits.Bytes, "%d bytes", size)

		stored = applyRows(stored, b)
		f.Committed(b)
	}

	return stored
}

// taskState is the part of a task's state that is stored.
type taskState struct {
	Done       bool
	Attempt    int
	Failures   string
	Checkpoint string
}

func states(f *Fleet) []taskState {
	var list []taskState

	j := f.jobs[jobA]
	for i := range j.taskCount() {
		_, t := j.taskNumbered(i)
		s := taskState{Done: t.phase == done}

		if t.hasNote() {
			s.Attempt, s.Failures, s.Checkpoint = t.ended, fmt.Sprint(t.failures), t.checkpoint
		}

		list = append(list, s)
	}

	return list
}

// TestProgressFits checks that the progress of any job fits into rows and transactions of the
// store, and is the same after a change of the leader. One row held all of it: above the limit,
// the store refused it, and with it the ends of all other jobs.
func TestProgressFits(t *testing.T) {
	repeated := record(jobA, step(1))
	repeated.Spec.Repeat = 10_000

	tests := map[string]struct {
		record     job.Record
		reason     func(i int) gate.EndReason
		checkpoint func(i int) string
		rowBytes   int
	}{
		"Done": {
			record: record(jobA, step(10_000)),
			reason: func(int) gate.EndReason { return gate.Done },
		},
		"ManyCheckpoints": {
			record:     record(jobA, step(2400)),
			reason:     func(int) gate.EndReason { return gate.Stopped },
			checkpoint: func(i int) string { return fmt.Sprintf("%016x", i) },
		},
		"ManyFailures": {
			record: record(jobA, step(5000), step(5000)),
			reason: func(int) gate.EndReason { return gate.Failed },
		},
		"LongCheckpoints": {
			record:     record(jobA, step(300)),
			reason:     func(int) gate.EndReason { return gate.Stopped },
			checkpoint: func(i int) string { return strings.Repeat(fmt.Sprint(i%10), 200*(i%200)) },
		},
		"Escaped": {
			record:     record(jobA, step(300)),
			reason:     func(int) gate.EndReason { return gate.Stopped },
			checkpoint: func(i int) string { return strings.Repeat("\x01", i) },
		},
		"Occurrences": {
			record:     repeated,
			reason:     func(i int) gate.EndReason { return []gate.EndReason{gate.Done, gate.Failed, gate.Stopped}[i%3] },
			checkpoint: func(i int) string { return fmt.Sprintf("%016x", i) },
		},
		"SmallRows": {
			record:     record(jobA, step(300), step(30)),
			reason:     func(i int) gate.EndReason { return []gate.EndReason{gate.Done, gate.Failed, gate.Stopped}[i%3] },
			checkpoint: func(i int) string { return fmt.Sprintf("%016x", i) },
			rowBytes:   1 << 10,
		},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			f := New(1)
			if c.rowBytes > 0 {
				f.RowBytes = c.rowBytes
			}

			f.Add(0, 0, c.record)

			j := f.jobs[jobA]

			// The last task goes on, so that the job isn't over.
			for i := range j.taskCount() - 1 {
				s, _ := j.taskNumbered(i)
				step := slices.IndexFunc(j.steps, func(o stepInfo) bool { return o.first == s.first })
				e := end("n1", int64(i+1), jobA, 1, c.reason(i)).End
				e.Task = j.taskID(step, i-s.first)

				if c.checkpoint != nil {
					e.Checkpoint = c.checkpoint(i)
				}

				f.RecordEnd(0, "n1", e)
			}

			stored := storeAll(t, f, nil)
			assert.Equal(t, len(f.UnstoredCheckpoints()), 0)

			g := New(2)
			g.RowBytes = f.RowBytes
			assert.NilError(t, g.Load(0, 0, c.record, stored, false))
			assert.DeepEqual(t, states(g), states(f))
			assert.Equal(t, g.jobs[jobA].steps[0].waiting, f.jobs[jobA].steps[0].waiting)
			assert.Equal(t, g.jobs[jobA].steps[0].done, f.jobs[jobA].steps[0].done)

			// The rows that were loaded are written again and removed like the others.
			last := j.taskID(len(j.steps)-1, len(j.steps[len(j.steps)-1].tasks)-1)
			g.RecordEnd(0, "n1", gate.End{
				Number:     1,
				Task:       last,
				Attempt:    1,
				Reason:     gate.Stopped,
				Checkpoint: "saved",
			})
			stored = storeAll(t, g, stored)

			h := New(3)
			h.RowBytes = f.RowBytes
			assert.NilError(t, h.Load(0, 0, c.record, stored, false))
			assert.DeepEqual(t, states(h), states(g))

			h.Cancel(jobA)
			stored = storeAll(t, h, stored)
			assert.DeepEqual(t, stored, []StoredRow{{
				Key:   jobA,
				Value: []byte(`{"State":"Cancelled"}`),
			}})
		})
	}
}

// TestManyLongRowsFit checks that the changes of many jobs, each of which fits into a row, are
// stored in transactions that the store accepts.
func TestManyLongRowsFit(t *testing.T) {
	f := New(1)

	for i := range 100 {
		id := fmt.Sprintf("%016x", i)
		f.Add(0, 0, record(id, step(100)))

		for k := range 100 {
			e := end("n1", int64(k+1), id, 1, gate.Stopped).End
			e.Task.Index = k
			e.Checkpoint = strings.Repeat("c", 40)
			f.RecordEnd(0, "n1", e)
		}
	}

	assert.Equal(t, len(storeAll(t, f, nil)), 100)
}

// TestLongNoteFirst checks that a note that becomes too long for its segment is stored before, or
// together with, the segment without it, and removed after the task was stored as done. A leader that
// is lost in between must not forget failures.
func TestLongNoteFirst(t *testing.T) {
	f := New(1)
	f.Add(0, 0, record(jobA, step(2)))
	f.RecordEnd(0, "n1", end("n1", 1, jobA, 1, gate.Failed).End)

	stored := storeAll(t, f, nil)
	assert.Equal(t, len(stored), 1)

	e := end("n1", 2, jobA, 2, gate.Stopped).End
	e.Checkpoint = strings.Repeat("c", 10_000)
	f.RecordEnd(0, "n1", e)

	limits := testLimits
	limits.Rows = 1

	for f.Changed() {
		b, err := f.Changes(limits)
		assert.NilError(t, err)

		stored = applyRows(stored, b)
		f.Committed(b)

		g := New(2)
		assert.NilError(t, g.Load(0, 0, record(jobA, step(2)), stored, false))
		assert.DeepEqual(t, g.jobs[jobA].steps[0].tasks[0].failures, []int{1})
		assert.Equal(t, g.jobs[jobA].steps[0].tasks[0].checkpoint, e.Checkpoint)
	}

	assert.Equal(t, len(stored), 2)

	// The note is removed only once the task is known to be done.
	f.RecordEnd(0, "n1", end("n1", 3, jobA, 3, gate.Done).End)

	for f.Changed() {
		b, err := f.Changes(limits)
		assert.NilError(t, err)

		stored = applyRows(stored, b)
		f.Committed(b)

		g := New(2)
		assert.NilError(t, g.Load(0, 0, record(jobA, step(2)), stored, false))

		restored := &g.jobs[jobA].steps[0].tasks[0]
		assert.Assert(t, restored.phase == done || len(restored.failures) == 1)
	}

	assert.Equal(t, len(stored), 1)
}

// TestCheckpointNotStored checks that a checkpoint that no row can hold keeps neither the failures
// of its task nor other progress from being stored.
func TestCheckpointNotStored(t *testing.T) {
	f := New(1)
	f.Add(0, 0, record(jobA, step(2)))
	f.RecordEnd(0, "n1", end("n1", 1, jobA, 1, gate.Failed).End)

	e := end("n1", 2, jobA, 2, gate.Stopped).End
	e.Checkpoint = strings.Repeat("c", DefaultRowBytes)
	f.RecordEnd(0, "n1", e)

	stored := storeAll(t, f, nil)
	unstored := f.UnstoredCheckpoints()
	assert.Equal(t, len(unstored), 1)
	assert.Equal(t, unstored[0].Job, jobA)

	g := New(2)
	assert.NilError(t, g.Load(0, 0, record(jobA, step(2)), stored, false))
	assert.DeepEqual(t, g.jobs[jobA].steps[0].tasks[0].failures, []int{1})
	assert.Equal(t, g.jobs[jobA].steps[0].tasks[0].checkpoint, "")

	f.Report(0, "n1", described("n1"))
	assert.Equal(t, starts(f.Schedule(time.Second, time.Time{}))["n1"][0].Checkpoint, e.Checkpoint, "this leader has it")
}

// TestHeldRow checks that a row that is held doesn't keep the others from being stored, and that no
// end is acknowledged before it is.
func TestHeldRow(t *testing.T) {
	f := New(1)
	f.Report(0, "n1", described("n1"))

	for i, id := range []string{jobA, jobB} {
		f.Add(0, 0, record(id, step(1)))
		f.Report(0, "n1", Report{Ends: []gate.EndEvent{end("n1", int64(i+1), id, 1, gate.Done)}})
	}

	limits := testLimits
	limits.Held = func(key string) bool { return key == jobA }
	b, err := f.Changes(limits)
	assert.NilError(t, err)
	assert.Equal(t, len(b.Rows), 1)
	assert.Equal(t, b.Rows[0].Key, jobB)
	assert.Equal(t, len(f.Committed(b)), 0)

	b, err = f.Changes(testLimits)
	assert.NilError(t, err)
	assert.Equal(t, b.Rows[0].Key, jobA)
	assert.Equal(t, len(f.Committed(b)), 1)
}

// TestAcknowledgedUnderLoad checks that ends are acknowledged while further changes come faster than
// they are written. None was until all changes had been written, and a worker lists 500 ends only.
func TestAcknowledgedUnderLoad(t *testing.T) {
	f := New(1)
	f.Report(0, "n1", described("n1"))

	limits := testLimits
	limits.Rows = 1

	var acknowledged int64

	for i := range 20 {
		for k := range 2 {
			number := int64(2*i + k + 1)
			id := fmt.Sprintf("%016x", number)
			f.Add(0, 0, record(id, step(1)))
			f.Report(0, "n1", Report{Ends: []gate.EndEvent{end("n1", number, id, 1, gate.Done)}})
		}

		b, err := f.Changes(limits)
		assert.NilError(t, err)

		for _, e := range f.Committed(b) {
			acknowledged = e.Number
		}

		for id := int64(1); id <= acknowledged; id++ {
			s, _ := f.State(fmt.Sprintf("%016x", id))
			assert.Equal(t, s, job.Succeeded, "an end is acknowledged before it is stored")
		}
	}

	assert.Assert(t, acknowledged > 0)
}
