package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"trefoildeck/io/rows"
)

// wireRow is the JSON form of a row in the store's HTTP interface.
type wireRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// wireTransaction is the JSON form of a transaction.
type wireTransaction struct {
	Expect []wireRow `json:"expected_rev"`
	Set    []wireRow `json:"set_keys"`
	Remove []wireRow `json:"remove"`
}

// StoreHandler serves a store over the HTTP interface of the platform's row store.
func StoreHandler(s *RowStore) http.Handler {
	mux := http.NewServeMux()

	mux.HandleFunc("POST /trefoildeck/rows-tx", func(w http.ResponseWriter, r *http.Request) {
		var t wireTransaction

		body := http.MaxBytesReader(w, r.Body, maxTransactionBytes)
		if json.NewDecoder(body).Decode(&t) != nil || len(t.Expect)+len(t.Set)+len(t.Remove) > maxTransactionEntries {
			w.WriteHeader(http.StatusBadRequest)

			return
		}

		p, ok := t.decode()
		if !ok {
			w.WriteHeader(http.StatusBadRequest)

			return
		}

		stamp, err := s.Commit(r.Context(), p)
		writeStoreResponse(w, rows.Page{Stamp: stamp}, err)
	})
	mux.HandleFunc("GET /trefoildeck/rows-get", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		p, err := s.Range(r.Context(), q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target"))
		writeStoreResponse(w, p, err)
	})
	mux.HandleFunc("GET /trefoildeck/rows-feed", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()

		p, err := s.Feed(ctx, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
		writeStoreResponse(w, p, err)
	})

	return mux
}

// maxTransactionEntries is the largest number of expectations, set and removed rows
// in one transaction, and maxTransactionBytes the largest size of its call.
const (
	maxTransactionEntries = 100
	maxTransactionBytes   = 1 << 20
)

// decode converts the transaction, and returns false if its rows are in several
// parts.
func (t wireTransaction) decode() (rows.Transaction, bool) {
	var p rows.Transaction

	parts := map[string]bool{}

	for _, e := range t.Expect {
		parts[e.Part] = true
		p.Expect = append(p.Expect, rows.Expectation{
			Table:   e.Table,
			Key:     e.Key,
			Version: e.Ver,
		})
	}

	for _, r := range t.Set {
		parts[r.Part] = true
		p.Set = append(p.Set, rows.Row{
			Table: r.Table,
			Key:   r.Key,
			Value: r.Value,
		})
	}

	for _, r := range t.Remove {
		parts[r.Part] = true
		p.Remove = append(p.Remove, rows.Row{
			Table: r.Table,
			Key:   r.Key,
		})
	}

	for part := range parts {
		p.Part = part
	}

	return p, len(parts) <= 1
}

// writeStoreResponse writes a page, or the status that stands for an error. After
// rows.ErrUnknown it closes the connection instead.
func writeStoreResponse(w http.ResponseWriter, p rows.Page, err error) {
	var conflict *rows.Conflict

	status := http.StatusOK

	switch {
	case errors.As(err, &conflict):
		status, p.Rows = http.StatusPreconditionFailed, conflict.Rows
	case errors.Is(err, rows.ErrHistoryLost):
		status = http.StatusGone
	case errors.Is(err, rows.ErrInvalid):
		status = http.StatusBadRequest
	case errors.Is(err, rows.ErrUnknown):
		// The connection is closed without a response.
		panic(http.ErrAbortHandler)
	case err != nil:
		status = http.StatusServiceUnavailable
	}

	body := struct {
		Rows    []wireRow `json:"rows"`
		HasMore bool      `json:"has_more"`
		Ver     int64     `json:"ver"`
		NowMS   int64     `json:"now_ms"`
	}{
		HasMore: p.More,
		Ver:     p.Version,
		NowMS:   p.Clock.Milliseconds(),
	}

	for _, r := range p.Rows {
		body.Rows = append(body.Rows, wireRow{
			Table:     r.Table,
			Part:      r.Part,
			Key:       r.Key,
			Value:     r.Value,
			Ver:       r.Version,
			Tombstone: r.Deleted,
		})
	}

	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
