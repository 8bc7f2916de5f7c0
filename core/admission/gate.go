// Package admission decides at an endpoint which requests run now, which wait
// for a slot and which are refused. It does no I/O and starts no goroutine.
//
// # Usage
//
//	g := admission.New(8)
//	ticket, err := g.Acquire(now, deadline)
//	if err != nil {
//		// refused: the request was not run
//	}
//	<-ticket.Ready // or g.Abandon(ticket) when the wait is over
//	defer g.Release(now)
package admission

import (
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Reasons for a refusal.
var (
	// ErrFull says that the queue is full or would take too long.
	ErrFull = eris.New("the endpoint is full")
	// ErrLeaving says that the endpoint takes no new work.
	ErrLeaving = eris.New("the endpoint is leaving")
	// ErrDeadlinePassed says that the deadline passed before a slot was free.
	ErrDeadlinePassed = eris.New("the deadline passed before a slot was free")
)

// MaxWait bounds the time that a request waits for a slot.
const MaxWait = 40 * time.Millisecond

// maxQueuedPerSlot bounds the waiting requests, as a multiple of the slots.
const maxQueuedPerSlot = 2

// Ticket is a request's place. Ready is closed once the request may run.
type Ticket struct {
	Ready chan struct{}

	waitDeadline time.Time
	admitted     bool
}

// Gate admits requests to the slots of one endpoint.
type Gate struct {
	mu      sync.Mutex
	slots   int
	inUse   int
	waiting []*Ticket
	leaving bool
}

// New returns a gate of some slots.
func New(slots int) *Gate {
	return &Gate{slots: slots}
}

// Acquire takes a slot or a place in the queue.
func (g *Gate) Acquire(now, deadline time.Time) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.leaving {
		return nil, ErrLeaving
	}

	if !now.Before(deadline) {
		return nil, ErrDeadlinePassed
	}

	t := &Ticket{
		Ready:        make(chan struct{}),
		waitDeadline: now.Add(MaxWait),
	}
	if deadline.Before(t.waitDeadline) {
		t.waitDeadline = deadline
	}

	if g.inUse < g.slots {
		g.inUse++
		t.admit()

		return t, nil
	}

	if len(g.waiting) >= maxQueuedPerSlot*g.slots {
		return nil, ErrFull
	}

	g.waiting = append(g.waiting, t)

	return t, nil
}

func (t *Ticket) admit() {
	t.admitted = true
	close(t.Ready)
}

// WaitDeadline is when the wait for a slot ends in a refusal.
func (t *Ticket) WaitDeadline() time.Time {
	return t.waitDeadline
}

// Abandon gives up waiting. It returns false where the ticket already has a
// slot, which must then be used or left.
func (g *Gate) Abandon(t *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	if t.admitted {
		return false
	}

	if i := slices.Index(g.waiting, t); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
	}

	return true
}

// Release frees a slot and hands it to the first request that can still use it.
func (g *Gate) Release(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()

	for len(g.waiting) > 0 {
		t := g.waiting[0]
		g.waiting = g.waiting[1:]

		if now.Before(t.waitDeadline) {
			t.admit()

			return
		}
	}

	g.inUse--
}

// Close refuses what is new; what has a slot or waits goes on.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.leaving = true
}

// Load is the state of a gate.
type Load struct {
	InUse   int
	Queued  int
	Leaving bool
}

// Load returns the slots in use and the requests that wait.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()

	return Load{
		InUse:   g.inUse,
		Queued:  len(g.waiting),
		Leaving: g.leaving,
	}
}
