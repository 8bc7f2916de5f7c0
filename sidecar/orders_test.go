package sidecar

import (
	"net/http/httptest"
	"testing"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"

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
