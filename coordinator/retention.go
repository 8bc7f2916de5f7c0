package coordinator

import (
	"context"
	"fmt"
	"slices"
	"time"

	"trefoildeck/internal/jsonlog"
	"trefoildeck/io/rows"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// retention is how long a leader keeps the rows of a job in the store after it has found that the job is
	// over, or was refused. Until then callers may ask for its state, for 2 minutes at least, and repetitions
	// of its submission and late writes find the row.
	retention = 10 * time.Minute
	// removalPause is the time between two removals of about four calls each. It leaves the store to
	// others, and is short enough for five times the jobs of the largest known load.
	removalPause = 20 * time.Millisecond
	// retentionCheckPeriod is the time between two looks for rows to be removed.
	retentionCheckPeriod = time.Second
)

// keptJob is a job that is over, or was refused, and whose rows are to be removed.
type keptJob struct {
	id string
	// since is the local time at which this leader has found that.
	since time.Duration
	// refusal is the version of the row if the job was refused, otherwise 0.
	refusal int64
}

// keepRefusal keeps the row of a refusal until its time is over. The caller holds l.mu.
func (l *leader) keepRefusal(r rows.Row) {
	l.kept = append(l.kept, keptJob{
		id:      r.Key,
		since:   l.c.now(),
		refusal: r.Version,
	})
}

// keepOver keeps the rows of the jobs that have ended since the last call until their time is over. The caller
// holds l.mu.
func (l *leader) keepOver() {
	for _, id := range l.fleet.NewlyOver() {
		delete(l.versions, id)
		l.keep(id)
	}
}

// keep keeps the rows of a job that is over until its time is over. The caller holds l.mu.
func (l *leader) keep(id string) {
	l.kept = append(l.kept, keptJob{
		id:    id,
		since: l.c.now(),
	})
}

// nextExpired removes the first job from the list whose time is over, and returns it.
func (l *leader) nextExpired() (keptJob, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.keepOver()

	// The times rise, as all are those of this leader.
	if len(l.kept) == 0 || l.c.now() < l.kept[0].since+retention {
		return keptJob{}, false
	}

	k := l.kept[0]
	l.kept = l.kept[1:]

	return k, true
}

// removeExpired removes the rows of jobs that are over, and of refusals, until ctx is done.
func (l *leader) removeExpired(ctx context.Context) error {
	for ctx.Err() == nil {
		k, ok := keptJob{}, false
		if l.holdsLease() {
			k, ok = l.nextExpired()
		}

		if !ok {
			sleep(ctx, retentionCheckPeriod)

			continue
		}

		if err := l.removeRows(ctx, k); err != nil {
			l.keepAgain(k, err)
		}

		sleep(ctx, removalPause)
	}

	return nil
}

// keepAgain has the rows removed after another retention, since an attempt failed.
func (l *leader) keepAgain(k keptJob, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.c.meter.Count("removals_failed_total")
	l.repeats.Log(l.c.log, zap.WarnLevel, "RowsNotRemoved", "store", zap.String("Job", k.id), jsonlog.Error(err))

	k.since = l.c.now()
	l.kept = append(l.kept, k)
}

// removeRows removes the rows of a job that is over, or of a refusal. The row of the job goes first: without
// its progress, the job would count as one that has not begun. If nothing follows, the next leader
// removes the progress, which belongs to no job then.
func (l *leader) removeRows(ctx context.Context, k keptJob) error {
	p, err := l.c.store.Range(ctx, jobTable, partOf(k.id), k.id, k.id+jobKeysEnd)
	if err != nil {
		return fmt.Errorf("read the rows of the job: %w", err)
	}

	if slices.ContainsFunc(p.Rows, func(r rows.Row) bool { return r.Key == k.id && !l.mayRemove(r, k) }) {
		return nil
	}

	if err := l.removeAll(ctx, partOf(k.id), nil, p.Rows); err != nil {
		return fmt.Errorf("remove the rows of the job: %w", err)
	}

	if k.refusal > 0 {
		l.c.meter.Count("rows_removed_total", "of", "Refusal")

		return nil
	}

	p, err = l.c.store.Range(ctx, progressTable, leadPart, k.id, k.id+jobKeysEnd)
	if err != nil {
		return fmt.Errorf("read the rows of progress: %w", err)
	}

	l.leaseMu.Lock()
	term := rows.Expectation{
		Table:   leadTable,
		Key:     termKey,
		Version: l.lease.termVersion,
	}
	l.leaseMu.Unlock()

	if err := l.removeAll(ctx, leadPart, []rows.Expectation{term}, p.Rows); err != nil {
		return fmt.Errorf("remove the rows of progress: %w", err)
	}

	l.mu.Lock()
	l.fleet.ForgetOver(k.id)
	l.mu.Unlock()

	l.c.meter.Count("rows_removed_total", "of", "Job")
	l.c.log.Info("JobRemoved", zap.String("Job", k.id))

	return nil
}

// mayRemove reports whether the row of a job is still the one whose time is over. A refusal may have been
// replaced, and the ID of a job whose progress alone is left may be in use again.
func (l *leader) mayRemove(r rows.Row, k keptJob) bool {
	if k.refusal > 0 || isRefusal(r.Value) {
		return r.Version == k.refusal
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	s, known := l.fleet.State(k.id)

	return known && s.Final()
}

// removeAll removes rows of a part on the condition that they have their versions, and on others. A
// conflict says that they have been removed by a call whose answer was lost, or have changed: the next
// attempt shows which.
func (l *leader) removeAll(ctx context.Context, part string, expect []rows.Expectation, list []rows.Row) error {
	if len(list) == 0 {
		return nil
	}

	if len(list) > maxRemovedRows {
		list = list[:maxRemovedRows]
	}

	t := rows.Transaction{
		Part:   part,
		Expect: expect,
		Remove: list,
	}

	for _, r := range list {
		t.Expect = append(t.Expect, rows.Expectation{
			Table:   r.Table,
			Key:     r.Key,
			Version: r.Version,
		})
	}

	if _, err := l.c.store.Commit(ctx, t); err != nil {
		return err
	}

	if len(list) == maxRemovedRows {
		return errMoreRows
	}

	return nil
}

// maxRemovedRows is the most rows that one call removes. The store accepts 100 entries, two for each of them.
const maxRemovedRows = 45

var errMoreRows = eris.New("there may be more rows")
