package emulator

import (
	"fmt"
	"sync"

	"trefoildeck/core/job"
)

// Checker watches what the workers of a deployment see.
type Checker struct {
	mu       sync.Mutex
	jobs     map[string]*judged
	problems []string
}

// judged is what is known of a job.
type judged struct {
	spec      job.Spec
	cancelled bool
	// running has the workers that run each task, done the attempts that ended
	// as done, again those after which the task started again, and noted the
	// tasks of which such an end was taken note of.
	running map[job.TaskID]map[string]bool
	done    map[job.TaskID][]int
	again   map[attemptOf]bool
	noted   map[job.TaskID]bool
	starts  int
}

type attemptOf struct {
	task    job.TaskID
	attempt int
}

// NewChecker returns a judge that has seen nothing.
func NewChecker() *Checker {
	return &Checker{jobs: map[string]*judged{}}
}

// RecordSubmission says that a client hands in a job.
func (j *Checker) RecordSubmission(id string, s job.Spec) {
	j.mu.Lock()
	defer j.mu.Unlock()

	j.jobs[id] = &judged{
		spec:    s,
		running: map[job.TaskID]map[string]bool{},
		done:    map[job.TaskID][]int{},
		again:   map[attemptOf]bool{},
		noted:   map[job.TaskID]bool{},
	}
}

// RecordCancellation says that a job's cancellation was acknowledged some time ago.
func (j *Checker) RecordCancellation(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()

	j.jobs[id].cancelled = true
}

func (j *Checker) blame(format string, args ...any) {
	j.problems = append(j.problems, fmt.Sprintf(format, args...))
}

// RecordStart says that a worker starts a task, and returns what it takes.
func (j *Checker) RecordStart(worker string, t job.TaskID, attempt int, text string) job.Step {
	j.mu.Lock()
	defer j.mu.Unlock()

	d := j.jobs[t.Job]
	if d == nil || t.Step >= len(d.spec.Steps) || text != d.spec.Text {
		j.blame("%s attempt %d on %s: nobody asked for it", t, attempt, worker)

		return job.Step{}
	}

	s := d.spec.Steps[t.Step]
	d.starts++

	switch {
	case d.cancelled:
		j.blame("%s attempt %d on %s: its job was cancelled", t, attempt, worker)
	case len(d.running[t]) > 0:
		j.blame("%s attempt %d on %s: it runs on %v", t, attempt, worker, d.running[t])
	case d.noted[t]:
		j.blame("%s attempt %d on %s: it was done", t, attempt, worker)
	}

	for _, a := range d.done[t] {
		d.again[attemptOf{t, a}] = true
	}

	for _, a := range s.After {
		for i := range d.spec.Steps[a].Count {
			before := job.TaskID{
				Job:   t.Job,
				Step:  a,
				Index: i,
			}
			if len(d.done[before]) == 0 {
				j.blame("%s attempt %d on %s: %s is not done", t, attempt, worker, before)
			}
		}
	}

	if d.running[t] == nil {
		d.running[t] = map[string]bool{}
	}

	d.running[t][worker] = true

	return s
}

// RecordEnd says that a run ended as done or otherwise.
func (j *Checker) RecordEnd(worker string, t job.TaskID, attempt int, done bool) {
	j.mu.Lock()
	defer j.mu.Unlock()

	d := j.jobs[t.Job]
	if d == nil {
		return
	}

	delete(d.running[t], worker)

	if done {
		d.done[t] = append(d.done[t], attempt)
	}
}

// RecordAcknowledgement says that the end of a run that was done was taken note of.
func (j *Checker) RecordAcknowledgement(worker string, t job.TaskID, attempt int) {
	j.mu.Lock()
	defer j.mu.Unlock()

	d := j.jobs[t.Job]
	if d == nil {
		return
	}

	if d.again[attemptOf{t, attempt}] {
		j.blame("%s attempt %d on %s: its end was taken note of, and it had started again", t, attempt, worker)
	}

	d.noted[t] = true
}

// RecordOvercommitment says that a worker runs more than fits.
func (j *Checker) RecordOvercommitment(worker string, used, capacity job.Size) {
	j.mu.Lock()
	defer j.mu.Unlock()

	j.blame("%s runs %+v, it has %+v", worker, used, capacity)
}

// RecordSuccess says that a client was told that a job succeeded.
func (j *Checker) RecordSuccess(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()

	d := j.jobs[id]
	if d == nil {
		j.blame("%s succeeded, and nobody handed it in", id)

		return
	}

	for i, s := range d.spec.Steps {
		for k := range s.Count {
			t := job.TaskID{
				Job:   id,
				Step:  i,
				Index: k,
			}
			if len(d.done[t]) == 0 {
				j.blame("%s succeeded, but %s is not done", id, t)
			}
		}
	}
}

// StartCount is the number of starts of a job's tasks.
func (j *Checker) StartCount(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()

	return j.jobs[id].starts
}

// Violations returns what must not have happened.
func (j *Checker) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()

	return j.problems
}
