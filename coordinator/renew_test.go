package coordinator

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"trefoildeck/io/rows"
	"trefoildeck/standin/emulator"

	"gotest.tools/v3/assert"
)

// TestRenewalDoubtful checks that a leader keeps its lease when the answer to a
// renewal is lost, and the store refuses to tell for a second and again when the
// lease would have run out without that renewal.
func TestRenewalDoubtful(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var once sync.Once

		s := emulator.NewRowStore()
		l := newTestLeader(t, s)
		began := time.Now()

		s.Lose = func(rows.Transaction) (lost bool, _ time.Duration) {
			once.Do(func() { lost = true })

			return lost, 0
		}
		s.Refuse = func() bool {
			since := time.Since(began)

			return (since > time.Second && since < 2*time.Second) ||
				(since > 2350*time.Millisecond && since < 2450*time.Millisecond)
		}

		ctx, cancel := context.WithCancel(t.Context())

		var err error

		done := make(chan struct{})

		go func() {
			defer close(done)

			err = l.renew(ctx)
		}()

		time.Sleep(5 * time.Second)
		assert.Assert(t, l.inOffice())
		cancel()
		<-done
		assert.NilError(t, err)
	})
}
