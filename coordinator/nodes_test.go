package coordinator

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/standin/emulator"

	"gotest.tools/v3/assert"
)

// TestNodeRestart checks that no task is placed on a worker after its sidecar has
// restarted and before the first report of the new process. A report that doesn't contain
// such a task would make the leader treat it as lost and place it a second time.
func TestNodeRestart(t *testing.T) {
	l := newTestLeader(t, emulator.NewRowStore())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()

	for _, boot := range []string{"first", "second"} {
		row, err := peer.Node{
			Name:    "side-1",
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
			Role:    peer.RoleAgent,
			Boot:    boot,
		}.Row()
		assert.NilError(t, err)

		_, ok := l.applyNodeRow(ctx, row)
		assert.Assert(t, ok)
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	l.fleet.Add(0, 0, job.Record{
		ID:      "00000000000000bb",
		Service: "orders",
		Spec:    job.Spec{Steps: []job.Step{{Count: 1}}},
	})
	assert.Equal(t, len(l.fleet.Schedule(0, time.Time{})), 0)
}

// acceptNode starts a sidecar's side of a link, which passes on its session and the frames
// that it receives, and returns the sidecar's row.
func acceptNode(t *testing.T, sessions chan<- *peer.Session, frames chan<- *peerpb.Frame) peer.Node {
	t.Helper()

	var c net.ListenConfig

	listener, err := c.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	server := peer.Server{
		OnOpen: func(s *peer.Session) error {
			sessions <- s

			return nil
		},
		OnFrame: func(_ *peer.Session, f *peerpb.Frame) { frames <- f },
		OnClose: func(*peer.Session) {},
		OnError: func(string, error) {},
	}

	go func() { assert.Check(t, server.Serve(t.Context(), listener)) }()

	return peer.Node{
		Name:    "side-2",
		Address: netip.MustParseAddrPort(listener.Addr().String()),
		Role:    peer.RoleAgent,
		Boot:    "first",
	}
}

// TestPingBeforeReport checks that a sidecar that has not reported is not told that its
// leader holds the lease. It extended leases that the leader took for expired.
func TestPingBeforeReport(t *testing.T) {
	l := newTestLeader(t, emulator.NewRowStore())
	sessions, frames := make(chan *peer.Session, 1), make(chan *peerpb.Frame, 1)

	row, err := acceptNode(t, sessions, frames).Row()
	assert.NilError(t, err)

	_, ok := l.applyNodeRow(t.Context(), row)
	assert.Assert(t, ok)

	session := <-sessions
	ping := &peerpb.Frame{Body: &peerpb.Frame_Ping{Ping: &peerpb.Ping{Number: 1}}}

	for _, f := range []*peerpb.Frame{
		ping,
		// It is answered, and after the ping.
		{Body: &peerpb.Frame_Query{Query: &peerpb.Query{Number: 1}}},
	} {
		assert.NilError(t, session.Send(f))
	}

	assert.Assert(t, (<-frames).GetQueryAnswer() != nil, "the ping was answered before the report")

	for _, f := range []*peerpb.Frame{
		{Body: &peerpb.Frame_WorkerReport{WorkerReport: &peerpb.WorkerReport{Full: true}}},
		ping,
	} {
		assert.NilError(t, session.Send(f))
	}

	assert.Assert(t, (<-frames).GetPong() != nil)
}

// TestUnknownEndAfterLease checks that a leader whose lease has expired has no end forgotten
// that changes nothing: its task may be of a job that only the next leader knows, which then
// started it again.
func TestUnknownEndAfterLease(t *testing.T) {
	const number = 7

	l := newTestLeader(t, emulator.NewRowStore())
	sessions, frames := make(chan *peer.Session, 1), make(chan *peerpb.Frame, 1)

	row, err := acceptNode(t, sessions, frames).Row()
	assert.NilError(t, err)

	_, ok := l.applyNodeRow(t.Context(), row)
	assert.Assert(t, ok)

	session := <-sessions
	query := &peerpb.Frame{Body: &peerpb.Frame_Query{Query: &peerpb.Query{Number: 1}}}
	send := func(f *peerpb.Frame) { assert.NilError(t, session.Send(f)) }

	send(&peerpb.Frame{Body: &peerpb.Frame_WorkerReport{WorkerReport: &peerpb.WorkerReport{
		Full: true,
		Ends: []*peerpb.EndReport{{
			Number:   number,
			Task:     job.TaskID{Job: "00000000000000bb"}.String(),
			Attempt:  1,
			How:      string(gate.Done),
			WorkerID: "i-1",
		}},
	}}})
	send(query)
	assert.Assert(t, (<-frames).GetQueryAnswer() != nil, "the report was handled")

	valid := l.lease.record.Expiry
	setExpiry := func(e time.Duration) {
		l.leaseMu.Lock()
		defer l.leaseMu.Unlock()

		l.lease.record.Expiry = e
	}

	setExpiry(0)

	more, err := l.commitChanges(t.Context())
	assert.ErrorIs(t, err, errLeaseExpired)
	assert.Assert(t, more)

	send(query)
	assert.Assert(t, (<-frames).GetQueryAnswer() != nil, "the end was forgotten")

	setExpiry(valid)

	_, err = l.commitChanges(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, (<-frames).GetRecorded().GetNumber(), int64(number))
}
