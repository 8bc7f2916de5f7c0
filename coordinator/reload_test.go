package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"trefoildeck/core/config"
	"trefoildeck/core/job"
	"trefoildeck/standin/emulator"

	"gotest.tools/v3/assert"
)

// TestJobsReloaded checks that a leader whose feed lost its history schedules the jobs that it
// then finds in the store. Without any other event, they waited for good.
func TestJobsReloaded(t *testing.T) {
	const found = "00000000000000bb"

	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewRowStore()
		l := newTestLeader(t, s)
		l.c.configuration.Store(&config.Configuration{})

		// The leader is not notified, as if it were out of the entry's reach.
		assert.NilError(t, l.c.accept(t.Context(), config.Queue{Service: "orders"}, found, job.Spec{Steps: []job.Step{{
			Count: 1,
			Size:  job.Size{MilliCores: 1},
		}}}))
		s.DropHistory()

		ctx, cancel := context.WithCancel(t.Context())
		go func() { assert.Check(t, l.watchJobs(ctx, 0) == nil) }()

		time.Sleep(time.Second)

		state, known := l.fleet.State(found)
		assert.Assert(t, known)
		assert.Equal(t, state, job.Queued)

		select {
		case <-l.wake:
		default:
			t.Error("no scheduling pass was requested")
		}

		cancel()
		synctest.Wait()
	})
}
