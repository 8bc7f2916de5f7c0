package gate

import (
	"cmp"
	"slices"
	"time"

	"trefoildeck/core/interference"
	"trefoildeck/core/job"
)

const (
	// maxLatencyRatio is the ratio of latency to target that a serving task may
	// reach before filling tasks are throttled. It is below 1 because a serving load
	// grows by up to a sixth between two readings.
	maxLatencyRatio = 0.8
	// UnknownPace stands for the pace of a filling task that was found on the worker, or
	// whose last pace order failed. The next call of Pace orders its pace.
	UnknownPace = -1
	// fullPercent is the pace of a run that is not throttled, and the progress of
	// a task that is complete or serving.
	fullPercent = 100
	// paceStepPercent is the granularity of paces.
	paceStepPercent = 25
)

// PaceOrder is an order to limit a run to a percentage of its full speed.
type PaceOrder struct {
	Task    job.TaskID
	Attempt int
	Percent int
}

// Sample returns the processor shares and latencies of the last listing, as input
// for an interference learner.
func (g *Gate) Sample(now time.Duration) interference.Sample {
	s := interference.Sample{
		At:      now,
		Filling: map[string]float64{},
		Serving: map[job.TaskID]interference.Reading{},
	}
	capacity := float64(max(1, g.Worker.Capacity.MilliCores))

	for t, e := range g.Runs {
		switch {
		case !e.OrderKnown:
		case e.Order.Fills:
			s.Filling[e.Order.Image] += float64(e.Run.Measurement) / capacity
		case e.serving():
			s.Serving[t] = interference.Reading{
				Image: e.Order.Image,
				Ratio: float64(e.Run.Measurement) / float64(e.Order.Target.Milliseconds()),
			}
		}
	}

	return s
}

// serving reports whether a run has a latency target and serves requests now.
func (e *RunState) serving() bool {
	return e.OrderKnown && e.Order.Target > 0 && e.Run.ProgressPercent == fullPercent && e.Run.Measurement > 0
}

const (
	// distrustAfter is how long a serving task's latency may exceed its target before
	// the learned factors of its pairs are distrusted. The users tolerate 4 s, and
	// the effect of a new pace shows after two readings.
	distrustAfter = 1500 * time.Millisecond
	// distrustTime is how long the factors stay distrusted after that: several
	// readings, from which the pairs are learned again.
	distrustTime = 5 * time.Second
)

// trackLatency updates since when a serving task's latency has exceeded its target, and
// until when the learned factors of its pairs are distrusted.
func (e *RunState) trackLatency(now time.Duration) {
	switch {
	case !e.serving() || e.Run.Measurement <= e.Order.Target.Milliseconds():
		e.overTargetSince = 0
	case e.overTargetSince == 0:
		e.overTargetSince = now
	case now-e.overTargetSince >= distrustAfter:
		e.distrustedUntil = now + distrustTime
	}
}

// headroom is the interference that a serving task tolerates.
type headroom struct {
	image string
	// maxLoss is the amount by which the task's speed may fall.
	maxLoss float64
	// distrusted means that every filling image is assumed to slow the task.
	distrusted bool
}

// factor returns the expected interference factor of a filling image.
func (h headroom) factor(l *interference.Learner, image string) float64 {
	f := l.Factor(image, h.image)
	if h.distrusted {
		return max(f, interference.PriorFactor)
	}

	return f
}

// Pace sets the paces of the worker's filling tasks, as high as the serving tasks'
// headroom allows, and returns those that changed. The filling tasks that interfere
// least get headroom first.
func (g *Gate) Pace(s interference.Sample, l *interference.Learner) []PaceOrder {
	headrooms := g.headrooms(s, l)
	capacity := float64(max(1, g.Worker.Capacity.MilliCores))

	var filling []*RunState

	for _, e := range g.Runs {
		if e.OrderKnown && e.Order.Fills && e.Phase == Confirmed {
			filling = append(filling, e)
		}
	}

	worstFactor := func(e *RunState) float64 {
		worst := 0.0
		for _, r := range headrooms {
			worst = max(worst, r.factor(l, e.Order.Image))
		}

		return worst
	}

	slices.SortFunc(filling, func(a, b *RunState) int {
		return cmp.Or(cmp.Compare(worstFactor(a), worstFactor(b)), cmp.Compare(a.Order.Task.String(), b.Order.Task.String()))
	})

	var orders []PaceOrder

	for _, e := range filling {
		share := float64(e.Order.Size.MilliCores) / capacity
		pace := maxPace(headrooms, l, e.Order.Image, share)

		for i := range headrooms {
			headrooms[i].maxLoss -= headrooms[i].factor(l, e.Order.Image) * share * float64(pace) / fullPercent
		}

		if pace != e.PacePercent {
			e.PacePercent = pace
			orders = append(orders, PaceOrder{
				Task:    e.Order.Task,
				Attempt: e.Attempt,
				Percent: pace,
			})
		}
	}

	return orders
}

// HandlePaceFailure records that a pace order had no effect.
func (g *Gate) HandlePaceFailure(o PaceOrder) {
	if e := g.Runs[o.Task]; e != nil && e.Attempt == o.Attempt && e.PacePercent == o.Percent {
		e.PacePercent = UnknownPace
	}
}

// HandlePaceInDoubt records that a pace order went unanswered. It raises the fencing token, so
// that the order can't take effect after the next one, which follows a call with the new token.
func (g *Gate) HandlePaceInDoubt(o PaceOrder) {
	g.HandlePaceFailure(o)
	g.RaiseToken(0)
}

// headrooms returns the headroom of each serving task in a sample.
func (g *Gate) headrooms(s interference.Sample, l *interference.Learner) []headroom {
	var list []headroom

	for t, r := range s.Serving {
		h := headroom{
			image:      r.Image,
			maxLoss:    r.Speed() - 1/maxLatencyRatio,
			distrusted: g.Runs[t].distrustedUntil > s.At,
		}

		// The filling tasks' present interference already lowers the measured speed,
		// so it is added back.
		for f, share := range s.Filling {
			if !h.distrusted {
				h.maxLoss += l.Factor(f, r.Image) * share
			}
		}

		list = append(list, h)
	}

	return list
}

// maxPace returns the highest pace in percent at which a filling task with a share of
// the worker's processors leaves each serving task within its headroom.
func maxPace(headrooms []headroom, l *interference.Learner, image string, share float64) int {
	pace := fullPercent

	for _, r := range headrooms {
		loss := r.factor(l, image) * share
		if loss <= 0 {
			continue
		}

		limit := max(0, r.maxLoss) / loss * fullPercent
		pace = min(pace, int(limit)/paceStepPercent*paceStepPercent)
	}

	return pace
}
