package gate

import (
	"slices"
	"time"

	"trefoildeck/core/job"
)

const (
	// MaxLeaseExtension is the platform's longest lease: leases end at most this
	// long after the last contact with a leader. Once it and the drift of the
	// worker's clock have passed, a leader may treat the worker's runs as ended.
	MaxLeaseExtension = 6 * time.Second
	// LeaseExtension is the length of a single lease extension. A shorter lease
	// would lapse during a restart of the sidecar; a longer one delays the
	// replacement of runs on a worker that disappeared.
	LeaseExtension = 4 * time.Second
	// ClockDriftDivisor is the reciprocal of the greatest clock drift: a worker's
	// clock may run slow by 1/50.
	ClockDriftDivisor = 50
)

// maxListingAge is the age of the last answered listing, counted from its request, above which
// no start is admitted: after a pause of this process, the worker may have restarted, and on its
// new clock the deadline of a start would be too late. A listing that is answered takes 1.2 s
// at most, and the one after it 1.8 s until the worker counts as silent.
const maxListingAge = 3500 * time.Millisecond

// Phase is the state of an attempt as far as the gate knows it.
type Phase int

// Phases of an attempt.
const (
	// Ordered means that the start order is sent and its answer pending.
	Ordered Phase = iota
	// InDoubt means that the start order may or may not have taken effect, and may
	// still do so: it went unanswered, or the worker restarted since.
	InDoubt
	// Confirmed means that the worker runs the attempt.
	Confirmed
)

// RunState is the state of an attempt that runs or may run.
type RunState struct {
	Attempt int
	Phase   Phase
	// Order has the attempt's size and flags. It is only set if OrderKnown is: an
	// attempt found on the worker has none until the leader sends it (see Adopt).
	Order      StartOrder
	OrderKnown bool
	// Run is the worker's latest listing of the attempt.
	Run Run
	// token is the fencing token of the start order.
	token int64
	// confirmedAt is when the gate learned that the worker runs the attempt.
	confirmedAt time.Duration
	// progressedAt is when the listed progress last changed, and slowestPercent the longest time
	// that it took for one percent.
	progressedAt, slowestPercent time.Duration
	// overTargetSince is when a serving task's latency rose above its target, 0 if
	// it is not above it. Until distrustedUntil, the learned interference factors of
	// its image count as at least interference.PriorFactor.
	overTargetSince, distrustedUntil time.Duration
	// ranBefore reports that an earlier incarnation of the worker ran the attempt.
	ranBefore bool
	// PacePercent is the pace that was ordered last, 100 if none was, or UnknownPace.
	PacePercent int
}

// EndEvent is the end of a run as reported to the leader.
type EndEvent struct {
	End
	// Incarnation is the incarnation of the worker in which the run ended.
	Incarnation Incarnation
}

// Gate tracks the state of one worker. It is not safe for concurrent use.
//
// Times named now, at or sent are local times; a lease deadline is a reading of the
// worker's clock.
type Gate struct {
	// Worker is the last announcement. Announced reports whether there was one.
	Worker    Announcement
	Announced bool
	// Synced reports whether a listing of the worker's current incarnation was read that
	// was not truncated: before it, ends that the leader has to know may not be listed yet. It
	// is reset while a listing has something that can't be named to the leader.
	Synced bool
	// Answering reports whether the last call was answered.
	Answering bool
	Runs      map[job.TaskID]*RunState

	// Token is the fencing token of new calls.
	Token int64
	// fencedCalls counts the calls with the highest token that the worker fenced off.
	fencedCalls int
	// Unrecorded has the listed ends that are not recorded yet, ordered by number.
	Unrecorded []End
	// Recorded is the number of the last recorded end; acknowledged is the last one
	// that the worker was told to forget.
	Recorded     int64
	acknowledged int64

	// learnedAt is when the gate learned of the worker's current incarnation. replaced
	// reports that another worker has answered at its address since.
	learnedAt time.Duration
	replaced  bool
	// leaving reports that the worker announced its planned exit.
	leaving bool
	// lastEnd is the number of the last listed end.
	lastEnd int64
	// unnamed reports that the last listing had something that can't be decoded and may be
	// unknown to the leader.
	unnamed bool
	// heldEnd is the lowest number of a listed end that can't be decoded, or 0. lapsedEnd is the
	// highest number of one that was listed after the leases had lapsed.
	heldEnd, lapsedEnd int64
	// listedAt is when the last listing that was applied had been requested.
	listedAt time.Duration
	// leaseDeadline is the latest deadline that may have been granted to the runs, by this
	// process or the one before it.
	leaseDeadline time.Duration
	// clock is a reading of the worker's clock, taken at the local time clockReadAt. It is
	// 0 until the incarnation's clock has been read.
	clock, clockReadAt time.Duration
	// authorizedAt is the last time at which a leader was known to hold its lease.
	// It is only set if authorized is.
	authorizedAt time.Duration
	authorized   bool
}

// New returns the gate of a worker that has not announced itself yet.
func New() *Gate {
	return &Gate{Runs: map[job.TaskID]*RunState{}}
}

// HandleAnnouncement applies an announcement and reports whether it changed
// anything.
func (g *Gate) HandleAnnouncement(now time.Duration, a Announcement) bool {
	if g.Announced && a.Incarnation == g.Worker.Incarnation {
		if a.Sequence <= g.Worker.Sequence {
			return false
		}

		changed := a.Draining != g.Worker.Draining || a.Capacity != g.Worker.Capacity ||
			!slices.Equal(a.Labels, g.Worker.Labels)
		g.Worker = a
		g.leaving = false

		return changed
	}

	if g.Announced && a.Born < g.Worker.Born && (!g.replaced || a.ID == g.Worker.ID) {
		// A delayed announcement of an earlier incarnation, or one of a later incarnation
		// after the time of day stepped back, which the next listing shows.
		return false
	}

	g.startIncarnation(now, a)

	return true
}

// HandleLeave applies a worker's notice of its planned exit. It reports whether the
// notice concerns this worker. Nothing has ended yet: the worker may still run, and the
// notice names no incarnation, so that it may come from an earlier one.
func (g *Gate) HandleLeave(id string) bool {
	if !g.Announced || g.Worker.ID != id {
		return false
	}

	g.Worker.Draining = true
	g.leaving = true

	return true
}

// HandleRefused records that nothing listens at the worker's address. If the worker had
// announced its exit, its process has ended, and the runs with it. An order in flight may
// still reach the next incarnation.
func (g *Gate) HandleRefused() []EndEvent {
	g.Answering = false

	if !g.leaving {
		return nil
	}

	var events []EndEvent

	for t, e := range g.Runs {
		if e.Phase == Confirmed {
			events = append(events, g.endEvent(t, e, Lost))
			delete(g.Runs, t)
		}
	}

	return events
}

// HandleReplaced records that a worker with another ID answered a call that was sent at a
// time. The time of day may have stepped back before it started, so its announcement is
// then applied whatever its start time. A delayed one is answered by this again.
func (g *Gate) HandleReplaced(sent time.Duration) {
	g.replaced = g.replaced || sent > g.learnedAt
}

// startIncarnation resets the state after a restart of the worker. What it ran is
// lost, but an order that was in flight may have reached the new incarnation, which
// has the same ID. The first listing with a higher token shows whether it did.
func (g *Gate) startIncarnation(now time.Duration, a Announcement) {
	for _, e := range g.Runs {
		e.ranBefore = e.ranBefore || e.Phase == Confirmed
		e.Phase = InDoubt
	}

	restarted := g.Announced
	g.Worker, g.learnedAt, g.replaced = a, now, false
	g.Announced = true
	g.Unrecorded = nil
	g.Recorded, g.lastEnd, g.acknowledged = 0, 0, 0
	g.Synced, g.Answering, g.leaving = false, false, false
	g.unnamed, g.heldEnd, g.lapsedEnd = false, 0, 0
	g.fencedCalls = 0
	g.clock, g.clockReadAt = 0, now
	g.assumeLongestLease()

	if restarted {
		g.RaiseToken(0)
	}
}

func (g *Gate) endAllRuns(reason EndReason) []EndEvent {
	var events []EndEvent

	for t, e := range g.Runs {
		events = append(events, g.endEvent(t, e, reason))
	}

	return events
}

func (g *Gate) endEvent(t job.TaskID, e *RunState, reason EndReason) EndEvent {
	return EndEvent{
		End: End{
			Task:       t,
			Attempt:    e.Attempt,
			Reason:     reason,
			Checkpoint: e.Run.Checkpoint,
		},
		Incarnation: g.Worker.Incarnation,
	}
}

const (
	// stallTimeout is the least time without progress after which a run has stalled. Workers list
	// whole percents, so that a long task needs longer: stallEstimatedPercents times one percent
	// of its estimated run time, since estimates are rough and workers up to eight times slower,
	// and stallPercents times the slowest percent so far.
	stallTimeout           = 1500 * time.Millisecond
	stallEstimatedPercents = 20
	stallPercents          = 3
	// minStallPace is the lowest pace, in percent, at which a run can count as
	// stalled: below it little progress is expected.
	minStallPace = 50
)

// Stalled reports whether a run makes no progress although its pace allows it.
func (e *RunState) Stalled(now time.Duration) bool {
	return e.Phase == Confirmed && e.OrderKnown && e.Order.Target == 0 && e.Run.ProgressPercent < fullPercent &&
		e.PacePercent >= minStallPace && e.progressedAt > 0 && now-e.progressedAt > e.stallTimeout()
}

// stallTimeout returns the time without progress after which the run has stalled.
func (e *RunState) stallTimeout() time.Duration {
	return max(stallTimeout, stallEstimatedPercents*e.Order.Estimate/fullPercent, stallPercents*e.slowestPercent)
}

// Ready reports whether starts can be admitted as far as the worker is concerned: it is
// known and answers, it doesn't drain, and the sizes of all its runs are known.
func (g *Gate) Ready() bool {
	return g.Announced && g.Synced && g.Answering && !g.Worker.Draining && g.OrdersUnknown() == 0
}

// OrdersUnknown returns the number of runs that were found on the worker and whose
// orders the leader has not sent yet.
func (g *Gate) OrdersUnknown() int {
	n := 0

	for _, e := range g.Runs {
		if !e.OrderKnown {
			n++
		}
	}

	return n
}

// Admit returns why a start order must be refused, or Admitted.
func (g *Gate) Admit(now time.Duration, o StartOrder) Refusal {
	switch {
	case !g.Announced || !g.Synced:
		return WorkerUnknown
	case !g.Answering:
		return WorkerSilent
	case g.Worker.Draining:
		return WorkerDraining
	case g.nextDeadline(now) == 0:
		return NoLeader
	case now-g.listedAt > maxListingAge:
		return WorkerSilent
	case g.Runs[o.Task] != nil:
		return TaskPresent
	}

	used := o.Size
	if o.Fills {
		used.MilliCores = 0
	}

	for _, e := range g.Runs {
		if !e.OrderKnown {
			return SizesUnknown
		}

		size := e.Order.Size
		if e.Order.Fills {
			size.MilliCores = 0
		}

		used = used.Add(size)
	}

	if !g.Worker.Capacity.CanFit(used) {
		return NoRoom
	}

	return Admitted
}

// Reserve adds the run of an admitted order. It returns the fencing token and the
// lease deadline to send with the order.
func (g *Gate) Reserve(now time.Duration, o StartOrder) (token int64, deadline time.Duration) {
	g.Runs[o.Task] = &RunState{
		Attempt:     o.Attempt,
		Phase:       Ordered,
		Order:       o,
		OrderKnown:  true,
		PacePercent: 100,
	}

	return g.Issue(now, o)
}

// Issue returns the fencing token and the lease deadline to send with an order that was reserved
// and not sent yet.
func (g *Gate) Issue(now time.Duration, o StartOrder) (token int64, deadline time.Duration) {
	g.Runs[o.Task].token = g.Token

	return g.Token, g.ExtendLease(now)
}

// maxSendDelay is the time in which this process may have been paused before it sends a start. After
// a longer pause, it knows neither whether the worker has restarted nor whether the leader has given
// the start up.
const maxSendDelay = time.Second

// MaySend reports whether a start that was reserved may still be sent: its run is neither forgotten
// nor in doubt, the worker answers, a leader is known to hold its lease, and since a time at which
// this process ran, it has not paused for long.
func (g *Gate) MaySend(since, now time.Duration, o StartOrder) bool {
	e := g.Runs[o.Task]

	return e != nil && e.Attempt == o.Attempt && e.Phase == Ordered && g.Answering && g.nextDeadline(now) > 0 &&
		now-since <= maxSendDelay
}

// Adopt sets the order of a run that was found on the worker, and so its size. A run
// whose order is known keeps it.
func (g *Gate) Adopt(o StartOrder) {
	if e := g.Runs[o.Task]; e != nil && e.Attempt == o.Attempt && !e.OrderKnown {
		e.Order = o
		e.OrderKnown = true

		if !o.Fills {
			e.PacePercent = fullPercent
		}
	}
}

// Confirm records that the worker accepted a start order.
func (g *Gate) Confirm(now time.Duration, t job.TaskID, attempt int) {
	if e := g.Runs[t]; e != nil && e.Attempt == attempt {
		e.Phase = Confirmed
		e.confirmedAt = now
	}
}

// Reject removes the run of a start order that is known to have had no effect.
func (g *Gate) Reject(t job.TaskID, attempt int) []EndEvent {
	e := g.Runs[t]
	if e == nil || e.Attempt != attempt {
		return nil
	}

	delete(g.Runs, t)

	event := g.endEvent(t, e, NotRun)
	event.Refusal = RejectedByWorker

	return []EndEvent{event}
}

// MarkInDoubt records that a start order went unanswered. It raises the fencing
// token, so that the order can't take effect once a call with the new token was
// answered.
func (g *Gate) MarkInDoubt(t job.TaskID, attempt int) {
	if e := g.Runs[t]; e != nil && e.Attempt == attempt && e.Phase == Ordered {
		e.Phase = InDoubt
		g.RaiseToken(0)
	}
}

// HandleListing applies a listing that was requested with a token at the time sent
// and arrived now, and returns what ended.
func (g *Gate) HandleListing(sent, now time.Duration, token int64, l Listing) []EndEvent {
	if l.ID != g.Worker.ID {
		return nil
	}

	if l.Born != g.Worker.Born {
		// The time of day may have stepped back, so that the later incarnation has the
		// earlier start time: an answer to a call that was sent after the gate learned of
		// an incarnation can't come from the one before it.
		if l.Born > g.Worker.Born || sent > g.learnedAt {
			// The worker restarted under its ID and has not announced it yet. This
			// listing may be older than an order in flight.
			worker := g.Worker
			worker.Born = l.Born
			worker.Sequence = 0
			g.startIncarnation(now, worker)
		}

		return nil
	}

	if !g.Synced && g.clock == 0 && token < l.Born+l.Clock.Milliseconds() {
		// Before the clock was read, the token may have been lower than those of an earlier
		// sidecar process, whose orders may still be in flight.
		g.ObserveClock(now, l.Clock)
		g.RaiseToken(l.Clock)
	}

	if token < g.Token && !g.Synced {
		return nil
	}

	g.ObserveClock(now, l.Clock)
	g.Answering = true
	g.replaced = false
	g.listedAt = sent

	switch {
	case g.Synced, g.unnamed:
	case len(l.Running) == 0 && l.complete():
		// No run holds an earlier lease, and the token fences earlier orders off.
		g.leaseDeadline = 0
	default:
		g.assumeLongestLease()
	}

	events := g.handleEnds(l)
	events = append(events, g.handleRuns(sent, now, token, l)...)
	g.Synced = g.Synced || !l.Truncated
	g.handleUnreadable(sent, l)

	return events
}

// handleEnds applies the ends of a listing that earlier listings did not have.
func (g *Gate) handleEnds(l Listing) []EndEvent {
	var events []EndEvent

	for _, e := range l.Ended {
		if e.Number <= g.lastEnd {
			continue
		}

		g.lastEnd = e.Number
		g.Unrecorded = append(g.Unrecorded, e)

		if r := g.Runs[e.Task]; r != nil && r.Attempt <= e.Attempt {
			delete(g.Runs, e.Task)
		}

		events = append(events, EndEvent{
			End:         e,
			Incarnation: g.Worker.Incarnation,
		})
	}

	return events
}

// handleRuns applies the runs of a listing and ends those that it lacks.
func (g *Gate) handleRuns(sent, now time.Duration, token int64, l Listing) []EndEvent {
	running := make(map[job.TaskID]bool, len(l.Running))

	for _, r := range l.Running {
		running[r.Task] = true
		g.handleRun(now, r)
	}

	if !l.complete() {
		return nil
	}

	var events []EndEvent

	for t, e := range g.Runs {
		if running[t] {
			continue
		}

		if reason := e.unlistedReason(sent, token); reason != "" {
			events = append(events, g.endEvent(t, e, reason))
			delete(g.Runs, t)
		}
	}

	return events
}

// handleRun applies one listed run.
func (g *Gate) handleRun(now time.Duration, r Run) {
	e := g.Runs[r.Task]

	if e == nil || e.Attempt < r.Attempt {
		if g.endListed(r) {
			return
		}

		e = &RunState{
			Attempt:     r.Attempt,
			PacePercent: UnknownPace,
		}
		g.Runs[r.Task] = e
	}

	if e.Attempt != r.Attempt {
		return
	}

	if n := r.ProgressPercent - e.Run.ProgressPercent; e.Phase != Confirmed || n != 0 {
		if e.Phase == Confirmed && n > 0 {
			e.slowestPercent = max(e.slowestPercent, (now-e.progressedAt)/time.Duration(n))
		}

		e.progressedAt = now
	}

	if e.Phase != Confirmed {
		e.Phase = Confirmed
		e.confirmedAt = now
	}

	e.Run = r
	e.ranBefore = false
	e.trackLatency(now)
}

// unlistedReason returns how a run that is missing from a listing ended, or "" if the
// listing does not tell. The listing was requested with a token at the time sent.
func (e *RunState) unlistedReason(sent time.Duration, token int64) EndReason {
	switch {
	case e.Phase == InDoubt && e.token < token && e.ranBefore:
		return Lost
	case e.Phase == InDoubt && e.token < token:
		// If the order arrives later, the worker rejects it because of its old token.
		return NotRun
	case e.Phase == Confirmed && e.confirmedAt < sent:
		return Lost
	default:
		return ""
	}
}

// endListed reports whether the end of a listed run is already listed and not yet
// recorded: answers on different connections may overtake each other.
func (g *Gate) endListed(r Run) bool {
	return slices.ContainsFunc(g.Unrecorded, func(e End) bool {
		return e.Task == r.Task && e.Attempt >= r.Attempt
	})
}

// HandleUnanswered records that a call went unanswered. It returns what ended because its
// lease has certainly lapsed.
func (g *Gate) HandleUnanswered(now time.Duration) []EndEvent {
	g.Answering = false

	if len(g.Runs) == 0 || !g.leasesLapsed(now) {
		return nil
	}

	events := g.endAllRuns(Lapsed)
	g.Runs = map[job.TaskID]*RunState{}
	g.Synced = false
	// A start in flight may arrive once later calls have extended the leases again.
	g.RaiseToken(0)

	return events
}

// MarkAcknowledged records that an incarnation was told to forget its ends up to a
// number.
func (g *Gate) MarkAcknowledged(i Incarnation, number int64) {
	if i == g.Worker.Incarnation {
		g.acknowledged = max(g.acknowledged, number)
	}
}

// MarkRecorded records that the ends of an incarnation up to a number are stored
// durably.
func (g *Gate) MarkRecorded(i Incarnation, number int64) {
	if i != g.Worker.Incarnation || number <= g.Recorded {
		return
	}

	g.Recorded = number
	g.Unrecorded = slices.DeleteFunc(g.Unrecorded, func(e End) bool { return e.Number <= number })
}
