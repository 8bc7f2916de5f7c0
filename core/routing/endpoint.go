package routing

import (
	"time"

	"trefoildeck/core/quantile"
)

// What is learnt from each request.
const (
	failureWeight    = 0.25
	initialLatency   = 10 * time.Millisecond
	minLatency       = 100 * time.Microsecond
	slowStartTime    = 5 * time.Second
	probationSuccess = 3
	minSlowSamples   = 10
)

// When an endpoint takes no more.
const (
	// maxShare bounds what one entry has at an endpoint, as a multiple of slots.
	maxShare = 2
	// fullTime is how long an endpoint that refused is left alone.
	fullTime = 10 * time.Millisecond
)

// When an endpoint rests, and for how long.
const (
	failureThreshold = 0.6
	slowFactor       = 3
	slowMargin       = 5 * time.Millisecond
	minRest          = time.Second
	maxRest          = 30 * time.Second
	restForgotten    = time.Minute
)

// state says whether an endpoint takes requests.
type state int

const (
	stateActive state = iota
	// stateProbation takes one request at a time after a rest.
	stateProbation
	stateResting
	// stateSilent is not heard of; it is taken for lost soon.
	stateSilent
	// stateOut is in a data centre that is out.
	stateOut
	stateGone
)

func (s state) String() string {
	return [...]string{"Active", "Probation", "Resting", "Silent", "Out", "Gone"}[s]
}

// endpoint is one row of a pool's table.
type endpoint struct {
	name       string
	group      int32
	position   int32
	generation uint32
	slots      int32
	state      state
	since      time.Time
	// inFlight counts the requests that this entry has at the endpoint.
	inFlight int32
	// others is the load that others put on it, by its own last report.
	others int32
	// reported is the load at the endpoint by its own last report.
	reported int32
	// latency is the median without the way there and back: rare late answers
	// say little of an endpoint.
	latency  quantile.Tracker
	failures float64
	samples  int32
	// successes counts answers since probation began.
	successes int32
	// fullUntil is when an endpoint that refused is asked again.
	fullUntil time.Time
	rest      time.Duration
	restUntil time.Time
	restedAt  time.Time
}

// usable is the number of slots to fill now: few at first, all later.
func (e *endpoint) usable(now time.Time) int32 {
	if e.state == stateProbation {
		return 1
	}

	age := now.Sub(e.since)
	if age >= slowStartTime {
		return e.slots
	}

	return max(1, int32(float64(e.slots)*(0.25+0.75*float64(age)/float64(slowStartTime))))
}

// load is the number of requests at the endpoint or on the way there and back.
func (e *endpoint) load() int32 {
	return e.inFlight + e.others
}

// full reports whether no request goes there now: the endpoint itself refused a
// moment ago, or this entry alone has too many there. What others put there is
// known too late to refuse by it. A further copy of a request may exceed that:
// its caller has waited already.
func (e *endpoint) full(now time.Time, usable int32, further bool) bool {
	return now.Before(e.fullUntil) || !further && e.inFlight >= maxShare*usable
}

// score is the expected time to an answer, without the way there.
func (e *endpoint) score(load, usable int32) time.Duration {
	busy := float64(load) / float64(usable)
	factor := 1 + 0.5*min(busy, 1)

	if load >= usable {
		factor += float64(load-usable+1) / float64(usable)
	}

	return time.Duration(float64(e.latency.Value()) * factor)
}

// learn updates the estimates from one result.
func (e *endpoint) learn(r Result, roundTrip time.Duration) {
	failed := 0.0
	if r.Kind == ResultFailure {
		failed = 1
	}

	e.failures += failureWeight * (failed - e.failures)
	e.samples++

	// A fast failure must not look like a fast endpoint.
	took := max(r.Latency-roundTrip, minLatency)
	if r.Kind != ResultFailure || took > e.latency.Value() {
		e.latency.Add(took)
	}
}

func medianFrom(first time.Duration) quantile.Tracker {
	return quantile.New(0.5, quantile.Coarse, first)
}

// nextRest doubles the rest while rests follow each other.
func (e *endpoint) nextRest(now time.Time) time.Duration {
	if e.rest == 0 || now.Sub(e.restedAt) > restForgotten {
		return minRest
	}

	return min(2*e.rest, maxRest)
}
