package coordinator

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"trefoildeck/core/job"
	"trefoildeck/io/peer"
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
