package backlog

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"
	"time"

	"trefoildeck/core/job"
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
	// MilliCores is the processor time of the workers that may run tasks, and FreeMilliCores what
	// the sizes of their tasks leave of it.
	MilliCores, FreeMilliCores int64
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
	// Kinds has the kinds of tasks that wait for a worker, in ascending order.
	Kinds []uint32
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

// KindOf returns a number for the properties of a step's tasks, apart from their size, that decide on
// which workers they find room. Those of filling tasks depend on their image.
func KindOf(s *job.Step) uint32 {
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = io.WriteString(h, s.Requires)

	if s.Fills {
		_, _ = io.WriteString(h, "\x00"+s.Image)
	}

	return h.Sum32()
}

// Add adds the work of a job that was accepted since the load was received.
func (l *Load) Add(now time.Duration, r *job.Record, account string) {
	if r.Lasting() {
		return
	}

	var work int64
	for i := range r.Spec.Steps {
		work = Sum(work, Work(&r.Spec.Steps[i], r.Spec.Steps[i].Count, r.Spec.Steps[i].RunTime()))
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
	if work == 0 {
		return
	}

	i, found := slices.BinarySearchFunc(p.Accounts, j.Account, func(a AccountLoad, n string) int { return cmp.Compare(a.Account, n) })
	if !found {
		p.Accounts = slices.Insert(p.Accounts, i, AccountLoad{Account: j.Account})
	}

	a := &p.Accounts[i]

	switch j.class(now) {
	case onTime:
		part := partOf(j.latestStart() - now)
		a.Waiting[part] = Sum(a.Waiting[part], work)
	case useful:
		a.Useful = Sum(a.Useful, work)
	default:
		a.Late = Sum(a.Late, work)
	}
}

// AddRunning adds the remaining work of running tasks.
func (p *PriorityLoad) AddRunning(work int64) { p.Running = Sum(p.Running, work) }

// AddKind adds the kind of tasks that wait for a worker.
func (p *PriorityLoad) AddKind(kind uint32) {
	if i, found := slices.BinarySearch(p.Kinds, kind); !found {
		p.Kinds = slices.Insert(p.Kinds, i, kind)
	}
}

// work returns all work of the service.
func (l *Load) work() int64 {
	var w int64
	for i := range l.Priorities {
		w = Sum(w, Sum(l.Priorities[i].Running, l.Priorities[i].waiting()))
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

// maxKinds is the largest number of kinds that Shorten leaves, together.
const maxKinds = 64

// Shorten drops the accounts with the least waiting work until at most n are left, and kinds above a
// number. Without them, the load refuses less.
func (l *Load) Shorten(n int) {
	var totals []int64

	kinds := maxKinds

	for i := range l.Priorities {
		p := &l.Priorities[i]
		p.Kinds = p.Kinds[:min(len(p.Kinds), kinds)]
		kinds -= len(p.Kinds)

		for _, a := range p.Accounts {
			totals = append(totals, a.total())
		}
	}

	if len(totals) <= n {
		return
	}

	slices.SortFunc(totals, func(a, b int64) int { return cmp.Compare(b, a) })

	// Of the accounts with as much work as the first one that is dropped, some are left.
	limit := totals[n]
	equal := slices.IndexFunc(totals, func(t int64) bool { return t == limit })
	left := n - equal

	for i := range l.Priorities {
		p := &l.Priorities[i]
		p.Accounts = slices.DeleteFunc(p.Accounts, func(a AccountLoad) bool {
			if a.total() == limit && left > 0 {
				left--

				return false
			}

			return a.total() <= limit
		})
	}
}
