package lookahead

import (
	"slices"
	"time"

	"trefoildeck/core/job"
)

const (
	// MaxReservations bounds the reservations of a plan, and with them what a pass over
	// waiting work costs. Further large tasks wait until one of them is over.
	MaxReservations = 8
	// minLateness is the least time by which a reservation may be late before it lapses.
	// Progress is reported once a second, so that a late end shows within two.
	minLateness = 2 * time.Second
	// latenessDivisor is the part of a reservation's wait by which it may be late if that is
	// longer than minLateness.
	latenessDivisor = 2
)

// Step identifies a step of a job, whose tasks are identical.
type Step struct {
	Job string
	// FirstTask is the number of the step's first task among all tasks of the job.
	FirstTask int
}

// Reservation is a worker that is kept for a task of a step.
type Reservation struct {
	Step Step
	Node string
	// Need and Fills are the size of the task, and whether it is a filling task.
	Need  job.Size
	Fills bool
	// Service and Requires are constraints of the task, which tell it from others that
	// have the same size but can't use the same workers.
	Service, Requires string
	// Priority is that of the job; lower ones are more urgent.
	Priority int
	// Made is the time of the reservation, and At that at which the worker is expected to
	// have room. At may become earlier but not later, which bounds the time for which other
	// tasks are started on the worker.
	Made, At time.Duration
	// Strict means that only claims that leave room are allowed. It is set after an earlier
	// reservation of the task was late: with estimates that are ten times too short, tasks that
	// should have ended before each new reservation would take its room for ever.
	Strict bool
	// HeldBack counts the claims that were not allowed, and FirstHeldBack is the job of the
	// first of them.
	HeldBack      int
	FirstHeldBack string
	// reached means that the current pass has come to the task, so that claims that follow are
	// behind it.
	reached bool
}

// Expiry returns the time at which the reservation lapses if its task has not started.
func (r Reservation) Expiry() time.Duration {
	return r.At + max((r.At-r.Made)/latenessDivisor, minLateness)
}

// Claim is a task that could start on a worker now.
type Claim struct {
	Step Step
	// Size and Fills are the size of the task, and whether it is a filling task.
	Size  job.Size
	Fills bool
	// IdleMilliCores is the processor time that the task takes from filling tasks.
	IdleMilliCores int64
	// End is the expected end of the task, or 0 if there is none.
	End      time.Duration
	Priority int
}

// use returns the room that the claim takes from a task, which is a filling task if fills
// is set.
func (c Claim) use(fills bool) job.Size {
	size := c.Size

	switch {
	case fills:
		size.MilliCores = c.IdleMilliCores
	case c.Fills:
		size.MilliCores = 0
	}

	return size
}

// Plan is a set of reservations, at most one for each worker and each step. It is not safe
// for concurrent use. Its zero value is an empty plan.
type Plan struct {
	list []Reservation
}

// Reservations returns the reservations in the order in which they were made.
func (p *Plan) Reservations() []Reservation { return slices.Clone(p.list) }

// Len returns the number of reservations.
func (p *Plan) Len() int { return len(p.list) }

// BeginPass begins a pass over the waiting tasks in their order.
func (p *Plan) BeginPass() {
	for i := range p.list {
		p.list[i].reached = false
	}
}

// Reach records that the pass has come to a step, and returns the number of its
// reservation, counted from 1, or 0 if it has none.
func (p *Plan) Reach(s Step) int {
	i := p.find(s)
	if i >= 0 {
		p.list[i].reached = true
	}

	return i + 1
}

// HasLike reports whether the step has a reservation, or another one has whose tasks are of
// the same size and can use the same workers.
func (p *Plan) HasLike(r Reservation) bool {
	return slices.ContainsFunc(p.list, func(o Reservation) bool {
		return o.Step == r.Step ||
			(o.Need == r.Need && o.Fills == r.Fills && o.Service == r.Service && o.Requires == r.Requires)
	})
}

// HasRoomFor reports whether a reservation of a priority can be made: there are fewer than
// MaxReservations, or one of them is of a less urgent task.
func (p *Plan) HasRoomFor(priority int) bool {
	return len(p.list) < MaxReservations || p.leastUrgent(priority) >= 0
}

// Reserve makes a reservation and returns the less urgent ones that it replaces. It returns
// false, and changes nothing, if there are MaxReservations, or one of the worker, that are not
// less urgent, or if the step has one. The task counts as reached by the current pass.
func (p *Plan) Reserve(r Reservation) ([]Reservation, bool) {
	if p.find(r.Step) >= 0 || !p.HasRoomFor(r.Priority) {
		return nil, false
	}

	var replaced []Reservation

	if i := p.onNode(r.Node); i >= 0 {
		if p.list[i].Priority <= r.Priority {
			return nil, false
		}

		replaced = append(replaced, p.remove(i))
	}

	if len(p.list) == MaxReservations {
		replaced = append(replaced, p.remove(p.leastUrgent(r.Priority)))
	}

	r.reached = true
	p.list = append(p.list, r)

	return replaced, true
}

// On returns the reservation of a worker.
func (p *Plan) On(node string) (Reservation, bool) {
	if i := p.onNode(node); i >= 0 {
		return p.list[i], true
	}

	return Reservation{}, false
}

// Advance records that the worker of a reservation is expected to have room at a time, if
// that is earlier than expected before.
func (p *Plan) Advance(node string, at time.Duration) {
	if i := p.onNode(node); i >= 0 {
		p.list[i].At = min(p.list[i].At, at)
	}
}

// Allows reports whether a claim may use a worker that has the given room for the task of
// its reservation at the time of that, as RoomAt returns it. A claim of the reservation's own
// step, a more urgent one, and one that the pass came to before the reservation's task may always.
func (p *Plan) Allows(node string, room job.Size, c Claim) bool {
	i := p.onNode(node)
	if i < 0 {
		return true
	}

	r := &p.list[i]
	if r.Step == c.Step || r.outrankedBy(c) || r.admits(room, c) {
		return true
	}

	if r.HeldBack == 0 {
		r.FirstHeldBack = c.Step.Job
	}

	r.HeldBack++

	return false
}

// Binds reports whether a worker is reserved for a task of another step that a claim must not delay.
func (p *Plan) Binds(node string, c Claim) bool {
	i := p.onNode(node)

	return i >= 0 && p.list[i].Step != c.Step && !p.list[i].outrankedBy(c)
}

// outrankedBy reports whether a claim needn't respect the reservation.
func (r *Reservation) outrankedBy(c Claim) bool {
	return c.Priority < r.Priority || (c.Priority == r.Priority && !r.reached)
}

// admits reports whether a claim doesn't delay the reservation's task.
func (r *Reservation) admits(room job.Size, c Claim) bool {
	return (!r.Strict && c.End > 0 && c.End <= r.At) || room.Sub(c.use(r.Fills)).CanFit(r.Need)
}

// Outrank removes the reservation of a worker if a claim of another step that is started there
// delays its task, and returns it. The room is that before the claim is started.
func (p *Plan) Outrank(node string, room job.Size, c Claim) (Reservation, bool) {
	i := p.onNode(node)
	if i < 0 || p.list[i].Step == c.Step || p.list[i].admits(room, c) {
		return Reservation{}, false
	}

	return p.remove(i), true
}

// Release removes the reservation of a step and returns it.
func (p *Plan) Release(s Step) (Reservation, bool) {
	if i := p.find(s); i >= 0 {
		return p.remove(i), true
	}

	return Reservation{}, false
}

// Expire removes the reservations that have lapsed and returns them.
func (p *Plan) Expire(now time.Duration) []Reservation {
	var lapsed []Reservation

	p.list = slices.DeleteFunc(p.list, func(r Reservation) bool {
		if now < r.Expiry() {
			return false
		}

		lapsed = append(lapsed, r)

		return true
	})

	return lapsed
}

// NextExpiry returns the earliest time at which a reservation lapses, or 0 if there is none.
func (p *Plan) NextExpiry() time.Duration {
	var next time.Duration

	for _, r := range p.list {
		if t := r.Expiry(); next == 0 || t < next {
			next = t
		}
	}

	return next
}

func (p *Plan) find(s Step) int {
	return slices.IndexFunc(p.list, func(r Reservation) bool { return r.Step == s })
}

func (p *Plan) onNode(node string) int {
	return slices.IndexFunc(p.list, func(r Reservation) bool { return r.Node == node })
}

// leastUrgent returns the index of the last reservation of those of the least urgent
// priority, or -1 if that is not less urgent than the given one.
func (p *Plan) leastUrgent(priority int) int {
	least := -1

	for i, r := range p.list {
		if r.Priority > priority && (least < 0 || r.Priority >= p.list[least].Priority) {
			least = i
		}
	}

	return least
}

func (p *Plan) remove(i int) Reservation {
	r := p.list[i]
	p.list = slices.Delete(p.list, i, i+1)

	return r
}
