package speed

import (
	"math"
	"time"
)

const (
	// threshold is the speed below which a worker is slow, and soundSpeed the one above which a slow
	// one no longer is.
	threshold  = 0.6
	soundSpeed = 0.75
	// minJobs is the number of jobs that have to show that a worker is slow: one job may have tasks
	// that differ.
	minJobs = 2
	// runDeviation is the standard deviation of the logarithm of run times within a step, and
	// allowance the number of deviations by which the evidence must be below threshold.
	runDeviation = 0.3
	allowance    = 2
	// maxFaster is the most that a run speaks for its worker, as a logarithm. A run beside slow ones
	// is not fast.
	maxFaster = 0.3
	// leastWeight is the weight below which the evidence on a slow worker has decayed.
	leastWeight = 1
)

var (
	logThreshold  = math.Log(threshold)
	logSoundSpeed = math.Log(soundSpeed)
)

// sum is a sum of logarithms of durations.
type sum struct {
	total float64
	count int
}

// group has the durations of the tasks of one step.
type group struct {
	all    sum
	byNode map[string]sum
	// running is the number of runs under way, and changedAt the time of the last evidence.
	running   int
	changedAt time.Duration
}

// replace replaces what a run has added to the sums; nil stands for nothing.
func (g *group) replace(r *run, value *float64) {
	own := g.byNode[r.node]

	if r.counted != nil {
		own.total, own.count = own.total-*r.counted, own.count-1
		g.all.total, g.all.count = g.all.total-*r.counted, g.all.count-1
		r.counted = nil
	}

	if value != nil {
		v := *value
		r.counted = &v
		own.total, own.count = own.total+v, own.count+1
		g.all.total, g.all.count = g.all.total+v, g.all.count+1
	}

	if own.count == 0 {
		delete(g.byNode, r.node)

		return
	}

	g.byNode[r.node] = own
}

// elsewhere returns the mean logarithm of the durations on workers other than one, and their number.
func (g *group) elsewhere(node string) (float64, int) {
	own := g.byNode[node]
	n := g.all.count - own.count

	return (g.all.total - own.total) / float64(max(1, n)), n
}

// deviation returns the logarithm of the speed of a run relative to those elsewhere, and whether
// there is something to say: it is slower, faster, or certainly not much slower.
func (r *run) deviation() (float64, bool) {
	typical, n := r.group.elsewhere(r.node)

	switch {
	case n == 0:
		return 0, false
	case r.lower > typical:
		return typical - r.lower, true
	case r.upper < typical:
		return min(typical-r.upper, maxFaster), true
	default:
		return 0, r.upper < typical-logThreshold
	}
}

// Evidence is what is known about the speed of a worker.
type Evidence struct {
	// Speed is relative to the other workers with tasks of the same steps; 1 is as fast as they are.
	Speed float64
	// Weight is the number of recent runs that the speed is derived from, less for older ones and
	// for steps with few runs elsewhere.
	Weight float64
	// Jobs is the number of jobs of these runs, and slowJobs that of the jobs with a slow run.
	Jobs, slowJobs int
	// earliest is the time of the first slow run among them.
	earliest time.Duration
}

func (e Evidence) slow() bool {
	return e.slowJobs >= minJobs && math.Log(e.Speed)+allowance*runDeviation/math.Sqrt(e.Weight) < logThreshold
}

func (e Evidence) sound() bool {
	return e.Weight >= leastWeight && math.Log(e.Speed) > logSoundSpeed
}

// suspected reports whether a worker has as many slow runs as jobs are required: without, there is
// nothing to judge, which is so for most workers.
func (t *Tracker) suspected(now time.Duration, n *node) bool {
	count := 0

	for _, r := range n.runs {
		if d, ok := r.deviation(); ok && d < logThreshold && now < r.at+evidenceLife {
			count++
		}
	}

	return count >= minJobs
}

// share is what the runs of a worker say in one step.
type share struct {
	step          Step
	total, weight float64
	elsewhere     int
	slow          bool
}

// evidence returns what is known about a worker. The variance of a comparison is that of the runs
// here and that of the runs elsewhere, and comparisons count by its inverse. The weight of a run falls
// by a factor of e within decay.
func (t *Tracker) evidence(now time.Duration, n *node, decay time.Duration) Evidence {
	e := Evidence{
		Speed:    1,
		earliest: now,
	}

	var total float64

	jobs := map[string]bool{}

	for _, s := range t.shares(now, n, decay, &e) {
		w := s.weight * float64(s.elsewhere) / (s.weight + float64(s.elsewhere))
		e.Weight += w
		total += w * s.total / s.weight

		if s.slow && !jobs[s.step.Job] {
			e.slowJobs++
		}

		jobs[s.step.Job] = jobs[s.step.Job] || s.slow
	}

	e.Jobs = len(jobs)

	if e.Weight > 0 {
		e.Speed = math.Exp(total / e.Weight)
	}

	return e
}

func (t *Tracker) shares(now time.Duration, n *node, decay time.Duration, e *Evidence) []share {
	var shares []share

	// A worker has several hundred runs within evidenceLife, most of which are of different steps.
	index := make(map[*group]int, len(n.runs))

	for _, r := range n.runs {
		d, ok := r.deviation()
		if !ok || now >= r.at+evidenceLife {
			continue
		}

		w := math.Exp(-(now - r.at).Seconds() / decay.Seconds())

		if d < logThreshold {
			e.earliest = min(e.earliest, r.at)
		}

		if i, ok := index[r.group]; ok {
			s := &shares[i]
			s.total, s.weight = s.total+w*d, s.weight+w
			s.slow = s.slow || d < logThreshold

			continue
		}

		index[r.group] = len(shares)
		_, elsewhere := r.group.elsewhere(r.node)
		shares = append(shares, share{
			step:      r.step,
			total:     w * d,
			weight:    w,
			elsewhere: elsewhere,
			slow:      d < logThreshold,
		})
	}

	return shares
}
