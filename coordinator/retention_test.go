package coordinator

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"trefoildeck/core/job"
	"trefoildeck/io/rows"
	"trefoildeck/standin/emulator"

	"gotest.tools/v3/assert"
)

// putRow writes a row of the store as if another process had written it.
func putRow(s *emulator.RowStore, table, part, key, value string) {
	// A transaction without expectations can't fail.
	_, _ = s.Commit(context.Background(), rows.Transaction{
		Part: part,
		Set: []rows.Row{{
			Table: table,
			Key:   key,
			Value: []byte(value),
		}},
	})
}

// overID is the ID of a job that is over.
const overID = "00000000000000bb"

// putOver writes the rows of a job that was cancelled.
func putOver(s *emulator.RowStore) {
	putRow(s, jobTable, partOf(overID), overID, `{"Queue":"r-1","Spec":{"Steps":[{"Count":1}]}}`)
	putRow(s, jobTable, partOf(overID), overID+cancelSuffix, `{}`)
	putRow(s, progressTable, leadPart, overID, `{"State":"Cancelled"}`)
}

// keys returns the keys of the rows of the job that is over, in all tables.
func keys(s *emulator.RowStore) []string {
	var list []string

	for _, table := range []string{jobTable, progressTable} {
		for _, r := range s.Rows(table) {
			list = append(list, table+" "+r.Key)
		}
	}

	return list
}

// expire waits until the time of all rows is over and the leader has removed what it removes.
func (l *leader) expire(t *testing.T) {
	t.Helper()

	time.Sleep(retention)

	for {
		k, ok := l.nextExpired()
		if !ok {
			return
		}

		if err := l.removeRows(t.Context(), k); err != nil {
			l.keepAgain(k, err)
		}
	}
}

// loaded returns a leader that has read the jobs of the store.
func loaded(t *testing.T, s *emulator.RowStore) *leader {
	t.Helper()

	l := newTestLeader(t, s)
	_, err := l.load(t.Context())
	assert.NilError(t, err)

	return l
}

// TestRowsRemoved guards against rows of jobs that stay in the store for ever: all entries read them, and
// ran out of memory in the end. It checks as well that nothing else is removed.
func TestRowsRemoved(t *testing.T) {
	tests := map[string]struct {
		put func(t *testing.T, s *emulator.RowStore)
		// between happens once the leader has loaded the rows.
		between func(t *testing.T, s *emulator.RowStore, l *leader)
		left    []string
	}{
		"Over": {
			put: func(_ *testing.T, s *emulator.RowStore) { putOver(s) },
		},
		// A leader got no further than the row of the job.
		"ProgressOnly": {
			put: func(_ *testing.T, s *emulator.RowStore) {
				putRow(s, progressTable, leadPart, overID, `{"State":"Succeeded"}`)
			},
		},
		"ProgressOnlyAndNewJob": {
			put: func(_ *testing.T, s *emulator.RowStore) {
				putRow(s, progressTable, leadPart, overID, `{"State":"Succeeded"}`)
			},
			between: func(_ *testing.T, s *emulator.RowStore, _ *leader) {
				putRow(s, jobTable, partOf(overID), overID, `{"Queue":"r-1","Spec":{"Steps":[{"Count":1}]}}`)
			},
			left: []string{"job " + overID, "progress " + overID},
		},
		"NotOver": {
			put: func(_ *testing.T, s *emulator.RowStore) {
				putRow(s, jobTable, partOf(overID), overID, `{"Queue":"r-1","Spec":{"Steps":[{"Count":1}]}}`)
				putRow(s, progressTable, leadPart, overID, `{"State":"Running"}`)
			},
			left: []string{"job " + overID, "progress " + overID},
		},
		"Refusal": {
			put: func(t *testing.T, s *emulator.RowStore) {
				e := newTestEntry(s.Store())
				e.overload(true)
				assertRefused(t, e.submit(t.Context()), "Overload")
			},
		},
		"RefusalReplaced": {
			put: func(t *testing.T, s *emulator.RowStore) {
				e := newTestEntry(s.Store())
				e.overload(true)
				assertRefused(t, e.submit(t.Context()), "Overload")
			},
			between: func(t *testing.T, s *emulator.RowStore, _ *leader) {
				e := newTestEntry(s.Store())
				e.learnVersion(t)
				assert.NilError(t, e.submit(t.Context()))
			},
			left: []string{"job " + jobID},
		},
		"RefusalSeenLater": {
			put: func(*testing.T, *emulator.RowStore) {},
			between: func(t *testing.T, s *emulator.RowStore, l *leader) {
				e := newTestEntry(s.Store())
				e.overload(true)
				assertRefused(t, e.submit(t.Context()), "Overload")
				l.applyJobRow(storedRow(t, s))
			},
		},
		"StoreRefuses": {
			put: func(_ *testing.T, s *emulator.RowStore) { putOver(s) },
			between: func(_ *testing.T, s *emulator.RowStore, _ *leader) {
				s.Refuse = func() bool { return true }
			},
			left: []string{"job " + overID, "job " + overID + cancelSuffix, "progress " + overID},
		},
		// A later leader has begun.
		"Superseded": {
			put: func(_ *testing.T, s *emulator.RowStore) { putOver(s) },
			between: func(t *testing.T, _ *emulator.RowStore, l *leader) {
				l.succeed(t, 1)
			},
			left: []string{"progress " + overID},
		},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := emulator.NewRowStore()
				c.put(t, s)

				l := loaded(t, s)

				if c.between != nil {
					c.between(t, s, l)
				}

				before := keys(s)

				_, ok := l.nextExpired()
				assert.Assert(t, !ok)
				assert.DeepEqual(t, keys(s), before)

				l.expire(t)
				assert.DeepEqual(t, keys(s), c.left)
			})
		})
	}
}

// TestRemovalAnswerLost checks that a removal goes on after a call whose answer was lost.
func TestRemovalAnswerLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewRowStore()
		putOver(s)

		l := loaded(t, s)
		loseNext(s, time.Millisecond)

		l.expire(t)
		time.Sleep(10 * time.Millisecond)
		assert.DeepEqual(t, keys(s), []string{"progress " + overID})

		_, known := l.fleet.State(overID)
		assert.Assert(t, known, "its state is still in the store")

		l.expire(t)
		assert.Equal(t, len(keys(s)), 0)

		_, known = l.fleet.State(overID)
		assert.Assert(t, !known)
	})
}

// TestRemoveExpired checks the loop that removes rows, and that a job which ends in this term has its time.
func TestRemoveExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewRowStore()
		l := newTestLeader(t, s)

		var group sync.WaitGroup

		group.Go(func() { assert.Check(t, l.renew(t.Context()) == nil) })
		group.Go(func() { assert.Check(t, l.removeExpired(t.Context()) == nil) })

		time.Sleep(retention / 2)
		putOver(s)
		l.mu.Lock()
		l.fleet.AddOver(overID, job.Cancelled)
		l.mu.Unlock()

		time.Sleep(retention - time.Second)
		assert.Equal(t, len(keys(s)), 3)

		time.Sleep(3 * retentionCheckPeriod)
		assert.Equal(t, len(keys(s)), 0)
	})
}
