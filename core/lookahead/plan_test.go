package lookahead

import (
	"testing"
	"time"

	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

func reservation(node, id string, priority int) Reservation {
	return Reservation{
		Step:     Step{Job: id},
		Node:     node,
		Need:     cores(4),
		Priority: priority,
		Made:     time.Second,
		At:       11 * time.Second,
	}
}

// TestAllows guards against a task that delays a reservation, and against one that is kept from
// room that the reservation doesn't need.
func TestAllows(t *testing.T) {
	small := Claim{
		Step:           Step{Job: "small"},
		Size:           cores(1),
		IdleMilliCores: 1000,
		End:            12 * time.Second,
	}
	with := func(change func(*Claim)) Claim {
		c := small
		change(&c)

		return c
	}

	tests := map[string]struct {
		claim   Claim
		room    job.Size
		fills   bool
		reached bool
		allowed bool
	}{
		"Delays":         {small, cores(4), false, true, false},
		"EndsBefore":     {with(func(c *Claim) { c.End = 11 * time.Second }), cores(4), false, true, true},
		"NeverEnds":      {with(func(c *Claim) { c.End = 0 }), cores(4), false, true, false},
		"LeavesRoom":     {small, cores(5), false, true, true},
		"MoreUrgent":     {with(func(c *Claim) { c.Priority = 1 }), cores(4), false, true, true},
		"LessUrgent":     {with(func(c *Claim) { c.Priority = 3 }), cores(4), false, false, false},
		"Ahead":          {small, cores(4), false, false, true},
		"SameStep":       {with(func(c *Claim) { c.Step.Job = "large" }), cores(4), false, true, true},
		"FillingBeside":  {with(func(c *Claim) { c.Fills = true }), job.Size{MilliCores: 4000, MemoryMB: 5000}, false, true, true},
		"FillingMemory":  {with(func(c *Claim) { c.Fills = true }), job.Size{MilliCores: 9000, MemoryMB: 4000}, false, true, false},
		"ServingIdle":    {with(func(c *Claim) { c.IdleMilliCores = 500 }), job.Size{MilliCores: 4500, MemoryMB: 5000}, true, true, true},
		"ServingTooMuch": {with(func(c *Claim) { c.IdleMilliCores = 501 }), job.Size{MilliCores: 4500, MemoryMB: 5000}, true, true, false},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if name != "MoreUrgent" && name != "LessUrgent" {
				c.claim.Priority = 2
			}

			var p Plan

			r := reservation("n1", "large", 2)
			r.Fills = c.fills
			_, ok := p.Reserve(r)
			assert.Assert(t, ok)

			if !c.reached {
				p.BeginPass()
			}

			assert.Equal(t, p.Allows("n1", c.room, c.claim), c.allowed)
			assert.Assert(t, p.Allows("n2", c.room, c.claim))

			kept, _ := p.On("n1")
			assert.Equal(t, kept.HeldBack == 0, c.allowed)
		})
	}
}

// TestStrict guards against tasks that should end before a reservation, and don't, after an earlier
// one of the same task was late because of such tasks.
func TestStrict(t *testing.T) {
	var p Plan

	r := reservation("n1", "large", 0)
	r.Strict = true
	_, ok := p.Reserve(r)
	assert.Assert(t, ok)

	c := Claim{
		Step: Step{Job: "small"},
		Size: cores(1),
		End:  r.At - time.Second,
	}
	assert.Assert(t, !p.Allows("n1", cores(4), c))
	assert.Assert(t, p.Allows("n1", cores(5), c))
}

// TestReserve guards against more reservations than a pass may cost, and against a less urgent
// task that keeps a more urgent one from its reservation.
func TestReserve(t *testing.T) {
	var p Plan

	for i, n := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		_, ok := p.Reserve(reservation("n"+n, n, i%3))
		assert.Assert(t, ok)
	}

	assert.Equal(t, p.Len(), MaxReservations)

	_, ok := p.Reserve(reservation("ni", "i", 2))
	assert.Assert(t, !ok, "the plan is full")

	_, ok = p.Reserve(reservation("nb", "i", 1))
	assert.Assert(t, !ok, "the worker is kept for a task of the same priority")

	replaced, ok := p.Reserve(reservation("ni", "i", 1))
	assert.Assert(t, ok)
	assert.Equal(t, len(replaced), 1)
	assert.Equal(t, replaced[0].Step.Job, "f", "the last of the least urgent ones")

	replaced, ok = p.Reserve(reservation("nb", "j", 0))
	assert.Assert(t, ok)
	assert.Equal(t, len(replaced), 1)
	assert.Equal(t, replaced[0].Node, "nb")
	assert.Equal(t, p.Len(), MaxReservations)

	_, ok = p.Reserve(reservation("nk", "j", 0))
	assert.Assert(t, !ok, "the step has a reservation")
}

// TestExpire guards against a reservation that keeps a worker for ever although the ends that it
// waits for don't come.
func TestExpire(t *testing.T) {
	tests := map[string]struct{ wait, late time.Duration }{
		"Short": {time.Second, minLateness},
		"Long":  {10 * time.Second, 5 * time.Second},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var p Plan

			r := reservation("n1", "large", 0)
			r.At = r.Made + c.wait
			_, ok := p.Reserve(r)
			assert.Assert(t, ok)

			// Ends that come later than expected must not put off the expiry.
			p.Advance("n1", r.At+time.Hour)
			assert.Equal(t, p.NextExpiry(), r.At+c.late, "the time of a reservation must not become later")
			assert.Equal(t, len(p.Expire(r.At+c.late-1)), 0)

			lapsed := p.Expire(r.At + c.late)
			assert.Equal(t, len(lapsed), 1)
			assert.Equal(t, p.Len(), 0)
			assert.Equal(t, p.NextExpiry(), time.Duration(0))
		})
	}
}

// TestOutrank guards against a reservation that goes on after a more urgent task took its room:
// it would keep others from a worker where its own task can't start.
func TestOutrank(t *testing.T) {
	var p Plan

	_, ok := p.Reserve(reservation("n1", "large", 2))
	assert.Assert(t, ok)

	urgent := Claim{
		Step: Step{Job: "urgent"},
		Size: cores(2),
		End:  10 * time.Second,
	}
	_, lapses := p.Outrank("n1", cores(4), urgent)
	assert.Assert(t, !lapses, "it ends before the reservation")

	urgent.End = time.Minute
	r, lapses := p.Outrank("n1", cores(4), urgent)
	assert.Assert(t, lapses)
	assert.Equal(t, r.Step.Job, "large")
	assert.Equal(t, p.Len(), 0)
}
