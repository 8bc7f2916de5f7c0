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
	// batchRows is how many jobs one transaction may write: the store takes 100
	// entries, and each job takes one to write and one for the version expected.
	batchRows = 45
	// flushDelay gathers ends into one transaction; it adds to the time until a
	// caller sees a job as over.
	flushDelay = 20 * time.Millisecond
)

// persistChanges makes changes durable as they come.
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
				l.c.log.Warn("ProgressNotWritten", jsonlog.Cause(err))
				sleep(ctx, leaderRetryPause)
			}

			if !more {
				break
			}
		}
	}
}

// commitChanges makes one batch durable and returns whether there is more.
func (l *leader) commitChanges(ctx context.Context) (bool, error) {
	l.committing <- struct{}{}
	defer func() { <-l.committing }()

	l.mu.Lock()
	b, err := l.fleet.Changes(batchRows)
	l.mu.Unlock()

	if err != nil {
		return false, err
	}

	if b.Empty() {
		return false, nil
	}

	if len(b.Progress) > 0 {
		err = l.commitProgress(ctx, b)
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	if err != nil {
		l.fleet.Return(b)

		return true, err
	}

	for _, n := range l.fleet.Durable(b) {
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

// commitProgress writes a batch under the condition that this term is the last
// one and that the rows are as this leader knows them.
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

	for id, p := range b.Progress {
		t.Expect = append(t.Expect, rows.Expectation{
			Table:   progressTable,
			Key:     id,
			Version: l.versions[id],
		})
		t.Set = append(t.Set, rows.Row{
			Table: progressTable,
			Key:   id,
			Value: p,
		})
	}

	l.mu.Unlock()

	stamp, err := l.c.store.Commit(ctx, t)
	if err != nil {
		return l.resolveConflict(term, b, err)
	}

	for id := range b.Progress {
		l.setVersion(id, stamp.Version)
	}

	for id, s := range b.Final() {
		l.c.log.Info("JobOver", zap.String("Job", id), zap.String("State", string(s)), zap.Int64("Row", stamp.Version))
	}

	return nil
}

// resolveConflict tells another leader's term from an earlier write of this leader that
// was carried out after all, and takes the rows' versions from the answer.
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

	for id := range b.Progress {
		l.setVersion(id, found[id])
	}

	return fmt.Errorf("write progress: %w", err)
}

func (l *leader) setVersion(id string, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.versions[id] = version
}
