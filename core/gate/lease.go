package gate

import "time"

// assumeLongestLease sets the deadline of leases that this process may not have granted:
// an earlier process did, or an order in flight did in a new incarnation.
func (g *Gate) assumeLongestLease() {
	g.leaseDeadline = g.clock + MaxLeaseExtension
}

// Authorize records that a leader held its lease at a local time. Leases are
// extended to at most MaxLeaseExtension after the last such time.
func (g *Gate) Authorize(at time.Duration) {
	g.authorizedAt = max(g.authorizedAt, at)
	g.authorized = true
}

// ExtendLease returns the lease deadline to send with a call, or 0 to extend nothing.
// The lease counts as granted from now on, because the call may take effect without
// being answered.
func (g *Gate) ExtendLease(now time.Duration) time.Duration {
	d := g.nextDeadline(now)
	g.leaseDeadline = max(g.leaseDeadline, d)

	return d
}

func (g *Gate) nextDeadline(now time.Duration) time.Duration {
	if !g.authorized || !g.Answering || g.unnamed {
		// A worker that does not answer, or lists what can't be decoded, is only probed, so
		// that its leases lapse.
		return 0
	}

	limit := min(g.authorizedAt+MaxLeaseExtension, now+LeaseExtension)
	if limit <= now {
		return 0
	}

	return g.clock + limit - g.clockReadAt
}

// ObserveClock records a reading of the worker's clock that arrived at a local time.
func (g *Gate) ObserveClock(now, reading time.Duration) {
	if reading <= g.clock {
		return
	}

	first := g.clock == 0
	g.clock, g.clockReadAt = reading, now

	if first {
		// The deadline so far was not on this clock.
		g.assumeLongestLease()
	}
}

// LeaseState is what the gate knows about the leases of the worker's runs, for logs.
type LeaseState struct {
	// Left is the time from the last reading of the worker's clock to the latest deadline.
	Left time.Duration
	// ReadingAge is the age of that reading.
	ReadingAge time.Duration
	// AuthorizedAge is the time since a leader was known to hold its lease. It is only
	// meaningful if Authorized is set.
	AuthorizedAge time.Duration
	Authorized    bool
}

// Lease returns what is known about the leases at a local time.
func (g *Gate) Lease(now time.Duration) LeaseState {
	return LeaseState{
		Left:          g.leaseDeadline - g.clock,
		ReadingAge:    now - g.clockReadAt,
		AuthorizedAge: now - g.authorizedAt,
		Authorized:    g.authorized,
	}
}

// leasesLapsed reports whether all leases have expired on the worker's clock, which
// may be slow.
func (g *Gate) leasesLapsed(now time.Duration) bool {
	left := g.leaseDeadline - g.clock

	return now-g.clockReadAt > left+left/ClockDriftDivisor+100*time.Millisecond
}
