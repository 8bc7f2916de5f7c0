package fleet

import (
	"cmp"
	"slices"
	"time"

	"trefoildeck/core/backlog"
	"trefoildeck/core/job"
)

const (
	// preemptionInterval is the minimum time between two preemptions of a task.
	preemptionInterval = 10 * time.Second
	// maxRoomSearches is the largest number of tasks that room is sought for in one pass. Each
	// search goes through all workers and their runs.
	maxRoomSearches = 8
	// roomSearchDelay is the time after which room is sought again for tasks for which there was
	// none to be made. A pass may follow each 5 ms.
	roomSearchDelay = 250 * time.Millisecond
)

// preemption is the state of preemption, which makes room for tasks of priority 0.
type preemption struct {
	// pass is the time of the pass in which searches searches were made.
	pass     time.Duration
	searches int
	// unsatisfied has the sizes for which no room could be made, and unsatisfiedSteps the steps with an
	// anti-affinity, of which that says nothing about others, until searchAgain.
	unsatisfied      rejectedSizes
	unsatisfiedSteps map[*stepInfo]bool
	searchAgain      time.Duration
	// lapses has the times at which workers are no longer cleared, in ascending order.
	lapses []time.Duration
	log    []Preemption
}

// preempted is the state of a task with regard to preemption.
type preempted struct {
	// roomUntil is how long the room that was made for the task on the worker roomOn is awaited.
	roomUntil time.Duration
	roomOn    *workerInfo
	// attempt is the last attempt that was stopped to make room for another task, and at the time
	// of the first order; 0 if there was none.
	attempt int
	at      time.Duration
}

// clearing is the state of a worker on which room is made for a task.
type clearing struct {
	job   *jobInfo
	task  *taskInfo
	until time.Duration
}

// Preemption is the decision to stop a run so that a more urgent task finds room.
type Preemption struct {
	Node    string
	Task    job.TaskID
	Attempt int
	// For is the job of the more urgent task.
	For string
	// LostWork is the work of a run without checkpoints, in millicore-milliseconds.
	LostWork int64
}

// Preemptions returns the preemptions since the last call.
func (f *Fleet) Preemptions() []Preemption {
	list := f.preemption.log
	f.preemption.log = nil

	return list
}

// active reports whether the room is still awaited.
func (c *clearing) active(now time.Duration) bool {
	return c.task != nil && now < c.until && c.task.phase == waiting && !c.job.state.Final()
}

// keepsOut reports whether the room on a worker is made for tasks that are more urgent than a job.
func (c *clearing) keepsOut(now time.Duration, j *jobInfo) bool {
	return j.record.Priority > 0 && c.active(now)
}

// makeRoom stops less urgent runs for the waiting tasks of a step, from an index on, for which no
// worker has room.
func (f *Fleet) makeRoom(now time.Duration, j *jobInfo, s *stepInfo, index int) {
	if !f.Preemption || j.record.Priority != 0 || s.spec.Fills {
		return
	}

	for ; index < len(s.tasks); index++ {
		t := &s.tasks[index]
		if t.phase != waiting || now < t.notBefore || now < t.preempted.roomUntil {
			continue
		}

		if !f.makeRoomFor(now, j, s, t) {
			return
		}
	}
}

// makeRoomFor stops the runs of the worker on which this costs least. It returns false if there is
// none.
func (f *Fleet) makeRoomFor(now time.Duration, j *jobInfo, s *stepInfo, t *taskInfo) bool {
	p := &f.preemption
	if !p.maySearch(now, constraintsOf(j, s.spec), s) {
		return false
	}

	best := f.cheapestRoom(now, j, s, t.preempted.roomOn)
	if best == nil {
		if s.spec.AntiAffinity > 0 {
			p.unsatisfiedSteps[s] = true
		} else {
			p.unsatisfied.add(constraintsOf(j, s.spec), s.spec.Size)
		}

		return false
	}

	t.preempted.roomUntil, t.preempted.roomOn = now+stopRepeatDelay, best.worker
	best.worker.clearing = clearing{
		job:   j,
		task:  t,
		until: t.preempted.roomUntil,
	}
	p.lapses = append(p.lapses, t.preempted.roomUntil)

	for _, v := range best.victims {
		f.preemptRun(now, best.worker, v, j.record.ID)
	}

	return true
}

// cheapestRoom returns the way to make room for a task that costs least, or nil if there is none. A
// worker that didn't make room before is chosen only if there is no other.
func (f *Fleet) cheapestRoom(now time.Duration, j *jobInfo, s *stepInfo, before *workerInfo) *room {
	var best *room

	for _, w := range f.sortedWorkers {
		if w == before {
			continue
		}

		r := f.roomOn(now, j, s, w)
		if r != nil && (best == nil || r.cheaper(best)) {
			best = r
		}

		if best != nil && best.lost == 0 && len(best.victims) <= 1 {
			// Hardly anything is cheaper.
			break
		}
	}

	if best == nil && before != nil {
		return f.roomOn(now, j, s, before)
	}

	return best
}

// maySearch reports whether room may be sought for a task of a step now, and counts the search.
func (p *preemption) maySearch(now time.Duration, c constraints, s *stepInfo) bool {
	if now >= p.searchAgain {
		p.unsatisfied, p.unsatisfiedSteps = rejectedSizes{}, map[*stepInfo]bool{}
		p.searchAgain = now + roomSearchDelay
	}

	if now != p.pass {
		p.pass, p.searches = now, 0
	}

	if p.searches >= maxRoomSearches || p.unsatisfiedSteps[s] || p.unsatisfied.covers(c, s.spec.Size) {
		return false
	}

	p.searches++

	return true
}

// preemptRun orders a run to be stopped. The order is repeated, by another search, if the run has
// not ended after stopRepeatDelay.
func (f *Fleet) preemptRun(now time.Duration, w *workerInfo, v victim, urgent string) {
	v.run.stopAwaitedUntil = now + stopRepeatDelay
	f.orderStop(w, v.id, v.run.attempt)

	if v.task.preempted.attempt == v.run.attempt {
		return
	}

	v.task.preempted.attempt, v.task.preempted.at = v.run.attempt, now
	f.preemption.log = append(f.preemption.log, Preemption{
		Node:     w.node,
		Task:     v.id,
		Attempt:  v.run.attempt,
		For:      urgent,
		LostWork: v.lost,
	})
}

// room is the way to make room on a worker.
type room struct {
	worker  *workerInfo
	victims []victim
	// lost is the work that is lost, in millicore-milliseconds.
	lost int64
}

// victim is a run that may be stopped.
type victim struct {
	id   job.TaskID
	run  *run
	task *taskInfo
	lost int64
}

func (r *room) cheaper(o *room) bool {
	return cmp.Or(cmp.Compare(r.lost, o.lost), cmp.Compare(len(r.victims), len(o.victims))) < 0
}

// roomOn returns how to make room for a task on a worker, or nil if that is not possible. Runs that
// are being stopped make room by themselves.
func (f *Fleet) roomOn(now time.Duration, j *jobInfo, s *stepInfo, w *workerInfo) *room {
	if len(w.runs) == 0 || w.service != j.record.Service || w.clearing.active(now) || !f.couldUse(now, j, s, w) {
		return nil
	}

	victims, free := f.victimsOn(now, j, w)
	used := w.used.Sub(free)

	least := used
	for _, v := range victims {
		least = least.Sub(countedSize(v.run.step))
	}

	if !f.feasibleWith(now, j, s, w, least) {
		return nil
	}

	r := &room{worker: w}

	for _, v := range victims {
		if w.capacity.CanFit(used.Add(countedSize(s.spec))) {
			break
		}

		used = used.Sub(countedSize(v.run.step))
		r.victims = append(r.victims, v)
	}

	r.dropUnneeded(used.Add(countedSize(s.spec)))

	for _, v := range r.victims {
		r.lost += v.lost
	}

	return r
}

// dropUnneeded drops victims, the most costly first, without which there is room too. used is what
// would be in use without all of them.
func (r *room) dropUnneeded(used job.Size) {
	for i := len(r.victims) - 1; i >= 0; i-- {
		if with := used.Add(countedSize(r.victims[i].run.step)); r.worker.capacity.CanFit(with) {
			used = with
			r.victims = slices.Delete(r.victims, i, i+1)
		}
	}
}

// feasibleWith reports whether a worker is feasible for a task if some amount is in use there.
func (f *Fleet) feasibleWith(now time.Duration, j *jobInfo, s *stepInfo, w *workerInfo, used job.Size) bool {
	before := w.used
	w.used = used
	ok := f.feasible(now, j, s, w)
	w.used = before

	return ok
}

// countedSize returns what a task of a step counts against the capacity of its worker.
func countedSize(s *job.Step) job.Size {
	size := s.Size
	if s.Fills {
		size.MilliCores = 0
	}

	return size
}

// victimsOn returns the runs of a worker that may be stopped for a job, those that cost least
// first, and the size of those that are being stopped.
func (f *Fleet) victimsOn(now time.Duration, urgent *jobInfo, w *workerInfo) (victims []victim, free job.Size) {
	for id, r := range w.runs {
		j, s, t := f.findTask(id)

		switch {
		case j == nil:
			continue
		case now < r.stopAwaitedUntil || j.state.Final():
			free = free.Add(countedSize(r.step))
		case j.record.Priority > urgent.record.Priority && s.mayPreempt() && t.mayPreempt(now, r):
			victims = append(victims, victim{
				id:   id,
				run:  r,
				task: t,
				lost: r.lostWork(now),
			})
		}
	}

	slices.SortFunc(victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.lost, b.lost), cmp.Compare(b.run.started, a.run.started), compareTasks(a.id, b.id))
	})

	return victims, free
}

// compareTasks compares tasks by job and number. It is used for each pair of runs that are sorted, and
// formats nothing.
func compareTasks(a, b job.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// mayPreempt reports whether tasks of a step may be stopped to make room: not those that run until
// they are cancelled, and not the members of a gang, which all end with one.
func (s *stepInfo) mayPreempt() bool {
	return !s.spec.LongRunning && s.spec.TargetLatency == 0 && !s.spec.Gang
}

// mayPreempt reports whether the run of a task may be stopped to make room. The order to stop the
// same run may be repeated.
func (t *taskInfo) mayPreempt(now time.Duration, r *run) bool {
	return t.preempted.attempt == 0 || t.preempted.attempt == r.attempt || now >= t.preempted.at+preemptionInterval
}

// lostWork returns the work of a run that is repeated if it is stopped.
func (r *run) lostWork(now time.Duration) int64 {
	if r.step.Checkpointing {
		return 0
	}

	return backlog.Work(r.step, 1, now-r.started)
}

// nextRoomChange returns the next times at which room may be sought again, or a worker is no longer
// cleared, without an event.
func (f *Fleet) nextRoomChange(now time.Duration) []time.Duration {
	p := &f.preemption

	for len(p.lapses) > 0 && p.lapses[0] <= now {
		p.lapses = p.lapses[1:]
	}

	times := p.lapses[:min(1, len(p.lapses))]
	if len(p.unsatisfied)+len(p.unsatisfiedSteps) > 0 {
		times = append(slices.Clone(times), p.searchAgain)
	}

	return times
}
