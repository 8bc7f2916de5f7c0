package integration_test

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"trefoildeck/core/job"
	"trefoildeck/standin/emulator"

	"gotest.tools/v3/assert"
)

// maxRefusedStarts bounds the starts that an agent refuses while it learns what its
// worker runs: the orders in flight when it restarts.
const maxRefusedStarts = 20

// TestHostedRollingRestart checks that every worker gets tasks again after each process
// was restarted in turn while long-running tasks run, and that the agents then refuse
// no starts. An agent that is not told the sizes of the runs that it finds refuses all
// of them.
func TestHostedRollingRestart(t *testing.T) {
	t.Parallel()

	h := startHosted(t, 2, 3)

	for _, w := range h.workers {
		w.PlanRun = func(id job.TaskID, _ int) emulator.RunPlan {
			p := emulator.RunPlan{
				Duration:  50 * time.Millisecond,
				EndReason: "done",
			}
			if h.spec(id.Job).Steps[id.Step].LongRunning {
				p.Duration = time.Hour
			}

			return p
		}
	}

	lasting := job.Step{
		Count:        len(h.workers),
		Size:         job.Size{MilliCores: 1000},
		AntiAffinity: 1,
		LongRunning:  true,
	}
	h.awaitState("running", h.submit(lasting))
	h.awaitStarts(1)

	for _, p := range append(append([]*hostedProcess{}, h.agents...), h.entries...) {
		assert.NilError(t, p.command.Process.Signal(syscall.SIGTERM))
		h.awaitState("succeeded", h.submit(dependentSteps()...))
		assert.NilError(t, p.command.Wait())
		h.start(p)
		h.awaitState("succeeded", h.submit(dependentSteps()...))
	}

	h.awaitStarts(3)

	for i, a := range h.agents {
		n := strings.Count(a.log.String(), `"StartRefused"`)
		assert.Assert(t, n <= maxRefusedStarts, "agent %d refused %d starts", i, n)
	}

	h.checkViolations()
}

func (h *hosted) spec(id string) job.Spec {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.specs[id]
}

// awaitStarts submits jobs until each worker has had a number of further starts.
func (h *hosted) awaitStarts(count int) {
	h.t.Helper()

	limit := time.Now().Add(finishTimeout)
	before := map[string]int{}

	for _, w := range h.workers {
		before[w.ID] = h.checker.StartsOn(w.ID)
	}

	for _, w := range h.workers {
		for h.checker.StartsOn(w.ID) < before[w.ID]+count {
			assert.Assert(h.t, time.Now().Before(limit), "%s: %d starts", w.ID, h.checker.StartsOn(w.ID)-before[w.ID])
			h.awaitState("succeeded", h.submit(dependentSteps()...))
		}
	}
}

// TestHostedManyEnds checks that no task runs again although it succeeded while its end was
// beyond those that a worker lists at a time, because no entry could record any.
func TestHostedManyEnds(t *testing.T) {
	t.Parallel()

	const (
		count    = 700
		duration = 2 * time.Second
	)

	tests := map[string]struct{ restartAgent bool }{
		"AgentStays":    {false},
		"AgentRestarts": {true},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			h := startHosted(t, 1, 1)
			h.planRuns(duration)

			id := h.submit(job.Step{
				Count: count,
				Size: job.Size{
					MilliCores: 1,
					MemoryMB:   1,
				},
			})

			for limit := time.Now().Add(finishTimeout); h.checker.StartCount(id) < count; time.Sleep(pollInterval) {
				assert.Assert(t, time.Now().Before(limit), "%d starts", h.checker.StartCount(id))
			}

			h.kill(h.entries[0])
			time.Sleep(duration)

			if c.restartAgent {
				h.kill(h.agents[0])
				h.start(h.agents[0])
			}

			h.start(h.entries[0])
			h.awaitState("succeeded", id)
			h.checkViolations()
			assert.Equal(t, h.checker.StartCount(id), count)
		})
	}
}

// TestHostedTerminationAtStart checks that a process that gets a SIGTERM while it starts
// ends gracefully, unless it has logged nothing yet: signals can't be handled before.
func TestHostedTerminationAtStart(t *testing.T) {
	t.Parallel()

	const (
		step = 2 * time.Millisecond
		// enough is the number of graceful ends, from the first on, after which the start
		// is over.
		enough = 12
	)

	h := startHosted(t, 1, 1)
	h.awaitAnyLeader()

	for _, p := range []*hostedProcess{h.entries[0], h.agents[0]} {
		h.kill(p)

		graceful := 0

		for delay := time.Duration(0); graceful < enough; delay += step {
			h.start(p)
			time.Sleep(delay)
			assert.NilError(t, p.command.Process.Signal(syscall.SIGTERM))

			if err := p.command.Wait(); err != nil {
				assert.Equal(t, p.log.String(), "", "%s after the start: %v", delay, err)

				continue
			}

			assert.Assert(t, strings.Contains(p.log.String(), `"Event":"Stopped"`), "%s after the start", delay)

			graceful++
		}

		h.start(p)
	}
}
