// Package breaker implements a circuit breaker for the calls to a dependency. It opens
// after consecutive failures and closes once a call succeeds. It has no half-open
// state: its owner probes the dependency while the breaker is open.
//
// # Usage
//
//	if since, open := b.Open(); open { … refuse … }
//	b.Report(now, err == nil)
//
// Times are durations on the owner's clock, from any fixed start.
package breaker

import "time"

// failuresToOpen is the number of consecutive failures that open the breaker. A
// single lost answer is no outage.
const failuresToOpen = 2

// Breaker is the circuit breaker of one dependency. Its zero value is closed. It
// is not safe for concurrent use.
type Breaker struct {
	failures int
	since    time.Duration
}

// Open returns whether the breaker is open and, if it is, the time at which it
// opened.
func (b *Breaker) Open() (time.Duration, bool) {
	return b.since, b.failures >= failuresToOpen
}

// Report records whether a call succeeded. It returns whether that opened or
// closed the breaker.
func (b *Breaker) Report(now time.Duration, ok bool) bool {
	_, wasOpen := b.Open()

	if ok {
		b.failures = 0

		return wasOpen
	}

	b.failures++

	if _, open := b.Open(); open && !wasOpen {
		b.since = now

		return true
	}

	return false
}
