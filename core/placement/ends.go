package placement

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxFailures is the number of workers on which a task must fail before its phase
	// is Failed; fewer suffice if fewer workers could run it.
	maxFailures = 3
	// maxSilence is how long a worker that doesn't report still counts as one that
	// could run a task that failed elsewhere. A replaced or restarted machine reports
	// again earlier.
	maxSilence = 30 * time.Second
)

// End is the end of an attempt.
type End struct {
	ID AttemptID
	// Phase is Finished, Failed, Stopped or Lapsed.
	Phase  Phase
	Reason string
	// Checkpoint names the object of a newer checkpoint; empty means none.
	Checkpoint string
}

// reportedEnd is an end with the worker of its attempt.
type reportedEnd struct {
	End
	worker string
	// inferred says that no agent reported the end.
	inferred bool
}

// ReportEnd queues the end of an attempt that an agent reports. The agent repeats
// the report until it receives an EndAck. Reports about workers that are unknown or
// whose shard isn't held are ignored.
func (s *Scheduler) ReportEnd(worker string, e End) {
	r, ok := s.workers[worker]
	if !ok {
		return
	}

	h, ok := s.shards[r.dataCentre]
	if !ok {
		return
	}

	h.ends = append(h.ends, reportedEnd{
		End:    e,
		worker: worker,
	})
}

// recordEnds adds the queued ends to the batch, as far as it has room. The rest
// stays queued.
func (s *Scheduler) recordEnds(now time.Time, h *shard, b *Batch) {
	ends := h.ends
	h.ends = nil
	done := map[AttemptID]bool{}

	// An agent's report says whether the attempt finished and names its checkpoint.
	slices.SortStableFunc(ends, func(a, b reportedEnd) int {
		switch {
		case a.inferred == b.inferred:
			return 0
		case b.inferred:
			return -1
		default:
			return 1
		}
	})

	for _, e := range ends {
		if done[e.ID] {
			continue
		}

		done[e.ID] = true

		if !s.recordEnd(now, b, e) {
			h.ends = append(h.ends, e)
		}
	}
}

// recordEnd adds one end to the batch. It returns false if the end has to be tried
// again in a later batch.
func (s *Scheduler) recordEnd(now time.Time, b *Batch, e reportedEnd) bool {
	ack := EndAck{
		Worker: e.worker,
		ID:     e.ID,
	}

	g, t := s.task(e.ID)
	r := s.workers[e.worker]

	if r == nil || r.record == nil {
		return true
	}

	if _, ok := r.record.Committed[e.ID.String()]; !ok {
		// The end was recorded by an earlier batch.
		b.shard.endAcks = append(b.shard.endAcks, ack)

		return true
	}

	if t == nil {
		return s.recordOrphan(b, r, e, ack)
	}

	c := b.segment(g)
	if c == nil || b.worker(r) == nil {
		return false
	}

	b.release(r, e.ID)

	task := &c.Tasks[e.ID.Task%SegmentSize]
	if task.Attempt == e.ID.Attempt && task.Phase == PhaseAssigned {
		b.addUsage(g.job.spec.Team, Size{}.Sub(task.Size))
		s.applyEnd(now, b, g, r, task, e)
	}

	b.ends = append(b.ends, e)
	b.endAcks = append(b.endAcks, ack)

	return true
}

// recordOrphan adds the end of an attempt whose job is no longer known.
func (s *Scheduler) recordOrphan(b *Batch, r *workerInfo, e reportedEnd, ack EndAck) bool {
	if !b.release(r, e.ID) {
		return false
	}

	b.ends = append(b.ends, e)
	b.endAcks = append(b.endAcks, ack)

	return true
}

// applyEnd sets a task's phase from the end of its current attempt.
func (s *Scheduler) applyEnd(now time.Time, b *Batch, g *segmentInfo, r *workerInfo, task *Task, e reportedEnd) {
	if e.Checkpoint != "" {
		task.Checkpoint = e.Checkpoint
	}

	switch {
	case e.Phase == PhaseFinished:
		task.Phase = PhaseFinished
		b.finished++
		r.health.taskSucceeded()
	case g.job.spec.Cancelled:
		task.Phase = PhaseCancelled
	case e.Phase == PhaseFailed:
		s.applyFailure(now, g, r, task, e.Reason)
	default:
		task.Phase = PhasePending
		task.Reason = e.Reason
	}

	task.Worker = ""
	task.BootID = ""
	task.DataCentre = ""
	task.Size = Size{}
}

// applyFailure records a failed attempt. Workers that are suspected of failing any
// task don't count towards the failure of the task itself.
func (s *Scheduler) applyFailure(now time.Time, g *segmentInfo, r *workerInfo, task *Task, reason string) {
	if r.health.taskFailed(now, g.job.spec.Key) {
		s.stats.Quarantined++
	}

	if !slices.Contains(task.FailedOn, r.name) {
		task.FailedOn = append(task.FailedOn, r.name)
	}

	task.Phase = PhasePending
	task.Reason = reason
	task.Failures++

	if s.failedForGood(now, task) {
		task.Phase = PhaseFailed
	}
}

// failedForGood reports whether a task has failed on enough workers that it is not
// tried again.
func (s *Scheduler) failedForGood(now time.Time, task *Task) bool {
	counted := 0

	for _, name := range task.FailedOn {
		w := s.workers[name]
		if w == nil || !w.health.suspect() {
			counted++
		}
	}

	return counted > 0 && counted >= min(maxFailures, max(1, s.possibleWorkers(now)))
}

// possibleWorkers returns how many workers could run a task, and stops counting at
// maxFailures: those that aren't suspect and report, or have been silent for less than
// maxSilence, and those of shards that are not held. A task must not fail for good on the
// one worker that still reports here.
func (s *Scheduler) possibleWorkers(now time.Time) int {
	n := 0

	for name := range s.dataCentres {
		if s.shards[name] == nil && !s.out[name] {
			n += s.remote[name].Workers
		}
	}

	for _, r := range s.workers {
		if r.record != nil && !r.health.suspect() && now.Sub(s.lastReport(r)) < maxSilence {
			n++
		}

		if n >= maxFailures {
			break
		}
	}

	return n
}

// lastReport returns the time of a worker's last report. One that hasn't reported to
// this scheduler counts as having reported when the shard was taken.
func (s *Scheduler) lastReport(r *workerInfo) time.Time {
	if h := s.shards[r.dataCentre]; h != nil && h.takenAt.After(r.reportedAt) {
		return h.takenAt
	}

	return r.reportedAt
}

// parseAttemptID parses the output of AttemptID.String.
func parseAttemptID(text string) (AttemptID, bool) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return AttemptID{}, false
	}

	task, err1 := strconv.Atoi(parts[1])
	attempt, err2 := strconv.Atoi(parts[2])

	return AttemptID{
		Job:     parts[0],
		Task:    task,
		Attempt: attempt,
	}, err1 == nil && err2 == nil
}
