package coordinator

import (
	"errors"
	"fmt"
	"time"

	"trefoildeck/core/fleet"
	"trefoildeck/core/lease"
	"trefoildeck/internal/jsonlog"
	"trefoildeck/io/rows"

	"go.uber.org/zap"
)

// rejectionPause is the time after which a row that the store rejected is written again.
const rejectionPause = lease.RenewInterval

// rejections has the rows of progress that the store rejects. A transaction that is rejected is
// repeated row by row, so that one row doesn't keep the others from being stored.
type rejections struct {
	// singly is the number of the next transactions that write one row each.
	singly int
	// rows has the rejected rows by key.
	rows map[string]rejection
}

// rejection is the state of a row that was rejected alone.
type rejection struct {
	// since is the time of the first rejection, and heldUntil that of the next try.
	since, heldUntil time.Duration
}

// limits returns the limits of the next transaction.
func (r *rejections) limits(now time.Duration) fleet.BatchLimits {
	l := fleet.BatchLimits{
		Rows:  batchRows,
		Bytes: batchBytes,
	}

	if r.singly > 0 {
		r.singly--
		l.Rows = 1
	}

	if len(r.rows) > 0 {
		l.Held = func(key string) bool { return now < r.rows[key].heldUntil }
	}

	return l
}

// committed records that the rows of a batch are stored.
func (r *rejections) committed(b fleet.Batch) {
	for _, row := range b.Rows {
		delete(r.rows, row.Key)
	}
}

// handleRejection handles the error of a batch that the store will never accept. A job with a row
// that is rejected alone ends as failed: its ends can't be recorded, and the workers would list them
// for ever. By then, this leader has renewed its lease since the first rejection, so that the
// store accepts other rows. The caller holds l.mu.
func (l *leader) handleRejection(b fleet.Batch, err error) {
	if !errors.Is(err, rows.ErrInvalid) {
		return
	}

	if len(b.Rows) > 1 {
		l.rejections.singly = len(b.Rows)

		return
	}

	var (
		row      = b.Rows[0]
		now      = l.c.now()
		r, known = l.rejections.rows[row.Key]
	)

	if !known {
		r.since = now
		l.c.meter.Count("progress_rejected_total")
		l.c.log.Error("ProgressRejected", zap.String("Job", fleet.JobOfRow(row.Key)), zap.String("Row", row.Key),
			zap.Int("Bytes", len(row.Value)), zap.Int("Limit", l.fleet.RowBytes), jsonlog.Error(err))
	}

	r.heldUntil = now + rejectionPause
	l.rejections.rows[row.Key] = r

	time.AfterFunc(rejectionPause, func() { notify(l.flush) })

	if id := fleet.JobOfRow(row.Key); now-r.since > lease.Duration && l.fleet.Fail(id) {
		l.c.log.Error("JobFailed", zap.String("Job", id), zap.String("Reason", fmt.Sprintf("the store rejects row %s", row.Key)))
		notify(l.wake)
	}
}
