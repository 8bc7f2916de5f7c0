package coordinator

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"trefoildeck/core/config"
	"trefoildeck/core/job"
	"trefoildeck/core/lease"
	"trefoildeck/io/rows"
	"trefoildeck/platform"
	"trefoildeck/standin/emulator"

	"gotest.tools/v3/assert"
)

// TestSlowStore checks that a leader keeps its lease, and that jobs are accepted after
// few tries, while the store takes much longer for its answers than before. A process
// that gives up on each transaction repeats them, and takes the store for unreachable.
func TestSlowStore(t *testing.T) {
	tests := map[string]struct {
		commitTime time.Duration
		// maxRefusals allows for one submission between minAnswerWait and the first answer.
		maxRefusals int64
	}{
		"62 times slower":  {310 * time.Millisecond, 0},
		"120 times slower": {600 * time.Millisecond, 1},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSlowStore(t, c.commitTime, c.maxRefusals) })
		})
	}
}

func runSlowStore(t *testing.T, commitTime time.Duration, maxRefusals int64) {
	t.Helper()

	const (
		duration = 10 * time.Second
		interval = 250 * time.Millisecond
		// maxTries allows for the calls that find out how slow the store is.
		maxTries = duration/interval + 6
	)

	var tries, refusals atomic.Int64

	s := emulator.NewRowStore()
	l := newTestLeader(t, s)
	l.c.configuration.Store(&config.Configuration{})

	s.CommitTime = func() time.Duration { return commitTime }
	s.LoseAnswer = func(x rows.Transaction) (bool, time.Duration) {
		if x.Part != leadPart {
			tries.Add(1)
		}

		return false, 0
	}

	ctx, cancel := context.WithCancel(t.Context())
	go func() { assert.Check(t, l.renew(ctx) == nil) }()

	for i := range int(duration / interval) {
		time.Sleep(interval)
		assert.Check(t, l.holdsLease(), "after %s", time.Duration(i)*interval)

		go func() {
			if l.c.accept(ctx, config.Queue{}, fmt.Sprintf("%016x", i), job.Spec{}) != nil {
				refusals.Add(1)
			}
		}()
	}

	time.Sleep(lease.Duration)
	cancel()
	synctest.Wait()
	time.Sleep(lease.Duration)
	assert.Assert(t, refusals.Load() <= maxRefusals, "%d refusals", refusals.Load())
	assert.Assert(t, tries.Load() <= int64(maxTries), "%d tries", tries.Load())
}

// TestLateAnswer checks that an answer that comes after the caller has given up closes
// the circuit breaker, and that a silent store opens it after two transactions.
func TestLateAnswer(t *testing.T) {
	tests := map[string]struct {
		answers time.Duration
		open    bool
	}{
		"Late":   {minAnswerWait + 200*time.Millisecond, false},
		"Silent": {time.Hour, true},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestCoordinator(&rows.Store{
					Commit: func(ctx context.Context, _ rows.Transaction) (rows.Stamp, error) {
						ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
						defer cancel()

						select {
						case <-ctx.Done():
							return rows.Stamp{}, rows.ErrUnknown
						case <-time.After(c.answers):
							return rows.Stamp{Clock: time.Second}, nil
						}
					},
				})

				for range 2 {
					go func() {
						_, err := p.directStore.Commit(t.Context(), rows.Transaction{})
						assert.Check(t, errors.Is(err, rows.ErrUnknown))
					}()
				}

				time.Sleep(minAnswerWait + time.Millisecond)
				assert.Equal(t, p.storeAnswers(), false)
				time.Sleep(3 * time.Second)
				assert.Equal(t, p.storeAnswers(), !c.open)

				if !c.open {
					_, err := p.directStore.Commit(t.Context(), rows.Transaction{})
					assert.NilError(t, err)
				}

				time.Sleep(3 * time.Second)
			})
		})
	}
}

// TestAcceptInDoubt checks that a submission whose transaction took place, but whose
// answer was lost with the store's failure, is answered as accepted once the store is
// back, and not as unknown before.
func TestAcceptInDoubt(t *testing.T) {
	tests := map[string]struct {
		outage time.Duration
		err    error
	}{
		"Back":    {2 * time.Second, nil},
		"Expired": {time.Minute, platform.ErrUnknown},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := emulator.NewRowStore()
				p := newTestCoordinator(s.Store())
				p.configuration.Store(&config.Configuration{})

				began := time.Now()
				lost := false

				s.Refuse = func() bool { return lost && time.Since(began) < c.outage }
				s.LoseAnswer = func(rows.Transaction) (bool, time.Duration) {
					first := !lost
					lost = true

					return first, 0
				}

				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()

				probing, stop := context.WithCancel(t.Context())
				go func() { assert.Check(t, p.probe(probing) == nil) }()

				assert.ErrorIs(t, p.accept(ctx, config.Queue{}, jobID, job.Spec{}), c.err)
				stop()
				synctest.Wait()
			})
		})
	}
}
