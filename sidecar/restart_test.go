package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/settings"
	"trefoildeck/standin/emulator"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// startWorker returns a worker without runs and its announcement.
func startWorker(id string, clockStart time.Duration) (*emulator.Worker, gate.Announcement) {
	w := &emulator.Worker{
		ID:         id,
		ClockStart: clockStart,
		Checker:    emulator.NewChecker(),
		PlanRun: func(job.TaskID, int) emulator.RunPlan {
			return emulator.RunPlan{
				Duration:  time.Minute,
				EndReason: "done",
			}
		},
		LoseAnswer: func(string) (bool, time.Duration) { return false, 0 },
	}
	w.Start()

	return w, gate.Announcement{
		Incarnation: gate.Incarnation{
			ID:   id,
			Born: w.Born(),
		},
		Sequence: 1,
	}
}

// newTestSidecar returns a sidecar beside the worker at a server's address.
func newTestSidecar(t *testing.T, server *httptest.Server) *Sidecar {
	t.Helper()

	var s settings.Node
	s.Worker.Address = netip.MustParseAddrPort(server.Listener.Addr().String())

	return New(s, emulator.NewRowStore().Store(), zap.NewNop())
}

// TestFencedAfterRestart checks that a sidecar that restarts can list a worker whose
// predecessor's clock was ahead. The process before it carried its token over from there,
// and the new one was fenced off for good.
func TestFencedAfterRestart(t *testing.T) {
	const maxCalls = 20

	tests := map[string]time.Duration{
		"Same":   time.Second,
		"Ahead":  time.Hour,
		"ByDays": 100 * 24 * time.Hour,
	}

	for name, clock := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			var worker *emulator.Worker

			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { worker.ServeHTTP(w, r) }))
			defer server.Close()

			list := func(s *Sidecar) {
				for range maxCalls {
					if s.gate.Synced {
						return
					}

					s.listOnce(t.Context())
				}

				t.Fatalf("not listed in %d calls", maxCalls)
			}

			first := newTestSidecar(t, server)

			w, a := startWorker("i-1", clock)
			worker = w
			first.handleAnnouncement(a)
			list(first)

			w, a = startWorker("i-2", time.Second)
			worker = w
			first.handleAnnouncement(a)
			list(first)

			second := newTestSidecar(t, server)
			second.handleAnnouncement(a)
			list(second)
		})
	}
}

// connectLeader opens a session of the leader of a term with a sidecar. The channel gets its
// reports.
func connectLeader(t *testing.T, s *Sidecar, term int64) <-chan *peerpb.WorkerReport {
	t.Helper()

	var c net.ListenConfig

	listener, err := c.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	reports, open := make(chan *peerpb.WorkerReport, 10), make(chan struct{})
	// A session that another one replaces is dialled again.
	opened := sync.OnceFunc(func() { close(open) })
	server := peer.Server{
		OnOpen: func(p *peer.Session) error {
			defer opened()

			return s.acceptLeader(p)
		},
		OnFrame: s.handleFrame,
		OnClose: s.dropLeader,
		OnError: func(string, error) {},
	}
	link := peer.Link{
		Address: netip.MustParseAddrPort(listener.Addr().String()),
		Hello: func() *peerpb.Hello {
			return &peerpb.Hello{
				Role: peer.RoleLeader,
				Term: term,
			}
		},
		OnOpen: func(*peer.Session) {},
		OnFrame: func(_ *peer.Session, f *peerpb.Frame) {
			if r := f.GetWorkerReport(); r != nil {
				reports <- r
			}
		},
		OnClose: func(*peer.Session) {},
		OnError: func(error) {},
	}

	go func() { assert.Check(t, server.Serve(t.Context(), listener)) }()
	go link.Run(t.Context())
	<-open

	return reports
}

// TestUnlistedEnds checks that the first listing of a restarted worker reports the end of a
// run that it doesn't list, together with the full report: a leader that is connected takes
// no run for lost because it is not in there.
func TestUnlistedEnds(t *testing.T) {
	w, a := startWorker("i-1", time.Second)
	server := httptest.NewServer(w)
	defer server.Close()

	s := newTestSidecar(t, server)
	s.handleAnnouncement(a)

	list := func() {
		for !s.gate.Synced {
			s.listOnce(context.Background())
		}
	}
	list()

	reports := connectLeader(t, s, 1)
	assert.Assert(t, (<-reports).GetFull())

	task := job.TaskID{Job: "00000000000000aa"}
	s.gate.Reserve(0, gate.StartOrder{
		Task:    task,
		Attempt: 1,
	})
	s.gate.Confirm(0, task, 1)

	time.Sleep(2 * time.Millisecond)
	w.Start()
	a.Born = w.Born()
	s.handleAnnouncement(a)
	list()

	assert.Assert(t, !(<-reports).GetFull(), "the announcement")

	r := <-reports
	assert.Assert(t, r.GetFull())
	assert.Equal(t, len(r.GetEnds()), 1)
	assert.Equal(t, r.GetEnds()[0].GetHow(), string(gate.Lost))
}
