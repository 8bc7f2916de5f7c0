package integration_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"trefoildeck/core/job"
	"trefoildeck/io/rows"

	"gotest.tools/v3/assert"
)

// pauseTime is longer than any lease or authorization of the processes: 6.4 s at most.
const pauseTime = 7 * time.Second

// TestHostedPaused checks that a process that was paused for longer than its lease or
// authorization doesn't act on it afterwards, that its work goes on elsewhere, and that
// what runs on the worker of a paused agent is neither started twice nor lost.
func TestHostedPaused(t *testing.T) {
	t.Parallel()

	tests := map[string]struct {
		pick func(*hosted) *hostedProcess
	}{
		"Leader": {func(h *hosted) *hostedProcess { return h.entries[h.leader()] }},
		"Agent":  {func(h *hosted) *hostedProcess { return h.agents[0] }},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			h := startHosted(t, 3, 3)
			h.planRuns(400 * time.Millisecond)

			ids := []string{h.submit(dependentSteps()...), h.submit(dependentSteps()...)}
			h.awaitState("running", ids...)

			p := c.pick(h)
			assert.NilError(t, p.command.Process.Signal(syscall.SIGSTOP))

			for end := time.Now().Add(pauseTime); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				ids = append(ids, h.submit(dependentSteps()...))
			}

			assert.NilError(t, p.command.Process.Signal(syscall.SIGCONT))
			h.awaitState("succeeded", ids...)
			h.checkViolations()
		})
	}
}

// TestHostedHandOver checks that no task runs twice while the lease changes hands again and
// again, between processes that are asked to end, are killed or are paused in turn, and
// while workers carry out orders late.
func TestHostedHandOver(t *testing.T) {
	t.Parallel()

	h := startHosted(t, 3, 3)
	h.planRuns(300 * time.Millisecond)

	var orders atomic.Int64

	for _, w := range h.workers {
		w.LoseAnswer = func(string) (bool, time.Duration) {
			return orders.Add(1)%7 == 0, 1500 * time.Millisecond
		}
	}

	ids := []string{h.submit(dependentSteps()...)}

	for _, change := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGTERM, syscall.SIGSTOP, syscall.SIGKILL} {
		h.awaitAnyLeader()

		p := h.entries[h.leader()]
		assert.NilError(t, p.command.Process.Signal(change))

		for range 10 {
			ids = append(ids, h.submit(dependentSteps()...))
			time.Sleep(300 * time.Millisecond)
		}

		if change == syscall.SIGSTOP {
			assert.NilError(t, p.command.Process.Signal(syscall.SIGCONT))

			continue
		}

		// The error says how the process ended.
		_ = p.command.Wait()

		h.start(p)
	}

	h.awaitState("succeeded", ids...)
	h.checkViolations()
}

// TestHostedWithdrawn checks that what the operator withdrew does not come back when all
// processes restart and the store's history is gone: neither a route, nor a data centre
// that is out of service.
func TestHostedWithdrawn(t *testing.T) {
	t.Parallel()

	h := startHosted(t, 2, 2)
	h.awaitState("succeeded", h.submit(dependentSteps()...))

	withdrawn := versionPrefix(1)
	status, _ := h.callPath(0, http.MethodGet, withdrawn, nil)
	assert.Equal(t, status, http.StatusOK)

	h.configure(2)

	outage := rows.Row{
		Table: "op",
		Key:   "evacuate/lannion",
		Value: []byte("{}"),
	}
	h.store.Put(outage)

	for _, p := range append(append([]*hostedProcess{}, h.entries...), h.agents...) {
		h.kill(p)
		h.store.DropHistory()
		h.start(p)
	}

	id := h.submit(dependentSteps()...)

	for i := range h.entries {
		// An entry that has no configuration yet refuses all requests.
		status, _ := h.callPath(i, http.MethodGet, withdrawn, nil)
		assert.Assert(t, status == http.StatusNotFound || status == http.StatusServiceUnavailable, "%d", status)

		h.awaitReady(i)

		status, _ = h.callPath(i, http.MethodGet, withdrawn, nil)
		assert.Equal(t, status, http.StatusNotFound)
	}

	time.Sleep(configurationDelay)
	assert.Equal(t, h.checker.StartCount(id), 0)

	_, err := h.store.Store().Commit(context.Background(), rows.Transaction{Remove: []rows.Row{outage}})
	assert.NilError(t, err)
	h.awaitState("succeeded", id)
	h.checkViolations()
}

// TestHostedTerminationHeld checks that an entry that receives SIGTERM while a submission
// waits for the store answers it as unknown before the entry ends, and ends with status 0.
func TestHostedTerminationHeld(t *testing.T) {
	t.Parallel()

	h := startHosted(t, 2, 2)
	h.awaitState("succeeded", h.submit(dependentSteps()...))

	spec := job.Spec{
		Text:  "held",
		Steps: dependentSteps(),
	}
	id := "00000000000000ab"
	h.checker.RecordSubmission(id, spec)

	// The answer to the job's row is lost, and the store is out of reach after it.
	var held atomic.Bool

	h.store.LoseAnswer = func(x rows.Transaction) (bool, time.Duration) {
		lost := len(x.Set) > 0 && x.Set[0].Key == id && held.CompareAndSwap(false, true)
		if lost {
			for _, refuses := range h.storeRefuses {
				refuses.Store(true)
			}
		}

		return lost, 0
	}

	status := make(chan int, 1)

	go func() {
		s, _ := h.call(0, http.MethodPost, id, submission(spec))
		status <- s
	}()

	for !held.Load() {
		time.Sleep(time.Millisecond)
	}

	p := h.entries[0]
	assert.NilError(t, p.command.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, p.command.Wait())
	assert.Equal(t, <-status, http.StatusGatewayTimeout)

	for _, refuses := range h.storeRefuses {
		refuses.Store(false)
	}

	h.start(p)
	h.awaitState("succeeded", id)
	h.checkViolations()
}
