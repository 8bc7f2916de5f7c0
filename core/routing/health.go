package routing

import (
	"slices"
	"time"
)

func (p *pool) done(now time.Time, c Choice, r Result) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.budget.record(r)

	e := &p.endpoints[c.index]
	if e.generation != c.generation {
		return
	}

	e.inFlight--

	roundTrip := p.groups[e.group].roundTrip

	if r.Kind != ResultAbandoned {
		p.lastAnswerAt = now
	}

	switch r.Kind {
	case ResultAbandoned:
		// The answer would have taken at least this long, so the latency counts if it
		// is above the estimate.
		if r.Latency-roundTrip > e.latency.Value() {
			e.record(r, roundTrip)
			p.updateState(now, c.index, r)
		}

		return
	case ResultRefused:
		// The endpoint is full, whatever this entry's estimate of its load.
		e.otherLoad = max(e.otherLoad, e.slots-e.inFlight)
		e.backoffUntil = now.Add(refusalBackoff)

		return
	default:
	}

	e.record(r, roundTrip)
	p.updateState(now, c.index, r)
}

// updateState starts an endpoint's rest after failures or slow answers, or ends
// its probation after successes.
func (p *pool) updateState(now time.Time, i int32, r Result) {
	e := &p.endpoints[i]
	slow := p.isSlow(e)

	switch e.state {
	case stateProbation:
		if r.Kind == ResultFailure || p.tooSlow(r.Latency-p.groups[e.group].roundTrip) {
			p.startRest(now, i)

			return
		}

		e.successes++
		if e.successes >= probationSuccesses {
			e.state = stateActive
			e.unproven = false
			e.slowStartFrom = now
		}
	case stateActive:
		if e.failureRate > maxFailureRate || slow {
			p.startRest(now, i)
		}
	default:
	}
}

// isSlow reports whether an endpoint's median latency is too high.
func (p *pool) isSlow(e *endpoint) bool {
	return e.samples >= minSlowSamples && p.tooSlow(e.latency.Value())
}

// tooSlow reports whether a latency is far above the baseline.
func (p *pool) tooSlow(d time.Duration) bool {
	return p.baseline > 0 && d > slowFactor*p.baseline && d-p.baseline > slowMargin
}

// startRest stops requests to an endpoint for a time, unless more than
// maxRestingShare of all endpoints would rest then.
func (p *pool) startRest(now time.Time, i int32) {
	if !p.mayRest() {
		return
	}

	e := &p.endpoints[i]
	e.restTime = e.nextRestTime(now)
	e.restUntil = now.Add(e.restTime)
	e.restStartedAt = now
	e.unproven = true
	p.disable(i, stateResting)
}

// mayRest reports whether one more endpoint may rest.
func (p *pool) mayRest() bool {
	return float64(p.resting+1) <= maxRestingShare*float64(p.count)
}

// readmit makes an endpoint available that was silent, out or withdrawn. If that cut a rest
// or the probation after it short, it goes on.
func (p *pool) readmit(now time.Time, i int32) {
	e := &p.endpoints[i]

	switch {
	case !e.unproven:
		p.enable(i, stateActive)
	case now.Before(e.restUntil) && p.mayRest():
		p.disable(i, stateResting)
	default:
		p.resetEstimates(e)
		p.enable(i, stateProbation)
	}
}

// tick ends rests that are over and updates the baseline and the utilization.
func (p *pool) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.expireWithdrawn()
	p.latencies = p.latencies[:0]

	used, slots := int32(0), int32(0)

	for i := range p.endpoints {
		e := &p.endpoints[i]

		if e.state == stateActive {
			used += e.reportedLoad
			slots += e.slots
		}

		switch e.state {
		case stateResting:
			if now.After(e.restUntil) {
				p.startProbation(int32(i))
			}
		case stateActive:
			if e.samples >= minSlowSamples {
				p.latencies = append(p.latencies, e.latency.Value())
			}
		default:
		}
	}

	p.utilization = float64(used) / float64(max(slots, 1))

	if len(p.latencies) > 0 {
		slices.Sort(p.latencies)
		p.baseline = p.latencies[(len(p.latencies)-1)/2]
	}
}

// startProbation ends a rest: it resets the endpoint's estimates and puts it on
// probation, or out if its data centre is out.
func (p *pool) startProbation(i int32) {
	e := &p.endpoints[i]
	p.resting--
	p.resetEstimates(e)

	if p.groups[e.group].out {
		e.state = stateOut

		return
	}

	p.enable(i, stateProbation)
}

// resetEstimates forgets the results before a rest.
func (p *pool) resetEstimates(e *endpoint) {
	e.failureRate = 0
	e.samples = 0
	e.successes = 0
	e.latency = newMedian(max(p.baseline, time.Millisecond))
}

func (p *pool) takeRetryToken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.budget.takeToken()
}

// takeHedgeToken takes a token for a hedge. It takes none while the service is
// busy, when the extra load would do more harm than good.
func (p *pool) takeHedgeToken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.utilization < spillUtilization && p.budget.takeToken()
}

func (p *pool) takeLossToken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.budget.takeLossToken()
}

func (p *pool) hedgeDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.budget.hedgeDelay()
}
