package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"trefoildeck/core/lease"
	"trefoildeck/io/rows"
	"trefoildeck/standin/emulator"

	"gotest.tools/v3/assert"
)

// TestRenewalAnswerLost checks that a renewal whose answer was lost is repeated well
// before the next regular renewal, by which time the lease may have expired.
func TestRenewalAnswerLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls []time.Time

		s := emulator.NewRowStore()
		l := newTestLeader(t, s)

		s.LoseAnswer = func(rows.Transaction) (bool, time.Duration) {
			calls = append(calls, time.Now())

			return len(calls) == 1, 0
		}

		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})

		go func() {
			defer close(done)
			assert.Check(t, l.renew(ctx) == nil)
		}()

		time.Sleep(5 * time.Second)
		cancel()
		<-done
		// A renewal may be on its way.
		synctest.Wait()

		assert.Assert(t, len(calls) > 2)
		assert.Assert(t, calls[1].Sub(calls[0]) < lease.RenewInterval/2, "%s", calls[1].Sub(calls[0]))
	})
}
