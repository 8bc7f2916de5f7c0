package speed

import (
	"slices"
	"time"
)

// Judge decides anew on the workers with new evidence and those that are slow or on trial, and
// returns those that turned slow or no longer are, in no order.
func (t *Tracker) Judge(now time.Duration) []Change {
	var changes []Change

	for name := range t.changed {
		n := t.nodes[name]
		n.expire(now)

		if n.state == sound && !t.suspected(now, n) {
			delete(t.changed, name)

			continue
		}

		if c, ok := t.judge(now, name, n); ok {
			changes = append(changes, c)
		}

		if n.state == sound {
			delete(t.changed, name)
		}
	}

	t.sweep(now)

	return changes
}

// judge decides on one worker and reports whether its state changed from or to slow.
func (t *Tracker) judge(now time.Duration, name string, n *node) (Change, bool) {
	was, since := n.state, n.since
	e, recent := t.evidence(now, n, evidenceDecay), t.evidence(now, n, recentDecay)

	if recent.slow() || (was == slow && recent.sound()) {
		e = recent
	}

	switch {
	case e.slow():
		n.enter(now, slow)

		return Change{
			Node:     name,
			Slow:     true,
			Evidence: e,
			Since:    e.earliest,
		}, was != slow
	case was == slow && e.sound():
		n.enter(now, sound)
	case was == slow && (e.Weight < leastWeight || e.Speed > threshold):
		n.enter(now, onTrial)
	case was == onTrial && (now >= n.since+trialLife || t.passed(n)):
		n.enter(now, sound)
	default:
	}

	return Change{
		Node:     name,
		Evidence: e,
		Since:    since,
	}, was == slow && n.state != slow
}

func (n *node) enter(now time.Duration, s state) {
	if n.state != s {
		n.state, n.since = s, now
	}
}

// passed reports whether enough of what was seen since the start of a trial shows that the worker
// is not slow.
func (t *Tracker) passed(n *node) bool {
	passed := 0

	for _, r := range n.runs {
		if r.at <= n.since {
			continue
		}

		if d, ok := r.deviation(); ok && d > logThreshold {
			passed++
		}
	}

	return passed >= trialRuns
}

// expire drops the runs that ended too long ago.
func (n *node) expire(now time.Duration) {
	n.runs = slices.DeleteFunc(n.runs, func(r *run) bool { return r.ended && now >= r.at+evidenceLife })
}

// sweep drops the steps that have neither runs nor recent evidence, and workers likewise.
func (t *Tracker) sweep(now time.Duration) {
	if now < t.sweptAt+sweepInterval {
		return
	}

	t.sweptAt = now

	for s, g := range t.steps {
		if g.running == 0 && now >= g.changedAt+evidenceLife {
			delete(t.steps, s)
		}
	}

	for name, n := range t.nodes {
		n.expire(now)

		if len(n.runs) == 0 && n.state == sound {
			delete(t.nodes, name)
			delete(t.changed, name)
		}
	}
}
