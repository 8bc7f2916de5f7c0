// Package admission limits the concurrent requests of one endpoint: a request
// gets a slot, waits for one in a bounded queue, or is refused. It does no I/O
// and starts no goroutine.
//
// # Usage
//
//	l := admission.New(8)
//	ticket, err := l.Acquire(now, deadline)
//	if err != nil {
//		// refused: the request was not run
//	}
//	<-ticket.Ready // or l.Abandon(ticket) at ticket.WaitDeadline()
//	defer l.Release(now)
package admission

import (
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Reasons for a refusal. The request was not run.
var (
	// ErrFull is returned when every slot is taken and the queue is full.
	ErrFull = eris.New("the endpoint is full")
	// ErrLeaving is returned once the limiter is closed.
	ErrLeaving = eris.New("the endpoint is leaving")
	// ErrDeadlinePassed is returned when a request's deadline or its wait for a
	// slot is over before a slot is free.
	ErrDeadlinePassed = eris.New("the deadline passed before a slot was free")
)

// MaxWait is the longest time that a request waits for a slot.
const MaxWait = 40 * time.Millisecond

// maxQueuedPerSlot bounds the queue, as a multiple of the slots.
const maxQueuedPerSlot = 2

// Ticket is a request that has a slot or waits for one. Ready is closed once
// the request has a slot.
type Ticket struct {
	Ready chan struct{}

	waitDeadline time.Time
	admitted     bool
}

// Limiter limits the requests that run at one endpoint to its slots. It is safe
// for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	slots   int
	inUse   int
	waiting []*Ticket
	leaving bool
}

// New returns a limiter that runs up to slots requests at a time.
func New(slots int) *Limiter {
	return &Limiter{slots: slots}
}

// Acquire takes a slot, or a place in the queue until the deadline or for
// MaxWait, whichever ends first. Its error is ErrFull, ErrLeaving or
// ErrDeadlinePassed.
func (l *Limiter) Acquire(now, deadline time.Time) (*Ticket, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.leaving {
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

	if l.inUse < l.slots {
		l.inUse++
		t.admit()

		return t, nil
	}

	if len(l.waiting) >= maxQueuedPerSlot*l.slots {
		return nil, ErrFull
	}

	l.waiting = append(l.waiting, t)

	return t, nil
}

func (t *Ticket) admit() {
	t.admitted = true
	close(t.Ready)
}

// WaitDeadline returns the time at which a request without a slot is refused.
func (t *Ticket) WaitDeadline() time.Time {
	return t.waitDeadline
}

// Abandon removes a ticket from the queue. It returns false if the ticket
// already has a slot, which must then be released.
func (l *Limiter) Abandon(t *Ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	if t.admitted {
		return false
	}

	if i := slices.Index(l.waiting, t); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}

	return true
}

// Release frees a slot and gives it to the first queued request whose wait is
// not over at now.
func (l *Limiter) Release(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for len(l.waiting) > 0 {
		t := l.waiting[0]
		l.waiting = l.waiting[1:]

		if now.Before(t.waitDeadline) {
			t.admit()

			return
		}
	}

	l.inUse--
}

// Close refuses new requests; running and queued ones are still served.
func (l *Limiter) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.leaving = true
}

// Load is the number of requests that run and wait. Leaving is true once the
// limiter is closed.
type Load struct {
	InUse   int
	Queued  int
	Leaving bool
}

// Load returns the current load.
func (l *Limiter) Load() Load {
	l.mu.Lock()
	defer l.mu.Unlock()

	return Load{
		InUse:   l.inUse,
		Queued:  len(l.waiting),
		Leaving: l.leaving,
	}
}
