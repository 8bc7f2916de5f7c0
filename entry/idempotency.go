package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"trefoildeck/io/caller"
	"trefoildeck/io/table"

	"go.uber.org/zap"
)

const (
	// keyRetention is how long an idempotency key is kept.
	keyRetention = 24 * time.Hour
	// minKeyPoll is the first interval at which a repeat polls for the answer of
	// the first request; it doubles up to maxKeyPoll.
	minKeyPoll = 50 * time.Millisecond
	maxKeyPoll = time.Second
	// keyRecordTimeout bounds the write of an answer to the key's row.
	keyRecordTimeout = 10 * time.Second
)

// Versions of an idempotency key's row.
const (
	keyVersionClaimed  = 1
	keyVersionAnswered = 2
)

// keyRow is the body of an idempotency key's row.
type keyRow struct {
	Fingerprint string
	Status      int         `json:",omitempty"`
	Header      http.Header `json:",omitempty"`
	Body        []byte      `json:",omitempty"`
}

// claim records an idempotency key before its request runs. The request that
// records it first runs; repeats get its stored answer, or an error where that
// is not known.
func (e *Entry) claim(ctx context.Context, service, key, fingerprint string) (caller.Claim, error) {
	if !e.keyLimiter.Allow() {
		return caller.Claim{}, fmt.Errorf("more than KeyRate idempotency keys a second: %w", caller.ErrKeyUnavailable)
	}

	sum := sha256.Sum256([]byte(key))
	rowKey := table.IdempotencyRowKey(service, hex.EncodeToString(sum[:]))

	write, err := e.keyWrite(rowKey, 0, keyRow{Fingerprint: fingerprint})
	if err != nil {
		return caller.Claim{}, err
	}

	err = e.table.Commit(ctx, []table.Write{write})

	switch {
	case err == nil:
		return e.newClaim(rowKey, fingerprint), nil
	case errors.Is(err, table.ErrConflict):
		return e.awaitAnswer(ctx, rowKey, fingerprint)
	default:
		// The row may have been written although this request does not run. A
		// repeat is then told that the outcome is unknown, which is safe.
		return caller.Claim{}, fmt.Errorf("record idempotency key: %w: %w", caller.ErrKeyUnavailable, err)
	}
}

func (e *Entry) keyWrite(k table.Key, version int64, row keyRow) (table.Write, error) {
	w, err := table.PutJSON(k, version, row)
	w.ExpireAt = time.Now().Add(keyRetention)

	return w, err
}

func (e *Entry) newClaim(k table.Key, fingerprint string) caller.Claim {
	return caller.Claim{
		Complete: func(s caller.StoredAnswer) {
			w, err := e.keyWrite(k, keyVersionClaimed, keyRow{
				Fingerprint: fingerprint,
				Status:      s.Status,
				Header:      s.Header,
				Body:        s.Body,
			})
			if err != nil {
				e.log.Error("AnswerNotEncoded", zap.Error(err))

				return
			}

			e.commitKeyRow(w)
		},
		Release: func() {
			e.commitKeyRow(table.Write{
				Key:    k,
				Action: table.ActionDelete,
				Expect: keyVersionClaimed,
			})
		},
	}
}

// commitKeyRow records the outcome of a claimed request. If that fails, a repeat
// is told that the outcome is unknown.
func (e *Entry) commitKeyRow(w table.Write) {
	ctx, cancel := context.WithTimeout(context.Background(), keyRecordTimeout)
	defer cancel()

	if err := e.table.Commit(ctx, []table.Write{w}); err != nil {
		e.log.Warn("IdempotencyKeyNotUpdated", zap.Error(err))
	}
}

// awaitAnswer waits for the stored answer of the request that claimed the key.
func (e *Entry) awaitAnswer(ctx context.Context, k table.Key, fingerprint string) (caller.Claim, error) {
	pause := minKeyPoll

	for {
		rows, err := e.table.Get(ctx, []table.Key{k})
		if err != nil {
			return caller.Claim{}, fmt.Errorf("read idempotency key: %w: %w", caller.ErrKeyPending, err)
		}

		if len(rows) == 1 {
			stored, err := readStoredAnswer(rows[0], fingerprint)
			if stored != nil || err != nil {
				return caller.Claim{Stored: stored}, err
			}
		}

		select {
		case <-ctx.Done():
			return caller.Claim{}, caller.ErrKeyPending
		case <-time.After(pause):
			pause = min(2*pause, maxKeyPoll)
		}
	}
}

// readStoredAnswer returns the answer in a key's row, or nil if there is none yet.
func readStoredAnswer(row table.Row, fingerprint string) (*caller.StoredAnswer, error) {
	var body keyRow
	if err := json.Unmarshal(row.Body, &body); err != nil {
		return nil, fmt.Errorf("decode idempotency key: %w", err)
	}

	if body.Fingerprint != fingerprint {
		return nil, caller.ErrKeyReused
	}

	if row.Version != keyVersionAnswered {
		return nil, nil
	}

	return &caller.StoredAnswer{
		Status: body.Status,
		Header: body.Header,
		Body:   body.Body,
	}, nil
}
