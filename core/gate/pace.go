package gate

import (
	"cmp"
	"slices"
	"time"

	"trefoildeck/core/interference"
	"trefoildeck/core/job"
)

const (
	// paceGoal is the share of its target that a serving task's latency may
	// reach before tasks that fill are held back: a serving load grows by up to
	// a sixth between two readings.
	paceGoal = 0.8
	// fullPace is the pace of a task that is not held back.
	fullPace = 100
	// paceStep is the grain of paces in percent.
	paceStep = 25
)

// PaceOrder sets the pace of a run.
type PaceOrder struct {
	Task    job.TaskID
	Attempt int
	Percent int
}

// Sample is what the last listing shows of interference.
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

// serving reports whether a run serves its own users now.
func (e *RunState) serving() bool {
	return e.OrderKnown && e.Order.Target > 0 && e.Run.ProgressPercent == fullPace && e.Run.Measurement > 0
}

const (
	// distrustAfter is how long a serving task may be over its target before what
	// was learnt of its pairs is doubted: the users bear 4 s, and two readings pass
	// before the next pace shows.
	distrustAfter = 1500 * time.Millisecond
	// distrustTime is how long the doubt lasts after that: several readings, from
	// which the pairs are learnt anew.
	distrustTime = 5 * time.Second
)

// watch takes in a reading of a serving task at a local time.
func (e *RunState) watch(now time.Duration) {
	switch {
	case !e.serving() || e.Run.Measurement <= e.Order.Target.Milliseconds():
		e.over = 0
	case e.over == 0:
		e.over = now
	case now-e.over >= distrustAfter:
		e.distrusted = now + distrustTime
	}
}

// headroom is by how much the speed of a serving task may fall.
type headroom struct {
	image string
	left  float64
	// distrusted says that any image is taken to disturb it.
	distrusted bool
}

// factor is what to expect of an image beside it.
func (h headroom) factor(l *interference.Learner, image string) float64 {
	f := l.Factor(image, h.image)
	if h.distrusted {
		return max(f, interference.PriorFactor)
	}

	return f
}

// Pace decides the pace of the tasks that fill, and books it: as many of them
// as the serving tasks beside them bear, those that disturb the least first.
func (g *Gate) Pace(s interference.Sample, l *interference.Learner) []PaceOrder {
	rooms := g.rooms(s, l)
	capacity := float64(max(1, g.Worker.Capacity.MilliCores))

	var fills []*RunState

	for _, e := range g.Runs {
		if e.OrderKnown && e.Order.Fills && e.Phase == Confirmed {
			fills = append(fills, e)
		}
	}

	harm := func(e *RunState) float64 {
		worst := 0.0
		for _, r := range rooms {
			worst = max(worst, r.factor(l, e.Order.Image))
		}

		return worst
	}

	slices.SortFunc(fills, func(a, b *RunState) int {
		return cmp.Or(cmp.Compare(harm(a), harm(b)), cmp.Compare(a.Run.Task.String(), b.Run.Task.String()))
	})

	var orders []PaceOrder

	for _, e := range fills {
		share := float64(e.Order.Size.MilliCores) / capacity
		pace := bearable(rooms, l, e.Order.Image, share)

		for i := range rooms {
			rooms[i].left -= rooms[i].factor(l, e.Order.Image) * share * float64(pace) / fullPace
		}

		if pace != e.PacePercent {
			e.PacePercent = pace
			orders = append(orders, PaceOrder{
				Task:    e.Run.Task,
				Attempt: e.Attempt,
				Percent: pace,
			})
		}
	}

	return orders
}

// rooms returns what each serving task bears beyond its own load.
func (g *Gate) rooms(s interference.Sample, l *interference.Learner) []headroom {
	var list []headroom

	for t, r := range s.Serving {
		h := headroom{
			image:      r.Image,
			left:       r.Speed() - 1/paceGoal,
			distrusted: g.Runs[t].distrusted > s.At,
		}

		// What the tasks that fill add now is theirs to use.
		for f, share := range s.Filling {
			if !h.distrusted {
				h.left += l.Factor(f, r.Image) * share
			}
		}

		list = append(list, h)
	}

	return list
}

// bearable is the highest pace at which all serving tasks keep their headroom.
func bearable(rooms []headroom, l *interference.Learner, image string, share float64) int {
	pace := fullPace

	for _, r := range rooms {
		rise := r.factor(l, image) * share
		if rise <= 0 {
			continue
		}

		limit := max(0, r.left) / rise * fullPace
		pace = min(pace, int(limit)/paceStep*paceStep)
	}

	return pace
}
