package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
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
	"trefoildeck/standin/emulator"

	"gotest.tools/v3/assert"
)

const (
	// answerDelay is how long the answers of a leavingWorker are on their way.
	answerDelay = 2 * time.Millisecond
	// recordDelay is how long it takes to record an end. The worker is listed again meanwhile.
	recordDelay = 80 * time.Millisecond
)

// leavingWorker is a worker whose answers are cut off when it leaves. It checks the numbers of
// the ends that it is told to forget.
type leavingWorker struct {
	t      *testing.T
	worker *emulator.Worker
	server *httptest.Server
	// recorded is the number of the last end that a leader has recorded.
	recorded atomic.Int64
	// forgotten is the last number that it was told to forget.
	forgotten atomic.Int64
}

func (w *leavingWorker) ServeHTTP(a http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}

	var order struct {
		LastSeen int64 `json:"last_seen"`
	}

	assert.Check(w.t, json.Unmarshal(body, &order))
	assert.Check(w.t, order.LastSeen <= w.recorded.Load(), "end %d is to be forgotten", order.LastSeen)
	w.forgotten.Store(max(w.forgotten.Load(), order.LastSeen))

	r.Body = io.NopCloser(bytes.NewReader(body))
	answer := httptest.NewRecorder()
	w.worker.ServeHTTP(answer, r)
	time.Sleep(answerDelay)

	a.WriteHeader(answer.Code)
	// An error means that the answer was cut off.
	_, _ = a.Write(answer.Body.Bytes())
}

// leave ends the worker with its connections.
func (w *leavingWorker) leave() {
	assert.Check(w.t, w.server.Listener.Close())
	w.server.CloseClientConnections()
}

// startRun starts a run that ends as done after a duration.
func (w *leavingWorker) startRun(s *Sidecar, task job.TaskID, duration time.Duration) {
	w.worker.PlanRun = func(job.TaskID, int) emulator.RunPlan {
		return emulator.RunPlan{
			Duration:  duration,
			EndReason: "done",
		}
	}
	w.worker.Checker = emulator.NewChecker()
	w.worker.Checker.RecordSubmission(task.Job, job.Spec{Steps: []job.Step{{Count: 1}}})

	order := gate.StartOrder{
		Task:    task,
		Attempt: 1,
	}

	s.mu.Lock()
	now := boottime.Now()
	s.gate.Authorize(now)
	token, deadline := s.gate.Reserve(now, order)
	s.mu.Unlock()

	s.start(issuedStart{
		workerID: "i-1",
		token:    token,
		deadline: deadline,
		order:    order,
	})
}

// recordEnds answers a sidecar's reports as a leader does that records each end a moment
// later, and passes the ends on.
func (w *leavingWorker) recordEnds(s *Sidecar, reports <-chan *peerpb.WorkerReport) <-chan *peerpb.EndReport {
	s.mu.Lock()
	session := s.leader.Session
	s.mu.Unlock()

	ends := make(chan *peerpb.EndReport, 10)

	go func() {
		for {
			select {
			case <-w.t.Context().Done():
				return
			case r := <-reports:
				for _, e := range r.GetEnds() {
					ends <- e

					time.Sleep(recordDelay)
					w.recorded.Store(max(w.recorded.Load(), e.GetNumber()))
					s.handleFrame(session, &peerpb.Frame{Body: &peerpb.Frame_Recorded{Recorded: &peerpb.Recorded{
						WorkerID: "i-1",
						Born:     w.worker.Born(),
						Number:   e.GetNumber(),
					}}})
				}
			}
		}
	}()

	return ends
}

// TestEndRecordedBeforeForgotten checks that a worker is told to forget an end once it is
// recorded, and not before.
func TestEndRecordedBeforeForgotten(t *testing.T) {
	worker, announcement := startWorker("i-1", time.Second)
	w := &leavingWorker{
		t:      t,
		worker: worker,
	}
	w.server = httptest.NewServer(w)
	defer w.server.Close()

	s := newTestSidecar(t, w.server)
	s.handleAnnouncement(announcement)

	for !s.gate.Synced {
		s.listOnce(t.Context())
	}

	ends := w.recordEnds(s, connectLeader(t, s, 1))
	w.startRun(s, job.TaskID{Job: "00000000000000aa"}, time.Millisecond)

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()

	go func() { assert.Check(t, s.listLoop(ctx)) }()

	assert.Equal(t, (<-ends).GetNumber(), int64(1))

	limit := time.Now().Add(time.Second)
	for w.forgotten.Load() != 1 {
		assert.Assert(t, time.Now().Before(limit), "the end was not forgotten")
		time.Sleep(time.Millisecond)
	}
}

// TestEndBesideExit checks a run that ends some milliseconds before its worker leaves, or
// after. Its end is forgotten only once it is recorded, and the leader learns at once that the
// run is over, also if the answer that listed its end was cut off: it used to wait for the
// lease and then started the task again seconds after its end had been listed.
func TestEndBesideExit(t *testing.T) {
	const (
		duration = 60 * time.Millisecond
		earliest = -8 * time.Millisecond
		latest   = 6 * time.Millisecond
		soon     = time.Second
		// restartBefore is about the time that a new agent takes to list the worker.
		restartBefore = 14 * time.Millisecond
	)

	task := job.TaskID{Job: "00000000000000aa"}

	var offsets []time.Duration
	for d := earliest; d <= latest; d += time.Millisecond {
		offsets = append(offsets, d)
	}

	tests := map[string]struct {
		leaderAfter, agentRestarts bool
	}{
		"LeaderConnected": {},
		"LeaderAway":      {leaderAfter: true},
		"AgentRestarts":   {agentRestarts: true},
	}

	for name, c := range tests {
		for _, offset := range offsets {
			t.Run(fmt.Sprint(name, offset), func(t *testing.T) {
				t.Parallel()

				worker, announcement := startWorker("i-1", time.Second)
				w := &leavingWorker{
					t:      t,
					worker: worker,
				}
				w.server = httptest.NewServer(w)
				defer w.server.Close()

				s := newTestSidecar(t, w.server)
				s.handleAnnouncement(announcement)

				for !s.gate.Synced {
					s.listOnce(t.Context())
				}

				var ends <-chan *peerpb.EndReport
				if !c.leaderAfter {
					ends = w.recordEnds(s, connectLeader(t, s, 1))
				}

				w.startRun(s, task, duration)
				exit := time.Now().Add(duration - offset)

				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()

				go func() { assert.Check(t, s.listLoop(ctx)) }()

				if c.agentRestarts {
					time.Sleep(time.Until(exit.Add(-restartBefore)))
					cancel()

					s = newTestSidecar(t, w.server)
					s.handleAnnouncement(announcement)

					ends = w.recordEnds(s, connectLeader(t, s, 1))

					go func() { assert.Check(t, s.listLoop(t.Context())) }()
				}

				time.Sleep(time.Until(exit))
				s.handleLeave("i-1")
				w.leave()

				if c.leaderAfter {
					time.Sleep(50 * time.Millisecond)
					assertOver(t, <-connectLeader(t, s, 1), task)

					return
				}

				select {
				case e := <-ends:
					assert.Equal(t, e.GetTask(), task.String())
					assert.Assert(t, e.GetHow() == string(gate.Done) || e.GetHow() == string(gate.Lost), e.GetHow())
				case <-time.After(soon):
					// A process that never read a listing does not know of the run.
					s.mu.Lock()
					defer s.mu.Unlock()
					assert.Assert(t, c.agentRestarts && !s.gate.Synced, "no end was reported")
				}
			})
		}
	}
}

// assertOver checks that a full report lists no run of a task, and no end but a success.
func assertOver(t *testing.T, r *peerpb.WorkerReport, task job.TaskID) {
	t.Helper()

	assert.Assert(t, r.GetFull())
	assert.Equal(t, len(r.GetRuns()), 0)

	for _, e := range r.GetEnds() {
		assert.Equal(t, e.GetTask(), task.String())
		assert.Equal(t, e.GetHow(), string(gate.Done))
	}
}
