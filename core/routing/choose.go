package routing

import (
	"slices"
	"time"
)

// candidate is an endpoint that may be chosen; a negative index means none.
type candidate struct {
	index        int32
	full         bool
	utilization  float64
	expectedTime time.Duration
}

func (p *pool) choose(now time.Time, service string, exclude []string) (Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	best := p.best(now, exclude)
	if best.index < 0 && len(exclude) > 0 {
		// No other endpoint takes requests: a second attempt at the same one may
		// still succeed.
		best = p.best(now, nil)
	}

	if best.index < 0 {
		return Choice{}, ErrNoEndpoint
	}

	if best.full {
		if now.Sub(p.lastAnswerAt) > stallTimeout {
			// No endpoint answers at all: the connections are broken, and the service
			// is not overloaded.
			return Choice{}, ErrNoEndpoint
		}

		return Choice{}, ErrOverloaded
	}

	e := &p.endpoints[best.index]
	e.inFlight++

	return Choice{
		Service:    service,
		Endpoint:   e.name,
		DataCentre: p.groups[e.group].dataCentre,
		pool:       p,
		index:      best.index,
		generation: e.generation,
	}, nil
}

// best returns the best of some sampled endpoints. It samples the local data
// centre, and the others only if the best local endpoint is busy or slow.
func (p *pool) best(now time.Time, exclude []string) candidate {
	best := candidate{index: -1}
	p.sample(now, 0, exclude, &best)

	slow := p.baseline > 0 && best.expectedTime > slowFactor*p.baseline
	if best.index < 0 || best.utilization >= spillUtilization || slow {
		for g := 1; g < len(p.groups); g++ {
			p.sample(now, g, exclude, &best)
		}
	}

	return best
}

// sample compares a few members of a group with the best candidate so far. It
// starts at a random member and goes on by a random step.
func (p *pool) sample(now time.Time, group int, exclude []string, best *candidate) {
	g := &p.groups[group]

	n := len(g.members)
	if n == 0 || g.out {
		return
	}

	start := p.random.IntN(n)
	step := 1

	if n > sampleSize {
		step = 1 + p.random.IntN(n/sampleSize)
	}

	for k := range min(n, sampleSize+len(exclude)) {
		p.consider(now, g.members[(start+k*step)%n], g.roundTrip, exclude, best)
	}
}

// consider makes an endpoint the best candidate if it is better: one that is not
// full before one that is, then the one with the lower expected time.
func (p *pool) consider(now time.Time, i int32, roundTrip time.Duration, exclude []string, best *candidate) {
	e := &p.endpoints[i]
	if slices.Contains(exclude, e.name) {
		return
	}

	usable := e.usableSlots(now)
	load := e.load()
	c := candidate{
		index:        i,
		utilization:  float64(load) / float64(usable),
		expectedTime: e.expectedLatency(load, usable) + remoteRoundTripFactor*roundTrip,
		full:         e.full(now, usable, len(exclude) > 0),
	}

	if e.state == stateProbation && e.inFlight > 0 {
		c.full = true
	}

	if best.index < 0 || (best.full && !c.full) || (best.full == c.full && c.expectedTime < best.expectedTime) {
		*best = c
	}
}
