package fleet

import (
	"slices"
	"time"

	"trefoildeck/core/backlog"
	"trefoildeck/core/gate"
	"trefoildeck/core/job"
)

// phase is the phase of a task, as far as the leader knows.
type phase uint8

const (
	waiting phase = iota
	active
	done
)

// taskInfo is the state of one task.
type taskInfo struct {
	phase phase
	// attempt is the attempt under way, or the last one that ended after it may have run.
	attempt int
	// ended is the last attempt that ended after it may have run. highest is the highest one
	// that was ordered.
	ended, highest int
	// failures has the failed attempts, which workers may report in any order.
	failures []int
	// worker is the worker that runs the attempt while the task is active.
	worker     *workerInfo
	checkpoint string
	// avoidNode is the node that the task last failed on, was not started on or was
	// moved away from.
	avoidNode string
	// notBefore is the earliest time of the next start. It is set when an order had
	// no effect.
	notBefore time.Duration
	// noteRow means that the note of the task has a row of its own.
	noteRow bool
	// stalls is the number of runs of the task that stalled in this term.
	stalls int
	// preempted is set only for tasks that were preempted, or for which room was made.
	preempted preempted
}

// stepInfo is the state of one occurrence of a step.
type stepInfo struct {
	spec  *job.Step
	tasks []taskInfo
	// first is the number of the first task among all tasks of the job.
	first int
	done  int
	// waiting is the number of tasks in the phase waiting.
	waiting int
	// lastStarted is when a task of the step was last placed.
	lastStarted time.Duration
	// perWorker counts the active tasks of the step by worker, for anti-affinity.
	perWorker map[*workerInfo]int
	// searchAt is the earliest time of the next search for a reservation. reserved means that there
	// is one, and reservedLate that one was late since the last start of a task of the step.
	searchAt               time.Duration
	reserved, reservedLate bool
	// rackSince is when the first task began to wait for the rack of its data, or 0.
	rackSince time.Duration
	// held is the number of tasks for which room is held on a worker.
	held int
}

func (s *stepInfo) complete() bool { return s.done == len(s.tasks) }

// jobInfo is the state of one job.
type jobInfo struct {
	record job.Record
	// steps has the steps of all occurrences, in the order of the occurrences.
	steps []stepInfo
	state job.State
	// durableState is the stored state, which callers may see.
	durableState job.State
	started      bool
	// loaded means that the job was accepted before this term began, so that a
	// previous leader may have started its tasks.
	loaded bool
	// active is the number of tasks in the phase active: they run or may run.
	active             int
	accepted, deadline time.Duration
	accountInfo
	// paths has the estimated time from the start of each step of an occurrence to its end.
	paths []time.Duration
	// usefulUntil is when callers no longer have a use for the result, if expires is set. A job
	// that has not started by startBy isn't finished by then.
	expires              bool
	usefulUntil, startBy time.Duration
	// lateness is 1 if the job can't be finished by usefulUntil, as of the current pass.
	lateness int
	// retryTimes has the times when tasks that were delayed by notBefore may start.
	retryTimes []time.Duration
	// dirty has the rows of the job's progress that are to be written or removed, and stored
	// those that are, or may be, in the store.
	dirty, stored map[rowName]bool
	// unsaved has the rows that lack a checkpoint of a running task, and since when. unsavedRows has
	// them in the order of these times.
	unsaved     map[rowName]time.Duration
	unsavedRows []unsavedRow
}

func newJob(r job.Record, deadline time.Duration) *jobInfo {
	j := &jobInfo{
		record:       r,
		state:        job.Queued,
		durableState: job.Queued,
		deadline:     deadline,
		paths:        r.Spec.PathsFrom(),
		steps:        make([]stepInfo, len(r.Spec.Steps)*max(1, r.Spec.Repeat)),
		dirty:        map[rowName]bool{},
		unsaved:      map[rowName]time.Duration{},
		stored:       map[rowName]bool{},
	}

	first := 0

	for i := range j.steps {
		s := &j.steps[i]
		s.spec = &j.record.Spec.Steps[i%len(r.Spec.Steps)]
		s.first = first
		first += s.spec.Count
		s.tasks = make([]taskInfo, s.spec.Count)
		s.waiting = s.spec.Count
		s.perWorker = map[*workerInfo]int{}
	}

	return j
}

// tooLate reports whether a job can't be finished while its result is useful. A job that has
// started may have little left to do.
func (j *jobInfo) tooLate(now time.Duration) bool {
	limit := j.startBy
	if j.started {
		limit = j.usefulUntil
	}

	return j.expires && now > limit
}

// Add adds a job. Its age is the time since it was accepted. Add returns false if
// the job is known.
func (f *Fleet) Add(now, age time.Duration, r job.Record) bool {
	if _, known := f.State(r.ID); known {
		return false
	}

	objective := r.Objective()
	j := newJob(r, now-age+objective)

	j.accepted = now - age
	j.expires = !r.Lasting()
	j.usefulUntil = now - age + backlog.UsefulObjectives*objective
	j.startBy = j.usefulUntil - r.Spec.CriticalPath()

	f.jobs[r.ID] = j
	f.open = append(f.open, j)

	return true
}

// Cancel cancels a job whose cancellation is stored. It returns false if the job
// is unknown or over.
func (f *Fleet) Cancel(id string) bool {
	j := f.jobs[id]
	if j == nil || j.state.Final() {
		return false
	}

	j.durableState = job.Cancelled
	f.finishJob(j, job.Cancelled)

	return true
}

// finishJob ends a job in a final state and stops its active tasks.
func (f *Fleet) finishJob(j *jobInfo, s job.State) {
	j.state = s
	f.markFinished(j)

	for i := range j.steps {
		for k := range j.steps[i].tasks {
			t := &j.steps[i].tasks[k]
			if t.phase == active && t.worker != nil {
				f.orderStop(t.worker, j.taskID(i, k), t.attempt)
			}
		}
	}
}

func (f *Fleet) orderStop(w *workerInfo, t job.TaskID, attempt int) {
	if !w.connected {
		// The task is stopped when the worker reports it.
		return
	}

	o := f.ordersFor(w)
	o.Stops = append(o.Stops, Stop{
		Task:    t,
		Attempt: attempt,
	})
}

func (j *jobInfo) taskID(step, index int) job.TaskID {
	perOccurrence := len(j.record.Spec.Steps)

	return job.TaskID{
		Job:        j.record.ID,
		Occurrence: step / perOccurrence,
		Step:       step % perOccurrence,
		Index:      index,
	}
}

// startAt returns the wall-clock time at which a step may start. The zero time
// means at once.
func (j *jobInfo) startAt(step int) time.Time {
	if j.record.Spec.Repeat == 0 {
		return time.Time{}
	}

	occurrence := step / len(j.record.Spec.Steps)

	return j.record.Spec.StartAt.Add(time.Duration(occurrence) * j.record.Spec.Interval)
}

// findTask returns a task with its job and step, or nil if the ID is unknown.
func (f *Fleet) findTask(id job.TaskID) (*jobInfo, *stepInfo, *taskInfo) {
	j := f.jobs[id.Job]
	if j == nil || id.Step >= len(j.record.Spec.Steps) || id.Occurrence >= max(1, j.record.Spec.Repeat) {
		return nil, nil, nil
	}

	s := &j.steps[id.Occurrence*len(j.record.Spec.Steps)+id.Step]
	if id.Index >= len(s.tasks) {
		return nil, nil, nil
	}

	return j, s, &s.tasks[id.Index]
}

// release takes an active task off its worker, so that it waits again.
func (f *Fleet) release(j *jobInfo, s *stepInfo, t *taskInfo, id job.TaskID) {
	if t.phase != active {
		return
	}

	w := t.worker
	w.removeRun(id, s.spec)

	if s.perWorker[w]--; s.perWorker[w] <= 0 {
		delete(s.perWorker, w)
	}

	t.worker = nil
	t.phase = waiting
	s.waiting++
	j.active--
}

// lastAttempt returns the highest attempt number of the task that is known.
func (t *taskInfo) lastAttempt() int { return max(t.attempt, t.highest) }

// setEnded records that an attempt has ended. One that did not run leaves the task as it was: an
// earlier one may still turn out to have run.
func (t *taskInfo) setEnded(e gate.End) {
	t.highest = max(t.lastAttempt(), e.Attempt)

	if e.Reason != gate.NotRun {
		t.ended = e.Attempt
	}

	t.attempt = t.ended
}

// concernsOther reports whether an end on a node is that of another attempt than the one
// under way. An attempt that this leader doesn't know may have the higher number.
func (t *taskInfo) concernsOther(node string, e gate.End) bool {
	return e.Attempt < t.attempt || (t.phase == active && t.worker.node != node && e.Reason != gate.Done)
}

// RecordEnd records the end of a run on a node.
func (f *Fleet) RecordEnd(now time.Duration, node string, e gate.End) {
	j, s, t := f.findTask(e.Task)
	if j == nil || t.phase == done {
		return
	}

	if t.concernsOther(node, e) {
		// Another attempt is under way, so only a failure has to be counted.
		if e.Reason == gate.Failed && !j.state.Final() {
			f.taskFailed(j, s, t, node, e.Attempt)
			f.markChanged(j, s, e.Task.Index)
		}

		return
	}

	f.updateRefusals(now, node, e)
	f.watchEnd(now, e)

	if t.phase == active {
		f.release(j, s, t, e.Task)
	}

	t.setEnded(e)

	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}

	// An end without a number was not listed by the worker: the start may have been in
	// flight or in doubt.
	if e.Number > 0 {
		j.started = true
	}

	f.updateHealth(now, node, e)

	if j.state.Final() {
		return
	}

	switch e.Reason {
	case gate.Done:
		f.taskDone(j, s, t)
		f.gangDone(j, s, e)
	case gate.Failed:
		f.taskFailed(j, s, t, node, e.Attempt)
	case gate.NotRun:
		t.notBefore = now + notRunDelay
		t.avoidNode = node
		j.retryTimes = append(slices.DeleteFunc(j.retryTimes, func(r time.Duration) bool { return r <= now }), t.notBefore)

		if e.Refusal != gate.TaskPresent {
			return
		}
		// The next leader must not take the end of the run that is present for that of an
		// attempt before this one.
	default:
	}

	f.markChanged(j, s, e.Task.Index)
}

// notRunDelay is the delay before a task is ordered again after an order had no
// effect. Within it, the worker's new state reaches the leader.
const notRunDelay = 50 * time.Millisecond

func (f *Fleet) taskDone(j *jobInfo, s *stepInfo, t *taskInfo) {
	if s.spec.LongRunning {
		// A long-running task that ends is started again.
		return
	}

	s.markDone(t)
	f.recordDone(j, s)

	f.finishIfComplete(j)
}

func (f *Fleet) finishIfComplete(j *jobInfo) {
	for i := range j.steps {
		if !j.steps[i].complete() {
			return
		}
	}

	f.finishJob(j, job.Succeeded)
}

// markDone moves a waiting task to the phase done.
func (s *stepInfo) markDone(t *taskInfo) {
	t.phase = done
	t.checkpoint = ""
	s.waiting--
	s.done++
}

func (f *Fleet) taskFailed(j *jobInfo, s *stepInfo, t *taskInfo, node string, attempt int) {
	t.avoidNode = node

	if s.spec.LongRunning || slices.Contains(t.failures, attempt) {
		return
	}

	t.failures = append(t.failures, attempt)

	if s.spec.Gang {
		// Failures of several members in the same attempt count once.
		t = s.recordGangFailure(attempt)
	}

	if len(t.failures) < j.record.MaxAttempts {
		return
	}

	f.finishJob(j, job.Failed)
}

// State returns the state of a job that callers may see: an end only once it is
// stored. It returns false if the job is unknown.
func (f *Fleet) State(id string) (job.State, bool) {
	if s, ok := f.over.states[id]; ok {
		return s, true
	}

	j := f.jobs[id]
	if j == nil {
		return "", false
	}

	if j.durableState.Final() {
		return j.durableState, true
	}

	if j.started {
		return job.Running, true
	}

	return job.Queued, true
}

// Pending counts the jobs of a queue of which no task has started. Jobs that
// start at set times don't count.
func (f *Fleet) Pending(queue string) int {
	n := 0

	for _, j := range f.open {
		if j.record.Queue == queue && j.record.Spec.Repeat == 0 && !j.started && !j.state.Final() {
			n++
		}
	}

	return n
}
