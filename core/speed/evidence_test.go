package speed

import (
	"fmt"
	"testing"
	"time"

	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

// evidenceOf returns a tracker with the ends of n runs of n jobs on a worker within 8 s, each of which
// has a task on another worker.
func evidenceOf(n int) (*Tracker, time.Duration) {
	t := New()
	now := time.Duration(0)

	for i := range n {
		now += 8 * time.Second / time.Duration(n)

		for k, node := range []string{"n1", "n2"} {
			id := job.TaskID{
				Job:   fmt.Sprintf("%016x", i),
				Index: k,
			}
			t.Start(now-time.Second, Start{
				Node:   node,
				Task:   id,
				Step:   Step{Job: id.Job},
				Fresh:  true,
				Limits: FullSpeed,
			})
			t.End(now, id, true)
		}
	}

	return t, now
}

// TestEvidenceCost guards against a judgement whose cost grows with the square of a worker's recent runs.
func TestEvidenceCost(t *testing.T) {
	const few, many = 500, 8000

	cost := func(n int) time.Duration {
		tracker, now := evidenceOf(n)
		least := time.Hour

		for range 5 {
			began := time.Now()
			e := tracker.evidence(now, tracker.nodes["n1"], evidenceDecay)
			least = min(least, time.Since(began))
			assert.Equal(t, e.Jobs, n)
		}

		return least
	}

	a, b := cost(few), cost(many)
	t.Logf("%v for %d runs, %v for %d", a, few, b, many)
	assert.Assert(t, b < 4*many/few*a)
}
