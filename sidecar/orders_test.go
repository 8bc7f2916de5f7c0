package sidecar

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"
	"trefoildeck/io/boottime"
	"trefoildeck/io/peer/peerpb"

	"gotest.tools/v3/assert"
)

// TestUnansweredPace checks that a pace that the worker may still carry out is fenced off before
// the next one is ordered. A worker kept the older one, which the sidecar never corrected.
func TestUnansweredPace(t *testing.T) {
	w, a := startWorker("i-1", time.Second)
	w.LoseAnswer = func(path string) (bool, time.Duration) { return path == "/trefoildeck/pace", time.Hour }

	server := httptest.NewServer(w)
	defer server.Close()

	s := newTestSidecar(t, server)
	s.handleAnnouncement(a)

	for !s.gate.Synced {
		s.listOnce(t.Context())
	}

	order := gate.StartOrder{
		Task:    job.TaskID{Job: "00000000000000aa"},
		Attempt: 1,
		Fills:   true,
	}
	token, _ := s.gate.Reserve(0, order)
	s.gate.Confirm(0, order.Task, 1)
	s.gate.Runs[order.Task].PacePercent = 50
	s.pace(t.Context(), a.ID, token, gate.PaceOrder{
		Task:    order.Task,
		Attempt: 1,
		Percent: 50,
	})

	assert.Equal(t, s.gate.Runs[order.Task].PacePercent, gate.UnknownPace)
	assert.Assert(t, s.gate.Token > token)
}

// TestStopNotCarriedOut checks that a stop is repeated while the run goes on. The run of a
// cancelled job ran to its end if the worker was too busy for one stop or silent for 2 s.
func TestStopNotCarriedOut(t *testing.T) {
	const silent = 0

	tests := map[string]struct {
		status   int
		failures int64
	}{
		"TooMany":     {http.StatusTooManyRequests, 3},
		"Unavailable": {http.StatusServiceUnavailable, 3},
		"Silent":      {silent, 6},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			var calls atomic.Int64

			stopped := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				// A client that gives up is noticed once its request is read.
				_, err := io.Copy(io.Discard, r.Body)
				assert.Check(t, err)

				switch {
				case calls.Add(1) > c.failures:
					_, err := w.Write([]byte(`{"clock_ms":1000}`))
					assert.Check(t, err)
					close(stopped)
				case c.status == silent:
					<-r.Context().Done()
				default:
					w.WriteHeader(c.status)
				}
			}))
			defer server.Close()

			s := newTestSidecar(t, server)
			s.handleAnnouncement(gate.Announcement{Incarnation: gate.Incarnation{ID: "i-1"}})

			order := gate.StartOrder{
				Task:    job.TaskID{Job: "00000000000000aa"},
				Attempt: 1,
			}
			s.gate.Reserve(0, order)
			s.gate.Confirm(0, order.Task, 1)
			s.handleOrders(&peerpb.Orders{
				WorkerID: "i-1",
				Stops:    []*peerpb.StopOrder{{Task: order.Task.String(), Attempt: 1}},
			})

			select {
			case <-stopped:
			case <-time.After(5 * time.Second):
				t.Errorf("the run goes on after %d calls", calls.Load())
			}
		})
	}
}

// TestPresentRunReported checks that the refusal of a start of a task of which the worker has a run
// comes with that run. The leader took the task for free and started it elsewhere meanwhile.
func TestPresentRunReported(t *testing.T) {
	tests := map[gate.Refusal]func(*gate.Gate){
		gate.TaskPresent:    func(*gate.Gate) {},
		gate.WorkerSilent:   func(g *gate.Gate) { g.Answering = false },
		gate.WorkerDraining: func(g *gate.Gate) { g.Worker.Draining = true },
	}

	for reason, prepare := range tests {
		t.Run(string(reason), func(t *testing.T) {
			t.Parallel()

			s := listedSidecar(t, func(string) bool { return false })
			reports := connectLeader(t, s, 1)
			assert.Assert(t, (<-reports).GetFull())

			task := job.TaskID{Job: "00000000000000aa"}

			s.mu.Lock()
			s.gate.Authorize(boottime.Now())
			s.gate.Reserve(0, gate.StartOrder{
				Task:    task,
				Attempt: 1,
			})
			prepare(s.gate)
			s.handleOrders(&peerpb.Orders{
				WorkerID: s.gate.Worker.ID,
				Born:     s.gate.Worker.Born,
				Starts: []*peerpb.StartOrder{{
					Task:    task.String(),
					Attempt: 2,
				}},
			})
			s.mu.Unlock()

			r := <-reports
			assert.Equal(t, len(r.GetEnds()), 1)
			assert.Equal(t, r.GetEnds()[0].GetReason(), string(reason))
			assert.Equal(t, len(r.GetRuns()), 1)
			assert.Equal(t, r.GetRuns()[0].GetAttempt(), int64(1))
		})
	}
}
