package coordinator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
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
			if err := ctx.Err(); err != nil {
				// Nobody waits for the outcome.
				return rows.Stamp{}, fmt.Errorf("commit: not sent: %w", errors.Join(rows.ErrRefused, err))
			}

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

// relayPeer is a process that may make calls to the store in place of this one.
type relayPeer struct {
	name string
	send func(*peerpb.Frame) error
}

// storeCall is a call that a peer was asked to make. Its channel is closed if the session
// ends before the answer.
type storeCall struct {
	via    *peer.Session
	answer chan *peerpb.StoreAnswer
}

// addRelayPeer adds a session with a process that may relay calls. While the leader
// changes, there may be two with one process, one from each side.
func (c *Coordinator) addRelayPeer(s *peer.Session, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.relayPeers[s] = relayPeer{
		name: name,
		send: s.Send,
	}
}

// dropRelayPeer removes a process whose session has ended, and fails the calls that wait
// for its answer.
func (c *Coordinator) dropRelayPeer(s *peer.Session) {
	c.mu.Lock()
	defer c.mu.Unlock()

	delete(c.relayPeers, s)

	for n, call := range c.storeCalls {
		if call.via == s {
			close(call.answer)
			delete(c.storeCalls, n)
		}
	}
}

// relay sends a call to a peer, which makes it in place of this process. The error is
// rows.ErrRefused if there is no peer and rows.ErrUnknown if the peer doesn't answer
// within the limit or its session ends.
func (c *Coordinator) relay(ctx context.Context, m *peerpb.StoreCall, limit time.Duration) (rows.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()

	answer, sent := c.sendStoreCall(m)
	if !sent {
		return rows.Page{}, fmt.Errorf("no peer to ask: %w", rows.ErrRefused)
	}

	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.storeCalls, m.GetNumber())
	}()

	select {
	case a, ok := <-answer:
		if !ok {
			return rows.Page{}, fmt.Errorf("the peer was lost: %w", rows.ErrUnknown)
		}

		p, err := peer.DecodeStoreAnswer(a)
		c.recordRelayOutcome(err)
		c.noteVersion(p.Version)

		return p, err
	case <-ctx.Done():
		c.recordRelayOutcome(ctx.Err())

		return rows.Page{}, fmt.Errorf("the peer did not answer: %w", rows.ErrUnknown)
	}
}

// sendStoreCall sends a call to the next peer in turn that takes it. It returns the
// channel for the answer, and false if no peer took the call.
func (c *Coordinator) sendStoreCall(m *peerpb.StoreCall) (<-chan *peerpb.StoreAnswer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.lastNumber++
	m.Number = c.lastNumber

	// Sorted, so that all peers have their turn.
	sessions := slices.SortedFunc(maps.Keys(c.relayPeers), func(a, b *peer.Session) int {
		return strings.Compare(c.relayPeers[a].name, c.relayPeers[b].name)
	})
	for range sessions {
		c.relayTurn++
		s := sessions[c.relayTurn%len(sessions)]
		p := c.relayPeers[s]

		if err := p.send(&peerpb.Frame{Body: &peerpb.Frame_StoreCall{StoreCall: m}}); err != nil {
			c.log.Warn("RelayUnreachable", zap.String("Node", p.name), jsonlog.Error(err))

			continue
		}

		call := storeCall{
			via:    s,
			answer: make(chan *peerpb.StoreAnswer, 1),
		}
		c.storeCalls[m.GetNumber()] = call

		return call.answer, true
	}

	return nil, false
}

// recordRelayOutcome updates the metrics and the breaker of relayed calls.
func (c *Coordinator) recordRelayOutcome(err error) {
	c.meter.Count("relayed_calls_total", "answered", strconv.FormatBool(err == nil))

	c.mu.Lock()
	defer c.mu.Unlock()

	ok := showsReachable(err) || errors.Is(err, rows.ErrHistoryLost)
	if c.relayBreaker.Report(0, ok) {
		c.log.Warn("Relay", zap.Bool("Reached", ok), jsonlog.Error(err))
	}
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

	if call, ok := c.storeCalls[a.GetNumber()]; ok {
		delete(c.storeCalls, a.GetNumber())
		call.answer <- a
	}
}
