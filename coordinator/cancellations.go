package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"trefoildeck/internal/jsonlog"
	"trefoildeck/io/rows"
	"trefoildeck/platform"

	"go.uber.org/zap"
)

const (
	// cancelled is the reason of a refusal that stands for a job that was cancelled before it was stored.
	cancelled = "Cancelled"
	// cancelledFor is how long an entry has to know of such a refusal until it takes a submission for a later
	// one. A request that was sent before may be held up on its way, or in the buffers of a paused entry.
	cancelledFor = 30 * time.Second
)

// cancel writes a job's cancellation to the store. The error is platform.ErrNoJob if there is no job. It
// isn't stored any more then, although a submission of it may be under way: its entry may be paused, or
// its write may be in doubt. The row of the job is a refusal, and each write of a job expects the version
// that it replaces.
func (c *Coordinator) cancel(ctx context.Context, id string) error {
	err := c.storeCancellation(ctx, id)
	c.log.Info("JobCancelled", zap.String("Job", id), jsonlog.Error(err))

	return err
}

func (c *Coordinator) storeCancellation(ctx context.Context, id string) error {
	// attempted means that a refusal was written, maybe without an effect.
	attempted := false

	for range maxRowWrites {
		row, err := c.readJobRow(ctx, id)

		switch {
		case err != nil && attempted:
			return fmt.Errorf("look for the job again: %w", platform.InDoubt(err))
		case err != nil:
			return fmt.Errorf("look for the job: %w", errors.Join(platform.ErrRefused, err))
		case row.Version > 0 && !isRefusal(row.Value):
			return c.commit(ctx, rows.Transaction{Part: partOf(id)}, rows.Row{
				Table: jobTable,
				Key:   id + cancelSuffix,
				Value: []byte("{}"),
			})
		case attempted && isCancelled(row.Value):
			// By a write whose answer was lost, or by another cancelling.
			return platform.ErrNoJob
		}

		// Also in place of an earlier one: the job may have been submitted again since.
		attempted = true
		if err = c.refuseCancelled(ctx, id, row.Version); err == nil {
			return platform.ErrNoJob
		}

		if !errors.Is(err, rows.ErrConflict) {
			return err
		}
	}

	return fmt.Errorf("the row was changed by others: %w", platform.ErrUnknown)
}

// settledVersion returns the newest version of the store that this process has known of for cancelledFor.
func (c *Coordinator) settledVersion() int64 {
	c.versionsMu.Lock()
	defer c.versionsMu.Unlock()

	return c.versions.KnownFor(c.now(), cancelledFor)
}

// refuseCancelled writes a refusal to the row of a job, in place of a version of the row, 0 for
// none. Its errors are those of commit.
func (c *Coordinator) refuseCancelled(ctx context.Context, id string, version int64) error {
	value, err := c.encodeRefusal(&platform.Refusal{Reason: cancelled})
	if err != nil {
		return fmt.Errorf("refuse: %w", errors.Join(platform.ErrRefused, err))
	}

	return c.commitJob(ctx, id, version, value)
}

// isCancelled reports whether the value of a job's row is the refusal of a cancelled job.
func isCancelled(value []byte) bool {
	if !isRefusal(value) {
		return false
	}

	var r refusalRow

	return json.Unmarshal(value, &r) == nil && r.Refused.Reason == cancelled
}

// readJobRow reads the row of a job, or its refusal. The version is 0 if there is none.
func (c *Coordinator) readJobRow(ctx context.Context, id string) (rows.Row, error) {
	p, err := c.readJobRows(ctx, id)
	if err != nil {
		return rows.Row{}, err
	}

	for _, r := range p.Rows {
		if r.Key == id {
			return r, nil
		}
	}

	return rows.Row{}, nil
}
