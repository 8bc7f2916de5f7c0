package integration_test

import (
	"strings"
	"testing"
	"time"

	"trefoildeck/core/job"
	"trefoildeck/standin/emulator"

	"gotest.tools/v3/assert"
)

// TestHostedLookAhead guards against settings that don't reach the leader, and against a large task
// that never starts or a rule that is broken once a worker is kept for it. Small tasks end one after
// the other, and more wait behind the large one.
func TestHostedLookAhead(t *testing.T) {
	t.Parallel()

	h := startHosted(t, 1, 1)
	h.workers[0].PlanRun = func(id job.TaskID, _ int) emulator.RunPlan {
		return emulator.RunPlan{
			Duration:  1500*time.Millisecond + time.Duration(id.Index%4)*400*time.Millisecond,
			EndReason: "done",
		}
	}

	tasks := func(count int, cores int64) job.Step {
		return job.Step{
			Count: count,
			Size: job.Size{
				MilliCores: 1000 * cores,
				MemoryMB:   500,
			},
		}
	}

	ids := []string{h.submit(tasks(4, 1))}
	h.awaitState("running", ids[0])

	large := h.submit(tasks(1, 3))
	ids = append(ids, large)

	for range 3 {
		ids = append(ids, h.submit(tasks(4, 1)))
	}

	h.awaitState("succeeded", ids...)
	h.checkViolations()

	log := h.entries[0].log.String()
	for _, line := range strings.Split(log, "\n") {
		if strings.Contains(line, `"TaskReserved"`) || strings.Contains(line, `"ReservationEnded"`) {
			t.Log(line)
		}
	}

	assert.Assert(t, strings.Contains(log, `"Event":"TaskReserved","Process":"front-1","Job":"`+large))
	assert.Assert(t, strings.Contains(log, `"Event":"ReservationEnded","Process":"front-1","Job":"`+large))
}
