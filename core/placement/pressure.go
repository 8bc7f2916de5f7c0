package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Pressure on a worker is the latency of the service endpoint beside it divided by
// the latency target of the service.
const (
	// maxPredictedPressure is the pressure up to which tasks are placed, and the
	// one that throttling aims at.
	maxPredictedPressure = 0.95
	// highPressure is the pressure above which batch tasks are throttled.
	highPressure = 1.0
	// lowPressure is the pressure below which throttling is eased.
	lowPressure = 0.8
	// ratioWeight is the weight of a new measurement in the moving average of
	// the pressure.
	ratioWeight = 0.4
	// historyStep is the minimum interval between usage samples and historySize
	// their maximum number. Latencies are reported late, and each is compared
	// with the usage at the time when it was measured.
	historyStep = time.Second
	historySize = 30
	// minPerCore is added to each estimate when attempts are ranked for
	// throttling, so that jobs without an estimate are throttled too.
	minPerCore = 0.001
	// baseCores is the weight of the endpoint's own load in learning, in cores of
	// a job. The endpoint's load varies independently of the jobs.
	baseCores = 16
	// learningRate is the step size of the normalized least-mean-squares update.
	learningRate = 0.2
	// adjustInterval is the minimum time between two adjustments on a worker. It
	// gives measurements time to show the effect of the previous one.
	adjustInterval = 2 * time.Second
	// easeAfter is how long pressure must be low before throttling is eased, and
	// how long a worker takes no new tasks after high pressure.
	easeAfter = 5 * time.Second
)

// throttleSteps returns the limits of the successive throttling steps, in percent
// of the committed processors. An attempt on the last step can only be evicted.
func throttleSteps() []int { return []int{100, 50, 25} }

// interferenceKey identifies a service and a job, by its name, that share a worker.
type interferenceKey struct {
	service string
	job     string
}

// interferenceEstimate is the learned effect of a job on a service.
type interferenceEstimate struct {
	// perCore is the pressure that one core of the job adds.
	perCore float64
}

// pressure is the state of the interference control of one worker.
type pressure struct {
	// ratio is the moving average of measured latency divided by the target.
	ratio float64
	// coresAtMeasurement holds the cores that each job used at the time of the
	// last measurement, by job name.
	coresAtMeasurement map[string]float64
	// baseRatio is the estimated pressure without any job.
	baseRatio float64
	history   []usageSample
	// lowSince is the last time at which pressure was not below lowPressure.
	lowSince   time.Time
	adjustedAt time.Time
	// blockedUntil is until when only urgent tasks are placed.
	blockedUntil time.Time
	// measured says that the last report had a latency and a target exists.
	measured bool
}

// usageSample holds the cores that each job used on a worker, by job name.
type usageSample struct {
	at   time.Time
	jobs map[string]float64
}

// blocked reports whether a worker takes no tasks now. Urgent tasks are never
// blocked.
func (p *pressure) blocked(now time.Time, urgent bool) bool {
	return !urgent && now.Before(p.blockedUntil)
}

// estimate returns the estimate for a service and a job name and creates it if it
// is missing.
func (s *Scheduler) estimate(service, job string) *interferenceEstimate {
	k := interferenceKey{
		service: service,
		job:     job,
	}

	p, ok := s.estimates[k]
	if !ok {
		p = &interferenceEstimate{}
		s.estimates[k] = p
	}

	return p
}

// predictedPressure returns the pressure that a worker would have with one more
// task, or zero if there is no measurement.
func (s *Scheduler) predictedPressure(r *workerInfo, j *jobInfo, size Size) float64 {
	if !r.pressure.measured {
		return 0
	}

	return s.currentPressure(r) + s.interference(r.report.Service, j.spec.Name, size.MilliCores)
}

// currentPressure estimates the pressure now from the delayed measurement: it
// subtracts the interference of the tasks at the time of the measurement and adds
// that of the tasks committed now (a Smith predictor).
func (s *Scheduler) currentPressure(r *workerInfo) float64 {
	sum := r.pressure.ratio

	for _, job := range sortedKeys(r.pressure.coresAtMeasurement) {
		sum -= s.interference(r.report.Service, job, int64(r.pressure.coresAtMeasurement[job]*1000))
	}

	// Sorted, since the sum depends on the order in its last digits.
	for _, name := range sortedKeys(r.record.Committed) {
		id, ok := parseAttemptID(name)
		if !ok {
			continue
		}

		percent := int64(throttleSteps()[r.throttleStep[id]])
		sum += s.interference(r.report.Service, s.jobName(id.Job), r.record.Committed[name].MilliCores*percent/100)
	}

	return max(sum, 0)
}

// interference returns the estimated pressure that a job's processors add to a
// service.
func (s *Scheduler) interference(service, job string, milliCores int64) float64 {
	p := s.estimates[interferenceKey{
		service: service,
		job:     job,
	}]
	if p == nil {
		return 0
	}

	return p.perCore * float64(milliCores) / 1000
}

// observePressure updates the estimates from a heartbeat and adjusts throttling.
func (s *Scheduler) observePressure(now time.Time, h *shard, r *workerInfo) {
	p := &r.pressure

	target := s.services[r.report.Service]
	if target == 0 {
		p.measured = false

		return
	}

	s.recordUsage(now, r)

	if r.report.Latency == 0 {
		p.measured = false

		return
	}

	measured := float64(r.report.Latency) / float64(target)
	p.ratio += ratioWeight * (measured - p.ratio)
	p.coresAtMeasurement = p.usageAt(now.Add(-r.report.LatencyAge))
	p.measured = true

	s.learnInterference(r, measured)
	s.adjustThrottling(now, h, r)
}

// recordUsage samples the usage of each job for latency measurements that arrive
// later.
func (s *Scheduler) recordUsage(now time.Time, r *workerInfo) {
	p := &r.pressure
	if n := len(p.history); n > 0 && now.Sub(p.history[n-1].at) < historyStep {
		return
	}

	u := usageSample{
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

// usageAt returns the sample at or before a time, or the oldest one. There must be a
// sample.
func (p *pressure) usageAt(when time.Time) map[string]float64 {
	for i := len(p.history) - 1; i > 0; i-- {
		if !p.history[i].at.After(when) {
			return p.history[i].jobs
		}
	}

	return p.history[0].jobs
}

// learnInterference moves the base ratio of a worker and the estimates of its jobs
// towards the measurement, that of each job in proportion to its processors at that
// time (normalized least mean squares).
func (s *Scheduler) learnInterference(r *workerInfo, measured float64) {
	used := r.pressure.coresAtMeasurement
	names := sortedKeys(used)
	norm := float64(baseCores * baseCores)
	expected := r.pressure.baseRatio

	for _, name := range names {
		norm += used[name] * used[name]
		expected += s.estimate(r.report.Service, name).perCore * used[name]
	}

	step := learningRate * (measured - expected) / norm
	r.pressure.baseRatio = max(0, r.pressure.baseRatio+step*baseCores*baseCores)

	for _, name := range names {
		p := s.estimate(r.report.Service, name)
		p.perCore = max(0, p.perCore+step*used[name])
	}
}

// jobName returns the name of a job, or its key if the job is not known.
func (s *Scheduler) jobName(key string) string {
	if j, ok := s.jobs[key]; ok {
		return j.spec.Name
	}

	return key
}

// adjustThrottling throttles or evicts attempts while pressure is high, and eases
// throttling once pressure has been low for easeAfter.
func (s *Scheduler) adjustThrottling(now time.Time, h *shard, r *workerInfo) {
	p := &r.pressure
	pressure := s.currentPressure(r)

	if pressure >= lowPressure {
		p.lowSince = now
	}

	if now.Sub(p.adjustedAt) < adjustInterval {
		return
	}

	switch {
	case pressure > highPressure:
		p.adjustedAt = now
		p.blockedUntil = now.Add(easeAfter)
		s.tighten(h, r)
	case pressure < lowPressure && now.Sub(p.lowSince) > easeAfter:
		p.adjustedAt = now
		s.ease(h, r)
	}
}

// tighten throttles attempts, those with the most interference first, until
// pressure is expected to be within maxPredictedPressure. If pressure is expected
// to stay above highPressure even so, it evicts one attempt.
func (s *Scheduler) tighten(h *shard, r *workerInfo) {
	last := len(throttleSteps()) - 1

	for s.currentPressure(r) > maxPredictedPressure {
		worst := s.worst(r, last)
		if worst == nil {
			break
		}

		s.throttle(h, r, worst.ID, r.throttleStep[worst.ID]+1)
		s.stats.Throttled++
	}

	if s.currentPressure(r) <= highPressure {
		return
	}

	if worst := s.worst(r, last+1); worst != nil {
		s.evictAttempt(worst.ID, "it slowed "+r.report.Service)
	}
}

// worst returns the running attempt with the most interference among those on a
// throttling step lower than below, or nil.
func (s *Scheduler) worst(r *workerInfo, below int) *AttemptReport {
	var worst *AttemptReport

	worstCost := 0.0

	for i := range r.report.Tasks {
		t := &r.report.Tasks[i]
		step := r.throttleStep[t.ID]

		if t.Phase != PhaseRunning || s.evicting[t.ID] != nil || step >= below {
			continue
		}

		size := r.record.Committed[t.ID.String()]
		perCore := s.estimate(r.report.Service, s.jobName(t.ID.Job)).perCore
		cost := (perCore + minPerCore) * float64(size.MilliCores*int64(throttleSteps()[step]))

		if cost > worstCost {
			worst, worstCost = t, cost
		}
	}

	return worst
}

// ease lifts the throttling of one attempt by a step, if the endpoint is expected
// to stay within its target.
func (s *Scheduler) ease(h *shard, r *workerInfo) {
	ids := slices.SortedFunc(maps.Keys(r.throttleStep), func(a, b AttemptID) int { return cmp.Compare(a.String(), b.String()) })

	for _, id := range ids {
		step := r.throttleStep[id]

		if _, ok := r.record.Committed[id.String()]; !ok {
			delete(r.throttleStep, id)

			continue
		}

		if step > 0 && s.canEase(r, id, step) {
			s.throttle(h, r, id, step-1)

			return
		}
	}
}

// canEase reports whether pressure is expected to stay within
// maxPredictedPressure if an attempt is throttled one step less.
func (s *Scheduler) canEase(r *workerInfo, id AttemptID, step int) bool {
	steps := throttleSteps()
	size := r.record.Committed[id.String()]
	more := size.MilliCores * int64(steps[step-1]-steps[step]) / 100

	return s.currentPressure(r)+s.interference(r.report.Service, s.jobName(id.Job), more) <= maxPredictedPressure
}

// throttle moves an attempt to a throttling step and queues the command for it.
func (s *Scheduler) throttle(h *shard, r *workerInfo, id AttemptID, step int) {
	r.throttleStep[id] = step
	h.throttles = append(h.throttles, Throttle{
		Worker:  r.name,
		ID:      id,
		Percent: throttleSteps()[step],
	})
}
