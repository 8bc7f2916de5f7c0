package coordinator

import (
	"context"
	"errors"
	"time"

	"trefoildeck/internal/jsonlog"
	"trefoildeck/io/rows"
	"trefoildeck/platform"

	"go.uber.org/zap"
)

const (
	// feedWait is how long the store may wait for a change before it answers. A
	// silent connection has to be found well within the bound on configurations
	// and the three seconds that a process has after a disturbance.
	feedWait = 3 * time.Second
	// feedPause is kept after a failed read: a configuration has to be in force
	// within two seconds.
	feedPause = 250 * time.Millisecond
)

// watchOperatorTable keeps to the operator's table: the configuration, and the data centres
// that are out.
func (c *Coordinator) watchOperatorTable(ctx context.Context) error {
	return c.watchTable(ctx, platform.OperatorTable, func(ctx context.Context) (int64, error) {
		p, err := c.store.All(ctx, platform.OperatorTable, "")
		if err != nil {
			return 0, err
		}

		c.mu.Lock()
		clear(c.evacuated)
		c.mu.Unlock()

		for _, r := range p.Rows {
			c.applyOperatorRow(r)
		}

		return p.Version, nil
	}, c.applyOperatorRow)
}

// watchTable reads a table whole, then each change of it; when the store's history is
// gone, the table whole again.
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

				for _, r := range p.Rows {
					row(r)
				}
			}
		}

		if errors.Is(err, rows.ErrHistoryLost) {
			loaded = false
		}

		if err != nil && ctx.Err() == nil {
			c.log.Warn("FeedFailed", zap.String("Table", table), zap.Int64("After", after), jsonlog.Cause(err))
			sleep(ctx, feedPause)
		}
	}

	return nil
}

// applyOperatorRow takes in a row of the operator's table.
func (c *Coordinator) applyOperatorRow(r rows.Row) {
	n, ok, err := platform.Configuration(r)

	switch {
	case err != nil:
		c.log.Error("ConfigurationUnreadable", zap.Int64("Row", r.Version), jsonlog.Cause(err))

		return
	case ok:
		old := c.configuration.Load()
		if old != nil && n.Version <= old.Version {
			return
		}

		c.configuration.Store(n)
		c.log.Info("ConfigurationInForce", zap.Int64("Version", n.Version), zap.Int64("Row", r.Version), zap.Int("Queues", len(n.Queues)))
	}

	if dataCentre, ok := platform.Evacuation(r); ok {
		c.mu.Lock()
		c.evacuated[dataCentre] = !r.Deleted
		c.mu.Unlock()
		c.log.Info("DataCentre", zap.String("Name", dataCentre), zap.Bool("Out", !r.Deleted), zap.Int64("Row", r.Version))
	}

	c.mu.Lock()
	l := c.localLeader
	c.mu.Unlock()

	if l != nil {
		l.applyOperatorState()
	}
}
