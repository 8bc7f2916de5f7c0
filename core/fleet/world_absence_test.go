package fleet_test

import (
	"errors"
	"maps"
	"slices"
	"time"

	"trefoildeck/core/fleet"
	"trefoildeck/core/lease"
	"trefoildeck/io/rows"
)

// absencePeriod is that of package coordinator.
const absencePeriod = time.Second

// loadAbsences reads the row of absent agents before the leader connects to any.
func (l *leader) loadAbsences(done func()) {
	w := l.e.w

	if !w.faults.absences {
		done()

		return
	}

	var (
		absent  []string
		version int64
		passed  handover
	)

	l.e.call(func() stamp {
		absent, version, passed = slices.Clone(w.store.absent), w.store.versions["absent"], w.store.handover

		return stamp{clock: w.now}
	}, func(r stamp) {
		switch {
		case l.over:
		case r.err != nil:
			l.after(retryPause, func() { l.loadAbsences(done) })
		default:
			l.absences = fleet.NewAbsences(absent, version)
			l.takeOver(passed, r.clock)

			done()
		}
	})
}

// watchAbsences keeps the row of absent agents up to date.
func (l *leader) watchAbsences() {
	if !l.e.w.faults.absences {
		return
	}

	l.storeAbsences(func() { l.after(absencePeriod, l.watchAbsences) })
}

func (l *leader) storeAbsences(done func()) {
	w := l.e.w

	if !l.holdsLease() {
		done()

		return
	}

	absent, known := l.absentNodes()
	expected := map[string]int64{"term": l.termVersion, "absent": l.absences.Version}

	if !known || !l.absences.BeginWrite(absent) {
		done()

		return
	}

	l.e.call(func() stamp {
		return w.commit(expected, func() {
			w.store.absent = slices.Clone(absent)
			w.store.versions["absent"] = w.store.version
			w.absences++
		})
	}, func(r stamp) {
		switch {
		case l.over:
		case errors.Is(r.err, rows.ErrConflict) && r.conflicts["term"] != expected["term"]:
			l.end("superseded")
		case errors.Is(r.err, rows.ErrConflict):
			l.loadAbsences(done)
		case r.err != nil:
			done()
		default:
			l.absences.FinishWrite(absent, r.version)
			l.reopenHeld()
			done()
		}
	})
}

func (l *leader) absentNodes() ([]string, bool) {
	var absent []string

	listed, known := l.fleet.Absent(l.e.w.now)
	for _, name := range listed {
		if n := l.links[name]; n != nil && n.session == nil && !n.returning {
			absent = append(absent, name)
		}
	}

	return absent, known
}

// reopenHeld closes the sessions of agents that the row no longer lists.
func (l *leader) reopenHeld() {
	for _, name := range slices.Sorted(maps.Keys(l.links)) {
		if n := l.links[name]; n.session != nil && n.held && !l.absences.MayList(name) {
			n.returning = true
			n.session.close(leaderSide)
		}
	}
}

// handover is the row with which a leader hands over, as in package coordinator.
type handover struct {
	term int64
	ends map[string]time.Duration
}

// handOver returns the write of the row, by a leader that acts no more.
func (l *leader) handOver() func() {
	passed := handover{
		term: l.term,
		ends: map[string]time.Duration{},
	}

	left, _ := l.fleet.LeasesLeft(l.e.w.now)
	for name, d := range left {
		passed.ends[name] = 0
		if d > 0 {
			passed.ends[name] = l.e.clock.Latest(l.e.w.now + d)
		}
	}

	return func() { l.e.w.store.handover = passed }
}

func (l *leader) takeOver(passed handover, reading time.Duration) {
	l.handedOver = nil

	if passed.term != l.term-1 {
		return
	}

	l.handedOver = map[string]time.Duration{}

	for name, end := range passed.ends {
		l.handedOver[name] = l.e.w.now + lease.Wait(reading, end)
		l.e.w.handedOver++
	}
}
