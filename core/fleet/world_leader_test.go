package fleet_test

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"trefoildeck/core/backlog"
	"trefoildeck/core/fleet"
	"trefoildeck/core/job"
	"trefoildeck/core/lease"
	"trefoildeck/io/rows"
)

// The times of packages coordinator and peer.
const (
	retryPause     = 100 * time.Millisecond
	scheduleDelay  = 5 * time.Millisecond
	flushDelay     = 20 * time.Millisecond
	batchRows      = 45
	batchBytes     = 512 << 10
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// entry is a process that leads while it holds the lease, as package coordinator does.
type entry struct {
	process
	clock  lease.Clock
	leader *leader
}

// leader drives a fleet during one term.
type leader struct {
	e        *entry
	term     int64
	fleet    *fleet.Fleet
	links    map[string]*link
	versions map[string]int64
	jobs     int64
	// record, termVersion and leaseVersion are the state of the lease.
	record                    lease.Record
	termVersion, leaseVersion int64

	over, loaded         bool
	resigning, resigned  bool
	committing           bool
	committers           []func()
	passing, passAgain   bool
	timer                int
	flushing, flushAgain bool
	absences             fleet.Absences
	// handedOver is that of package coordinator.
	handedOver map[string]time.Duration
}

// link keeps a session with an agent open.
type link struct {
	agent     *agent
	life      int
	session   *session
	cancelled bool
	redial    time.Duration
	// held and returning are those of package coordinator.
	held, returning bool
}

func (e *entry) start() {
	e.begin()
	e.clock, e.leader = lease.Clock{}, nil
	e.w.logf("%s begins", e.name)
	e.elect()
}

func (e *entry) boot() string { return string(rune('a' + e.life)) }

func (e *entry) call(run func() stamp, done func(stamp)) {
	sent := e.w.now

	e.callStore(run, func(r stamp) {
		if r.clock > 0 {
			e.clock.Observe(sent, r.clock)
		}

		done(r)
	})
}

func (e *entry) elect() {
	e.after(e.w.between(200*time.Millisecond, 400*time.Millisecond), func() {
		if e.leader != nil {
			return
		}

		l := &leader{e: e}

		l.readLease(func(r stamp) {
			if r.err != nil || !lease.Free(l.record, e.name, e.boot(), r.clock) {
				e.elect()

				return
			}

			l.acquire()
		})
	})
}

func (l *leader) readLease(done func(stamp)) {
	w := l.e.w

	var (
		record          lease.Record
		termAt, leaseAt int64
	)

	l.e.call(func() stamp {
		record, termAt, leaseAt = w.store.record, w.store.versions["term"], w.store.versions["lease"]

		return stamp{clock: w.now}
	}, func(r stamp) {
		if r.err == nil {
			l.record, l.termVersion, l.leaseVersion = record, termAt, leaseAt
		}

		done(r)
	})
}

// putLease writes the lease if nobody has written it since it was read.
func (l *leader) putLease(record lease.Record, newTerm bool, done func(stamp), more ...func()) {
	w := l.e.w
	expected := map[string]int64{
		"term":  l.termVersion,
		"lease": l.leaseVersion,
	}

	l.e.call(func() stamp {
		return w.commit(expected, func() {
			w.store.record = record
			w.store.versions["lease"] = w.store.version

			if newTerm {
				w.store.versions["term"] = w.store.version
			}

			for _, write := range more {
				write()
			}
		})
	}, func(r stamp) {
		if r.err == nil {
			l.record, l.leaseVersion = record, r.version
			if newTerm {
				l.termVersion = r.version
			}
		}

		done(r)
	})
}

func (l *leader) acquire() {
	e := l.e
	record := lease.Record{
		Holder: e.name,
		Boot:   e.boot(),
		Term:   l.record.Term + 1,
		Expiry: e.clock.Latest(e.w.now) + lease.Duration,
	}

	l.putLease(record, true, func(r stamp) {
		if r.err != nil {
			e.elect()

			return
		}

		l.term, l.fleet = record.Term, fleet.New(record.Term)
		l.fleet.LookAhead = e.w.faults.crowded
		if e.w.faults.preemption {
			l.fleet.Order, l.fleet.Preemption = backlog.Fair, true
		}

		if e.w.faults.checkpoints {
			l.fleet.CheckpointInterval = time.Second
		}

		if e.w.faults.smallRows {
			l.fleet.RowBytes = 1 << 10
		}

		l.links, l.versions = map[string]*link{}, map[string]int64{}
		e.leader = l
		e.w.logf("%s leads in term %d", e.name, l.term)
		l.renew(lease.RenewInterval)
		l.load()
	})
}

// after runs a function after a duration, unless the term has ended by then.
func (l *leader) after(d time.Duration, run func()) {
	l.e.after(d, func() {
		if !l.over {
			run()
		}
	})
}

func (l *leader) end(reason string) {
	if l.over {
		return
	}

	l.e.w.logf("%s ends term %d: %s", l.e.name, l.term, reason)
	l.over = true

	for _, name := range slices.Sorted(maps.Keys(l.links)) {
		l.cancel(l.links[name])
	}

	l.e.leader = nil
	l.e.elect()
}

func (l *leader) leaseValid() bool { return lease.Holds(&l.e.clock, l.e.w.now, l.record.Expiry) }

func (l *leader) holdsLease() bool { return !l.resigned && l.leaseValid() }

func (l *leader) renew(wait time.Duration) {
	l.after(wait, func() {
		record := l.record
		record.Expiry = l.e.clock.Latest(l.e.w.now) + lease.Duration

		l.putLease(record, false, func(r stamp) {
			again := func() {
				if !l.leaseValid() {
					l.end("lease expired")
				} else {
					l.renew(retryPause)
				}
			}

			switch {
			case l.over:
			case r.err == nil:
				l.renew(lease.RenewInterval)
			case errors.Is(r.err, rows.ErrUnknown):
				l.after(retryPause, func() { l.reread(again) })
			default:
				l.reread(again)
			}
		})
	})
}

func (l *leader) reread(again func()) {
	l.readLease(func(r stamp) {
		switch {
		case l.over:
		case r.err == nil && (l.record.Term != l.term || l.record.Boot != l.e.boot()):
			l.end("superseded")
		default:
			again()
		}
	})
}

// resign writes pending changes once more, then releases the lease.
func (l *leader) resign(done func()) {
	if l.resigning || l.over {
		return
	}

	l.resigning = true
	l.commit(func(bool, error) {
		l.resigned = true
		record := l.record
		record.Expiry = 0
		// A renewal may be under way, so the leader's own record stays as it is.
		copied := *l

		copied.putLease(record, false, func(stamp) {
			l.end("resigned")
			done()
		}, l.handOver())
	})
}

// load reads the progress, then the jobs, and then connects to the agents.
func (l *leader) load() {
	w := l.e.w

	var progress map[string][]byte

	l.e.call(func() stamp {
		progress = maps.Clone(w.store.progress)

		for id := range progress {
			l.versions[id] = w.store.versions[id]
		}

		return stamp{clock: w.now}
	}, func(r stamp) {
		if r.err != nil {
			l.after(retryPause, l.load)

			return
		}

		l.loadJobs(progress)
	})
}

func (l *leader) loadJobs(progress map[string][]byte) {
	w := l.e.w

	var (
		list    []jobRow
		version int64
	)

	l.e.call(func() stamp {
		list, version = slices.Clone(w.jobs), w.store.version

		return stamp{clock: w.now}
	}, func(r stamp) {
		switch {
		case l.over:
			return
		case r.err != nil:
			l.after(retryPause, func() { l.loadJobs(progress) })

			return
		}

		stored := map[string][]fleet.StoredRow{}

		for _, key := range slices.Sorted(maps.Keys(progress)) {
			id := fleet.JobOfRow(key)
			stored[id] = append(stored[id], fleet.StoredRow{
				Key:   key,
				Value: progress[key],
			})
		}

		for _, j := range list {
			if err := l.fleet.Load(w.now, 0, j.record, stored[j.record.ID], false); err != nil {
				panic(err)
			}
		}

		l.loadAbsences(func() {
			l.loaded, l.jobs = true, version
			l.watchJobs()
			l.watchNodes(true)
			l.watchAbsences()
			l.setTimer(lease.Duration)
		})
	})
}

func (l *leader) watchJobs() {
	w := l.e.w

	l.after(w.between(50*time.Millisecond, 400*time.Millisecond), func() {
		var (
			list    []jobRow
			version int64
		)

		l.e.call(func() stamp {
			list, version = slices.Clone(w.jobs), w.store.version

			return stamp{clock: w.now}
		}, func(r stamp) {
			if r.err == nil && !l.over {
				for _, j := range list {
					if j.version > l.jobs {
						l.addJob(j.record)
					}
				}

				l.jobs = version
			}

			l.after(0, l.watchJobs)
		})
	})
}

// addJob applies a job's row, from the feed or from the entry that wrote it.
func (l *leader) addJob(r job.Record) {
	if l.loaded && l.fleet.Add(l.e.w.now, 0, r) {
		l.e.w.logf("%s, term %d, sees job %s", l.e.name, l.term, r.ID)
	}

	l.wake()
}

func (l *leader) watchNodes(first bool) {
	w := l.e.w

	var nodes map[string]int

	l.e.call(func() stamp {
		nodes = maps.Clone(w.store.nodes)

		return stamp{clock: w.now}
	}, func(r stamp) {
		if r.err == nil && !l.over {
			names := slices.Sorted(maps.Keys(nodes))

			for _, name := range names {
				l.applyNode(name, nodes[name])
			}

			if first {
				first = false
				// The links are open before the last row is applied.
				l.after(w.delay(), func() {
					l.fleet.AwaitReports(w.now, names, l.absences.Listed(), l.handedOver)
					l.wake()
				})
			}
		}

		l.after(w.between(50*time.Millisecond, 400*time.Millisecond), func() { l.watchNodes(first) })
	})
}

func (l *leader) applyNode(name string, life int) {
	if old := l.links[name]; old != nil {
		if old.life == life {
			return
		}

		l.cancel(old)
		l.fleet.Disconnected(name)
	}

	i := slices.IndexFunc(l.e.w.agents, func(a *agent) bool { return a.name == name })
	n := &link{
		agent:  l.e.w.agents[i],
		life:   life,
		redial: minRedialDelay,
	}
	l.links[name] = n
	l.dial(n)
}

func (l *leader) cancel(n *link) {
	n.cancelled = true

	if n.session != nil {
		n.session.close(leaderSide)
	}
}

func (l *leader) dial(n *link) {
	w, a := l.e.w, n.agent

	l.after(w.delay(), func() {
		if n.cancelled {
			return
		}

		if !a.alive || w.cut(l.e.name, a.name) {
			l.redial(n)

			return
		}

		s := &session{
			w:    w,
			term: l.term,
			ends: [2]*process{&l.e.process, &a.process},
		}
		s.onClose[leaderSide] = func() { l.dropSession(n, s) }
		s.onClose[agentSide] = func() { a.dropLeader(s) }
		w.sessions = append(slices.DeleteFunc(w.sessions, func(s *session) bool { return s.closed[0] && s.closed[1] }), s)
		n.session = s
		n.held = l.absences.MayList(a.name)
		s.watch(leaderSide, minProbes+w.random.IntN(maxProbes-minProbes+1), 0)
		s.watch(agentSide, minProbes+w.random.IntN(maxProbes-minProbes+1), 0)
		s.send(agentSide, func() { a.acceptLeader(s) })
	})
}

func (l *leader) redial(n *link) {
	d := l.e.w.between(n.redial/2, 3*n.redial/2)
	n.redial = min(2*n.redial, maxRedialDelay)
	l.after(d, func() { l.dial(n) })
}

func (l *leader) dropSession(n *link, s *session) {
	if n.session == s {
		n.session = nil
	}

	if l.links[n.agent.name] == n {
		l.fleet.Disconnected(n.agent.name)
	}

	l.wake()

	if !n.cancelled {
		n.redial = minRedialDelay
		l.redial(n)
	}
}

// receiver returns the leader at the other end of an agent's session. Its term may be
// over.
func (w *world) receiver(s *session) *leader {
	for _, e := range w.entries {
		if &e.process == s.ends[leaderSide] && e.leader != nil && e.leader.term == s.term {
			return e.leader
		}
	}

	return &leader{over: true}
}

func (l *leader) current(a *agent, s *session) bool {
	n := l.links[a.name]

	return !l.over && n != nil && n.session == s && !n.held
}

func (l *leader) handlePing(a *agent, s *session, n uint64) {
	if !l.current(a, s) || !l.holdsLease() {
		return
	}

	l.e.pauseInside()
	l.after(0, func() {
		if !l.fleet.RecordContact(l.e.w.now, a.name) {
			return
		}

		s.send(agentSide, func() {
			if a.leader == s {
				a.handlePong(n)
			}
		})
	})
}

func (l *leader) handleReport(a *agent, s *session, r fleet.Report) {
	if l.current(a, s) {
		l.links[a.name].returning = false
		l.fleet.Report(l.e.w.now, a.name, r)
		l.wake()
	}
}

func (l *leader) wake() {
	if l.over || l.passing {
		l.passAgain = true

		return
	}

	l.passing = true

	l.after(scheduleDelay, func() {
		l.passing = false
		l.pass()

		if l.passAgain {
			l.passAgain = false
			l.wake()
		}
	})
}

func (l *leader) setTimer(d time.Duration) {
	l.timer++
	n := l.timer

	l.after(d, func() {
		if l.timer == n {
			l.pass()
		}
	})
}

// pass runs a scheduling pass. The leader may pause before it sends the orders.
func (l *leader) pass() {
	if !l.loaded {
		return
	}

	if !l.holdsLease() {
		l.setTimer(lease.RenewInterval)

		return
	}

	now := l.e.w.now
	orders := l.fleet.Schedule(now, time.Time{})

	for _, r := range l.fleet.Reservations() {
		l.e.w.logf("%s, term %d, reserves %s for %v", l.e.name, l.term, r.Node, r.Task)
	}

	if next := l.fleet.NextWake(now); next > 0 {
		l.setTimer(next - now)
	}

	if l.fleet.Changed() {
		l.flush()
	}

	if len(orders) > 0 {
		l.e.pauseInside()
		l.after(0, func() { l.dispatch(orders) })
	}
}

func (l *leader) dispatch(orders map[string]*fleet.Orders) {
	for _, name := range slices.Sorted(maps.Keys(orders)) {
		o := orders[name]

		for _, s := range o.Starts {
			l.e.w.logf("%s, term %d, orders %v attempt %d of %s", l.e.name, l.term, s.Task, s.Attempt, name)
		}

		if n := l.links[name]; n != nil && n.session != nil {
			s, a := n.session, n.agent
			s.send(agentSide, func() {
				if a.leader == s {
					a.handleOrders(o)
				}
			})
		}
	}
}

func (l *leader) flush() {
	if l.flushing {
		l.flushAgain = true

		return
	}

	l.flushing = true

	l.after(flushDelay, l.persist)
}

func (l *leader) persist() {
	l.commit(func(more bool, err error) {
		switch {
		case errors.Is(err, errSuperseded):
			l.end("superseded")
		case err != nil:
			l.after(retryPause, l.persist)
		case more || l.flushAgain:
			l.flushAgain = false
			l.after(0, l.persist)
		default:
			l.flushing = false
		}
	})
}

var (
	errSuperseded   = errors.New("superseded")
	errLeaseExpired = errors.New("lease expired")
)

// commit writes one batch, one after the other.
func (l *leader) commit(done func(more bool, err error)) {
	if l.committing {
		l.committers = append(l.committers, func() { l.commit(done) })

		return
	}

	if !l.loaded {
		done(false, nil)

		return
	}

	b, err := l.fleet.Changes(fleet.BatchLimits{
		Rows:  batchRows,
		Bytes: batchBytes,
	})
	if err != nil {
		panic(err)
	}

	if b.Empty() {
		done(false, nil)

		return
	}

	l.committing = true
	finish := func(err error) {
		l.committing = false

		if err != nil {
			l.fleet.Requeue(b)
		} else {
			l.acknowledge(b)
		}

		done(err != nil || l.fleet.Changed(), err)

		if len(l.committers) > 0 {
			next := l.committers[0]
			l.committers = l.committers[1:]
			next()
		}
	}

	if len(b.Rows) == 0 {
		if l.holdsLease() {
			finish(nil)
		} else {
			finish(errLeaseExpired)
		}

		return
	}

	l.commitProgress(b, finish)
}

func (l *leader) commitProgress(b fleet.Batch, finish func(error)) {
	w := l.e.w
	expected := map[string]int64{"term": l.termVersion}

	for _, row := range b.Rows {
		expected[row.Key] = l.versions[row.Key]
	}

	l.e.call(func() stamp {
		return w.commit(expected, func() {
			for _, row := range b.Rows {
				if row.Value == nil {
					delete(w.store.progress, row.Key)
					delete(w.store.versions, row.Key)

					continue
				}

				w.store.progress[row.Key] = row.Value
				w.store.versions[row.Key] = w.store.version
			}
		})
	}, func(r stamp) {
		switch {
		case l.over:
			return
		case errors.Is(r.err, rows.ErrConflict) && r.conflicts["term"] != expected["term"]:
			finish(errSuperseded)

			return
		}

		for _, row := range b.Rows {
			switch {
			case r.err == nil && row.Value == nil:
				delete(l.versions, row.Key)
			case r.err == nil:
				l.versions[row.Key] = r.version
			case r.conflicts != nil:
				l.versions[row.Key] = r.conflicts[row.Key]
			}
		}

		finish(r.err)
	})
}

// acknowledge tells the agents which ends are recorded.
func (l *leader) acknowledge(b fleet.Batch) {
	ends := l.fleet.Committed(b)
	slices.SortFunc(ends, func(x, y fleet.RecordedEnds) int { return cmp.Compare(x.Node, y.Node) })

	for _, e := range ends {
		if n := l.links[e.Node]; n != nil && n.session != nil {
			s, a := n.session, n.agent
			s.send(agentSide, func() {
				if a.leader == s {
					a.gate.MarkRecorded(e.Incarnation, e.Number)
					a.listNow.notify()
				}
			})
		}
	}
}
