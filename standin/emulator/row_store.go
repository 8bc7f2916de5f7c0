// Package emulator emulates the users' platform for tests: its row store, its
// workers and their announcements, with the failures that the platform's
// documentation describes. A Checker records what the workers see and lists
// violations of the scheduler's guarantees.
//
// # Usage
//
//	store := emulator.NewRowStore()
//	server := httptest.NewServer(emulator.StoreHandler(store))
//	checker := emulator.NewChecker()
//	worker := &emulator.Worker{ID: "i-1", Checker: checker, PlanRun: plan, LoseAnswer: lose}
//	worker.Start()
package emulator

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"trefoildeck/io/rows"
)

// RowStore emulates the platform's row store in memory: one version counter,
// conditional transactions and a feed of changes whose history can be lost. Its
// functions LoseAnswer and Refuse may be called concurrently.
type RowStore struct {
	// LoseAnswer reports whether the response to a transaction is lost, and the
	// delay after which the transaction is then applied, if its expectations still
	// hold.
	LoseAnswer func(rows.Transaction) (lost bool, delay time.Duration)
	// Refuse reports whether a call is refused.
	Refuse func() bool
	// CommitTime returns how long a transaction takes. The transactions of a part take
	// place one after the other, and are refused if more than a second of them waits.
	CommitTime func() time.Duration

	mu        sync.Mutex
	version   int64
	startedAt time.Time
	rows      map[rowName]rows.Row
	history   []rows.Row
	// droppedVersion is the version up to which the history was dropped.
	droppedVersion int64
	// changed is closed and replaced on each change.
	changed chan struct{}
	// busyUntil has, by part, the time at which the accepted transactions end.
	busyUntil map[string]time.Time
}

// maxPartQueue is the time of waiting transactions above which a part refuses others.
const maxPartQueue = time.Second

type rowName struct {
	table, part, key string
}

// NewRowStore returns an empty store.
func NewRowStore() *RowStore {
	return &RowStore{
		LoseAnswer: func(rows.Transaction) (bool, time.Duration) { return false, 0 },
		Refuse:     func() bool { return false },
		startedAt:  time.Now(),
		CommitTime: func() time.Duration { return 0 },
		rows:       map[rowName]rows.Row{},
		changed:    make(chan struct{}),
		busyUntil:  map[string]time.Time{},
	}
}

// Store returns an in-process client of the store, without a network.
func (s *RowStore) Store() *rows.Store {
	return &rows.Store{
		Commit: s.Commit,
		Range:  s.Range,
		Feed:   s.Feed,
	}
}

func (s *RowStore) stamp() rows.Stamp {
	return rows.Stamp{
		Version: s.version,
		Clock:   time.Since(s.startedAt) + time.Millisecond,
	}
}

// Put writes a row unconditionally, as the operator of the platform does. It is
// never refused or lost.
func (s *RowStore) Put(r rows.Row) {
	// A transaction without expectations can't fail.
	_, _ = s.apply(rows.Transaction{Set: []rows.Row{r}})
}

// maxRowBytes is the largest value of a row.
const maxRowBytes = 64 << 10

// Commit applies a transaction. It returns rows.ErrRefused if the store refuses it,
// rows.ErrInvalid if a value is too large, rows.ErrUnknown if its response is lost, and a
// *rows.Conflict with the current rows if an expectation doesn't hold.
func (s *RowStore) Commit(_ context.Context, t rows.Transaction) (rows.Stamp, error) {
	if s.Refuse() {
		return rows.Stamp{}, rows.ErrRefused
	}

	if slices.ContainsFunc(t.Set, func(r rows.Row) bool { return len(r.Value) > maxRowBytes }) {
		return rows.Stamp{}, rows.ErrInvalid
	}

	if !s.takeTurn(t.Part) {
		return rows.Stamp{}, rows.ErrRefused
	}

	if lost, delay := s.LoseAnswer(t); lost {
		time.AfterFunc(delay, func() {
			// The caller has returned; the outcome is reported to no one.
			_, _ = s.apply(t)
		})

		return rows.Stamp{}, rows.ErrUnknown
	}

	return s.apply(t)
}

// takeTurn waits until the transactions of a part before this one and the transaction
// itself have taken their time. It returns false if too many wait.
func (s *RowStore) takeTurn(part string) bool {
	d := s.CommitTime()
	if d == 0 {
		return true
	}

	s.mu.Lock()
	now := time.Now()
	begin := s.busyUntil[part]

	if begin.Before(now) {
		begin = now
	}

	if begin.Sub(now) > maxPartQueue {
		s.mu.Unlock()

		return false
	}

	end := begin.Add(d)
	s.busyUntil[part] = end
	s.mu.Unlock()

	time.Sleep(end.Sub(now))

	return true
}

func (s *RowStore) apply(t rows.Transaction) (rows.Stamp, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	conflict := &rows.Conflict{}
	held := true

	for _, e := range t.Expect {
		r, ok := s.rows[rowName{e.Table, t.Part, e.Key}]
		if ok {
			conflict.Rows = append(conflict.Rows, r)
		}

		held = held && r.Version == e.Version
	}

	if !held {
		return rows.Stamp{}, fmt.Errorf("commit: %w", conflict)
	}

	s.version++

	for _, r := range t.Set {
		r.Part, r.Version, r.Deleted = t.Part, s.version, false
		s.rows[rowName{r.Table, r.Part, r.Key}] = r
		s.history = append(s.history, r)
	}

	for _, r := range t.Remove {
		r.Part, r.Version, r.Deleted, r.Value = t.Part, s.version, true, nil
		delete(s.rows, rowName{r.Table, r.Part, r.Key})
		s.history = append(s.history, r)
	}

	close(s.changed)
	s.changed = make(chan struct{})

	return s.stamp(), nil
}

// Range returns the first page of the rows of a part whose keys are at least from
// and less than to, in the order of their keys. An empty to is no bound.
func (s *RowStore) Range(_ context.Context, table, part, from, to string) (rows.Page, error) {
	if s.Refuse() {
		return rows.Page{}, rows.ErrRefused
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	p := rows.Page{Stamp: s.stamp()}

	for n, r := range s.rows {
		if n.table == table && n.part == part && n.key >= from && (to == "" || n.key < to) {
			p.Rows = append(p.Rows, r)
		}
	}

	slices.SortFunc(p.Rows, func(a, b rows.Row) int { return cmp.Compare(a.Key, b.Key) })

	size := 0

	for i, r := range p.Rows {
		if size += len(r.Value); i == maxPageRows || size > maxPageBytes {
			p.Rows, p.More = p.Rows[:i], true

			break
		}
	}

	return p, nil
}

// maxPageRows is the largest number of rows in a response of the platform's store, and
// maxPageBytes the largest sum of their values.
const (
	maxPageRows  = 500
	maxPageBytes = 1 << 20
)

// Feed returns the changes of a table after a version, and waits up to wait for the
// first one. It returns rows.ErrHistoryLost if some of them were dropped.
func (s *RowStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (rows.Page, error) {
	limit := time.NewTimer(wait)
	defer limit.Stop()

	for {
		if s.Refuse() {
			return rows.Page{}, rows.ErrRefused
		}

		s.mu.Lock()
		p, changed := rows.Page{Stamp: s.stamp()}, s.changed
		lost := after < s.droppedVersion

		for _, r := range s.history {
			if r.Table == table && r.Version > after {
				p.Rows = append(p.Rows, r)
			}
		}
		s.mu.Unlock()

		if lost {
			return rows.Page{}, rows.ErrHistoryLost
		}

		if len(p.Rows) > 0 {
			return p, nil
		}

		select {
		case <-ctx.Done():
			return rows.Page{}, rows.ErrRefused
		case <-limit.C:
			return p, nil
		case <-changed:
		}
	}
}

// DropHistory drops the history of changes that Feed returns.
func (s *RowStore) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.history = nil
	s.droppedVersion = s.version
}

// Rows returns the rows of a table in all parts, in the order of their keys.
func (s *RowStore) Rows(table string) []rows.Row {
	s.mu.Lock()
	defer s.mu.Unlock()

	var list []rows.Row

	for n, r := range s.rows {
		if n.table == table {
			list = append(list, r)
		}
	}

	slices.SortFunc(list, func(a, b rows.Row) int { return cmp.Compare(a.Key, b.Key) })

	return list
}
