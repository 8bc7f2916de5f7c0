package fleet

import (
	"time"

	"trefoildeck/core/lookahead"
)

// runProgress is what is known of a run's progress.
type runProgress struct {
	// first is the reading from which progress is counted, and last that at which it last
	// changed.
	first, last lookahead.Reading
	// known means that there was a reading, and resumed that the run began at the checkpoint of
	// an earlier one.
	known, resumed bool
}

// recordProgress records a reading of the progress in percent.
func (r *run) recordProgress(now time.Duration, percent int) {
	r.progressPercent = percent

	p := &r.progress
	reading := lookahead.Reading{
		At:      now,
		Percent: percent,
	}

	switch {
	case !p.known && !p.resumed && now > r.started:
		p.first, p.last = lookahead.Reading{At: r.started}, reading
	case !p.known || percent < p.last.Percent:
		// A run that was found on its worker began at an unknown time, which r.started is not.
		p.first, p.last = reading, reading
	case percent > p.last.Percent:
		p.last = reading
	}

	p.known = true
}

// expectedEnd returns the time, later than now, at which a run is expected to end, or 0 if it runs
// until it is cancelled.
func (r *run) expectedEnd(now time.Duration) time.Duration {
	if r.step.LongRunning {
		return 0
	}

	return lookahead.ExpectedEnd(now, r.started, r.progress.first, r.progress.last, r.step.RunTime())
}
