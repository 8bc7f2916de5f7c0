package coordinator

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"trefoildeck/internal/jsonlog"
	"trefoildeck/io/rows"

	"go.uber.org/zap"
)

const (
	// minAnswerWait and maxAnswerWait bound the wait for the answer to a transaction. An
	// answer takes about 10 ms, and 310 ms from a store that is 62 times slower.
	minAnswerWait = 450 * time.Millisecond
	maxAnswerWait = time.Second
	// answerWaitFactor is the timeout of a transaction as a multiple of the average
	// latency.
	answerWaitFactor = 4
	// slowerDivisor and fasterDivisor set the weight of a new answer in the average
	// latency, if it took longer and less long: 1/2 and 1/8. A wait that is too short
	// makes transactions fail and be repeated, which slows the store further.
	slowerDivisor = 2
	fasterDivisor = 8
	// probePeriod is the time between probes of an unreachable store. It limits how
	// long waiting requests are held up after the store has recovered.
	probePeriod = 250 * time.Millisecond
	// unreadyAfter is how long the store must be unreachable before the readiness check
	// fails, so that callers are sent to other processes.
	unreadyAfter = 500 * time.Millisecond
)

// observedStore wraps s so that its calls update the clock, the average latency, the
// breaker and the metrics. Of feed calls, only failures count, and none that the caller ended.
func (c *Coordinator) observedStore(s *rows.Store) *rows.Store {
	return &rows.Store{
		Commit: func(ctx context.Context, t rows.Transaction) (rows.Stamp, error) {
			return c.commitPatiently(ctx, s, t)
		},
		Range: func(ctx context.Context, table, part, from, to string) (rows.Page, error) {
			sent := c.now()
			p, err := s.Range(ctx, table, part, from, to)
			if ctx.Err() == nil || err == nil || c.now()-sent >= minAnswerWait {
				// A caller that gives up sooner says nothing of the store.
				c.observe(sent, p.Stamp, err)
			}

			return p, err
		},
		Feed: func(ctx context.Context, table string, after int64, wait time.Duration) (rows.Page, error) {
			p, err := s.Feed(ctx, table, after, wait)
			if err != nil && ctx.Err() == nil && !errors.Is(err, rows.ErrHistoryLost) {
				// The duration of a long poll doesn't reflect the store's latency.
				c.observe(c.now(), rows.Stamp{}, err)
			}

			return p, err
		},
	}
}

// commitPatiently commits and waits for the answer up to answerWait. An answer that
// comes later still shows that the store is slow and not unreachable, and how slow it
// is, so that the next calls wait long enough.
func (c *Coordinator) commitPatiently(ctx context.Context, s *rows.Store, t rows.Transaction) (rows.Stamp, error) {
	type answer struct {
		stamp rows.Stamp
		err   error
	}

	var (
		answers = make(chan answer, 1)
		wait    = c.answerWait()
		sent    = c.now()
		mu      sync.Mutex
		waiting = true
	)

	go func() {
		stamp, err := s.Commit(context.WithoutCancel(ctx), t)

		mu.Lock()
		late := !waiting
		mu.Unlock()

		if !late || showsReachable(err) {
			// A call that was given up has already been recorded as failed.
			c.observe(sent, stamp, err)
		}

		answers <- answer{
			stamp: stamp,
			err:   err,
		}
	}()

	timer := time.NewTimer(wait)
	defer timer.Stop()

	select {
	case a := <-answers:
		return a.stamp, a.err
	case <-ctx.Done():
		return rows.Stamp{}, fmt.Errorf("commit: %w", errors.Join(rows.ErrUnknown, ctx.Err()))
	case <-timer.C:
	}

	mu.Lock()
	waiting = false
	mu.Unlock()

	err := fmt.Errorf("commit: no answer within %s: %w", wait, rows.ErrUnknown)
	c.observe(sent, rows.Stamp{}, err)

	return rows.Stamp{}, err
}

// showsReachable reports whether the outcome of a call shows that the store serves this process.
func showsReachable(err error) bool {
	return err == nil || errors.Is(err, rows.ErrConflict) || errors.Is(err, rows.ErrInvalid)
}

// observe records the outcome of a call that was sent at a local time.
func (c *Coordinator) observe(sent time.Duration, stamp rows.Stamp, err error) {
	now := c.now()
	answered := showsReachable(err)
	c.meter.Observe(now-sent, "store_calls", "answered", strconv.FormatBool(answered))
	c.noteVersion(stamp.Version)

	c.mu.Lock()
	defer c.mu.Unlock()

	if d := now - sent - c.latency; answered && d > 0 {
		c.latency += d / slowerDivisor
	} else if answered {
		c.latency += d / fasterDivisor
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

		c.log.Warn("Store", zap.Bool("Reached", !open), zap.Duration("For", now-since), jsonlog.Error(err))
	}
}

// storeNow returns an upper bound of the store's clock, and whether it is known; otherwise 0.
func (c *Coordinator) storeNow() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.clock.Known() {
		return 0, false
	}

	return c.clock.Latest(c.now()), true
}

// storeClockAt returns an upper bound of the store's clock at a local time, past or to come.
func (c *Coordinator) storeClockAt(local time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.clock.Latest(local)
}

// storeReachable reports whether a request to the store is likely to succeed, directly
// or through a peer.
func (c *Coordinator) storeReachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if _, open := c.breaker.Open(); !open {
		return true
	}

	_, open := c.relayBreaker.Open()

	return !open && len(c.relayPeers) > 0
}

// probe calls the store every probePeriod while it is unreachable, so that its recovery
// is detected without a caller's request.
func (c *Coordinator) probe(ctx context.Context) error {
	for sleep(ctx, probePeriod); ctx.Err() == nil; sleep(ctx, probePeriod) {
		if c.storeAnswers() {
			continue
		}

		// Each call reports its outcome to its breaker: the first to that of direct
		// calls, the second to that of relayed calls.
		_, _ = c.directStore.Range(ctx, leadTable, leadPart, "", "")
		_, _ = c.readLease(ctx)
	}

	return nil
}

// storeOutage returns for how long the store has not answered this process directly.
func (c *Coordinator) storeOutage() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()

	since, open := c.breaker.Open()
	if !open {
		return 0
	}

	return c.now() - since
}

// storeUnavailable reports whether the store has not answered this process for longer
// than unreadyAfter and can't be reached through a peer either.
func (c *Coordinator) storeUnavailable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	since, open := c.breaker.Open()
	_, relayOpen := c.relayBreaker.Open()

	return open && (relayOpen || len(c.relayPeers) == 0) && c.now()-since > unreadyAfter
}

// answerWait returns the timeout of a transaction.
func (c *Coordinator) answerWait() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()

	return min(max(minAnswerWait, answerWaitFactor*c.latency), maxAnswerWait)
}
