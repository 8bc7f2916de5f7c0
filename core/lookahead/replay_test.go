package lookahead

import (
	"slices"
	"testing"
	"time"

	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

// replayStep is the time between two passes of a replay.
const replayStep = 50 * time.Millisecond

// replayedRun is a task that runs on the only worker of a replay.
type replayedRun struct {
	size          job.Size
	started, ends time.Duration
	estimate      time.Duration
	first, last   Reading
}

// replay plays a load on a worker of eight cores: small tasks that come without end, and one large
// task of six cores that is ahead of them from the time largeAt.
type replay struct {
	now      time.Duration
	planning bool
	// actual returns the run time of a task with an estimate.
	actual func(estimate time.Duration) time.Duration
	// reports means that the progress of runs is reported once a second.
	reports bool

	plan         Plan
	runs         []replayedRun
	free         job.Size
	largeAt      time.Duration
	largeStarted time.Duration
	// late means that a reservation has lapsed.
	late bool
	// reservations counts those that were made, and before the small tasks that were started
	// while the large one waited.
	reservations, before int
}

// estimates are the estimated run times of the small tasks, in turn.
var estimates = []time.Duration{2 * time.Second, 600 * time.Millisecond, 1500 * time.Millisecond, 900 * time.Millisecond}

func (r *replay) timeline() []Run {
	var list []Run
	for _, e := range r.runs {
		list = append(list, Run{
			Size: e.size,
			End:  ExpectedEnd(r.now, e.started, e.first, e.last, e.estimate),
		})
	}

	return list
}

func (r *replay) start(size job.Size, estimate time.Duration) {
	r.free = r.free.Sub(size)
	r.runs = append(r.runs, replayedRun{
		size:     size,
		started:  r.now,
		ends:     r.now + r.actual(estimate),
		estimate: estimate,
		first:    Reading{At: r.now},
	})
}

func (r *replay) endRuns() {
	r.runs = slices.DeleteFunc(r.runs, func(e replayedRun) bool {
		if e.ends > r.now {
			return false
		}

		r.free = r.free.Add(e.size)

		return true
	})

	for i := range r.runs {
		e := &r.runs[i]
		if r.reports && r.now%time.Second == 0 {
			e.last = Reading{r.now, int((r.now - e.started) * fullPercent / (e.ends - e.started))}
		}
	}
}

var large = Step{Job: "large"}

// placeLarge starts the large task, or makes a reservation for it.
func (r *replay) placeLarge() {
	if r.now < r.largeAt || r.largeStarted > 0 {
		return
	}

	r.plan.Reach(large)

	if r.free.CanFit(cores(6)) {
		r.plan.Release(large)
		r.start(cores(6), time.Second)
		r.largeStarted = r.now

		return
	}

	if fit, ok := EarliestFit(r.now, r.free, r.timeline(), cores(6), false); ok && r.planning {
		if _, made := r.plan.Reserve(Reservation{
			Step: large,
			Node: "n1",
			Need: cores(6),
			Made: r.now,
			At:   fit.At,

			Strict: r.late,
		}); made {
			r.reservations++
		}
	}
}

// allows reports whether a small task may start now.
func (r *replay) allows(estimate time.Duration) bool {
	reserved, ok := r.plan.On("n1")
	if !ok {
		return true
	}

	if fit, ok := EarliestFit(r.now, r.free, r.timeline(), reserved.Need, false); ok {
		r.plan.Advance("n1", fit.At)
		reserved, _ = r.plan.On("n1")
	}

	return r.plan.Allows("n1", RoomAt(reserved.At, r.free, r.timeline(), false), Claim{
		Step: Step{Job: "small"},
		Size: cores(1),
		End:  r.now + estimate,
	})
}

// pass runs a pass in which the waiting tasks are the large one and, behind it, small ones of all
// estimates.
func (r *replay) pass() {
	r.endRuns()
	r.late = r.late || len(r.plan.Expire(r.now)) > 0
	r.plan.BeginPass()
	r.placeLarge()

	for n := 0; n < len(estimates); {
		estimate := estimates[(int(r.now/replayStep)+n)%len(estimates)]
		if !r.free.CanFit(cores(1)) {
			break
		}

		if !r.allows(estimate) {
			n++

			continue
		}

		r.start(cores(1), estimate)

		if r.now >= r.largeAt && r.largeStarted == 0 {
			r.before++
		}

		n++
	}
}

func (r *replay) play(until time.Duration) {
	r.free = cores(8)

	for r.now = replayStep; r.now < until && r.largeStarted == 0; r.now += replayStep {
		r.pass()
	}
}

// TestSmallTasks guards against a stream of small tasks that keeps a large one waiting for ever,
// and against a worker that stands idle until the large one starts. It has estimates that are off by 90%
// in both directions, with and without reports of progress.
func TestSmallTasks(t *testing.T) {
	exact := func(estimate time.Duration) time.Duration { return estimate }
	long := func(estimate time.Duration) time.Duration { return 10 * estimate }
	short := func(estimate time.Duration) time.Duration { return estimate / 10 }

	tests := map[string]struct {
		planning, reports bool
		actual            func(time.Duration) time.Duration
		started           bool
		// within bounds the wait of the large task, and fills is the least number of small
		// tasks that are started before it.
		within time.Duration
		fills  int
	}{
		"WithoutPlan":     {false, false, exact, false, 0, 0},
		"Plan":            {true, false, exact, true, 2 * time.Second, 3},
		"PlanReports":     {true, true, exact, true, 2 * time.Second, 3},
		"LongWithoutPlan": {false, false, long, false, 0, 0},
		// A small task takes up to 20 s, and the first reservation lapses within 5 s.
		"Long":             {true, false, long, true, 25 * time.Second, 0},
		"LongReports":      {true, true, long, true, 25 * time.Second, 0},
		"ShortWithoutPlan": {false, false, short, false, 0, 0},
		"Short":            {true, false, short, true, time.Second, 0},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			r := replay{
				planning: c.planning,
				reports:  c.reports,
				actual:   c.actual,
				largeAt:  5 * time.Second,
			}
			r.play(2 * time.Minute)

			wait := r.largeStarted - r.largeAt
			t.Logf("started %s, waited %s, reservations %d, small tasks before %d", r.largeStarted, wait, r.reservations, r.before)
			assert.Equal(t, r.largeStarted > 0, c.started)

			if c.within > 0 {
				assert.Assert(t, wait <= c.within, "waited %s", wait)
				assert.Assert(t, r.before >= c.fills, "%d small tasks before it", r.before)
			}
		})
	}
}
