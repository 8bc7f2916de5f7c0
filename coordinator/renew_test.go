package coordinator

import (
	"context"
	"encoding/json"
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

// TestResignAfterLostAnswers checks that a leader releases its lease although answers to a
// renewal or to the release itself are lost. No process led for the rest of the lease.
func TestResignAfterLostAnswers(t *testing.T) {
	tests := map[string]struct {
		// lost has the transactions, counted from 0, whose answers are lost. The first is the
		// renewal.
		lost map[int]bool
		// late is when those are applied.
		late time.Duration
	}{
		"Renewal":             {map[int]bool{0: true}, 0},
		"RenewalAppliedLate":  {map[int]bool{0: true}, 50 * time.Millisecond},
		"Release":             {map[int]bool{1: true}, 0},
		"ReleaseAppliedLate":  {map[int]bool{1: true}, 200 * time.Millisecond},
		"RenewalThenRelease":  {map[int]bool{0: true, 1: true}, 0},
		"ReleaseNeverApplied": {map[int]bool{1: true}, time.Hour},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := emulator.NewRowStore()
				l := newTestLeader(t, s)
				calls := 0

				s.LoseAnswer = func(rows.Transaction) (bool, time.Duration) {
					calls++

					return c.lost[calls-1], c.late
				}

				ctx, cancel := context.WithCancel(t.Context())
				go func() { assert.Check(t, l.renew(ctx) == nil) }()
				go func() { assert.Check(t, l.c.probe(ctx) == nil) }()

				time.Sleep(lease.RenewInterval + time.Millisecond)
				assert.ErrorIs(t, l.resign(t.Context()), errResigned)
				assert.Equal(t, storedLease(t, s).Expiry, time.Duration(0))

				// Nor may a renewal follow.
				time.Sleep(lease.Duration)
				assert.Equal(t, storedLease(t, s).Expiry, time.Duration(0))
				cancel()
				synctest.Wait()
			})
		})
	}
}

// storedLease returns the lease that the store has.
func storedLease(t *testing.T, s *emulator.RowStore) lease.Record {
	t.Helper()

	var record lease.Record

	for _, r := range s.Rows(leadTable) {
		if r.Key == leaseKey {
			assert.NilError(t, json.Unmarshal(r.Value, &record))
		}
	}

	return record
}

// TestResignSuperseded checks that a leader doesn't release the lease of a later one.
func TestResignSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewRowStore()
		l := newTestLeader(t, s)

		other := newTestCoordinator(s.Store())
		other.node.Boot = "later"
		ls, err := other.readLease(t.Context())
		assert.NilError(t, err)
		_, err = other.writeLease(t.Context(), ls, 2)
		assert.NilError(t, err)

		assert.ErrorIs(t, l.resign(t.Context()), errResigned)

		assert.Equal(t, storedLease(t, s).Term, int64(2))
		assert.Assert(t, storedLease(t, s).Expiry > 0)
	})
}
