package sidecar

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"trefoildeck/core/interference"
	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

// TestEvidenceForNextLeader checks that a sidecar's own evidence of interference counts while the
// next leader's pool, which it gets first, lacks it. Until then, filling tasks were throttled too
// little or too much.
func TestEvidenceForNextLeader(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()

	s := newTestSidecar(t, server)
	sample := func(at time.Duration, share, ratio float64) interference.Sample {
		return interference.Sample{
			At:      at,
			Filling: map[string]float64{"Fills": share},
			Serving: map[job.TaskID]interference.Reading{{}: {
				Image: "Serves",
				Ratio: ratio,
			}},
		}
	}

	connectLeader(t, s, 1)
	s.mu.Lock()
	s.learner.Observe(sample(time.Second, 0, 0.2))
	s.learner.Observe(sample(2*time.Second, 0.3, 0.5))
	s.learner.SetPooled(s.learner.Changed())
	learned := s.learner.Factor("Fills", "Serves")
	s.mu.Unlock()
	assert.Assert(t, learned > 2*interference.PriorFactor*0.9, "%f", learned)

	// The same leader's pool has the evidence, which doesn't count twice.
	connectLeader(t, s, 1)
	s.mu.Lock()
	assert.Equal(t, s.learner.Factor("Fills", "Serves"), learned)
	s.mu.Unlock()

	connectLeader(t, s, 2)
	s.mu.Lock()
	defer s.mu.Unlock()

	s.learner.SetPooled(map[interference.Pair]interference.Estimate{{
		Filling: "Fills",
		Serving: "Serves",
	}: {
		Factor: interference.PriorFactor,
		Weight: 0.0001,
	}})
	assert.Assert(t, s.learner.Factor("Fills", "Serves") > 0.9*learned, "%f", s.learner.Factor("Fills", "Serves"))
}
