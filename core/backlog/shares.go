package backlog

import (
	"math"
	"time"
)

const (
	// shareDecay is the time constant with which received service is forgotten. It is longer than
	// the bursts, of 7 s, and an account that was busy before them is not held back for long.
	shareDecay = 10 * time.Second
	// agedTurns is the reciprocal of the share of the service that goes to the job that has
	// waited longest.
	agedTurns = 8
	// maxOffered is the number of jobs of a priority that may get the turns of the job that has waited
	// longest while no worker has room for those before them.
	maxOffered = 256
	// maxIdleAccounts is the number of accounts above which those whose service has decayed are
	// forgotten.
	maxIdleAccounts = 256
)

// Shares has the service that client accounts have received, which decays. It is not safe for
// concurrent use.
type Shares struct {
	accounts map[string]*decaying
	turns    map[int]*turns
	// ordering is the state of the last call of Order, whose memory is used again.
	ordering ordering
}

// turns is the service that the jobs of a priority received.
type turns struct {
	// all is the service of all jobs, and aged that of jobs that had waited longest.
	all, aged decaying
	// offered has the jobs that had waited longest of those that Order had not yet ordered in its last
	// call, and whether they have received service since. before is that of the call before.
	offered, before map[string]bool
}

// offer records that a job has waited longest of those that are not yet ordered. It returns false if the
// job was in the same place before and received no service: no worker has room for it, and the turn is
// also that of the next one.
func (t *turns) offer(id string) bool {
	if len(t.offered) < maxOffered {
		t.offered[id] = false
	}

	served, before := t.before[id]

	return served || !before
}

// NewShares returns shares without any service.
func NewShares() *Shares {
	return &Shares{
		accounts: map[string]*decaying{},
		turns:    map[int]*turns{},
	}
}

// Add records that tasks of a job were placed, with the work of these tasks.
func (s *Shares) Add(now time.Duration, j Job, work int64) {
	// Tasks without an estimate take turns too.
	w := float64(max(1, work))

	a := s.accounts[j.Account]
	if a == nil {
		s.forgetIdle(now)

		a = &decaying{}
		s.accounts[j.Account] = a
	}

	a.add(now, w)

	t := s.turnsOf(j.Priority)
	t.all.add(now, w)

	if _, ok := t.offered[j.ID]; ok {
		t.offered[j.ID] = true
		t.aged.add(now, w)
	}
}

// Received returns the service, as decayed work, that an account has received.
func (s *Shares) Received(now time.Duration, account string) float64 {
	if a := s.accounts[account]; a != nil {
		return a.at(now)
	}

	return 0
}

func (s *Shares) turnsOf(priority int) *turns {
	t := s.turns[priority]
	if t == nil {
		t = &turns{
			offered: map[string]bool{},
			before:  map[string]bool{},
		}
		s.turns[priority] = t
	}

	return t
}

func (s *Shares) forgetIdle(now time.Duration) {
	if len(s.accounts) < maxIdleAccounts {
		return
	}

	for name, a := range s.accounts {
		if a.at(now) < 1 {
			delete(s.accounts, name)
		}
	}
}

// decaying is a sum whose terms decay with the time constant shareDecay.
type decaying struct {
	sum  float64
	last time.Duration
}

func (d *decaying) at(now time.Duration) float64 {
	return d.sum * math.Exp(-float64(max(0, now-d.last))/float64(shareDecay))
}

func (d *decaying) add(now time.Duration, v float64) {
	d.sum = d.at(now) + v
	d.last = now
}
