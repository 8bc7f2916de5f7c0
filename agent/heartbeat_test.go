package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"trefoildeck/io/peer/peerpb"
	"trefoildeck/standin"

	"gotest.tools/v3/assert"
)

// TestRunsFoundAtStart checks that an agent does not pause the runs that it finds at its
// start, whose lease an earlier process passed on, before an entry could answer it; and that
// it checkpoints them if none does.
func TestRunsFoundAtStart(t *testing.T) {
	for name, answered := range map[string]bool{"Answered": true, "Unanswered": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := standin.NewRuntime("lannion-0").Client()
				id := startRun(t, c, time.Hour)
				a := newTestAgent(t, c)

				poll := func() bool {
					a.pollRuntime(t.Context())
					synctest.Wait()

					_, saved := a.checkpointOf(id)

					return saved
				}

				assert.Equal(t, poll(), false)
				time.Sleep(heartbeatPeriod)

				if answered {
					a.recordLease(&peerpb.HeartbeatAnswer{
						BootID:     a.lastPoll.status.BootID,
						LeaseUntil: int64(time.Hour),
					})
				}

				assert.Equal(t, poll(), false)
				time.Sleep(foundRunsWait)
				assert.Equal(t, poll(), !answered)
			})
		})
	}
}
