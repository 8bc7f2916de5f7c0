package gate

import (
	"testing"
	"time"

	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

var taskA = job.TaskID{Job: "000000000000000a"}

// runningGate returns a gate whose worker listed attempt 1 of a task as running.
func runningGate(t *testing.T) *Gate {
	t.Helper()

	g := startedGate(t)
	g.list(0, []Run{{
		Task:    taskA,
		Attempt: 1,
	}}, nil)

	return g
}

// startedGate returns a gate whose worker accepted the start of attempt 1 of a task.
func startedGate(t *testing.T) *Gate {
	t.Helper()

	g := syncedGate(t)
	order := StartOrder{
		Task:    taskA,
		Attempt: 1,
		Size:    job.Size{MilliCores: 1000},
	}
	assert.Equal(t, g.Admit(0, order), Admitted)
	g.Reserve(0, order)
	g.Confirm(0, taskA, 1)

	return g
}

// syncedGate returns a gate whose worker announced itself and lists no runs.
func syncedGate(t *testing.T) *Gate {
	t.Helper()

	g := New()
	g.HandleAnnouncement(0, announcement(1, 1))
	g.RaiseToken(time.Second)
	g.Authorize(0)
	g.HandleListing(0, 0, g.Token, Listing{
		Incarnation: g.Worker.Incarnation,
		Clock:       time.Second,
	})

	return g
}

func announcement(born, sequence int64) Announcement {
	return Announcement{
		Incarnation: Incarnation{
			ID:   "i-1",
			Born: born,
		},
		Sequence: sequence,
		Capacity: job.Size{MilliCores: 1000},
	}
}

// list extends the lease and applies a listing that was requested and answered at the
// same time.
func (g *Gate) list(sent time.Duration, running []Run, ended []End) []EndEvent {
	g.ExtendLease(sent)

	return g.HandleListing(sent, sent, g.Token, Listing{
		Incarnation: g.Worker.Incarnation,
		Clock:       time.Second + sent,
		Running:     running,
		Ended:       ended,
	})
}

// TestAdmit checks which start orders are refused, and why.
func TestAdmit(t *testing.T) {
	other := StartOrder{
		Task:    job.TaskID{Job: "000000000000000b"},
		Attempt: 1,
		Size:    job.Size{MilliCores: 1},
	}
	filling := other
	filling.Fills = true

	tests := map[string]struct {
		prepare func(*Gate)
		order   StartOrder
		now     time.Duration
		refusal Refusal
	}{
		"Full":      {func(*Gate) {}, other, 0, "NoRoom"},
		"Fills":     {func(*Gate) {}, filling, 0, ""},
		"Present":   {func(*Gate) {}, StartOrder{Task: taskA}, 0, "TaskPresent"},
		"NoLeader":  {func(*Gate) {}, filling, MaxLeaseExtension, "NoLeader"},
		"Draining":  {func(g *Gate) { g.HandleLeave("i-1") }, filling, 0, "WorkerDraining"},
		"Silent":    {func(g *Gate) { g.HandleUnanswered(0) }, filling, 0, "WorkerSilent"},
		"Restarted": {func(g *Gate) { g.HandleAnnouncement(0, announcement(2, 1)) }, filling, 0, "WorkerUnknown"},
		"InDoubt":   {func(g *Gate) { g.Reserve(0, filling); g.MarkInDoubt(filling.Task, 1) }, filling, 0, "TaskPresent"},
		"Adopted": {func(g *Gate) {
			g.list(0, []Run{{Task: taskA, Attempt: 1}, {Task: job.TaskID{Job: "c"}, Attempt: 1}}, nil)
		}, filling, 0, "SizesUnknown"},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := runningGate(t)
			c.prepare(g)
			assert.Equal(t, g.Admit(c.now, c.order), c.refusal)
		})
	}
}

// TestUnansweredStart checks that an unanswered start order stays reserved until a call
// with a higher token was answered: until then the worker may still carry it out.
func TestUnansweredStart(t *testing.T) {
	tests := map[string]struct {
		running []Run
		ended   []End
		reason  EndReason
	}{
		"NotRun":  {nil, nil, NotRun},
		"Running": {[]Run{{Task: taskA, Attempt: 1}}, nil, ""},
		"Ended":   {nil, []End{{Number: 1, Task: taskA, Attempt: 1, Reason: Done}}, Done},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := syncedGate(t)
			old, _ := g.Reserve(0, StartOrder{
				Task:    taskA,
				Attempt: 1,
			})
			g.MarkInDoubt(taskA, 1)
			assert.Assert(t, g.Token > old)

			// The order may still arrive after a call with the old token.
			events := g.HandleListing(0, 0, old, Listing{
				Incarnation: g.Worker.Incarnation,
				Clock:       time.Second,
			})
			assert.Equal(t, len(events), 0)

			events = g.list(0, c.running, c.ended)
			if c.reason == "" {
				assert.Equal(t, len(events), 0)
				assert.Equal(t, g.Runs[taskA].Phase, Confirmed)

				return
			}

			assert.Equal(t, len(events), 1)
			assert.Equal(t, events[0].Reason, c.reason)
		})
	}
}

// TestUnansweredWorker checks when the runs of a worker that does not answer count as
// ended: once its leases have certainly lapsed, also if it announced its exit.
func TestUnansweredWorker(t *testing.T) {
	tests := map[string]struct {
		prepare func(*Gate)
		now     time.Duration
		ended   int
	}{
		"LeaseHolds":  {func(*Gate) {}, LeaseExtension, 0},
		"LeaseLapsed": {func(*Gate) {}, LeaseExtension + LeaseExtension/ClockDriftDivisor + 200*time.Millisecond, 1},
		"StartOnly": {func(g *Gate) {
			// The start itself grants a lease; no listing has followed it.
			*g = *startedGate(t)
		}, 0, 0},
		"Probed": {func(g *Gate) {
			// Calls to a worker that does not answer extend no lease.
			for now := time.Duration(0); now < LeaseExtension; now += 100 * time.Millisecond {
				g.HandleUnanswered(now)
				g.ExtendLease(now)
			}
		}, LeaseExtension + LeaseExtension/ClockDriftDivisor + 200*time.Millisecond, 1},
		// The worker may still run when it has announced its exit, and the notice may come
		// from an earlier incarnation.
		"Left":       {func(g *Gate) { g.HandleLeave("i-1") }, LeaseExtension, 0},
		"LeftLapsed": {func(g *Gate) { g.HandleLeave("i-1") }, LeaseExtension + LeaseExtension/ClockDriftDivisor + 200*time.Millisecond, 1},
		"Returned": {func(g *Gate) {
			g.HandleLeave("i-1")
			g.HandleAnnouncement(0, announcement(1, 2))
		}, 0, 0},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := runningGate(t)
			g.list(0, []Run{{Task: taskA, Attempt: 1}}, nil)
			c.prepare(g)
			assert.Equal(t, len(g.HandleUnanswered(c.now)), c.ended)
		})
	}
}

// TestLapsedInFlight checks that a start that is in flight when its worker's leases lapse is
// fenced off: as no run was left to be marked in doubt, it was carried out seconds later,
// under a lease that was extended for others.
func TestLapsedInFlight(t *testing.T) {
	g := runningGate(t)
	lapsed := MaxLeaseExtension - 100*time.Millisecond
	token, _ := g.Reserve(lapsed, StartOrder{
		Task:    job.TaskID{Job: "000000000000000b"},
		Attempt: 1,
	})

	events := g.HandleUnanswered(lapsed + 400*time.Millisecond)
	assert.Equal(t, len(events), 2)
	assert.Assert(t, g.Token > token)
}

// TestWorkerRestart checks how a run ends when the worker restarts under its ID. An
// order in flight may have reached the new incarnation, so only a listing with a
// higher token tells.
func TestWorkerRestart(t *testing.T) {
	run := Run{
		Task:    taskA,
		Attempt: 1,
	}
	end := End{
		Number:  1,
		Task:    taskA,
		Attempt: 1,
		Reason:  Done,
	}

	tests := map[string]struct {
		running []Run
		ended   []End
		reason  EndReason
	}{
		"Gone":    {nil, nil, Lost},
		"Reached": {[]Run{run}, nil, ""},
		"Ended":   {nil, []End{end}, Done},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := runningGate(t)
			old := g.Token
			assert.Assert(t, g.HandleAnnouncement(0, announcement(2, 1)))
			assert.Assert(t, g.Token > old)

			// A listing in flight does not show whether orders in flight have arrived.
			assert.Equal(t, len(g.HandleListing(0, 0, old, Listing{Incarnation: g.Worker.Incarnation})), 0)
			assert.Equal(t, len(g.Runs), 1)

			events := g.list(0, c.running, c.ended)
			if c.reason == "" {
				assert.Equal(t, len(events), 0)
				assert.Equal(t, g.Runs[taskA].Phase, Confirmed)

				return
			}

			assert.Equal(t, len(events), 1)
			assert.Equal(t, events[0].Reason, c.reason)
			assert.Equal(t, events[0].Incarnation.Born, int64(2))
		})
	}
}

// TestDelayedAnnouncement checks that an announcement of an earlier incarnation changes
// nothing.
func TestDelayedAnnouncement(t *testing.T) {
	g := runningGate(t)
	assert.Assert(t, !g.HandleAnnouncement(0, announcement(0, 9)))
	assert.Equal(t, len(g.Runs), 1)
	assert.Equal(t, g.Worker.Born, int64(1))
}

// TestTimeOfDaySteppedBack guards against runs that count as running for good: an incarnation
// that started at an earlier time of day than the one before it was ignored.
func TestTimeOfDaySteppedBack(t *testing.T) {
	g := runningGate(t)
	restarted := Incarnation{
		ID:   "i-1",
		Born: 0,
	}
	listing := func(running ...Run) Listing {
		return Listing{
			Incarnation: restarted,
			Clock:       10 * time.Millisecond,
			Running:     running,
		}
	}

	g.HandleListing(time.Second, time.Second, g.Token, listing())
	assert.Equal(t, g.Worker.Born, restarted.Born)
	assert.Equal(t, g.Admit(time.Second, StartOrder{}), WorkerUnknown)

	events := g.HandleListing(2*time.Second, 2*time.Second, g.Token, listing())
	assert.Equal(t, len(events), 1)
	assert.Equal(t, events[0].Reason, Lost)

	g.HandleAnnouncement(3*time.Second, announcement(0, 1))
	assert.Equal(t, g.Worker.Sequence, int64(1))

	// A delayed announcement of the incarnation before is taken back by the next listing.
	run := Run{
		Task:    taskA,
		Attempt: 2,
	}
	g.HandleListing(3*time.Second, 3*time.Second, g.Token, listing(run))
	g.HandleAnnouncement(4*time.Second, announcement(1, 9))
	assert.Equal(t, g.Worker.Born, int64(1))

	for now := 5 * time.Second; now < 7*time.Second; now += time.Second {
		assert.Equal(t, len(g.HandleListing(now, now, g.Token, listing(run))), 0)
	}

	assert.Equal(t, g.Worker.Born, restarted.Born)
	assert.Equal(t, g.Runs[taskA].Phase, Confirmed)
}

// TestReplacedWorker guards against a worker that is ignored for good: one that took another's
// address, and started at an earlier time of day than that.
func TestReplacedWorker(t *testing.T) {
	other := announcement(0, 1)
	other.ID = "i-2"

	tests := map[string]struct {
		prepare func(*Gate)
		adopted bool
	}{
		"Delayed":   {func(*Gate) {}, false},
		"Replaced":  {func(g *Gate) { g.HandleReplaced(time.Second) }, true},
		"Overtaken": {func(g *Gate) { g.HandleReplaced(0) }, false},
		"Answers": {func(g *Gate) {
			g.HandleReplaced(time.Second)
			g.list(2*time.Second, []Run{{Task: taskA, Attempt: 1}}, nil)
		}, false},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := runningGate(t)
			c.prepare(g)
			assert.Equal(t, g.HandleAnnouncement(3*time.Second, other), c.adopted)
			assert.Equal(t, g.Worker.ID == other.ID, c.adopted)
			assert.Equal(t, len(g.Runs), 1, "nothing ends before a listing shows it")
		})
	}
}

// TestOvertakenListing checks that a listing which an earlier incarnation may have answered
// changes nothing.
func TestOvertakenListing(t *testing.T) {
	g := runningGate(t)
	g.HandleAnnouncement(2*time.Second, announcement(2, 1))
	g.HandleListing(time.Second, 3*time.Second, g.Token, Listing{Incarnation: announcement(1, 1).Incarnation})
	assert.Equal(t, g.Worker.Born, int64(2))
}

// TestStalled checks when a run counts as making no progress.
func TestStalled(t *testing.T) {
	tests := map[string]struct {
		prepare func(*RunState)
		percent int
		after   time.Duration
		stalled bool
	}{
		"Stalled":    {func(*RunState) {}, 40, 2 * stallTimeout, true},
		"Briefly":    {func(*RunState) {}, 40, stallTimeout / 2, false},
		"Progresses": {func(*RunState) {}, 41, 2 * stallTimeout, false},
		"Throttled":  {func(e *RunState) { e.PacePercent = 0 }, 40, 2 * stallTimeout, false},
		"Serves":     {func(e *RunState) { e.Order.Target = time.Second }, 40, 2 * stallTimeout, false},
		"AtWork":     {func(e *RunState) { e.Run.ProgressPercent = 100 }, 100, 2 * stallTimeout, false},
		// One percent takes 3 s. Sound runs of long tasks counted as stalled, and were stopped.
		"Long":        {func(e *RunState) { e.Order.Estimate = 300 * time.Second }, 40, 2 * stallTimeout, false},
		"LongStalled": {func(e *RunState) { e.Order.Estimate = 300 * time.Second }, 40, 70 * time.Second, true},
		"Slow":        {func(e *RunState) { e.slowestPercent = 3 * time.Second }, 40, 2 * stallTimeout, false},
		"SlowStalled": {func(e *RunState) { e.slowestPercent = 3 * time.Second }, 40, 10 * time.Second, true},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := runningGate(t)
			list := func(now time.Duration, percent int) {
				g.list(now, []Run{{
					Task:            taskA,
					Attempt:         1,
					ProgressPercent: percent,
				}}, nil)
			}
			list(time.Second, 40)
			c.prepare(g.Runs[taskA])
			list(time.Second+c.after, c.percent)
			assert.Equal(t, g.Runs[taskA].Stalled(time.Second+c.after), c.stalled)
		})
	}
}

// TestEndToAcknowledge guards against a worker that forgets ends which nobody recorded:
// after a restart under its ID it numbers its ends from 1 again, so it must not be sent
// the numbers of its earlier incarnation. Each number is sent once, and none after an
// unanswered call.
func TestEndToAcknowledge(t *testing.T) {
	g := runningGate(t)
	run := []Run{{
		Task:    taskA,
		Attempt: 1,
	}}

	g.MarkRecorded(g.Worker.Incarnation, 40)
	assert.Equal(t, g.EndToAcknowledge(), int64(40))

	g.HandleUnanswered(time.Second)
	assert.Equal(t, g.EndToAcknowledge(), int64(0))

	g.list(2*time.Second, run, nil)
	assert.Equal(t, g.EndToAcknowledge(), int64(40))

	g.MarkAcknowledged(Incarnation{ID: g.Worker.ID}, 40)
	assert.Equal(t, g.EndToAcknowledge(), int64(40), "another incarnation answered")

	g.MarkAcknowledged(g.Worker.Incarnation, 40)
	assert.Equal(t, g.EndToAcknowledge(), int64(0))
}

// TestMalformedListing checks that no run counts as ended because a listing lacks it, if
// the listing has entries that could not be decoded.
func TestMalformedListing(t *testing.T) {
	g := runningGate(t)

	l := Listing{
		Incarnation: g.Worker.Incarnation,
		Clock:       2 * time.Second,
		Malformed:   []string{"running [1]"},
	}
	g.ExtendLease(time.Second)
	assert.Equal(t, len(g.HandleListing(time.Second, time.Second, g.Token, l)), 0)
	assert.Equal(t, len(g.Runs), 1)

	l.Malformed = nil
	assert.Equal(t, len(g.HandleListing(time.Second, time.Second, g.Token, l)), 1)
	assert.Equal(t, len(g.Runs), 0)
}

// TestTruncatedAfterUnreadable checks that a start that was in flight when a listing had a run that
// can't be decoded isn't taken for lapsed early, if there are more ends than the next listing has.
// Its lease was forgotten.
func TestTruncatedAfterUnreadable(t *testing.T) {
	g := syncedGate(t)
	g.list(0, nil, nil)
	g.Reserve(0, StartOrder{
		Task:    taskA,
		Attempt: 1,
	})

	l := Listing{
		Incarnation:    g.Worker.Incarnation,
		Clock:          time.Second,
		Malformed:      []string{"running [1]"},
		UnreadableRuns: 1,
	}
	g.HandleListing(0, 0, g.Token, l)

	l.Malformed, l.UnreadableRuns, l.Truncated = nil, 0, true
	g.HandleListing(0, 0, g.Token, l)

	l.Truncated = false
	g.HandleListing(0, 0, g.Token, l)

	g.Confirm(0, taskA, 1)
	assert.Equal(t, len(g.HandleUnanswered(time.Second)), 0)
	assert.Assert(t, len(g.HandleUnanswered(5*time.Second)) > 0)
}

// TestFoundRunsTakenForLapsed checks that the runs that a restarted sidecar finds end by
// the lease that its predecessor may have granted, whatever the worker's clock reads.
func TestFoundRunsTakenForLapsed(t *testing.T) {
	const lapse = MaxLeaseExtension + MaxLeaseExtension/ClockDriftDivisor + 100*time.Millisecond

	tests := map[string]struct {
		clock  time.Duration
		fenced bool
	}{
		"YoungWorker":     {time.Second, false},
		"OldWorker":       {time.Hour, false},
		"FencedOldWorker": {time.Hour, true},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := New()
			g.HandleAnnouncement(0, announcement(1, 1))

			if c.fenced {
				g.ObserveClock(0, c.clock)
			}

			g.RaiseToken(c.clock)
			g.HandleListing(0, 0, g.Token, Listing{
				Incarnation: g.Worker.Incarnation,
				Clock:       c.clock,
				Running: []Run{{
					Task:    taskA,
					Attempt: 1,
				}},
			})

			assert.Equal(t, len(g.HandleUnanswered(time.Second)), 0)
			assert.Equal(t, len(g.HandleUnanswered(lapse)), 0)

			events := g.HandleUnanswered(lapse + time.Millisecond)
			assert.Equal(t, len(events), 1)
			assert.Equal(t, events[0].Reason, Lapsed)
		})
	}
}

// TestTruncatedListing guards against a task that is started again although it ended: a run
// whose end is beyond those that a worker lists at a time counted as lost.
func TestTruncatedListing(t *testing.T) {
	end := End{
		Number:  501,
		Task:    taskA,
		Attempt: 1,
		Reason:  Done,
	}

	tests := map[string]func(*Gate){
		"Running": func(*Gate) {},
		"InDoubt": func(g *Gate) {
			g.Runs[taskA].Phase = InDoubt
			g.RaiseToken(0)
		},
		"Restarted": func(g *Gate) { g.HandleAnnouncement(0, announcement(2, 1)) },
	}

	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			g := runningGate(t)
			prepare(g)

			l := Listing{
				Incarnation: g.Worker.Incarnation,
				Clock:       2 * time.Second,
				Truncated:   true,
			}
			g.ExtendLease(time.Second)
			assert.Equal(t, len(g.HandleListing(time.Second, time.Second, g.Token, l)), 0)
			assert.Equal(t, len(g.Runs), 1)

			events := g.list(2*time.Second, nil, []End{end})
			assert.Equal(t, len(events), 1)
			assert.Equal(t, events[0].Reason, Done)
		})
	}
}

// TestFirstListingTruncated guards against a full report that lacks ends: the leader takes
// the runs that it names neither as running nor as ended for lost.
func TestFirstListingTruncated(t *testing.T) {
	g := New()
	g.HandleAnnouncement(0, announcement(1, 1))
	g.RaiseToken(time.Second)

	l := Listing{
		Incarnation: g.Worker.Incarnation,
		Clock:       time.Second,
		Truncated:   true,
	}
	g.HandleListing(0, 0, g.Token, l)
	assert.Assert(t, !g.Synced)
	assert.Assert(t, g.Answering)

	l.Truncated = false
	g.HandleListing(0, 0, g.Token, l)
	assert.Assert(t, g.Synced)
}

// TestTokenBeforeClock checks that the runs of an incarnation are not taken as known by a token
// that was derived before its clock was read: after a delayed announcement of the one before
// it, that token is lower than those of an earlier sidecar process, whose starts in flight
// could still take effect.
func TestTokenBeforeClock(t *testing.T) {
	const (
		born  = 600_000
		clock = time.Minute
	)

	g := New()
	g.HandleAnnouncement(0, announcement(1, 9))
	g.RaiseToken(clock)
	g.HandleAnnouncement(0, announcement(born, 1))

	for now := clock; !g.Synced; now += time.Millisecond {
		assert.Assert(t, now < clock+3*time.Millisecond)

		token := g.Token
		g.HandleListing(now, now, token, Listing{
			Incarnation: g.Worker.Incarnation,
			Clock:       now,
		})
		assert.Assert(t, !g.Synced || token >= born+clock.Milliseconds(), "%d", token)
	}
}

// TestStaleListing checks that no start is admitted by a state of the worker from before a long
// pause of this process: the worker may have restarted meanwhile, with another clock.
func TestStaleListing(t *testing.T) {
	const paused = 5 * time.Second

	g := syncedGate(t)
	assert.Equal(t, g.Admit(paused, StartOrder{Task: taskA}), WorkerSilent)

	// An answer that waited in a buffer is as old as its request.
	g.HandleListing(0, paused, g.Token, Listing{
		Incarnation: g.Worker.Incarnation,
		Clock:       2 * time.Second,
	})
	assert.Equal(t, g.Admit(paused, StartOrder{Task: taskA}), WorkerSilent)

	g.list(paused, nil, nil)
	assert.Equal(t, g.Admit(paused, StartOrder{Task: taskA}), Admitted)
}

// TestHeldUpStart checks that a start is not sent if this process was held up after it was
// reserved: the worker may have restarted, and grants its longest lease on its new clock.
func TestHeldUpStart(t *testing.T) {
	order := StartOrder{
		Task:    taskA,
		Attempt: 1,
	}
	tests := map[string]struct {
		prepare func(*Gate)
		now     time.Duration
		send    bool
	}{
		"AtOnce":    {func(*Gate) {}, 0, true},
		"Paused":    {func(*Gate) {}, 2 * time.Second, false},
		"Restarted": {func(g *Gate) { g.HandleAnnouncement(0, announcement(2, 1)) }, 0, false},
		"Forgotten": {func(g *Gate) { g.HandleUnanswered(2 * MaxLeaseExtension) }, 0, false},
		"Silent":    {func(g *Gate) { g.HandleUnanswered(0) }, 0, false},
		"NoLeader":  {func(g *Gate) { g.authorized = false }, 0, false},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := syncedGate(t)
			g.Reserve(0, order)
			c.prepare(g)
			assert.Equal(t, g.MaySend(0, c.now, order), c.send)
		})
	}
}

// TestLeftWorkerRefuses checks that the runs of a worker that announced its exit end once it
// refuses connections: lasting tasks waited for their lease, and were away for seven seconds.
func TestLeftWorkerRefuses(t *testing.T) {
	tests := map[string]struct {
		prepare func(*Gate)
		ended   int
	}{
		"Refuses": {func(*Gate) {}, 0},
		"Left":    {func(g *Gate) { g.HandleLeave("i-1") }, 1},
		"Returned": {func(g *Gate) {
			g.HandleLeave("i-1")
			g.HandleAnnouncement(0, announcement(1, 2))
		}, 0},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := runningGate(t)
			c.prepare(g)
			g.Reserve(0, StartOrder{
				Task:    job.TaskID{Job: "000000000000000b"},
				Attempt: 1,
			})

			assert.Equal(t, len(g.HandleRefused()), c.ended)
			assert.Equal(t, len(g.Runs), 2-c.ended, "an order in flight is kept")
		})
	}
}
