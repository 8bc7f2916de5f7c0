package sidecar

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/settings"
	"trefoildeck/standin/emulator"

	"go.uber.org/zap"
)

// startWorker returns a worker without runs and its announcement.
func startWorker(id string, clockStart time.Duration) (*emulator.Worker, gate.Announcement) {
	w := &emulator.Worker{
		ID:         id,
		ClockStart: clockStart,
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
