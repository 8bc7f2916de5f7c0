package fleet

import (
	"time"

	"trefoildeck/core/backlog"
	"trefoildeck/core/config"
)

// fairOrder is the state of the order backlog.Fair.
type fairOrder struct {
	shares *backlog.Shares
	// jobs and sorted are lists of the last pass, whose memory is used again.
	jobs   []backlog.Job
	sorted []*jobInfo
}

// sortFairly sorts the open jobs by backlog.Order.
func (f *Fleet) sortFairly(now time.Duration) {
	o := &f.fair
	o.jobs = o.jobs[:0]

	for _, j := range f.open {
		o.jobs = append(o.jobs, f.orderedJob(now, j))
	}

	for _, i := range backlog.Order(now, o.jobs, o.shares) {
		o.sorted = append(o.sorted, f.open[i])
	}

	f.open, o.sorted = o.sorted, f.open
	clear(o.sorted)
	o.sorted = o.sorted[:0]
}

// orderedJob describes a job to package backlog.
func (f *Fleet) orderedJob(now time.Duration, j *jobInfo) backlog.Job {
	b := backlog.Job{
		ID:          j.record.ID,
		Account:     f.accountOf(j),
		Priority:    j.record.Priority,
		Deadline:    j.deadline,
		UsefulUntil: j.usefulUntil,
		Accepted:    j.accepted,
		Started:     j.started,
		Lasting:     !j.expires,
	}

	if j.state.Final() {
		return b
	}

	for i := range j.steps {
		s := &j.steps[i]
		if s.complete() {
			continue
		}

		b.Path = max(b.Path, j.pathFrom(now, i))

		if s.waiting > 0 && f.stepReady(j, i) {
			// Tasks without an estimate wait too.
			b.Work = backlog.Sum(b.Work, max(1, backlog.Work(s.spec, s.waiting, s.spec.RunTime())))
		}
	}

	return b
}

// pathFrom returns the estimated time until the steps that depend on a step are complete.
func (j *jobInfo) pathFrom(now time.Duration, step int) time.Duration {
	s := &j.steps[step]
	path := j.paths[step%len(j.paths)]

	if s.waiting > 0 {
		return path
	}

	return path - min(s.spec.RunTime(), now-s.lastStarted)
}

// accountOf returns the client account of a job.
func (f *Fleet) accountOf(j *jobInfo) string {
	if j.account == "" || j.accountIn != f.Configuration {
		j.account, j.accountIn = backlog.AccountOf(f.Configuration, j.record.Queue), f.Configuration
	}

	return j.account
}

// recordService records that a task was placed.
func (f *Fleet) recordService(j *jobInfo, s *stepInfo, r *run) {
	if f.Order != backlog.Fair {
		return
	}

	// Lasting tasks take turns too, but no estimate says how long they run.
	var work int64
	if !s.spec.LongRunning {
		work = backlog.Work(s.spec, 1, s.spec.RunTime())
	}

	f.fair.shares.Add(r.started, backlog.Job{
		ID:       j.record.ID,
		Account:  f.accountOf(j),
		Priority: j.record.Priority,
	}, work)
}

// accountInfo is the cached client account of a job, as of a configuration.
type accountInfo struct {
	account   string
	accountIn *config.Configuration
}
