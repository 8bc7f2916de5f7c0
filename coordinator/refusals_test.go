package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"trefoildeck/core/backlog"
	"trefoildeck/core/config"
	"trefoildeck/core/job"
	"trefoildeck/io/rows"
	"trefoildeck/platform"
	"trefoildeck/standin/emulator"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

// testQueue and testSpec are the queue and the job of these tests, of one task of 1 s.
var (
	testQueue = config.Queue{
		Name:          "r-1",
		Host:          "tints.example",
		Service:       "orders",
		MaxAttempts:   3,
		Stretch:       1.5,
		TargetLatency: 250 * time.Millisecond,
	}
	testSpec = job.Spec{
		Text: "text",
		Steps: []job.Step{{
			Count:    1,
			Size:     job.Size{MilliCores: 1000},
			Estimate: time.Second,
		}},
	}
)

// testEntry is an entry that judges submissions.
type testEntry struct {
	*Coordinator
}

func newTestEntry(s *rows.Store) testEntry {
	c := newTestCoordinator(s)
	c.settings.Scheduling.Admission = true
	c.configuration.Store(&config.Configuration{Queues: []config.Queue{testQueue}})

	return testEntry{c}
}

// overload makes the entry refuse, or admit again, until the next call.
func (e testEntry) overload(on bool) {
	e.admission.forget()

	if !on {
		return
	}

	l := &backlog.Load{
		At:         e.now() + time.Hour,
		Service:    testQueue.Service,
		MilliCores: 1000,
	}
	l.Priority(0).AddKind(backlog.KindOf(&testSpec.Steps[0]))
	l.Priority(0).AddRunning(1000 * time.Minute.Milliseconds())
	e.admission.update([]*backlog.Load{l})
}

// submit submits the job of these tests, for which the caller waits 3 s.
func (e testEntry) submit(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()

	return e.accept(ctx, testQueue, jobID, testSpec)
}

// learnVersion makes the entry know the present version of the store, as its feeds do.
func (e testEntry) learnVersion(t *testing.T) {
	t.Helper()

	_, err := e.store.Range(t.Context(), jobTable, partOf(jobID), "", "")
	assert.NilError(t, err)
}

func assertRefused(t *testing.T, err error, reason string) {
	t.Helper()

	var r *platform.Refusal

	assert.Assert(t, errors.As(err, &r), "%v", err)
	assert.Equal(t, r.Reason, reason)
	assert.ErrorIs(t, err, platform.ErrRefused)
}

// storedRow returns the row of the job of these tests.
func storedRow(t *testing.T, s *emulator.RowStore) rows.Row {
	t.Helper()

	list := s.Rows(jobTable)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Key, jobID)

	return list[0]
}

// loseNext makes the store lose the answer to one transaction, and apply it after a delay.
func loseNext(s *emulator.RowStore, delay time.Duration) {
	var once sync.Once

	s.LoseAnswer = func(rows.Transaction) (bool, time.Duration) {
		lost := false
		once.Do(func() { lost = true })

		return lost, delay
	}
}

// TestRefused checks what others make of the row of a refused job: it is not known to callers, and
// no leader runs it. A leader of an earlier version finds no valid spec in it.
func TestRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewRowStore()
		e, other := newTestEntry(s.Store()), newTestEntry(s.Store())
		e.overload(true)

		assertRefused(t, e.submit(t.Context()), string(backlog.Overload))
		assert.Assert(t, isRefusal(storedRow(t, s).Value))

		_, err := other.state(t.Context(), jobID)
		assert.ErrorIs(t, err, platform.ErrNoJob)
		assert.ErrorIs(t, other.cancel(t.Context(), jobID), platform.ErrNoJob)
		storedRow(t, s)

		l := newTestLeader(t, emulator.NewRowStore())
		core, logs := observer.New(zapcore.InfoLevel)
		l.c.log = zap.New(core)

		list := s.Rows(jobTable)
		list[0].Key = "00000000000000ab"
		l.loadJobs(list, nil)
		l.applyJobRow(list[0])

		_, known := l.fleet.State(list[0].Key)
		assert.Assert(t, !known)
		assert.Equal(t, logs.Len(), 0)

		_, _, err = l.decodeJob(list[0])
		assert.ErrorIs(t, err, job.ErrInvalid)
	})
}

// TestNoJobIsARefusal checks that the row of no job is taken for a refusal, whatever its content.
func TestNoJobIsARefusal(t *testing.T) {
	r := job.Record{
		Queue: `{"Refused":`,
		Spec:  job.Spec{Text: `{"Refused":`},
	}
	value, err := json.Marshal(r)
	assert.NilError(t, err)
	assert.Assert(t, !isRefusal(value))
}

// TestRefusalInterleavings checks the order of events around a refusal: which answers callers get, and
// that the row stays a refusal after the last one, or a job. A write whose answer is lost is applied 3 s
// later if its condition still holds.
func TestRefusalInterleavings(t *testing.T) {
	const lateBy = 3 * time.Second

	overloaded := string(backlog.Overload)

	tests := map[string]struct {
		run func(t *testing.T, s *emulator.RowStore, first, second testEntry)
		// refused is whether the row has a refusal in the end.
		refused bool
	}{
		"RepeatedElsewhere": {func(t *testing.T, s *emulator.RowStore, first, second testEntry) {
			first.overload(true)
			second.overload(true)
			assertRefused(t, first.submit(t.Context()), overloaded)
			before := storedRow(t, s).Version
			assertRefused(t, second.submit(t.Context()), overloaded)
			// A write that expects the first refusal can't take effect any more.
			assert.Assert(t, storedRow(t, s).Version > before)
		}, true},
		"JobStoredBefore": {func(t *testing.T, _ *emulator.RowStore, first, second testEntry) {
			second.overload(true)
			assert.NilError(t, first.submit(t.Context()))
			assert.NilError(t, second.submit(t.Context()))
		}, false},
		"SubmittedLater": {func(t *testing.T, _ *emulator.RowStore, first, second testEntry) {
			first.overload(true)
			assertRefused(t, first.submit(t.Context()), overloaded)
			second.learnVersion(t)
			assert.NilError(t, second.submit(t.Context()))
			assert.NilError(t, first.submit(t.Context()))
		}, false},
		// The first request waits for the store while its repetition is refused.
		"FirstStillWaits": {func(t *testing.T, s *emulator.RowStore, first, second testEntry) {
			second.overload(true)

			loseNext(s, lateBy)

			answer := make(chan error, 1)
			go func() { answer <- first.submit(t.Context()) }()

			// The first request repeats its write after retryPause.
			time.Sleep(retryPause / 2)
			assertRefused(t, second.submit(t.Context()), overloaded)
			assertRefused(t, <-answer, overtaken)
		}, true},
		"FirstAppliedBefore": {func(t *testing.T, s *emulator.RowStore, first, second testEntry) {
			second.overload(true)
			loseNext(s, 50*time.Millisecond)

			answer := make(chan error, 1)
			go func() { answer <- first.submit(t.Context()) }()

			time.Sleep(100 * time.Millisecond)
			assert.NilError(t, second.submit(t.Context()))
			assert.NilError(t, <-answer)
		}, false},
		// The entry ends while its write of the job is in doubt.
		"FirstEntryKilled": {func(t *testing.T, s *emulator.RowStore, first, second testEntry) {
			second.overload(true)
			loseNext(s, lateBy)
			assert.ErrorIs(t, first.commitOnce(t, 0), rows.ErrUnknown)
			assertRefused(t, second.submit(t.Context()), overloaded)
		}, true},
		"RefusalLateAndAccepted": {func(t *testing.T, s *emulator.RowStore, first, _ testEntry) {
			first.overload(true)
			loseNext(s, lateBy)
			assert.NilError(t, first.submit(t.Context()))
		}, false},
		// The refusal took effect although its answer was lost.
		"RefusalAnswerLost": {func(t *testing.T, s *emulator.RowStore, first, _ testEntry) {
			first.overload(true)
			loseNext(s, time.Millisecond)
			assertRefused(t, first.submit(t.Context()), overloaded)
		}, true},
		// The entry ends after it stored the refusal and before it answers.
		"KilledBeforeAnswer": {func(t *testing.T, _ *emulator.RowStore, first, second testEntry) {
			first.overload(true)
			assertRefused(t, first.submit(t.Context()), overloaded)
			second.learnVersion(t)
			assert.NilError(t, second.submit(t.Context()))
		}, false},
		// An entry that doesn't know yet whether the refusal is older than the request must not
		// replace it.
		"VersionNotKnown": {func(t *testing.T, _ *emulator.RowStore, first, second testEntry) {
			first.overload(true)
			assertRefused(t, first.submit(t.Context()), overloaded)
			second.storeVersion.Store(0)
			assertRefused(t, second.submit(t.Context()), overtaken)
			// Its own answer tells it how new the store is.
			assert.NilError(t, second.submit(t.Context()))
		}, false},
		// A replacement of an older refusal is in doubt when the job is refused again.
		"ReplacementLate": {func(t *testing.T, s *emulator.RowStore, first, second testEntry) {
			first.overload(true)
			assertRefused(t, first.submit(t.Context()), overloaded)
			loseNext(s, lateBy)
			assert.ErrorIs(t, second.commitOnce(t, storedRow(t, s).Version), rows.ErrUnknown)
			assertRefused(t, first.submit(t.Context()), overloaded)
		}, true},
		"StoreRefuses": {func(t *testing.T, s *emulator.RowStore, first, _ testEntry) {
			first.overload(true)

			calls := 0
			s.Refuse = func() bool {
				calls++

				return calls == 1
			}
			// Without a stored refusal, the job is accepted.
			assert.NilError(t, first.submit(t.Context()))
		}, false},
		// A refusal that must not be replaced, and can't be confirmed either, is no answer.
		"ConfirmationFails": {func(t *testing.T, s *emulator.RowStore, first, second testEntry) {
			first.overload(true)
			assertRefused(t, first.submit(t.Context()), overloaded)
			second.storeVersion.Store(0)

			calls := 0
			s.Refuse = func() bool {
				calls++

				return calls == 2
			}
			assert.ErrorIs(t, second.submit(t.Context()), platform.ErrUnknown)
		}, true},
		// A request of an overloaded entry finds the refusal of its repetition, and its own fails. The
		// job must not be accepted instead.
		"OwnRefusalFails": {func(t *testing.T, s *emulator.RowStore, first, second testEntry) {
			first.overload(true)
			second.overload(true)
			assertRefused(t, first.submit(t.Context()), overloaded)
			second.storeVersion.Store(0)

			calls := 0
			s.Refuse = func() bool {
				calls++

				return calls == 2
			}
			assert.ErrorIs(t, second.submit(t.Context()), platform.ErrUnknown)
		}, true},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			for _, values := range []bool{true, false} {
				synctest.Test(t, func(t *testing.T) {
					s := emulator.NewRowStore()
					s.CommitTime = func() time.Duration { return 5 * time.Millisecond }
					store := s.Store()

					if !values {
						store = withoutConflictValues(store)
					}

					c.run(t, s, newTestEntry(store), newTestEntry(store))
					time.Sleep(2 * lateBy)
					assert.Equal(t, isRefusal(storedRow(t, s).Value), c.refused)
				})
			}
		})
	}
}

// commitOnce writes the job once, as an entry that ends afterwards.
func (e testEntry) commitOnce(t *testing.T, version int64) error {
	t.Helper()

	_, err := e.directStore.Commit(t.Context(), rows.Transaction{
		Part: partOf(jobID),
		Expect: []rows.Expectation{{
			Table:   jobTable,
			Key:     jobID,
			Version: version,
		}},
		Set: []rows.Row{{
			Table: jobTable,
			Key:   jobID,
			Value: []byte(`{"Queue":"r-1"}`),
		}},
	})

	return err
}

// withoutConflictValues returns a store whose conflicts have no values, as the platform allows.
func withoutConflictValues(s *rows.Store) *rows.Store {
	return &rows.Store{
		Commit: func(ctx context.Context, t rows.Transaction) (rows.Stamp, error) {
			stamp, err := s.Commit(ctx, t)

			var conflict *rows.Conflict
			if errors.As(err, &conflict) {
				return stamp, &rows.Conflict{}
			}

			return stamp, err
		},
		Range: s.Range,
		Feed:  s.Feed,
	}
}

// TestRefusalHistories lets a caller repeat a submission at random entries, which refuse and admit as
// they like, over a store that loses answers and applies such writes up to 2 s late. It checks that a
// job that was refused in the end is never stored, nor one whose submissions were all rejected, and that
// one that was accepted is.
func TestRefusalHistories(t *testing.T) {
	const seeds = 400

	outcomes := map[string]int{}

	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { outcomes[playRefusals(t, seed)]++ })
		})
	}

	for _, o := range []string{"accepted", "refused", "no effect", "unknown"} {
		assert.Assert(t, outcomes[o] > 0, "%v", outcomes)
	}
}

// playRefusals plays one history and returns the caller's last answer.
func playRefusals(t *testing.T, seed uint64) string {
	t.Helper()

	var (
		mu sync.Mutex
		r  = rand.New(rand.NewPCG(seed, 1))
	)

	chance := func(p float64) bool {
		mu.Lock()
		defer mu.Unlock()

		return r.Float64() < p
	}
	between := func(low, high time.Duration) time.Duration {
		mu.Lock()
		defer mu.Unlock()

		return low + time.Duration(r.Int64N(int64(high-low)))
	}

	s := emulator.NewRowStore()
	store := unreliableStore(s, chance, between, seed%2 == 1)
	entries := []testEntry{newTestEntry(store), newTestEntry(store), newTestEntry(store)}
	answer := "unknown"
	inDoubt := false

	for range 6 {
		e := entries[int(between(0, 3))]
		e.overload(chance(0.6))

		if chance(0.5) {
			// The entry may have had no answer for a while. An error leaves it as it is.
			_, _ = e.store.Range(t.Context(), jobTable, partOf(jobID), "", "")
		}

		answer = call(t, e, between(50*time.Millisecond, 4*time.Second))

		var end bool

		switch answer {
		case "accepted":
			end = true
		case "unknown":
			inDoubt = true
		case "refused", "no effect":
			// Some callers come again.
			if end = chance(0.5); !end {
				time.Sleep(between(0, 2*time.Second))
			}
		}

		if end {
			break
		}
	}

	// All requests have ended by then, and all writes are applied.
	time.Sleep(20 * time.Second)

	assertTrue(t, s.Rows(jobTable), answer, inDoubt, seed)

	return answer
}

// unreliableStore returns a client of s that loses answers and refuses calls. With unread, conflicts have
// no values and more reads are refused.
func unreliableStore(s *emulator.RowStore, chance func(float64) bool, between func(low, high time.Duration) time.Duration, unread bool) *rows.Store {
	s.CommitTime = func() time.Duration { return between(time.Millisecond, 100*time.Millisecond) }
	s.LoseAnswer = func(rows.Transaction) (bool, time.Duration) {
		if chance(0.5) {
			// Applied before the write is repeated.
			return chance(0.4), between(0, retryPause)
		}

		return chance(0.4), between(0, 2*time.Second)
	}
	s.Refuse = func() bool { return chance(0.05) }

	if !unread {
		return s.Store()
	}

	store := withoutConflictValues(s.Store())
	store.Range = func(ctx context.Context, table, part, from, to string) (rows.Page, error) {
		if chance(0.3) {
			return rows.Page{}, rows.ErrRefused
		}

		return s.Range(ctx, table, part, from, to)
	}

	return store
}

// assertTrue checks the last answer of a history against the rows of jobs. With inDoubt, a submission had
// no answer, or one that it may have taken effect.
func assertTrue(t *testing.T, list []rows.Row, answer string, inDoubt bool, seed uint64) {
	t.Helper()

	stored := len(list) == 1 && !isRefusal(list[0].Value)

	switch {
	case answer == "accepted":
		assert.Assert(t, stored, "seed %d: an accepted job is not stored", seed)
	case answer == "refused":
		assert.Assert(t, len(list) == 1 && isRefusal(list[0].Value), "seed %d: a refused job is stored", seed)
	case !inDoubt:
		assert.Assert(t, !stored, "seed %d: a job is stored that was rejected each time", seed)
	}
}

// call submits the job and waits for a time for the answer, which the entry goes on to work on. The
// answer "no effect" is a 503 without a stored refusal.
func call(t *testing.T, e testEntry, patience time.Duration) string {
	t.Helper()

	answer := make(chan error, 1)
	go func() { answer <- e.submit(t.Context()) }()

	select {
	case err := <-answer:
		var r *platform.Refusal

		switch {
		case err == nil:
			return "accepted"
		case errors.As(err, &r):
			return "refused"
		case platform.OutcomeOf(err) == platform.OutcomeRefused:
			return "no effect"
		default:
			return "unknown"
		}
	case <-time.After(patience):
		return "unknown"
	}
}

// TestTooLargeForAnyWorker checks that a job with a task that fits no worker is refused, and that a
// job without a row that fits the store is not refused for the load but for good.
func TestTooLargeForAnyWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(emulator.NewRowStore().Store())
		e.admission.update([]*backlog.Load{{
			At:      e.now(),
			Service: testQueue.Service,
			Largest: job.Size{MilliCores: 900},
		}})
		assertRefused(t, e.submit(t.Context()), string(backlog.TooLarge))

		spec := testSpec
		spec.Text = strings.Repeat("x", 100_000)
		err := e.accept(t.Context(), testQueue, "00000000000000ac", spec)
		assert.ErrorIs(t, err, platform.ErrUnstorable)
	})
}
