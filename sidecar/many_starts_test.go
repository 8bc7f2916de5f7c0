package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"trefoildeck/core/fleet"
	"trefoildeck/core/gate"
	"trefoildeck/core/job"
	"trefoildeck/io/boottime"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/platform"

	"gotest.tools/v3/assert"
)

// TestManyStarts checks that a worker that is sent some thousand starts at once leaves none of them
// unanswered, and that its leases are extended and a run is stopped meanwhile. Calls waited for
// a connection longer than for their answers, and all starts in flight were fenced off for it.
func TestManyStarts(t *testing.T) {
	t.Parallel()

	const (
		count       = 3000
		answerAfter = 10 * time.Millisecond
	)

	w, a := startWorker("i-1", time.Second)
	w.Capacity = job.Size{MilliCores: count}

	var (
		mu       sync.Mutex
		starts   int
		listings []time.Time
		stopped  = make(chan time.Time, 1)
	)

	server := httptest.NewServer(http.HandlerFunc(func(a http.ResponseWriter, r *http.Request) {
		time.Sleep(answerAfter)
		w.ServeHTTP(a, r)

		mu.Lock()
		defer mu.Unlock()

		switch r.URL.Path {
		case "/trefoildeck/run-start":
			starts++
		case "/trefoildeck/hold":
			listings = append(listings, time.Now())
		case "/trefoildeck/run-stop":
			stopped <- time.Now()
		}
	}))
	defer server.Close()

	s := newTestSidecar(t, server)
	a.Capacity = w.Capacity
	s.handleAnnouncement(a)

	for !s.gate.Synced {
		s.listOnce(t.Context())
	}

	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})

	go func() {
		defer close(done)

		assert.Check(t, s.listLoop(ctx))
	}()

	o := &fleet.Orders{Incarnation: a.Incarnation}
	for i := range count {
		o.Starts = append(o.Starts, gate.StartOrder{
			Task: job.TaskID{
				Job:   "00000000000000aa",
				Index: i,
			},
			Attempt: 1,
			Size:    job.Size{MilliCores: 1},
		})
	}

	s.mu.Lock()
	s.gate.Authorize(boottime.Now())
	token := s.gate.Token
	began := time.Now()

	for _, m := range peer.EncodeOrders(o) {
		s.handleOrders(m)
	}

	s.handleOrders(&peerpb.Orders{
		WorkerID: a.ID,
		Born:     a.Born,
		Stops: []*peerpb.StopOrder{{
			Task:    "00000000000000bb.0.0.0",
			Attempt: 1,
		}},
	})
	s.mu.Unlock()

	at := <-stopped
	assert.Check(t, at.Sub(began) < 400*time.Millisecond, "the stop took %s", at.Sub(began))

	time.Sleep(4 * time.Second)
	s.mu.Lock()
	answering := s.gate.Answering
	s.mu.Unlock()
	cancel()
	<-done

	s.mu.Lock()
	defer s.mu.Unlock()

	assert.Equal(t, s.gate.Token, token, "a start was fenced off")
	assert.Assert(t, answering)

	for _, r := range s.gate.Runs {
		assert.Assert(t, r.Phase == gate.Confirmed)
	}

	mu.Lock()
	defer mu.Unlock()

	t.Logf("%d starts, %d runs", starts, len(s.gate.Runs))

	last := began
	for _, l := range listings {
		assert.Check(t, l.Sub(last) < maxListWait+400*time.Millisecond, "no listing for %s", l.Sub(last))
		last = l
	}
}

// startOrders returns orders to start tasks of one job. The caller holds the lock.
func startOrders(s *Sidecar, count int) *peerpb.Orders {
	m := &peerpb.Orders{
		WorkerID: s.gate.Worker.ID,
		Born:     s.gate.Worker.Born,
	}

	for i := range count {
		m.Starts = append(m.Starts, &peerpb.StartOrder{
			Task:    fmt.Sprintf("00000000000000aa.0.0.%d", i),
			Attempt: 1,
		})
	}

	return m
}

// TestUnansweredAmongMany checks that a start that goes unanswered costs none of those that wait
// behind it.
func TestUnansweredAmongMany(t *testing.T) {
	t.Parallel()

	const (
		count       = 1000
		answerAfter = 5 * time.Millisecond
	)

	var starts atomic.Int64

	s := listedSidecar(t, func(path string) bool {
		if path != "run-start" {
			return false
		}

		time.Sleep(answerAfter)

		return starts.Add(1) == 1
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()

	go func() { assert.Check(t, s.listLoop(ctx)) }()

	s.mu.Lock()
	s.gate.Authorize(boottime.Now())

	s.handleOrders(startOrders(s, count))
	s.mu.Unlock()

	time.Sleep(2 * time.Second)

	s.mu.Lock()
	defer s.mu.Unlock()

	confirmed := 0

	for _, r := range s.gate.Runs {
		if r.Phase == gate.Confirmed {
			confirmed++
		}
	}

	// Those that were in flight with it may be fenced off.
	assert.Assert(t, confirmed >= count-platform.MaxConcurrentStarts, "%d", confirmed)
}

// TestHeldUpTogether checks that starts that can't be sent any more are reported together. One report
// for each is more than the queue of a session holds, which ends it.
func TestHeldUpTogether(t *testing.T) {
	t.Parallel()

	const count = 3000

	s := listedSidecar(t, func(string) bool { return false })
	reports := connectLeader(t, s, 1)
	assert.Assert(t, (<-reports).GetFull())

	s.mu.Lock()
	s.gate.Authorize(boottime.Now())
	s.starting = platform.MaxConcurrentStarts

	s.handleOrders(startOrders(s, count))
	s.gate.Answering = false
	s.mu.Unlock()

	_, ok := s.nextStart()
	assert.Assert(t, !ok)

	var (
		joiner peer.ReportJoiner
		report *peerpb.WorkerReport
	)

	for report == nil {
		report = joiner.Add(<-reports)
	}

	assert.Equal(t, len(report.GetEnds()), count)
}
