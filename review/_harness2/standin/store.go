package main

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the store's calls, from the platform's pages.
const (
	maxEntries   = 100
	maxCallBytes = 1 << 20
	maxPageRows  = 500
	maxPageBytes = 1 << 20
	rowBytes     = 65536
)

// row is a row in the store's HTTP interface.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// part has the rows of one part of a table, with their keys in order.
type part struct {
	keys []string
	rows map[string]row
}

// store is the platform's metadata store.
type store struct {
	began time.Time
	// txTime is how long a transaction takes.
	txTime time.Duration

	mu      sync.Mutex
	ver     int64
	parts   map[[2]string]*part
	history []row
	changed chan struct{}
}

func newStore() *store {
	return &store{
		began:   time.Now(),
		txTime:  5 * time.Millisecond,
		parts:   map[[2]string]*part{},
		changed: make(chan struct{}),
	}
}

// put writes a row as the operator does. The caller doesn't hold the lock.
func (s *store) put(r row) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.ver++
	s.set(r)
	s.wake()
}

// set writes a row in the current version.
func (s *store) set(r row) {
	r.Ver, r.Tombstone = s.ver, false
	name := [2]string{r.Table, r.Part}

	p := s.parts[name]
	if p == nil {
		p = &part{rows: map[string]row{}}
		s.parts[name] = p
	}

	if _, ok := p.rows[r.Key]; !ok {
		i, _ := slices.BinarySearch(p.keys, r.Key)
		p.keys = slices.Insert(p.keys, i, r.Key)
	}

	p.rows[r.Key] = r
	s.history = append(s.history, r)
}

func (s *store) remove(r row) {
	r.Ver, r.Tombstone, r.Value = s.ver, true, nil

	if p := s.parts[[2]string{r.Table, r.Part}]; p != nil {
		if _, ok := p.rows[r.Key]; ok {
			i, _ := slices.BinarySearch(p.keys, r.Key)
			p.keys = slices.Delete(p.keys, i, i+1)
			delete(p.rows, r.Key)
		}
	}

	s.history = append(s.history, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns a row, and whether it exists.
func (s *store) get(table, partName, key string) (row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	p := s.parts[[2]string{table, partName}]
	if p == nil {
		return row{}, false
	}

	r, ok := p.rows[key]

	return r, ok
}

// list returns the rows of a part in the order of their keys.
func (s *store) list(table, partName string) []row {
	s.mu.Lock()
	defer s.mu.Unlock()

	p := s.parts[[2]string{table, partName}]
	if p == nil {
		return nil
	}

	var rows []row
	for _, k := range p.keys {
		rows = append(rows, p.rows[k])
	}

	return rows
}

type transaction struct {
	Expect []row `json:"expected_rev"`
	Set    []row `json:"set_keys"`
	Remove []row `json:"remove"`
}

func (t *transaction) valid() bool {
	parts := map[string]bool{}

	for _, l := range [][]row{t.Expect, t.Set, t.Remove} {
		for _, r := range l {
			parts[r.Part] = true

			if len(r.Value) > rowBytes || len(r.Key) > 200 || r.Table == "op" || r.Table == "servers" {
				return false
			}
		}
	}

	return len(parts) <= 1 && len(t.Expect)+len(t.Set)+len(t.Remove) <= maxEntries
}

// apply applies a transaction. It returns false, with the rows that it expected, if it can't.
func (s *store) apply(t transaction) ([]row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	var found []row

	held := true

	for _, e := range t.Expect {
		var r row

		if p := s.parts[[2]string{e.Table, e.Part}]; p != nil {
			r = p.rows[e.Key]
		}

		if r.Ver > 0 {
			found = append(found, r)
		}

		held = held && r.Ver == e.Ver
	}

	if !held {
		return found, false
	}

	s.ver++

	for _, r := range t.Set {
		s.set(r)
	}

	for _, r := range t.Remove {
		s.remove(r)
	}

	s.wake()

	return nil, true
}

// ServeHTTP serves the store's calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()

	switch r.Method + " " + r.URL.Path {
	case "POST /trefoildeck/rows-tx":
		var t transaction
		if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCallBytes)).Decode(&t) != nil || !t.valid() {
			w.WriteHeader(http.StatusBadRequest)

			return
		}

		time.Sleep(s.txTime)

		found, ok := s.apply(t)
		if !ok {
			s.answer(w, http.StatusPreconditionFailed, found, false)

			return
		}

		s.answer(w, http.StatusOK, nil, false)
	case "GET /trefoildeck/rows-get":
		rows, more := s.page(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target"))
		s.answer(w, http.StatusOK, rows, more)
	case "GET /trefoildeck/rows-feed":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
		s.answer(w, http.StatusOK, s.feed(r.Context(), q.Get("table"), after, time.Duration(wait)*time.Millisecond), false)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) page(table, partName, from, to string) ([]row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	p := s.parts[[2]string{table, partName}]
	if p == nil {
		return nil, false
	}

	var (
		rows []row
		size int
	)

	i, _ := slices.BinarySearch(p.keys, from)

	for _, k := range p.keys[i:] {
		if to != "" && k >= to {
			break
		}

		r := p.rows[k]
		if size += len(r.Value); len(rows) == maxPageRows || size > maxPageBytes {
			return rows, true
		}

		rows = append(rows, r)
	}

	return rows, false
}

func (s *store) feed(ctx context.Context, table string, after int64, wait time.Duration) []row {
	limit := time.NewTimer(wait)
	defer limit.Stop()

	for {
		s.mu.Lock()
		i, _ := slices.BinarySearchFunc(s.history, after+1, func(r row, v int64) int { return int(r.Ver - v) })

		var rows []row

		for _, r := range s.history[i:] {
			if r.Table == table {
				rows = append(rows, r)
			}
		}

		changed := s.changed
		s.mu.Unlock()

		if len(rows) > 0 {
			return rows
		}

		select {
		case <-ctx.Done():
			return nil
		case <-limit.C:
			return nil
		case <-changed:
		}
	}
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	s.mu.Lock()
	body := map[string]any{"rows": append([]row{}, rows...), "has_more": more, "ver": s.ver, "now_ms": time.Since(s.began).Milliseconds() + 1000}
	s.mu.Unlock()

	if n := len(rows); n > 0 && rows[n-1].Ver > body["ver"].(int64) {
		body["ver"] = rows[n-1].Ver
	}

	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has gone.
	_ = json.NewEncoder(w).Encode(body)
}
