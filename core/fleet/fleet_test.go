package fleet

import (
	"slices"
	"strings"
	"testing"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

const (
	jobA = "000000000000000a"
	jobB = "000000000000000b"
)

func record(id string, steps ...job.Step) job.Record {
	return job.Record{
		ID:          id,
		Queue:       "tints",
		Service:     "orders",
		MaxAttempts: 3,
		Stretch:     1.5,
		Spec: job.Spec{
			Text:  "text",
			Steps: steps,
		},
	}
}

func step(count int) job.Step {
	return job.Step{
		Count: count,
		Size: job.Size{
			MilliCores: 1000,
			MemoryMB:   100,
		},
		Estimate: time.Second,
	}
}

// testLimits are the limits of a transaction of the store.
var testLimits = BatchLimits{
	Rows:  45,
	Bytes: 512 << 10,
}

// applyRows returns stored rows after those of a batch were written or removed, by key.
func applyRows(stored []StoredRow, b Batch) []StoredRow {
	for _, r := range b.Rows {
		stored = slices.DeleteFunc(slices.Clone(stored), func(s StoredRow) bool { return s.Key == r.Key })

		if r.Value != nil {
			stored = append(stored, r)
		}
	}

	slices.SortFunc(stored, func(a, b StoredRow) int { return strings.Compare(a.Key, b.Key) })

	return stored
}

// incarnation returns the only incarnation of a node's worker in these tests.
func incarnation(node string) gate.Incarnation {
	return gate.Incarnation{
		ID:   "worker-of-" + node,
		Born: 1,
	}
}

// described returns a full report of a worker of 4 cores.
func described(node string) Report {
	return Report{
		Full:        true,
		DataCentre:  "dc-" + node,
		Described:   true,
		Incarnation: incarnation(node),
		Ready:       true,
		Service:     "orders",
		Capacity: job.Size{
			MilliCores: 4000,
			MemoryMB:   10_000,
		},
	}
}

func end(node string, number int64, id string, attempt int, reason gate.EndReason) gate.EndEvent {
	return gate.EndEvent{
		End: gate.End{
			Number:  number,
			Task:    job.TaskID{Job: id},
			Attempt: attempt,
			Reason:  reason,
		},
		Incarnation: incarnation(node),
	}
}

// starts returns the starts among orders by node.
func starts(orders map[string]*Orders) map[string][]gate.StartOrder {
	all := map[string][]gate.StartOrder{}

	for n, o := range orders {
		if len(o.Starts) > 0 {
			all[n] = o.Starts
		}
	}

	return all
}

func stops(orders map[string]*Orders) int {
	n := 0
	for _, o := range orders {
		n += len(o.Stops)
	}

	return n
}

// TestCancelledBeforeTakeover checks that a run whose job was cancelled under the
// previous leader is stopped when its worker first reports.
func TestCancelledBeforeTakeover(t *testing.T) {
	f := New(2)
	assert.NilError(t, f.Load(0, 0, record(jobA, step(1)), nil, true))

	r := described("n1")
	r.Runs = []gate.Run{{
		Task:    job.TaskID{Job: jobA},
		Attempt: 1,
	}}
	f.Report(0, "n1", r)

	assert.Equal(t, stops(f.Schedule(0, time.Time{})), 1)
}

// TestFailuresOutOfOrder checks that each failed attempt counts once, in whatever
// order the workers report the attempts to a new leader.
func TestFailuresOutOfOrder(t *testing.T) {
	tests := map[string][]int{
		"Ordered":  {1, 2, 3},
		"Reversed": {3, 2, 1},
		"Repeated": {1, 3, 3, 1, 2},
	}

	for name, attempts := range tests {
		t.Run(name, func(t *testing.T) {
			f := New(2)
			assert.NilError(t, f.Load(0, 0, record(jobA, step(1)), nil, false))
			f.AwaitReports(0, []string{"n1", "n2", "n3"}, nil, nil)

			for i, a := range attempts {
				f.RecordEnd(0, "n1", end("n1", int64(i+1), jobA, a, gate.Failed).End)
			}

			f.Report(0, "n1", described("n1"))
			f.Report(0, "n2", described("n2"))
			f.Report(0, "n3", described("n3"))

			assert.Equal(t, len(starts(f.Schedule(0, time.Time{}))), 0)

			b, err := f.Changes(testLimits)
			assert.NilError(t, err)
			f.Committed(b)

			s, ok := f.State(jobA)
			assert.Assert(t, ok)
			assert.Equal(t, s, job.Failed)
		})
	}
}

// TestFailuresStored checks that the next leader loads the failed attempts of a task.
func TestFailuresStored(t *testing.T) {
	f := New(1)
	f.Add(0, 0, record(jobA, step(1)))
	f.Report(0, "n1", described("n1"))
	f.Schedule(0, time.Time{})
	f.RecordEnd(0, "n1", end("n1", 1, jobA, 1, gate.Failed).End)

	b, err := f.Changes(testLimits)
	assert.NilError(t, err)

	g := New(2)
	assert.NilError(t, g.Load(0, 0, record(jobA, step(1)), applyRows(nil, b), false))
	g.Report(0, "n1", described("n1"))

	for _, a := range []int{1, 1001, 1002} {
		g.RecordEnd(0, "n1", end("n1", 2, jobA, a, gate.Failed).End)
	}

	assert.Equal(t, g.jobs[jobA].state, job.Failed)
}

// TestProbe checks that a worker gets one task as a probe after a quarantine, also
// while a long-running task runs there.
func TestProbe(t *testing.T) {
	f := New(1)
	lasting := step(1)
	lasting.LongRunning = true
	f.Add(0, 0, record(jobA, lasting))
	f.Report(0, "n1", described("n1"))
	assert.Equal(t, len(starts(f.Schedule(0, time.Time{}))["n1"]), 1)

	for i, id := range []string{jobB, "000000000000000c", "000000000000000d"} {
		r := record(id, step(1))
		r.MaxAttempts = 9
		f.Add(0, 0, r)
		f.RecordEnd(0, "n1", end("n1", int64(i), id, 1, gate.Failed).End)
	}

	assert.Equal(t, len(starts(f.Schedule(0, time.Time{}))), 0)
	assert.Equal(t, len(f.Quarantines()), 1)

	assert.Equal(t, len(starts(f.Schedule(minQuarantine, time.Time{}))["n1"]), 1)
	assert.Equal(t, len(starts(f.Schedule(minQuarantine, time.Time{}))), 0)

	probe := f.workers["n1"].health.probe
	f.RecordEnd(minQuarantine, "n1", end("n1", 9, probe.Job, 2, gate.Done).End)
	assert.Equal(t, len(starts(f.Schedule(minQuarantine, time.Time{}))["n1"]), 2)
}

// TestMove checks that a filling task that has been slow for maxSlowTime is moved to
// another worker, if one could run it, and resumes there from its checkpoint.
func TestMove(t *testing.T) {
	filling := step(1)
	filling.Fills = true
	filling.Checkpointing = true

	tests := map[string]struct {
		pace  int
		other bool
		after time.Duration
		moves int
	}{
		"Throttled":   {0, true, maxSlowTime, 1},
		"Briefly":     {0, true, maxSlowTime / 2, 0},
		"NowhereElse": {0, false, maxSlowTime, 0},
		"FullSpeed":   {100, true, maxSlowTime, 0},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			f := New(1)
			f.Add(0, 0, record(jobA, filling))
			f.Report(0, "n1", described("n1"))
			assert.Equal(t, len(starts(f.Schedule(0, time.Time{}))["n1"]), 1)

			if c.other {
				f.Report(0, "n2", described("n2"))
			}

			r := described("n1")
			r.Full = false
			r.Runs = []gate.Run{{
				Task:        job.TaskID{Job: jobA},
				Attempt:     1,
				Checkpoint:  "saved",
				PacePercent: c.pace,
			}}
			f.Report(time.Millisecond, "n1", r)
			assert.Equal(t, stops(f.Schedule(time.Millisecond+c.after, time.Time{})), c.moves)

			if c.moves == 0 {
				return
			}

			assert.Equal(t, stops(f.Schedule(time.Second+c.after, time.Time{})), 0, "the stop is ordered once")

			e := end("n1", 1, jobA, 1, gate.Stopped)
			e.Checkpoint = "saved again"
			f.RecordEnd(time.Second, "n1", e.End)

			next := starts(f.Schedule(time.Second, time.Time{}))["n2"]
			assert.Equal(t, len(next), 1)
			assert.Equal(t, next[0].Checkpoint, "saved again")
		})
	}
}

// TestCancelMissed checks that a cancellation that the change feed missed takes
// effect when the jobs are loaded again.
func TestCancelMissed(t *testing.T) {
	f := New(1)
	f.Add(0, 0, record(jobA, step(1)))
	f.Report(0, "n1", described("n1"))
	assert.Equal(t, len(starts(f.Schedule(0, time.Time{}))["n1"]), 1)

	assert.NilError(t, f.Load(0, 0, record(jobA, step(1)), nil, true))
	assert.Equal(t, stops(f.Schedule(0, time.Time{})), 1)
}

// TestStalled checks that a stalled run is moved to another worker without a failed
// attempt, and that a worker on which several jobs stall is quarantined.
func TestStalled(t *testing.T) {
	f := New(1)
	jobs := []string{jobA, jobB, "000000000000000c"}

	for _, id := range jobs {
		f.Add(0, 0, record(id, step(1)))
	}

	f.Report(0, "n1", described("n1"))
	assert.Equal(t, len(starts(f.Schedule(0, time.Time{}))["n1"]), 3)
	f.Report(0, "n2", described("n2"))

	r := described("n1")
	r.Full = false

	for _, id := range jobs {
		r.Runs = append(r.Runs, gate.Run{
			Task:    job.TaskID{Job: id},
			Attempt: 1,
			Stalled: true,
		})
	}

	f.Report(time.Millisecond, "n1", r)
	assert.Equal(t, stops(f.Schedule(time.Millisecond, time.Time{})), 3)
	assert.Equal(t, len(f.Stalls()), 3)
	assert.Equal(t, len(f.Quarantines()), 1)

	for i, id := range jobs {
		f.RecordEnd(time.Second, "n1", end("n1", int64(i+1), id, 1, gate.Stopped).End)
	}

	assert.Equal(t, len(starts(f.Schedule(time.Second, time.Time{}))["n2"]), 3)
	assert.Equal(t, len(f.jobs[jobA].steps[0].tasks[0].failures), 0)
}

// TestAlwaysStalled checks that a task that stalls wherever it runs stays where it is after some
// moves, and doesn't bring its workers into quarantine. A long task whose estimate is far too short
// was stopped and started for ever.
func TestAlwaysStalled(t *testing.T) {
	f := New(1)
	f.Report(0, "n1", described("n1"))
	f.Report(0, "n2", described("n2"))
	f.Add(0, 0, record(jobA, step(1)))

	var now time.Duration

	for i := range maxStalls + 1 {
		var node string
		for n := range starts(f.Schedule(now, time.Time{})) {
			node = n
		}

		assert.Assert(t, node != "")

		now += time.Second
		f.Report(now, node, Report{Runs: []gate.Run{{
			Task:       job.TaskID{Job: jobA},
			Attempt:    i + 1,
			OrderKnown: true,
			Confirmed:  true,
			Stalled:    true,
		}}})

		moves := 1
		if i == maxStalls {
			moves = 0
		}

		assert.Equal(t, stops(f.Schedule(now, time.Time{})), moves)
		assert.Equal(t, len(f.Stalls()), moves)

		if moves == 1 {
			f.RecordEnd(now, node, end(node, int64(i+1), jobA, i+1, gate.Stopped).End)
		}
	}
}
