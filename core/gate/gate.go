package gate

import (
	"slices"
	"time"

	"trefoildeck/core/job"
)

const (
	// MaxLeaseExtension is the time after the last word of a leader until which
	// leases may be extended: the platform's longest lease. After it and the
	// drift of the worker's clock a leader may take what ran here as ended.
	MaxLeaseExtension = 6 * time.Second
	// LeaseExtension is how far a lease is extended at a time. A shorter one is lost
	// with a restart of this process, a longer one holds back what ran on a
	// worker that vanished.
	LeaseExtension = 4 * time.Second
	// ClockDriftDivisor is the share by which a worker's clock may be slow: 1/50.
	ClockDriftDivisor = 50
)

// Phase is what the gate knows of an attempt.
type Phase int

// Phases of an attempt.
const (
	// Ordered means that the order's answer is awaited.
	Ordered Phase = iota
	// InDoubt means that the order went unanswered and may still be carried out.
	InDoubt
	// Confirmed means that the worker runs it.
	Confirmed
)

// RunState is an attempt that runs or may run.
type RunState struct {
	Attempt int
	Phase   Phase
	// Order has the size and flags; Known says that they were told.
	Order      StartOrder
	OrderKnown bool
	// Run is what the worker listed last.
	Run Run
	// token is the fencing token of the order.
	token int64
	// confirmedAt is when the worker was known to run it.
	confirmedAt time.Duration
	// progressed is when the worker listed another percentage than before.
	progressed time.Duration
	// over is since when a serving task's latency is over its target, 0 if it is
	// not, and distrusted until when its pairs are not taken for harmless.
	over, distrusted time.Duration
	// gone says that an earlier life of the worker ran it.
	gone bool
	// PacePercent is the pace that the worker was told, 100 if none.
	PacePercent int
}

// EndEvent is something that a leader has to know.
type EndEvent struct {
	End
	// Incarnation is the worker's life in which the run ended.
	Incarnation Incarnation
}

// Gate is the state of one worker. It is not safe for concurrent use.
type Gate struct {
	// Worker is the last announcement; Known says that there was one.
	Worker    Announcement
	Announced bool
	// Synced says that the worker's lists were read in this life of it.
	Synced bool
	// Answering says that the last call was answered.
	Answering bool
	Runs      map[job.TaskID]*RunState

	// Token is the fencing token of calls.
	Token int64
	// Unrecorded has the listed ends that are not recorded yet, by number.
	Unrecorded []End
	// Recorded is the number up to which ends are recorded, and forgotten up to which
	// the worker has forgotten them.
	Recorded  int64
	forgotten int64

	// left says that the worker announced its end.
	left     bool
	listed   int64
	deadline time.Duration
	// clock is a reading of the worker's clock, taken at the local time read.
	clock, read time.Duration
	authority   time.Duration
	authorized  bool
}

// New returns the gate of a worker that has not announced itself.
func New() *Gate {
	return &Gate{Runs: map[job.TaskID]*RunState{}}
}

// HandleAnnouncement takes in an announcement at a local time, and returns whether anything
// changed.
func (g *Gate) HandleAnnouncement(now time.Duration, a Announcement) bool {
	if g.Announced && a.Incarnation == g.Worker.Incarnation {
		if a.Sequence <= g.Worker.Sequence {
			return false
		}

		changed := a.Draining != g.Worker.Draining || a.Capacity != g.Worker.Capacity ||
			!slices.Equal(a.Labels, g.Worker.Labels)
		g.Worker = a
		g.left = false

		return changed
	}

	if g.Announced && a.Born < g.Worker.Born {
		// Late word of an earlier life.
		return false
	}

	g.begin(now, a)

	return true
}

// HandleLeave takes in the planned end of a worker.
func (g *Gate) HandleLeave(id string) bool {
	if !g.Announced || g.Worker.ID != id {
		return false
	}

	g.Worker.Draining = true
	g.left = true

	return true
}

// begin takes in that the worker lives anew. What it ran is gone, but an order
// that was under way may have reached the new life, which goes by the same id.
// The first listing with a higher token settles which.
func (g *Gate) begin(now time.Duration, a Announcement) {
	for _, e := range g.Runs {
		e.gone = e.gone || e.Phase == Confirmed
		e.Phase = InDoubt
	}

	again := g.Announced
	g.Worker = a
	g.Announced = true
	g.Unrecorded = nil
	g.Recorded, g.listed, g.forgotten = 0, 0, 0
	g.Synced, g.Answering, g.left = false, false, false
	// An order that reached this life gave it the longest lease at the most.
	g.deadline, g.clock, g.read = MaxLeaseExtension, 0, now

	if again {
		g.RaiseToken(0)
	}
}

func (g *Gate) endAll(how EndReason) []EndEvent {
	var events []EndEvent

	for t, e := range g.Runs {
		events = append(events, g.event(t, e, how))
	}

	return events
}

func (g *Gate) event(t job.TaskID, e *RunState, how EndReason) EndEvent {
	return EndEvent{
		End: End{
			Task:       t,
			Attempt:    e.Attempt,
			Reason:     how,
			Checkpoint: e.Run.Checkpoint,
		},
		Incarnation: g.Worker.Incarnation,
	}
}

const (
	// stallTime is the time without progress after which a run has stalled: a
	// percent of the longest tasks takes 55 ms, on the slowest workers 0.4 s.
	stallTime = 1500 * time.Millisecond
	// stallPace is the pace below which little progress is expected.
	stallPace = 50
)

// Stalled reports whether a run makes no progress at a local time though it may.
func (e *RunState) Stalled(now time.Duration) bool {
	return e.Phase == Confirmed && e.OrderKnown && e.Order.Target == 0 && e.Run.ProgressPercent < fullPace &&
		e.PacePercent >= stallPace && e.progressed > 0 && now-e.progressed > stallTime
}

// Authorize says that a leader was in office at a local time.
func (g *Gate) Authorize(at time.Duration) {
	g.authority = max(g.authority, at)
	g.authorized = true
}

// ExtendLease returns the lease to ask for at a local time, as a reading of the
// worker's clock, or 0 to extend nothing. It counts as given from here on: a call
// that carries it may take effect without an answer.
func (g *Gate) ExtendLease(now time.Duration) time.Duration {
	d := g.lease(now)
	g.deadline = max(g.deadline, d)

	return d
}

func (g *Gate) lease(now time.Duration) time.Duration {
	if !g.authorized || !g.Answering {
		// A worker that does not answer is only probed: what it runs must lapse.
		return 0
	}

	limit := min(g.authority+MaxLeaseExtension, now+LeaseExtension)
	if limit <= now {
		return 0
	}

	return g.clock + limit - g.read
}

// ObserveClock takes in a reading of the worker's clock that came at a local time.
func (g *Gate) ObserveClock(now, reading time.Duration) {
	if reading > g.clock {
		g.clock, g.read = reading, now
	}
}

// Admit returns why an order may not be carried out, or "".
func (g *Gate) Admit(now time.Duration, o StartOrder) string {
	switch {
	case !g.Announced || !g.Synced:
		return "WorkerUnknown"
	case !g.Answering:
		return "WorkerSilent"
	case g.Worker.Draining:
		return "WorkerDraining"
	case g.lease(now) == 0:
		return "NoLeader"
	case g.Runs[o.Task] != nil:
		return "TaskPresent"
	}

	used := o.Size
	if o.Fills {
		used.MilliCores = 0
	}

	for _, e := range g.Runs {
		if !e.OrderKnown {
			return "SizesUnknown"
		}

		size := e.Order.Size
		if e.Order.Fills {
			size.MilliCores = 0
		}

		used = used.Plus(size)
	}

	if !g.Worker.Capacity.CanFit(used) {
		return "NoRoom"
	}

	return ""
}

// Reserve books an admitted order. It returns the fencing token and the lease that
// go with it.
func (g *Gate) Reserve(now time.Duration, o StartOrder) (token int64, deadline time.Duration) {
	g.Runs[o.Task] = &RunState{
		Attempt:     o.Attempt,
		Phase:       Ordered,
		Order:       o,
		OrderKnown:  true,
		token:       g.Token,
		PacePercent: 100,
	}

	return g.Token, g.ExtendLease(now)
}

// Adopt says what a run that was found on the worker takes.
func (g *Gate) Adopt(o StartOrder) {
	if e := g.Runs[o.Task]; e != nil && e.Attempt == o.Attempt {
		e.Order = o
		e.OrderKnown = true
	}
}

// Confirm says that the worker accepted a start at a local time.
func (g *Gate) Confirm(now time.Duration, t job.TaskID, attempt int) {
	if e := g.Runs[t]; e != nil && e.Attempt == attempt {
		e.Phase = Confirmed
		e.confirmedAt = now
	}
}

// Reject says that the worker surely did not carry out a start.
func (g *Gate) Reject(t job.TaskID, attempt int) []EndEvent {
	e := g.Runs[t]
	if e == nil || e.Attempt != attempt {
		return nil
	}

	delete(g.Runs, t)

	return []EndEvent{g.event(t, e, NotRun)}
}

// MarkInDoubt says that a start went unanswered. The fencing token rises, so that the
// order can't take effect once a call with the new token was answered.
func (g *Gate) MarkInDoubt(t job.TaskID, attempt int) {
	if e := g.Runs[t]; e != nil && e.Attempt == attempt && e.Phase == Ordered {
		e.Phase = InDoubt
		g.RaiseToken(0)
	}
}

// RaiseToken makes the fencing token higher than it was, and at least the worker's
// birth and clock together, in milliseconds, which no earlier token reached: not
// of another process, nor of an earlier life of the worker.
func (g *Gate) RaiseToken(clock time.Duration) {
	g.Token = max(g.Token+1, g.Worker.Born+max(clock, g.clock).Milliseconds())
}

// HandleListing takes in a listing that was asked for with a token at a local time,
// and returns what ended.
func (g *Gate) HandleListing(sent, now time.Duration, token int64, l Listing) []EndEvent {
	if l.ID != g.Worker.ID {
		return nil
	}

	if l.Born != g.Worker.Born {
		if l.Born > g.Worker.Born {
			// The worker was born again under its id and has not announced it yet.
			// This listing may be older than an order that is under way.
			worker := g.Worker
			worker.Born = l.Born
			worker.Sequence = 0
			g.begin(now, worker)
		}

		return nil
	}

	if token < g.Token && !g.Synced {
		return nil
	}

	g.ObserveClock(now, l.Clock)
	g.Answering = true

	if !g.Synced && len(l.Running) == 0 {
		// Earlier leases hold nothing, and earlier orders come too late.
		g.deadline = 0
	}

	events := g.listedEnds(l)
	events = append(events, g.listedRuns(sent, now, token, l)...)
	g.Synced = true

	return events
}

func (g *Gate) listedEnds(l Listing) []EndEvent {
	var events []EndEvent

	for _, e := range l.Ended {
		if e.Number <= g.listed {
			continue
		}

		g.listed = e.Number
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

func (g *Gate) listedRuns(sent, now time.Duration, token int64, l Listing) []EndEvent {
	running := make(map[job.TaskID]bool, len(l.Running))

	for _, r := range l.Running {
		running[r.Task] = true
		g.listedRun(now, r)
	}

	var events []EndEvent

	for t, e := range g.Runs {
		if running[t] {
			continue
		}

		if how := e.vanished(sent, token); how != "" {
			events = append(events, g.event(t, e, how))
			delete(g.Runs, t)
		}
	}

	return events
}

// listedRun takes in one run that the worker lists.
func (g *Gate) listedRun(now time.Duration, r Run) {
	e := g.Runs[r.Task]

	if e == nil || e.Attempt < r.Attempt {
		if g.ended(r) {
			return
		}

		e = &RunState{
			Attempt:     r.Attempt,
			PacePercent: fullPace,
		}
		g.Runs[r.Task] = e
	}

	if e.Attempt != r.Attempt {
		return
	}

	if e.Phase != Confirmed || e.Run.ProgressPercent != r.ProgressPercent {
		e.progressed = now
	}

	if e.Phase != Confirmed {
		e.Phase = Confirmed
		e.confirmedAt = now
	}

	e.Run = r
	e.gone = false
	e.watch(now)
}

// vanished returns how a run that a listing does not show has ended, or "" where
// the listing does not say. The listing was asked for at a time with a token.
func (e *RunState) vanished(sent time.Duration, token int64) EndReason {
	switch {
	case e.Phase == InDoubt && e.token < token && e.gone:
		return Lost
	case e.Phase == InDoubt && e.token < token:
		// Whoever comes later with the old token is turned away.
		return NotRun
	case e.Phase == Confirmed && e.confirmedAt < sent:
		return Lost
	default:
		return ""
	}
}

// ended reports whether the end of a listed run is listed too: answers on
// different connections may overtake each other.
func (g *Gate) ended(r Run) bool {
	return slices.ContainsFunc(g.Unrecorded, func(e End) bool {
		return e.Task == r.Task && e.Attempt >= r.Attempt
	})
}

// HandleUnanswered says that a call went unanswered at a local time, and returns what
// ended because its lease surely lapsed, or because the worker had announced its
// end and is gone.
func (g *Gate) HandleUnanswered(now time.Duration) []EndEvent {
	g.Answering = false

	if len(g.Runs) == 0 || (!g.left && !g.lapsed(now)) {
		return nil
	}

	events := g.endAll(Lapsed)
	g.Runs = map[job.TaskID]*RunState{}
	g.Synced = false

	return events
}

// HandleProcessExit says that nobody listens at the worker's address on this machine: its
// process has ended, and with it what it ran. An order under way may yet reach its
// next life.
func (g *Gate) HandleProcessExit() []EndEvent {
	g.Answering = false

	var events []EndEvent

	for t, e := range g.Runs {
		if e.Phase == Confirmed {
			events = append(events, g.event(t, e, Lost))
			delete(g.Runs, t)
		}
	}

	return events
}

// lapsed reports whether all leases have run out on the worker's clock, which
// may be slow.
func (g *Gate) lapsed(now time.Duration) bool {
	left := g.deadline - g.clock

	return now-g.read > left+left/ClockDriftDivisor+100*time.Millisecond
}

// EndToAcknowledge is up to which end the worker is to be told to forget, or 0. Under its id it
// may live anew, with ends numbered from 1: it is told so only once for each number,
// and only after a call that it answered.
func (g *Gate) EndToAcknowledge() int64 {
	if !g.Answering || g.Recorded <= g.forgotten {
		return 0
	}

	return g.Recorded
}

// MarkAcknowledged says that a life of the worker was told to forget ends up to a number.
func (g *Gate) MarkAcknowledged(i Incarnation, number int64) {
	if i == g.Worker.Incarnation {
		g.forgotten = max(g.forgotten, number)
	}
}

// MarkRecorded says that ends up to a number of an incarnation are recorded.
func (g *Gate) MarkRecorded(i Incarnation, number int64) {
	if i != g.Worker.Incarnation || number <= g.Recorded {
		return
	}

	g.Recorded = number
	g.Unrecorded = slices.DeleteFunc(g.Unrecorded, func(e End) bool { return e.Number <= number })
}
