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
