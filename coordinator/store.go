package coordinator

import (
	"context"
	"errors"
	"strconv"
	"time"

	"trefoildeck/internal/jsonlog"
	"trefoildeck/io/boottime"
	"trefoildeck/io/rows"

	"go.uber.org/zap"
)

const (
	// minAnswerWait and mostWait bound the wait for the answer to a caller's
	// transaction. An answer takes some 10 ms, and under 400 ms from the slowest
	// store that the users' days show.
	minAnswerWait = 300 * time.Millisecond
	maxAnswerWait = time.Second
	// answerWaitFactor times the average latency is waited.
	answerWaitFactor = 4
	// latencyDivisor is the weight of a new answer in the average: 1/8.
	latencyDivisor = 8
	// probePeriod is the time between two probes of a store that is out of reach:
	// what waits for it goes on within this time of its return.
	probePeriod = 250 * time.Millisecond
	// unreadyAfter is how long the store is out of reach before the process says
	// that it is not ready, so that other processes are asked.
	unreadyAfter = 500 * time.Millisecond
)

// observedStore returns a store whose answers set the clock and the breaker.
func (c *Coordinator) observedStore(s *rows.Store) *rows.Store {
	return &rows.Store{
		Commit: func(ctx context.Context, t rows.Transaction) (rows.Stamp, error) {
			sent := boottime.Now()
			stamp, err := s.Commit(ctx, t)
			c.observe(sent, stamp, err)

			return stamp, err
		},
		Range: func(ctx context.Context, table, part, from, to string) (rows.Page, error) {
			sent := boottime.Now()
			p, err := s.Range(ctx, table, part, from, to)
			c.observe(sent, p.Stamp, err)

			return p, err
		},
		Feed: func(ctx context.Context, table string, after int64, wait time.Duration) (rows.Page, error) {
			p, err := s.Feed(ctx, table, after, wait)
			if err != nil && !errors.Is(err, rows.ErrHistoryLost) {
				// Long waits say nothing of the latency.
				c.observe(boottime.Now(), rows.Stamp{}, err)
			}

			return p, err
		},
	}
}

func (c *Coordinator) observe(sent time.Duration, stamp rows.Stamp, err error) {
	now := boottime.Now()
	answered := err == nil || errors.Is(err, rows.ErrConflict)
	c.meter.Observe(now-sent, "store_calls", "answered", strconv.FormatBool(answered))

	c.mu.Lock()
	defer c.mu.Unlock()

	if answered {
		c.latency += (now - sent - c.latency) / latencyDivisor
	}

	if err == nil && stamp.Clock > 0 {
		c.clock.Observe(sent, stamp.Clock)
	}

	if c.breaker.Report(now, answered) {
		since, open := c.breaker.Open()
		if open {
			close(c.storeLost)
		} else {
			c.storeLost = make(chan struct{})
		}

		c.log.Warn("Store", zap.Bool("Reached", !open), zap.Duration("For", now-since), jsonlog.Cause(err))
	}
}

// storeNow is the latest that the store's clock can show.
func (c *Coordinator) storeNow() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.clock.Latest(boottime.Now()), c.clock.Known()
}

// storeReachable reports whether a caller's request should go to the store, by
// itself or through a peer.
func (c *Coordinator) storeReachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if _, open := c.breaker.Open(); !open {
		return true
	}

	_, open := c.relayBreaker.Open()

	return !open && c.relaySender() != nil
}

// probe calls the store now and then while it is out of reach, so that no
// caller's request has to find out that it is back.
func (c *Coordinator) probe(ctx context.Context) error {
	for sleep(ctx, probePeriod); ctx.Err() == nil; sleep(ctx, probePeriod) {
		if c.storeAnswers() {
			continue
		}

		// The outcomes are observed, by each way's breaker.
		_, _ = c.directStore.Range(ctx, leadTable, leadPart, "", "")
		_, _ = c.readLease(ctx)
	}

	return nil
}

// storeOutage is how long the store has not answered this process.
func (c *Coordinator) storeOutage() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()

	since, open := c.breaker.Open()
	if !open {
		return 0
	}

	return boottime.Now() - since
}

// storeUnavailable reports whether the store has been out of reach for a while.
func (c *Coordinator) storeUnavailable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	since, open := c.breaker.Open()
	_, relayOpen := c.relayBreaker.Open()

	return open && (relayOpen || c.relaySender() == nil) && boottime.Now()-since > unreadyAfter
}

// answerWait is how long a caller's transaction waits for the store's answer.
func (c *Coordinator) answerWait() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()

	return min(max(minAnswerWait, answerWaitFactor*c.latency), maxAnswerWait)
}
