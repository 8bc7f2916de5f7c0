// Package backlog orders the waiting jobs of the program trefoildeck-node, and judges whether
// the result of a further job could still be useful.
//
// The load that it handles are bursts: of large filling jobs (2.6 times their rate for 7 s), of
// urgent jobs, and of one client account beside others that submit much less. In the order of
// their deadlines alone, a queue that outgrows the workers makes every job late.
//
// The package does no I/O and reads no clock: times are readings of one monotonic local clock.
// Work is in millicore-milliseconds: estimated run time times processor time.
//
// # Usage
//
//	for _, i := range backlog.Order(now, jobs, shares) { … } // place the tasks of jobs[i]
//	shares.Add(now, jobs[i], work)                            // for each task placed
//
//	verdict := load.Admit(now, record, account) // on an entry, with the leader's Load
//	load.Add(now, record, account)              // after the job was accepted
package backlog

import (
	"time"

	"trefoildeck/core/config"
	"trefoildeck/core/job"
)

// Policy is the order of waiting jobs within a priority.
type Policy string

const (
	// ByDeadline orders jobs by deadline; those that are too late to be useful come last.
	ByDeadline Policy = "Deadline"
	// Fair is the order of the function Order.
	Fair Policy = "Fair"
)

// UsefulObjectives is the time for which a result is useful, as a multiple of the objective.
const UsefulObjectives = 3

// Job is a job that is not over, as far as its order depends on it.
type Job struct {
	ID string
	// Account is the client account that takes turns with others.
	Account string
	// Priority orders the jobs first; 0 is the most urgent.
	Priority int
	// Work is the work of the tasks that wait for a worker and may start. A job without any
	// takes no turn.
	Work int64
	// Path is the estimated time from the start of the waiting tasks to the end of the job.
	Path time.Duration
	// Deadline is the end of the job's objective, and UsefulUntil when its result is no longer
	// useful.
	Deadline, UsefulUntil time.Duration
	Accepted              time.Duration
	// Started means that a task of the job has started.
	Started bool
	// Lasting means that the job runs until it is cancelled or at set times, so that it is
	// useful at any time.
	Lasting bool
}

// class tells how useful the result of a job can still be.
type class int

const (
	// onTime is a job that can end within its objective.
	onTime class = iota
	// useful is a job that can end while its result is useful.
	useful
	late
)

// class returns the class of a job. A started job stays in its class as long as the time is not over:
// the rest of it may be shorter than its estimate, and what was done for it would be lost.
func (j *Job) class(now time.Duration) class {
	switch {
	case j.Lasting || j.canEndBy(now, j.Deadline):
		return onTime
	case j.canEndBy(now, j.UsefulUntil):
		return useful
	default:
		return late
	}
}

func (j *Job) canEndBy(now, end time.Duration) bool {
	return now+j.Path <= end || (j.Started && now <= end)
}

// Waits reports whether tasks of a job wait for a worker while its result can still be useful, and
// the job ends by itself.
func (j *Job) Waits(now time.Duration) bool {
	return j.Work > 0 && !j.Lasting && j.class(now) != late
}

// latestStart is the latest time at which the waiting tasks of a job that ends within its
// objective start.
func (j *Job) latestStart() time.Duration { return j.Deadline - j.Path }

// AccountOf returns the client account of a queue: its host, since the platform names no
// accounts, or the queue's own name if it has left the configuration, which may be nil.
func AccountOf(c *config.Configuration, queue string) string {
	if c == nil {
		return queue
	}

	if q, ok := c.Queue(queue); ok {
		return q.Host
	}

	return queue
}

// maxWork bounds an amount of work, in millicore-milliseconds, so that sums don't overflow. It is
// that of 17,000 workers of 64 cores in 12 days.
const maxWork = 1 << 50

// Work returns the work of some tasks of a step, which run for a time each.
func Work(s *job.Step, tasks int, each time.Duration) int64 {
	w := float64(tasks) * float64(s.Size.MilliCores) * float64(max(0, each)) / float64(time.Millisecond)

	return int64(min(w, maxWork))
}

// Sum adds amounts of work. It is bounded, so that sums of hostile sizes don't overflow.
func Sum(a, b int64) int64 { return min(a+b, maxWork) }
