package emulator

import (
	"fmt"
	"sync"

	"trefoildeck/core/job"
)

// Checker records the history of a deployment, as its workers and clients see it,
// and collects violations of the scheduler's guarantees: a task runs on one worker
// at a time, after the steps that it depends on, within the capacity of its worker,
// and doesn't start after its success was acknowledged or its job cancelled. It is
// safe for concurrent use.
type Checker struct {
	mu         sync.Mutex
	jobs       map[string]*jobHistory
	violations []string
	// starts counts the starts on each worker.
	starts map[string]int
}

// jobHistory is the recorded history of a job.
type jobHistory struct {
	spec      job.Spec
	cancelled bool
	// refused is set from the refusal of the job until it is submitted again.
	refused bool
	// running has the workers that run each task.
	running map[job.TaskID]map[string]bool
	// done has the attempts of each task that succeeded.
	done map[job.TaskID][]int
	// restarted has the attempts that succeeded and after which the task was
	// started again.
	restarted map[attemptID]bool
	// acknowledged has the tasks with a successful attempt whose end was
	// acknowledged to its worker.
	acknowledged map[job.TaskID]bool
	starts       int
}

type attemptID struct {
	task    job.TaskID
	attempt int
}

// NewChecker returns a checker with an empty history.
func NewChecker() *Checker {
	return &Checker{
		jobs:   map[string]*jobHistory{},
		starts: map[string]int{},
	}
}

// RecordSubmission records that a client submits a job. It is called before the
// first request.
func (c *Checker) RecordSubmission(id string, s job.Spec) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.jobs[id] = &jobHistory{
		spec:         s,
		running:      map[job.TaskID]map[string]bool{},
		done:         map[job.TaskID][]int{},
		restarted:    map[attemptID]bool{},
		acknowledged: map[job.TaskID]bool{},
	}
}

// RecordCancellation records that the cancellation of a job was acknowledged so
// long ago that no task of it may start from now on.
func (c *Checker) RecordCancellation(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.jobs[id].cancelled = true
}

// RecordRefusal records that a client was told that a job is refused and that no request for it
// is under way, so that no task of it may start until it is submitted again.
func (c *Checker) RecordRefusal(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.jobs[id].starts > 0 {
		c.addViolation("%s: refused after a start", id)
	}

	c.jobs[id].refused = true
}

func (c *Checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// RecordStart records that a worker starts an attempt of a task with a spec's text,
// and returns the step of the task, or the zero step if there is none.
func (c *Checker) RecordStart(worker string, t job.TaskID, attempt int, text string) job.Step {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.starts[worker]++

	h := c.jobs[t.Job]
	if h == nil || t.Step >= len(h.spec.Steps) || text != h.spec.Text {
		c.addViolation("%s attempt %d on %s: no such task was submitted", t, attempt, worker)

		return job.Step{}
	}

	s := h.spec.Steps[t.Step]
	h.starts++

	switch {
	case h.refused:
		c.addViolation("%s attempt %d on %s: started after its job was refused", t, attempt, worker)
	case h.cancelled:
		c.addViolation("%s attempt %d on %s: started after its job was cancelled", t, attempt, worker)
	case len(h.running[t]) > 0:
		c.addViolation("%s attempt %d on %s: started while it runs on %v", t, attempt, worker, h.running[t])
	case h.acknowledged[t]:
		c.addViolation("%s attempt %d on %s: started after its success was acknowledged", t, attempt, worker)
	}

	for _, a := range h.done[t] {
		h.restarted[attemptID{t, a}] = true
	}

	for _, a := range s.After {
		for i := range h.spec.Steps[a].Count {
			before := job.TaskID{
				Job:   t.Job,
				Step:  a,
				Index: i,
			}
			if len(h.done[before]) == 0 {
				c.addViolation("%s attempt %d on %s: started before %s, which it depends on, succeeded", t, attempt, worker, before)
			}
		}
	}

	if h.running[t] == nil {
		h.running[t] = map[string]bool{}
	}

	h.running[t][worker] = true

	return s
}

// RecordEnd records that an attempt ended, and whether it succeeded.
func (c *Checker) RecordEnd(worker string, t job.TaskID, attempt int, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	h := c.jobs[t.Job]
	if h == nil {
		return
	}

	delete(h.running[t], worker)

	if done {
		h.done[t] = append(h.done[t], attempt)
	}
}

// RecordAcknowledgement records that the end of a successful attempt was
// acknowledged to its worker.
func (c *Checker) RecordAcknowledgement(worker string, t job.TaskID, attempt int) {
	c.mu.Lock()
	defer c.mu.Unlock()

	h := c.jobs[t.Job]
	if h == nil {
		return
	}

	if h.restarted[attemptID{t, attempt}] {
		c.addViolation("%s attempt %d on %s: its success was acknowledged after the task had started again", t, attempt, worker)
	}

	h.acknowledged[t] = true
}

// RecordOvercommitment records that the tasks on a worker need more than its
// capacity.
func (c *Checker) RecordOvercommitment(worker string, used, capacity job.Size) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.addViolation("%s: tasks need %+v, its capacity is %+v", worker, used, capacity)
}

// RecordSuccess records that a client was told that a job succeeded.
func (c *Checker) RecordSuccess(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	h := c.jobs[id]
	if h == nil {
		c.addViolation("%s reported as succeeded, but it was never submitted", id)

		return
	}

	for i, s := range h.spec.Steps {
		for k := range s.Count {
			t := job.TaskID{
				Job:   id,
				Step:  i,
				Index: k,
			}
			if len(h.done[t]) == 0 {
				c.addViolation("%s reported as succeeded, but %s has not succeeded", id, t)
			}
		}
	}
}

// StartCount returns the number of starts of a job's tasks, repeats included.
func (c *Checker) StartCount(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.jobs[id].starts
}

// StartsOn returns the number of starts on a worker.
func (c *Checker) StartsOn(worker string) int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.starts[worker]
}

// Violations returns a line for each violation, in the order of their detection.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.violations
}
