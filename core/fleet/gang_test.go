package fleet

import (
	"testing"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

// memberEnd returns the end of one member of a gang.
func memberEnd(index, attempt int, reason gate.EndReason) gate.End {
	return gate.End{
		Task: job.TaskID{
			Job:   jobA,
			Index: index,
		},
		Attempt: attempt,
		Reason:  reason,
	}
}

func gangStep(count int) job.Step {
	s := step(count)
	s.Gang = true

	return s
}

func allStarts(orders map[string]*Orders) []gate.StartOrder {
	var list []gate.StartOrder
	for _, o := range orders {
		list = append(list, o.Starts...)
	}

	return list
}

// TestGangTogether checks that all members of a gang start or none does.
func TestGangTogether(t *testing.T) {
	f := New(1)
	f.Add(0, 0, record(jobA, gangStep(6)))
	f.Report(0, "n1", described("n1"))
	assert.Equal(t, len(allStarts(f.Schedule(0, time.Time{}))), 0, "one worker has room for four tasks only")

	f.Report(0, "n2", described("n2"))

	list := allStarts(f.Schedule(0, time.Time{}))
	assert.Equal(t, len(list), 6)

	for _, o := range list {
		assert.Equal(t, o.Attempt, 1)
	}
}

// TestGangEnds checks that the failure of one member stops the others, that the gang
// restarts from the checkpoint once all have ended, and that it is done when one member is.
func TestGangEnds(t *testing.T) {
	f := New(1)
	f.Add(0, 0, record(jobA, gangStep(2)))
	f.Report(0, "n1", described("n1"))
	assert.Equal(t, len(allStarts(f.Schedule(0, time.Time{}))), 2)

	saved := memberEnd(0, 1, gate.Failed)
	saved.Checkpoint = "saved"
	f.RecordEnd(0, "n1", saved)

	orders := f.Schedule(0, time.Time{})
	assert.Equal(t, stops(orders), 1, "the other member is stopped")
	assert.Equal(t, len(allStarts(orders)), 0, "the gang waits until all members have ended")
	assert.Equal(t, stops(f.Schedule(0, time.Time{})), 0, "the stop is ordered once")

	f.RecordEnd(0, "n1", memberEnd(1, 1, gate.Broken))

	list := allStarts(f.Schedule(0, time.Time{}))
	assert.Equal(t, len(list), 2)

	for _, o := range list {
		assert.Equal(t, o.Attempt, 2)
		assert.Equal(t, o.Checkpoint, "saved")
	}

	f.RecordEnd(0, "n1", memberEnd(1, 2, gate.Done))
	assert.Equal(t, f.jobs[jobA].state, job.Succeeded, "a gang is done when one member is")
}

// TestLastingGangStartsAgain guards against a gang of tasks that last and is over after its first run: it was
// shown as succeeded, and never ran again.
func TestLastingGangStartsAgain(t *testing.T) {
	tests := map[string]gate.EndReason{
		"Done":    gate.Done,
		"Failed":  gate.Failed,
		"Stopped": gate.Stopped,
		"Lapsed":  gate.Lapsed,
	}

	for name, reason := range tests {
		t.Run(name, func(t *testing.T) {
			s := gangStep(2)
			s.LongRunning = true

			f := New(1)
			f.Add(0, 0, record(jobA, s))
			f.Report(0, "n1", described("n1"))

			// More often than jobs may fail that don't last.
			for attempt := 1; attempt <= 5; attempt++ {
				now := time.Duration(attempt) * time.Minute

				list := allStarts(f.Schedule(now, time.Time{}))
				assert.Equal(t, len(list), 2)
				assert.Equal(t, list[0].Attempt, attempt)

				f.RecordEnd(now, "n1", memberEnd(0, attempt, reason))
				assert.Equal(t, len(allStarts(f.Schedule(now, time.Time{}))), 0, "the other member may still run")

				f.RecordEnd(now, "n1", memberEnd(1, attempt, reason))

				state, _ := f.State(jobA)
				assert.Assert(t, !state.Final(), "%s", state)
			}
		})
	}
}

// TestGangFails checks that an attempt in which several members fail counts as one
// failure.
func TestGangFails(t *testing.T) {
	f := New(1)
	f.Add(0, 0, record(jobA, gangStep(2)))
	f.Report(0, "n1", described("n1"))

	for attempt := 1; attempt <= 3; attempt++ {
		f.Schedule(time.Duration(attempt)*time.Minute, time.Time{})
		f.RecordEnd(0, "n1", memberEnd(0, attempt, gate.Failed))
		f.RecordEnd(0, "n1", memberEnd(1, attempt, gate.Failed))
	}

	assert.Equal(t, f.jobs[jobA].state, job.Failed)
}

// TestOccurrences checks that each occurrence starts at its own time and that the
// job is over when the last one is.
func TestOccurrences(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	r := record(jobA, step(1))
	r.Spec.Repeat = 2
	r.Spec.StartAt = start
	r.Spec.Interval = time.Minute

	f := New(1)
	f.Add(0, 0, r)
	f.Report(0, "n1", described("n1"))

	assert.Equal(t, len(allStarts(f.Schedule(0, start.Add(-time.Second)))), 0)
	assert.Equal(t, f.NextWake(0), time.Second)
	assert.Equal(t, f.Pending("tints"), 0, "jobs that start at set times do not count")

	first := allStarts(f.Schedule(time.Second, start))
	assert.Equal(t, len(first), 1)
	assert.Equal(t, first[0].Task.String(), jobA+".0.0.0")

	second := allStarts(f.Schedule(time.Minute, start.Add(time.Minute)))
	assert.Equal(t, len(second), 1, "occurrences may overlap")
	assert.Equal(t, second[0].Task.String(), jobA+".1.0.0")

	f.RecordEnd(0, "n1", gate.End{
		Task:    first[0].Task,
		Attempt: 1,
		Reason:  gate.Done,
	})
	assert.Assert(t, !f.jobs[jobA].state.Final())

	f.RecordEnd(0, "n1", gate.End{
		Task:    second[0].Task,
		Attempt: 1,
		Reason:  gate.Done,
	})
	assert.Equal(t, f.jobs[jobA].state, job.Succeeded)
}

// TestGangEarlierAttemptDone checks that a gang isn't started again when an attempt before some
// that didn't run turns out to have ended as done after the gang found no room. That end was passed
// over and acknowledged.
func TestGangEarlierAttemptDone(t *testing.T) {
	f := New(1)
	f.Add(0, 0, record(jobA, gangStep(6)))
	f.Report(0, "n1", described("n1"))
	f.Report(0, "n2", described("n2"))

	now := time.Duration(0)

	for attempt := 1; attempt <= 2; attempt++ {
		now += time.Second

		for node, list := range starts(f.Schedule(now, time.Time{})) {
			for _, o := range list {
				assert.Equal(t, o.Attempt, attempt)
				f.RecordEnd(now, node, memberEnd(o.Task.Index, attempt, gate.NotRun))
			}
		}
	}

	leaving := described("n2")
	leaving.Ready = false
	f.Report(now, "n2", leaving)

	now += time.Second
	assert.Equal(t, len(allStarts(f.Schedule(now, time.Time{}))), 0, "one worker has room for four tasks only")

	f.RecordEnd(now, "n1", memberEnd(0, 1, gate.Done))
	assert.Equal(t, f.jobs[jobA].state, job.Succeeded)
}
