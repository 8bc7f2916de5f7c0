package integration_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHostedListingsLost checks that tasks go on while the answers to listings are lost: those
// to the second listing after each start, which waits for an end. Each of them took the worker
// away for 1.7 s, so that TestHostedHandOver finished 4 tasks on a worker in that time.
func TestHostedListingsLost(t *testing.T) {
	t.Parallel()

	h := startHosted(t, 1, 1)
	h.planRuns(300 * time.Millisecond)

	var listings atomic.Int64

	h.workers[0].LoseAnswer = func(path string) (bool, time.Duration) {
		if strings.HasSuffix(path, "/run-start") {
			listings.Store(0)

			return false, 0
		}

		return listings.Add(1) == 2, 1500 * time.Millisecond
	}

	// The entry leads and the worker is listed once a first job has ended.
	h.awaitState("succeeded", h.submit(dependentSteps()...))

	const cycles = 8

	steps := dependentSteps()[:1]
	steps[0].Count = 4 * cycles

	began := time.Now()
	h.awaitState("succeeded", h.submit(steps...))
	assert.Assert(t, time.Since(began) < cycles*time.Second)
	h.checkViolations()
}
