// Package interference learns how much the tasks that fill a worker's idle
// processor time slow the tasks that serve beside them. Each pair of images has
// a factor: the natural logarithm of a serving task's latency rises by the
// factor times the share of the worker that tasks of the filling image use.
//
// Factors are learnt from changes between two readings, by normalized least mean
// squares: what does not change in between, such as the serving task's own load,
// drops out.
//
// # Usage
//
//	l := interference.New()
//	l.Observe(sample)                      // with each reading, per worker
//	rise := l.Factor(filling, serving) * share
//	l.Merge(estimates)                     // what other workers learnt
package interference

import (
	"maps"
	"math"
	"time"

	"trefoildeck/core/job"
)

const (
	// unknownFactor is expected of a pair that was not seen together: low enough
	// that it is tried, high enough that it is not tried on a slow worker.
	unknownFactor = 2.0
	// maxFactor bounds a factor: above it a single core of 64 doubles a latency.
	maxFactor = 45.0
	// leastStep and firstStep bound the step of an update, which falls with the
	// weight of what is known.
	leastStep = 0.1
	firstStep = 0.5
	// stepFall is the weight by which the step has halved.
	stepFall = 2.0
	// noise is the square of the share below which a change teaches little.
	noise = 0.002
	// leastChange is the smallest change of a share that is looked at.
	leastChange = 0.005
	// halfWeight is the change of a share that counts as half an observation.
	halfWeight = 0.03
	// maxRise bounds what one reading teaches: latencies have outliers.
	maxRise = 2.0
	// shortest is the least time between two readings: latencies are measured
	// over half a second.
	shortest = 450 * time.Millisecond
	// trustedWeight is the weight from which on an own estimate is not replaced
	// by that of others.
	trustedWeight = 5.0
	// maxWeight bounds weights, so that old readings don't outweigh new ones.
	maxWeight = 50.0
)

// Pair is the images of a filling and a serving task.
type Pair struct {
	Filling string
	Serving string
}

// Estimate is what is known of a pair.
type Estimate struct {
	Factor float64
	// Weight is the number of observations behind the factor.
	Weight float64
}

// Reading is the latency of a serving task.
type Reading struct {
	Image string
	// Ratio is the latency in parts of its target.
	Ratio float64
}

// Sample is what one worker shows at one time.
type Sample struct {
	At time.Duration
	// Filling has the share of the worker that the tasks of an image use.
	Filling map[string]float64
	Serving map[job.TaskID]Reading
}

// Learner holds the factors of pairs.
type Learner struct {
	pairs   map[Pair]*Estimate
	changed map[Pair]bool
	last    Sample
}

// New returns a learner that knows nothing.
func New() *Learner {
	return &Learner{
		pairs:   map[Pair]*Estimate{},
		changed: map[Pair]bool{},
	}
}

// Factor returns what is expected of a pair.
func (l *Learner) Factor(filling, serving string) float64 {
	if e := l.pairs[Pair{
		Filling: filling,
		Serving: serving,
	}]; e != nil {
		return e.Factor
	}

	return unknownFactor
}

// Observe takes in a sample of a worker.
func (l *Learner) Observe(s Sample) {
	last := l.last
	if last.Serving != nil && s.At-last.At < shortest {
		return
	}

	l.last = s

	changes := map[string]float64{}
	for f, v := range s.Filling {
		changes[f] = v - last.Filling[f]
	}

	for f, v := range last.Filling {
		if _, ok := s.Filling[f]; !ok {
			changes[f] = -v
		}
	}

	maps.DeleteFunc(changes, func(_ string, d float64) bool { return math.Abs(d) < leastChange })

	if len(changes) == 0 {
		return
	}

	for t, r := range s.Serving {
		if before, ok := last.Serving[t]; ok && before.Ratio > 0 && r.Ratio > 0 {
			l.learn(r.Image, math.Log(r.Ratio/before.Ratio), changes)
		}
	}
}

// learn moves the factors towards what explains a rise.
func (l *Learner) learn(serving string, rise float64, changes map[string]float64) {
	rise = max(-maxRise, min(maxRise, rise))
	expected, norm := 0.0, noise

	for f, d := range changes {
		expected += l.Factor(f, serving) * d
		norm += d * d
	}

	for f, d := range changes {
		p := Pair{
			Filling: f,
			Serving: serving,
		}
		e := l.pairs[p]

		if e == nil {
			e = &Estimate{Factor: unknownFactor}
			l.pairs[p] = e
		}

		step := max(leastStep, firstStep*stepFall/(stepFall+e.Weight))
		e.Factor = max(0, min(maxFactor, e.Factor+step*(rise-expected)*d/norm))
		e.Weight = min(maxWeight, e.Weight+math.Abs(d)/(math.Abs(d)+halfWeight))
		l.changed[p] = true
	}
}

// Changed returns the estimates that were learnt since the last call.
func (l *Learner) Changed() map[Pair]Estimate {
	changed := make(map[Pair]Estimate, len(l.changed))
	for p := range l.changed {
		changed[p] = *l.pairs[p]
	}

	clear(l.changed)

	return changed
}

// Merge takes in what others learnt, where little is known here.
func (l *Learner) Merge(estimates map[Pair]Estimate) {
	for p, o := range estimates {
		e := l.pairs[p]
		if e == nil {
			l.pairs[p] = &Estimate{
				Factor: o.Factor,
				Weight: min(o.Weight, trustedWeight),
			}

			continue
		}

		if e.Weight < trustedWeight && o.Weight > e.Weight {
			e.Factor = o.Factor
		}
	}
}

// Pool is what several learners know together.
type Pool struct {
	sources map[string]map[Pair]Estimate
	pooled  map[Pair]Estimate
	changed bool
	// generation counts the changes.
	generation int
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		sources: map[string]map[Pair]Estimate{},
		pooled:  map[Pair]Estimate{},
	}
}

// Put takes in what a learner knows of some pairs.
func (p *Pool) Put(source string, estimates map[Pair]Estimate) {
	known := p.sources[source]
	if known == nil {
		known = map[Pair]Estimate{}
		p.sources[source] = known
	}

	for pair, e := range estimates {
		known[pair] = e
		p.pooled[pair] = p.pool(pair)
		p.changed = true
		p.generation++
	}
}

// Generation changes with each change of what Factor returns.
func (p *Pool) Generation() int { return p.generation }

// pool is the weighted mean of what all sources know of a pair.
func (p *Pool) pool(pair Pair) Estimate {
	var sum Estimate

	for _, known := range p.sources {
		e := known[pair]
		sum.Factor += e.Factor * e.Weight
		sum.Weight += e.Weight
	}

	if sum.Weight > 0 {
		sum.Factor /= sum.Weight
	}

	return sum
}

// Factor returns what is expected of a pair.
func (p *Pool) Factor(filling, serving string) float64 {
	if e, ok := p.pooled[Pair{
		Filling: filling,
		Serving: serving,
	}]; ok && e.Weight > 0 {
		return e.Factor
	}

	return unknownFactor
}

// Changed reports whether something was put in since the last call.
func (p *Pool) Changed() bool {
	changed := p.changed
	p.changed = false

	return changed
}

// All returns all pooled estimates.
func (p *Pool) All() map[Pair]Estimate { return p.pooled }
