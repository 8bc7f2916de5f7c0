// Package emulator emulates the users' platform for tests: its store of rows, its
// workers and what they say of themselves, with the failures that the platform's
// pages describe. A Judge watches what the workers see and names what must not
// happen.
//
// # Usage
//
//	store := emulator.NewRowStore()
//	server := httptest.NewServer(emulator.StoreHandler(store))
//	worker := emulator.NewWorker(judge, announcement)
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

// RowStore is a stand-in for the platform's store of rows: one version counter,
// conditional transactions, a feed with a bounded history.
type RowStore struct {
	// LoseAnswer decides whether the answer of a transaction is lost, and how much
	// later it is carried out then, if its expectations still hold.
	LoseAnswer func(rows.Transaction) (lost bool, late time.Duration)
	// Refuse decides whether a call is refused.
	Refuse func() bool

	mu      sync.Mutex
	version int64
	began   time.Time
	rows    map[rowName]rows.Row
	history []rows.Row
	// forgotten is the version up to which the history is gone.
	forgotten int64
	changed   chan struct{}
}

type rowName struct {
	table, part, key string
}

// NewRowStore returns an empty store.
func NewRowStore() *RowStore {
	return &RowStore{
		LoseAnswer: func(rows.Transaction) (bool, time.Duration) { return false, 0 },
		Refuse:     func() bool { return false },
		began:      time.Now(),
		rows:       map[rowName]rows.Row{},
		changed:    make(chan struct{}),
	}
}

// Store returns the store as the product sees it.
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
		Clock:   time.Since(s.began) + time.Millisecond,
	}
}

// Put writes a row as the operator does, whom the store never turns away.
func (s *RowStore) Put(r rows.Row) {
	// Without expectations there is nothing to refuse.
	_, _ = s.apply(rows.Transaction{Set: []rows.Row{r}})
}

// Commit applies a transaction, or refuses it, or loses its answer.
func (s *RowStore) Commit(_ context.Context, t rows.Transaction) (rows.Stamp, error) {
	if s.Refuse() {
		return rows.Stamp{}, rows.ErrRefused
	}

	if lost, late := s.LoseAnswer(t); lost {
		time.AfterFunc(late, func() {
			// Nobody hears of the outcome.
			_, _ = s.apply(t)
		})

		return rows.Stamp{}, rows.ErrUnknown
	}

	return s.apply(t)
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

// Range reads rows of a part in the order of their keys.
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

	if len(p.Rows) > maxPageRows {
		p.Rows, p.More = p.Rows[:maxPageRows], true
	}

	return p, nil
}

// maxPageRows is the number of rows in one answer of the platform's store.
const maxPageRows = 500

// Feed waits for changes of a table after a version.
func (s *RowStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (rows.Page, error) {
	limit := time.NewTimer(wait)
	defer limit.Stop()

	for {
		if s.Refuse() {
			return rows.Page{}, rows.ErrRefused
		}

		s.mu.Lock()
		p, changed := rows.Page{Stamp: s.stamp()}, s.changed
		gone := after < s.forgotten

		for _, r := range s.history {
			if r.Table == table && r.Version > after {
				p.Rows = append(p.Rows, r)
			}
		}
		s.mu.Unlock()

		if gone {
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

// DropHistory drops the history.
func (s *RowStore) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.history = nil
	s.forgotten = s.version
}

// Rows returns the rows of a table, whatever their part.
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
