// Package lease decides who leads. The leader is named by two rows of one part:
// the term, which changes with each leader and on which all of the leader's
// transactions depend, and the lease, which the leader renews. Expiry is a
// reading of the store's steady clock.
//
// # Usage
//
//	c := lease.Clock{}
//	c.Observe(sent, stamp.Clock)          // with every answer of the store
//	expiry := c.Latest(now) + lease.Duration
//	if lease.Holds(c, now, expiry) { … }  // may act
//	if lease.Free(record, storeNow) { … } // may be taken over
package lease

import "time"

const (
	// Duration is how long a lease lasts after a renewal. A lost leader costs
	// this much in new starts; a shorter one is lost to a slow store.
	Duration = 2500 * time.Millisecond
	// RenewInterval is the time between two renewals: three fit into a lease.
	RenewInterval = 800 * time.Millisecond
	// ClockMargin is kept between the end of a leader's right to act and the moment
	// when another may take over: clocks differ by up to 2% over a lease.
	ClockMargin = 150 * time.Millisecond
)

const (
	// strongerBy is how many times as much processor time a process must have to
	// be preferred as a leader: a change of leaders costs half a second of starts.
	strongerBy = 2
	// TakeoverDelay is how long a process leaves a free lease to stronger ones: they
	// look twice in this time.
	TakeoverDelay = 800 * time.Millisecond
	// YieldAfter is how long a stronger process must have been connected before a
	// leader resigns in its favour: the time after which the users count it as calm.
	YieldAfter = 3 * time.Second
	// MinYieldInterval is the least time between two such resignations of a process: a
	// stronger one may be unable to reach the store.
	MinYieldInterval = time.Minute
)

// Stronger reports whether a process with a share of a core should lead rather
// than one with another share. Shares of 0 are not known.
func Stronger(share, than float64) bool {
	return than > 0 && share >= strongerBy*than
}

// Record is the row of the lease.
type Record struct {
	Holder string
	// Boot is the process of the holder: a restarted holder is another one.
	Boot string
	Term int64
	// Expiry is a reading of the store's steady clock.
	Expiry time.Duration
}

// Clock estimates the store's steady clock from its answers.
type Clock struct {
	sent    time.Duration
	reading time.Duration
	known   bool
}

// Observe takes in a reading that answered a call sent at a local time.
func (c *Clock) Observe(sent, reading time.Duration) {
	if c.known && c.reading-c.sent >= reading-sent {
		// The earlier reading gives the later estimate, which is the safe one.
		return
	}

	*c = Clock{
		sent:    sent,
		reading: reading,
		known:   true,
	}
}

// Known reports whether there was a reading.
func (c *Clock) Known() bool { return c.known }

// Latest is the latest that the store's clock can show at a local time.
func (c *Clock) Latest(now time.Duration) time.Duration {
	return c.reading + now - c.sent
}

// Holds reports whether a holder may act on a lease at a local time.
func Holds(c *Clock, now, expiry time.Duration) bool {
	return c.known && c.Latest(now)+ClockMargin < expiry
}

// Free reports whether another process may take the lease at a reading of the
// store's clock. A process takes over from its own earlier life at once.
func Free(r Record, holder, boot string, reading time.Duration) bool {
	if r.Holder == holder && r.Boot != boot {
		return true
	}

	return reading >= r.Expiry
}
