package integration_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"trefoildeck/core/job"
	"trefoildeck/standin/emulator"

	"gotest.tools/v3/assert"
)

// TestHostedLongSpec checks that a job of many tasks with the longest spec runs, and does not
// keep other jobs from running: its starts exceeded a frame and ended each session.
func TestHostedLongSpec(t *testing.T) {
	t.Parallel()

	const count = 700

	h := startHosted(t, 2, 2)

	before := h.submit(dependentSteps()...)
	h.awaitState("succeeded", before)

	large := h.submitSpec(func(string) job.Spec {
		return job.Spec{
			Text: strings.Repeat("x", job.MaxSpecBytes),
			Steps: []job.Step{{
				Count: count,
				Size: job.Size{
					MilliCores: 1,
					MemoryMB:   1,
				},
			}},
		}
	})

	time.Sleep(time.Second)

	after := h.submit(dependentSteps()...)
	h.awaitState("succeeded", large, after)
	h.checkViolations()
	assert.Equal(t, h.checker.StartCount(large), count)
}

// TestHostedManyCheckpoints checks that a job of many tasks with checkpoints ends, and does not keep
// other jobs from ending: its progress exceeded a row of the store, which then stored none at all.
func TestHostedManyCheckpoints(t *testing.T) {
	t.Parallel()

	const count = 2400

	h := startHosted(t, 2, 2)

	for _, w := range h.workers {
		w.PlanRun = func(id job.TaskID, _ int) emulator.RunPlan {
			return emulator.RunPlan{
				Duration:   3*time.Second + time.Duration(id.Index)*time.Millisecond,
				EndReason:  "done",
				Checkpoint: fmt.Sprintf("%016x", id.Index),
			}
		}
	}

	large := h.submit(job.Step{
		Count: count,
		Size: job.Size{
			MilliCores: 1,
			MemoryMB:   1,
		},
		Checkpointing: true,
	})

	h.awaitState("running", large)

	after := h.submit(dependentSteps()...)
	h.awaitState("succeeded", large, after)
	h.checkViolations()
	assert.Equal(t, h.checker.StartCount(large), count)
}
