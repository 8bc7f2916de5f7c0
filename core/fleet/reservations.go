package fleet

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"trefoildeck/core/job"
	"trefoildeck/core/lookahead"
)

const (
	// searchCost is the time that a search for a reservation must be followed by without
	// another one, for each worker that it looked at. A look takes about 1 µs
	// (BenchmarkEarliestFit), so that searches take a tenth of the leader's processor time at
	// most.
	searchCost = 10 * time.Microsecond
	// maxLooks bounds the workers that the searches of one pass look at, except that one
	// search is always made: eight searches at 300 workers.
	maxLooks = 2400
	// searchPause is the time until a size for which no reservation was of use is searched for
	// again. Meanwhile runs end and workers come.
	searchPause = 500 * time.Millisecond
)

// lookAhead is the state of the reservations for waiting tasks. Package lookahead decides.
type lookAhead struct {
	plan lookahead.Plan
	// looks is the number of workers that searches have looked at in this pass, and searchAt
	// the earliest time of the first search of a pass.
	looks    int
	searchAt time.Duration
	useless  uselessSizes
	// runs is the buffer of timeline.
	runs []lookahead.Run

	made  []Reservation
	ended []ReservationEnd
}

// Reservation reports that a worker is kept for a task that no worker has room for.
type Reservation struct {
	Node string
	Task job.TaskID
	// Wait is the time after which the worker is expected to have room.
	Wait time.Duration
	// Lacking is the resource that the worker has too little of now.
	Lacking string
}

// ReservationEnd reports the end of a reservation.
type ReservationEnd struct {
	Node string
	Job  string
	Why  LapseReason
	// Age is the time since it was made, and Late that since the worker was expected to have
	// room; it is negative before.
	Age, Late time.Duration
	// HeldBack is the number of times that a task was not placed on the worker because of it, and
	// FirstHeldBack the job of the first one.
	HeldBack      int
	FirstHeldBack string
}

// LapseReason is the reason why a reservation ended.
type LapseReason string

// Reasons for the end of a reservation.
const (
	// ReservationUsed means that a task of its step was placed, there or elsewhere.
	ReservationUsed LapseReason = "Used"
	// ReservationOver means that the job is over or no task of the step waits.
	ReservationOver LapseReason = "Over"
	// WorkerUnavailable means that the worker is lost, drains, is in quarantine, or is in a data
	// centre that is out.
	WorkerUnavailable LapseReason = "WorkerUnavailable"
	// ReservationLate means that the worker did not have room in time.
	ReservationLate LapseReason = "Late"
	// Outranked means that a task ahead of it was placed on the worker or has its place in the plan.
	Outranked LapseReason = "Outranked"
)

// Reservations returns the reservations that were made since the last call.
func (f *Fleet) Reservations() []Reservation {
	made := f.ahead.made
	f.ahead.made = nil

	return made
}

// ReservationEnds returns the ends of reservations since the last call.
func (f *Fleet) ReservationEnds() []ReservationEnd {
	ended := f.ahead.ended
	f.ahead.ended = nil

	return ended
}

// checkReservations ends the reservations that are void. It is called at the begin of a pass.
func (f *Fleet) checkReservations(now time.Duration) {
	f.ahead.looks = 0
	f.ahead.plan.BeginPass()

	for _, r := range f.ahead.plan.Expire(now) {
		f.endReservation(now, r, ReservationLate)
	}

	for _, r := range f.ahead.plan.Reservations() {
		if why := f.voidReason(now, r); why != "" {
			f.ahead.plan.Release(r.Step)
			f.endReservation(now, r, why)
		}
	}
}

// voidReason returns why a reservation can't be used, or "".
func (f *Fleet) voidReason(now time.Duration, r lookahead.Reservation) LapseReason {
	j, s := f.reservedStep(r)
	if j == nil || j.state.Final() || s.waiting == 0 {
		return ReservationOver
	}

	if w := f.workers[r.Node]; w == nil || !f.eligible(now, j, s, w) {
		return WorkerUnavailable
	}

	return ""
}

// reservedStep returns the job and the step of a reservation, or nil.
func (f *Fleet) reservedStep(r lookahead.Reservation) (*jobInfo, *stepInfo) {
	j := f.jobs[r.Step.Job]
	if j == nil {
		return nil, nil
	}

	i := slices.IndexFunc(j.steps, func(s stepInfo) bool { return s.first == r.Step.FirstTask })
	if i < 0 {
		return nil, nil
	}

	return j, &j.steps[i]
}

// endReservation records the end of a reservation that the plan no longer has.
func (f *Fleet) endReservation(now time.Duration, r lookahead.Reservation, why LapseReason) {
	if w := f.workers[r.Node]; w != nil {
		w.reserved = reservedRoom{}
	}

	if _, s := f.reservedStep(r); s != nil {
		s.reserved = false
		// A task that was outranked meanwhile still can't trust the expected ends.
		s.reservedLate = why == ReservationLate || (s.reservedLate && why != ReservationUsed)
	}

	f.ahead.ended = append(f.ahead.ended, ReservationEnd{
		Node:          r.Node,
		Job:           r.Step.Job,
		Why:           why,
		Age:           now - r.Made,
		Late:          now - r.At,
		HeldBack:      r.HeldBack,
		FirstHeldBack: r.FirstHeldBack,
	})
}

func reservationKey(j *jobInfo, s *stepInfo) lookahead.Step {
	return lookahead.Step{
		Job:       j.record.ID,
		FirstTask: s.first,
	}
}

// reserve makes a reservation for a task of a step that no worker has room for, unless that is of
// no use: no room has to be kept, or no worker is expected to have any.
func (f *Fleet) reserve(now time.Duration, j *jobInfo, step, index int) {
	s := &j.steps[step]
	t := &s.tasks[index]

	if s.reserved || now < s.searchAt || !f.maySearch(now) || !f.ahead.plan.HasRoomFor(j.record.Priority) {
		return
	}

	need, fills := demand(j, s.spec)
	r := lookahead.Reservation{
		Step:     reservationKey(j, s),
		Need:     need,
		Fills:    fills,
		Service:  j.record.Service,
		Requires: s.spec.Requires,
		Priority: j.record.Priority,
		Made:     now,
		Strict:   s.reservedLate,
	}

	if f.ahead.plan.HasLike(r) {
		return
	}

	c := constraintsOf(j, s.spec)
	if until := f.ahead.useless.until(now, c, s.spec.Size); until > 0 {
		s.searchAt = until

		return
	}

	w, fit := f.earliestWorker(now, j, s, t, r)
	f.ahead.looks += len(f.sortedWorkers)
	f.ahead.searchAt = now + time.Duration(f.ahead.looks)*searchCost

	if w == nil || fit.Alone {
		s.searchAt = now + searchPause

		if s.spec.AntiAffinity == 0 && t.avoidNode == "" {
			f.ahead.useless.add(uselessSize{
				constraints: c,
				need:        s.spec.Size,
				oneEnd:      w != nil,
				until:       s.searchAt,
			})
		}

		return
	}

	r.Node, r.At = w.node, fit.At

	replaced, ok := f.ahead.plan.Reserve(r)
	for _, o := range replaced {
		f.endReservation(now, o, Outranked)
	}

	if !ok {
		return
	}

	s.reserved = true
	w.reserved = reservedRoom{held: true}
	f.ahead.made = append(f.ahead.made, Reservation{
		Node:    w.node,
		Task:    j.taskID(step, index),
		Wait:    fit.At - now,
		Lacking: lacking(w.room(fills), need),
	})
}

// maySearch reports whether a search for a reservation is within the bounds of its cost.
func (f *Fleet) maySearch(now time.Duration) bool {
	if f.ahead.looks == 0 {
		return now >= f.ahead.searchAt
	}

	return f.ahead.looks+len(f.sortedWorkers) <= maxLooks
}

// earliestWorker returns the worker that is expected to have room for a task of a step first. It
// leaves out those that are reserved for tasks that are as urgent, those with room, where
// something else is in the way, and for a filling task those whose serving tasks have no headroom.
func (f *Fleet) earliestWorker(now time.Duration, j *jobInfo, s *stepInfo, t *taskInfo, r lookahead.Reservation) (*workerInfo, lookahead.Fit) {
	var (
		best    *workerInfo
		bestFit lookahead.Fit
	)

	for _, w := range f.sortedWorkers {
		if !f.eligible(now, j, s, w) || w.node == t.avoidNode || !f.hasHeadroom(s.spec, w) {
			continue
		}

		if w.reserved.held {
			if o, _ := f.ahead.plan.On(w.node); o.Priority <= r.Priority {
				continue
			}
		}

		fit, ok := lookahead.EarliestFit(now, w.room(r.Fills), f.timeline(now, bestFit.At, w), r.Need, r.Fills)
		if ok && fit.At > now {
			best, bestFit = w, fit
		}
	}

	return best, bestFit
}

// hasHeadroom reports whether the serving tasks of a worker leave a task of a step its place,
// whatever the room there.
func (f *Fleet) hasHeadroom(s *job.Step, w *workerInfo) bool {
	if !s.Fills {
		return true
	}

	_, ok := f.scoreFilling(s, w, math.MaxInt64/2)

	return ok
}

// mayUse reports whether a task of a step may be placed on a worker as far as the worker's
// reservation is concerned.
func (f *Fleet) mayUse(now time.Duration, j *jobInfo, s *stepInfo, w *workerInfo) bool {
	if !w.reserved.held {
		return true
	}

	return f.ahead.plan.Allows(w.node, f.roomAtReservation(now, w), claimOf(now, j, s))
}

// couldUse reports what mayUse does, for a run that would have to be stopped first. It isn't counted as
// held back.
func (f *Fleet) couldUse(now time.Duration, j *jobInfo, s *stepInfo, w *workerInfo) bool {
	if !w.reserved.held {
		return true
	}

	return f.ahead.plan.WouldAllow(w.node, f.roomAtReservation(now, w), claimOf(now, j, s))
}

// settle ends the reservation of a step of which a task is about to start on a worker, and the
// worker's own if the task delays it.
func (f *Fleet) settle(now time.Duration, j *jobInfo, s *stepInfo, w *workerInfo) {
	if s.reserved {
		if r, ok := f.ahead.plan.Release(reservationKey(j, s)); ok {
			f.endReservation(now, r, ReservationUsed)
		}
	}

	if !w.reserved.held {
		return
	}

	if r, ok := f.ahead.plan.Outrank(w.node, f.roomAtReservation(now, w), claimOf(now, j, s)); ok {
		f.endReservation(now, r, Outranked)
	}
}

// reachStep records that the pass has come to a step, and completes its constraints, which while
// there are reservations tell the step that has one from others, and tasks from those that take
// twice as long and may be kept from other workers.
func (f *Fleet) reachStep(j *jobInfo, s *stepInfo, c *constraints) {
	if s.reserved {
		c.reservation = uint8(f.ahead.plan.Reach(reservationKey(j, s)))
	}

	c.runTime = runTimeDigits(s.spec)
}

// runTimeDigits returns the number of binary digits of a task's estimated run time in milliseconds.
func runTimeDigits(s *job.Step) uint8 {
	return uint8(bits.Len64(uint64(s.RunTime().Milliseconds())))
}
