package backlog

import (
	"cmp"
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

// Parts is the number of parts into which the work of an account is divided by latest start. The
// first has latest starts of up to firstStart from now, each further one those of up to a quarter
// later, and the last one all others.
const Parts = 26

const firstStart = 250 * time.Millisecond

// partOf returns the part of a latest start, as time from now.
func partOf(latest time.Duration) int {
	part := 0
	for bound := firstStart; latest > bound && part < Parts-1; bound += bound / 4 {
		part++
	}

	return part
}

// Load is what an entry knows of the work that a service has to do. The leader sends it.
type Load struct {
	// At is the time at which the load was received.
	At      time.Duration
	Service string
	// MilliCores is the processor time of the workers that may run tasks.
	MilliCores int64
	// Largest has the largest amount of each resource that a worker of the service has.
	Largest job.Size
	// Priorities is sorted by priority.
	Priorities []PriorityLoad
}

// PriorityLoad is the work of one priority.
type PriorityLoad struct {
	Priority int
	// Rate is the rate, in millicore-milliseconds a millisecond, at which work of this or a more
	// urgent priority is done while some of this priority waits; 0 if it is not known.
	Rate int64
	// Running is the remaining work of running tasks.
	Running int64
	// Accounts is sorted by name.
	Accounts []AccountLoad
}

// AccountLoad is the work of an account's waiting tasks.
type AccountLoad struct {
	Account string
	// Waiting is the work of jobs that can end within their objective, by latest start.
	Waiting [Parts]int64
	// Useful is the work of jobs that can end while their result is useful, and Late that of the
	// others.
	Useful, Late int64
}

// Verdict is the decision on a submission.
type Verdict struct {
	Admit bool
	// RetryAfter is the time after which the submission would be accepted, in whole seconds.
	RetryAfter time.Duration
	Reason     Reason
	// Wait is the time that the work ahead of the job takes, and Limit the longest one after
	// which its result would be useful. They are set if the reason is Overload.
	Wait, Limit time.Duration
}

// Reason is why a submission is refused.
type Reason string

const (
	// TooLarge means that a task is larger than any worker of the service.
	TooLarge Reason = "TooLarge"
	// Overload means that the work ahead of the job takes too long.
	Overload Reason = "Overload"
)

// Sort brings the priorities and accounts into their order.
func (l *Load) Sort() {
	slices.SortFunc(l.Priorities, func(a, b PriorityLoad) int { return cmp.Compare(a.Priority, b.Priority) })

	for i := range l.Priorities {
		slices.SortFunc(l.Priorities[i].Accounts, func(a, b AccountLoad) int { return cmp.Compare(a.Account, b.Account) })
	}
}

// Admit judges the submission of a job by an account. A job is refused only if its result is known
// to be useless: a task fits no worker, or the job would have to wait until it can no longer end
// while useful. It is admitted if it would start in time for its objective: then no job that
// can end only after its objective is ahead of it.
func (l *Load) Admit(now time.Duration, r *job.Record, account string) Verdict {
	admitted := Verdict{Admit: true}

	if now-l.At > MaxLoadAge {
		return admitted
	}

	if slices.ContainsFunc(r.Spec.Steps, func(s job.Step) bool { return !l.fits(s) }) {
		return Verdict{
			RetryAfter: MaxRetryAfter,
			Reason:     TooLarge,
		}
	}

	objective, path := r.Objective(), r.Spec.CriticalPath()
	latest, limit := objective-path, UsefulObjectives*objective-path

	// A job that can't end while useful on idle workers either says nothing about the load.
	if r.Lasting() || limit <= 0 {
		return admitted
	}

	start, usefulStart := l.starts(r.Priority, account, latest)
	start, usefulStart = start-(now-l.At), usefulStart-(now-l.At)

	if start <= latest || usefulStart <= limit {
		return admitted
	}

	return Verdict{
		RetryAfter: retryAfter(min(start-latest, usefulStart-limit)),
		Reason:     Overload,
		Wait:       usefulStart,
		Limit:      limit,
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

// starts returns the times for which the work ahead of a job takes: of jobs that can end within
// their objective, and of all whose result can be useful.
func (l *Load) starts(priority int, account string, latest time.Duration) (start, usefulStart time.Duration) {
	var ahead, later, rate int64

	for _, p := range l.Priorities {
		if p.Priority > priority {
			break
		}

		ahead, rate = sum(ahead, p.Running), p.Rate

		if p.Priority < priority {
			ahead = sum(ahead, p.waiting())
			rate = 0

			continue
		}

		a, b := p.ahead(account, latest)
		ahead, later = sum(ahead, a), b
	}

	if rate == 0 {
		rate = l.MilliCores
	}

	return duration(ahead, rate), duration(sum(ahead, later), rate)
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
		w = sum(w, a.total())
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

	turn, usefulTurn := onTime, sum(onTime, usefully)

	for _, a := range p.Accounts {
		if a.Account == account {
			continue
		}

		w := a.before(Parts - 1)
		first := min(w, turn)
		onTime = sum(onTime, first)
		usefully = sum(usefully, min(sum(w, a.Useful), usefulTurn)-first)
	}

	return onTime, usefully
}

// before returns the work of the jobs that can end within their objective and have an earlier
// latest start. Those in the same part were accepted before, or are about as urgent.
func (a *AccountLoad) before(part int) int64 {
	var w int64
	for _, v := range a.Waiting[:part+1] {
		w = sum(w, v)
	}

	return w
}

func (a *AccountLoad) total() int64 {
	w := sum(a.Useful, a.Late)
	for _, part := range a.Waiting {
		w = sum(w, part)
	}

	return w
}

// Add adds the work of a job that was accepted since the load was received.
func (l *Load) Add(now time.Duration, r *job.Record, account string) {
	if r.Lasting() {
		return
	}

	var work int64
	for i := range r.Spec.Steps {
		work = sum(work, Work(&r.Spec.Steps[i], r.Spec.Steps[i].Count, r.Spec.Steps[i].RunTime()))
	}

	l.Priority(r.Priority).AddWaiting(now, Job{
		Account:     account,
		Path:        r.Spec.CriticalPath(),
		Deadline:    now + r.Objective(),
		UsefulUntil: now + UsefulObjectives*r.Objective(),
	}, work)
}

// Priority returns the load of a priority, which it adds if there is none.
func (l *Load) Priority(priority int) *PriorityLoad {
	i, found := slices.BinarySearchFunc(l.Priorities, priority, func(p PriorityLoad, n int) int { return cmp.Compare(p.Priority, n) })
	if !found {
		l.Priorities = slices.Insert(l.Priorities, i, PriorityLoad{Priority: priority})
	}

	return &l.Priorities[i]
}

// AddWaiting adds waiting work of a job.
func (p *PriorityLoad) AddWaiting(now time.Duration, j Job, work int64) {
	i, found := slices.BinarySearchFunc(p.Accounts, j.Account, func(a AccountLoad, n string) int { return cmp.Compare(a.Account, n) })
	if !found {
		p.Accounts = slices.Insert(p.Accounts, i, AccountLoad{Account: j.Account})
	}

	a := &p.Accounts[i]

	switch j.class(now) {
	case onTime:
		part := partOf(j.latestStart() - now)
		a.Waiting[part] = sum(a.Waiting[part], work)
	case useful:
		a.Useful = sum(a.Useful, work)
	default:
		a.Late = sum(a.Late, work)
	}
}

// AddRunning adds the remaining work of running tasks.
func (p *PriorityLoad) AddRunning(work int64) { p.Running = sum(p.Running, work) }

// Busy reports whether some work waits that can still be useful.
func (p *PriorityLoad) Busy() bool {
	return slices.ContainsFunc(p.Accounts, func(a AccountLoad) bool { return a.total() > a.Late })
}

// work returns all work of the service.
func (l *Load) work() int64 {
	var w int64
	for i := range l.Priorities {
		w = sum(w, sum(l.Priorities[i].Running, l.Priorities[i].waiting()))
	}

	return w
}

// changeDivisor is the reciprocal of the change that Changed reports.
const changeDivisor = 10

// Changed reports whether the work or the workers of a service differ by a tenth from those of an
// earlier load.
func (l *Load) Changed(before *Load) bool {
	return before == nil || l.Largest != before.Largest || differs(l.MilliCores, before.MilliCores) || differs(l.work(), before.work())
}

func differs(a, b int64) bool { return max(a, b)-min(a, b) > max(a, b)/changeDivisor }

// Shorten drops the accounts with the least waiting work until at most n are left. Without
// them, the load refuses less.
func (l *Load) Shorten(n int) {
	var totals []int64

	for i := range l.Priorities {
		for _, a := range l.Priorities[i].Accounts {
			totals = append(totals, a.total())
		}
	}

	if len(totals) <= n {
		return
	}

	slices.SortFunc(totals, func(a, b int64) int { return cmp.Compare(b, a) })
	least := totals[n]

	for i := range l.Priorities {
		l.Priorities[i].Accounts = slices.DeleteFunc(l.Priorities[i].Accounts, func(a AccountLoad) bool { return a.total() <= least })
	}
}
