package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"trefoildeck/core/placement"
	"trefoildeck/io/object"
	"trefoildeck/io/worker"
	"trefoildeck/settings"
	"trefoildeck/standin"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// newTestAgent returns an agent beside the runtime of a worker, with an object store that
// accepts everything and has nothing.
func newTestAgent(t *testing.T, c *worker.Client) *Agent {
	t.Helper()

	a, err := New(settings.Agent{}, zap.NewNop())
	assert.NilError(t, err)

	a.worker = c
	a.objects = &object.Store{
		Put: func(context.Context, string, []byte) error { return nil },
		Get: func(context.Context, string) ([]byte, error) { return nil, object.ErrNotFound },
	}

	return a
}

// startRun starts an attempt on a runtime, with a lease that outlasts the test.
func startRun(t *testing.T, c *worker.Client, runTime time.Duration) placement.AttemptID {
	t.Helper()

	status, err := c.Status(t.Context())
	assert.NilError(t, err)

	id := placement.AttemptID{
		Job:     "mix@1",
		Attempt: 1,
	}
	assert.NilError(t, c.Start(t.Context(), id, worker.Start{
		BootID:      status.BootID,
		StartBefore: status.Uptime + time.Minute,
		LeaseUntil:  status.Uptime + time.Minute,
		RunTime:     runTime,
	}))

	return id
}

// listedPhase returns the phase in which a runtime lists an attempt, or "" if it doesn't.
func listedPhase(t *testing.T, c *worker.Client, id placement.AttemptID) placement.Phase {
	t.Helper()

	status, err := c.Status(t.Context())
	assert.NilError(t, err)

	for _, s := range status.Tasks {
		if s.ID == id {
			return s.Phase
		}
	}

	return ""
}

// TestFinishedBeforeStop checks that a success is not removed unreported if the attempt
// ends while the agent stops it, or if the agent can't read that it has ended.
func TestFinishedBeforeStop(t *testing.T) {
	const runTime = time.Second

	tests := map[string]func(r *standin.Runtime, c *worker.Client){
		"EndsBeforeCheckpoint": func(r *standin.Runtime, c *worker.Client) {
			c.Checkpoint = func(ctx context.Context, id placement.AttemptID) ([]byte, error) {
				time.Sleep(2 * runTime)

				return r.Client().Checkpoint(ctx, id)
			}
		},
		"CheckpointRefused": func(_ *standin.Runtime, c *worker.Client) {
			c.Checkpoint = func(context.Context, placement.AttemptID) ([]byte, error) {
				time.Sleep(2 * runTime)

				return nil, worker.ErrRefused
			}
		},
		"StatusUnanswered": func(_ *standin.Runtime, c *worker.Client) {
			c.Status = func(context.Context) (worker.Status, error) {
				time.Sleep(2 * runTime)

				return worker.Status{}, context.DeadlineExceeded
			}
		},
	}

	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := standin.NewRuntime("lannion-0")
				c := r.Client()
				id := startRun(t, c, runTime)
				a := newTestAgent(t, c)

				fault(r, c)
				a.stop(t.Context(), id, true)

				assert.Equal(t, listedPhase(t, r.Client(), id), placement.PhaseFinished)
			})
		})
	}
}

// TestStop checks that a running attempt is stopped, with and without a checkpoint.
func TestStop(t *testing.T) {
	for name, save := range map[string]bool{"Checkpoint": true, "NoCheckpoint": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := standin.NewRuntime("lannion-0").Client()
				id := startRun(t, c, time.Hour)
				a := newTestAgent(t, c)

				a.stop(t.Context(), id, save)

				assert.Equal(t, listedPhase(t, c, id), placement.PhaseStopped)

				_, saved := a.checkpointOf(id)
				assert.Equal(t, saved, save)
			})
		})
	}
}
