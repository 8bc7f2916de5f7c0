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
	// keyLife is how long an idempotency key is remembered.
	keyLife = 24 * time.Hour
	// keyPoll is the first pause between looks for the first request's answer.
	keyPoll    = 50 * time.Millisecond
	maxKeyPoll = time.Second
	// keyRecordTime bounds the recording of an answer.
	keyRecordTime = 10 * time.Second
)

// Versions of an idempotency key's row.
const (
	keyClaimed  = 1
	keyAnswered = 2
)

// keyRow is the body of an idempotency key's row.
type keyRow struct {
	Fingerprint string
	Status      int         `json:",omitempty"`
	Header      http.Header `json:",omitempty"`
	Body        []byte      `json:",omitempty"`
}

// claim records an idempotency key before its request runs. Whoever records it
// runs the request, all others get its answer, or none.
func (e *Entry) claim(ctx context.Context, service, key, fingerprint string) (caller.Claim, error) {
	if !e.keys.Allow() {
		return caller.Claim{}, fmt.Errorf("more than KeyRate keys a second: %w", caller.ErrKeyUnavailable)
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
		return e.owned(rowKey, fingerprint), nil
	case errors.Is(err, table.ErrConflict):
		return e.awaitAnswer(ctx, rowKey, fingerprint)
	default:
		// The row may have been written. Then a repeat is told that the
		// outcome is unknown, which is the safe side.
		return caller.Claim{}, fmt.Errorf("record key: %w: %w", caller.ErrKeyUnavailable, err)
	}
}

func (e *Entry) keyWrite(k table.Key, version int64, row keyRow) (table.Write, error) {
	w, err := table.PutJSON(k, version, row)
	w.ExpireAt = time.Now().Add(keyLife)

	return w, err
}

func (e *Entry) owned(k table.Key, fingerprint string) caller.Claim {
	return caller.Claim{
		Complete: func(s caller.StoredAnswer) {
			w, err := e.keyWrite(k, keyClaimed, keyRow{
				Fingerprint: fingerprint,
				Status:      s.Status,
				Header:      s.Header,
				Body:        s.Body,
			})
			if err != nil {
				e.log.Error("AnswerNotEncoded", zap.Error(err))

				return
			}

			e.recordKey(w)
		},
		Release: func() {
			e.recordKey(table.Write{
				Key:    k,
				Action: table.ActionDelete,
				Expect: keyClaimed,
			})
		},
	}
}

// recordKey records what became of a claimed request. Where that fails, a
// repeat is told that the outcome is unknown.
func (e *Entry) recordKey(w table.Write) {
	ctx, cancel := context.WithTimeout(context.Background(), keyRecordTime)
	defer cancel()

	if err := e.table.Commit(ctx, []table.Write{w}); err != nil {
		e.log.Warn("KeyNotUpdated", zap.Error(err))
	}
}

// awaitAnswer waits for the answer of the request that has the key.
func (e *Entry) awaitAnswer(ctx context.Context, k table.Key, fingerprint string) (caller.Claim, error) {
	pause := keyPoll

	for {
		rows, err := e.table.Get(ctx, []table.Key{k})
		if err != nil {
			return caller.Claim{}, fmt.Errorf("look for answer: %w: %w", caller.ErrKeyPending, err)
		}

		if len(rows) == 1 {
			stored, err := readKey(rows[0], fingerprint)
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

// readKey returns the stored answer, or nil where there is none yet.
func readKey(row table.Row, fingerprint string) (*caller.StoredAnswer, error) {
	var body keyRow
	if err := json.Unmarshal(row.Body, &body); err != nil {
		return nil, fmt.Errorf("read key row: %w", err)
	}

	if body.Fingerprint != fingerprint {
		return nil, caller.ErrKeyReused
	}

	if row.Version != keyAnswered {
		return nil, nil
	}

	return &caller.StoredAnswer{
		Status: body.Status,
		Header: body.Header,
		Body:   body.Body,
	}, nil
}
