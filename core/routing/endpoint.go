package routing

import (
	"time"

	"trefoildeck/core/quantile"
)

// Estimates of an endpoint.
const (
	// failureWeight is the weight of a new result in the moving average of
	// failures.
	failureWeight = 0.25
	// initialLatency is assumed while no endpoint's latency is known.
	initialLatency = 10 * time.Millisecond
	// minLatency is the least latency recorded, once the round trip is subtracted.
	minLatency = 100 * time.Microsecond
	// slowStartTime is the time over which the usable slots of an endpoint grow to
	// all its slots when it is new, ends its probation or returns from an outage.
	slowStartTime = 5 * time.Second
	// probationSuccesses is the number of successes that end probation.
	probationSuccesses = 3
	// minSlowSamples is the minimum number of results for an endpoint to count in
	// the baseline and to be found slow by its median latency.
	minSlowSamples = 10
)

// Limits on the load of an endpoint.
const (
	// maxInFlightFactor bounds the requests in flight from one entry to an
	// endpoint, as a multiple of its usable slots.
	maxInFlightFactor = 2
	// refusalBackoff is the time without requests after a refusal.
	refusalBackoff = 10 * time.Millisecond
)

// Rests of an endpoint.
const (
	// maxFailureRate is the failure rate above which an endpoint rests.
	maxFailureRate = 0.6
	// slowFactor and slowMargin define a slow endpoint: its latency is more than
	// slowFactor times the baseline and more than slowMargin above it.
	slowFactor = 3
	slowMargin = 5 * time.Millisecond
	// The first rest takes minRestTime. Each further one takes twice as long as the
	// one before, up to maxRestTime.
	minRestTime = time.Second
	maxRestTime = 30 * time.Second
	// restResetTime is the time since the last rest began after which the next one
	// takes minRestTime again.
	restResetTime = time.Minute
)

// state says whether an endpoint takes requests.
type state int

const (
	stateActive state = iota
	// stateProbation follows a rest: the endpoint takes one request at a time.
	stateProbation
	// stateResting takes no requests for a time, after failures or slow answers.
	stateResting
	// stateSilent has sent nothing for a while; its connection is soon taken for
	// lost.
	stateSilent
	// stateOut is in a data centre that is out of service.
	stateOut
	// stateGone is withdrawn; its element in the pool is free.
	stateGone
)

func (s state) String() string {
	return [...]string{"Active", "Probation", "Resting", "Silent", "Out", "Gone"}[s]
}

// endpoint is the state of one endpoint of a pool.
type endpoint struct {
	name string
	// group is the index of its group, position the index among its members.
	group    int32
	position int32
	// generation changes whenever the element is freed or reused, so that results
	// of the endpoint that was in it before are ignored.
	generation    uint32
	slots         int32
	state         state
	slowStartFrom time.Time
	// inFlight is the number of requests in flight from this entry.
	inFlight int32
	// otherLoad is the load of other entries by the endpoint's last report or
	// refusal.
	otherLoad int32
	// reportedLoad is the whole load by the endpoint's last report.
	reportedLoad int32
	// latency is the median latency without the round trip. Unlike a high
	// quantile, it doesn't follow rare late answers, which say little of an
	// endpoint.
	latency quantile.Tracker
	// failureRate is the moving average of failures.
	failureRate float64
	// samples is the number of results since the endpoint was added or ended its
	// last rest.
	samples int32
	// successes is the number of successes since probation began.
	successes int32
	// backoffUntil is when an endpoint that refused gets requests again.
	backoffUntil time.Time
	rest
}

// rest is the last rest of an endpoint.
type rest struct {
	restTime      time.Duration
	restUntil     time.Time
	restStartedAt time.Time
	// unproven is set from the beginning of the rest until the end of the probation after
	// it.
	unproven bool
}

// usableSlots returns the number of slots to fill at now. During slow start it
// grows from a quarter of the slots to all of them.
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

// load returns the number of requests at the endpoint, with those in flight.
func (e *endpoint) load() int32 {
	return e.inFlight + e.otherLoad
}

// full reports whether the endpoint gets no request now: it has just refused one,
// or this entry alone has too many in flight there. The load of other entries
// does not count, because reports of it come too late. The limit on requests in
// flight doesn't apply to a further attempt, as its caller has waited already.
func (e *endpoint) full(now time.Time, usable int32, further bool) bool {
	return now.Before(e.backoffUntil) || !further && e.inFlight >= maxInFlightFactor*usable
}

// expectedLatency returns the expected time to an answer without the round trip.
// It grows with the load, and faster once requests have to queue.
func (e *endpoint) expectedLatency(load, usable int32) time.Duration {
	utilization := float64(load) / float64(usable)
	factor := 1 + 0.5*min(utilization, 1)

	if load >= usable {
		factor += float64(load-usable+1) / float64(usable)
	}

	return time.Duration(float64(e.latency.Value()) * factor)
}

// record updates the estimates with one result.
func (e *endpoint) record(r Result, roundTrip time.Duration) {
	failed := 0.0
	if r.Kind == ResultFailure {
		failed = 1
	}

	e.failureRate += failureWeight * (failed - e.failureRate)
	e.samples++

	// A failure that comes faster than usual is not recorded: it would make the
	// endpoint look fast.
	took := max(r.Latency-roundTrip, minLatency)
	if r.Kind != ResultFailure || took > e.latency.Value() {
		e.latency.Add(took)
	}
}

// newMedian returns a tracker of the median that starts at a first estimate.
func newMedian(first time.Duration) quantile.Tracker {
	return quantile.New(0.5, quantile.Coarse, first)
}

// nextRestTime returns the length of the next rest. It doubles while rests follow
// each other within restResetTime.
func (e *endpoint) nextRestTime(now time.Time) time.Duration {
	if e.restTime == 0 || now.Sub(e.restStartedAt) > restResetTime {
		return minRestTime
	}

	return min(2*e.restTime, maxRestTime)
}
