package fleet_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"
	"trefoildeck/core/lease"
	"trefoildeck/io/rows"
	"trefoildeck/platform"
)

// world simulates leaders, agents, workers and the store. It checks what workers run,
// not what leaders and agents believe.
type world struct {
	random *rand.Rand
	now    time.Duration
	events events
	number int
	faults faults
	// trace, if set, is called with each notable event.
	trace      func(string)
	violations []string

	workers []*worker
	agents  []*agent
	entries []*entry
	jobs    []jobRow
	// sessions has the sessions that may still be open.
	sessions []*session
	// cutUntil has the ends of the cuts of links, by their two ends; those to the store
	// are "store".
	cutUntil map[[2]string]time.Duration
	store    store
	// absences counts the writes of the row of absent agents.
	absences int
	// handedOver counts the nodes whose leases a leader knew the end of from the one before.
	handedOver int
	// resumptions counts the starts from checkpoints.
	resumptions int
	// doneAt has when a task's last end was taken note of that can't be taken back, and
	// lastStart when the task last started.
	doneAt, lastStart map[job.TaskID]time.Duration
	finished          map[job.TaskID]bool
	// begun has the jobs of which a task has started.
	begun map[string]bool
	// onlyLeaving says that the only faults are workers that leave. Then listedAt has when a
	// success of a task was first listed.
	onlyLeaving bool
	listedAt    map[job.TaskID]time.Duration
}

// faults are the mean numbers of faults in a second, or probabilities.
type faults struct {
	killAgent, killAllAgents, pauseAgent  float64
	killEntry, killAllEntries, pauseEntry float64
	resign, cut                           float64
	crash, silent, leave                  float64
	// loseCall and loseWrite are the probabilities that a call of a worker or of the store
	// is left unanswered, and pauseInside that a process pauses between a decision and the
	// message that follows from it.
	loseCall, loseWrite, pauseInside float64
	maxDelay                         time.Duration
	// smallRows says that rows are so small that a task that failed needs one of its own.
	smallRows bool
	// absences says that leaders store which agents are absent, and longerPause is added to the
	// pauses of agents, so that some are.
	absences    bool
	longerPause time.Duration
	// crowded says that tasks have up to the size of a worker, so that many wait, and that leaders
	// look ahead.
	crowded bool
	// preemption says that leaders preempt and use the order backlog.Fair, and that more work of
	// two priorities is submitted than the workers can do at once.
	preemption bool
	// checkpoints says that tasks have checkpoints, and that leaders store them while tasks run.
	checkpoints bool
}

// maxRestartDelay is the time after the listing of a success in which its task may start
// again, if nothing but the worker's exit kept the listing from its agent.
const maxRestartDelay = 1100 * time.Millisecond

type jobRow struct {
	record   job.Record
	version  int64
	accepted time.Duration
}

// event runs at a time; events of the same time run in the order of their numbers.
type event struct {
	at     time.Duration
	number int
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].number, e[j].number)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]

	return last
}

func (w *world) at(t time.Duration, run func()) {
	w.number++
	heap.Push(&w.events, event{
		at:     max(t, w.now),
		number: w.number,
		run:    run,
	})
}

// run advances the simulation to a time.
func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until && len(w.violations) == 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}

	w.now = until
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// delay returns the delay of a message.
func (w *world) delay() time.Duration {
	if w.faults.maxDelay > 0 && w.chance(0.1) {
		return w.between(0, w.faults.maxDelay)
	}

	return w.between(200*time.Microsecond, 3*time.Millisecond)
}

func (w *world) logf(format string, values ...any) {
	if w.trace != nil {
		w.trace(fmt.Sprintf("%8.3f ", w.now.Seconds()) + fmt.Sprintf(format, values...))
	}
}

func (w *world) violate(format string, values ...any) {
	w.logf("VIOLATION "+format, values...)
	w.violations = append(w.violations, fmt.Sprintf("%.3f s: ", w.now.Seconds())+fmt.Sprintf(format, values...))
}

func (w *world) cut(a, b string) bool {
	return w.now < max(w.cutUntil[[2]string{a, b}], w.cutUntil[[2]string{b, a}])
}

// process is a process that may pause and end. A new one of the same name has another
// life.
type process struct {
	w           *world
	name        string
	alive       bool
	life        int
	pausedUntil time.Duration
	begunAt     time.Duration
}

// after runs a function after a duration, or once the process resumes, unless it has
// ended by then.
func (p *process) after(d time.Duration, run func()) {
	life := p.life

	var fire func()

	fire = func() {
		switch {
		case !p.alive || p.life != life:
		case p.w.now < p.pausedUntil:
			p.w.at(p.pausedUntil, fire)
		default:
			run()
		}
	}

	p.w.at(p.w.now+d, fire)
}

func (p *process) begin() {
	p.life++
	p.alive = true
	p.pausedUntil, p.begunAt = 0, p.w.now
}

// end ends a process. If its machine loses power, no other process is told.
func (p *process) end(power bool) {
	p.alive = false

	for _, s := range p.w.sessions {
		for side := range s.ends {
			if s.ends[side] == p {
				s.lost = s.lost || power
				s.close(side)
			}
		}
	}
}

func (p *process) pause(d time.Duration) {
	p.pausedUntil = p.w.now + d
	p.w.logf("%s pauses for %v", p.name, d)
}

func (p *process) pauseInside() {
	if p.w.chance(p.w.faults.pauseInside) {
		p.pause(p.w.between(100*time.Millisecond, 4*time.Second))
	}
}

// Sides of a session.
const (
	leaderSide = iota
	agentSide
)

// session is the session of a leader with an agent. Each side notices after a while that
// the other can't be reached.
type session struct {
	w       *world
	term    int64
	ends    [2]*process
	closed  [2]bool
	onClose [2]func()
	queues  [2][]func()
	arrival [2]time.Duration
	// lost says that nothing more arrives.
	lost bool
}

const (
	keepAlivePeriod = 250 * time.Millisecond
	// Probes that go unanswered until a session ends, 0.5 to 1.5 s.
	minProbes, maxProbes = 2, 6
)

func (s *session) send(to int, run func()) {
	if s.closed[1-to] {
		return
	}

	s.queues[to] = append(s.queues[to], run)
	s.arrival[to] = max(s.arrival[to], s.w.now+s.w.delay())
	s.deliver(to, s.arrival[to])
}

func (s *session) deliver(to int, at time.Duration) {
	s.w.at(at, func() {
		switch {
		case s.closed[to] || s.lost:
		case s.w.cut(s.ends[0].name, s.ends[1].name):
			s.deliver(to, s.w.now+50*time.Millisecond)
		default:
			s.ends[to].after(0, func() {
				if s.closed[to] {
					return
				}

				run := s.queues[to][0]
				s.queues[to] = s.queues[to][1:]
				run()
			})
		}
	})
}

func (s *session) close(side int) {
	if s.closed[side] {
		return
	}

	s.send(1-side, func() { s.close(1 - side) })
	s.closed[side] = true

	if s.ends[side].alive {
		s.onClose[side]()
	}
}

func (s *session) watch(side, limit, misses int) {
	s.ends[side].after(keepAlivePeriod, func() {
		if s.closed[side] {
			return
		}

		other := s.ends[1-side]
		if s.closed[1-side] || s.w.now < other.pausedUntil || s.w.cut(s.ends[0].name, s.ends[1].name) {
			misses++
		} else {
			misses = 0
		}

		if misses >= limit {
			s.close(side)

			return
		}

		s.watch(side, limit, misses)
	})
}

// store is the store's state. Keys of rows are "term", "lease" and the IDs of jobs.
type store struct {
	version  int64
	versions map[string]int64
	record   lease.Record
	progress map[string][]byte
	// nodes has the lives of agents that have registered.
	nodes map[string]int
	// absent is the row of absent agents.
	absent []string
	// handover is the row of a leader that resigned.
	handover handover
}

// stamp is the answer of the store. With an error, conflicts has the present versions.
type stamp struct {
	version   int64
	clock     time.Duration
	conflicts map[string]int64
	err       error
}

// commit applies changes if all rows have the expected versions.
func (w *world) commit(expected map[string]int64, apply func()) stamp {
	found := map[string]int64{}
	conflict := false

	for k, v := range expected {
		found[k] = w.store.versions[k]
		conflict = conflict || found[k] != v
	}

	if conflict {
		return stamp{
			clock:     w.now,
			conflicts: found,
			err:       rows.ErrConflict,
		}
	}

	w.store.version++
	apply()

	return stamp{
		version: w.store.version,
		clock:   w.now,
	}
}

// callStore calls the store. An unanswered call may be carried out never, at once or
// late.
func (p *process) callStore(run func() stamp, done func(stamp)) {
	w, finished := p.w, false
	finish := func(r stamp) {
		if !finished {
			finished = true

			done(r)
		}
	}

	p.after(w.between(450*time.Millisecond, time.Second), func() { finish(stamp{err: rows.ErrUnknown}) })

	if lost := w.chance(w.faults.loseWrite); lost || w.cut(p.name, "store") {
		switch w.random.IntN(4) {
		case 0:
			w.at(w.now+w.between(500*time.Millisecond, 8*time.Second), func() { run() })
		case 1, 2:
			w.at(w.now+w.delay(), func() {
				if lost || !w.cut(p.name, "store") {
					run()
				}
			})
		default:
		}

		return
	}

	w.at(w.now+w.between(2*time.Millisecond, 20*time.Millisecond), func() {
		r := run()
		p.after(w.between(2*time.Millisecond, 20*time.Millisecond), func() { finish(r) })
	})
}

// worker is a worker. It obeys any call with a token at least as high as the highest seen.
type worker struct {
	process
	number int
	id     string
	born   int64
	bornAt time.Duration
	// The clock begins at any reading.
	clockStart  time.Duration
	clockRate   float64
	silentUntil time.Duration
	dark        bool
	draining    bool
	sequence    int64

	token   int64
	lease   time.Duration
	runs    map[job.TaskID]*workerRun
	barred  map[job.TaskID]int
	ends    []workerEnd
	lastEnd int64
	// endedAt is when the last run ended.
	endedAt time.Duration
	// waiters has the listings that wait for an end.
	waiters []func()
}

type workerRun struct {
	attempt int
	size    job.Size
	// begun is when the run began, and resumed the seconds of work in the checkpoint from which it did.
	begun   time.Duration
	resumed int
}

// checkpoint returns the last checkpoint of a run, which it makes each second.
func (r *workerRun) checkpoint(t job.TaskID, now time.Duration) string {
	done := r.resumed + int((now-r.begun)/time.Second)
	if done == 0 {
		return ""
	}

	return fmt.Sprintf("%s@%d", t, done)
}

type workerEnd struct {
	gate.End
	at time.Duration
	// lapsed says that the lease lapsed since.
	lapsed bool
}

const (
	maxHold        = 6 * time.Second
	workerCapacity = 4000
	heartbeat      = time.Second
)

func (k *worker) clock() time.Duration {
	return k.clockStart + time.Duration(float64(k.w.now-k.bornAt)*k.clockRate)
}

// startIncarnation starts a worker, which knows nothing of before.
func (k *worker) startIncarnation(newID bool) {
	if newID || k.id == "" {
		k.id = fmt.Sprintf("i-%d-%d", k.number, k.life)
	}

	k.begin()
	k.born, k.bornAt = 1_700_000_000_000+k.w.now.Milliseconds(), k.w.now
	k.clockRate = 0.98 + 0.02*k.w.random.Float64()
	k.clockStart = k.w.between(0, time.Hour)
	k.token, k.lease, k.lastEnd, k.sequence = 0, 0, 0, 0
	k.silentUntil, k.dark, k.draining = 0, false, false
	k.runs, k.barred, k.ends, k.waiters = map[job.TaskID]*workerRun{}, map[job.TaskID]int{}, nil, nil
	k.w.logf("%s begins, born %d", k.id, k.born)
	k.after(k.w.between(0, 300*time.Millisecond), k.announce)
}

func (k *worker) announce() {
	k.sequence++
	announcement := gate.Announcement{
		Incarnation: gate.Incarnation{
			ID:   k.id,
			Born: k.born,
		},
		Service:  "orders",
		Draining: k.draining,
		Capacity: job.Size{
			MilliCores: workerCapacity,
			MemoryMB:   10_000,
		},
		Sequence: k.sequence,
	}

	a := k.w.agents[k.number]
	a.after(k.w.delay(), func() { a.handleAnnouncement(announcement) })
	k.after(heartbeat, k.announce)
}

func (k *worker) crash(dark bool) {
	if !k.alive {
		return
	}

	k.w.logf("%s crashes with %d runs", k.id, len(k.runs))
	k.end(false)
	k.dark = dark
	k.runs = map[job.TaskID]*workerRun{}
	k.release()
	k.w.at(k.w.now+k.w.between(300*time.Millisecond, 6*time.Second), func() { k.startIncarnation(k.w.chance(0.3)) })
}

// silence makes the worker leave calls unanswered.
func (k *worker) silence(d time.Duration) {
	k.silentUntil = k.w.now + d
	k.w.logf("%s is silent for %v", k.id, d)
}

// leave announces a planned exit, and exits.
func (k *worker) leave() {
	if !k.alive || k.draining {
		return
	}

	k.draining = true
	k.after(k.w.between(2*time.Second, 5*time.Second), func() {
		id, a := k.id, k.w.agents[k.number]
		a.after(k.w.delay(), func() { a.handleLeave(id) })
		k.crash(false)
	})
}

func (k *worker) release() {
	waiters := k.waiters
	k.waiters = nil

	for _, respond := range waiters {
		k.w.at(k.w.now, respond)
	}
}

// obey applies the token and the deadline of a call. It reports whether the worker obeys.
func (k *worker) obey(token int64, deadline time.Duration) bool {
	k.expire()

	if token < k.token {
		return false
	}

	k.token = token

	if d := min(deadline, k.clock()+maxHold); d > k.lease {
		k.lease = d
		k.after(time.Duration(float64(d-k.clock())/k.clockRate)+time.Microsecond, k.expire)
	}

	return true
}

// expire ends all runs if the lease has lapsed.
func (k *worker) expire() {
	if !k.alive || k.clock() < k.lease {
		return
	}

	for i := range k.ends {
		k.ends[i].lapsed = true
	}

	for _, t := range sortedTasks(k.runs) {
		k.endRun(t, gate.Lapsed)
	}
}

func (k *worker) endRun(t job.TaskID, reason gate.EndReason) {
	r := k.runs[t]
	delete(k.runs, t)
	k.endedAt = k.w.now
	k.lastEnd++
	k.barred[t] = max(k.barred[t], r.attempt)
	k.ends = append(k.ends, workerEnd{
		End: gate.End{
			Number:  k.lastEnd,
			Task:    t,
			Attempt: r.attempt,
			Reason:  reason,
		},
		at: k.w.now,
	})
	k.w.finished[t] = k.w.finished[t] || reason == gate.Done
	k.w.logf("%s ends %v attempt %d: %s, number %d", k.id, t, r.attempt, reason, k.lastEnd)
	k.release()
}

func (k *worker) start(token int64, deadline time.Duration, o gate.StartOrder) error {
	if !k.obey(token, deadline) {
		return platform.ErrFenced
	}

	r := k.runs[o.Task]

	switch {
	case r != nil && r.attempt == o.Attempt:
		return nil
	case r != nil && o.Attempt < r.attempt, o.Attempt <= k.barred[o.Task], k.clock() >= k.lease:
		return platform.ErrRejected
	}

	k.w.checkStart(k, o)

	r = &workerRun{
		attempt: o.Attempt,
		size:    o.Size,
		begun:   k.w.now,
		resumed: k.w.checkResumption(o),
	}
	k.runs[o.Task] = r

	reason, duration := gate.Done, k.w.between(200*time.Millisecond, 8*time.Second)

	switch {
	case k.w.now >= faultsUntil:
		// What the faults held up is soon done.
		duration /= 10
	case k.w.chance(0.05):
		reason = gate.Failed
	}

	k.after(duration, func() {
		k.expire()

		if k.runs[o.Task] == r {
			k.endRun(o.Task, reason)
		}
	})

	return nil
}

func (k *worker) stop(token int64, t job.TaskID, attempt int) error {
	if !k.obey(token, 0) {
		return platform.ErrFenced
	}

	k.barred[t] = max(k.barred[t], attempt)

	if r := k.runs[t]; r != nil && r.attempt <= attempt {
		k.after(k.w.between(0, 500*time.Millisecond), func() {
			if k.runs[t] == r {
				k.endRun(t, gate.Stopped)
			}
		})
	}

	return nil
}

// acknowledge forgets the ends up to a number.
func (k *worker) acknowledge(seen int64) {
	k.ends = slices.DeleteFunc(k.ends, func(e workerEnd) bool {
		if e.Number > seen {
			return false
		}

		if e.Reason == gate.Done && !e.lapsed {
			k.w.checkDone(k, e)
		}

		return true
	})
}

func (k *worker) listing() gate.Listing {
	l := gate.Listing{
		Incarnation: gate.Incarnation{
			ID:   k.id,
			Born: k.born,
		},
		Clock: k.clock().Truncate(time.Millisecond),
	}

	for _, t := range sortedTasks(k.runs) {
		run := gate.Run{
			Task:    t,
			Attempt: k.runs[t].attempt,
		}
		if k.w.faults.checkpoints {
			run.Checkpoint = k.runs[t].checkpoint(t, k.w.now)
		}

		l.Running = append(l.Running, run)
	}

	for _, e := range k.ends {
		l.Ended = append(l.Ended, e.End)

		if _, listed := k.w.listedAt[e.Task]; !listed && e.Reason == gate.Done && k.w.onlyLeaving {
			k.w.listedAt[e.Task] = k.w.now
		}
	}

	return l
}

func sortedTasks[V any](m map[job.TaskID]V) []job.TaskID {
	var list []job.TaskID
	for t := range m {
		list = append(list, t)
	}

	slices.SortFunc(list, compareTasks)

	return list
}

func compareTasks(a, b job.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// checkStart checks a start: the task must run nowhere else, must not be done, and must
// fit.
func (w *world) checkStart(k *worker, o gate.StartOrder) {
	w.logf("%s starts %v attempt %d", k.id, o.Task, o.Attempt)

	used := o.Size
	for _, r := range k.runs {
		used = used.Add(r.size)
	}

	if used.MilliCores > workerCapacity {
		w.violate("%s is over its capacity with %v attempt %d", k.id, o.Task, o.Attempt)
	}

	for _, other := range w.workers {
		other.expire()

		if r := other.runs[o.Task]; r != nil {
			w.violate("%v attempt %d starts on %s while attempt %d runs on %s", o.Task, o.Attempt, k.id, r.attempt, other.id)
		}
	}

	if at, ok := w.doneAt[o.Task]; ok {
		w.violate("%v attempt %d starts on %s after it was done at %v", o.Task, o.Attempt, k.id, at)
	}

	// Before this worker began or had its last end, there may have been no room.
	if at, ok := w.listedAt[o.Task]; ok && w.now-max(at, k.bornAt, k.endedAt) > maxRestartDelay {
		w.violate("%v attempt %d starts on %s long after its success was listed at %v", o.Task, o.Attempt, k.id, at)
	}

	w.lastStart[o.Task] = w.now
	w.begun[o.Task.Job] = true
}

// checkResumption checks that a start resumes from a checkpoint of its own task, and returns the
// seconds of work in it.
func (w *world) checkResumption(o gate.StartOrder) int {
	if o.Checkpoint == "" {
		return 0
	}

	task, done, ok := strings.Cut(o.Checkpoint, "@")

	seconds, err := strconv.Atoi(done)
	if !ok || err != nil || task != o.Task.String() {
		w.violate("%v attempt %d starts with the checkpoint %q", o.Task, o.Attempt, o.Checkpoint)

		return 0
	}

	w.resumptions++

	return seconds
}

// checkDone checks an end that is taken note of: the task must not have started since.
func (w *world) checkDone(k *worker, e workerEnd) {
	w.doneAt[e.Task] = e.at

	if w.lastStart[e.Task] > e.at {
		w.violate("the end of %v attempt %d on %s at %v is taken note of, but it started again at %v", e.Task, e.Attempt, k.id, e.at, w.lastStart[e.Task])
	}
}
