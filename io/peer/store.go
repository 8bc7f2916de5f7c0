package peer

import (
	"context"
	"errors"
	"slices"
	"time"

	"trefoildeck/io/peer/peerpb"
	"trefoildeck/io/rows"
)

// Outcomes of a store call that a peer made. The outcome is empty for success.
const (
	outcomeConflict = "Conflict"
	// outcomeConflictOnly says that the rows in conflict are not known.
	outcomeConflictOnly = "ConflictOnly"
	outcomeUnknown      = "Unknown"
	outcomeHistoryLost  = "HistoryLost"
	outcomeRefused      = "Refused"
	outcomeInvalid      = "Invalid"
)

// EncodeTransaction encodes a transaction as a call.
func EncodeTransaction(t rows.Transaction) *peerpb.StoreCall {
	m := &peerpb.StoreTransaction{
		Part:   t.Part,
		Set:    encodeRows(t.Set),
		Remove: encodeRows(t.Remove),
	}

	for _, e := range t.Expect {
		m.Expect = append(m.Expect, &peerpb.StoreRow{
			Table:   e.Table,
			Key:     e.Key,
			Version: e.Version,
		})
	}

	return &peerpb.StoreCall{Transaction: m}
}

// ServeStoreCall calls the store on behalf of a peer.
func ServeStoreCall(ctx context.Context, s *rows.Store, m *peerpb.StoreCall) *peerpb.StoreAnswer {
	var (
		p   rows.Page
		err error
	)

	switch {
	case m.GetTransaction() != nil:
		p.Stamp, err = s.Commit(ctx, decodeTransaction(m.GetTransaction()))
	case m.GetRange() != nil:
		r := m.GetRange()
		p, err = s.Range(ctx, r.GetTable(), r.GetPart(), r.GetFrom(), r.GetTo())
		p = trimRange(p)
	case m.GetFeed() != nil:
		f := m.GetFeed()
		p, err = s.Feed(ctx, f.GetTable(), f.GetAfter(), time.Duration(f.GetWaitMS())*time.Millisecond)
		p = trimFeed(p)
	default:
		err = rows.ErrRefused
	}

	return encodeStoreAnswer(m.GetNumber(), p, err)
}

// maxAnswerBytes is the size, in bytes, up to which rows are packed into an answer. The rows of one
// transaction, to which the store sets a limit, fit.
const maxAnswerBytes = MaxFrame - 64<<10

// rowOverhead is more than the size, in bytes, of a row in an answer beside its texts and value.
const rowOverhead = 64

// countFitting returns how many of the first rows fit into one answer, at least one if there is any.
func countFitting(list []rows.Row) int {
	size := 0

	for i, r := range list {
		size += len(r.Table) + len(r.Part) + len(r.Key) + len(r.Value) + rowOverhead
		if i > 0 && size > maxAnswerBytes {
			return i
		}
	}

	return len(list)
}

// trimRange drops the last rows of a page of a range that don't fit into one answer. The reader
// goes on after the last row that it gets.
func trimRange(p rows.Page) rows.Page {
	if n := countFitting(p.Rows); n < len(p.Rows) {
		p.Rows, p.More = p.Rows[:n], true
	}

	return p
}

// trimFeed drops the last changes of a page of a feed that don't fit into one answer. The reader
// goes on after the version of the page, so that the changes of a transaction, which have one
// version, stay together.
func trimFeed(p rows.Page) rows.Page {
	n := countFitting(p.Rows)
	if n == len(p.Rows) {
		return p
	}

	last := p.Rows[n-1].Version
	if first := p.Rows[0].Version; last == p.Rows[n].Version && last != first {
		n = slices.IndexFunc(p.Rows, func(r rows.Row) bool { return r.Version == last })
		last = p.Rows[n-1].Version
	}

	if n = slices.IndexFunc(p.Rows, func(r rows.Row) bool { return r.Version > last }); n > 0 {
		p.Rows, p.Version = p.Rows[:n], last
	}

	return p
}

func encodeStoreAnswer(number uint64, p rows.Page, err error) *peerpb.StoreAnswer {
	m := &peerpb.StoreAnswer{
		Number:  number,
		Rows:    encodeRows(p.Rows),
		More:    p.More,
		Version: p.Version,
		ClockMS: p.Clock.Milliseconds(),
	}

	var conflict *rows.Conflict

	switch {
	case err == nil:
	case errors.As(err, &conflict):
		m.Outcome = outcomeConflict

		for _, r := range encodeRows(conflict.Rows) {
			// The values may exceed a frame, and the versions say what the conflict is.
			r.Value = nil
			m.Rows = append(m.Rows, r)
		}
	case errors.Is(err, rows.ErrConflict):
		m.Outcome = outcomeConflictOnly
	case errors.Is(err, rows.ErrUnknown):
		m.Outcome = outcomeUnknown
	case errors.Is(err, rows.ErrHistoryLost):
		m.Outcome = outcomeHistoryLost
	case errors.Is(err, rows.ErrInvalid):
		m.Outcome = outcomeInvalid
	case errors.Is(err, rows.ErrRefused):
		m.Outcome = outcomeRefused
	default:
		m.Outcome = outcomeUnknown
	}

	return m
}

// DecodeStoreAnswer decodes the result of a call: a page, or one of the errors of
// the rows package.
func DecodeStoreAnswer(m *peerpb.StoreAnswer) (rows.Page, error) {
	p := rows.Page{
		Stamp: rows.Stamp{
			Version: m.GetVersion(),
			Clock:   time.Duration(m.GetClockMS()) * time.Millisecond,
		},
		Rows: decodeRows(m.GetRows()),
		More: m.GetMore(),
	}

	switch m.GetOutcome() {
	case "":
		return p, nil
	case outcomeConflict:
		return rows.Page{}, &rows.Conflict{Rows: p.Rows}
	case outcomeConflictOnly:
		return rows.Page{}, rows.ErrConflict
	case outcomeHistoryLost:
		return rows.Page{}, rows.ErrHistoryLost
	case outcomeRefused:
		return rows.Page{}, rows.ErrRefused
	case outcomeInvalid:
		return rows.Page{}, rows.ErrInvalid
	default:
		return rows.Page{}, rows.ErrUnknown
	}
}

func decodeTransaction(m *peerpb.StoreTransaction) rows.Transaction {
	t := rows.Transaction{
		Part:   m.GetPart(),
		Set:    decodeRows(m.GetSet()),
		Remove: decodeRows(m.GetRemove()),
	}

	for _, e := range m.GetExpect() {
		t.Expect = append(t.Expect, rows.Expectation{
			Table:   e.GetTable(),
			Key:     e.GetKey(),
			Version: e.GetVersion(),
		})
	}

	return t
}

func encodeRows(list []rows.Row) []*peerpb.StoreRow {
	var encoded []*peerpb.StoreRow

	for _, r := range list {
		encoded = append(encoded, &peerpb.StoreRow{
			Table:   r.Table,
			Part:    r.Part,
			Key:     r.Key,
			Value:   r.Value,
			Version: r.Version,
			Deleted: r.Deleted,
		})
	}

	return encoded
}

// EncodeWrittenRow encodes the notice that a row was written.
func EncodeWrittenRow(r rows.Row) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Written{Written: encodeRows([]rows.Row{r})[0]}}
}

// DecodeWrittenRow decodes the notice that a row was written.
func DecodeWrittenRow(m *peerpb.StoreRow) rows.Row {
	return decodeRows([]*peerpb.StoreRow{m})[0]
}

func decodeRows(list []*peerpb.StoreRow) []rows.Row {
	var decoded []rows.Row

	for _, r := range list {
		decoded = append(decoded, rows.Row{
			Table:   r.GetTable(),
			Part:    r.GetPart(),
			Key:     r.GetKey(),
			Value:   r.GetValue(),
			Version: r.GetVersion(),
			Deleted: r.GetDeleted(),
		})
	}

	return decoded
}
