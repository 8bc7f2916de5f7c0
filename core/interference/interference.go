// Package interference learns how much filling tasks, which use a worker's idle
// processor time, slow the serving tasks on the same worker.
//
// A serving task's speed is its latency target divided by its latency, so it must
// not fall below 1. Latency grows as that of a queue does, so speed is linear: each
// further share of the worker that tasks of a filling image use lowers it by the same
// amount, however busy the serving task is. In measurements, the reciprocal of the
// latency explains 43% of what the baseline leaves unexplained, its logarithm 32%,
// and the latency itself 18%. Each pair of images has a factor: the loss of speed if
// the filling image used the whole worker.
//
// Factors are learned from changes between two readings. What does not change in
// between, such as the serving task's own load, cancels out. Each learner keeps only
// its own evidence, so that the evidence of many learners can be added.
//
// # Usage
//
//	l := interference.New()
//	l.Observe(sample)                      // with each reading, per worker
//	loss := l.Factor(filling, serving) * share
//	l.SetPooled(estimates)                 // the pooled estimates of all workers
package interference

import (
	"maps"
	"math"
	"time"

	"trefoildeck/core/job"
)

const (
	// PriorFactor is the expected factor of a pair without evidence: about half of
	// all pairs on the users' deployments interfere, each with a factor of about 10.
	PriorFactor = 5.0
	// priorWeight is the weight of PriorFactor: (n/s)², where n is the noise of a
	// reading relative to it, 7%, and s the spread of the factors. A single change
	// by a twentieth of a worker outweighs it.
	priorWeight = 0.0002
	// maxFactor bounds a factor: above it, a filling image with a twenty-fifth of a
	// worker would halve the speed of an idle serving task.
	maxFactor = 30.0
	// minFactor is a tenth of the factor of pairs that interfere. A pair below it
	// counts as harmless, so that its filling tasks run however busy the serving
	// task is.
	minFactor = 1.0
	// minShareChange is the smallest change of a processor share to learn from.
	minShareChange = 0.005
	// maxSpeedChange limits the effect of one reading: latencies have outliers.
	maxSpeedChange = 3.0
	// minInterval is the minimum time between two samples: latencies are measured
	// over half a second.
	minInterval = 450 * time.Millisecond
	// maxWeight limits the evidence of one learner, so that old readings don't
	// outweigh new ones. It corresponds to about 50 changes by a tenth of a worker.
	maxWeight = 0.05
)

// Pair is the image of a filling task and that of a serving task.
type Pair struct {
	Filling string
	Serving string
}

// Estimate is the estimated factor of a pair.
type Estimate struct {
	Factor float64
	// Weight is the evidence for the factor: the sum of the squared changes of the
	// share, each relative to the speed that it changed.
	Weight float64
}

// add returns the estimate from the evidence of both.
func (e Estimate) add(o Estimate) Estimate {
	w := e.Weight + o.Weight
	if w <= 0 {
		return Estimate{}
	}

	return Estimate{
		Factor: (e.Factor*e.Weight + o.Factor*o.Weight) / w,
		Weight: w,
	}
}

// subtract undoes add.
func (e Estimate) subtract(o Estimate) Estimate {
	return e.add(Estimate{
		Factor: o.Factor,
		Weight: -o.Weight,
	})
}

// posterior returns the expected factor, given the prior and the evidence: at most
// maxFactor, and 0 below minFactor.
func (e Estimate) posterior() float64 {
	prior := Estimate{
		Factor: PriorFactor,
		Weight: priorWeight,
	}

	f := min(maxFactor, e.add(prior).Factor)
	if f < minFactor {
		return 0
	}

	return f
}

// Reading is a measured latency of a serving task.
type Reading struct {
	Image string
	// Ratio is the latency divided by its target.
	Ratio float64
}

// Speed returns the target divided by the latency.
func (r Reading) Speed() float64 { return 1 / r.Ratio }

// Sample is the state of one worker at one time.
type Sample struct {
	At time.Duration
	// Filling has the share of the worker's processors that the filling tasks of an
	// image use, by image.
	Filling map[string]float64
	Serving map[job.TaskID]Reading
}

// evidence is what a learner knows about a pair.
type evidence struct {
	// own is the learner's own estimate.
	own Estimate
	// included is the part of own that pooled includes.
	included Estimate
	// pooled is the estimate of all learners together.
	pooled Estimate
}

func (e *evidence) posterior() float64 { return e.pooled.add(e.own.subtract(e.included)).posterior() }

// Learner learns the factors of pairs from the samples of one worker.
type Learner struct {
	pairs   map[Pair]*evidence
	changed map[Pair]bool
	last    Sample
}

// New returns a learner without evidence.
func New() *Learner {
	return &Learner{
		pairs:   map[Pair]*evidence{},
		changed: map[Pair]bool{},
	}
}

// Factor returns the expected factor of a pair of images.
func (l *Learner) Factor(filling, serving string) float64 {
	if e := l.pairs[Pair{
		Filling: filling,
		Serving: serving,
	}]; e != nil {
		return e.posterior()
	}

	return PriorFactor
}

// Observe learns from the change since the previous sample. It ignores a sample that
// follows the previous one within minInterval.
func (l *Learner) Observe(s Sample) {
	last := l.last
	if last.Serving != nil && s.At-last.At < minInterval {
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

	maps.DeleteFunc(changes, func(_ string, d float64) bool { return math.Abs(d) < minShareChange })

	if len(changes) == 0 {
		return
	}

	for t, r := range s.Serving {
		if before, ok := last.Serving[t]; ok && before.Ratio > 0 && r.Ratio > 0 {
			l.learn(r.Image, before.Speed(), r.Speed(), changes)
		}
	}
}

// learn adds the evidence of a change of speed. The difference from the expected change
// is attributed to the images in proportion to the squares of their changes.
func (l *Learner) learn(serving string, before, after float64, changes map[string]float64) {
	fall := max(-maxSpeedChange, min(maxSpeedChange, before-after))
	unexplained, squares := fall, 0.0

	for f, d := range changes {
		unexplained -= l.Factor(f, serving) * d
		squares += d * d
	}

	// The noise of a reading is proportional to the reading.
	scale := math.Pow(max(before, after), -2)
	observed := make(map[Pair]Estimate, len(changes))

	for f, d := range changes {
		observed[Pair{
			Filling: f,
			Serving: serving,
		}] = Estimate{
			Factor: l.Factor(f, serving) + unexplained*d/squares,
			Weight: d * d * scale * d * d / squares,
		}
	}

	for p, o := range observed {
		l.add(p, o)
	}
}

func (l *Learner) add(p Pair, o Estimate) {
	e := l.pairs[p]
	if e == nil {
		e = &evidence{}
		l.pairs[p] = e
	}

	e.own = e.own.add(o)
	e.own.Weight = min(e.own.Weight, maxWeight)
	l.changed[p] = true
}

// Changed returns the learner's own estimates that changed since the last call, to be
// added to the pool.
func (l *Learner) Changed() map[Pair]Estimate {
	changed := make(map[Pair]Estimate, len(l.changed))

	for p := range l.changed {
		e := l.pairs[p]
		changed[p] = e.own
		e.pooled = e.pooled.add(e.own.subtract(e.included))
		e.included = e.own
	}

	clear(l.changed)

	return changed
}

// SetPooled replaces the pooled estimates of the given pairs.
func (l *Learner) SetPooled(estimates map[Pair]Estimate) {
	for p, o := range estimates {
		e := l.pairs[p]
		if e == nil {
			e = &evidence{}
			l.pairs[p] = e
		}

		e.pooled = o
	}
}

// LeavePool prepares for the estimates of a new pool, which has none of the learner's own
// evidence. What is known of the former pool's other evidence is kept.
func (l *Learner) LeavePool() {
	for _, e := range l.pairs {
		e.pooled = e.pooled.subtract(e.included)
		e.included = Estimate{}
	}
}

// Resend marks all own estimates as changed, for a pool that may have none of them.
func (l *Learner) Resend() {
	for p, e := range l.pairs {
		if e.own.Weight > 0 {
			l.changed[p] = true
		}
	}
}

// Pool combines the estimates of several learners.
type Pool struct {
	// sources has the estimates of each learner by its name.
	sources map[string]map[Pair]Estimate
	pooled  map[Pair]Estimate
	// changed has the pairs whose estimate changed since the last call of Changes, and
	// returned what Changes returned of each pair last.
	changed  map[Pair]bool
	returned map[Pair]Estimate
	// generation counts the changes.
	generation int
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		sources:  map[string]map[Pair]Estimate{},
		pooled:   map[Pair]Estimate{},
		changed:  map[Pair]bool{},
		returned: map[Pair]Estimate{},
	}
}

// Put replaces a learner's estimates of the given pairs.
func (p *Pool) Put(source string, estimates map[Pair]Estimate) {
	known := p.sources[source]
	if known == nil {
		known = map[Pair]Estimate{}
		p.sources[source] = known
	}

	for pair, e := range estimates {
		known[pair] = e
		p.pooled[pair] = p.pool(pair)
		p.changed[pair] = true
		p.generation++
	}
}

// Generation changes with each change of what Factor returns.
func (p *Pool) Generation() int { return p.generation }

// pool adds up the estimates of a pair from all sources.
func (p *Pool) pool(pair Pair) Estimate {
	var sum Estimate

	for _, known := range p.sources {
		sum = sum.add(known[pair])
	}

	return sum
}

// Factor returns the expected factor of a pair of images.
func (p *Pool) Factor(filling, serving string) float64 {
	return p.pooled[Pair{
		Filling: filling,
		Serving: serving,
	}].posterior()
}

// Evidence returns the expected factor of a pair of images, and the weight of the evidence for it.
func (p *Pool) Evidence(filling, serving string) (factor, weight float64) {
	e := p.pooled[Pair{
		Filling: filling,
		Serving: serving,
	}]

	return e.posterior(), e.Weight
}

// Which changes of an estimate matter to learners. Otherwise each learner would get all
// pairs each time, as some evidence is always added (TestChanges).
const (
	// changeTolerance is the share by which the factor must differ.
	changeTolerance = 0.02
	// changeFactor is the ratio by which the evidence must differ.
	changeFactor = 2
)

// differs reports whether a change of an estimate matters to learners.
func (e Estimate) differs(o Estimate) bool {
	factor, other := e.posterior(), o.posterior()

	return math.Abs(factor-other) > changeTolerance*max(factor, other) ||
		max(e.Weight, o.Weight) > changeFactor*min(e.Weight, o.Weight)
}

// Changes returns the pooled estimates that differ from what it returned last.
func (p *Pool) Changes() map[Pair]Estimate {
	changes := map[Pair]Estimate{}

	for pair := range p.changed {
		if e := p.pooled[pair]; e.differs(p.returned[pair]) {
			changes[pair] = e
			p.returned[pair] = e
		}
	}

	clear(p.changed)

	return changes
}

// All returns the pooled estimates. The caller must not change them.
func (p *Pool) All() map[Pair]Estimate { return p.pooled }
