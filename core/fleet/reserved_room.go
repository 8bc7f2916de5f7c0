package fleet

import (
	"time"

	"trefoildeck/core/job"
	"trefoildeck/core/lookahead"
)

// reservedRoom is what is cached of a worker's reservation, or the zero value if it has none.
type reservedRoom struct {
	held bool
	// room is the room at the time of the reservation, as of the time computedAt. fresh is reset
	// when a task starts or ends on the worker.
	room       job.Size
	computedAt time.Duration
	fresh      bool
}

// demand returns the room that a task of a step needs, and whether it is that of a filling task.
func demand(j *jobInfo, s *job.Step) (job.Size, bool) {
	need := s.Size
	if s.Fills && j.active == 0 {
		// The task is placed whatever the idle processor time.
		need.MilliCores = 0

		return need, false
	}

	return need, s.Fills
}

// timeline returns the runs of a worker that are expected to end, before a time if it isn't 0. It is
// valid until the next call.
func (f *Fleet) timeline(now, before time.Duration, w *workerInfo) []lookahead.Run {
	list := f.ahead.runs[:0]

	for _, r := range w.runs {
		end := r.expectedEnd(now)
		if end == 0 || (before > 0 && end >= before) {
			continue
		}

		list = append(list, lookahead.Run{
			Size:  r.step.Size,
			Fills: r.step.Fills,
			End:   end,
		})
	}

	f.ahead.runs = list

	return list
}

// room returns the room that a worker has for a task, which is a filling task if fills is set. It
// may be negative.
func (w *workerInfo) room(fills bool) job.Size {
	free := w.capacity.Sub(w.used)
	if fills {
		free.MilliCores = w.freeMilliCores() + unusedMilliCores(w.servingMilliCores)
	}

	return free
}

// unusedMilliCores returns the processor time that serving tasks of a size are assumed to leave to
// filling tasks.
func unusedMilliCores(serving int64) int64 { return serving * (100 - servingUsePercent) / 100 }

// lacking returns the name of the first resource that free has too little of.
func lacking(free, need job.Size) string {
	switch {
	case need.MilliCores > free.MilliCores:
		return "MilliCores"
	case need.MemoryMB > free.MemoryMB:
		return "MemoryMB"
	default:
		return "Accelerators"
	}
}

// roomAtReservation returns the room of a reserved worker at the time of its reservation, which it
// brings forward if the room is expected earlier.
func (f *Fleet) roomAtReservation(now time.Duration, w *workerInfo) job.Size {
	c := &w.reserved
	if c.fresh && c.computedAt == now {
		return c.room
	}

	r, _ := f.ahead.plan.On(w.node)
	runs, free := f.timeline(now, 0, w), w.room(r.Fills)

	if fit, ok := lookahead.EarliestFit(now, free, runs, r.Need, r.Fills); ok && fit.At < r.At {
		f.ahead.plan.Advance(w.node, fit.At)
		r.At = fit.At
	}

	c.room, c.computedAt, c.fresh = lookahead.RoomAt(r.At, free, runs, r.Fills), now, true

	return c.room
}

// claimOf returns the claim of a task of a step that could start now.
func claimOf(now time.Duration, j *jobInfo, s *stepInfo) lookahead.Claim {
	c := lookahead.Claim{
		Step:           reservationKey(j, s),
		Size:           s.spec.Size,
		Fills:          s.spec.Fills,
		IdleMilliCores: s.spec.Size.MilliCores,
		Priority:       j.record.Priority,
	}

	if s.spec.TargetLatency > 0 {
		c.IdleMilliCores -= unusedMilliCores(s.spec.Size.MilliCores)
	}

	if t := s.spec.RunTime(); t > 0 && !s.spec.LongRunning {
		c.End = now + t
	}

	return c
}
