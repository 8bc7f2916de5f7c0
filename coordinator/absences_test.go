package coordinator

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"trefoildeck/core/fleet"
	"trefoildeck/core/gate"
	"trefoildeck/core/job"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/io/rows"
	"trefoildeck/standin/emulator"

	"gotest.tools/v3/assert"
)

// TestAbsentNodeNotAwaited checks that a leader doesn't wait for the report of a sidecar that its
// predecessor has found to be absent. After a worker had been taken away, each new leader waited
// 6.4 s before it started tasks of loaded jobs.
func TestAbsentNodeNotAwaited(t *testing.T) {
	running := []gate.Run{{
		Task:       job.TaskID{Job: "00000000000000cc"},
		Attempt:    1,
		OrderKnown: true,
	}}
	stray := []gate.Run{{
		Task:    job.TaskID{Job: "00000000000000dd"},
		Attempt: 1,
	}}

	tests := map[string]struct {
		runs       []gate.Run
		contactAge time.Duration
		missing    int
	}{
		"Idle":        {nil, time.Second, 0},
		"IdleJustNow": {nil, 900 * time.Millisecond, 1},
		"Running":     {running, fleet.MaxLeaseTime - time.Second, 1},
		"Expired":     {running, fleet.MaxLeaseTime, 0},
		"StrayRun":    {stray, fleet.MaxLeaseTime - time.Second, 1},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := emulator.NewRowStore()
			l := newTestLeader(t, s)
			n := peer.Node{
				Name:    "side-2",
				Address: netip.MustParseAddrPort("127.0.0.1:1"),
				Role:    peer.RoleAgent,
				Boot:    "first",
			}
			l.nodes[n.Name] = &nodeLink{node: n}

			now := l.c.now()
			l.fleet.AwaitReports(now, nil, nil, nil)
			l.fleet.Add(now, 0, job.Record{
				ID:   running[0].Task.Job,
				Spec: job.Spec{Steps: []job.Step{{Count: 1}}},
			})
			l.fleet.Report(now, n.Name, fleet.Report{
				Full: true,
				Runs: c.runs,
			})
			l.fleet.Disconnected(n.Name)

			l.c.now = func() time.Duration { return now + c.contactAge }
			l.lease.record.Expiry += c.contactAge

			assert.NilError(t, l.storeAbsences(t.Context()))

			next := newLeader(l.c, 2, l.lease)
			assert.NilError(t, next.loadAbsences(t.Context()))

			next.fleet.AwaitReports(now, []string{n.Name}, next.absences.Listed(), next.handedOver)
			assert.Equal(t, next.fleet.MissingReports(), c.missing)
		})
	}
}

// TestAbsencesOfLongNames guards against a row that is larger than the store accepts. All sidecars in it
// were kept waiting for good when they came back, since the row may list them until it is written.
func TestAbsencesOfLongNames(t *testing.T) {
	s := emulator.NewRowStore()
	l := newTestLeader(t, s)
	l.fleet.AwaitReports(0, nil, nil, nil)

	for i := range maxAbsences {
		name := fmt.Sprintf("%0200d", i)
		l.nodes[name] = &nodeLink{node: peer.Node{Name: name}}
		l.fleet.Report(0, name, fleet.Report{Full: true})
		l.fleet.Disconnected(name)
	}

	l.c.now = func() time.Duration { return time.Second }
	l.lease.record.Expiry += time.Second

	assert.NilError(t, l.storeAbsences(t.Context()))
	assert.NilError(t, l.loadAbsences(t.Context()))

	// The store may count a value as it is sent, in base64.
	listed := len(l.absences.Listed())
	assert.Assert(t, listed*203*4/3 <= l.c.settings.Store.RowLimit(), "%d names", listed)
	assert.Assert(t, listed >= 200, "%d names", listed)
}

// TestAbsentNodeReturns checks that a sidecar that the stored row lists as absent is not used
// before the row has been changed. The next leader would not wait for its report, and would start
// its tasks a second time.
func TestAbsentNodeReturns(t *testing.T) {
	l := newTestLeader(t, emulator.NewRowStore())
	sessions, frames := make(chan *peer.Session, 1), make(chan *peerpb.Frame, 1)
	n := acceptNode(t, sessions, frames)

	version, err := l.commitAbsences(t.Context(), []string{n.Name}, 0)
	assert.NilError(t, err)
	assert.Assert(t, version > 0)
	assert.NilError(t, l.loadAbsences(t.Context()))

	row, err := n.Row()
	assert.NilError(t, err)

	_, ok := l.applyNodeRow(t.Context(), row)
	assert.Assert(t, ok)

	l.mu.Lock()
	l.fleet.AwaitReports(l.c.now(), []string{n.Name}, l.absences.Listed(), l.handedOver)
	l.mu.Unlock()

	report := &peerpb.Frame{Body: &peerpb.Frame_WorkerReport{WorkerReport: &peerpb.WorkerReport{Full: true}}}
	ping := &peerpb.Frame{Body: &peerpb.Frame_Ping{Ping: &peerpb.Ping{Number: 1}}}

	held := <-sessions
	assert.NilError(t, held.Send(report))
	assert.NilError(t, held.Send(ping))

	// Its connection is what asks for the write.
	<-l.absenceEnded
	assert.NilError(t, l.storeAbsences(t.Context()))

	<-held.Done()

	session := <-sessions
	assert.NilError(t, session.Send(report))
	assert.NilError(t, session.Send(ping))
	assert.Assert(t, (<-frames).GetPong() != nil, "the first answer came before the row was changed")

	l.mu.Lock()
	defer l.mu.Unlock()

	assert.Assert(t, !l.absences.MayList(n.Name))
}

// TestAbsentNodeLeavesAgain guards against a sidecar that comes back, leaves before its first report, and
// is never listed as absent again: the next leader waited for it.
func TestAbsentNodeLeavesAgain(t *testing.T) {
	l := newTestLeader(t, emulator.NewRowStore())
	sessions, frames := make(chan *peer.Session, 2), make(chan *peerpb.Frame, 1)
	n := acceptNode(t, sessions, frames)

	_, err := l.commitAbsences(t.Context(), []string{n.Name}, 0)
	assert.NilError(t, err)
	assert.NilError(t, l.loadAbsences(t.Context()))

	now := l.c.now()
	l.fleet.AwaitReports(now, []string{n.Name}, l.absences.Listed(), l.handedOver)

	row, err := n.Row()
	assert.NilError(t, err)

	_, ok := l.applyNodeRow(t.Context(), row)
	assert.Assert(t, ok)

	<-l.absenceEnded

	l.mu.Lock()
	held := l.nodes[n.Name].session
	l.mu.Unlock()

	assert.NilError(t, l.storeAbsences(t.Context()))
	assert.Equal(t, len(l.absences.Listed()), 0)

	session := func() *peer.Session {
		l.mu.Lock()
		defer l.mu.Unlock()

		return l.nodes[n.Name].session
	}

	// The first session is closed, and so is the next one, without a report.
	for s := session(); s == nil || s == held; s = session() {
		time.Sleep(time.Millisecond)
	}

	l.mu.Lock()
	l.nodes[n.Name].cancel()
	l.mu.Unlock()

	for session() != nil {
		time.Sleep(time.Millisecond)
	}

	// Its new session may be on its way at first.
	assert.NilError(t, l.storeAbsences(t.Context()))
	assert.Equal(t, len(l.absences.Listed()), 0)

	l.mu.Lock()
	later := l.c.now() + fleet.MaxLeaseTime
	l.c.now = func() time.Duration { return later }
	l.lease.record.Expiry += fleet.MaxLeaseTime
	l.mu.Unlock()

	assert.NilError(t, l.storeAbsences(t.Context()))
	assert.Equal(t, len(l.absences.Listed()), 1)
}

// TestAbsencesKeptUntilNodesKnown guards against a new leader that empties the row of absent sidecars
// since it doesn't know the nodes yet. Its successor waited for the reports of all of them.
func TestAbsencesKeptUntilNodesKnown(t *testing.T) {
	l := newTestLeader(t, emulator.NewRowStore())

	version, err := l.commitAbsences(t.Context(), []string{"side-2", "side-3"}, 0)
	assert.NilError(t, err)
	assert.NilError(t, l.loadAbsences(t.Context()))

	assert.NilError(t, l.storeAbsences(t.Context()))
	assert.Equal(t, l.absences.Version, version)
	assert.Equal(t, len(l.absences.Listed()), 2)

	// Both are in the node table, and one of them is back.
	l.nodes["side-2"] = &nodeLink{node: peer.Node{Name: "side-2"}}
	l.nodes["side-3"] = &nodeLink{
		node:    peer.Node{Name: "side-3"},
		session: &peer.Session{},
	}
	l.fleet.AwaitReports(l.c.now(), []string{"side-2", "side-3"}, l.absences.Listed(), l.handedOver)

	assert.NilError(t, l.storeAbsences(t.Context()))
	assert.DeepEqual(t, l.absences.Listed(), map[string]bool{"side-2": true})
}

// TestUnreadableAbsences guards against nodes that are not waited for because of a row that can be decoded
// in part.
func TestUnreadableAbsences(t *testing.T) {
	s := emulator.NewRowStore()
	l := newTestLeader(t, s)

	stamp, err := l.c.store.Commit(t.Context(), rows.Transaction{
		Part: leadPart,
		Set: []rows.Row{{
			Table: leadTable,
			Key:   absentKey,
			Value: []byte(`["side-2",2]`),
		}},
	})
	assert.NilError(t, err)
	assert.NilError(t, l.loadAbsences(t.Context()))
	assert.Equal(t, len(l.absences.Listed()), 0)

	// The next write replaces it.
	assert.Equal(t, l.absences.Version, stamp.Version)
}
