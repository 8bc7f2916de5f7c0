package peer

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"trefoildeck/core/backlog"
	"trefoildeck/core/job"
	"trefoildeck/io/peer/peerpb"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// load returns a load with some accounts in each of two priorities.
func load(service string, accounts int) *backlog.Load {
	l := &backlog.Load{
		Service:        service,
		MilliCores:     100_000,
		FreeMilliCores: 1000,
		Largest: job.Size{
			MilliCores: 32_000,
			MemoryMB:   125_000,
		},
	}

	for p := range 2 {
		q := l.Priority(2 * p)
		q.Rate = 50_000
		q.AddRunning(1000)
		q.AddKind(7)
		q.AddKind(3)

		for a := range accounts {
			j := backlog.Job{
				Account:  fmt.Sprintf("a-%d.example", a),
				Deadline: time.Duration(a) * time.Second,
			}
			q.AddWaiting(0, j, 1<<40+int64(a))
		}
	}

	return l
}

// TestBacklog checks that loads are decoded as they were encoded.
func TestBacklog(t *testing.T) {
	const now = time.Hour

	messages := EncodeBacklog([]*backlog.Load{load("orders", 3), load("paint", 0)})
	assert.Equal(t, len(messages), 1)

	got := DecodeBacklog(now, messages[0])
	assert.Equal(t, len(got), 2)

	want := load("orders", 3)
	want.At = now
	assert.DeepEqual(t, got[0], want)
}

// TestBacklogBound checks that the load of a service takes at most 1 KB, whatever the number of its
// accounts and the lengths of its names, and that many services fit into frames.
func TestBacklogBound(t *testing.T) {
	many := load("orders", 1000)
	messages := EncodeBacklog([]*backlog.Load{many})
	assert.Assert(t, proto.Size(messages[0].GetServices()[0]) <= maxLoadBytes)

	// The accounts with the most work are left.
	p := messages[0].GetServices()[0].GetPriorities()[1]
	assert.Assert(t, len(p.GetAccounts()) >= 3)

	for _, a := range p.GetAccounts() {
		assert.Assert(t, a.GetAccount() >= "a-9", a.GetAccount())
	}

	assert.Equal(t, len(EncodeBacklog([]*backlog.Load{load(strings.Repeat("x", 2000), 1)})), 0)

	var services []*backlog.Load
	for i := range 2000 {
		services = append(services, load(fmt.Sprintf("s-%d", i), 20))
	}

	n := 0

	for _, m := range EncodeBacklog(services) {
		assert.Assert(t, proto.Size(m) <= MaxFrame)

		n += len(m.GetServices())
	}

	assert.Equal(t, n, len(services))
}

// TestEncodedLoadUnchanged guards against loads that lose accounts by being encoded: the leader compares
// them with the next ones, and sent those of many accounts twice as often, since they seemed to change.
func TestEncodedLoadUnchanged(t *testing.T) {
	l := load("orders", 1000)
	EncodeBacklog([]*backlog.Load{l})
	assert.Assert(t, !load("orders", 1000).Changed(l))
	assert.DeepEqual(t, l, load("orders", 1000))
}

// TestMalformedBacklog checks that amounts that no leader sends don't overflow.
func TestMalformedBacklog(t *testing.T) {
	l := DecodeBacklog(0, &peerpb.Backlog{Services: []*peerpb.ServiceLoad{{
		MilliCores: -1,
		Priorities: []*peerpb.PriorityLoad{{
			Running:  math.MaxInt64,
			Rate:     -5,
			Priority: 3,
			Accounts: []*peerpb.AccountLoad{{
				Waiting: make([]int64, 1000),
				Useful:  math.MinInt64,
			}},
		}, {}},
	}}})[0]

	assert.Equal(t, l.MilliCores, int64(0))
	assert.Equal(t, l.Priorities[1].Rate, int64(0))
	assert.Assert(t, l.Priorities[1].Running > 0)
	assert.Equal(t, l.Priorities[1].Accounts[0].Useful, int64(0))
	assert.Equal(t, l.Admit(0, &job.Record{Priority: 3}, ""), backlog.Verdict{Admit: true})
}
