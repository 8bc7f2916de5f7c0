package routing

import (
	"time"

	"trefoildeck/core/quantile"
)

// What is learnt from each request.
const (
	failureWeight      = 0.25
	initialLatency     = 10 * time.Millisecond
	minLatency         = 100 * time.Microsecond
	slowStartTime      = 5 * time.Second
	probationSuccesses = 3
	minSlowSamples     = 10
)

// When an endpoint takes no more.
const (
	// maxInFlightFactor bounds what one entry has at an endpoint, as a multiple of slots.
	maxInFlightFactor = 2
	// refusalBackoff is how long an endpoint that refused is left alone.
	refusalBackoff = 10 * time.Millisecond
)

// When an endpoint rests, and for how long.
const (
	maxFailureRate = 0.6
	slowFactor     = 3
	slowMargin     = 5 * time.Millisecond
	minRestTime    = time.Second
	maxRestTime    = 30 * time.Second
	restResetTime  = time.Minute
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
	name          string
	group         int32
	position      int32
	generation    uint32
	slots         int32
	state         state
	slowStartFrom time.Time
	// inFlight counts the requests that this entry has at the endpoint.
	inFlight int32
	// otherLoad is the load that otherLoad put on it, by its own last report.
	otherLoad int32
	// reportedLoad is the load at the endpoint by its own last report.
	reportedLoad int32
	// latency is the median without the way there and back: rare late answers
	// say little of an endpoint.
	latency     quantile.Tracker
	failureRate float64
	samples     int32
	// successes counts answers since probation began.
	successes int32
	// backoffUntil is when an endpoint that refused is asked again.
	backoffUntil  time.Time
	restTime      time.Duration
	restUntil     time.Time
	restStartedAt time.Time
}

// usableSlots is the number of slots to fill now: few at first, all later.
func (e *endpoint) usableSlots(now time.Time) int32 {
	if e.state == stateProbation {
		return 1
	}

	age := now.Sub(e.slowStartFrom)
	if age >= slowStartTime {
		return e.slots
	}

	return max(1, int32(float64(e.slots)*(0.25+0.75*float64(age)/float64(slowStartTime))))
}

// load is the number of requests at the endpoint or on the way there and back.
func (e *endpoint) load() int32 {
	return e.inFlight + e.otherLoad
}

// full reports whether no request goes there now: the endpoint itself refused a
// moment ago, or this entry alone has too many there. What others put there is
// known too late to refuse by it. A further copy of a request may exceed that:
// its caller has waited already.
func (e *endpoint) full(now time.Time, usable int32, further bool) bool {
	return now.Before(e.backoffUntil) || !further && e.inFlight >= maxInFlightFactor*usable
}

// expectedLatency is the expected time to an answer, without the way there.
func (e *endpoint) expectedLatency(load, usable int32) time.Duration {
	busy := float64(load) / float64(usable)
	factor := 1 + 0.5*min(busy, 1)

	if load >= usable {
		factor += float64(load-usable+1) / float64(usable)
	}

	return time.Duration(float64(e.latency.Value()) * factor)
}

// record updates the estimates from one result.
func (e *endpoint) record(r Result, roundTrip time.Duration) {
	failed := 0.0
	if r.Kind == ResultFailure {
		failed = 1
	}

	e.failureRate += failureWeight * (failed - e.failureRate)
	e.samples++

	// A fast failure must not look like a fast endpoint.
	took := max(r.Latency-roundTrip, minLatency)
	if r.Kind != ResultFailure || took > e.latency.Value() {
		e.latency.Add(took)
	}
}

func newMedian(first time.Duration) quantile.Tracker {
	return quantile.New(0.5, quantile.Coarse, first)
}

// nextRestTime doubles the rest while rests follow each other.
func (e *endpoint) nextRestTime(now time.Time) time.Duration {
	if e.restTime == 0 || now.Sub(e.restStartedAt) > restResetTime {
		return minRestTime
	}

	return min(2*e.restTime, maxRestTime)
}
