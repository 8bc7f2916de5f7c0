package integration_test

import (
	"strings"
	"testing"
	"time"

	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

// TestHostedLongSpec checks that a job of many tasks with the longest spec runs, and does not
// keep other jobs from running: its starts exceeded a frame and ended each session.
func TestHostedLongSpec(t *testing.T) {
	t.Parallel()

	const count = 700

	h := startHosted(t, 73, 2, 2)

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
