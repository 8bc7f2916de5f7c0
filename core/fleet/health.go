package fleet

import (
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"
)

const (
	// quarantineThreshold is the number of consecutive failures after which a worker
	// is quarantined. They must be of more than one job: a faulty job fails on all
	// workers, a faulty worker fails all jobs.
	quarantineThreshold = 3
	// minQuarantine and maxQuarantine bound the quarantine, which doubles each
	// time. After it, the worker gets one task at a time as a probe.
	minQuarantine = time.Second
	maxQuarantine = 8 * time.Second
	// provenAfter is the time at work after which a run counts as a success of its worker, which
	// a long one has no other way to show.
	provenAfter = 3 * time.Second
	// lastingProbeDelay is how long after a quarantine only tasks that end may probe a worker. A
	// worker that still fails all that it starts takes a long-running task down.
	lastingProbeDelay = 2 * time.Second
)

// health is the state of a worker's health, as judged by the ends of its tasks.
type health struct {
	failures      int
	lastFailedJob string
	lastFailedAt  time.Duration
	severalJobs   bool
	quarantine    time.Duration
	// probe is the task that last probed the worker after a quarantine.
	probe job.TaskID
}

// Quarantine is the decision to start no tasks on a worker for some time.
type Quarantine struct {
	Node     string
	Failures int
	Duration time.Duration
}

// updateHealth updates a worker's health with the end of a task.
func (f *Fleet) updateHealth(now time.Duration, node string, e gate.End) {
	w := f.workers[node]
	if w == nil {
		return
	}

	h := &w.health

	switch e.Reason {
	case gate.Done:
		*h = health{}
		w.quarantinedUntil = 0
	case gate.Failed:
		if w.proven(now, h.lastFailedAt) {
			h.failures, h.lastFailedJob, h.severalJobs = 0, "", false
		}

		h.lastFailedAt = now
		h.failures++
		h.severalJobs = h.severalJobs || (h.lastFailedJob != "" && h.lastFailedJob != e.Task.Job)
		h.lastFailedJob = e.Task.Job

		if h.failures >= quarantineThreshold && h.severalJobs {
			h.quarantine = min(max(minQuarantine, 2*h.quarantine), maxQuarantine)
			w.quarantinedUntil = now + h.quarantine
			f.quarantines = append(f.quarantines, Quarantine{
				Node:     node,
				Failures: h.failures,
				Duration: h.quarantine,
			})
		}
	default:
	}
}

// Quarantines returns the quarantines that were imposed since the last call.
func (f *Fleet) Quarantines() []Quarantine {
	quarantines := f.quarantines
	f.quarantines = nil

	return quarantines
}

// quarantined reports whether a worker may get no task of a step, since it is in
// quarantine or its probe has not ended.
func (w *workerInfo) quarantined(now time.Duration, s *job.Step) bool {
	if w.health.quarantine == 0 {
		return false
	}

	until := w.quarantinedUntil
	if s.LongRunning {
		until += lastingProbeDelay
	}

	return now < until || w.probing()
}

// proven reports whether a run that was ordered after a time has been at work for provenAfter, so
// that the worker doesn't fail all that it starts.
func (w *workerInfo) proven(now, after time.Duration) bool {
	for _, r := range w.runs {
		if r.started > after && r.atWork(now) {
			return true
		}
	}

	return false
}

func (r *run) atWork(now time.Duration) bool {
	return r.confirmed && !r.stalled && now >= r.started+provenAfter
}

// judgeProbes ends the quarantines of workers whose probe has been at work for long enough.
func (f *Fleet) judgeProbes(now time.Duration) {
	for _, w := range f.sortedWorkers {
		if w.health.quarantine > 0 && w.probing() && w.runs[w.health.probe].atWork(now) {
			w.health = health{}
			w.quarantinedUntil = 0
		}
	}
}

// nextHealthChange returns the times at which the worker may get other tasks without an event.
func (w *workerInfo) nextHealthChange() []time.Duration {
	if w.health.quarantine == 0 {
		return nil
	}

	times := []time.Duration{w.quarantinedUntil, w.quarantinedUntil + lastingProbeDelay}
	if w.probing() {
		times = append(times, w.runs[w.health.probe].started+provenAfter)
	}

	return times
}

// probing reports whether the probe of the worker runs and has not stalled. However it ends, the
// worker may get another one.
func (w *workerInfo) probing() bool {
	r := w.runs[w.health.probe]

	return r != nil && r.probes && !r.stalled
}

// markProbe makes a run the probe of a worker whose quarantine is over. It stays the probe until it
// ends, stalls or has been at work for provenAfter.
func (w *workerInfo) markProbe(id job.TaskID) {
	if w.health.quarantine == 0 || w.probing() {
		return
	}

	w.health.probe = id
	w.runs[id].probes = true
}
