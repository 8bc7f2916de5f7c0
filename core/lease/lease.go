// Package lease has the rules for the leader's lease. Two rows of one part of the
// store name the leader: the term, which changes with each leader and is a
// condition of all of the leader's transactions, and the lease, which the leader
// renews. Expiry times are on the store's monotonic clock.
//
// # Usage
//
//	c := lease.Clock{}
//	c.Observe(sent, stamp.Clock)                        // with every response of the store
//	expiry := c.Latest(now) + lease.Duration
//	if lease.Holds(&c, now, expiry) { … }               // may act
//	if lease.Free(record, name, boot, reading) { … }    // may be taken over
package lease

import "time"

const (
	// Duration is the time from a renewal to the expiry of a lease. After the loss
	// of a leader no task starts for this long; with a shorter lease, slow calls of
	// the store would cost the leader its lease.
	Duration = 2500 * time.Millisecond
	// RenewInterval is the time between two renewals. Three fit into a lease.
	RenewInterval = 800 * time.Millisecond
	// ClockMargin is the time between the moment when a leader stops acting on its
	// lease and the moment when another process may take the lease. Over a lease,
	// clocks drift apart by up to 2%.
	ClockMargin = 150 * time.Millisecond
)

const (
	// strongerFactor is the least ratio of a process's share of a core to another's
	// at which it is preferred as the leader. A change of leaders holds up starts for
	// half a second.
	strongerFactor = 2
	// TakeoverDelay is how long a process leaves a free lease to stronger
	// processes. They poll the lease twice in this time.
	TakeoverDelay = 800 * time.Millisecond
	// YieldAfter is how long a stronger process must have been connected before a
	// leader yields the lease to it. After this time the users consider a process
	// stable.
	YieldAfter = 3 * time.Second
	// MinYieldInterval is the minimum time between two yields of a process, since
	// the stronger process may be unable to reach the store.
	MinYieldInterval = time.Minute
)

// Stronger reports whether a process with the first share of a core should lead
// rather than one with the second. A share of 0 means unknown, and the result is
// then false.
func Stronger(share, than float64) bool {
	return than > 0 && share >= strongerFactor*than
}

// Record is the stored lease.
type Record struct {
	Holder string
	// Boot identifies the holder's incarnation: it changes when the process restarts.
	Boot string
	Term int64
	// Expiry is the time of expiry on the store's monotonic clock.
	Expiry time.Duration
}

// driftDivisor is the reciprocal of the greatest drift between two clocks: 1/50.
const driftDivisor = 50

// Clock estimates the store's monotonic clock from the store's responses.
type Clock struct {
	sent    time.Duration
	reading time.Duration
	known   bool
}

// Observe records a reading of the store's clock from the response to a call
// sent at the local time sent. Each reading gives an upper bound, which is loose if the
// answer took long; the lowest one is kept, until drift has made it looser than a new
// one. A slow answer must not shorten the leader's right to act.
func (c *Clock) Observe(sent, reading time.Duration) {
	if c.known && c.Latest(sent) < reading {
		return
	}

	*c = Clock{
		sent:    sent,
		reading: reading,
		known:   true,
	}
}

// Known reports whether a reading has been observed.
func (c *Clock) Known() bool { return c.known }

// Latest returns the upper bound of the store's clock at the local time now.
func (c *Clock) Latest(now time.Duration) time.Duration {
	age := now - c.sent

	return c.reading + age + age/driftDivisor
}

// Wait returns how long to wait, on a local clock, after the store's clock has shown reading until it
// certainly shows end. It is not positive if end has passed.
func Wait(reading, end time.Duration) time.Duration {
	// The local clock may be the faster one.
	return (end - reading) * driftDivisor / (driftDivisor - 1)
}

// Holds reports whether the holder of a lease that expires at expiry, on the
// store's clock, may act on it at the local time now.
func Holds(c *Clock, now, expiry time.Duration) bool {
	return c.known && c.Latest(now)+ClockMargin < expiry
}

// Free reports whether the process named holder, in the incarnation boot, may take
// the lease when the store's clock reads reading. A restarted process takes over the
// lease of its previous incarnation at once.
func Free(r Record, holder, boot string, reading time.Duration) bool {
	if r.Holder == holder && r.Boot != boot {
		return true
	}

	return reading >= r.Expiry
}
