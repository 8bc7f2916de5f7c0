package lookahead

import "time"

const (
	// fullPercent is the progress of a complete task.
	fullPercent = 100
	// overdueDivisor is the part of its run time so far after which an overdue run is
	// expected to end. Estimated run times are off by up to 90%, so that a run at the end of
	// its estimate may go on for several times as long.
	overdueDivisor = 10
	// minOverdue is the least time after which an end is expected. An end reaches the
	// scheduler some 10 ms later, over a call to the worker and a report, so that a nearer
	// one can't be told from one that is due.
	minOverdue = 100 * time.Millisecond
)

// Reading is a reading of a run's progress.
type Reading struct {
	At      time.Duration
	Percent int
}

// ExpectedEnd returns the time, later than now, at which a run is expected to end. It is
// extrapolated from the progress between the first and the last reading, or from the
// estimated run time if there was none. A run that was resumed from a checkpoint, or whose
// start is unknown, begins with the progress of its first reading. Readings are the zero value
// if there are none, and estimate is 0 if it is unknown.
func ExpectedEnd(now, started time.Duration, first, last Reading, estimate time.Duration) time.Duration {
	var end time.Duration

	if gained := last.Percent - first.Percent; gained > 0 && last.At > first.At {
		end = last.At + (last.At-first.At)/time.Duration(gained)*remaining(last)
	} else {
		end = started + estimate/fullPercent*remaining(first)
	}

	if end > now {
		return end
	}

	return now + max((now-started)/overdueDivisor, minOverdue)
}

// remaining returns the percentage of a task that is left after a reading, as a factor of
// the time that one percent takes.
func remaining(r Reading) time.Duration {
	return time.Duration(min(max(fullPercent-r.Percent, 0), fullPercent))
}
