package fleet

import (
	"testing"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

// partial returns a report that doesn't list all runs.
func partial(node string) Report {
	r := described(node)
	r.Full = false

	return r
}

// startOn starts the only task of jobA on a node.
func startOn(t *testing.T, f *Fleet, node string) {
	t.Helper()

	f.Report(0, node, described(node))
	f.Add(0, 0, record(jobA, step(1)))
	assert.Equal(t, len(starts(f.Schedule(0, time.Time{}))[node]), 1)
}

// reportDone reports the success of a task on n1, at one second.
func reportDone(f *Fleet, id job.TaskID) {
	r := partial("n1")
	r.Ends = []gate.EndEvent{end("n1", 1, id.Job, attemptsPerTerm+1, gate.Done)}
	f.Report(time.Second, "n1", r)
}

// TestNotAbsent guards against a node in the row of absent nodes on which a task may run, or has ended
// without a record: the next leader doesn't wait for its report, and starts the task again.
func TestNotAbsent(t *testing.T) {
	tests := map[string]func(t *testing.T, f *Fleet){
		"ReportedInPart": func(_ *testing.T, f *Fleet) {
			f.Report(0, "n1", partial("n1"))
			f.Disconnected("n1")
		},
		"EndNotStored": func(t *testing.T, f *Fleet) {
			startOn(t, f, "n1")
			reportDone(f, job.TaskID{Job: jobA})
			f.Disconnected("n1")
		},
	}

	for name, arrange := range tests {
		t.Run(name, func(t *testing.T) {
			f := New(2)
			f.AwaitReports(0, []string{"n1"}, nil, nil)
			arrange(t, f)

			absent, known := f.Absent(MaxLeaseTime - time.Second)
			assert.Assert(t, known)
			assert.Equal(t, len(absent), 0)
		})
	}
}
