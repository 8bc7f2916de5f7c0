package coordinator

import (
	"context"
	"errors"
	"time"

	"trefoildeck/internal/guard"
	"trefoildeck/internal/jsonlog"
	"trefoildeck/io/rows"
	"trefoildeck/platform"

	"go.uber.org/zap"
)

const (
	// feedWait is how long the store may wait for a change before it answers. It
	// limits how long a dead connection goes unnoticed, which must stay well within the
	// deadline for new configurations and the 3 s that a process has to recover from a
	// disturbance.
	feedWait = 1500 * time.Millisecond
	// feedPause is the delay after a failed read: a configuration must be in force
	// within 2 s.
	feedPause = 250 * time.Millisecond
)

// watchOperatorTable follows the operator's table, which has the configuration and the
// data centres that are out of service.
func (c *Coordinator) watchOperatorTable(ctx context.Context) error {
	return c.watchTable(ctx, platform.OperatorTable, func(ctx context.Context) (int64, error) {
		p, err := c.store.All(ctx, platform.OperatorTable, "")
		if err != nil {
			return 0, err
		}

		c.applyOperatorTable(p.Rows)

		return p.Version, nil
	}, c.applyOperatorRow)
}

// applyOperatorTable applies all rows of the table. An evacuation that they lack has ended, even
// if its end was missed. The others hold throughout.
func (c *Coordinator) applyOperatorTable(list []rows.Row) {
	out := map[string]bool{}

	for _, r := range list {
		if dataCentre, ok := platform.EvacuatedDataCentre(r); ok {
			out[dataCentre] = true
		}
	}

	c.mu.Lock()
	before := c.out
	c.out = out
	c.mu.Unlock()

	for dataCentre, was := range before {
		if was && !out[dataCentre] {
			c.log.Info("DataCentre", zap.String("Name", dataCentre), zap.Bool("Out", false))
		}
	}

	for _, r := range list {
		c.applyOperatorRow(r)
	}

	c.informLeader()
}

// watchTable follows a table until ctx is done. load reads the whole table and returns
// its version; row receives each later change. The table is loaded again when the
// store's history no longer reaches back far enough.
func (c *Coordinator) watchTable(ctx context.Context, table string, load func(context.Context) (int64, error), row func(rows.Row)) error {
	after, loaded := int64(0), false

	for ctx.Err() == nil {
		var err error

		if !loaded {
			after, err = load(ctx)
			loaded = err == nil
		} else {
			var p rows.Page

			p, err = c.store.Feed(ctx, table, after, feedWait)
			if err == nil {
				after = max(after, p.Version)
				c.noteVersion(p.Version)

				for _, r := range p.Rows {
					c.guarded("RowNotHandled", func() { row(r) })
				}
			}
		}

		if errors.Is(err, rows.ErrHistoryLost) {
			loaded = false
		}

		if err != nil && ctx.Err() == nil {
			c.log.Warn("FeedFailed", zap.String("Table", table), zap.Int64("After", after), jsonlog.Error(err))
			sleep(ctx, feedPause)
		}
	}

	return nil
}

// guarded calls f, which handles one row or message. It logs a panic of f as event.
func (c *Coordinator) guarded(event string, f func()) {
	err := guard.Call(func() error {
		f()

		return nil
	})
	if err != nil {
		c.log.Error(event, jsonlog.Error(err))
	}
}

// applyOperatorRow applies a configuration that is newer than the one in force, or takes
// a data centre out of service or back.
func (c *Coordinator) applyOperatorRow(r rows.Row) {
	n, ok, err := platform.DecodeConfiguration(r)

	switch {
	case err != nil:
		c.log.Error("ConfigurationUnreadable", zap.Int64("Row", r.Version), jsonlog.Error(err))

		return
	case ok:
		old := c.configuration.Load()
		if old != nil && n.Version <= old.Version {
			return
		}

		c.configuration.Store(n)
		c.log.Info("ConfigurationInForce", zap.Int64("Version", n.Version), zap.Int64("Row", r.Version), zap.Int("Queues", len(n.Queues)))
	}

	if dataCentre, ok := platform.EvacuatedDataCentre(r); ok {
		c.mu.Lock()
		c.out[dataCentre] = !r.Deleted
		c.mu.Unlock()
		c.log.Info("DataCentre", zap.String("Name", dataCentre), zap.Bool("Out", !r.Deleted), zap.Int64("Row", r.Version))
	}

	c.informLeader()
}

// informLeader passes what the operator's table says to the leader, if this process is it.
func (c *Coordinator) informLeader() {
	c.mu.Lock()
	l := c.localLeader
	c.mu.Unlock()

	if l != nil {
		l.applyOperatorState()
	}
}
