package coordinator

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"trefoildeck/core/fleet"
	"trefoildeck/core/gate"
	"trefoildeck/core/job"
	"trefoildeck/core/lease"
	"trefoildeck/io/peer"
	"trefoildeck/io/rows"
	"trefoildeck/settings"
	"trefoildeck/standin/emulator"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

const jobID = "00000000000000aa"

// newTestCoordinator returns a coordinator on the runtime's clock, which synctest
// controls.
func newTestCoordinator(s *rows.Store) *Coordinator {
	began := time.Now()
	c := New(settings.Node{Node: settings.NodeSection{Name: "front-1"}}, s, zap.NewNop())
	c.now = func() time.Duration { return time.Since(began) + time.Hour }

	return c
}

// newTestLeader returns a leader that holds the lease in s. It has one job with two
// tasks, both placed on the worker of the node side-1.
func newTestLeader(t *testing.T, s *emulator.RowStore) *leader {
	t.Helper()

	c := newTestCoordinator(s.Store())
	ls, err := c.readLease(t.Context())
	assert.NilError(t, err)

	ls, err = c.writeLease(t.Context(), ls, 1)
	assert.NilError(t, err)

	l := newLeader(c, 1, ls)
	l.fleet.Add(0, 0, job.Record{
		ID:          jobID,
		Service:     "orders",
		MaxAttempts: 3,
		Spec: job.Spec{Steps: []job.Step{{
			Count: 2,
			Size:  job.Size{MilliCores: 1},
		}}},
	})
	l.fleet.Report(0, "side-1", fleet.Report{
		Full:      true,
		Described: true,
		Ready:     true,
		Service:   "orders",
		Capacity: job.Size{
			MilliCores: 1000,
			MemoryMB:   1000,
		},
	})
	l.fleet.Schedule(0, time.Time{})

	return l
}

func (l *leader) finishTask(index int) {
	l.fleet.RecordEnd(0, "side-1", gate.End{
		Task: job.TaskID{
			Job:   jobID,
			Index: index,
		},
		Attempt: 1,
		Reason:  gate.Done,
	})
}

// TestLateWrite checks that a progress write whose answer was lost, and that the store
// applies seconds later, doesn't overwrite a later write.
func TestLateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewRowStore()
		l := newTestLeader(t, s)
		ctx := t.Context()

		s.LoseAnswer = func(rows.Transaction) (bool, time.Duration) { return true, 3 * time.Second }
		l.finishTask(0)
		_, err := l.commitChanges(ctx)
		assert.ErrorIs(t, err, rows.ErrUnknown)

		s.LoseAnswer = func(rows.Transaction) (bool, time.Duration) { return false, 0 }
		l.finishTask(1)
		_, err = l.commitChanges(ctx)
		assert.NilError(t, err)

		time.Sleep(5 * time.Second)

		f := fleet.New(2)

		list := s.Rows(progressTable)
		assert.Equal(t, len(list), 1)
		assert.NilError(t, f.Load(0, 0, job.Record{
			ID:   jobID,
			Spec: job.Spec{Steps: []job.Step{{Count: 2}}},
		}, []fleet.StoredRow{{
			Key:   jobID,
			Value: list[0].Value,
		}}, false))

		state, _ := f.State(jobID)
		assert.Equal(t, state, job.Succeeded)
	})
}

// TestLateWriteBeforeNext checks that a leader continues when the store applies a write
// whose answer was lost before the next write. That write then fails with a conflict,
// which must not be taken for a later term.
func TestLateWriteBeforeNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewRowStore()
		l := newTestLeader(t, s)
		ctx := t.Context()

		s.LoseAnswer = func(rows.Transaction) (bool, time.Duration) { return true, time.Millisecond }
		l.finishTask(0)
		_, err := l.commitChanges(ctx)
		assert.ErrorIs(t, err, rows.ErrUnknown)
		time.Sleep(time.Second)

		s.LoseAnswer = func(rows.Transaction) (bool, time.Duration) { return false, 0 }
		l.finishTask(1)

		for range 2 {
			if _, err = l.commitChanges(ctx); err == nil {
				break
			}

			assert.Assert(t, errors.Is(err, rows.ErrConflict) && !errors.Is(err, peer.ErrSuperseded), "%v", err)
		}

		assert.NilError(t, err)
	})
}

// TestSuperseded checks that a leader can't write progress after a later term has
// begun.
func TestSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewRowStore()
		l := newTestLeader(t, s)

		other := New(settings.Node{Node: settings.NodeSection{Name: "front-2"}}, s.Store(), zap.NewNop())
		ls, err := other.readLease(context.Background())
		assert.NilError(t, err)
		_, err = other.writeLease(context.Background(), ls, 2)
		assert.NilError(t, err)

		l.finishTask(0)
		_, err = l.commitChanges(t.Context())
		assert.ErrorIs(t, err, peer.ErrSuperseded)
	})
}

// TestResignWhileWriting checks that a write at the end of a term waits for the write
// in progress. If that one fails, its ends are not durable, and the later write must
// not tell a worker to forget them.
func TestResignWhileWriting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewRowStore()
		l := newTestLeader(t, s)

		calls := 0
		s.LoseAnswer = func(rows.Transaction) (bool, time.Duration) {
			if calls++; calls > 1 {
				return false, 0
			}

			time.Sleep(100 * time.Millisecond)

			return true, time.Hour
		}

		l.finishTask(0)

		go func() {
			_, err := l.commitChanges(t.Context())
			assert.Check(t, errors.Is(err, rows.ErrUnknown), "%v", err)
		}()

		synctest.Wait()
		l.mu.Lock()
		l.fleet.Report(0, "side-1", fleet.Report{Ends: []gate.EndEvent{{
			End: gate.End{
				Number:  2,
				Task:    job.TaskID{Job: "00000000000000bb"},
				Attempt: 1,
				Reason:  gate.Stopped,
			},
		}}})
		l.mu.Unlock()

		_, err := l.commitChanges(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(s.Rows(progressTable)), 1, "the end whose write failed was not written again")
	})
}

// TestResigned checks that a leader acts no more once the store may have released its
// lease. While it waited for the answer, it started tasks that the next leader started too.
func TestResigned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewRowStore()
		l := newTestLeader(t, s)
		assert.Assert(t, l.holdsLease())

		released := false
		s.LoseAnswer = func(rows.Transaction) (bool, time.Duration) {
			released = true
			assert.Check(t, !l.holdsLease())

			return false, 0
		}

		assert.ErrorIs(t, l.resign(t.Context()), errResigned)
		assert.Assert(t, released)
	})
}

// TestPassAfterLease checks that a leader starts nothing in a pass that was held up until its
// lease had expired: the next leader may have started it.
func TestPassAfterLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLeader(t, emulator.NewRowStore())
		l.fleet.Add(0, 0, job.Record{
			ID:      "00000000000000bb",
			Service: "orders",
			Spec:    job.Spec{Steps: []job.Step{{Count: 1}}},
		})

		time.Sleep(lease.Duration)
		l.pass()
		assert.Equal(t, len(l.fleet.Schedule(0, time.Time{})), 1, "the task was started before")
	})
}
