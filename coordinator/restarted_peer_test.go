package coordinator

import (
	"context"
	"testing"

	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/io/rows"
	"trefoildeck/standin/emulator"

	"gotest.tools/v3/assert"
)

// TestRelayedAnswerAfterRestart checks that the answer to a relayed call isn't sent in a later
// session. The process that restarted there, which numbers its calls anew, took it for the answer
// to a call of its own.
func TestRelayedAnswerAfterRestart(t *testing.T) {
	l := newTestLeader(t, emulator.NewRowStore())
	calls, answers := make(chan struct{}), make(chan struct{})
	l.c.directStore.Commit = func(context.Context, rows.Transaction) (rows.Stamp, error) {
		close(calls)
		<-answers

		return rows.Stamp{}, nil
	}

	sessions, frames := make(chan *peer.Session, 1), make(chan *peerpb.Frame, 1)
	node := acceptNode(t, sessions, frames)
	node.Role = peer.RoleEntry

	row, err := node.Row()
	assert.NilError(t, err)

	_, ok := l.applyNodeRow(t.Context(), row)
	assert.Assert(t, ok)

	first := <-sessions
	call := peer.EncodeTransaction(rows.Transaction{})
	call.Number = 1
	assert.NilError(t, first.Send(&peerpb.Frame{Body: &peerpb.Frame_StoreCall{StoreCall: call}}))
	<-calls
	first.Close()

	second := <-sessions
	close(answers)
	// Of the answers that follow, this one comes last.
	assert.NilError(t, second.Send(&peerpb.Frame{Body: &peerpb.Frame_Query{Query: &peerpb.Query{Number: 2}}}))

	for f := range frames {
		assert.Assert(t, f.GetStoreAnswer() == nil, "the answer to the first session's call")

		if f.GetQueryAnswer() != nil {
			return
		}
	}
}
