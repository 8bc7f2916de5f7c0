package fleet

import (
	"fmt"
	"testing"
	"time"

	"trefoildeck/core/backlog"
	"trefoildeck/core/config"
	"trefoildeck/core/gate"
	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

// fairFleet returns a fleet in the order backlog.Fair with a worker of 4 cores and two accounts,
// whose queues are named as they are.
func fairFleet() *Fleet {
	f := New(1)
	f.Order = backlog.Fair
	f.Configuration = &config.Configuration{Queues: []config.Queue{
		{
			Name: "large",
			Host: "large.example",
		},
		{
			Name: "small",
			Host: "small.example",
		},
	}}
	f.Report(0, "n1", described("n1"))

	return f
}

// inQueue returns a record of a job in a queue.
func inQueue(queue, id string, steps ...job.Step) job.Record {
	r := record(id, steps...)
	r.Queue = queue

	return r
}

// TestAccountsTakeTurns checks that the job of one account doesn't wait for all jobs of another one
// that were accepted before.
func TestAccountsTakeTurns(t *testing.T) {
	f := fairFleet()

	for i := range 10 {
		assert.Assert(t, f.Add(0, 0, inQueue("large", fmt.Sprintf("%016x", i), step(4))))
	}

	f.Schedule(0, time.Time{})
	assert.Assert(t, f.Add(time.Millisecond, 0, inQueue("small", jobB, step(1))))

	now := time.Second
	f.RecordEnd(now, "n1", gate.End{
		Number:  1,
		Task:    job.TaskID{Job: f.open[0].record.ID},
		Attempt: 1,
		Reason:  gate.Done,
	})

	o := starts(f.Schedule(now, time.Time{}))["n1"]
	assert.Equal(t, len(o), 1)
	assert.Equal(t, o[0].Task.Job, jobB)
}

// TestGangTakesNoTurn checks that a gang that is not placed as a whole counts as no service. It was
// charged for its members in each pass.
func TestGangTakesNoTurn(t *testing.T) {
	f := fairFleet()
	assert.Assert(t, f.Add(0, 0, inQueue("large", jobA, gangStep(5))))
	f.Schedule(0, time.Time{})
	assert.Equal(t, f.fair.shares.Received(0, "large.example"), 0.0)

	assert.Assert(t, f.Add(0, 0, inQueue("large", jobB, gangStep(4))))
	f.Schedule(0, time.Time{})
	assert.Equal(t, f.fair.shares.Received(0, "large.example"), 4_000_000.0)
}

// TestRemainingPath checks the remaining path of a job as its steps start and end.
func TestRemainingPath(t *testing.T) {
	f := fairFleet()
	first, second := step(2), step(1)
	second.After = []int{0}
	second.Estimate = 2 * time.Second
	assert.Assert(t, f.Add(0, 0, inQueue("large", jobA, first, second)))

	j := f.jobs[jobA]
	described := func(now time.Duration) backlog.Job { return f.orderedJob(now, j) }

	assert.Equal(t, described(0).Path, 3*time.Second)
	assert.Equal(t, described(0).Work, int64(2_000_000))

	f.Schedule(0, time.Time{})
	assert.Equal(t, described(600*time.Millisecond).Path, 2400*time.Millisecond)
	// A run that takes longer than its estimate ends at any time.
	assert.Equal(t, described(5*time.Second).Path, 2*time.Second)
	assert.Equal(t, described(0).Work, int64(0))

	for i := range 2 {
		f.RecordEnd(time.Second, "n1", gate.End{
			Number:  int64(i + 1),
			Task:    job.TaskID{Job: jobA, Index: i},
			Attempt: 1,
			Reason:  gate.Done,
		})
	}

	assert.Equal(t, described(time.Second).Path, 2*time.Second)
	assert.Equal(t, described(time.Second).Work, int64(2_000_000))
	assert.Equal(t, described(time.Second).Account, "large.example")
	// The other account of this test.
	assert.Equal(t, f.accountOf(&jobInfo{record: inQueue("small", jobB)}), "small.example")
}
