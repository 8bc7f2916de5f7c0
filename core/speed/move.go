package speed

import "time"

const (
	// stopTime is the longest time that a stop takes. restoreTime is an assumption for the start
	// elsewhere, with or without a checkpoint.
	stopTime    = 900 * time.Millisecond
	restoreTime = 200 * time.Millisecond
	// assumedSlowTime is how much longer a slow worker is taken to be slow. The load that is known
	// lasts 6 s, about half of which has passed when the worker is found.
	assumedSlowTime = 3 * time.Second
	// leastSpeed bounds the speed from below: one that was just measured may be 0.
	leastSpeed = 0.02
	// moveMargin is the least gain of a move, which also takes room elsewhere.
	moveMargin = 200 * time.Millisecond
)

// Move is the choice whether a run on a slow worker is to be stopped and started elsewhere.
type Move struct {
	// Done and Saved are the parts of the task, between 0 and 1, that the run has completed and that
	// its last checkpoint has; the latter is 0 for tasks without checkpoints.
	Done, Saved float64
	// Speed is the speed of the run here, and Duration that of a whole task elsewhere.
	Speed    float64
	Duration time.Duration
}

// Gain returns how much earlier the task is expected to end if it is moved, which is negative if it
// ends later, and whether the move pays.
func (m Move) Gain() (time.Duration, bool) {
	gain := m.here() - m.elsewhere()

	return gain, gain > moveMargin
}

// here returns the time until the run ends on the slow worker: as fast as now for assumedSlowTime, and
// as fast as elsewhere from then on.
func (m Move) here() time.Duration {
	speed := max(m.Speed, leastSpeed)
	left := scale(m.Duration, 1-m.Done)

	if slow := scale(left, 1/speed); slow <= assumedSlowTime {
		return slow
	}

	return assumedSlowTime + left - scale(assumedSlowTime, min(speed, 1))
}

func (m Move) elsewhere() time.Duration {
	return stopTime + restoreTime + scale(m.Duration, 1-m.Saved)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
