package coordinator

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"trefoildeck/internal/jsonlog"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/io/rows"

	"go.uber.org/zap"
)

const (
	// relayTimeout limits a relayed call, on top of the wait of a feed: the store's
	// slowest answer plus the round trip to the peer.
	relayTimeout = 700 * time.Millisecond
	// relayFeedWait limits the wait of a relayed feed for a change.
	relayFeedWait = time.Second
)

// relayedStore returns a store that relays calls through a peer while the store does
// not answer this process, and commits and range reads that failed directly.
func (c *Coordinator) relayedStore(direct *rows.Store) *rows.Store {
	return &rows.Store{
		Commit: func(ctx context.Context, t rows.Transaction) (rows.Stamp, error) {
			stamp, err := c.commitDirect(ctx, direct, t)
			if !errors.Is(err, rows.ErrRefused) && !errors.Is(err, rows.ErrUnknown) {
				return stamp, err
			}

			p, relayErr := c.relay(ctx, peer.EncodeTransaction(t), relayTimeout)
			if errors.Is(relayErr, rows.ErrRefused) && errors.Is(err, rows.ErrUnknown) {
				// The peer wrote nothing, but the direct call may have been applied.
				return rows.Stamp{}, err
			}

			return p.Stamp, relayErr
		},
		Range: func(ctx context.Context, table, part, from, to string) (rows.Page, error) {
			if c.storeAnswers() {
				p, err := direct.Range(ctx, table, part, from, to)
				if err == nil {
					return p, nil
				}
			}

			return c.relay(ctx, &peerpb.StoreCall{Range: &peerpb.StoreRange{
				Table: table,
				Part:  part,
				From:  from,
				To:    to,
			}}, relayTimeout)
		},
		Feed: func(ctx context.Context, table string, after int64, wait time.Duration) (rows.Page, error) {
			if c.storeAnswers() {
				return c.feedDirect(ctx, direct, table, after, wait)
			}

			wait = min(wait, relayFeedWait)

			return c.relay(ctx, &peerpb.StoreCall{Feed: &peerpb.StoreFeed{
				Table:  table,
				After:  after,
				WaitMS: wait.Milliseconds(),
			}}, relayTimeout+wait)
		},
	}
}

// feedDirect reads the feed from the store. It stops waiting once other calls find
// that the store is unreachable.
func (c *Coordinator) feedDirect(ctx context.Context, direct *rows.Store, table string, after int64, wait time.Duration) (rows.Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	c.mu.Lock()
	lost := c.storeLost
	c.mu.Unlock()

	go func() {
		select {
		case <-ctx.Done():
		case <-lost:
			cancel()
		}
	}()

	return direct.Feed(ctx, table, after, wait)
}

// commitDirect commits directly. It returns rows.ErrRefused without a call while the
// store does not answer this process.
func (c *Coordinator) commitDirect(ctx context.Context, direct *rows.Store, t rows.Transaction) (rows.Stamp, error) {
	if !c.storeAnswers() {
		return rows.Stamp{}, rows.ErrRefused
	}

	return direct.Commit(ctx, t)
}

// storeAnswers reports whether the store answers direct calls of this process.
func (c *Coordinator) storeAnswers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	_, open := c.breaker.Open()

	return !open
}

// relay sends a call to a peer, which makes it in place of this process. The error is
// rows.ErrRefused if there is no peer and rows.ErrUnknown if the peer doesn't answer
// within the limit.
func (c *Coordinator) relay(ctx context.Context, m *peerpb.StoreCall, limit time.Duration) (rows.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()

	answer := make(chan *peerpb.StoreAnswer, 1)

	c.mu.Lock()
	send := c.relaySender()

	if send == nil {
		c.mu.Unlock()

		return rows.Page{}, fmt.Errorf("no peer to ask: %w", rows.ErrRefused)
	}

	c.lastNumber++
	m.Number = c.lastNumber
	c.storeCalls[m.GetNumber()] = answer
	c.mu.Unlock()

	send(&peerpb.Frame{Body: &peerpb.Frame_StoreCall{StoreCall: m}})

	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.storeCalls, m.GetNumber())
	}()

	select {
	case a := <-answer:
		p, err := peer.DecodeStoreAnswer(a)
		c.recordRelayOutcome(err)

		return p, err
	case <-ctx.Done():
		c.recordRelayOutcome(ctx.Err())

		return rows.Page{}, fmt.Errorf("the peer did not answer: %w", rows.ErrUnknown)
	}
}

// recordRelayOutcome updates the metrics and the breaker of relayed calls.
func (c *Coordinator) recordRelayOutcome(err error) {
	c.meter.Count("relayed_calls_total", "answered", strconv.FormatBool(err == nil))

	c.mu.Lock()
	defer c.mu.Unlock()

	ok := err == nil || errors.Is(err, rows.ErrConflict) || errors.Is(err, rows.ErrHistoryLost)
	if c.relayBreaker.Report(0, ok) {
		c.log.Warn("Relay", zap.Bool("Reached", ok), jsonlog.Error(err))
	}
}

// relaySender returns a function that sends a frame to a peer which may reach the
// store: the leader, or on the leader one of the other coordinators. It returns nil if
// there is none. The caller holds c.mu.
func (c *Coordinator) relaySender() func(*peerpb.Frame) {
	if s := c.remoteLeader.Session; s != nil {
		return func(f *peerpb.Frame) {
			if err := s.Send(f); err != nil {
				c.log.Warn("LeaderUnreachable", jsonlog.Error(err))
			}
		}
	}

	if l := c.localLeader; l != nil {
		return l.sendToCoordinator
	}

	return nil
}

// sendToCoordinator sends a frame to one of the other connected coordinators, varying
// between calls. Without one, it drops the frame.
func (l *leader) sendToCoordinator(f *peerpb.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()

	var coordinators []*nodeLink

	for _, n := range l.nodes {
		if n.node.Role == peer.RoleEntry && n.session != nil {
			coordinators = append(coordinators, n)
		}
	}

	if len(coordinators) == 0 {
		return
	}

	l.relayTurn++
	coordinators[l.relayTurn%len(coordinators)].send(f)
}

// serveRelay makes a call for a peer. It only calls the store directly, so that relays
// form no chain.
func (c *Coordinator) serveRelay(ctx context.Context, m *peerpb.StoreCall, reply func(*peerpb.Frame)) {
	a := &peerpb.StoreAnswer{
		Number:  m.GetNumber(),
		Outcome: "Refused",
	}

	if c.storeAnswers() {
		a = peer.ServeStoreCall(ctx, c.directStore, m)
	}

	reply(&peerpb.Frame{Body: &peerpb.Frame_StoreAnswer{StoreAnswer: a}})
}

// deliverStoreAnswer passes an answer to the relay call that waits for it.
func (c *Coordinator) deliverStoreAnswer(a *peerpb.StoreAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if answer, ok := c.storeCalls[a.GetNumber()]; ok {
		delete(c.storeCalls, a.GetNumber())
		answer <- a
	}
}
