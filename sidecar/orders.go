package sidecar

import (
	"context"
	"errors"
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
