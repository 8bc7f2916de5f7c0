package coordinator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"trefoildeck/core/backlog"
	"trefoildeck/io/rows"
	"trefoildeck/platform"

	"go.uber.org/zap"
)

const (
	// refusalTimeout limits the time to store a refusal. After it, the submission is accepted.
	refusalTimeout = retryTimeout
	// maxRowWrites is the largest number of writes of the row of one submission. Each but the first
	// follows a write by another process.
	maxRowWrites = 8
	// overtakenRetryAfter is the time after which a submission may be repeated that was overtaken by
	// a refusal. By then, all entries know of a newer version of the store: a feed waits no longer.
	overtakenRetryAfter = 2 * feedWait
	// overtaken is the reason of such a refusal.
	overtaken = "Overtaken"
)

// refusalRow is the value of the row of a job that was refused. It has no valid spec, so that
// versions of the program that don't know refusals pass it over.
type refusalRow struct {
	Refused struct {
		Reason     string
		RetryAfter time.Duration
		Entry      string
	}
}

// refusalPrefix is the beginning of the value of a refusal, and of no job.
var refusalPrefix = []byte(`{"Refused":`)

func isRefusal(value []byte) bool { return bytes.HasPrefix(value, refusalPrefix) }

// submission is a job that is to be stored, or its refusal.
type submission struct {
	id    string
	value []byte
	// known is the newest version of the store that this process knew of when the request came.
	known int64
	// settled is the one that it had known of for cancelledFor.
	settled int64
	// refusal is nil if the job is admitted.
	refusal *platform.Refusal
}

// storeJob stores a job, or its refusal on the condition that there is no job. It returns true if the
// job was stored before. The error is a *platform.Refusal once the refusal is stored: from then on,
// no earlier write of the row can take effect, since each expects the version that it replaces. If the
// refusal can't be stored at once, the job is accepted.
//
// A refusal in the row is replaced if it is known to be older than the request. Another one may
// be the answer to a repetition of this request, which must stay true. That of a job that was
// cancelled has to be known for cancelledFor.
func (c *Coordinator) storeJob(ctx context.Context, s submission) (repeated bool, err error) {
	// later means that the row has a refusal that must stay true.
	refusal, version, later := s.refusal, int64(0), false

	for range maxRowWrites {
		if refusal != nil {
			err = c.commitRefusal(ctx, s.id, version, refusal)
		} else {
			err = c.commitJob(ctx, s.id, version, s.value)
		}

		switch {
		case err == nil && refusal != nil:
			return false, refusal
		case errors.Is(err, rows.ErrConflict):
		case refusal == nil:
			return false, err
		case later:
			// The job must not be stored, and may be by an earlier write.
			return false, fmt.Errorf("refuse: %w", platform.InDoubt(err))
		default:
			refusal = nil

			continue
		}

		row, err := c.rowInConflict(ctx, s.id, err)

		switch {
		case err != nil:
			return false, err
		case !isRefusal(row.Value):
			return true, nil
		case row.Version > s.known || (isCancelled(row.Value) && row.Version > s.settled):
			refusal, later = cmp.Or(s.refusal, &platform.Refusal{
				Reason:     overtaken,
				RetryAfter: overtakenRetryAfter,
			}), true
		}

		version = row.Version

		if ctx.Err() != nil {
			// The caller has given up and may have been answered by another entry.
			break
		}
	}

	return false, fmt.Errorf("the row was changed by others: %w", platform.ErrUnknown)
}

// commitJob writes the row of a job, in place of a version of the row, 0 for none.
func (c *Coordinator) commitJob(ctx context.Context, id string, version int64, value []byte) error {
	return c.commit(ctx, rows.Transaction{
		Part: partOf(id),
		Expect: []rows.Expectation{{
			Table:   jobTable,
			Key:     id,
			Version: version,
		}},
	}, rows.Row{
		Table: jobTable,
		Key:   id,
		Value: value,
	})
}

// commitRefusal writes a refusal to the row of a job, in place of a version of the row, 0 for none.
// Its errors are those of rows.Store.
func (c *Coordinator) commitRefusal(ctx context.Context, id string, version int64, r *platform.Refusal) error {
	encoded, err := c.encodeRefusal(r)
	if err != nil {
		return fmt.Errorf("refuse: %w", errors.Join(rows.ErrRefused, err))
	}

	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()

	_, err = c.store.Commit(ctx, rows.Transaction{
		Part: partOf(id),
		Expect: []rows.Expectation{{
			Table:   jobTable,
			Key:     id,
			Version: version,
		}},
		Set: []rows.Row{{
			Table: jobTable,
			Key:   id,
			Value: encoded,
		}},
	})
	if err != nil {
		return fmt.Errorf("store refusal: %w", err)
	}

	return nil
}

func (c *Coordinator) encodeRefusal(r *platform.Refusal) ([]byte, error) {
	var value refusalRow

	value.Refused.Reason = r.Reason
	value.Refused.RetryAfter = r.RetryAfter
	value.Refused.Entry = c.node.Name

	encoded, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode refusal: %w", err)
	}

	return encoded, nil
}

// rowInConflict returns the row of a job that a write found instead of the one that it expected.
func (c *Coordinator) rowInConflict(ctx context.Context, id string, err error) (rows.Row, error) {
	var conflict *rows.Conflict
	if errors.As(err, &conflict) {
		for _, r := range conflict.Rows {
			// The store may leave out the value.
			if r.Key == id && len(r.Value) > 0 {
				return r, nil
			}
		}
	}

	row, err := c.readJobRow(ctx, id)

	switch {
	case err != nil:
		// The row may be that of an earlier attempt of this write.
		return rows.Row{}, fmt.Errorf("read the row in conflict: %w", platform.InDoubt(err))
	case row.Version == 0:
		return rows.Row{}, fmt.Errorf("the row in conflict is gone: %w", platform.ErrUnknown)
	default:
		return row, nil
	}
}

// noteVersion records that the store has a version.
func (c *Coordinator) noteVersion(version int64) {
	c.versionsMu.Lock()
	c.versions.Note(c.now(), version)
	c.versionsMu.Unlock()

	for {
		known := c.storeVersion.Load()
		if version <= known || c.storeVersion.CompareAndSwap(known, version) {
			return
		}
	}
}

// logRefusal logs and counts a refusal that was stored, with the verdict on the submission.
func (c *Coordinator) logRefusal(r *platform.Refusal, id, queue string, v backlog.Verdict) {
	c.meter.Count("jobs_refused_total", "reason", r.Reason)
	c.log.Info("JobRefused", zap.String("Job", id), zap.String("Queue", queue), zap.String("Reason", r.Reason),
		zap.Duration("RetryAfter", r.RetryAfter), zap.Duration("Wait", v.Wait), zap.Duration("Limit", v.Limit),
		zap.Duration("LoadAge", v.LoadAge))
}
