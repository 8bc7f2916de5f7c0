package gate

import "time"

// lapseMargin is how far the worker's clock must be past the last deadline before its leases
// count as lapsed: it ends the runs a little later.
const lapseMargin = 100 * time.Millisecond

// handleUnreadable applies what can't be decoded of a listing that was requested at the time
// sent. An end among it may be the success of any run that isn't listed, and a run one that the
// leader doesn't know of: neither can be named to the leader. So nothing is admitted, no lease
// is extended and no such end is acknowledged until the leases have lapsed. Then nothing
// runs, and the end of a run no longer counts. A truncated listing may lack what the one before had.
func (g *Gate) handleUnreadable(sent time.Duration, l Listing) {
	g.unnamed = len(l.UnreadableEnds) > 0 ||
		l.UnreadableRuns > 0 && l.UnreadableRuns > g.unlistedRuns(sent, l) ||
		g.unnamed && l.Truncated
	g.Synced = g.Synced && !g.unnamed
	g.heldEnd = 0

	lapsed := l.Clock > g.leaseDeadline+lapseMargin

	for _, n := range l.UnreadableEnds {
		n = max(n, g.acknowledged+1)

		if !lapsed {
			g.heldEnd = n

			return
		}

		g.lapsedEnd = max(g.lapsedEnd, n)
	}
}

// unlistedRuns returns the number of runs that the worker has and that a listing lacks, of
// which each may be one that can't be decoded.
func (g *Gate) unlistedRuns(sent time.Duration, l Listing) int {
	n := 0

	for _, e := range g.Runs {
		if e.Phase == Confirmed && e.confirmedAt < sent {
			n++
		}
	}

	for _, r := range l.Running {
		if e := g.Runs[r.Task]; e != nil && e.Phase == Confirmed && e.confirmedAt < sent {
			n--
		}
	}

	return n
}

// EndToAcknowledge returns the number of the last end that the worker should be told
// to forget, or 0 for none. The worker may have restarted under its ID and number its
// ends from 1 again, so each number is sent once, and only after an answered call.
func (g *Gate) EndToAcknowledge() int64 {
	n := g.Recorded

	if len(g.Unrecorded) == 0 || g.Unrecorded[0].Number > g.lapsedEnd {
		n = max(n, g.lapsedEnd)
	}

	if g.heldEnd > 0 {
		n = min(n, g.heldEnd-1)
	}

	if !g.Answering || n <= g.acknowledged {
		return 0
	}

	return n
}
