package peer

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"trefoildeck/io/peer/peerpb"
	"trefoildeck/io/rows"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// TestStoreErrors checks that the error of a relayed call is the one that the store gave.
// A conflict says that nothing was written, also if its rows could not be decoded.
func TestStoreErrors(t *testing.T) {
	for name, err := range map[string]error{
		"Conflict":     &rows.Conflict{Rows: []rows.Row{{Key: "a", Version: 3}}},
		"ConflictOnly": fmt.Errorf("commit: %w", rows.ErrConflict),
		"Unknown":      rows.ErrUnknown,
		"Refused":      rows.ErrRefused,
		"HistoryLost":  rows.ErrHistoryLost,
		"Invalid":      rows.ErrInvalid,
	} {
		t.Run(name, func(t *testing.T) {
			_, got := DecodeStoreAnswer(encodeStoreAnswer(1, rows.Page{}, err))

			for _, known := range []error{rows.ErrConflict, rows.ErrUnknown, rows.ErrRefused, rows.ErrHistoryLost, rows.ErrInvalid} {
				assert.Equal(t, errors.Is(got, known), errors.Is(err, known), "%v: %v", known, got)
			}

			var withRows *rows.Conflict
			assert.Equal(t, errors.As(got, &withRows), errors.As(err, &withRows))
		})
	}
}

// TestOtherStoreErrorIsUnknown guards against a relayed write that counts as refused although nobody
// said that it had no effect.
func TestOtherStoreErrorIsUnknown(t *testing.T) {
	_, err := DecodeStoreAnswer(encodeStoreAnswer(1, rows.Page{}, errors.ErrUnsupported))

	assert.ErrorIs(t, err, rows.ErrUnknown)
	assert.Assert(t, !errors.Is(err, rows.ErrRefused))
}

// describeRows describes rows in a form that is compared fast.
func describeRows(list []rows.Row) []string {
	var described []string

	for _, r := range list {
		described = append(described, fmt.Sprintf("%s/%s/%s, version %d, %d bytes", r.Table, r.Part, r.Key, r.Version, len(r.Value)))
	}

	return described
}

// TestRelayedPagesFit checks that the pages of a relayed read or feed fit into frames and that the
// reader gets all rows: an answer above the limit ended the session with the peer that relayed it.
func TestRelayedPagesFit(t *testing.T) {
	tests := map[string]struct{ rows, perTransaction, valueBytes int }{
		"Few":             {3, 1, 10},
		"Large":           {60, 1, 65_000},
		"OneTransaction":  {15, 15, 65_000},
		"Transactions":    {100, 10, 65_000},
		"LastTransaction": {31, 15, 65_000},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var all []rows.Row
			for i := range c.rows {
				all = append(all, rows.Row{
					Table:   "job",
					Part:    "jobs-1",
					Key:     fmt.Sprintf("%04d", i),
					Value:   make([]byte, c.valueBytes),
					Version: int64(1 + i/c.perTransaction),
				})
			}

			newest := all[len(all)-1].Version
			store := &rows.Store{
				Range: func(_ context.Context, _, _, from, _ string) (rows.Page, error) {
					p := rows.Page{Stamp: rows.Stamp{Version: newest}}

					for _, r := range all {
						if r.Key >= from {
							p.Rows = append(p.Rows, r)
						}
					}

					return p, nil
				},
				Feed: func(_ context.Context, _ string, after int64, _ time.Duration) (rows.Page, error) {
					p := rows.Page{Stamp: rows.Stamp{Version: newest}}

					for _, r := range all {
						if r.Version > after {
							p.Rows = append(p.Rows, r)
						}
					}

					return p, nil
				},
			}
			relay := func(m *peerpb.StoreCall) (rows.Page, error) {
				a := ServeStoreCall(t.Context(), store, m)
				f := &peerpb.Frame{Body: &peerpb.Frame_StoreAnswer{StoreAnswer: a}}
				assert.Assert(t, proto.Size(f) <= MaxFrame, "%d bytes", proto.Size(f))

				return DecodeStoreAnswer(a)
			}
			relayed := &rows.Store{
				Range: func(_ context.Context, _, _, from, _ string) (rows.Page, error) {
					return relay(&peerpb.StoreCall{Range: &peerpb.StoreRange{From: from}})
				},
			}

			page, err := relayed.All(t.Context(), "job", "jobs-1")
			assert.NilError(t, err)
			assert.DeepEqual(t, describeRows(page.Rows), describeRows(all))

			var changes []rows.Row

			for after := int64(0); after < newest; {
				p, err := relay(&peerpb.StoreCall{Feed: &peerpb.StoreFeed{After: after}})
				assert.NilError(t, err)
				assert.Assert(t, p.Version > after)

				changes = append(changes, p.Rows...)
				after = p.Version
			}

			assert.DeepEqual(t, describeRows(changes), describeRows(all))
		})
	}
}

// TestRelayedConflictFits checks that the answer of a transaction in conflict fits into a frame
// and has the versions of all rows, which may be large.
func TestRelayedConflictFits(t *testing.T) {
	var list []rows.Row
	for i := range 45 {
		list = append(list, rows.Row{
			Key:     fmt.Sprint(i),
			Value:   make([]byte, 65_000),
			Version: int64(i + 1),
		})
	}

	a := encodeStoreAnswer(1, rows.Page{}, &rows.Conflict{Rows: list})
	assert.Assert(t, proto.Size(a) < MaxFrame, "%d bytes", proto.Size(a))

	_, err := DecodeStoreAnswer(a)

	var conflict *rows.Conflict
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, len(conflict.Rows), len(list))

	for i, r := range conflict.Rows {
		assert.Equal(t, r.Version, list[i].Version)
	}
}
