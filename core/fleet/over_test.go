package fleet

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

// finish runs the only task of jobA on n1 to its end and stores that.
func finish(t *testing.T, f *Fleet) {
	t.Helper()

	startOn(t, f, "n1")
	reportDone(f, job.TaskID{Job: jobA})

	b, err := f.Changes(testLimits)
	assert.NilError(t, err)
	f.Committed(b)
	f.Schedule(time.Second, time.Time{})
}

// TestOverJobs checks that a job that is over is known by its state only, and is still known.
func TestOverJobs(t *testing.T) {
	f := New(2)
	finish(t, f)

	assert.Equal(t, len(f.jobs), 0)
	assert.DeepEqual(t, f.NewlyOver(), []string{jobA})
	assert.Equal(t, len(f.NewlyOver()), 0)

	s, known := f.State(jobA)
	assert.Assert(t, known)
	assert.Equal(t, s, job.Succeeded)
	assert.Assert(t, !f.Add(0, 0, record(jobA, step(1))))
	assert.Assert(t, !f.Cancel(jobA))

	// A run of it that appears later is stopped.
	r := partial("n1")
	r.Runs = []gate.Run{{
		Task:    job.TaskID{Job: jobA},
		Attempt: 1,
	}}
	f.Report(2*time.Second, "n1", r)

	o := f.Schedule(2*time.Second, time.Time{})
	assert.Equal(t, stops(o), 1)
	assert.Equal(t, len(allStarts(o)), 0)

	f.ForgetOver(jobA)

	_, known = f.State(jobA)
	assert.Assert(t, !known)
}

// TestNotOverYet checks that a job is kept as long as it has runs, or rows that are to be removed.
func TestNotOverYet(t *testing.T) {
	f := New(2)
	startOn(t, f, "n1")
	assert.Assert(t, f.Cancel(jobA))

	b, err := f.Changes(testLimits)
	assert.NilError(t, err)
	f.Committed(b)
	f.Schedule(time.Second, time.Time{})
	assert.Equal(t, len(f.jobs), 1, "its run may still take room")

	r := partial("n1")
	r.Ends = []gate.EndEvent{end("n1", 1, jobA, attemptsPerTerm+1, gate.Stopped)}
	f.Report(2*time.Second, "n1", r)
	f.Schedule(2*time.Second, time.Time{})

	b, err = f.Changes(testLimits)
	assert.NilError(t, err)
	f.Committed(b)
	f.Schedule(3*time.Second, time.Time{})
	assert.Equal(t, len(f.jobs), 0)

	s, _ := f.State(jobA)
	assert.Equal(t, s, job.Cancelled)
}

// TestOverState checks which jobs are loaded without their spec.
func TestOverState(t *testing.T) {
	head := func(s string) StoredRow {
		return StoredRow{
			Key:   jobA,
			Value: []byte(s),
		}
	}

	tests := map[string]struct {
		stored []StoredRow
		over   bool
	}{
		"None":       {nil, false},
		"Succeeded":  {[]StoredRow{head(`{"State":"Succeeded"}`)}, true},
		"Running":    {[]StoredRow{head(`{"State":"Running"}`)}, false},
		"Unreadable": {[]StoredRow{head(`{"State":`)}, false},
		// The other row is still to be removed.
		"MoreRows": {[]StoredRow{head(`{"State":"Succeeded"}`), head(`{}`)}, false},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s, over := OverState(c.stored)
			assert.Equal(t, over, c.over)
			assert.Equal(t, over, s == job.Succeeded)
		})
	}
}

// TestLongHistoryFits guards against a leader that exceeds its memory by the jobs that are over, is killed,
// and takes its lease again: no entry could lead any more with the jobs of three hours. The smallest entry has
// 184 MB.
func TestLongHistoryFits(t *testing.T) {
	const (
		day        = 24 * 3600
		perSecond  = 8.6
		count      = day * perSecond
		limitBytes = 184 << 20 / 2
	)

	measure := func() uint64 {
		runtime.GC()

		var m runtime.MemStats

		runtime.ReadMemStats(&m)

		return m.HeapAlloc
	}

	f := New(2)
	before := measure()

	for i := range int(count) {
		f.AddOver(fmt.Sprintf("%016x", i), job.Succeeded)
	}

	f.NewlyOver()

	taken := measure() - before
	assert.Assert(t, taken < limitBytes, "%d MB for the jobs of a day", taken>>20)
	runtime.KeepAlive(f)
}
