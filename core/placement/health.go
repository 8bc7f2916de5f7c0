package placement

import "time"

const (
	// A worker is quarantined after quarantineFailures consecutive failures of at
	// least quarantineJobs jobs: failures of one job only may be the job's fault.
	quarantineFailures = 3
	quarantineJobs     = 2

	// Each further failure doubles the quarantine from minQuarantine up to
	// maxQuarantine.
	minQuarantine = 10 * time.Second
	maxQuarantine = 5 * time.Minute
)

// workerHealth tracks whether a worker fails the tasks that it starts. After a
// quarantine the worker takes one task as a probe; the first success clears the
// state.
type workerHealth struct {
	failureStreak int
	// failedJobs holds the job of each failure, without consecutive repeats.
	failedJobs []string
	// quarantine is the length of the last quarantine, zero if there was none.
	quarantine       time.Duration
	quarantinedUntil time.Time
	// probeAt is when the probe task was assigned.
	probeAt time.Time
}

// suspect reports whether the worker was quarantined and had no success since.
func (w *workerHealth) suspect() bool {
	return w.quarantine > 0
}

func (w *workerHealth) quarantined(now time.Time) bool {
	return now.Before(w.quarantinedUntil)
}

// blocked reports whether the worker takes no task now, since it is quarantined or
// its probe is still running. A probe blocks for at most maxQuarantine.
func (w *workerHealth) blocked(now time.Time) bool {
	return w.quarantined(now) || w.suspect() && !w.probeAt.IsZero() && now.Sub(w.probeAt) < maxQuarantine
}

func (w *workerHealth) taskStarted(now time.Time) {
	if w.suspect() {
		w.probeAt = now
	}
}

func (w *workerHealth) taskSucceeded() {
	*w = workerHealth{}
}

// taskFailed counts a failure and reports whether it quarantines the worker.
func (w *workerHealth) taskFailed(now time.Time, job string) bool {
	w.failureStreak++
	w.probeAt = time.Time{}

	if len(w.failedJobs) == 0 || w.failedJobs[len(w.failedJobs)-1] != job {
		w.failedJobs = append(w.failedJobs, job)
	}

	if !w.suspect() && (w.failureStreak < quarantineFailures || len(w.failedJobs) < quarantineJobs) {
		return false
	}

	w.quarantine = min(max(2*w.quarantine, minQuarantine), maxQuarantine)
	w.quarantinedUntil = now.Add(w.quarantine)
	w.failedJobs = nil

	return true
}
