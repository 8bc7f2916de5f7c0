// Package lookahead plans where and when waiting tasks that no worker has room for will
// start, and keeps that room for them.
//
// The load it handles: small tasks take each piece of room as soon as a run ends, so that
// a large task, which needs the room of several ends on one worker, waits without bound.
// The first such tasks get a reservation each: the worker where they are expected to fit
// earliest, and the time. Tasks behind them use that worker only if they are expected to
// end before that time, or if they leave enough room (EASY backfill).
//
// Room is a job.Size. Plain and serving tasks are limited by the sizes of the tasks
// beside them, without the processor time of filling tasks. Filling tasks are limited by
// idle processor time, which is the processor time in the room for a filling task, and by
// the other resources as all tasks are.
//
// The package does no I/O and reads no clock: callers pass in readings of one local
// monotonic clock. A time of 0 stands for an end that never comes.
//
// # Usage
//
//	end := lookahead.ExpectedEnd(now, started, first, last, estimate) // of each run on a worker
//	if fit, ok := lookahead.EarliestFit(now, free, runs, need, fills); ok { … }
//	var p lookahead.Plan
//	p.Reserve(r)
//	if p.Allows(node, room, claim) { … }
//	lapsed := p.Expire(now)
package lookahead

import (
	"cmp"
	"slices"
	"time"

	"trefoildeck/core/job"
)

// Run is a run on a worker.
type Run struct {
	Size job.Size
	// Fills marks a filling task, whose processor time only other filling tasks can use.
	Fills bool
	// End is the expected end, or 0 if the task runs until it is cancelled.
	End time.Duration
}

// freed returns the room that the end of a run gives to a task, which is a filling task if
// fills is set.
func (r Run) freed(fills bool) job.Size {
	size := r.Size
	if r.Fills && !fills {
		size.MilliCores = 0
	}

	return size
}

// Fit is the earliest time at which a task is expected to fit on a worker.
type Fit struct {
	At time.Duration
	// Alone means that the last end that the task waits for frees enough room by itself, so
	// that no room has to be kept until then.
	Alone bool
}

// EarliestFit returns the earliest time, from now on, at which a worker with the room free
// has room for a task, and false if it never has. The expected ends of the runs must be
// later than now or 0. runs is sorted in place.
func EarliestFit(now time.Duration, free job.Size, runs []Run, need job.Size, fills bool) (Fit, bool) {
	if free.CanFit(need) {
		return Fit{At: now}, true
	}

	total := free

	for _, r := range runs {
		if r.End > 0 {
			total = total.Add(r.freed(fills))
		}
	}

	if !total.CanFit(need) {
		return Fit{}, false
	}

	slices.SortFunc(runs, func(a, b Run) int { return cmp.Compare(a.End, b.End) })

	for _, r := range runs {
		if r.End == 0 {
			continue
		}

		size := r.freed(fills)
		free = free.Add(size)

		if free.CanFit(need) {
			return Fit{
				At:    r.End,
				Alone: size.CanFit(need),
			}, true
		}
	}

	return Fit{}, false
}

// RoomAt returns the room that a worker with the room free now is expected to have for a
// task at a later time.
func RoomAt(at time.Duration, free job.Size, runs []Run, fills bool) job.Size {
	for _, r := range runs {
		if r.End > 0 && r.End <= at {
			free = free.Add(r.freed(fills))
		}
	}

	return free
}
