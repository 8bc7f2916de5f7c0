package coordinator

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"trefoildeck/core/config"
	"trefoildeck/core/job"
	"trefoildeck/io/rows"
	"trefoildeck/platform"
	"trefoildeck/standin/emulator"

	"gotest.tools/v3/assert"
)

// TestUnstorableJob checks that a job whose row is above the store's limit is rejected for good,
// with a reason. It was refused as if the store were busy, so that callers sent it again for ever.
func TestUnstorableJob(t *testing.T) {
	large := job.Spec{Steps: []job.Step{{
		Count: 1,
		Image: strings.Repeat("x", 100_000),
	}}}

	tests := map[string]struct {
		stored bool
		want   error
	}{
		"New": {false, platform.ErrUnstorable},
		// The row may have been shorter then, by the digits of a time or another configuration.
		"AcceptedBefore": {true, nil},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := emulator.NewRowStore()
				coordinator := newTestCoordinator(s.Store())
				coordinator.configuration.Store(&config.Configuration{})

				if c.stored {
					_, err := s.Commit(t.Context(), rows.Transaction{
						Part: partOf(jobID),
						Set: []rows.Row{{
							Table: jobTable,
							Key:   jobID,
							Value: []byte("{}"),
						}},
					})
					assert.NilError(t, err)
				}

				began := time.Now()
				err := coordinator.accept(t.Context(), config.Queue{}, jobID, large)
				assert.ErrorIs(t, err, c.want)
				assert.Assert(t, time.Since(began) < retryPause)

				if c.want != nil {
					assert.ErrorContains(t, err, "at most 65536")
				}
			})
		})
	}
}

// TestRejectionShowsReachable checks that a transaction that the store rejects doesn't count as one
// that it doesn't answer: callers were refused although the store served them.
func TestRejectionShowsReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCoordinator(emulator.NewRowStore().Store())

		for range 5 {
			_, err := c.store.Commit(t.Context(), rows.Transaction{Set: []rows.Row{{Value: make([]byte, 100_000)}}})
			assert.ErrorIs(t, err, rows.ErrInvalid)
		}

		assert.Assert(t, c.storeAnswers())
	})
}
