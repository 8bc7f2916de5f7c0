package routing

import (
	"slices"
	"time"
)

func (p *pool) done(now time.Time, c Choice, r Result) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.budget.learn(r)

	e := &p.endpoints[c.index]
	if e.generation != c.generation {
		return
	}

	e.inFlight--

	roundTrip := p.groups[e.group].roundTrip

	if r.Kind != ResultAbandoned {
		p.answeredAt = now
	}

	switch r.Kind {
	case ResultAbandoned:
		// The answer would have taken at least this long.
		if r.Latency-roundTrip > e.latency.Value() {
			e.learn(r, roundTrip)
			p.judge(now, c.index, r)
		}

		return
	case ResultRefused:
		// It knows better than we do that it is full.
		e.others = max(e.others, e.slots-e.inFlight)
		e.fullUntil = now.Add(fullTime)

		return
	default:
	}

	e.learn(r, roundTrip)
	p.judge(now, c.index, r)
}

// judge lets an endpoint rest, or ends its probation.
func (p *pool) judge(now time.Time, i int32, r Result) {
	e := &p.endpoints[i]
	slow := p.isSlow(e)

	switch e.state {
	case stateProbation:
		if r.Kind == ResultFailure || p.tooSlow(r.Latency-p.groups[e.group].roundTrip) {
			p.letRest(now, i)

			return
		}

		e.successes++
		if e.successes >= probationSuccess {
			e.state = stateActive
			e.since = now
		}
	case stateActive:
		if e.failures > failureThreshold || slow {
			p.letRest(now, i)
		}
	default:
	}
}

func (p *pool) isSlow(e *endpoint) bool {
	return e.samples >= minSlowSamples && p.tooSlow(e.latency.Value())
}

func (p *pool) tooSlow(d time.Duration) bool {
	return p.baseline > 0 && d > slowFactor*p.baseline && d-p.baseline > slowMargin
}

func (p *pool) letRest(now time.Time, i int32) {
	if float64(p.resting+1) > maxRestShare*float64(p.count) {
		return
	}

	e := &p.endpoints[i]
	e.rest = e.nextRest(now)
	e.restUntil = now.Add(e.rest)
	e.restedAt = now
	p.remove(i, stateResting)
}

// tick lets rested endpoints back and renews the baseline.
func (p *pool) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.forget()
	p.scratch = p.scratch[:0]

	used, slots := int32(0), int32(0)

	for i := range p.endpoints {
		e := &p.endpoints[i]

		if e.state == stateActive {
			used += e.reported
			slots += e.slots
		}

		switch e.state {
		case stateResting:
			if now.After(e.restUntil) {
				p.probe(int32(i))
			}
		case stateActive:
			if e.samples >= minSlowSamples {
				p.scratch = append(p.scratch, e.latency.Value())
			}
		default:
		}
	}

	p.busy = float64(used) / float64(max(slots, 1))

	if len(p.scratch) > 0 {
		slices.Sort(p.scratch)
		p.baseline = p.scratch[(len(p.scratch)-1)/2]
	}
}

// probe puts a rested endpoint on probation, with its past forgotten.
func (p *pool) probe(i int32) {
	e := &p.endpoints[i]
	p.resting--
	e.failures = 0
	e.samples = 0
	e.successes = 0
	e.latency = medianFrom(max(p.baseline, time.Millisecond))

	if p.groups[e.group].out {
		e.state = stateOut

		return
	}

	p.enter(i, stateProbation)
}

func (p *pool) takeRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.budget.take()
}

// takeHedge asks for leave to send a copy beside another: never while the
// service is busy, where it would do more harm than good.
func (p *pool) takeHedge() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.busy < spillShare && p.budget.take()
}

func (p *pool) takeLoss() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.budget.takeLoss()
}

func (p *pool) hedgeDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.budget.hedgeDelay()
}
