package fleet

import (
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"
)

const (
	// failuresToRest is the number of failures in a row, of more than one job,
	// after which a worker gets nothing for a while: a job that can't be done
	// fails everywhere, a bad worker fails all jobs.
	failuresToRest = 3
	// firstRest and longestRest bound the pause, which doubles; one task at a
	// time then probes the worker.
	firstRest   = time.Second
	longestRest = 8 * time.Second
)

// health is what a worker's ends say of it.
type health struct {
	failures int
	job      string
	mixed    bool
	rest     time.Duration
	// probe is the one task that a worker gets after a rest.
	probe   job.TaskID
	probing bool
}

// Quarantine is the decision to give a worker nothing for a while.
type Quarantine struct {
	Node     string
	Failures int
	Duration time.Duration
}

// judge updates a worker's health from an end.
func (f *Fleet) judge(now time.Duration, node string, e gate.End) {
	w := f.workers[node]
	if w == nil {
		return
	}

	h := &w.health

	if h.probing && h.probe == e.Task {
		h.probing = false
	}

	switch e.Reason {
	case gate.Done:
		*h = health{}
		w.restUntil = 0
	case gate.Failed:
		h.failures++
		h.mixed = h.mixed || (h.job != "" && h.job != e.Task.Job)
		h.job = e.Task.Job

		if h.failures >= failuresToRest && h.mixed {
			h.rest = min(max(firstRest, 2*h.rest), longestRest)
			w.restUntil = now + h.rest
			f.rests = append(f.rests, Quarantine{
				Node:     node,
				Failures: h.failures,
				Duration: h.rest,
			})
		}
	default:
	}
}

// Quarantines returns the workers that were sent to rest since the last call.
func (f *Fleet) Quarantines() []Quarantine {
	rests := f.rests
	f.rests = nil

	return rests
}

// resting reports whether a worker gets no task of a step: it rests, or its
// probe has not ended. Only tasks that end can be a probe.
func (w *workerRow) resting(now time.Duration, s *job.Step) bool {
	if w.health.rest == 0 {
		return false
	}

	return now < w.restUntil || w.health.probing || s.LongRunning
}

// probed notes that a task is the probe of a worker that rested.
func (w *workerRow) probed(id job.TaskID) {
	if w.health.rest > 0 && !w.health.probing {
		w.health.probing = true
		w.health.probe = id
	}
}
