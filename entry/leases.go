package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"trefoildeck/core/placement"
	"trefoildeck/core/resource"
	"trefoildeck/io/table"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	// renewDivisor divides a lease's duration: the lease is renewed after a third.
	renewDivisor = 3
	// takeoverMargin is how long another entry waits after the end of a lease
	// before it takes it.
	takeoverMargin = time.Second
	// maxParallelJobReads bounds the jobs that are read concurrently when a shard
	// is taken.
	maxParallelJobReads = 8
)

// lease is this entry's view of a shard's lease row.
type lease struct {
	version int64
	epoch   int64
	body    table.Shard
	// seen is when this version was first seen, by this entry's clock: for the lease of
	// another entry, not before the version was written.
	seen time.Time
	// held is set while this entry holds the lease, at most until validUntil.
	held       bool
	validUntil time.Time
	renewedAt  time.Time
}

// releaseLapsedShards stops scheduling the shards whose lease was not renewed in
// time. The caller must hold mu.
func (e *Entry) releaseLapsedShards(now time.Time) {
	for name, l := range e.leases {
		if l.held && !now.Before(l.validUntil) {
			l.held = false
			e.scheduler.ReleaseShard(name)
			e.log.Warn("ShardLeaseLapsed", zap.String("DataCentre", name))
		}
	}
}

// maintainLeases reads the lease rows, renews or yields the leases that the entry
// holds and takes those that are free.
func (e *Entry) maintainLeases(ctx context.Context) {
	rows, err := e.table.All(ctx, table.PartitionShard)
	if err != nil {
		if ctx.Err() == nil {
			e.log.Warn("LeasesUnreadable", zap.Error(err))
		}

		return
	}

	// A holder may have renewed its lease at any time up to the answer.
	if err := e.applyLeaseRows(time.Now(), rows); err != nil {
		e.log.Error("LeaseUnreadable", zap.Error(err))

		return
	}

	if e.draining.Load() {
		return
	}

	for name := range e.shardNames() {
		e.maintainLease(ctx, name)
	}
}

// shardNames returns the data centres that are declared or have a lease row: a
// deleted data centre must still be drained.
func (e *Entry) shardNames() map[string]bool {
	names := map[string]bool{}
	for _, r := range e.catalog.List(resource.KindDataCentre) {
		names[r.ID.Name] = true
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	for name := range e.leases {
		names[name] = true
	}

	return names
}

// applyLeaseRows updates the known leases from their rows, and stops scheduling
// the shards whose lease another entry has taken.
func (e *Entry) applyLeaseRows(now time.Time, rows []table.Row) error {
	e.mu.Lock()
	defer e.mu.Unlock()

	for _, row := range rows {
		l, ok := e.leases[row.Key.Sort]
		if ok && l.version == row.Version {
			continue
		}

		if !ok {
			l = &lease{}
			e.leases[row.Key.Sort] = l
		}

		var body table.Shard
		if err := json.Unmarshal(row.Body, &body); err != nil {
			return fmt.Errorf("decode lease of %s: %w", row.Key.Sort, err)
		}

		l.version = row.Version
		l.body = body
		l.seen = now
		e.holders[row.Key.Sort] = body.Holder

		if l.held && (body.Holder != e.settings.Entry.Name || body.Epoch != l.epoch) {
			l.held = false
			e.scheduler.ReleaseShard(row.Key.Sort)
			e.log.Warn("ShardLeaseLost", zap.String("DataCentre", row.Key.Sort), zap.String("Holder", body.Holder))
		}

		if !l.held {
			e.scheduler.SetRemoteSummary(row.Key.Sort, body.Summary)
		}
	}

	return nil
}

// maintainLease renews, releases or takes the lease of one shard, as its state
// demands.
func (e *Entry) maintainLease(ctx context.Context, dataCentre string) {
	now := time.Now()

	e.mu.Lock()

	l, ok := e.leases[dataCentre]
	if !ok {
		l = &lease{}
		e.leases[dataCentre] = l
	}

	state := *l
	summary := e.scheduler.Summary(dataCentre)
	yield := e.shouldYield()
	e.mu.Unlock()

	switch {
	case state.held && yield:
		e.releaseLease(ctx, dataCentre, state)
	case state.held && now.Sub(state.renewedAt) >= e.settings.Entry.ShardLease/renewDivisor:
		e.renewLease(ctx, dataCentre, state, summary)
	case !state.held && !yield && e.free(now, state):
		e.takeLease(ctx, dataCentre, state)
	}
}

// free reports whether a lease can be taken: it was never taken, was released, or was
// not renewed for longer than its duration plus takeoverMargin, so that its holder
// can no longer count on it.
func (e *Entry) free(now time.Time, l lease) bool {
	if l.version == 0 || l.body.Holder == "" {
		return true
	}

	return now.Sub(l.seen) > l.body.Lease+takeoverMargin
}

// shouldYield reports whether another entry holds more shards, or as many and has
// the lower name. Entries yield so that one of them schedules all shards. The
// caller must hold mu.
func (e *Entry) shouldYield() bool {
	counts := map[string]int{}
	now := time.Now()

	for _, l := range e.leases {
		if l.body.Holder != "" && (l.held || now.Sub(l.seen) <= l.body.Lease) {
			counts[l.body.Holder]++
		}
	}

	own := e.settings.Entry.Name

	for name, n := range counts {
		if name != own && (n > counts[own] || n == counts[own] && name < own) {
			return true
		}
	}

	return false
}

func (e *Entry) shardBody(epoch int64, holder string, summary placement.Summary) table.Shard {
	return table.Shard{
		Holder:  holder,
		Epoch:   epoch,
		Lease:   e.settings.Entry.ShardLease,
		Summary: summary,
	}
}

func (e *Entry) renewLease(ctx context.Context, dataCentre string, l lease, summary placement.Summary) {
	sentAt := time.Now()
	body := e.shardBody(l.epoch, e.settings.Entry.Name, summary)

	w, err := table.PutJSON(table.ShardKey(dataCentre), l.version, body)
	if err != nil {
		e.log.Error("LeaseNotRenewed", zap.Error(err))

		return
	}

	if err := e.table.Commit(ctx, []table.Write{w}); err != nil {
		// The next read of the row shows whether it was written.
		e.log.Warn("LeaseNotRenewed", zap.String("DataCentre", dataCentre), zap.Error(err))

		return
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	current := e.leases[dataCentre]
	if !current.held || current.epoch != l.epoch {
		return
	}

	current.version = l.version + 1
	current.body = body
	current.seen = sentAt
	current.renewedAt = sentAt
	current.validUntil = sentAt.Add(e.settings.Entry.ShardLease)
}

// takeLease takes a shard's lease with the next epoch, reads the shard's state and
// starts to schedule it.
func (e *Entry) takeLease(ctx context.Context, dataCentre string, l lease) {
	sentAt := time.Now()
	epoch := l.body.Epoch + 1
	body := e.shardBody(epoch, e.settings.Entry.Name, l.body.Summary)

	w, err := table.PutJSON(table.ShardKey(dataCentre), l.version, body)
	if err != nil {
		e.log.Error("LeaseNotTaken", zap.Error(err))

		return
	}

	err = e.table.Commit(ctx, []table.Write{w, {
		Key:     table.EpochKey(dataCentre),
		Expect:  l.body.Epoch,
		Version: epoch,
		Body:    []byte("{}"),
	}})
	if err != nil {
		if !errors.Is(err, table.ErrConflict) {
			e.log.Warn("LeaseNotTaken", zap.String("DataCentre", dataCentre), zap.Error(err))
		}

		return
	}

	// The new epoch fences off earlier holders: they can place no more tasks.
	// Every job with tasks in the pages is therefore in the feed by now.
	if err := e.readFeed(ctx); err != nil {
		e.log.Warn("ShardUnreadable", zap.String("DataCentre", dataCentre), zap.Error(err))

		return
	}

	pages, jobs, err := e.readShard(ctx, dataCentre)
	if err != nil {
		e.log.Warn("ShardUnreadable", zap.String("DataCentre", dataCentre), zap.Error(err))

		return
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	now := time.Now()
	current := e.leases[dataCentre]
	current.version = l.version + 1
	current.epoch = epoch
	current.body = body
	current.seen = sentAt
	current.renewedAt = sentAt
	current.validUntil = sentAt.Add(e.settings.Entry.ShardLease)
	current.held = now.Before(current.validUntil)
	e.holders[dataCentre] = e.settings.Entry.Name

	if !current.held {
		return
	}

	for _, j := range jobs {
		e.scheduler.SetSegments(j.key, j.segments)
	}

	e.scheduler.TakeShard(now, dataCentre, epoch, pages)
	e.log.Info("ShardTaken", zap.String("DataCentre", dataCentre), zap.Int64("Epoch", epoch))
}

// recordedJob is a job with its segments as recorded in the table.
type recordedJob struct {
	key      string
	segments []*placement.Segment
}

// readShard reads the pages of a shard and the segments of every job.
func (e *Entry) readShard(ctx context.Context, dataCentre string) ([]*placement.Page, []recordedJob, error) {
	rows, err := e.table.All(ctx, table.PagePartition(dataCentre))
	if err != nil {
		return nil, nil, fmt.Errorf("read pages: %w", err)
	}

	var pages []*placement.Page

	for _, row := range rows {
		p, err := table.ReadPage(row)
		if err != nil {
			return nil, nil, err
		}

		pages = append(pages, p)
	}

	e.mu.Lock()
	specs := e.scheduler.JobSpecs()
	e.mu.Unlock()

	jobs := make([]recordedJob, len(specs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelJobReads)

	for i, spec := range specs {
		group.Go(func() error {
			segments, err := e.jobSegments(ctx, spec.Key)
			jobs[i] = recordedJob{
				key:      spec.Key,
				segments: segments,
			}

			return err
		})
	}

	if err := group.Wait(); err != nil {
		return nil, nil, fmt.Errorf("read jobs: %w", err)
	}

	return pages, jobs, nil
}

// releaseLease releases a shard and its lease, so that another entry can take it
// without waiting for its end.
func (e *Entry) releaseLease(ctx context.Context, dataCentre string, l lease) {
	e.mu.Lock()
	summary := e.scheduler.Summary(dataCentre)
	e.scheduler.ReleaseShard(dataCentre)
	e.leases[dataCentre].held = false
	e.mu.Unlock()

	w, err := table.PutJSON(table.ShardKey(dataCentre), l.version, e.shardBody(l.epoch, "", summary))
	if err != nil {
		e.log.Error("LeaseNotReleased", zap.Error(err))

		return
	}

	if err := e.table.Commit(ctx, []table.Write{w}); err != nil {
		e.log.Warn("LeaseNotReleased", zap.String("DataCentre", dataCentre), zap.Error(err))

		return
	}

	e.log.Info("ShardReleased", zap.String("DataCentre", dataCentre))
}

// releaseLeases releases every lease that the entry holds.
func (e *Entry) releaseLeases(ctx context.Context) {
	e.mu.Lock()

	held := map[string]lease{}

	for name, l := range e.leases {
		if l.held {
			held[name] = *l
		}
	}
	e.mu.Unlock()

	for name, l := range held {
		e.releaseLease(ctx, name, l)
	}
}
