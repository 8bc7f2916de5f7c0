package backlog

import (
	"slices"
	"time"

	"trefoildeck/core/job"
)

const (
	// MaxLoadAge is the age above which a load says nothing.
	MaxLoadAge = 2 * time.Second
	// MinRetryAfter is the shortest time after which a refused job may be submitted again.
	MinRetryAfter = time.Second
	// MaxRetryAfter is the longest one.
	MaxRetryAfter = 30 * time.Second
)

// Verdict is the decision on a submission.
type Verdict struct {
	Admit bool
	// RetryAfter is the time after which the submission would be accepted, in whole seconds.
	RetryAfter time.Duration
	Reason     Reason
	// Wait is the time that the work ahead of the job takes, and Limit the longest one after
	// which its result would be useful. They are set if the reason is Overload.
	Wait, Limit time.Duration
	// LoadAge is the age of the load by which a refused submission was judged.
	LoadAge time.Duration
}

// Reason is why a submission is refused.
type Reason string

const (
	// TooLarge means that a task is larger than any worker of the service.
	TooLarge Reason = "TooLarge"
	// Overload means that the work ahead of the job takes too long.
	Overload Reason = "Overload"
)

// Admit judges the submission of a job by an account. A job is refused only if its result is known
// to be useless: a task fits no worker, or the job would have to wait until it can no longer end
// while useful. It is admitted
//
//   - if none of its tasks is of a kind that waits: what waits may be held up by reasons of its own;
//   - if it would start in time for its objective: jobs that can only end after theirs are not ahead
//     of it until then.
func (l *Load) Admit(now time.Duration, r *job.Record, account string) Verdict {
	admitted := Verdict{Admit: true}

	if now-l.At > MaxLoadAge {
		return admitted
	}

	if slices.ContainsFunc(r.Spec.Steps, func(s job.Step) bool { return !l.fits(s) }) {
		return Verdict{
			RetryAfter: MaxRetryAfter,
			Reason:     TooLarge,
			LoadAge:    now - l.At,
		}
	}

	objective, path := r.Objective(), r.Spec.CriticalPath()
	latest, limit := objective-path, UsefulObjectives*objective-path

	// A job that can't end while useful on idle workers either says nothing about the load.
	if r.Lasting() || limit <= 0 || !l.waits(r) {
		return admitted
	}

	ahead, usefulAhead, rate := l.ahead(r.Priority, account, latest)
	if slices.ContainsFunc(r.Spec.Steps, func(s job.Step) bool { return !s.Fills }) {
		rate = max(rate, l.FreeMilliCores)
	}

	start, usefulStart := duration(ahead, rate)-(now-l.At), duration(usefulAhead, rate)-(now-l.At)

	if start <= latest || usefulStart <= limit {
		return admitted
	}

	return Verdict{
		RetryAfter: retryAfter(min(start-latest, usefulStart-limit)),
		Reason:     Overload,
		Wait:       usefulStart,
		Limit:      limit,
		LoadAge:    now - l.At,
	}
}

// retryAfter rounds a time up to whole seconds.
func retryAfter(d time.Duration) time.Duration {
	return min(max((d+time.Second-1).Truncate(time.Second), MinRetryAfter), MaxRetryAfter)
}

// fits reports whether a task of a step fits into the largest amounts of the resources of a
// worker, which are not known if they are 0. Filling tasks need no processor time of their own.
func (l *Load) fits(s job.Step) bool {
	size := s.Size
	if s.Fills {
		size.MilliCores = 0
	}

	return l.Largest == job.Size{} || l.Largest.CanFit(size)
}

// waits reports whether tasks of a kind that a job has wait, of its or a more urgent priority.
func (l *Load) waits(r *job.Record) bool {
	return slices.ContainsFunc(l.Priorities, func(p PriorityLoad) bool {
		return p.Priority <= r.Priority && slices.ContainsFunc(r.Spec.Steps, func(s job.Step) bool {
			_, found := slices.BinarySearch(p.Kinds, KindOf(&s))

			return found
		})
	})
}

// ahead returns the work ahead of a job: that of jobs that can end within their objective, and
// that of all whose result can be useful. It also returns the rate at which it is done; as long as
// none was measured, all workers count.
func (l *Load) ahead(priority int, account string, latest time.Duration) (onTime, usefully, rate int64) {
	var later int64

	for _, p := range l.Priorities {
		if p.Priority > priority {
			break
		}

		onTime = Sum(onTime, p.Running)

		if p.Priority < priority {
			onTime = Sum(onTime, p.waiting())

			continue
		}

		var first int64

		first, later = p.ahead(account, latest)
		onTime, rate = Sum(onTime, first), p.Rate
	}

	if rate == 0 {
		rate = l.MilliCores
	}

	return onTime, Sum(onTime, later), rate
}

// duration returns the time that some work takes at a rate; 0 if the rate is not known.
func duration(work, rate int64) time.Duration {
	if rate <= 0 {
		return 0
	}

	// maxWork milliseconds are more than a duration holds.
	const longest = 1000 * time.Hour

	return time.Duration(min(float64(work)/float64(rate)*float64(time.Millisecond), float64(longest)))
}

// waiting returns the work of all waiting tasks, which those of a less urgent priority wait for.
func (p *PriorityLoad) waiting() int64 {
	var w int64

	for _, a := range p.Accounts {
		w = Sum(w, a.total())
	}

	return w
}

// ahead returns the waiting work of the same priority that comes before a job with a latest start
// as long as it can end within its objective, and what comes before it in addition later. Each
// other account gets at most the service that the job's own gets.
func (p *PriorityLoad) ahead(account string, latest time.Duration) (onTime, usefully int64) {
	for _, a := range p.Accounts {
		if a.Account == account {
			onTime, usefully = a.before(partOf(latest)), a.Useful
		}
	}

	turn, usefulTurn := onTime, Sum(onTime, usefully)

	for _, a := range p.Accounts {
		if a.Account == account {
			continue
		}

		w := a.before(Parts - 1)
		first := min(w, turn)
		onTime = Sum(onTime, first)
		usefully = Sum(usefully, min(Sum(w, a.Useful), usefulTurn)-first)
	}

	return onTime, usefully
}

// before returns the work of the jobs that can end within their objective and have an earlier
// latest start. Those in the same part were accepted before, or are about as urgent.
func (a *AccountLoad) before(part int) int64 {
	var w int64
	for _, v := range a.Waiting[:part+1] {
		w = Sum(w, v)
	}

	return w
}

func (a *AccountLoad) total() int64 {
	w := Sum(a.Useful, a.Late)
	for _, part := range a.Waiting {
		w = Sum(w, part)
	}

	return w
}
