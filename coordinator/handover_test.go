package coordinator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"trefoildeck/core/fleet"
	"trefoildeck/io/peer"
	"trefoildeck/io/rows"
	"trefoildeck/standin/emulator"

	"gotest.tools/v3/assert"
)

// succeed returns the leader of a later term, which has read the rows that others left.
func (l *leader) succeed(t *testing.T, terms int64) *leader {
	t.Helper()

	ls, err := l.c.readLease(t.Context())
	assert.NilError(t, err)

	ls, err = l.c.writeLease(t.Context(), ls, l.term+terms)
	assert.NilError(t, err)

	next := newLeader(l.c, l.term+terms, ls)
	assert.NilError(t, next.loadAbsences(t.Context()))

	return next
}

// await makes the leader await the reports of sidecars, as when it has read the node table.
func (l *leader) await(names ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, n := range names {
		l.nodes[n] = &nodeLink{node: peer.Node{Name: n}}
	}

	l.fleet.AwaitReports(l.c.now(), names, l.absences.Listed(), l.handedOver)
}

// missing returns the number of sidecars whose reports are awaited.
func (l *leader) missing() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	_, _ = l.fleet.Absent(l.c.now())

	return l.fleet.MissingReports()
}

// TestSeriesOfLeaders guards against a wait that each leader begins anew: a sidecar that was gone kept
// loaded jobs from running for as long as no leader led for 6.4 s.
func TestSeriesOfLeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const reign = 1500 * time.Millisecond

		l := newTestLeader(t, emulator.NewRowStore())
		l.await("side-2")
		began := l.c.now()

		for l.missing() > 0 && l.c.now()-began < time.Minute {
			time.Sleep(reign)
			assert.Assert(t, l.release(t.Context()))
			l = l.succeed(t, 1)
			l.await("side-2")
		}

		waited := l.c.now() - began
		assert.Assert(t, waited >= fleet.MaxLeaseTime, "%s", waited)
		assert.Assert(t, waited <= fleet.MaxLeaseTime+reign, "%s", waited)
	})
}

// TestHandoverHoldsForNextTerm guards against tasks that run twice: a leader in between may have given leases
// without writing a handover.
func TestHandoverHoldsForNextTerm(t *testing.T) {
	tests := map[string]struct {
		terms   int64
		missing int
	}{
		"Next":    {1, 0},
		"Between": {2, 1},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			l := newTestLeader(t, emulator.NewRowStore())
			l.await("side-2")
			l.fleet.Report(l.c.now(), "side-2", fleet.Report{Full: true})
			assert.Assert(t, l.release(t.Context()))

			next := l.succeed(t, c.terms)
			next.await("side-2")
			assert.Equal(t, next.missing(), c.missing)
		})
	}
}

// TestHandoverWithLeaseOnly checks that a leader that was superseded hands nothing over.
func TestHandoverWithLeaseOnly(t *testing.T) {
	s := emulator.NewRowStore()
	l := newTestLeader(t, s)
	l.await("side-2")

	next := l.succeed(t, 1)
	assert.Assert(t, l.release(t.Context()))
	assert.Assert(t, next.release(t.Context()))

	for _, r := range s.Rows(leadTable) {
		assert.Assert(t, r.Key != handoverKey, "%s", r.Value)
	}
}

// TestHandoverFits guards against a row that is larger than the store accepts: the lease would not be
// released. Sidecars without a session, which the next leader would wait for, come first.
func TestHandoverFits(t *testing.T) {
	s := emulator.NewRowStore()
	l := newTestLeader(t, s)

	names := make([]string, 3*maxAbsences)
	for i := range names {
		names[i] = fmt.Sprintf("%0200d", i)
	}

	l.await(names...)

	last := names[len(names)-1]
	for _, n := range names {
		if n != last {
			l.nodes[n].session = &peer.Session{}
		}
	}

	assert.Assert(t, l.release(t.Context()))

	next := l.succeed(t, 1)
	assert.Assert(t, len(next.handedOver) >= 100, "%d names", len(next.handedOver))

	_, listed := next.handedOver[last]
	assert.Assert(t, listed)
}

// TestUnreadableHandover checks that sidecars are awaited in full if the row can't be decoded.
func TestUnreadableHandover(t *testing.T) {
	l := newTestLeader(t, emulator.NewRowStore())

	_, err := l.c.store.Commit(t.Context(), rows.Transaction{
		Part: leadPart,
		Set: []rows.Row{{
			Table: leadTable,
			Key:   handoverKey,
			Value: []byte(`{"Term":1,"LeaseEnds":{"side-2":0,"side-3":"x"}}`),
		}},
	})
	assert.NilError(t, err)

	next := l.succeed(t, 1)
	next.await("side-2")
	assert.Equal(t, next.missing(), 1)
}
