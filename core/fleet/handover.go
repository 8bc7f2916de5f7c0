package fleet

import "time"

// LeasesLeft returns the longest time for which leases may still last on nodes, 0 where nothing runs. It
// leaves out those in contact whose workers run something. A leader that gives its term up passes it on to
// its successor. It returns false before AwaitReports is called.
//
// The load that it answers is a series of leaders of which none leads for MaxLeaseTime: each would wait
// anew for nodes that are gone, and no task of a loaded job would start meanwhile.
func (f *Fleet) LeasesLeft(now time.Duration) (map[string]time.Duration, bool) {
	if !f.nodesKnown {
		return nil, false
	}

	f.awaitsReports(now)
	f.expireRuns(now)

	left := map[string]time.Duration{}

	for _, w := range f.sortedWorkers {
		if d := w.leasesLeft(now); d == 0 || !w.connected {
			left[w.node] = d
		}
	}

	for n := range f.idle {
		left[n] = 0
	}

	for n := range f.absent {
		left[n] = 0
	}

	// The worker of such a node may be known from a report that was not full.
	for n, deadline := range f.unreported {
		left[n] = deadline - now
	}

	return left, true
}
