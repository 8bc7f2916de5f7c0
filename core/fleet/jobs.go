package fleet

import (
	"slices"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"
)

// phase is what is known of a task.
type phase uint8

const (
	waiting phase = iota
	active
	done
)

// taskRow is a row of the tasks' table.
type taskRow struct {
	phase   phase
	attempt int
	// failures has the attempts that failed: workers may report them in any order.
	failures []int
	// worker runs the attempt, while active.
	worker     *workerRow
	checkpoint string
	// avoid is the node on which the task failed last.
	avoid string
	// notBefore delays a start after an order without effect.
	notBefore time.Duration
}

type stepRow struct {
	spec  *job.Step
	tasks []taskRow
	done  int
	// waiting is the number of tasks in that phase.
	waiting int
	// on counts the tasks of the step by worker, for anti-affinity.
	on map[*workerRow]int
}

func (s *stepRow) complete() bool { return s.done == len(s.tasks) }

// jobRow is a row of the jobs' table.
type jobRow struct {
	record job.Record
	// steps has the steps of all occurrences, one occurrence after the other.
	steps []stepRow
	state job.State
	// shown is the state that is durable.
	shown   job.State
	started bool
	// loaded jobs were accepted before this leader took office.
	loaded bool
	// active is the number of tasks that run or may run.
	active int
	due    time.Duration
	// retries has the times at which delayed tasks may start.
	retries []time.Duration
}

func newJob(r job.Record, due time.Duration) *jobRow {
	j := &jobRow{
		record: r,
		state:  job.Queued,
		shown:  job.Queued,
		due:    due,
		steps:  make([]stepRow, len(r.Spec.Steps)*max(1, r.Spec.Repeat)),
	}

	for i := range j.steps {
		s := &j.steps[i]
		s.spec = &j.record.Spec.Steps[i%len(r.Spec.Steps)]
		s.tasks = make([]taskRow, s.spec.Count)
		s.waiting = s.spec.Count
		s.on = map[*workerRow]int{}
	}

	return j
}

// Add takes in an accepted job whose acceptance is some time ago.
func (f *Fleet) Add(now, age time.Duration, r job.Record) bool {
	if f.jobs[r.ID] != nil {
		return false
	}

	due := now - age + time.Duration(float64(r.Spec.CriticalPath())*r.Stretch) + r.TargetLatency
	j := newJob(r, due)
	f.jobs[r.ID] = j
	f.open = append(f.open, j)

	return true
}

// Cancel takes in a durable cancellation.
func (f *Fleet) Cancel(id string) bool {
	j := f.jobs[id]
	if j == nil || j.state.Final() {
		return false
	}

	j.shown = job.Cancelled
	f.finish(j, job.Cancelled)

	return true
}

// finish ends a job and stops what it runs.
func (f *Fleet) finish(j *jobRow, s job.State) {
	j.state = s
	f.changed[j.record.ID] = j

	for i := range j.steps {
		for k := range j.steps[i].tasks {
			t := &j.steps[i].tasks[k]
			if t.phase == active && t.worker != nil {
				f.stop(t.worker, j.taskID(i, k), t.attempt)
			}
		}
	}
}

func (f *Fleet) stop(w *workerRow, t job.TaskID, attempt int) {
	if !w.connected {
		// It is stopped when the worker reports it.
		return
	}

	o := f.ordersFor(w)
	o.Stops = append(o.Stops, Stop{
		Task:    t,
		Attempt: attempt,
	})
}

func (j *jobRow) taskID(row, index int) job.TaskID {
	each := len(j.record.Spec.Steps)

	return job.TaskID{
		Job:        j.record.ID,
		Occurrence: row / each,
		Step:       row % each,
		Index:      index,
	}
}

// startAt is when an occurrence of a step may start by the time of day; zero is
// at once.
func (j *jobRow) startAt(row int) time.Time {
	if j.record.Spec.Repeat == 0 {
		return time.Time{}
	}

	occurrence := row / len(j.record.Spec.Steps)

	return j.record.Spec.StartAt.Add(time.Duration(occurrence) * j.record.Spec.Interval)
}

// task returns the row of a task, or nil.
func (f *Fleet) task(id job.TaskID) (*jobRow, *stepRow, *taskRow) {
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

// release takes a task from its worker.
func (f *Fleet) release(j *jobRow, s *stepRow, t *taskRow, id job.TaskID) {
	if t.phase != active {
		return
	}

	w := t.worker
	w.remove(id, s.spec)

	if s.on[w]--; s.on[w] <= 0 {
		delete(s.on, w)
	}

	t.worker = nil
	t.phase = waiting
	s.waiting++
	j.active--
}

// RecordEnd takes in the end of a run on a node.
func (f *Fleet) RecordEnd(now time.Duration, node string, e gate.End) {
	j, s, t := f.task(e.Task)
	if j == nil || t.phase == done {
		return
	}

	if e.Attempt < t.attempt {
		// A later attempt is under way; only the count of failures matters.
		if e.Reason == gate.Failed && !j.state.Final() {
			f.taskFailed(j, s, t, node, e.Attempt)
			f.changed[j.record.ID] = j
		}

		return
	}

	if t.phase == active {
		f.release(j, s, t, e.Task)
	}

	t.attempt = e.Attempt

	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}

	if e.Reason != gate.NotRun {
		j.started = true
	}

	if j.state.Final() {
		return
	}

	f.judge(now, node, e)

	switch e.Reason {
	case gate.Done:
		f.taskDone(j, s, t)
		f.gangDone(j, s, e)
	case gate.Failed:
		f.taskFailed(j, s, t, node, e.Attempt)
	case gate.NotRun:
		t.notBefore = now + notRunDelay
		t.avoid = node
		j.retries = append(slices.DeleteFunc(j.retries, func(r time.Duration) bool { return r <= now }), t.notBefore)

		return
	default:
	}

	f.changed[j.record.ID] = j
}

// notRunDelay is kept before a task is ordered again after an order had no
// effect: the time in which a worker's state reaches the leader.
const notRunDelay = 50 * time.Millisecond

func (f *Fleet) taskDone(j *jobRow, s *stepRow, t *taskRow) {
	if s.spec.LongRunning {
		// It has to run again.
		return
	}

	s.finish(t)

	f.finishIfComplete(j)
}

func (f *Fleet) finishIfComplete(j *jobRow) {
	for i := range j.steps {
		if !j.steps[i].complete() {
			return
		}
	}

	f.finish(j, job.Succeeded)
}

// finish marks a waiting task as done.
func (s *stepRow) finish(t *taskRow) {
	t.phase = done
	t.checkpoint = ""
	s.waiting--
	s.done++
}

func (f *Fleet) taskFailed(j *jobRow, s *stepRow, t *taskRow, node string, attempt int) {
	t.avoid = node

	if s.spec.LongRunning || slices.Contains(t.failures, attempt) {
		return
	}

	t.failures = append(t.failures, attempt)

	if s.spec.Gang {
		// Members that fail in the same run count once.
		t = s.firstFailed(attempt)
	}

	if len(t.failures) < j.record.MaxAttempts {
		return
	}

	f.finish(j, job.Failed)
}

// State is what callers may be told of a job.
func (f *Fleet) State(id string) (job.State, bool) {
	j := f.jobs[id]
	if j == nil {
		return "", false
	}

	if j.shown.Final() {
		return j.shown, true
	}

	if j.started {
		return job.Running, true
	}

	return job.Queued, true
}

// Pending counts a queue's jobs without times of which no task has started.
func (f *Fleet) Pending(queue string) int {
	n := 0

	for _, j := range f.open {
		if j.record.Queue == queue && j.record.Spec.Repeat == 0 && !j.started && !j.state.Final() {
			n++
		}
	}

	return n
}
