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
	// renewShare is the share of a lease after which it is renewed.
	renewShare = 3
	// leaseSlack is added to a lease before it is taken from its holder.
	leaseSlack = time.Second
	// loadParallel bounds the jobs read at once when a shard is taken.
	loadParallel = 8
)

// lease is what this entry knows of a shard's lease row.
type lease struct {
	version int64
	epoch   int64
	body    table.Shard
	// seen is when this version was first seen, by this entry's clock.
	seen time.Time
	// held says that this entry holds the lease, until validUntil at most.
	held       bool
	validUntil time.Time
	renewedAt  time.Time
}

// releaseLapsed stops scheduling shards whose lease was not renewed in time.
// Its caller holds mu.
func (e *Entry) releaseLapsed(now time.Time) {
	for name, l := range e.leases {
		if l.held && !now.Before(l.validUntil) {
			l.held = false
			e.scheduler.ReleaseShard(name)
			e.log.Warn("ShardLeaseLapsed", zap.String("DataCentre", name))
		}
	}
}

// keepLeases renews the leases that the entry holds and takes those that
// nobody renews.
func (e *Entry) keepLeases(ctx context.Context) {
	asked := time.Now()

	rows, err := e.table.All(ctx, table.PartitionShard)
	if err != nil {
		if ctx.Err() == nil {
			e.log.Warn("LeasesUnreadable", zap.Error(err))
		}

		return
	}

	if err := e.noteLeases(asked, rows); err != nil {
		e.log.Error("LeaseUnreadable", zap.Error(err))

		return
	}

	if e.leaving.Load() {
		return
	}

	for name := range e.shardNames() {
		e.keepLease(ctx, name)
	}
}

// shardNames lists the data centres that are declared or that were scheduled
// before: one that was deleted still has to be drained.
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

// noteLeases compares the rows with what was seen before.
func (e *Entry) noteLeases(now time.Time, rows []table.Row) error {
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
			return fmt.Errorf("read lease of %s: %w", row.Key.Sort, err)
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

func (e *Entry) keepLease(ctx context.Context, dataCentre string) {
	now := time.Now()

	e.mu.Lock()

	l, ok := e.leases[dataCentre]
	if !ok {
		l = &lease{}
		e.leases[dataCentre] = l
	}

	state := *l
	summary := e.scheduler.Summary(dataCentre)
	yields := e.yields()
	e.mu.Unlock()

	switch {
	case state.held && yields:
		e.handOver(ctx, dataCentre, state)
	case state.held && now.Sub(state.renewedAt) >= e.settings.Entry.ShardLease/renewShare:
		e.renewLease(ctx, dataCentre, state, summary)
	case !state.held && !yields && e.free(now, state):
		e.takeLease(ctx, dataCentre, state)
	}
}

// free reports whether a lease can be taken: released, or not renewed for as
// long as its holder may still count on it.
func (e *Entry) free(now time.Time, l lease) bool {
	if l.version == 0 || l.body.Holder == "" {
		return true
	}

	return now.Sub(l.seen) > l.body.Lease+leaseSlack
}

// yields reports whether another entry holds more shards, so that all come to
// be scheduled by one. Its caller holds mu.
func (e *Entry) yields() bool {
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

func (e *Entry) shardBody(epoch int64, holder string, m placement.Summary) table.Shard {
	return table.Shard{
		Holder:  holder,
		Epoch:   epoch,
		Lease:   e.settings.Entry.ShardLease,
		Summary: m,
	}
}

func (e *Entry) renewLease(ctx context.Context, dataCentre string, l lease, m placement.Summary) {
	asked := time.Now()
	body := e.shardBody(l.epoch, e.settings.Entry.Name, m)

	w, err := table.PutJSON(table.ShardKey(dataCentre), l.version, body)
	if err != nil {
		e.log.Error("LeaseNotRenewed", zap.Error(err))

		return
	}

	if err := e.table.Commit(ctx, []table.Write{w}); err != nil {
		// The next look at the row settles what became of it.
		e.log.Warn("LeaseNotRenewed", zap.String("DataCentre", dataCentre), zap.Error(err))

		return
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	now := e.leases[dataCentre]
	if !now.held || now.epoch != l.epoch {
		return
	}

	now.version = l.version + 1
	now.body = body
	now.seen = asked
	now.renewedAt = asked
	now.validUntil = asked.Add(e.settings.Entry.ShardLease)
}

// takeLease takes a shard with the next epoch, reads its state, and starts to
// schedule it.
func (e *Entry) takeLease(ctx context.Context, dataCentre string, l lease) {
	asked := time.Now()
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

	// No other holder can place tasks from here on, so that every job with
	// tasks in the pages is in the feed by now.
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
	current.seen = asked
	current.renewedAt = asked
	current.validUntil = asked.Add(e.settings.Entry.ShardLease)
	current.held = now.Before(current.validUntil)
	e.holders[dataCentre] = e.settings.Entry.Name

	if !current.held {
		return
	}

	for _, j := range jobs {
		e.scheduler.SetJob(now, j.spec, j.segments)
	}

	e.scheduler.TakeShard(now, dataCentre, epoch, pages)
	e.log.Info("ShardTaken", zap.String("DataCentre", dataCentre), zap.Int64("Epoch", epoch))
}

// jobState is a job as the table records it.
type jobState struct {
	spec     placement.JobSpec
	segments []*placement.Segment
}

// readShard reads the pages of a shard and the segments of every job.
func (e *Entry) readShard(ctx context.Context, dataCentre string) ([]*placement.Page, []jobState, error) {
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

	jobs := make([]jobState, len(specs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(loadParallel)

	for i, spec := range specs {
		group.Go(func() error {
			segments, err := e.jobSegments(ctx, spec.Key)
			jobs[i] = jobState{
				spec:     spec,
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

// handOver releases a lease so that another entry can take it at once.
func (e *Entry) handOver(ctx context.Context, dataCentre string, l lease) {
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

// releaseLeases hands every lease over.
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
		e.handOver(ctx, name, l)
	}
}
