package coordinator

import (
	"context"
	"testing"
	"time"

	"trefoildeck/core/backlog"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/standin/emulator"

	"gotest.tools/v3/assert"
)

// newAdmittingLeader returns a leader that broadcasts loads.
func newAdmittingLeader(t *testing.T) *leader {
	t.Helper()

	l := newTestLeader(t, emulator.NewRowStore())
	l.c.settings.Scheduling.Admission = true
	l.fleet.Order = backlog.Fair
	l.fleet.AwaitReports(l.c.now(), nil, nil, nil)

	return l
}

// TestBacklogSent checks that the leader sends the load of a service to an entry and applies it
// itself, and not if the setting is off.
func TestBacklogSent(t *testing.T) {
	for name, on := range map[string]bool{
		"On":  true,
		"Off": false,
	} {
		t.Run(name, func(t *testing.T) {
			l := newAdmittingLeader(t)
			l.c.settings.Scheduling.Admission = on

			sessions, frames := make(chan *peer.Session, 1), make(chan *peerpb.Frame, 10)
			node := acceptNode(t, sessions, frames)
			node.Role, node.Refusals = peer.RoleEntry, true

			row, err := node.Row()
			assert.NilError(t, err)

			_, ok := l.applyNodeRow(t.Context(), row)
			assert.Assert(t, ok)

			<-sessions

			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()

			ended := make(chan error, 1)
			go func() { ended <- l.broadcastBacklog(ctx) }()

			if !on {
				assert.NilError(t, <-ended)
				assert.Equal(t, len(frames), 0)

				return
			}

			f := <-frames
			assert.Equal(t, f.GetBacklog().GetServices()[0].GetService(), "orders")
			assert.NilError(t, <-ended)
			// Without a leader, nothing is refused.
			assert.Equal(t, len(l.c.admission.loads), 0)
		})
	}
}

// TestLoadsHeld checks when a leader sends no loads, so that nothing is refused.
func TestLoadsHeld(t *testing.T) {
	entry := func(refusals bool) peer.Node {
		return peer.Node{
			Name:     "front-9",
			Role:     peer.RoleEntry,
			Refusals: refusals,
		}
	}

	tests := map[string]struct {
		change func(*leader)
		held   bool
	}{
		"Usual":     {func(*leader) {}, false},
		"Reloading": {func(l *leader) { l.setReloading(true) }, true},
		"LeaseLost": {func(l *leader) { l.lease.record.Expiry = 0 }, true},
		"OtherEntry": {func(l *leader) {
			l.nodes["front-9"] = &nodeLink{
				node:    entry(true),
				present: l.c.now(),
			}
		}, false},
		// It would answer the repetition of a refused submission as accepted.
		"OldEntry": {func(l *leader) {
			l.nodes["front-9"] = &nodeLink{
				node:    entry(false),
				present: l.c.now(),
			}
		}, true},
		"OldEntryConnected": {func(l *leader) {
			l.nodes["front-9"] = &nodeLink{
				node:    entry(false),
				session: &peer.Session{},
				present: l.c.now() - time.Hour,
			}
		}, true},
		"OldEntryGone": {func(l *leader) {
			l.nodes["front-9"] = &nodeLink{
				node:    entry(false),
				present: l.c.now() - absentAfter,
			}
		}, false},
		"Agent": {func(l *leader) {
			l.nodes["side-9"] = &nodeLink{
				node: peer.Node{
					Name: "side-9",
					Role: peer.RoleAgent,
				},
				present: l.c.now(),
			}
		}, false},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			l := newAdmittingLeader(t)
			c.change(l)
			assert.Equal(t, l.loads(l.c.now()) == nil, c.held)
		})
	}
}

// TestNoRefusalWithoutLeader checks that an entry forgets the loads when its leader is lost, and
// takes none from a session that is not the leader's.
func TestNoRefusalWithoutLeader(t *testing.T) {
	c := newTestEntry(emulator.NewRowStore().Store())
	s, old := &peer.Session{Hello: &peerpb.Hello{
		Role: peer.RoleLeader,
		Term: 2,
	}}, &peer.Session{}
	frame := &peerpb.Frame{Body: &peerpb.Frame_Backlog{Backlog: &peerpb.Backlog{Services: []*peerpb.ServiceLoad{{Service: "orders"}}}}}

	assert.NilError(t, c.acceptLeader(s))
	c.handleFrame(old, frame)
	assert.Equal(t, len(c.admission.loads), 0)

	c.handleFrame(s, frame)
	assert.Equal(t, len(c.admission.loads), 1)

	c.dropLeader(s)
	assert.Equal(t, len(c.admission.loads), 0)
}

// TestAcceptedCounts checks that an entry counts what it accepted itself until the next load: it
// accepted a whole burst within the period of the loads.
func TestAcceptedCounts(t *testing.T) {
	c := newTestEntry(emulator.NewRowStore().Store())
	l := &backlog.Load{
		At:         c.now(),
		Service:    testQueue.Service,
		MilliCores: 1000,
	}
	l.Priority(0).AddKind(backlog.KindOf(&testSpec.Steps[0]))
	c.admission.update([]*backlog.Load{l})

	accepted := 0

	for _, id := range []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9"} {
		if c.accept(t.Context(), testQueue, "00000000000000"+id, testSpec) == nil {
			accepted++
		}
	}

	// The objective is 1.75 s, so that a job has to start within 4.25 s on one core.
	assert.Equal(t, accepted, 5)
}
