package coordinator

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"trefoildeck/io/rows"
	"trefoildeck/platform"
	"trefoildeck/standin/emulator"

	"gotest.tools/v3/assert"
)

// TestCancelledIsNotStored guards against a job that is stored, and runs, after its cancelling was answered
// with "no such job". A write whose answer is lost is applied 3 s later if its condition still holds.
func TestCancelledIsNotStored(t *testing.T) {
	const lateBy = 3 * time.Second

	tests := map[string]func(t *testing.T, s *emulator.RowStore, first, second testEntry){
		// The entry was paused, and reads the request when it goes on.
		"SubmittedLate": func(t *testing.T, _ *emulator.RowStore, first, second testEntry) {
			assert.ErrorIs(t, second.cancel(t.Context(), jobID), platform.ErrNoJob)
			assertRefused(t, first.submit(t.Context()), overtaken)
		},
		// Its feeds have told it of the cancellation by then.
		"SubmittedLateKnown": func(t *testing.T, _ *emulator.RowStore, first, second testEntry) {
			assert.ErrorIs(t, second.cancel(t.Context(), jobID), platform.ErrNoJob)
			first.learnVersion(t)
			assertRefused(t, first.submit(t.Context()), overtaken)
		},
		"SubmittedLateOverloaded": func(t *testing.T, _ *emulator.RowStore, first, second testEntry) {
			assert.ErrorIs(t, second.cancel(t.Context(), jobID), platform.ErrNoJob)
			first.learnVersion(t)
			first.overload(true)
			assertRefused(t, first.submit(t.Context()), "Overload")
		},
		"WriteInDoubt": func(t *testing.T, s *emulator.RowStore, first, second testEntry) {
			loseNext(s, lateBy)
			assert.ErrorIs(t, first.commitOnce(t, 0), rows.ErrUnknown)
			assert.ErrorIs(t, second.cancel(t.Context(), jobID), platform.ErrNoJob)
		},
		"StillWrites": func(t *testing.T, s *emulator.RowStore, first, second testEntry) {
			loseNext(s, lateBy)

			answer := make(chan error, 1)
			go func() { answer <- first.submit(t.Context()) }()

			// The first write of the job is lost, and will be repeated after retryPause.
			time.Sleep(retryPause / 2)
			assert.ErrorIs(t, second.cancel(t.Context(), jobID), platform.ErrNoJob)
			assertRefused(t, <-answer, overtaken)
		},
		"RefusedBefore": func(t *testing.T, _ *emulator.RowStore, first, second testEntry) {
			first.overload(true)
			assert.ErrorIs(t, first.submit(t.Context()), platform.ErrRefused)
			assert.ErrorIs(t, second.cancel(t.Context(), jobID), platform.ErrNoJob)
			first.overload(false)
			first.learnVersion(t)
			assertRefused(t, first.submit(t.Context()), overtaken)
		},
		"AnswerLost": func(t *testing.T, s *emulator.RowStore, first, second testEntry) {
			loseNext(s, time.Millisecond)
			assert.ErrorIs(t, second.cancel(t.Context(), jobID), platform.ErrNoJob)
			assertRefused(t, first.submit(t.Context()), overtaken)
		},
		"CancelledTwice": func(t *testing.T, _ *emulator.RowStore, first, second testEntry) {
			assert.ErrorIs(t, first.cancel(t.Context(), jobID), platform.ErrNoJob)
			time.Sleep(2 * cancelledFor)
			second.learnVersion(t)
			time.Sleep(2 * cancelledFor)

			// The job is submitted again, and that is cancelled as well.
			assert.ErrorIs(t, first.cancel(t.Context(), jobID), platform.ErrNoJob)
			second.learnVersion(t)
			assertRefused(t, second.submit(t.Context()), overtaken)
		},
	}

	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			for _, values := range []bool{true, false} {
				synctest.Test(t, func(t *testing.T) {
					s := emulator.NewRowStore()
					s.CommitTime = func() time.Duration { return 5 * time.Millisecond }
					store := s.Store()

					if !values {
						store = withoutConflictValues(store)
					}

					first, second := newTestEntry(store), newTestEntry(store)
					run(t, s, first, second)
					time.Sleep(2 * lateBy)
					assert.Assert(t, isRefusal(storedRow(t, s).Value))

					_, err := first.state(t.Context(), jobID)
					assert.ErrorIs(t, err, platform.ErrNoJob)
				})
			}
		})
	}
}

// TestSubmittedAfterCancelling checks that a job that was cancelled, or refused and then cancelled, is accepted
// when it is submitted again: at once by an entry that has known of it for long, otherwise at the second attempt.
func TestSubmittedAfterCancelling(t *testing.T) {
	tests := map[string]struct {
		known   time.Duration
		refused bool
	}{
		"Later":  {cancelledFor + time.Second, false},
		"Sooner": {cancelledFor - time.Second, true},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestEntry(emulator.NewRowStore().Store())
				assert.ErrorIs(t, e.cancel(t.Context(), jobID), platform.ErrNoJob)
				time.Sleep(time.Second)
				e.learnVersion(t)
				time.Sleep(c.known)

				if c.refused {
					assertRefused(t, e.submit(t.Context()), overtaken)
					time.Sleep(overtakenRetryAfter)
				}

				assert.NilError(t, e.submit(t.Context()))
			})
		})
	}
}

// TestCancelMeetsSubmission checks that a job that is stored while it is being cancelled is cancelled.
func TestCancelMeetsSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewRowStore()
		store := s.Store()
		first := newTestEntry(s.Store())

		var once sync.Once

		store.Commit = func(ctx context.Context, x rows.Transaction) (rows.Stamp, error) {
			once.Do(func() { assert.NilError(t, first.submit(t.Context())) })

			return s.Commit(ctx, x)
		}

		assert.NilError(t, newTestEntry(store).cancel(t.Context(), jobID))

		known, cancelled, err := first.readJob(t.Context(), jobID)
		assert.NilError(t, err)
		assert.Assert(t, known && cancelled)
	})
}

// TestCancelInDoubt checks that a cancelling that may have taken effect isn't answered with a refusal.
func TestCancelInDoubt(t *testing.T) {
	tests := map[string]struct {
		refuse func(call int) bool
		want   platform.Outcome
	}{
		"NotRead":    {func(call int) bool { return call == 1 }, platform.OutcomeRefused},
		"NotWritten": {func(call int) bool { return call > 1 }, platform.OutcomeRefused},
		// The answer to the first write is lost, and the second one conflicts with it.
		"NotReadAgain": {func(call int) bool { return call > 3 }, platform.OutcomeUnknown},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := emulator.NewRowStore()
				calls := 0
				s.Refuse = func() bool {
					calls++

					return c.refuse(calls)
				}
				loseNext(s, time.Millisecond)

				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()

				assert.Equal(t, platform.OutcomeOf(newTestEntry(s.Store()).cancel(ctx, jobID)), c.want)
			})
		})
	}
}

// TestNothingWrittenForNobody guards against a write for a caller whose time is over: a paused entry wrote
// the jobs of clients that had left.
func TestNothingWrittenForNobody(t *testing.T) {
	s := emulator.NewRowStore()
	e := newTestEntry(s.Store())

	ctx, cancel := context.WithCancel(t.Context())
	cancel()

	assert.Equal(t, platform.OutcomeOf(e.submit(ctx)), platform.OutcomeRefused)
	time.Sleep(10 * time.Millisecond)
	assert.Equal(t, len(s.Rows(jobTable)), 0)
}
