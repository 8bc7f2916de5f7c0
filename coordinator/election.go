package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"trefoildeck/core/lease"
	"trefoildeck/internal/jsonlog"
	"trefoildeck/io/peer"
	"trefoildeck/io/rows"

	"go.uber.org/zap"
)

const (
	leadTable = "lead"
	// leadPart holds the term, the lease and the progress of jobs, because a
	// transaction covers one part and the leader's writes are conditional on the term.
	leadPart = "lead"
	termKey  = "term"
	leaseKey = "lease"

	// leaseCheckPeriod is the longest time between two reads of the lease while no
	// leader is connected.
	leaseCheckPeriod = 400 * time.Millisecond
)

// leaseState is the content of the term and lease rows with their versions.
type leaseState struct {
	record       lease.Record
	termVersion  int64
	leaseVersion int64
	// clock is the store's clock when the rows were read.
	clock time.Duration
}

// readLease reads the term and lease rows. Missing rows have version 0.
func (c *Coordinator) readLease(ctx context.Context) (leaseState, error) {
	p, err := c.store.Range(ctx, leadTable, leadPart, "", "")
	if err != nil {
		return leaseState{}, fmt.Errorf("read lease: %w", err)
	}

	ls := leaseState{clock: p.Clock}

	for _, r := range p.Rows {
		switch r.Key {
		case termKey:
			ls.termVersion = r.Version
		case leaseKey:
			ls.leaseVersion = r.Version

			if err := json.Unmarshal(r.Value, &ls.record); err != nil {
				return leaseState{}, fmt.Errorf("decode lease: %w", err)
			}
		}
	}

	return ls, nil
}

// elect waits for the lease to become free and leads while it holds it, until ctx is
// done.
func (c *Coordinator) elect(ctx context.Context) error {
	var candidate candidacy

	for ctx.Err() == nil {
		c.mu.Lock()
		led := c.remoteLeader.Session != nil
		c.mu.Unlock()

		if led {
			candidate = candidacy{}

			select {
			case <-ctx.Done():
			case <-c.leaderChanged:
			}

			continue
		}

		ls, err := c.readLease(ctx)
		if err != nil && ctx.Err() == nil {
			c.log.Warn("LeaseUnreadable", jsonlog.Error(err))
		}

		if err == nil && lease.Free(ls.record, c.node.Name, c.node.Boot, ls.clock) && c.shouldAcquire(ctx, &candidate) {
			c.acquireAndLead(ctx, ls)

			candidate = candidacy{}
		}

		// The jitter keeps the coordinators from contending for a free lease.
		sleep(ctx, leaseCheckPeriod/2+rand.N(leaseCheckPeriod/2))
	}

	return nil
}

// candidacy is the state of a process that waits to acquire a free lease.
type candidacy struct {
	// since is when the lease was first found free.
	since time.Duration
	// strongerExists says that a stronger coordinator was registered then.
	strongerExists bool
}

// shouldAcquire reports whether this process should take a free lease now. If a
// stronger process is registered, it first waits for lease.TakeoverDelay.
func (c *Coordinator) shouldAcquire(ctx context.Context, k *candidacy) bool {
	now := c.now()

	if k.since == 0 {
		k.since = now
		k.strongerExists = c.strongerNodeExists(ctx)
	}

	return !k.strongerExists || now-k.since >= lease.TakeoverDelay
}

// strongerNodeExists reports whether a stronger coordinator has a row in the node table. It
// returns false if the table can't be read.
func (c *Coordinator) strongerNodeExists(ctx context.Context) bool {
	p, err := c.store.All(ctx, peer.NodeTable, "")
	if err != nil {
		c.log.Warn("NodesUnreadable", jsonlog.Error(err))

		return false
	}

	return slices.ContainsFunc(p.Rows, func(r rows.Row) bool {
		n, err := peer.DecodeNode(r)

		return err == nil && n.Role == peer.RoleEntry && lease.Stronger(n.ProcessorShare, c.node.ProcessorShare)
	})
}

// acquireAndLead tries to take a free lease, then leads until it is lost or given up.
func (c *Coordinator) acquireAndLead(ctx context.Context, ls leaseState) {
	term := ls.record.Term + 1

	held, err := c.writeLease(ctx, ls, term)
	if errors.Is(err, rows.ErrConflict) {
		return
	}

	if err != nil {
		c.log.Warn("LeaseNotTaken", zap.Int64("Term", term), jsonlog.Error(err))

		return
	}

	c.log.Info("LeaseTaken", zap.Int64("Term", term), zap.String("Before", ls.record.Holder), zap.Duration("ExpiryBefore", ls.record.Expiry), zap.Duration("StoreClock", ls.clock))

	l := newLeader(c, term, held)
	if err := l.lead(ctx); err != nil && ctx.Err() == nil {
		c.log.Warn("LeaseLost", zap.Int64("Term", term), jsonlog.Error(err))
	}
}

// writeLease writes a lease of lease.Duration and the row of its new term.
func (c *Coordinator) writeLease(ctx context.Context, ls leaseState, term int64) (leaseState, error) {
	expiry, known := c.storeNow()
	if !known {
		return leaseState{}, fmt.Errorf("write lease: store clock unknown: %w", rows.ErrRefused)
	}

	ls.record = lease.Record{
		Holder: c.node.Name,
		Boot:   c.node.Boot,
		Term:   term,
		Expiry: expiry + lease.Duration,
	}

	return c.putLease(ctx, ls, true)
}

// putLease writes the lease, on the condition that the term and lease rows still have
// the versions in ls, and more rows of leadPart with it. With newTerm, it also writes the term row.
func (c *Coordinator) putLease(ctx context.Context, ls leaseState, newTerm bool, more ...rows.Row) (leaseState, error) {
	value, err := json.Marshal(ls.record)
	if err != nil {
		return leaseState{}, fmt.Errorf("encode lease: %w", err)
	}

	t := rows.Transaction{
		Part: leadPart,
		Expect: []rows.Expectation{
			{
				Table:   leadTable,
				Key:     termKey,
				Version: ls.termVersion,
			},
			{
				Table:   leadTable,
				Key:     leaseKey,
				Version: ls.leaseVersion,
			},
		},
		Set: append([]rows.Row{{
			Table: leadTable,
			Key:   leaseKey,
			Value: value,
		}}, more...),
	}

	if newTerm {
		t.Set = append(t.Set, rows.Row{
			Table: leadTable,
			Key:   termKey,
			Value: value,
		})
	}

	stamp, err := c.store.Commit(ctx, t)
	if err != nil {
		return leaseState{}, fmt.Errorf("write lease: %w", err)
	}

	ls.leaseVersion = stamp.Version
	if newTerm {
		ls.termVersion = stamp.Version
	}

	return ls, nil
}

// leaseHolds reports whether a lease that expires at the given reading of the store's
// clock is still valid.
func (c *Coordinator) leaseHolds(expiry time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return lease.Holds(&c.clock, c.now(), expiry)
}
