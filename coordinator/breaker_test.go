package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"trefoildeck/io/rows"
	"trefoildeck/standin/emulator"

	"gotest.tools/v3/assert"
)

// TestCallsGivenUp checks that calls that their callers give up don't count as failures of the
// store. The end of a term gives up two feeds, after which submissions were refused.
func TestCallsGivenUp(t *testing.T) {
	tests := map[string]func(context.Context, *leader) error{
		"Feeds": func(ctx context.Context, l *leader) error { return l.watchJobs(ctx, 0) },
		"Reads": func(ctx context.Context, l *leader) error {
			<-ctx.Done()

			_, err := l.c.readLease(ctx)
			assert.Check(t, err != nil)

			return nil
		},
	}

	for name, call := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := emulator.NewRowStore().Store()
				read := s.Range
				s.Range = func(ctx context.Context, table, part, from, to string) (rows.Page, error) {
					if ctx.Err() != nil {
						return rows.Page{}, rows.ErrRefused
					}

					return read(ctx, table, part, from, to)
				}

				l := newLeader(newTestCoordinator(s), 1, leaseState{})
				ctx, cancel := context.WithCancel(t.Context())

				for range 2 {
					go func() { assert.Check(t, call(ctx, l) == nil) }()
				}

				time.Sleep(feedWait / 2)
				cancel()
				synctest.Wait()
				assert.Assert(t, l.c.storeAnswers())
			})
		})
	}
}
