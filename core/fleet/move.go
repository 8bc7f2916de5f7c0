package fleet

import (
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"
)

const (
	// slowPacePercent is the highest pace that counts as slow. The pace is the share
	// of its full speed at which a filling run is allowed to go.
	slowPacePercent = 25
	// maxSlowTime is how long a run may be slow before it is moved. The load of
	// serving tasks varies within seconds, and a move costs a stop and a restore.
	maxSlowTime = 700 * time.Millisecond
	// moveInterval is the minimum time between two moves away from one worker, since
	// the remaining runs may reach full speed once one run is gone.
	moveInterval = 400 * time.Millisecond
	// maxLostPercent is the progress up to which a run without checkpoints is moved.
	// Beyond it, waiting costs less than repeating the work.
	maxLostPercent = 30
	// maxStalls is the number of stalled runs of a task that are put down to their workers. After
	// them the task is slow itself, or its estimate far too short, and it stays where it is.
	maxStalls = 2
	// stopRepeatDelay is the time after which a stop is ordered again if its run has not ended. A
	// stop takes 0.9 s at most.
	stopRepeatDelay = 3 * time.Second
)

// updatePace records the pace of a run in percent.
func (r *run) updatePace(now time.Duration, percent int) {
	switch {
	case percent == gate.UnknownPace:
	case !r.step.Fills || percent > slowPacePercent:
		r.slowSince = 0
	case r.slowSince == 0:
		r.slowSince = now
	}
}

// recordStall records that a run makes no progress. It counts as a failure for the
// worker's health, since a worker on which several jobs stall is as bad as one on which
// they fail. It does not count as a failed attempt of the task, which is not at fault.
func (f *Fleet) recordStall(now time.Duration, w *workerInfo, r *run, t *taskInfo, id job.TaskID) {
	if t.stalls >= maxStalls {
		return
	}

	t.stalls++
	r.stalled = true

	f.updateHealth(now, w.node, gate.End{
		Task:   id,
		Reason: gate.Failed,
	})
	f.stalls = append(f.stalls, Stall{
		Node: w.node,
		Task: id,
	})
}

// Stall reports a run that makes no progress.
type Stall struct {
	Node string
	Task job.TaskID
}

// Stalls returns the stalls that were reported since the last call.
func (f *Fleet) Stalls() []Stall {
	stalls := f.stalls
	f.stalls = nil

	return stalls
}

// moveRuns stops slow and stalled runs that could run on another worker now. They
// resume there from their checkpoints.
func (f *Fleet) moveRuns(now time.Duration) {
	for _, w := range f.sortedWorkers {
		if !w.connected || !w.ready {
			continue
		}

		f.moveStalled(now, w)

		if f.Colocation {
			// Paced runs are moved in the order of their jobs.
			continue
		}

		if now >= w.movedAt+moveInterval {
			f.moveSlowestRun(now, w)
		}
	}
}

// moveStalled stops the stalled runs of a worker that could run elsewhere.
func (f *Fleet) moveStalled(now time.Duration, w *workerInfo) {
	for id, r := range w.runs {
		if r.stalled && now >= r.stopAwaitedUntil {
			f.moveRun(now, w, id, r)
		}
	}
}

// moveRun stops a run if another worker could run it now.
func (f *Fleet) moveRun(now time.Duration, w *workerInfo, id job.TaskID, r *run) {
	j, s, t := f.findTask(id)
	if j == nil || j.state.Final() || !f.mayLeave(now, j, s, w, r) {
		return
	}

	r.stopAwaitedUntil = now + stopRepeatDelay
	w.movedAt = now
	f.recordMove(w, id, r.attempt, r.moveReason(), 0)
	t.avoidNode = w.node
	f.orderStop(w, id, r.attempt)
}

// moveSlowestRun stops the run of a worker that has been slow for the longest time.
func (f *Fleet) moveSlowestRun(now time.Duration, w *workerInfo) {
	var (
		worst *run
		id    job.TaskID
	)

	for t, r := range w.runs {
		if !r.leavesFor(now) {
			continue
		}

		if worst == nil || r.slowSince < worst.slowSince || (r.slowSince == worst.slowSince && t.String() < id.String()) {
			worst, id = r, t
		}
	}

	if worst == nil {
		return
	}

	f.moveRun(now, w, id, worst)
}

// leavesFor reports whether a run has been paced down for so long that it is moved if it can be.
func (r *run) leavesFor(now time.Duration) bool {
	return r.slowSince > 0 && now >= r.stopAwaitedUntil && now >= r.slowSince+maxSlowTime &&
		(r.step.Checkpointing || r.progressPercent <= maxLostPercent)
}

// canRunElsewhere reports whether a worker other than here could run a task of a
// step now.
func (f *Fleet) canRunElsewhere(now time.Duration, j *jobInfo, s *stepInfo, here *workerInfo) bool {
	for _, w := range f.sortedWorkers {
		if w == here || w.speed.avoided || !f.feasible(now, j, s, w) || !f.couldUse(now, j, s, w) {
			continue
		}

		if _, ok := f.score(s.spec, w, false); ok {
			return true
		}
	}

	return false
}
