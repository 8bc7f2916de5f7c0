package sidecar

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

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

// listOnce reads one listing, applies it, and sends the paces that follow from it.
func (s *Sidecar) listOnce(ctx context.Context) {
	s.mu.Lock()
	sent := boottime.Now()
	worker, token, acknowledged := s.gate.Worker.Incarnation, s.gate.Token, s.gate.EndToAcknowledge()
	deadline := s.gate.ExtendLease(sent)
	wait := s.listWait()
	s.mu.Unlock()

	l, err := s.worker.ExtendLeases(ctx, worker, token, deadline, acknowledged, wait)
	s.meter.Count("listings_total", "answered", strconv.FormatBool(err == nil))

	s.mu.Lock()
	now := boottime.Now()

	if err != nil {
		s.handleListError(sent, now, worker, token, l, err)
		s.mu.Unlock()
		pause(ctx, s.announced, silentPause)

		return
	}

	firstSync := !s.gate.Synced
	answeredBefore := s.gate.Answering
	unknownBefore := s.gate.OrdersUnknown()

	if token == 0 {
		s.gate.HandleUnfenced(now, l)
		s.mu.Unlock()

		return
	}

	events := s.gate.HandleListing(sent, now, token, l)

	if l.Incarnation == worker {
		s.gate.MarkAcknowledged(worker, acknowledged)
	}

	sample := s.gate.Sample(now)
	s.learner.Observe(sample)
	paces := s.gate.Pace(sample, s.learner)
	s.logUnlisted(events)

	if firstSync && s.gate.Synced {
		s.logSync(now, token)
		s.sendFullReport(slices.DeleteFunc(events, func(e gate.EndEvent) bool { return e.Number > 0 }))
	} else if len(events) > 0 || answeredBefore != s.gate.Answering {
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

	for _, m := range l.Malformed {
		s.repeats.Log(s.log, zap.ErrorLevel, "ListingMalformed", m, zap.String("Worker", worker.ID))
	}

	for _, p := range paces {
		s.pace(ctx, worker, token, p)
	}

	if endsListed {
		pause(ctx, s.listNow, unrecordedPause)
	}
}

// listWait returns how long the worker may wait for an end before it answers. The
// worker must not wait while ends are acknowledged: if it restarted meanwhile, its new
// ends would have the acknowledged numbers.
func (s *Sidecar) listWait() time.Duration {
	if s.gate.Token == 0 || !s.gate.Synced || len(s.gate.Unrecorded) > 0 || s.gate.EndToAcknowledge() > 0 {
		return 0
	}

	for _, e := range s.gate.Runs {
		if e.Phase == gate.InDoubt {
			return 0
		}

		if e.Order.Target > 0 {
			return maxServingWait
		}
	}

	return maxListWait
}

// handleListError applies the failure of a listing that was requested with a token at the
// time sent. The caller holds the lock.
func (s *Sidecar) handleListError(sent, now time.Duration, worker gate.Incarnation, token int64, l gate.Listing, err error) {
	if s.gate.Worker.ID != worker.ID {
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
		s.log.Warn("WorkerSilent", zap.String("Worker", worker.ID), jsonlog.Error(err))
	}

	answeredBefore := s.gate.Answering

	if errors.Is(err, platform.ErrConnectionRefused) {
		if events := s.gate.HandleRefused(); len(events) > 0 {
			s.log.Info("WorkerGone", zap.String("Worker", worker.ID), zap.Int("RunsLost", len(events)))
			s.sendReport(events)
		}
	}

	lease := s.leaseFields(now)
	events := s.gate.HandleUnanswered(now)

	if len(events) > 0 {
		s.log.Warn("RunsLapsed", append(lease, zap.String("Worker", worker.ID), zap.Int("Runs", len(events)),
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
		s.send(&peerpb.Frame{Body: &peerpb.Frame_WorkerReport{
			WorkerReport: peer.EncodeReport(false, s.gate, runs, nil),
		}})
	}
}

func (s *Sidecar) pace(ctx context.Context, worker gate.Incarnation, token int64, p gate.PaceOrder) {
	err := s.worker.SetPace(ctx, worker, token, p.Task, p.Attempt, p.Percent)
	s.meter.Count("paces_total")

	if err != nil {
		s.mu.Lock()
		s.gate.HandlePaceFailure(p)
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
		if current {
			go s.stop(s.gate.Worker.Incarnation, s.gate.Token, stop.Task, stop.Attempt)
		}
	}

	now := boottime.Now()

	var refused []gate.EndEvent

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

			continue
		}

		token, deadline := s.gate.Reserve(now, start)
		go s.start(now, s.gate.Worker.Incarnation, token, deadline, start)
	}

	if len(refused) > 0 {
		s.sendReport(refused)
	}
}

// start sends a start that was reserved at a local time, unless it was held up until it may no
// longer be sent.
func (s *Sidecar) start(reserved time.Duration, worker gate.Incarnation, token int64, deadline time.Duration, o gate.StartOrder) {
	s.mu.Lock()
	held := !s.gate.MaySend(reserved, boottime.Now(), o)

	if held {
		s.log.Warn("StartHeldUp", zap.String("Job", o.Task.Job), zap.Stringer("Task", o.Task), zap.Int("Attempt", o.Attempt))
		s.sendReport(s.gate.Reject(o.Task, o.Attempt))
	}
	s.mu.Unlock()

	if held {
		return
	}

	began := time.Now()
	err := s.worker.Start(context.Background(), worker, token, deadline, o)

	s.mu.Lock()
	defer s.mu.Unlock()

	s.meter.Observe(time.Since(began), "start_orders")
	s.meter.Count("starts_total", "outcome", outcome(err))

	if s.gate.Worker.ID != worker.ID {
		return
	}

	switch {
	case err == nil:
		s.gate.Confirm(boottime.Now(), o.Task, o.Attempt)
	case errors.Is(err, platform.ErrUnanswered):
		s.log.Warn("StartUnanswered", zap.String("Job", o.Task.Job), zap.Stringer("Task", o.Task), zap.Int("Attempt", o.Attempt), jsonlog.Error(err))
		s.gate.MarkInDoubt(o.Task, o.Attempt)
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

// maxStopTries bounds how often a stop order is sent. If all tries fail, the leader
// orders the stop again when it sees the run.
const maxStopTries = 5

func (s *Sidecar) stop(worker gate.Incarnation, token int64, t job.TaskID, attempt int) {
	for range maxStopTries {
		err := s.worker.Stop(context.Background(), worker, token, t, attempt)

		switch {
		case err == nil, errors.Is(err, platform.ErrRejected):
			s.log.Info("TaskStopped", zap.String("Job", t.Job), zap.Stringer("Task", t), zap.Int("Attempt", attempt), jsonlog.Error(err))

			return
		case errors.Is(err, platform.ErrFenced):
			s.mu.Lock()
			token = s.gate.Token
			s.mu.Unlock()
		default:
			s.log.Warn("StopUnanswered", zap.String("Job", t.Job), zap.Stringer("Task", t), zap.Int("Attempt", attempt), jsonlog.Error(err))
		}
	}
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
