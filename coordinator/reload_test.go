package coordinator

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"trefoildeck/core/config"
	"trefoildeck/core/job"
	"trefoildeck/io/rows"
	"trefoildeck/standin/emulator"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
)

// TestJobsReloaded checks that a leader whose feed lost its history schedules the jobs that it
// then finds in the store. Without any other event, they waited for good.
func TestJobsReloaded(t *testing.T) {
	const found = "00000000000000bb"

	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewRowStore()
		l := newTestLeader(t, s)
		l.c.configuration.Store(&config.Configuration{})

		// The leader is not notified, as if it were out of the entry's reach.
		assert.NilError(t, l.c.accept(t.Context(), config.Queue{Service: "orders"}, found, job.Spec{Steps: []job.Step{{
			Count: 1,
			Size:  job.Size{MilliCores: 1},
		}}}))
		s.DropHistory()

		ctx, cancel := context.WithCancel(t.Context())
		go func() { assert.Check(t, l.watchJobs(ctx, 0) == nil) }()

		time.Sleep(time.Second)

		l.mu.Lock()
		state, known := l.fleet.State(found)
		l.mu.Unlock()

		assert.Assert(t, known)
		assert.Equal(t, state, job.Queued)

		select {
		case <-l.wake:
		default:
			t.Error("no scheduling pass was requested")
		}

		cancel()
		synctest.Wait()
	})
}

// TestEvacuationsReloaded checks what the leader knows of evacuations after the feed lost its
// history: one that ended meanwhile is over, and one that goes on never ends. The leader
// kept the one for good, and started tasks while the rows were applied despite the other.
func TestEvacuationsReloaded(t *testing.T) {
	const dataCentre = "sabana"

	configuration := func(version int) rows.Row {
		return rows.Row{
			Key:   "config",
			Value: fmt.Appendf(nil, `{"version":%d}`, version),
		}
	}
	evacuation := rows.Row{Key: "evacuate/" + dataCentre}

	tests := map[string]struct {
		reloaded []rows.Row
		out      bool
	}{
		"Ended":  {[]rows.Row{configuration(1)}, false},
		"GoesOn": {[]rows.Row{configuration(2), evacuation}, true},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runEvacuationsReloaded(t, dataCentre, c.out, []rows.Row{configuration(1), evacuation}, c.reloaded)
			})
		})
	}
}

// runEvacuationsReloaded lets a leader read pages in turn, and checks whether a data centre is
// out whenever a configuration comes into force and at the end.
func runEvacuationsReloaded(t *testing.T, dataCentre string, out bool, pages ...[]rows.Row) {
	t.Helper()

	var reads atomic.Int64

	l := newTestLeader(t, emulator.NewRowStore())
	c := l.c
	c.localLeader = l
	c.store = &rows.Store{
		Range: func(context.Context, string, string, string, string) (rows.Page, error) {
			return rows.Page{Rows: pages[reads.Add(1)-1]}, nil
		},
		Feed: func(ctx context.Context, _ string, _ int64, _ time.Duration) (rows.Page, error) {
			time.Sleep(time.Second)

			if int(reads.Load()) == len(pages) {
				<-ctx.Done()
			}

			return rows.Page{}, rows.ErrHistoryLost
		},
	}
	c.log = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{}), zapcore.AddSync(io.Discard), zap.InfoLevel),
		zap.Hooks(func(e zapcore.Entry) error {
			c.mu.Lock()
			defer c.mu.Unlock()

			if e.Message == "ConfigurationInForce" && int(reads.Load()) == len(pages) {
				assert.Check(t, c.out[dataCentre] == out, "while the rows were applied")
			}

			return nil
		}))

	ctx, cancel := context.WithCancel(t.Context())
	go func() { assert.Check(t, c.watchOperatorTable(ctx) == nil) }()

	isOut := func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()

		return l.fleet.Out[dataCentre]
	}

	time.Sleep(500 * time.Millisecond)
	assert.Assert(t, isOut())
	time.Sleep(5 * time.Second)
	assert.Equal(t, int(reads.Load()), len(pages))
	assert.Check(t, isOut() == out)
	cancel()
	synctest.Wait()
}

// TestAcceptedWithoutClock checks the age of a job that was accepted by an entry that doesn't know
// the store's clock, as the store has only answered it through a peer. The age came from the
// time for which the entry's machine had run.
func TestAcceptedWithoutClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewRowStore()
		l := newTestLeader(t, s)
		entry := newTestCoordinator(s.Store())
		entry.now = func() time.Duration { return time.Hour }
		entry.configuration.Store(&config.Configuration{})

		// The entry's machine has run for an hour, the store for three.
		time.Sleep(3 * time.Hour)
		assert.NilError(t, entry.accept(t.Context(), config.Queue{}, jobID, job.Spec{Steps: []job.Step{{Count: 1}}}))

		_, age, err := l.decodeJob(s.Rows(jobTable)[0])
		assert.NilError(t, err)
		assert.Equal(t, age, time.Duration(0))
	})
}
