package coordinator

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"trefoildeck/core/config"
	"trefoildeck/io/rows"
	"trefoildeck/platform"
	"trefoildeck/standin/emulator"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"
)

// submitOverHTTP submits the job of these tests as a caller that waits for a time, and returns the
// status of the answer.
func submitOverHTTP(ctx context.Context, e testEntry, timeout string) int {
	queue := testQueue
	queue.Prefix = "/tints/"
	handler := &platform.CallerHandler{
		Configuration: func() *config.Configuration { return &config.Configuration{Queues: []config.Queue{queue}} },
		Submit:        e.accept,
	}

	body := `{"spec":"text","steps":[{"count":1,"cpu":1000,"estimate_ms":1000}]}`
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/tints/"+jobID, strings.NewReader(body))
	r.Host = queue.Host
	r.Header.Set("Timeout-Ms", timeout)

	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)

	return w.Code
}

// loseStore opens the circuit breaker of calls to the store.
func (e testEntry) loseStore() {
	for e.storeReachable() {
		e.observe(e.now(), rows.Stamp{}, rows.ErrRefused)
	}
}

// TestStoredJobNotRefused guards against a 503 for a job that is stored and runs. The answer to the write
// of the job is lost, its repetition conflicts with the stored row, the conflict has no values, and the
// row can't be read.
func TestStoredJobNotRefused(t *testing.T) {
	tests := map[string]struct {
		// read is the read of the row.
		read func(ctx context.Context, endRequests func()) error
		// outOfReach means that the store is out of reach from the conflict on, so that it isn't called.
		outOfReach bool
	}{
		"Refused": {
			read: func(context.Context, func()) error { return rows.ErrRefused },
		},
		"Unanswered": {
			read: func(ctx context.Context, _ func()) error {
				sleep(ctx, relayTimeout)

				return rows.ErrUnknown
			},
		},
		// Requests are ended at the end of a shutdown.
		"EntryEnds": {
			read: func(ctx context.Context, endRequests func()) error {
				endRequests()

				return errors.Join(rows.ErrRefused, ctx.Err())
			},
		},
		"OutOfReach": {
			outOfReach: true,
		},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := emulator.NewRowStore()
				loseNext(s, time.Millisecond)

				ctx, endRequests := context.WithCancel(t.Context())
				defer endRequests()

				store := withoutConflictValues(s.Store())
				store.Range = func(ctx context.Context, _, _, _, _ string) (rows.Page, error) {
					return rows.Page{}, c.read(ctx, endRequests)
				}

				e := newTestEntry(store)

				commit := e.store.Commit
				e.store.Commit = func(ctx context.Context, x rows.Transaction) (rows.Stamp, error) {
					stamp, err := commit(ctx, x)
					if c.outOfReach && errors.Is(err, rows.ErrConflict) {
						e.loseStore()
					}

					return stamp, err
				}

				status := submitOverHTTP(ctx, e, "1300")
				assert.Assert(t, !isRefusal(storedRow(t, s).Value))
				assert.Equal(t, status, http.StatusGatewayTimeout)
			})
		})
	}
}

// TestUnclassifiedErrorIsInDoubt guards against a 503 for a write of which nobody said that it had no effect.
func TestUnclassifiedErrorIsInDoubt(t *testing.T) {
	tests := map[string]struct {
		err  error
		want platform.Outcome
	}{
		"Refused":            {rows.ErrRefused, platform.OutcomeRefused},
		"Unknown":            {rows.ErrUnknown, platform.OutcomeUnknown},
		"RefusedAndUnknown":  {errors.Join(rows.ErrRefused, rows.ErrUnknown), platform.OutcomeUnknown},
		"Unclassified":       {eris.New("some other error"), platform.OutcomeUnknown},
		"RejectedTooLarge":   {rows.ErrInvalid, platform.OutcomeUnstorable},
		"UnknownThenRefused": {nil, platform.OutcomeUnknown},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := 0
				e := newTestEntry(&rows.Store{
					Commit: func(context.Context, rows.Transaction) (rows.Stamp, error) {
						calls++

						switch {
						case c.err != nil:
							return rows.Stamp{}, c.err
						case calls == 1:
							return rows.Stamp{}, rows.ErrUnknown
						default:
							return rows.Stamp{}, rows.ErrRefused
						}
					},
					Range: emulator.NewRowStore().Range,
				})

				assert.Equal(t, platform.OutcomeOf(e.submit(t.Context())), c.want)
			})
		})
	}
}
