package fleet_test

import "time"

const (
	pendingPeriod = 250 * time.Millisecond
	// visibleAfter is when a job must count as pending, and calmFor how long a leader must not
	// have been disturbed.
	visibleAfter = 5 * time.Second
	calmFor      = 3 * time.Second
)

// checkPending checks that no leader says that fewer than half of the jobs wait that were
// accepted a while ago and of which no task has started.
func (w *world) checkPending() {
	w.at(w.now+pendingPeriod, w.checkPending)

	waiting := 0

	for _, j := range w.jobs {
		if w.now-j.accepted > visibleAfter && !w.begun[j.record.ID] {
			waiting++
		}
	}

	for _, e := range w.entries {
		l := e.leader
		if l == nil || !l.loaded || l.over || !e.calm() {
			continue
		}

		if n := l.fleet.Pending(""); 2*n < waiting {
			w.violate("%s, term %d, says that %d jobs wait; %d do", e.name, l.term, n, waiting)
		}
	}
}

// calm reports whether a process has run and reached the store for a while.
func (p *process) calm() bool {
	return p.alive && p.w.now-max(p.begunAt, p.pausedUntil, p.w.cutUntil[[2]string{p.name, "store"}]) > calmFor
}
