// Package standin provides in-memory stand-ins for the services that trefoildeck
// depends on: the table service, the object store, worker runtimes and service
// endpoints. The demo, the standin command and the tests use them. Tests inject
// faults into them and check the requests and events that they record.
//
// # Usage
//
//	t := standin.NewTable()
//	server := httptest.NewServer(t)
//	t.SetFault(standin.Fault{LoseAnswers: true})
package standin

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"trefoildeck/io/table"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// Fault is a fault that is injected into a stand-in; the zero value is none.
// Control clients encode it under the names of its fields.
type Fault struct {
	// Down drops the connection of every request before it has an effect.
	Down bool
	// LoseAnswers drops the response of a write after it has taken effect. An object
	// store ignores it.
	LoseAnswers bool
	// Delay is the time that every request waits before it is handled.
	Delay time.Duration
}

// Counts has the number of reads, transactions and writes that a table has served.
// A read of several keys counts as one for each key, a query as one.
type Counts struct {
	Reads        int64
	Transactions int64
	Writes       int64
}

// Table is an in-memory table service. It implements the part of the DynamoDB
// protocol that package io/table uses, and answers other requests with a
// ValidationException.
type Table struct {
	mu   sync.Mutex
	rows map[table.Key]table.Row
	// sortKeys has the sort keys of each partition in ascending order.
	sortKeys map[string][]string
	// tokens has a digest of the writes of each client request token.
	tokens map[string][sha256.Size]byte
	fault  Fault
	counts Counts
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		rows:     map[table.Key]table.Row{},
		sortKeys: map[string][]string{},
		tokens:   map[string][sha256.Size]byte{},
	}
}

// SetFault sets the fault that applies to later requests.
func (t *Table) SetFault(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.fault = f
}

// Counts returns the number of operations served so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.counts
}

// Rows returns copies of the rows of a partition in the order of their sort keys.
func (t *Table) Rows(partition string) []table.Row {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.rowsAfter(partition, "", len(t.rows))
}

// Client returns an in-process client of the table, without a network. Injected
// faults apply to it too.
func (t *Table) Client() *table.Table {
	return &table.Table{
		Get:    t.directGet,
		Query:  t.directQuery,
		Commit: t.directCommit,
	}
}

func (t *Table) directGet(ctx context.Context, keys []table.Key) ([]table.Row, error) {
	if err := t.applyFault(ctx); err != nil {
		return nil, fmt.Errorf("get rows: %w: %w", table.ErrUnavailable, err)
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	return t.get(keys), nil
}

func (t *Table) directQuery(ctx context.Context, partition, after string, limit int32) ([]table.Row, error) {
	if err := t.applyFault(ctx); err != nil {
		return nil, fmt.Errorf("query: %w: %w", table.ErrUnavailable, err)
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	t.counts.Reads++

	return t.rowsAfter(partition, after, int(limit)), nil
}

func (t *Table) directCommit(ctx context.Context, writes []table.Write) error {
	if err := t.applyFault(ctx); err != nil {
		return fmt.Errorf("commit: %w: %w", table.ErrUnknown, err)
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	if _, ok := t.commit(writes, uuid.NewString()); !ok {
		return fmt.Errorf("commit: %w", table.ErrConflict)
	}

	if t.fault.LoseAnswers {
		return fmt.Errorf("commit: %w", table.ErrUnknown)
	}

	return nil
}

var errDown = eris.New("the stand-in is down")

// applyFault waits for the delay of the injected fault and returns an error if the
// table is down or ctx is done.
func (t *Table) applyFault(ctx context.Context) error {
	t.mu.Lock()
	f := t.fault
	t.mu.Unlock()

	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}

	if f.Down {
		return errDown
	}

	return nil
}

// get returns the rows that exist among keys. The caller holds t.mu.
func (t *Table) get(keys []table.Key) []table.Row {
	t.counts.Reads += int64(len(keys))

	var found []table.Row

	for _, k := range keys {
		if r, ok := t.rows[k]; ok {
			found = append(found, r)
		}
	}

	return found
}

// rowsAfter returns up to limit rows of a partition whose sort keys are greater
// than after. The caller holds t.mu.
func (t *Table) rowsAfter(partition, after string, limit int) []table.Row {
	names := t.sortKeys[partition]

	i, found := slices.BinarySearch(names, after)
	if found {
		i++
	}

	var list []table.Row
	for ; i < len(names) && len(list) < limit; i++ {
		list = append(list, t.rows[table.Key{
			Partition: partition,
			Sort:      names[i],
		}])
	}

	return list
}

// commit applies all writes and returns true, or applies none and returns for each
// write whether its condition failed. The caller holds t.mu.
func (t *Table) commit(writes []table.Write, id string) ([]bool, bool) {
	t.counts.Transactions++
	t.counts.Writes += int64(len(writes))

	failed := make([]bool, len(writes))
	ok := true

	for i, w := range writes {
		if t.rows[w.Key].Version != w.Expect {
			failed[i] = true
			ok = false
		}
	}

	if !ok {
		return failed, false
	}

	for _, w := range writes {
		t.apply(w, id)
	}

	return nil, true
}

func (t *Table) apply(w table.Write, id string) {
	names := t.sortKeys[w.Key.Partition]
	i, found := slices.BinarySearch(names, w.Key.Sort)

	switch w.Action {
	case table.ActionCheck:
	case table.ActionDelete:
		delete(t.rows, w.Key)

		if found {
			t.sortKeys[w.Key.Partition] = slices.Delete(names, i, i+1)
		}
	case table.ActionPut:
		t.rows[w.Key] = table.Row{
			Key:     w.Key,
			Version: w.Version,
			WriteID: id,
			Body:    w.Body,
		}

		if !found {
			t.sortKeys[w.Key.Partition] = slices.Insert(names, i, w.Key.Sort)
		}
	}
}

// attribute is an attribute value of the DynamoDB protocol.
type attribute struct {
	S string `json:",omitempty"`
	N string `json:",omitempty"`
	B []byte `json:",omitempty"`
}

type item map[string]attribute

type writeRequest struct {
	TableName                 string
	Item                      item
	Key                       item
	ConditionExpression       string
	ExpressionAttributeValues item
}

type transactItem struct {
	Put            *writeRequest
	Delete         *writeRequest
	ConditionCheck *writeRequest
}

// ServeHTTP implements http.Handler.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := t.applyFault(r.Context()); err != nil {
		panic(http.ErrAbortHandler)
	}

	var err error

	switch target := r.Header.Get("X-Amz-Target"); target {
	case "DynamoDB_20120810.BatchGetItem":
		err = t.serveGet(w, r)
	case "DynamoDB_20120810.Query":
		err = t.serveQuery(w, r)
	case "DynamoDB_20120810.TransactWriteItems":
		err = t.serveCommit(w, r)
	default:
		err = eris.Errorf("the stand-in does not serve %q", target)
	}

	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{
			"__type":  "com.amazon.coral.validate#ValidationException",
			"message": err.Error(),
		})
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(status)
	// The client reports a truncated response itself.
	_ = json.NewEncoder(w).Encode(body)
}

func decode(r *http.Request, into any) error {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		return fmt.Errorf("decode request: %w", err)
	}

	return nil
}

func (t *Table) serveGet(w http.ResponseWriter, r *http.Request) error {
	var request struct {
		RequestItems map[string]struct{ Keys []item }
	}
	if err := decode(r, &request); err != nil {
		return err
	}

	responses := map[string][]item{}

	for name, group := range request.RequestItems {
		var keys []table.Key
		for _, k := range group.Keys {
			keys = append(keys, keyOf(k))
		}

		t.mu.Lock()
		found := t.get(keys)
		t.mu.Unlock()

		responses[name] = items(found)
	}

	writeJSON(w, http.StatusOK, map[string]any{"Responses": responses})

	return nil
}

func (t *Table) serveQuery(w http.ResponseWriter, r *http.Request) error {
	var request struct {
		KeyConditionExpression    string
		ExpressionAttributeValues item
		Limit                     int
	}
	if err := decode(r, &request); err != nil {
		return err
	}

	if request.KeyConditionExpression != "PartitionKey = :p AND SortKey > :s" {
		return eris.Errorf("unsupported key condition %q", request.KeyConditionExpression)
	}

	t.mu.Lock()
	t.counts.Reads++
	found := t.rowsAfter(request.ExpressionAttributeValues[":p"].S, request.ExpressionAttributeValues[":s"].S, request.Limit)
	t.mu.Unlock()

	writeJSON(w, http.StatusOK, map[string]any{
		"Items": items(found),
		"Count": len(found),
	})

	return nil
}

func (t *Table) serveCommit(w http.ResponseWriter, r *http.Request) error {
	var request struct {
		ClientRequestToken string
		TransactItems      []transactItem
	}
	if err := decode(r, &request); err != nil {
		return err
	}

	var writes []table.Write

	for _, i := range request.TransactItems {
		write, err := writeOf(i)
		if err != nil {
			return err
		}

		writes = append(writes, write)
	}

	if len(writes) == 0 || len(writes) > table.MaxTransaction {
		return eris.Errorf("%d writes in a transaction", len(writes))
	}

	t.mu.Lock()
	failed, loseAnswer, err := t.commitOnce(writes, request.ClientRequestToken, writeID(request.TransactItems))
	t.mu.Unlock()

	switch {
	case err != nil:
		return err
	case failed != nil:
		writeJSON(w, http.StatusBadRequest, transactionCanceled(failed))
	case loseAnswer:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, http.StatusOK, map[string]any{})
	}

	return nil
}

// commitOnce applies a transaction unless one with the same token was applied. It
// returns the conditions that failed, if any, and whether the response is to be
// lost. A token that is reused with other writes is an error. The caller holds t.mu.
func (t *Table) commitOnce(writes []table.Write, token, id string) (failed []bool, loseAnswer bool, err error) {
	content, err := json.Marshal(writes)
	if err != nil {
		return nil, false, fmt.Errorf("encode writes: %w", err)
	}

	sum := sha256.Sum256(content)

	if before, ok := t.tokens[token]; ok && token != "" {
		if before != sum {
			return nil, false, errors.New("IdempotentParameterMismatchException")
		}

		return nil, t.fault.LoseAnswers, nil
	}

	failed, ok := t.commit(writes, id)
	if ok {
		t.tokens[token] = sum
	}

	return failed, t.fault.LoseAnswers, nil
}

// transactionCanceled returns the body of a TransactionCanceledException.
func transactionCanceled(failed []bool) map[string]any {
	reasons := make([]map[string]string, len(failed))

	for i, f := range failed {
		code := "None"
		if f {
			code = "ConditionalCheckFailed"
		}

		reasons[i] = map[string]string{"Code": code}
	}

	return map[string]any{
		"__type":              "com.amazonaws.dynamodb.v20120810#TransactionCanceledException",
		"message":             "Transaction cancelled",
		"CancellationReasons": reasons,
	}
}

func keyOf(i item) table.Key {
	return table.Key{
		Partition: i["PartitionKey"].S,
		Sort:      i["SortKey"].S,
	}
}

// writeID returns the write ID of the first put, or nothing if there is none.
func writeID(list []transactItem) string {
	for _, i := range list {
		if i.Put != nil {
			return i.Put.Item["WriteID"].S
		}
	}

	return ""
}

func writeOf(i transactItem) (table.Write, error) {
	w := table.Write{}

	var r *writeRequest

	switch {
	case i.Put != nil:
		r = i.Put
		w.Key = keyOf(r.Item)
		w.Body = r.Item["Body"].B

		version, err := strconv.ParseInt(r.Item["Version"].N, 10, 64)
		if err != nil {
			return w, fmt.Errorf("read version: %w", err)
		}

		w.Version = version
	case i.Delete != nil:
		r = i.Delete
		w.Action = table.ActionDelete
		w.Key = keyOf(r.Key)
	case i.ConditionCheck != nil:
		r = i.ConditionCheck
		w.Action = table.ActionCheck
		w.Key = keyOf(r.Key)
	default:
		return w, errors.New("an empty transaction item")
	}

	expect, err := expectOf(r)
	w.Expect = expect

	return w, err
}

func expectOf(r *writeRequest) (int64, error) {
	switch r.ConditionExpression {
	case "attribute_not_exists(PartitionKey)":
		return 0, nil
	case "Version = :v":
		n, err := strconv.ParseInt(r.ExpressionAttributeValues[":v"].N, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("read expected version: %w", err)
		}

		return n, nil
	default:
		return 0, eris.Errorf("unsupported condition %q", r.ConditionExpression)
	}
}

func items(list []table.Row) []item {
	out := make([]item, 0, len(list))

	for _, r := range list {
		out = append(out, item{
			"PartitionKey": {S: r.Key.Partition},
			"SortKey":      {S: r.Key.Sort},
			"Version":      {N: strconv.FormatInt(r.Version, 10)},
			"WriteID":      {S: r.WriteID},
			"Body":         {B: r.Body},
		})
	}

	return out
}
