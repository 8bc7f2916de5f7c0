// Package rows is the interface to the platform's store: versioned rows in tables,
// conditional transactions over one part (partition) of a table, and a feed of
// changes. It is implemented by the client of the store's protocol, by an
// in-memory store in tests and, for a process that the store does not answer, by
// calls through a peer.
//
// # Usage
//
//	stamp, err := store.Commit(ctx, rows.Transaction{
//		Part:   "jobs",
//		Expect: []rows.Expectation{{Table: "job", Key: id, Version: 0}},
//		Set:    []rows.Row{{Table: "job", Key: id, Value: record}},
//	})
//	if errors.Is(err, rows.ErrConflict) { … }
package rows

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a call.
var (
	// ErrConflict says that a row did not have the expected version. Nothing was
	// written.
	ErrConflict = eris.New("a row has another version")
	// ErrRefused says that the store did nothing, for example because it is
	// overloaded or limits the rate of calls.
	ErrRefused = eris.New("the store refused")
	// ErrInvalid says that the store did nothing and will never accept the transaction, for
	// example because a value is too large.
	ErrInvalid = eris.New("the store rejects the transaction")
	// ErrUnknown says that a transaction is in doubt: it may have been applied, or
	// may still be applied later.
	ErrUnknown = eris.New("the store's answer was lost")
	// ErrHistoryLost says that the feed no longer has the changes after the
	// requested version.
	ErrHistoryLost = eris.New("the store's history is gone")
)

// Conflict is the error of a transaction of which a row did not have the expected
// version.
type Conflict struct {
	// Rows has the current versions of those expected rows that exist, maybe without the
	// values.
	Rows []Row
}

// Error implements error.
func (c *Conflict) Error() string { return ErrConflict.Error() }

// Is makes errors.Is match ErrConflict.
func (c *Conflict) Is(target error) bool { return target == ErrConflict }

// Row is a row of a table. Part is its partition: a transaction covers rows of a
// single part.
type Row struct {
	Table string
	Part  string
	Key   string
	Value []byte
	// Version is only set on rows that were read.
	Version int64
	// Deleted marks the deletion of a row in a feed.
	Deleted bool
}

// Expectation is the version that a row must have for a transaction to be applied;
// 0 means that the row must not exist.
type Expectation struct {
	Table   string
	Key     string
	Version int64
}

// Transaction is applied as a whole or not at all. All its rows are in Part.
type Transaction struct {
	Part   string
	Expect []Expectation
	Set    []Row
	Remove []Row
}

// Stamp is the state of the store when it answered.
type Stamp struct {
	// Version is the newest version of any row.
	Version int64
	// Clock is the store's monotonic clock.
	Clock time.Duration
}

// Page is an answer with rows, possibly only the first of the requested ones.
type Page struct {
	Stamp
	Rows []Row
	// More says that there are more rows after the last one.
	More bool
}

// Store is a client of the store. All functions may be called concurrently.
type Store struct {
	// Commit applies a transaction. Its errors are ErrConflict, ErrRefused, ErrInvalid or
	// ErrUnknown.
	Commit func(context.Context, Transaction) (Stamp, error)
	// Range reads the rows of a part in the order of their keys: those with keys of
	// at least from and below to. An empty from or to sets no bound.
	Range func(ctx context.Context, table, part, from, to string) (Page, error)
	// Feed waits for changes of a table after a version, at most for the time wait.
	// Its errors include ErrHistoryLost.
	Feed func(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

// All reads all rows of a part. The stamp is that of the first page, so that a feed
// that continues from it misses no change.
func (s *Store) All(ctx context.Context, table, part string) (Page, error) {
	var all Page

	from := ""

	for {
		p, err := s.Range(ctx, table, part, from, "")
		if err != nil {
			return Page{}, err
		}

		if from == "" {
			all.Stamp = p.Stamp
		}

		all.Rows = append(all.Rows, p.Rows...)

		if !p.More || len(p.Rows) == 0 {
			return all, nil
		}

		// The last key followed by a zero byte is the next possible key in byte
		// order.
		from = p.Rows[len(p.Rows)-1].Key + "\x00"
	}
}
