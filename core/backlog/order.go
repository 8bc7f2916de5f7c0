package backlog

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Order returns the indexes of jobs in the order in which their tasks are to be placed:
//
//   - by priority;
//   - then by class: jobs that can end within their objective, jobs that can end while their
//     result is useful, and the others;
//   - within a class, accounts take turns by the least service received, and the jobs of an
//     account by their latest start;
//   - of the service of a priority, an eighth goes to the job that has waited longest, of
//     whatever class.
//
// Order notes in service which jobs have waited longest, for Shares.Add. It takes O(n log n) time. The
// result is valid until the next call with the same service, which uses its memory again.
func Order(now time.Duration, jobs []Job, service *Shares) []int {
	o := &service.ordering
	o.reset(now, jobs, service)

	slices.SortFunc(o.keys, o.compare)

	for keys := o.keys; len(keys) > 0; {
		n := prefix(keys, func(a, b key) bool { return a.priority == b.priority })
		o.addPriority(keys[:n])
		keys = keys[n:]
	}

	return o.order
}

// compare compares two keys. It compares the IDs only of jobs that are otherwise the same, as that
// takes longest.
func (o *ordering) compare(a, b key) int {
	switch {
	case a.priority != b.priority:
		return cmp.Compare(a.priority, b.priority)
	case a.class != b.class:
		return cmp.Compare(a.class, b.class)
	case a.start != b.start:
		return cmp.Compare(a.start, b.start)
	default:
		return cmp.Compare(o.jobs[a.index].ID, o.jobs[b.index].ID)
	}
}

// compareAge compares two jobs by the time for which they have waited, the longest first.
func (o *ordering) compareAge(a, b int) int {
	if x, y := o.jobs[a].Accepted, o.jobs[b].Accepted; x != y {
		return cmp.Compare(x, y)
	}

	return cmp.Compare(o.jobs[a].ID, o.jobs[b].ID)
}

// key is what a job is sorted by.
type key struct {
	priority int
	class    class
	start    time.Duration
	index    int
}

// idle is the class of a job without waiting tasks, after all others.
const idle = late + 1

func keyOf(now time.Duration, index int, j *Job) key {
	k := key{
		priority: j.Priority,
		class:    j.class(now),
		start:    j.latestStart(),
		index:    index,
	}

	if j.Work == 0 {
		k.class = idle
	}

	return k
}

// prefix returns the number of keys at the beginning of a list that are the same as the first one.
func prefix(keys []key, same func(a, b key) bool) int {
	n := slices.IndexFunc(keys, func(k key) bool { return !same(keys[0], k) })
	if n < 0 {
		return len(keys)
	}

	return n
}

// ordering is the state of one call of Order.
type ordering struct {
	now     time.Duration
	jobs    []Job
	service *Shares
	keys    []key
	order   []int
	taken   []bool
	queues  map[string]*queue
	// ready has the queues with jobs of the class that is being ordered.
	ready queueHeap

	// all and aged are the service of the priority that is being ordered, as Shares has it, plus
	// the work of the jobs ordered so far. byAge has its jobs, those that have waited longest
	// first, of which those before nextByAge are taken.
	all, aged float64
	byAge     []int
	nextByAge int
	// turns is that of the priority that is being ordered.
	turns *turns
}

// reset prepares the ordering of jobs.
func (o *ordering) reset(now time.Duration, jobs []Job, service *Shares) {
	o.now, o.jobs, o.service = now, jobs, service
	o.keys = slices.Grow(o.keys[:0], len(jobs))
	o.order = slices.Grow(o.order[:0], len(jobs))
	o.taken = slices.Grow(o.taken[:0], len(jobs))[:len(jobs)]
	o.ready = o.ready[:0]
	o.queues = map[string]*queue{}

	clear(o.taken)

	for i := range jobs {
		o.keys = append(o.keys, keyOf(now, i, &jobs[i]))
	}
}

// addPriority adds the jobs of one priority to the order.
func (o *ordering) addPriority(keys []key) {
	o.prepareAged(keys)

	for len(keys) > 0 {
		n := prefix(keys, func(a, b key) bool { return a.class == b.class })

		if keys[0].class == idle {
			for _, k := range keys[:n] {
				o.order = append(o.order, k.index)
			}
		} else {
			o.addClass(keys[:n])
		}

		keys = keys[n:]
	}
}

// prepareAged prepares the turns of the jobs that have waited longest.
func (o *ordering) prepareAged(keys []key) {
	o.byAge, o.nextByAge = o.byAge[:0], 0

	for _, k := range keys {
		if k.class != idle {
			o.byAge = append(o.byAge, k.index)
		}
	}

	slices.SortFunc(o.byAge, o.compareAge)

	t := o.service.turnsOf(keys[0].priority)
	o.all, o.aged = t.all.at(o.now), t.aged.at(o.now)
	o.turns = t

	t.offered, t.before = t.before, t.offered
	clear(t.offered)
}

// addClass adds the jobs of one class of a priority, which are sorted by their latest start.
func (o *ordering) addClass(keys []key) {
	for _, k := range keys {
		q := o.queueOf(o.jobs[k.index].Account)
		if len(q.jobs) == 0 {
			o.ready = append(o.ready, q)
		}

		q.jobs = append(q.jobs, k.index)
	}

	for i, q := range o.ready {
		q.place = i
	}

	heap.Init(&o.ready)

	for len(o.ready) > 0 {
		i := o.ready[0].next(o.taken)

		switch {
		case i < 0:
			heap.Pop(&o.ready)
		case o.aged*agedTurns < o.all:
			o.take(o.oldest())
		default:
			o.take(i)
		}
	}
}

func (o *ordering) queueOf(account string) *queue {
	q := o.queues[account]
	if q == nil {
		q = &queue{
			received: o.service.Received(o.now, account),
			place:    notReady,
		}
		o.queues[account] = q
	}

	return q
}

// oldest returns the job that has waited longest and is not taken, or -1 if there is none.
func (o *ordering) oldest() int {
	for o.nextByAge < len(o.byAge) && o.taken[o.byAge[o.nextByAge]] {
		o.nextByAge++
	}

	if o.nextByAge == len(o.byAge) {
		return -1
	}

	return o.byAge[o.nextByAge]
}

// take adds a job to the order, and its work to the service of its account.
func (o *ordering) take(i int) {
	work := float64(o.jobs[i].Work)

	if i == o.oldest() && o.turns.offer(o.jobs[i].ID) {
		o.aged += work
	}

	o.taken[i] = true
	o.order = append(o.order, i)
	o.all += work

	q := o.queueOf(o.jobs[i].Account)
	q.received += work

	if q.place != notReady {
		heap.Fix(&o.ready, q.place)
	}
}

// queue has the jobs of an account in the class that is being ordered.
type queue struct {
	jobs []int
	// received is the service of the account, plus the work of its jobs ordered so far.
	received float64
	// place is the index in the heap, or notReady.
	place int
}

const notReady = -1

// next returns the first job that is not taken, or -1 if there is none.
func (q *queue) next(taken []bool) int {
	for len(q.jobs) > 0 && taken[q.jobs[0]] {
		q.jobs = q.jobs[1:]
	}

	if len(q.jobs) == 0 {
		return -1
	}

	return q.jobs[0]
}

// queueHeap implements heap.Interface: the queue whose account has received the least service
// comes first.
type queueHeap []*queue

func (h queueHeap) Len() int { return len(h) }

func (h queueHeap) Less(i, j int) bool { return h[i].received < h[j].received }

func (h queueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push implements heap.Interface.
func (h *queueHeap) Push(x any) {
	q, ok := x.(*queue)
	if !ok {
		return
	}

	q.place = len(*h)
	*h = append(*h, q)
}

// Pop implements heap.Interface.
func (h *queueHeap) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	*h = (*h)[:last]
	q.place = notReady

	return q
}
