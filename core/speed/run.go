package speed

import (
	"math"
	"time"

	"trefoildeck/core/job"
)

const (
	// startAllowance is how much later than ordered a run may start without fault of its worker.
	startAllowance = 250 * time.Millisecond
	// window is the least time over which the progress of a run is measured, if it has run for as
	// long. It is a compromise: a shorter one is dominated by the age of the readings, and a longer
	// one shows a change of speed later.
	window = 3 * time.Second
	// maxPoints bounds the readings that are kept of a run. With one a second, they cover window.
	maxPoints = 6
	// maxSpread is the widest range, as a logarithm, of a run under way by which others are judged.
	maxSpread = 1.0
)

// point is the progress of a run at a time.
type point struct {
	at      time.Duration
	percent int
	// least and most bound the time that the run has had since its first point, in seconds at full
	// speed.
	least, most float64
	// age is the greatest age of the reading in seconds. The start and the end of a run are exact.
	age   float64
	exact bool
}

// run is what is known of one run.
type run struct {
	task job.TaskID
	node string
	step Step
	// group has the durations of the step's tasks.
	group  *group
	points []point
	// limits are the last known ones, and least and most the bounds of the time that the run has had
	// until accountedAt, in seconds at full speed.
	limits      Limits
	least, most float64
	accountedAt time.Duration
	// ordered is when the run was ordered, 0 if that is unknown.
	ordered time.Duration
	// ended means that the run is over, and done that its task is.
	ended, done bool

	// at is the time of the last point. The run takes between lower and upper for a whole task at
	// full speed, as logarithms of seconds. They are infinite if nothing is known.
	at           time.Duration
	lower, upper float64
	// counted is what the run has added to the sum of its step, if it isn't nil.
	counted *float64
}

func (r *run) observe(now time.Duration, reading Reading) {
	r.account(now, reading.Limits)
	r.addPoint(now, point{
		percent: reading.Percent,
		age:     reading.Age.Seconds(),
	})
}

func (r *run) finish(now time.Duration) {
	r.done = true
	r.account(now, r.limits)
	r.addPoint(now, point{
		percent: 100,
		exact:   true,
	})
}

// account adds the time since the last call: the pace was the one before, and the share no less than
// the lower one.
func (r *run) account(now time.Duration, l Limits) {
	took := (now - r.accountedAt).Seconds()

	if r.limits.Pace == UnknownPace {
		r.most += took
	} else {
		r.most += took * r.limits.Pace
		r.least += took * r.limits.Pace * min(r.limits.Share, l.Share)
	}

	r.limits, r.accountedAt = l, now
}

// addPoint adds a point after the last one.
func (r *run) addPoint(now time.Duration, p point) {
	p.at, p.least, p.most = now, r.least, r.most

	if len(r.points) == maxPoints {
		r.points = append(r.points[:0], r.points[1:]...)
	}

	r.points = append(r.points, p)
}

// measure derives the range of the task's duration from the points.
func (r *run) measure() {
	last := r.points[len(r.points)-1]
	r.at = last.at

	if len(r.points) < 2 {
		return
	}

	base := r.points[0]

	for _, p := range r.points[1:] {
		if p.at <= last.at-window {
			base = p
		}
	}

	// The work is up to one percent more than what the last reading says, and up to one percent less
	// than the difference if the first one says too little.
	least, most := last.least-base.least-last.age, last.most-base.most+base.age
	done := float64(last.percent - base.percent)
	atMost, atLeast := done, done

	if !last.exact {
		atMost++
	}

	if base.exact {
		least -= startAllowance.Seconds()
	} else {
		atLeast--
	}

	r.lower, r.upper = math.Inf(-1), math.Inf(1)

	if least > 0 && atMost > 0 {
		r.lower = math.Log(least * 100 / atMost)
	}

	if most > 0 && atLeast > 0 {
		r.upper = math.Log(most * 100 / atLeast)
	}
}

// known reports whether anything is known of the task's duration.
func (r *run) known() bool { return !math.IsInf(r.lower, 0) || !math.IsInf(r.upper, 0) }

// typical returns the duration by which runs elsewhere are judged, as a logarithm, or nil if it is
// too uncertain. It is the longest that the run may need, so that doubt about one worker doesn't
// speak against the others.
func (r *run) typical() *float64 {
	if math.IsInf(r.upper, 1) || (!r.done && r.upper-r.lower > maxSpread) {
		return nil
	}

	return &r.upper
}

func exp(logSeconds float64) time.Duration {
	return time.Duration(math.Exp(logSeconds) * float64(time.Second))
}
