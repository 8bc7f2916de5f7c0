package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"trefoildeck/core/fleet"
	"trefoildeck/internal/jsonlog"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/io/rows"

	"go.uber.org/zap"
)

const (
	// batchRows limits the rows per transaction: the store accepts 100 entries, and
	// each row needs two, one for the write and one for the expected version.
	batchRows = 45
	// batchBytes limits the values per transaction: the store accepts 1 MB, in which
	// base64 adds a third to the values.
	batchBytes = 512 << 10
	// flushDelay batches ends of tasks into one transaction. It delays the moment when
	// callers see a job as finished.
	flushDelay = 20 * time.Millisecond
)

// persistChanges writes the fleet's changes to the store, batched by flushDelay, until
// ctx is done or another leader has a later term.
func (l *leader) persistChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.flush:
		}

		sleep(ctx, flushDelay)

		for ctx.Err() == nil {
			more, err := l.commitChanges(ctx)
			if errors.Is(err, peer.ErrSuperseded) {
				return err
			}

			if err != nil {
				l.c.log.Warn("ProgressNotWritten", jsonlog.Error(err))
				sleep(ctx, leaderRetryPause)
			}

			if !more {
				break
			}
		}
	}
}

// commitChanges writes one batch, tells the nodes up to which number their ends are
// durable, and reports whether there are more changes.
func (l *leader) commitChanges(ctx context.Context) (bool, error) {
	l.committing <- struct{}{}
	defer func() { <-l.committing }()

	l.mu.Lock()
	b, err := l.fleet.Changes(l.rejections.limits(l.c.now()))

	for _, u := range l.fleet.UnstoredCheckpoints() {
		l.repeats.Log(l.c.log, zap.WarnLevel, "CheckpointNotStored", "too large", zap.String("Job", u.Job),
			zap.Int("Bytes", u.Bytes), zap.Int("Limit", u.Limit))
	}

	l.mu.Unlock()

	if err != nil {
		return false, err
	}

	if b.Empty() {
		return false, nil
	}

	switch {
	case len(b.Rows) > 0:
		err = l.commitProgress(ctx, b)
	case !l.holdsLease():
		// The ends in it changed nothing, maybe because their jobs are known to the next
		// leader only.
		err = errLeaseExpired
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	if err != nil {
		l.fleet.Requeue(b)
		l.handleRejection(b, err)

		return true, err
	}

	l.rejections.committed(b)

	for _, n := range l.fleet.Committed(b) {
		if link := l.nodes[n.Node]; link != nil {
			link.send(&peerpb.Frame{Body: &peerpb.Frame_Recorded{Recorded: &peerpb.Recorded{
				WorkerID: n.Incarnation.ID,
				Born:     n.Incarnation.Born,
				Number:   n.Number,
			}}})
		}
	}

	return l.fleet.Changed(), nil
}

// commitProgress writes a batch on the condition that no later term has begun and that
// the rows have the versions that this leader last wrote or read.
func (l *leader) commitProgress(ctx context.Context, b fleet.Batch) error {
	l.leaseMu.Lock()
	term := l.lease.termVersion
	l.leaseMu.Unlock()

	t := rows.Transaction{
		Part: leadPart,
		Expect: []rows.Expectation{{
			Table:   leadTable,
			Key:     termKey,
			Version: term,
		}},
	}

	l.mu.Lock()

	for _, r := range b.Rows {
		version := l.versions[r.Key]
		row := rows.Row{
			Table: progressTable,
			Key:   r.Key,
			Value: r.Value,
		}

		switch {
		case r.Value != nil:
			t.Set = append(t.Set, row)
		case version > 0:
			t.Remove = append(t.Remove, row)
		default:
			// There is nothing to remove.
			continue
		}

		t.Expect = append(t.Expect, rows.Expectation{
			Table:   progressTable,
			Key:     r.Key,
			Version: version,
		})
	}

	l.mu.Unlock()

	stamp, err := l.c.store.Commit(ctx, t)
	if err != nil {
		return l.resolveConflict(term, b, err)
	}

	for _, r := range b.Rows {
		version := stamp.Version
		if r.Value == nil {
			version = 0
		}

		l.setVersion(r.Key, version)
	}

	for id, s := range b.Final() {
		l.c.log.Info("JobOver", zap.String("Job", id), zap.String("State", string(s)), zap.Int64("Row", stamp.Version))
	}

	return nil
}

// resolveConflict handles an error of a commit. On a conflict, it returns
// peer.ErrSuperseded if a later term has begun. Otherwise an earlier write of this
// leader was applied although its answer was lost, and the versions from the answer are
// kept for the next attempt.
func (l *leader) resolveConflict(term int64, b fleet.Batch, err error) error {
	var c *rows.Conflict
	if !errors.As(err, &c) {
		return fmt.Errorf("write progress: %w", err)
	}

	found := make(map[string]int64, len(c.Rows))

	for _, r := range c.Rows {
		if r.Table == progressTable {
			found[r.Key] = r.Version
		}

		if r.Table == leadTable && r.Key == termKey && r.Version != term {
			return fmt.Errorf("write progress: %w", errors.Join(peer.ErrSuperseded, err))
		}
	}

	for _, r := range b.Rows {
		l.setVersion(r.Key, found[r.Key])
	}

	return fmt.Errorf("write progress: %w", err)
}

// setVersion records the version of a row of progress, 0 if there is none.
func (l *leader) setVersion(key string, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if version == 0 {
		delete(l.versions, key)

		return
	}

	l.versions[key] = version
}
