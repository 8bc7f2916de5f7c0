// Package table is the client of the platform's transactional table service.
//
// The protocol is the DynamoDB JSON API, called through the AWS SDK. The rest of
// the system uses only Table, a struct of functions, so that another table service
// or a fake in a test has to implement only three functions.
//
// # Usage
//
//	t := table.Dial(table.Options{URL: url, Region: region, Name: "trefoildeck"})
//	rows, err := t.Get(ctx, []table.Key{{Partition: "Resource", Sort: "Service booking"}})
//	err = t.Commit(ctx, []table.Write{{Key: key, Expect: rows[0].Version, Version: 7, Body: body}})
//	if errors.Is(err, table.ErrConflict) {
//		// nothing was written: a row was not at the expected version
//	}
package table

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrConflict says that a row was not at the expected version and that nothing was
// written.
var ErrConflict = eris.New("a row is not at the expected version")

// ErrUnknown says that a transaction is in doubt: it may or may not be committed.
var ErrUnknown = eris.New("the table did not say whether it wrote")

// ErrUnavailable says that a read was not answered.
var ErrUnavailable = eris.New("the table did not answer")

// MaxTransaction is the largest number of writes in one transaction.
const MaxTransaction = 100

// Key identifies a row. Rows of a partition are ordered by Sort.
type Key struct {
	Partition string
	Sort      string
}

// Row is a stored row. WriteID identifies the transaction that wrote it.
type Row struct {
	Key     Key
	Version int64
	WriteID string
	Body    []byte
}

// Action says what a Write does once its condition holds.
type Action int

// The actions.
const (
	ActionPut Action = iota
	ActionDelete
	ActionCheck
)

// Write is one conditional write of a transaction. Expect is the version that the
// row must have; zero means that there must be no row. Version is the new version.
type Write struct {
	Key     Key
	Action  Action
	Expect  int64
	Version int64
	Body    []byte
	// ExpireAt is when the row expires; the table removes it at some later time.
	// Zero means that it does not expire.
	ExpireAt time.Time
}

// Table is a table of the service. Reads are strongly consistent.
type Table struct {
	// Get returns those of the rows that exist, in any order.
	Get func(ctx context.Context, keys []Key) ([]Row, error)
	// Query returns up to limit rows of a partition with Sort above after, in
	// order.
	Query func(ctx context.Context, partition, after string, limit int32) ([]Row, error)
	// Commit applies all writes, at most MaxTransaction, or none. If the answer is
	// lost, one of the written rows is read back to find out whether the transaction
	// was committed; the error is ErrUnknown if that doesn't show it either.
	Commit func(ctx context.Context, writes []Write) error
}

// pageSize is the largest number of rows of one query.
const pageSize = 500

// All returns all rows of a partition in order.
func (t *Table) All(ctx context.Context, partition string) ([]Row, error) {
	var rows []Row

	after := ""

	for {
		page, err := t.Query(ctx, partition, after, pageSize)
		if err != nil {
			return nil, err
		}

		if len(page) == 0 {
			return rows, nil
		}

		rows = append(rows, page...)
		after = page[len(page)-1].Key.Sort
	}
}
