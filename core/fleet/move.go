package fleet

import (
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"
)

const (
	// slowPace is the pace in percent from which down a run is held back a lot.
	slowPace = 25
	// patience is how long a run may be held back before it is moved: the load of
	// serving tasks swings within seconds, and a move costs a stop and a restore.
	patience = 700 * time.Millisecond
	// movesApart is the time between two moves away from one worker: what is left
	// there may go on at full speed once one run is gone.
	movesApart = 400 * time.Millisecond
	// losable is the progress in percent up to which a run without checkpoints is
	// moved; beyond it, waiting costs less than doing the work again.
	losable = 30
)

// pace takes in the pace of a run.
func (r *run) pace(now time.Duration, percent int) {
	switch {
	case !r.step.Fills || percent > slowPace:
		r.slow = 0
	case r.slow == 0:
		r.slow = now
	}
}

// stalled takes in that a run makes no progress. A worker on which several jobs
// stall is no better than one on which they fail, but the tasks are not to blame.
func (f *Fleet) stalled(now time.Duration, w *workerRow, id job.TaskID) {
	f.judge(now, w.node, gate.End{
		Task:   id,
		Reason: gate.Failed,
	})
	f.stalls = append(f.stalls, Stall{
		Node: w.node,
		Task: id,
	})
}

// Stall is the news that a run makes no progress.
type Stall struct {
	Node string
	Task job.TaskID
}

// Stalls returns the runs that were found to make no progress since the last call.
func (f *Fleet) Stalls() []Stall {
	stalls := f.stalls
	f.stalls = nil

	return stalls
}

// move stops runs that are held back a lot, or make no progress, where another
// worker would let them run. They go on there from their checkpoints.
func (f *Fleet) move(now time.Duration) {
	for _, w := range f.ranks {
		if !w.connected || !w.ready {
			continue
		}

		f.moveStalled(now, w)

		if now >= w.movedAt+movesApart {
			f.moveFrom(now, w)
		}
	}
}

// moveStalled stops all runs of a worker that make no progress.
func (f *Fleet) moveStalled(now time.Duration, w *workerRow) {
	for id, r := range w.runs {
		if r.stalled && !r.moved {
			f.moveRun(now, w, id, r)
		}
	}
}

// moveRun stops a run if another worker would take it.
func (f *Fleet) moveRun(now time.Duration, w *workerRow, id job.TaskID, r *run) {
	j, s, t := f.task(id)
	if j == nil || j.state.Final() || !f.elsewhere(now, j, s, w) {
		return
	}

	r.moved = true
	w.movedAt = now
	t.avoid = w.node
	f.stop(w, id, r.attempt)
}

func (f *Fleet) moveFrom(now time.Duration, w *workerRow) {
	var (
		worst *run
		id    job.TaskID
	)

	for t, r := range w.runs {
		if r.slow == 0 || r.moved || now < r.slow+patience || (!r.step.Checkpointing && r.percent > losable) {
			continue
		}

		if worst == nil || r.slow < worst.slow || (r.slow == worst.slow && t.String() < id.String()) {
			worst, id = r, t
		}
	}

	if worst == nil {
		return
	}

	f.moveRun(now, w, id, worst)
}

// elsewhere reports whether another worker would let a task of a step run now.
func (f *Fleet) elsewhere(now time.Duration, j *jobRow, s *stepRow, here *workerRow) bool {
	for _, w := range f.ranks {
		if w == here || !f.may(now, j, s, w) {
			continue
		}

		if _, ok := f.rate(s.spec, w, false); ok {
			return true
		}
	}

	return false
}
