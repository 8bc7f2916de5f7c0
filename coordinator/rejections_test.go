package coordinator

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"trefoildeck/core/config"
	"trefoildeck/core/gate"
	"trefoildeck/core/job"
	"trefoildeck/core/lease"
	"trefoildeck/io/rows"
	"trefoildeck/platform"
	"trefoildeck/standin/emulator"

	"gotest.tools/v3/assert"
)

// TestRejectedRow checks that a row of progress that the store rejects costs its own job at most.
// The transaction was repeated unchanged for ever, with the rows of the other jobs in it.
func TestRejectedRow(t *testing.T) {
	const others = 20

	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewRowStore()
		l := newTestLeader(t, s)
		l.c.store = &rows.Store{
			Commit: func(ctx context.Context, t rows.Transaction) (rows.Stamp, error) {
				rejected := func(r rows.Row) bool { return r.Key == jobID && !strings.Contains(string(r.Value), "State") }
				if slices.ContainsFunc(t.Set, rejected) {
					return rows.Stamp{}, rows.ErrInvalid
				}

				return s.Commit(ctx, t)
			},
			Range: s.Range,
		}

		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})

		go func() {
			defer close(done)

			assert.Check(t, l.persistChanges(ctx))
		}()

		l.mu.Lock()
		l.finishTask(0)

		for i := range others {
			id := "00000000000000b" + string(rune('a'+i))
			l.fleet.Add(0, 0, job.Record{
				ID:   id,
				Spec: job.Spec{Steps: []job.Step{{Count: 1}}},
			})
			l.fleet.RecordEnd(0, "side-1", gate.End{
				Number:  int64(i + 2),
				Task:    job.TaskID{Job: id},
				Attempt: 1,
				Reason:  gate.Done,
			})
		}
		l.mu.Unlock()
		notify(l.flush)

		time.Sleep(time.Second)
		assert.Equal(t, len(s.Rows(progressTable)), others)

		time.Sleep(2 * lease.Duration)

		l.mu.Lock()
		failed, _ := l.fleet.State(jobID)
		assert.Assert(t, !l.fleet.Changed())
		l.mu.Unlock()

		assert.Equal(t, failed, job.Failed)
		assert.Equal(t, len(s.Rows(progressTable)), others+1)

		cancel()
		<-done
	})
}

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
