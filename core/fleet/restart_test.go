package fleet

import (
	"testing"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

// runningFleet returns a fleet that has started the only task of jobA on node n1.
func runningFleet(t *testing.T) *Fleet {
	t.Helper()

	f := New(1)
	f.Report(0, "n1", described("n1"))
	f.Add(0, 0, record(jobA, step(1)))
	assert.Equal(t, len(starts(f.Schedule(0, time.Time{}))["n1"]), 1)

	return f
}

// TestRestartedNode checks that a sidecar that restarted under the same leader learns the
// orders, and so the sizes, of the runs that it finds on its worker. Without them it
// refuses all starts.
func TestRestartedNode(t *testing.T) {
	tests := map[string]struct {
		orderKnown bool
		adopted    int
	}{
		"Restarted":   {false, 1},
		"Reconnected": {true, 0},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			f := runningFleet(t)
			f.Disconnected("n1")

			r := described("n1")
			r.Runs = []gate.Run{{
				Task:       job.TaskID{Job: jobA},
				Attempt:    1,
				OrderKnown: c.orderKnown,
			}}
			f.Report(time.Second, "n1", r)

			o := f.Schedule(time.Second, time.Time{})["n1"]
			if c.adopted == 0 {
				assert.Assert(t, o == nil)

				return
			}

			assert.Equal(t, len(o.Adopted), c.adopted)
			assert.Equal(t, o.Adopted[0].Attempt, 1)
			assert.Equal(t, o.Adopted[0].Size, step(1).Size)
			assert.Equal(t, len(o.Starts), 0)
		})
	}
}

// refuse reports the refusal of a start by a node's worker.
func refuse(f *Fleet, now time.Duration, node string, s gate.StartOrder, reason gate.Refusal) {
	f.Report(now, node, Report{Ends: []gate.EndEvent{{
		End: gate.End{
			Task:    s.Task,
			Attempt: s.Attempt,
			Reason:  gate.NotRun,
			Refusal: reason,
		},
		Incarnation: incarnation(node),
	}}})
}

// TestRefusingWorker checks that starts that a worker refuses are repeated ever more
// slowly there, and not hundreds of times a second.
func TestRefusingWorker(t *testing.T) {
	const (
		tick     = 10 * time.Millisecond
		duration = 5 * time.Second
		// maxStarts are the starts after 0, 50, 150, 350, 750, 1550, 2550, 3550 and
		// 4550 ms.
		maxStarts = 9
	)

	tests := map[string]struct {
		reason    gate.Refusal
		minStarts int
		maxStarts int
	}{
		"NoRoom":    {gate.NoRoom, maxStarts - 1, maxStarts},
		"Unhealthy": {gate.RejectedByWorker, maxStarts - 1, maxStarts},
		// The refusal says nothing about other tasks, so that only notRunDelay applies.
		"TaskPresent": {gate.TaskPresent, 50, 100},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			f := New(1)
			f.Report(0, "n1", described("n1"))
			f.Add(0, 0, record(jobA, step(1)))

			n := 0

			for now := time.Duration(0); now < duration; now += tick {
				for _, s := range starts(f.Schedule(now, time.Time{}))["n1"] {
					n++
					refuse(f, now, "n1", s, c.reason)
				}
			}

			assert.Assert(t, n >= c.minStarts && n <= c.maxStarts, "%d starts", n)
		})
	}
}

// TestRefusalElsewhere checks that a task that one worker refuses starts on another one
// at once, and that the refusing worker gets tasks again after it ran one.
func TestRefusalElsewhere(t *testing.T) {
	f := New(1)
	f.Report(0, "n1", described("n1"))
	f.Add(0, 0, record(jobA, step(1)))
	s := starts(f.Schedule(0, time.Time{}))["n1"][0]
	f.Report(0, "n2", described("n2"))
	refuse(f, 0, "n1", s, gate.NoRoom)

	// The task itself waits for notRunDelay.
	assert.Equal(t, len(starts(f.Schedule(notRunDelay, time.Time{}))["n2"]), 1)

	f.Add(notRunDelay, 0, record(jobB, step(2)))
	assert.Equal(t, len(starts(f.Schedule(minRefusalPause, time.Time{}))["n1"]), 2)
	assert.Equal(t, f.workers["n1"].refusals.pause, minRefusalPause)

	e := end("n1", 1, jobB, 1, gate.Done)
	f.Report(time.Second, "n1", Report{Ends: []gate.EndEvent{e}})
	assert.Equal(t, f.workers["n1"].refusals.pause, time.Duration(0))
}

// TestSilentAfterRestart checks that the task of a worker starts elsewhere once its leases
// have expired, though its sidecar restarted and pings: one that can't list its worker has
// no runs to report, and its pings kept the task from being started again for good.
func TestSilentAfterRestart(t *testing.T) {
	const ping = 500 * time.Millisecond

	f := runningFleet(t)
	f.Report(0, "n2", described("n2"))
	f.RecordContact(ping, "n1")
	f.Disconnected("n1")

	announced := described("n1")
	announced.Full, announced.Ready = false, false

	for now := 2 * ping; now < ping+MaxLeaseTime; now += ping {
		f.Report(now, "n1", announced)
		f.RecordContact(now, "n1")
		assert.Equal(t, len(starts(f.Schedule(now, time.Time{}))), 0, "%s", now)
	}

	next := starts(f.Schedule(ping+MaxLeaseTime, time.Time{}))["n2"]
	assert.Equal(t, len(next), 1)
	assert.Equal(t, next[0].Attempt, 2)
}

// TestContact checks that a node may extend leases only after it has reported its runs: the
// leader counts on it that others expire.
func TestContact(t *testing.T) {
	f := runningFleet(t)
	assert.Assert(t, f.RecordContact(0, "n1"))
	assert.Assert(t, !f.RecordContact(0, "n2"))

	f.Disconnected("n1")
	assert.Assert(t, !f.RecordContact(0, "n1"))

	f.Report(0, "n1", described("n1"))
	assert.Assert(t, f.RecordContact(0, "n1"))
}

// TestNodesUnknown checks that a new leader starts no task that its predecessor may have
// started before it knows which nodes there are. The report of the first one to connect made
// it start those that run on the others.
func TestNodesUnknown(t *testing.T) {
	f := New(2)
	assert.NilError(t, f.Load(0, 0, record(jobA, step(1)), nil, false))
	f.Report(0, "n2", described("n2"))
	assert.Equal(t, len(starts(f.Schedule(0, time.Time{}))), 0)

	f.AwaitReports(0, []string{"n1", "n2"}, nil, nil)
	assert.Equal(t, len(starts(f.Schedule(0, time.Time{}))), 0)

	r := described("n1")
	r.Runs = []gate.Run{{
		Task:    job.TaskID{Job: jobA},
		Attempt: 1,
	}}
	f.Report(0, "n1", r)
	assert.Equal(t, len(starts(f.Schedule(0, time.Time{}))), 0)
}

// TestPendingInDoubt checks that a job counts as pending until its worker is known to have
// started a task of it. Those whose starts went unanswered or got lost did not count.
func TestPendingInDoubt(t *testing.T) {
	report := func(confirmed bool) func(*testing.T, *Fleet) *Fleet {
		return func(_ *testing.T, f *Fleet) *Fleet {
			r := described("n1")
			r.Runs = []gate.Run{{
				Task:       job.TaskID{Job: jobA},
				Attempt:    1,
				OrderKnown: true,
				Confirmed:  confirmed,
			}}
			f.Report(0, "n1", r)

			return f
		}
	}
	ended := func(number int64, reason gate.EndReason) func(*testing.T, *Fleet) *Fleet {
		return func(_ *testing.T, f *Fleet) *Fleet {
			f.RecordEnd(0, "n1", end("n1", number, jobA, 1, reason).End)

			return f
		}
	}
	reloaded := func(end func(*testing.T, *Fleet) *Fleet) func(*testing.T, *Fleet) *Fleet {
		return func(t *testing.T, f *Fleet) *Fleet {
			t.Helper()

			b, err := end(t, f).Changes(testLimits)
			assert.NilError(t, err)

			g := New(2)
			assert.NilError(t, g.Load(0, 0, record(jobA, step(1)), applyRows(nil, b), false))

			return g
		}
	}

	tests := map[string]struct {
		change  func(*testing.T, *Fleet) *Fleet
		pending int
	}{
		"Listed":         {report(true), 0},
		"InDoubt":        {report(false), 1},
		"Failed":         {ended(1, gate.Failed), 0},
		"Lapsed":         {ended(0, gate.Lapsed), 1},
		"FailedReloaded": {reloaded(ended(1, gate.Failed)), 0},
		"LapsedReloaded": {reloaded(ended(0, gate.Lapsed)), 1},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.change(t, runningFleet(t)).Pending("tints"), c.pending)
		})
	}
}

// TestOrderInFlight checks that a full report within a session ends no run: the order may
// still be on its way. The task was started elsewhere as well.
func TestOrderInFlight(t *testing.T) {
	f := runningFleet(t)
	f.Report(0, "n2", described("n2"))

	f.Report(0, "n1", described("n1"))
	assert.Equal(t, len(starts(f.Schedule(0, time.Time{}))), 0)

	f.Disconnected("n1")
	f.Report(0, "n1", described("n1"))
	assert.Equal(t, len(starts(f.Schedule(0, time.Time{}))), 1)
}

// TestEndElsewhere checks that an end on one node does not free a task for another start while
// its attempt runs on another node. A predecessor that used up its term's attempt numbers may
// have started a later one, unknown to its successor until its node returns.
func TestEndElsewhere(t *testing.T) {
	for _, reason := range []gate.EndReason{gate.Lapsed, gate.Stopped, gate.Failed, gate.NotRun} {
		t.Run(string(reason), func(t *testing.T) {
			f := New(2)
			assert.NilError(t, f.Load(0, 0, record(jobA, step(1)), nil, false))
			f.AwaitReports(0, []string{"n1", "n2"}, nil, nil)
			f.Report(MaxLeaseTime, "n2", described("n2"))

			next := starts(f.Schedule(MaxLeaseTime, time.Time{}))["n2"]
			assert.Equal(t, len(next), 1)

			now := MaxLeaseTime + time.Second
			r := described("n1")
			r.Ends = []gate.EndEvent{end("n1", 1, jobA, 2*attemptsPerTerm, reason)}
			f.Report(now, "n1", r)
			assert.Equal(t, len(starts(f.Schedule(now+time.Second, time.Time{}))), 0)

			r = described("n2")
			r.Runs = []gate.Run{{
				Task:       job.TaskID{Job: jobA},
				Attempt:    next[0].Attempt,
				OrderKnown: true,
			}}
			f.Report(now+time.Second, "n2", r)
			assert.Equal(t, len(f.Schedule(now+time.Second, time.Time{})), 0)
		})
	}
}

// TestEarlierAttemptListed checks that a task whose earlier attempt is found running on its
// worker is started again once that has ended, with a number that was never ordered, and not
// before. The ordered attempt stayed active for good, or both ran.
func TestEarlierAttemptListed(t *testing.T) {
	tests := map[string]func(*Fleet){
		"Ordered": func(f *Fleet) {
			f.Disconnected("n1")
		},
		"Refused": func(f *Fleet) {
			f.RecordEnd(time.Second, "n1", end("n1", 0, jobA, 2, gate.NotRun).End)
		},
	}

	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Second
			f := runningFleet(t)
			f.RecordEnd(0, "n1", end("n1", 0, jobA, 1, gate.NotRun).End)
			assert.Equal(t, starts(f.Schedule(now, time.Time{}))["n1"][0].Attempt, 2)
			prepare(f)

			r := described("n1")
			r.Runs = []gate.Run{{
				Task:       job.TaskID{Job: jobA},
				Attempt:    1,
				OrderKnown: true,
				Confirmed:  true,
			}}
			f.Report(now, "n1", r)
			f.Report(now, "n2", described("n2"))

			now += time.Second
			assert.Equal(t, len(starts(f.Schedule(now, time.Time{}))), 0)

			f.Report(now, "n1", Report{Ends: []gate.EndEvent{end("n1", 1, jobA, 1, gate.Failed)}})

			now += time.Second
			list := starts(f.Schedule(now, time.Time{}))["n2"]
			assert.Equal(t, len(list), 1)
			assert.Equal(t, list[0].Attempt, 3)
		})
	}
}

// TestEarlierAttemptDone checks that a task isn't started again when an earlier attempt than one
// that didn't run turns out to have ended as done. That end was passed over and acknowledged. It
// doesn't count once a later attempt has run: the worker's lease may have lapsed since.
func TestEarlierAttemptDone(t *testing.T) {
	tests := map[string]struct {
		reasons []gate.EndReason
		starts  int
	}{
		"OneNotRun": {[]gate.EndReason{gate.NotRun}, 0},
		"TwoNotRun": {[]gate.EndReason{gate.NotRun, gate.NotRun}, 0},
		"Ran":       {[]gate.EndReason{gate.NotRun, gate.Lapsed}, 1},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Duration(0)
			f := runningFleet(t)
			f.RecordEnd(0, "n1", end("n1", 0, jobA, 1, gate.NotRun).End)

			for i, reason := range c.reasons {
				now += time.Second
				assert.Equal(t, starts(f.Schedule(now, time.Time{}))["n1"][0].Attempt, i+2)
				f.RecordEnd(now, "n1", end("n1", 0, jobA, i+2, reason).End)
			}

			f.Report(now, "n1", Report{Ends: []gate.EndEvent{end("n1", 1, jobA, 1, gate.Done)}})

			now += time.Second
			assert.Equal(t, len(starts(f.Schedule(now, time.Time{}))), c.starts)
		})
	}
}

// TestRefusedForEarlierAttempt checks that a task isn't started while an earlier attempt runs
// because of which a start of it was refused.
func TestRefusedForEarlierAttempt(t *testing.T) {
	now := time.Second
	f := runningFleet(t)
	f.RecordEnd(0, "n1", end("n1", 0, jobA, 1, gate.NotRun).End)
	assert.Equal(t, starts(f.Schedule(now, time.Time{}))["n1"][0].Attempt, 2)
	f.Report(now, "n2", described("n2"))

	r := described("n1")
	r.Full = false
	r.Runs = []gate.Run{{
		Task:       job.TaskID{Job: jobA},
		Attempt:    1,
		OrderKnown: true,
		Confirmed:  true,
	}}
	r.Ends = []gate.EndEvent{end("n1", 0, jobA, 2, gate.NotRun)}
	r.Ends[0].Refusal = gate.TaskPresent
	f.Report(now, "n1", r)

	now += time.Second
	assert.Equal(t, len(starts(f.Schedule(now, time.Time{}))), 0)
}

// TestEarlierAttemptDoneInNextTerm checks that the end of an earlier attempt counts with the next
// leader too, if a start was refused because of it. The stored number was that of the refused start, so
// that the end was passed over and the task started again.
func TestEarlierAttemptDoneInNextTerm(t *testing.T) {
	f := runningFleet(t)
	stored := storeProgress(t, f, nil)
	f.RecordEnd(0, "n1", end("n1", 1, jobA, 1, gate.Failed).End)

	now := time.Second
	assert.Equal(t, starts(f.Schedule(now, time.Time{}))["n1"][0].Attempt, 2)
	f.RecordEnd(now, "n1", end("n1", 0, jobA, 2, gate.NotRun).End)

	now += time.Second
	assert.Equal(t, starts(f.Schedule(now, time.Time{}))["n1"][0].Attempt, 3)
	stored = storeProgress(t, f, stored)

	refused := end("n1", 0, jobA, 3, gate.NotRun)
	refused.Refusal = gate.TaskPresent
	f.Report(now, "n1", Report{
		Ends: []gate.EndEvent{refused},
		Runs: []gate.Run{{
			Task:       job.TaskID{Job: jobA},
			Attempt:    2,
			OrderKnown: true,
			Confirmed:  true,
		}},
	})
	stored = storeProgress(t, f, stored)

	next := New(2)
	assert.NilError(t, next.Load(now, 0, record(jobA, step(1)), stored, false))

	r := described("n1")
	r.Ends = []gate.EndEvent{end("n1", 2, jobA, 2, gate.Done)}
	next.Report(now, "n1", r)
	assert.Equal(t, next.jobs[jobA].state, job.Succeeded)
}

// storeProgress returns the stored rows after a fleet's changes were stored.
func storeProgress(t *testing.T, f *Fleet, stored []StoredRow) []StoredRow {
	t.Helper()

	b, err := f.Changes(testLimits)
	assert.NilError(t, err)
	f.Committed(b)

	return applyRows(stored, b)
}
