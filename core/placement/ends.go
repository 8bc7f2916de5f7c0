package placement

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxFailures is the number of workers on which a task fails before it is
// failed for good.
const maxFailures = 3

// End says how an attempt ended.
type End struct {
	ID AttemptID
	// Phase is Finished, Failed, Stopped or Lapsed.
	Phase  Phase
	Reason string
	// Checkpoint is the object of a newer checkpoint, empty for none.
	Checkpoint string
}

type ended struct {
	End
	worker string
}

// ReportEnd takes in a report of an agent. The agent repeats it until an Answer.
func (s *Scheduler) ReportEnd(worker string, e End) {
	r, ok := s.workers[worker]
	if !ok {
		return
	}

	h, ok := s.shards[r.dataCentre]
	if !ok {
		return
	}

	h.ends = append(h.ends, ended{
		End:    e,
		worker: worker,
	})
}

// recordEnds records how attempts ended, as far as the batch has room.
func (s *Scheduler) recordEnds(now time.Time, h *shard, b *Batch) {
	ends := h.ends
	h.ends = nil
	done := map[AttemptID]bool{}

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

// recordEnd returns false where it has to be tried again.
func (s *Scheduler) recordEnd(now time.Time, b *Batch, e ended) bool {
	answer := EndAck{
		Worker: e.worker,
		ID:     e.ID,
	}

	g, t := s.task(e.ID)
	r := s.workers[e.worker]

	if r == nil || r.record == nil {
		return true
	}

	if _, ok := r.record.Committed[e.ID.String()]; !ok {
		// It was recorded before.
		b.shard.answers = append(b.shard.answers, answer)

		return true
	}

	if t == nil {
		return s.recordOrphan(b, r, e, answer)
	}

	c := b.segment(g)
	if c == nil || b.worker(r) == nil {
		return false
	}

	b.release(r, e.ID)

	task := &c.Tasks[e.ID.Task%SegmentSize]
	if task.Attempt == e.ID.Attempt && task.Phase == PhaseAssigned {
		b.use(g.job.spec.Team, Size{}.Sub(task.Size))
		s.applyEnd(now, b, g, r, task, e)
	}

	b.ends = append(b.ends, e)
	b.answers = append(b.answers, answer)

	return true
}

// recordOrphan frees what an attempt of a deleted job had.
func (s *Scheduler) recordOrphan(b *Batch, r *workerRow, e ended, answer EndAck) bool {
	if !b.release(r, e.ID) {
		return false
	}

	b.ends = append(b.ends, e)
	b.answers = append(b.answers, answer)

	return true
}

// applyEnd moves a task on from an attempt that ended.
func (s *Scheduler) applyEnd(now time.Time, b *Batch, g *segmentRow, r *workerRow, task *Task, e ended) {
	if e.Checkpoint != "" {
		task.Checkpoint = e.Checkpoint
	}

	switch {
	case e.Phase == PhaseFinished:
		task.Phase = PhaseFinished
		b.finished++
		r.health.succeeded()
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

// applyFailure counts a failure against the task only as far as the workers
// that it failed on are not known to fail everything.
func (s *Scheduler) applyFailure(now time.Time, g *segmentRow, r *workerRow, task *Task, reason string) {
	if r.health.failed(now, g.job.spec.Key) {
		s.stats.Quarantined++
	}

	if !slices.Contains(task.FailedOn, r.name) {
		task.FailedOn = append(task.FailedOn, r.name)
	}

	task.Phase = PhasePending
	task.Reason = reason
	task.Failures++

	counted := 0

	for _, name := range task.FailedOn {
		w := s.workers[name]
		if w == nil || !w.health.bad() {
			counted++
		}
	}

	if counted >= min(maxFailures, max(1, s.healthyWorkers(now))) {
		task.Phase = PhaseFailed
	}
}

// healthyWorkers counts, up to maxFailures, workers that may take tasks.
func (s *Scheduler) healthyWorkers(now time.Time) int {
	n := 0

	for _, r := range s.workers {
		if r.record != nil && !r.health.bad() && now.Sub(r.seen) < reportFresh {
			n++
		}

		if n >= maxFailures {
			break
		}
	}

	return n
}

// parseAttemptID reads the form that AttemptID.String writes.
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
