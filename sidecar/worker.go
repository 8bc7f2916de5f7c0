package sidecar

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"trefoildeck/core/fleet"
	"trefoildeck/core/gate"
	"trefoildeck/core/job"
	"trefoildeck/internal/jsonlog"
	"trefoildeck/io/boottime"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/platform"

	"go.uber.org/zap"
)

const (
	// maxListWait is how long the worker waits for an end before it answers a
	// listing.
	maxListWait = time.Second
	// maxServingWait replaces maxListWait while serving tasks run, whose latencies
	// are measured every half second.
	maxServingWait = 500 * time.Millisecond
	// maxLossyWait replaces both for lossyTime after a call went unanswered: others may,
	// and an end is not learned of before a listing without an answer has been repeated.
	maxLossyWait = 200 * time.Millisecond
	lossyTime    = 10 * time.Second
	// repeatDelay is how long the answer to a listing may be late before the listing is
	// repeated. The worker responds in 10 ms when it is slow.
	repeatDelay = 150 * time.Millisecond
	// unrecordedPause is the pause between listings while ends are not recorded,
	// because the worker then answers at once.
	unrecordedPause = 60 * time.Millisecond
	// silentPause is the pause after a failed listing.
	silentPause = 100 * time.Millisecond
)

// listLoop reads listings of the worker, whose calls also extend its leases, until ctx
// ends.
func (s *Sidecar) listLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		s.mu.Lock()
		announced := s.gate.Announced
		s.mu.Unlock()

		if !announced {
			pause(ctx, s.announced, maxListWait)

			continue
		}

		s.listOnce(ctx)
	}

	return nil
}

// listRequest is what a listing was requested with.
type listRequest struct {
	// sent is the local time of the request.
	sent         time.Duration
	worker       gate.Incarnation
	token        int64
	deadline     time.Duration
	acknowledged int64
	wait         time.Duration
}

// nextListing returns the request for the next listing. The caller holds the lock.
func (s *Sidecar) nextListing() listRequest {
	now := boottime.Now()

	return listRequest{
		sent:         now,
		worker:       s.gate.Worker.Incarnation,
		token:        s.gate.Token,
		deadline:     s.gate.ExtendLease(now),
		acknowledged: s.gate.EndToAcknowledge(),
		wait:         s.listWait(now),
	}
}

func (s *Sidecar) list(ctx context.Context, r listRequest) (gate.Listing, error) {
	l, err := s.worker.ExtendLeases(ctx, r.worker.ID, r.token, r.deadline, r.acknowledged, r.wait)
	s.meter.Count("listings_total", "answered", strconv.FormatBool(err == nil))
	s.dropLongCheckpoints(l)

	return l, err
}

// dropLongCheckpoints drops the checkpoints of a listing that no report can have. A report without
// the run would say that it has ended.
func (s *Sidecar) dropLongCheckpoints(l gate.Listing) {
	drop := func(t job.TaskID, checkpoint *string) {
		if n := len(*checkpoint); n > peer.MaxCheckpointBytes {
			s.repeats.Log(s.log, zap.WarnLevel, "CheckpointDropped", "too long", zap.String("Job", t.Job), zap.Stringer("Task", t),
				zap.Int("Bytes", n), zap.Int("Limit", peer.MaxCheckpointBytes))

			*checkpoint = ""
		}
	}

	for i := range l.Running {
		drop(l.Running[i].Task, &l.Running[i].Checkpoint)
	}

	for i := range l.Ended {
		drop(l.Ended[i].Task, &l.Ended[i].Checkpoint)
	}
}

// readListing reads one listing and returns it with its request. A listing without an answer
// is repeated once before the worker counts as silent: the answer may be lost.
func (s *Sidecar) readListing(ctx context.Context) (listRequest, gate.Listing, error) {
	s.mu.Lock()
	r := s.nextListing()

	if !s.gate.Answering {
		s.mu.Unlock()
		l, err := s.list(ctx, r)

		return r, l, err
	}

	first, cancel := context.WithTimeout(ctx, r.wait+repeatDelay)
	defer cancel()

	s.endListing = cancel
	s.mu.Unlock()

	l, err := s.list(first, r)
	unanswered := errors.Is(err, platform.ErrUnanswered) || (err != nil && first.Err() != nil)

	if !unanswered || ctx.Err() != nil {
		return r, l, err
	}

	s.mu.Lock()
	now := boottime.Now()
	s.unansweredAt = now
	// It acknowledges no ends, and grants no longer lease: the worker may not answer it either.
	repeat := listRequest{
		sent:   now,
		worker: s.gate.Worker.Incarnation,
		token:  s.gate.Token,
	}

	if repeat.worker == r.worker {
		repeat.deadline = r.deadline
	}

	r = repeat
	s.repeats.Log(s.log, zap.InfoLevel, "ListingRepeated", err.Error(), zap.String("Worker", r.worker.ID))
	s.mu.Unlock()

	l, err = s.list(ctx, r)

	return r, l, err
}

// listOnce reads one listing, applies it, and sends the paces that follow from it.
func (s *Sidecar) listOnce(ctx context.Context) {
	r, l, err := s.readListing(ctx)
	id, token := r.worker.ID, r.token

	s.mu.Lock()
	now := boottime.Now()

	if err != nil {
		s.handleListError(r.sent, now, id, token, l, err)
		s.mu.Unlock()
		pause(ctx, s.announced, silentPause)

		return
	}

	syncedBefore := s.gate.Synced
	answeredBefore := s.gate.Answering
	unknownBefore := s.gate.OrdersUnknown()

	if token == 0 {
		s.gate.HandleUnfenced(now, l)
		s.mu.Unlock()

		return
	}

	events := s.gate.HandleListing(r.sent, now, token, l)
	s.gate.MarkAcknowledged(l.Incarnation, r.acknowledged)
	sample := s.gate.Sample(now)
	s.learner.Observe(sample)
	paces := s.gate.Pace(sample, s.learner)
	s.logUnlisted(events)

	s.logMalformed(now, l)

	if !syncedBefore && s.gate.Synced {
		s.logSync(now, token)
		s.sendFullReport(slices.DeleteFunc(events, func(e gate.EndEvent) bool { return e.Number > 0 }))
	} else if len(events) > 0 || answeredBefore != s.gate.Answering || (len(l.Malformed) > 0 && syncedBefore != s.gate.Synced) {
		s.sendReport(events)
	}

	if s.gate.OrdersUnknown() > unknownBefore {
		// An order of an earlier process was carried out late. Until the leader sends it,
		// nothing can be started.
		s.sendStatus()
	}

	s.reportPaces(paces)

	// The worker answers at once while it lists ends.
	endsListed := len(s.gate.Unrecorded) > 0 || len(l.Malformed) > 0
	s.mu.Unlock()

	for _, p := range paces {
		s.pace(ctx, id, token, p)
	}

	if endsListed {
		pause(ctx, s.listNow, unrecordedPause)
	}
}

// listWait returns how long the worker may wait for an end before it answers. The
// worker must not wait while ends are acknowledged: if it restarted meanwhile, its new
// ends would have the acknowledged numbers. Nor must it if it has not answered: no task is
// started on it and no lease extended until it does.
func (s *Sidecar) listWait(now time.Duration) time.Duration {
	if !s.gate.Answering || s.gate.Token == 0 || !s.gate.Synced || len(s.gate.Unrecorded) > 0 || s.gate.EndToAcknowledge() > 0 {
		return 0
	}

	wait := maxListWait
	if s.unansweredAt > 0 && now-s.unansweredAt < lossyTime {
		wait = maxLossyWait
	}

	for _, e := range s.gate.Runs {
		if e.Phase == gate.InDoubt {
			return 0
		}

		if e.Order.Target > 0 {
			wait = min(wait, maxServingWait)
		}
	}

	return wait
}

// handleListError applies the failure of a listing that was requested with a token at the
// time sent. The caller holds the lock.
func (s *Sidecar) handleListError(sent, now time.Duration, id string, token int64, l gate.Listing, err error) {
	if s.gate.Worker.ID != id {
		return
	}

	if errors.Is(err, platform.ErrFenced) {
		s.gate.HandleFenced(now, token, l.Clock)

		return
	}

	if errors.Is(err, platform.ErrReplaced) {
		s.gate.HandleReplaced(sent)
	}

	if s.gate.Answering {
		s.log.Warn("WorkerSilent", zap.String("Worker", id), jsonlog.Error(err))
	}

	answeredBefore := s.gate.Answering

	if errors.Is(err, platform.ErrConnectionRefused) {
		if events := s.gate.HandleRefused(); len(events) > 0 {
			s.log.Info("WorkerGone", zap.String("Worker", id), zap.Int("RunsLost", len(events)))
			s.sendReport(events)
		}
	}

	lease := s.leaseFields(now)
	events := s.gate.HandleUnanswered(now)

	if len(events) > 0 {
		s.log.Warn("RunsLapsed", append(lease, zap.String("Worker", id), zap.Int("Runs", len(events)),
			zap.Bool("Draining", s.gate.Worker.Draining))...)
	}

	if answeredBefore || len(events) > 0 {
		s.sendReport(events)
	}
}

// logSync logs the first listing of an incarnation, or of one whose runs had been forgotten.
func (s *Sidecar) logSync(now time.Duration, token int64) {
	s.log.Info("WorkerListed", append(s.leaseFields(now), zap.String("Worker", s.gate.Worker.ID),
		zap.Int("Runs", len(s.gate.Runs)), zap.Int("Unrecorded", len(s.gate.Unrecorded)), zap.Int64("Token", token))...)
}

// leaseFields returns the log fields about the leases of the worker's runs. The caller
// holds the lock.
func (s *Sidecar) leaseFields(now time.Duration) []zap.Field {
	l := s.gate.Lease(now)

	fields := []zap.Field{zap.Duration("LeaseLeft", l.Left), zap.Duration("ReadingAge", l.ReadingAge)}
	if l.Authorized {
		fields = append(fields, zap.Duration("AuthorizedAge", l.AuthorizedAge))
	}

	return fields
}

// logUnlisted logs the runs that ended because a listing lacks them.
func (s *Sidecar) logUnlisted(events []gate.EndEvent) {
	for _, e := range events {
		if e.Number == 0 {
			s.log.Info("RunNotListed", zap.String("Job", e.Task.Job), zap.Stringer("Task", e.Task),
				zap.Int("Attempt", e.Attempt), zap.String("How", string(e.Reason)))
		}
	}
}

// logMalformed logs the entries of a listing that can't be decoded, and that no lease is extended
// because of them. The caller holds the lock.
func (s *Sidecar) logMalformed(now time.Duration, l gate.Listing) {
	for _, m := range l.Malformed {
		s.repeats.Log(s.log, zap.ErrorLevel, "ListingMalformed", m, zap.String("Worker", l.ID))
	}

	if len(l.Malformed) > 0 && !s.gate.Synced {
		s.repeats.Log(s.log, zap.WarnLevel, "LeasesWithheld", "ListingMalformed", append(s.leaseFields(now),
			zap.String("Worker", l.ID), zap.Int("Runs", l.UnreadableRuns), zap.Int64s("Ends", l.UnreadableEnds))...)
	}
}

// reportPaces reports the runs whose pace changed, so that the leader can move them.
func (s *Sidecar) reportPaces(paces []gate.PaceOrder) {
	var runs []peer.TaskRun

	for _, p := range paces {
		if e := s.gate.Runs[p.Task]; e != nil {
			runs = append(runs, peer.TaskRun{
				Task:  p.Task,
				State: e,
			})
		}
	}

	if len(runs) > 0 {
		s.sendRuns(false, runs, nil)
	}
}

func (s *Sidecar) pace(ctx context.Context, id string, token int64, p gate.PaceOrder) {
	err := s.worker.SetPace(ctx, id, token, p.Task, p.Attempt, p.Percent)
	s.meter.Count("paces_total")

	if err != nil {
		s.mu.Lock()
		if errors.Is(err, platform.ErrUnanswered) {
			s.gate.HandlePaceInDoubt(p)
		} else {
			s.gate.HandlePaceFailure(p)
		}
		s.mu.Unlock()
	}

	s.log.Info("TaskPaced", zap.String("Job", p.Task.Job), zap.Stringer("Task", p.Task), zap.Int("Percent", p.Percent), jsonlog.Error(err))
}

// handleOrders carries out the leader's orders. The caller holds the lock.
func (s *Sidecar) handleOrders(m *peerpb.Orders) {
	o, err := peer.DecodeOrders(m)
	if err != nil {
		s.log.Error("OrdersUnreadable", jsonlog.Error(err))

		return
	}

	current := o.Incarnation == s.gate.Worker.Incarnation

	unready := !s.gate.Ready()

	for _, a := range o.Adopted {
		s.gate.Adopt(a)
	}

	if unready && s.gate.Ready() {
		s.log.Info("SizesLearned", zap.String("Worker", s.gate.Worker.ID), zap.Int("Runs", len(o.Adopted)))
		s.sendReport(nil)
	}

	for _, stop := range o.Stops {
		order := stopOrder{
			term:    s.leader.Term,
			worker:  s.gate.Worker.ID,
			task:    stop.Task,
			attempt: stop.Attempt,
		}
		if current && !s.stopping[order] {
			s.stopping[order] = true
			go s.stop(order, s.gate.Token)
		}
	}

	s.handleStarts(o, current)
}

// handleStarts carries out the starts of orders, which are refused if they are not for the current
// incarnation. The caller holds the lock.
func (s *Sidecar) handleStarts(o fleet.Orders, current bool) {
	now := boottime.Now()

	var (
		refused []gate.EndEvent
		present []peer.TaskRun
	)

	for _, start := range o.Starts {
		reason := gate.WorkerReplaced
		if current {
			reason = s.gate.Admit(now, start)
		}

		if reason != gate.Admitted {
			s.meter.Count("starts_total", "outcome", string(reason))
			s.repeats.Log(s.log, zap.InfoLevel, "StartRefused", string(reason), zap.String("Job", start.Task.Job),
				zap.Stringer("Task", start.Task), zap.Int("Attempt", start.Attempt))
			refused = append(refused, gate.EndEvent{
				End: gate.End{
					Task:    start.Task,
					Attempt: start.Attempt,
					Reason:  gate.NotRun,
					Refusal: reason,
				},
				Incarnation: o.Incarnation,
			})

			if e := s.gate.Runs[start.Task]; e != nil {
				present = append(present, peer.TaskRun{
					Task:  start.Task,
					State: e,
				})
			}

			continue
		}

		s.gate.Reserve(now, start)
		s.starts.Push(gate.QueuedStart{
			Reserved: now,
			Order:    start,
		})

		if s.starting < platform.MaxConcurrentStarts {
			s.starting++

			go s.sendStarts()
		}
	}

	if len(refused) > 0 {
		// Without the runs that are present, the leader would take their tasks for free.
		s.sendRuns(false, present, refused)
	}
}

// sendStarts sends queued starts one after the other until there are none.
func (s *Sidecar) sendStarts() {
	for {
		start, ok := s.nextStart()
		if !ok {
			return
		}

		s.start(start)
	}
}

// issuedStart is a start that is about to be sent to a worker.
type issuedStart struct {
	workerID string
	token    int64
	deadline time.Duration
	order    gate.StartOrder
}

// nextStart returns the next start that may still be sent, and reports those before it as not run.
// If there is none, it returns false and gives up the place of a sender.
func (s *Sidecar) nextStart() (issuedStart, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	var heldUp []gate.EndEvent

	defer func() {
		if len(heldUp) > 0 {
			s.sendReport(heldUp)
		}
	}()

	for {
		now := boottime.Now()

		q, since, ok := s.starts.Pop(now)
		if !ok {
			s.starting--

			return issuedStart{}, false
		}

		o := q.Order
		if s.gate.MaySend(since, now, o) {
			token, deadline := s.gate.Issue(now, o)

			return issuedStart{
				workerID: s.gate.Worker.ID,
				token:    token,
				deadline: deadline,
				order:    o,
			}, true
		}

		s.repeats.Log(s.log, zap.WarnLevel, "StartHeldUp", "not sent in time", zap.String("Job", o.Task.Job),
			zap.Stringer("Task", o.Task), zap.Int("Attempt", o.Attempt), zap.Duration("Age", now-q.Reserved))
		heldUp = append(heldUp, s.gate.Reject(o.Task, o.Attempt)...)
	}
}

func (s *Sidecar) start(i issuedStart) {
	id, o := i.workerID, i.order
	began := time.Now()
	err := s.worker.Start(context.Background(), id, i.token, i.deadline, o)

	s.mu.Lock()
	defer s.mu.Unlock()

	s.meter.Observe(time.Since(began), "start_orders")
	s.meter.Count("starts_total", "outcome", outcome(err))

	if s.gate.Worker.ID != id {
		return
	}

	switch {
	case err == nil:
		s.gate.Confirm(boottime.Now(), o.Task, o.Attempt)
	case errors.Is(err, platform.ErrUnanswered):
		s.log.Warn("StartUnanswered", zap.String("Job", o.Task.Job), zap.Stringer("Task", o.Task), zap.Int("Attempt", o.Attempt), jsonlog.Error(err))
		s.gate.MarkInDoubt(o.Task, o.Attempt)
		s.unansweredAt = boottime.Now()
		// A listing under way has the token of before, which doesn't settle the doubt.
		s.endListing()
		notify(s.listNow)
	default:
		s.repeats.Log(s.log, zap.WarnLevel, "StartRejected", err.Error(), zap.String("Job", o.Task.Job),
			zap.Stringer("Task", o.Task), zap.Int("Attempt", o.Attempt))
		s.sendReport(s.gate.Reject(o.Task, o.Attempt))
	}
}

// outcome returns the metric label for the outcome of an order.
func outcome(err error) string {
	switch {
	case err == nil:
		return "Accepted"
	case errors.Is(err, platform.ErrUnanswered):
		return "Unanswered"
	case errors.Is(err, platform.ErrFenced):
		return "Fenced"
	default:
		return "Rejected"
	}
}

const (
	// maxStopTries bounds how often a stop order is sent. If all tries fail, the run is
	// reported once more, so that the leader orders the stop again.
	maxStopTries = 100
	// stopPause is the pause before a stop is sent again to a worker that did not carry it out.
	stopPause = 200 * time.Millisecond
)

// stopOrder is the order of the leader of a term to stop a run of a worker.
type stopOrder struct {
	term    int64
	worker  string
	task    job.TaskID
	attempt int
}

// stop orders the end of a run until the worker has carried it out or it is no longer needed.
func (s *Sidecar) stop(o stopOrder, token int64) {
	for range maxStopTries {
		s.stopSlots <- struct{}{}

		err := s.worker.Stop(context.Background(), o.worker, token, o.task, o.attempt)

		<-s.stopSlots

		carriedOut := err == nil || (errors.Is(err, platform.ErrRejected) && !errors.Is(err, platform.ErrUnavailable))

		if carriedOut {
			s.log.Info("TaskStopped", zap.String("Job", o.task.Job), zap.Stringer("Task", o.task), zap.Int("Attempt", o.attempt), jsonlog.Error(err))
		} else if !errors.Is(err, platform.ErrFenced) {
			s.repeats.Log(s.log, zap.WarnLevel, "StopUnanswered", err.Error(), zap.String("Job", o.task.Job),
				zap.Stringer("Task", o.task), zap.Int("Attempt", o.attempt))
		}

		s.mu.Lock()
		fenced := token < s.gate.Token
		token = s.gate.Token
		over := carriedOut || !s.stopNeeded(o)

		if over {
			delete(s.stopping, o)
		}
		s.mu.Unlock()

		if over {
			return
		}

		if !fenced {
			pause(context.Background(), nil, stopPause)
		}
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.stopping, o)
	delete(s.reported, o.task)
}

// stopNeeded reports whether a stop has to be sent again: the run goes on, and no later leader,
// which has it in its report, decides on it. The caller holds the lock.
func (s *Sidecar) stopNeeded(o stopOrder) bool {
	e := s.gate.Runs[o.task]

	return s.leader.Term == o.term && s.gate.Worker.ID == o.worker && e != nil && e.Attempt <= o.attempt
}

// pause waits until a signal arrives, d has passed or ctx ends.
func pause(ctx context.Context, signal <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()

	select {
	case <-ctx.Done():
	case <-signal:
	case <-timer.C:
	}
}
