// Package interference learns how much the tasks that fill a worker's idle
// processor time slow the tasks that serve beside them.
//
// A serving task's speed is its target divided by its latency, so that it must not
// fall below 1. Latencies grow as those of a queue do, and speed falls by the same
// amount for each further share of the worker that tasks of a filling image use,
// however busy the serving task is (measured on armor-balise-grown: the reciprocal
// of the latency explains 43% of what the baseline leaves, its logarithm 32%, the
// latency itself 18%). Each pair of images has a factor: the fall of speed for the
// whole worker.
//
// Factors are learnt from changes between two readings. What does not change in
// between, such as the serving task's own load, drops out. Each learner keeps only
// its own evidence, so that the evidence of many learners adds up.
//
// # Usage
//
//	l := interference.New()
//	l.Observe(sample)                      // with each reading, per worker
//	fall := l.Factor(filling, serving) * share
//	l.Merge(estimates)                     // what all workers learnt
package interference

import (
	"maps"
	"math"
	"time"

	"trefoildeck/core/job"
)

const (
	// PriorFactor is expected of a pair that was not seen together: about half of
	// all pairs of the users' sites disturb, by some 10 each.
	PriorFactor = 5.0
	// priorWeight is the weight of that expectation: the noise of a reading, 7% of
	// it, over the spread of factors, squared. A single change of a twentieth of a
	// worker outweighs it.
	priorWeight = 0.0002
	// maxFactor bounds a factor: above it a twenty-fifth of a worker would halve
	// the speed of a serving task without load.
	maxFactor = 30.0
	// leastFactor is a tenth of what pairs that disturb show: below it a pair is
	// taken for harmless, so that its tasks run however busy the serving task is.
	leastFactor = 1.0
	// leastChange is the smallest change of a share that is looked at.
	leastChange = 0.005
	// maxFall bounds what one reading teaches: latencies have outliers.
	maxFall = 3.0
	// shortest is the least time between two readings: latencies are measured
	// over half a second.
	shortest = 450 * time.Millisecond
	// maxWeight bounds the evidence of one learner, so that old readings don't
	// outweigh new ones: some 50 changes of a tenth of a worker.
	maxWeight = 0.05
)

// Pair is the images of a filling and a serving task.
type Pair struct {
	Filling string
	Serving string
}

// Estimate is what is known of a pair.
type Estimate struct {
	Factor float64
	// Weight is the evidence behind the factor: the sum of the squares of changes,
	// each in parts of the speed that it changed.
	Weight float64
}

// plus joins the evidence of two estimates.
func (e Estimate) plus(o Estimate) Estimate {
	w := e.Weight + o.Weight
	if w <= 0 {
		return Estimate{}
	}

	return Estimate{
		Factor: (e.Factor*e.Weight + o.Factor*o.Weight) / w,
		Weight: w,
	}
}

// minus takes evidence out again.
func (e Estimate) minus(o Estimate) Estimate {
	return e.plus(Estimate{
		Factor: o.Factor,
		Weight: -o.Weight,
	})
}

// expected is the factor to reckon with, given what is expected of any pair.
func (e Estimate) expected() float64 {
	prior := Estimate{
		Factor: PriorFactor,
		Weight: priorWeight,
	}

	f := min(maxFactor, e.plus(prior).Factor)
	if f < leastFactor {
		return 0
	}

	return f
}

// Reading is the latency of a serving task.
type Reading struct {
	Image string
	// Ratio is the latency in parts of its target.
	Ratio float64
}

// Speed is the target in parts of the latency.
func (r Reading) Speed() float64 { return 1 / r.Ratio }

// Sample is what one worker shows at one time.
type Sample struct {
	At time.Duration
	// Filling has the share of the worker that the tasks of an image use.
	Filling map[string]float64
	Serving map[job.TaskID]Reading
}

// evidence is what a learner knows of a pair.
type evidence struct {
	own Estimate
	// sent is the part of own that is in what all learnt.
	sent Estimate
	all  Estimate
}

func (e *evidence) expected() float64 { return e.all.plus(e.own.minus(e.sent)).expected() }

// Learner holds the factors of pairs.
type Learner struct {
	pairs   map[Pair]*evidence
	changed map[Pair]bool
	last    Sample
}

// New returns a learner that knows nothing.
func New() *Learner {
	return &Learner{
		pairs:   map[Pair]*evidence{},
		changed: map[Pair]bool{},
	}
}

// Factor returns what is expected of a pair.
func (l *Learner) Factor(filling, serving string) float64 {
	if e := l.pairs[Pair{
		Filling: filling,
		Serving: serving,
	}]; e != nil {
		return e.expected()
	}

	return PriorFactor
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
			l.learn(r.Image, before.Speed(), r.Speed(), changes)
		}
	}
}

// learn adds the evidence of a change of speed: each image that changed explains
// what the others leave, by the square of its part in the change.
func (l *Learner) learn(serving string, before, after float64, changes map[string]float64) {
	fall := max(-maxFall, min(maxFall, before-after))
	unexplained, squares := fall, 0.0

	for f, d := range changes {
		unexplained -= l.Factor(f, serving) * d
		squares += d * d
	}

	// Readings are rough by a part of themselves.
	scale := math.Pow(max(before, after), -2)
	seen := make(map[Pair]Estimate, len(changes))

	for f, d := range changes {
		seen[Pair{
			Filling: f,
			Serving: serving,
		}] = Estimate{
			Factor: l.Factor(f, serving) + unexplained*d/squares,
			Weight: d * d * scale * d * d / squares,
		}
	}

	for p, o := range seen {
		l.add(p, o)
	}
}

func (l *Learner) add(p Pair, o Estimate) {
	e := l.pairs[p]
	if e == nil {
		e = &evidence{}
		l.pairs[p] = e
	}

	e.own = e.own.plus(o)
	e.own.Weight = min(e.own.Weight, maxWeight)
	l.changed[p] = true
}

// Changed returns the own estimates that changed since the last call.
func (l *Learner) Changed() map[Pair]Estimate {
	changed := make(map[Pair]Estimate, len(l.changed))

	for p := range l.changed {
		e := l.pairs[p]
		changed[p] = e.own
		e.all = e.all.plus(e.own.minus(e.sent))
		e.sent = e.own
	}

	clear(l.changed)

	return changed
}

// Merge takes in what all learners know together.
func (l *Learner) Merge(estimates map[Pair]Estimate) {
	for p, o := range estimates {
		e := l.pairs[p]
		if e == nil {
			e = &evidence{}
			l.pairs[p] = e
		}

		e.all = o
	}
}

// Resend marks all own evidence as changed: whoever gathers it starts anew.
func (l *Learner) Resend() {
	for p, e := range l.pairs {
		if e.own.Weight > 0 {
			l.changed[p] = true
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

// pool joins what all sources know of a pair.
func (p *Pool) pool(pair Pair) Estimate {
	var sum Estimate

	for _, known := range p.sources {
		sum = sum.plus(known[pair])
	}

	return sum
}

// Factor returns what is expected of a pair.
func (p *Pool) Factor(filling, serving string) float64 {
	return p.pooled[Pair{
		Filling: filling,
		Serving: serving,
	}].expected()
}

// Changed reports whether something was put in since the last call.
func (p *Pool) Changed() bool {
	changed := p.changed
	p.changed = false

	return changed
}

// All returns all pooled estimates.
func (p *Pool) All() map[Pair]Estimate { return p.pooled }
