package gate

import "time"

// RaiseToken raises the fencing token above its current value and to at least the
// sum of the worker's start time and clock in milliseconds. That is mostly higher than
// any earlier token. Where it is not, because an earlier sidecar process kept the higher
// token of an earlier incarnation, see HandleFenced.
func (g *Gate) RaiseToken(clock time.Duration) {
	g.Token = max(g.Token+1, g.Worker.Born+max(clock, g.clock).Milliseconds())
}

const (
	// fencedStepMS is added to a token that the worker fenced off, in milliseconds, and
	// doubles with each such call, up to maxFencedDoublings times: the clocks of two
	// incarnations may differ by any amount.
	fencedStepMS       = 3_600_000
	maxFencedDoublings = 20
)

// HandleFenced raises the token after the worker fenced a call off: it knows a higher
// token than that of the call, which is not known here if the call had the latest one.
func (g *Gate) HandleFenced(now time.Duration, token int64, clock time.Duration) {
	latest := token > 0 && token == g.Token

	g.ObserveClock(now, clock)
	g.RaiseToken(clock)

	if latest {
		g.Token += fencedStepMS << min(g.fencedCalls, maxFencedDoublings)
		g.fencedCalls++
	}
}

// HandleUnfenced raises the token after a listing that was requested without one. Calls with
// the raised token fence off the orders of earlier sidecar processes.
func (g *Gate) HandleUnfenced(now time.Duration, l Listing) {
	if l.Incarnation == g.Worker.Incarnation {
		g.ObserveClock(now, l.Clock)
	}

	g.RaiseToken(l.Clock)
}
