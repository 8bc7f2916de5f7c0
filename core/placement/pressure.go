package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// How interference is learnt and acted on.
const (
	// maxPredicted is the share of a latency target that placement may fill.
	maxPredicted = 0.95
	// highPressure is the share above which batch work is throttled.
	highPressure = 1.0
	// lowPressure is the share below which throttling is eased.
	lowPressure = 0.8
	// ratioWeight smooths the measured share.
	ratioWeight = 0.4
	// historyStep and historySize bound what is kept for late measurements.
	historyStep = time.Second
	historySize = 30
	// minPerCore lets jobs of which nothing is known be throttled too.
	minPerCore = 0.001
	// baseCores weighs the endpoint's own load, which changes by itself, as if it
	// were so many cores of a job.
	baseCores = 16
	// learnRate is the step of the least-mean-squares update.
	learnRate = 0.2
	// actEvery is the least time between two acts on a worker: a measurement
	// must have had time to show what the act before did.
	actEvery = 2 * time.Second
	// easeAfter is how long pressure must be low before throttling is eased.
	easeAfter = 5 * time.Second
)

// throttleSteps are the shares of processors, in percent, in turn; after the
// last one the attempt is evicted.
func throttleSteps() []int { return []int{100, 50, 25} }

// pairKey names a service and a job that share a worker.
type pairKey struct {
	service string
	job     string
}

// pair is what is learnt of a service and a job together.
type pair struct {
	// perCore is the share of the latency target that one core of the job
	// takes from the service.
	perCore float64
}

// pressure is what is seen of a worker's service endpoint.
type pressure struct {
	// ratio is the endpoint's latency as a share of its target, as measured.
	ratio float64
	// then has the cores that each job used when ratio was measured.
	then map[string]float64
	// base is the endpoint's own share, without any job.
	base      float64
	history   []usage
	lowSince  time.Time
	actedAt   time.Time
	holdUntil time.Time
	measured  bool
}

// usage has the cores that each job used on a worker at a time.
type usage struct {
	at   time.Time
	jobs map[string]float64
}

// held reports whether a worker takes no new tasks for a while.
func (p *pressure) held(now time.Time, urgent bool) bool {
	return !urgent && now.Before(p.holdUntil)
}

func (s *Scheduler) pair(service, job string) *pair {
	k := pairKey{
		service: service,
		job:     job,
	}

	p, ok := s.pairs[k]
	if !ok {
		p = &pair{}
		s.pairs[k] = p
	}

	return p
}

// predicted is the pressure that a worker would have with one more task.
func (s *Scheduler) predicted(r *workerRow, j *jobRow, size Size) float64 {
	if !r.pressure.measured {
		return 0
	}

	return s.current(r) + s.taken(r.report.Service, j.spec.Name, size.MilliCores)
}

// current is the pressure by now: what was measured, and what is learnt of the
// tasks that came and went since (a Smith predictor).
func (s *Scheduler) current(r *workerRow) float64 {
	sum := r.pressure.ratio

	for _, job := range sortedKeys(r.pressure.then) {
		sum -= s.taken(r.report.Service, job, int64(r.pressure.then[job]*1000))
	}

	for name, size := range r.record.Committed {
		id, ok := parseAttemptID(name)
		if !ok {
			continue
		}

		percent := int64(throttleSteps()[r.throttled[id]])
		sum += s.taken(r.report.Service, s.jobName(id.Job), size.MilliCores*percent/100)
	}

	return max(sum, 0)
}

// taken is the share of a service's target that a job's processors take.
func (s *Scheduler) taken(service, job string, milliCores int64) float64 {
	p := s.pairs[pairKey{
		service: service,
		job:     job,
	}]
	if p == nil {
		return 0
	}

	return p.perCore * float64(milliCores) / 1000
}

// observePressure learns from one heartbeat and throttles or eases.
func (s *Scheduler) observePressure(now time.Time, h *shard, r *workerRow) {
	p := &r.pressure

	target := s.services[r.report.Service]
	if target == 0 {
		p.measured = false

		return
	}

	s.remember(now, r)

	if r.report.Latency == 0 {
		p.measured = false

		return
	}

	measured := float64(r.report.Latency) / float64(target)
	p.ratio += ratioWeight * (measured - p.ratio)
	p.then = p.at(now.Add(-r.report.LatencyAge))
	p.measured = true

	s.learnPairs(r, measured)
	s.act(now, h, r)
}

// remember keeps what each job uses, for measurements that come later.
func (s *Scheduler) remember(now time.Time, r *workerRow) {
	p := &r.pressure
	if n := len(p.history); n > 0 && now.Sub(p.history[n-1].at) < historyStep {
		return
	}

	u := usage{
		at:   now,
		jobs: map[string]float64{},
	}

	for _, t := range r.report.Tasks {
		if t.Phase == PhaseRunning {
			u.jobs[s.jobName(t.ID.Job)] += float64(t.Used.MilliCores) / 1000
		}
	}

	p.history = append(p.history, u)
	if len(p.history) > historySize {
		p.history = slices.Delete(p.history, 0, 1)
	}
}

// at returns what was used at a time, or the oldest that is known.
func (p *pressure) at(when time.Time) map[string]float64 {
	for i := len(p.history) - 1; i > 0; i-- {
		if !p.history[i].at.After(when) {
			return p.history[i].jobs
		}
	}

	return p.history[0].jobs
}

// learnPairs moves the estimates of all jobs on a worker towards what was
// measured, each in proportion to its processors at that time (normalized least
// mean squares).
func (s *Scheduler) learnPairs(r *workerRow, measured float64) {
	used := r.pressure.then
	names := sortedKeys(used)
	norm := float64(baseCores * baseCores)
	expected := r.pressure.base

	for _, name := range names {
		norm += used[name] * used[name]
		expected += s.pair(r.report.Service, name).perCore * used[name]
	}

	step := learnRate * (measured - expected) / norm
	r.pressure.base = max(0, r.pressure.base+step*baseCores*baseCores)

	for _, name := range names {
		p := s.pair(r.report.Service, name)
		p.perCore = max(0, p.perCore+step*used[name])
	}
}

func (s *Scheduler) jobName(key string) string {
	if j, ok := s.jobs[key]; ok {
		return j.spec.Name
	}

	return key
}

// act throttles the job that hurts most, evicts what is throttled to the last
// step, and eases once pressure has been low for a while.
func (s *Scheduler) act(now time.Time, h *shard, r *workerRow) {
	p := &r.pressure
	pressure := s.current(r)

	if pressure >= lowPressure {
		p.lowSince = now
	}

	if now.Sub(p.actedAt) < actEvery {
		return
	}

	switch {
	case pressure > highPressure:
		p.actedAt = now
		p.holdUntil = now.Add(easeAfter)
		s.tighten(h, r)
	case pressure < lowPressure && now.Sub(p.lowSince) > easeAfter:
		p.actedAt = now
		s.ease(h, r)
	}
}

// tighten throttles, the job that hurts most first, until the endpoint is
// expected to be within its target; where all is throttled, it evicts one.
func (s *Scheduler) tighten(h *shard, r *workerRow) {
	last := len(throttleSteps()) - 1

	for s.current(r) > maxPredicted {
		worst := s.worst(r, last)
		if worst == nil {
			break
		}

		s.throttle(h, r, worst.ID, r.throttled[worst.ID]+1)
		s.stats.Throttled++
	}

	if s.current(r) <= highPressure {
		return
	}

	if worst := s.worst(r, last+1); worst != nil {
		s.evictAttempt(worst.ID, "it slowed "+r.report.Service)
	}
}

// worst returns the running attempt that takes most from the endpoint, of those
// that are throttled less than a step.
func (s *Scheduler) worst(r *workerRow, below int) *AttemptReport {
	var worst *AttemptReport

	worstCost := 0.0

	for i := range r.report.Tasks {
		t := &r.report.Tasks[i]
		step := r.throttled[t.ID]

		if t.Phase != PhaseRunning || s.evicting[t.ID] != nil || step >= below {
			continue
		}

		size := r.record.Committed[t.ID.String()]
		perCore := s.pair(r.report.Service, s.jobName(t.ID.Job)).perCore
		cost := (perCore + minPerCore) * float64(size.MilliCores*int64(throttleSteps()[step]))

		if cost > worstCost {
			worst, worstCost = t, cost
		}
	}

	return worst
}

func (s *Scheduler) ease(h *shard, r *workerRow) {
	ids := slices.SortedFunc(maps.Keys(r.throttled), func(a, b AttemptID) int { return cmp.Compare(a.String(), b.String()) })

	for _, id := range ids {
		step := r.throttled[id]

		if _, ok := r.record.Committed[id.String()]; !ok {
			delete(r.throttled, id)

			continue
		}

		if step > 0 && s.bearable(r, id, step) {
			s.throttle(h, r, id, step-1)

			return
		}
	}
}

// bearable reports whether the endpoint is expected to stay within its target
// if an attempt is throttled one step less.
func (s *Scheduler) bearable(r *workerRow, id AttemptID, step int) bool {
	steps := throttleSteps()
	size := r.record.Committed[id.String()]
	more := size.MilliCores * int64(steps[step-1]-steps[step]) / 100

	return s.current(r)+s.taken(r.report.Service, s.jobName(id.Job), more) <= maxPredicted
}

func (s *Scheduler) throttle(h *shard, r *workerRow, id AttemptID, step int) {
	r.throttled[id] = step
	h.throttles = append(h.throttles, Throttle{
		Worker:  r.name,
		ID:      id,
		Percent: throttleSteps()[step],
	})
}
