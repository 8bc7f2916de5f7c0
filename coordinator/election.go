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
	"trefoildeck/io/boottime"
	"trefoildeck/io/peer"
	"trefoildeck/io/rows"

	"go.uber.org/zap"
)

const (
	leadTable = "lead"
	// leadPart holds the term, the lease and the progress of jobs, so that the
	// leader's transactions can depend on the term.
	leadPart = "lead"
	termKey  = "term"
	leaseKey = "lease"

	// leaseCheckPeriod is the time between two looks at the lease while no leader is
	// connected.
	leaseCheckPeriod = 400 * time.Millisecond
)

// leaseState is the state of the rows that name the leader.
type leaseState struct {
	record       lease.Record
	termVersion  int64
	leaseVersion int64
	// clock is the reading of the store's clock that came with the rows.
	clock time.Duration
}

func (c *Coordinator) readLease(ctx context.Context) (leaseState, error) {
	p, err := c.store.Range(ctx, leadTable, leadPart, "", "")
	if err != nil {
		return leaseState{}, fmt.Errorf("read lease: %w", err)
	}

	o := leaseState{clock: p.Clock}

	for _, r := range p.Rows {
		switch r.Key {
		case termKey:
			o.termVersion = r.Version
		case leaseKey:
			o.leaseVersion = r.Version

			if err := json.Unmarshal(r.Value, &o.record); err != nil {
				return leaseState{}, fmt.Errorf("decode lease: %w", err)
			}
		}
	}

	return o, nil
}

// elect leads whenever the lease can be had, until ctx ends.
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

		o, err := c.readLease(ctx)
		if err != nil && ctx.Err() == nil {
			c.log.Warn("LeaseUnreadable", jsonlog.Cause(err))
		}

		if err == nil && lease.Free(o.record, c.node.Name, c.node.Boot, o.clock) && c.shouldAcquire(ctx, &candidate) {
			c.acquireAndLead(ctx, o)

			candidate = candidacy{}
		}

		// Spread over the entries, so that one of them finds the lease free.
		sleep(ctx, leaseCheckPeriod/2+rand.N(leaseCheckPeriod/2))
	}

	return nil
}

// candidacy is what a process without a leader knows of a free lease.
type candidacy struct {
	// since is when the lease was first found free.
	since time.Duration
	// strongerExists says that a process with more of a core may take it.
	strongerExists bool
}

// shouldAcquire reports whether this process should take a free lease now, or leave it to
// stronger ones for a while.
func (c *Coordinator) shouldAcquire(ctx context.Context, k *candidacy) bool {
	now := boottime.Now()

	if k.since == 0 {
		k.since = now
		k.strongerExists = c.strongerNodeExists(ctx)
	}

	return !k.strongerExists || now-k.since >= lease.Patience
}

// strongerNodeExists reads whether a process that should rather lead has a row.
func (c *Coordinator) strongerNodeExists(ctx context.Context) bool {
	p, err := c.store.All(ctx, peer.NodeTable, "")
	if err != nil {
		c.log.Warn("NodesUnreadable", jsonlog.Cause(err))

		return false
	}

	return slices.ContainsFunc(p.Rows, func(r rows.Row) bool {
		n, err := peer.DecodeNode(r)

		return err == nil && n.Role == peer.RoleEntry && lease.Stronger(n.ProcessorShare, c.node.ProcessorShare)
	})
}

// acquireAndLead takes the lease and leads until it is lost.
func (c *Coordinator) acquireAndLead(ctx context.Context, o leaseState) {
	term := o.record.Term + 1

	held, err := c.writeLease(ctx, o, term)
	if errors.Is(err, rows.ErrConflict) {
		return
	}

	if err != nil {
		c.log.Warn("LeaseNotTaken", zap.Int64("Term", term), jsonlog.Cause(err))

		return
	}

	c.log.Info("LeaseTaken", zap.Int64("Term", term), zap.String("Before", o.record.Holder), zap.Duration("ExpiryBefore", o.record.Expiry), zap.Duration("StoreClock", o.clock))

	l := newLeader(c, term, held)
	if err := l.lead(ctx); err != nil && ctx.Err() == nil {
		c.log.Warn("LeaseLost", zap.Int64("Term", term), jsonlog.Cause(err))
	}
}

// writeLease writes a lease of a term; a new term also writes the term's row.
func (c *Coordinator) writeLease(ctx context.Context, o leaseState, term int64) (leaseState, error) {
	expiry, known := c.storeNow()
	if !known {
		return leaseState{}, fmt.Errorf("write lease: the store's clock is not known: %w", rows.ErrRefused)
	}

	o.record = lease.Record{
		Holder: c.node.Name,
		Boot:   c.node.Boot,
		Term:   term,
		Expiry: expiry + lease.Duration,
	}

	return c.putLease(ctx, o, true)
}

// putLease writes a record over the rows that were read.
func (c *Coordinator) putLease(ctx context.Context, o leaseState, newTerm bool) (leaseState, error) {
	value, err := json.Marshal(o.record)
	if err != nil {
		return leaseState{}, fmt.Errorf("encode lease: %w", err)
	}

	t := rows.Transaction{
		Part: leadPart,
		Expect: []rows.Expectation{
			{
				Table:   leadTable,
				Key:     termKey,
				Version: o.termVersion,
			},
			{
				Table:   leadTable,
				Key:     leaseKey,
				Version: o.leaseVersion,
			},
		},
		Set: []rows.Row{{
			Table: leadTable,
			Key:   leaseKey,
			Value: value,
		}},
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

	o.leaseVersion = stamp.Version
	if newTerm {
		o.termVersion = stamp.Version
	}

	return o, nil
}

// leaseHolds reports whether a lease with an expiry still leaseHolds.
func (c *Coordinator) leaseHolds(expiry time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return lease.Holds(&c.clock, boottime.Now(), expiry)
}
