package placement

import (
	"cmp"
	"maps"
	"slices"
)

// maxBatchRows is the maximum number of rows in a batch. The transaction has one
// more row, which checks the shard's epoch.
const maxBatchRows = 90

// Result is the outcome of committing a batch.
type Result int

// The results.
const (
	// ResultWritten means that every row was written.
	ResultWritten Result = iota
	// ResultRejected means that nothing was written.
	ResultRejected
	// ResultUnknown means that the batch is in doubt: it may have been written.
	ResultUnknown
)

// Batch is one transaction. It must be committed only if each row still has the
// version given here and the shard still has the epoch.
type Batch struct {
	DataCentre string
	Epoch      int64
	// Pages and Segments hold the new contents. Their Version is the one that
	// the row must have before the write, zero for a new row.
	Pages    map[int]*Page
	Segments map[SegmentKey]*Segment
	// Deleted maps the segments whose rows are removed to the versions that the
	// rows must have.
	Deleted map[SegmentKey]int64

	scheduler *Scheduler
	shard     *shard
	// copied holds the workers whose records in Pages belong to the batch.
	copied  map[string]bool
	starts  []Start
	endAcks []EndAck
	ends    []reportedEnd
	// teamUsage is the change that the batch made to the usage of each team.
	teamUsage map[string]Size
	placed    int64
	finished  int64
	resumed   int64
}

func newBatch(s *Scheduler, h *shard) *Batch {
	return &Batch{
		DataCentre: h.dataCentre,
		Epoch:      h.epoch,
		Pages:      map[int]*Page{},
		Segments:   map[SegmentKey]*Segment{},
		Deleted:    map[SegmentKey]int64{},
		scheduler:  s,
		shard:      h,
		copied:     map[string]bool{},
		teamUsage:  map[string]Size{},
	}
}

func (b *Batch) empty() bool {
	return b.rows() == 0
}

func (b *Batch) rows() int {
	return len(b.Pages) + len(b.Segments) + len(b.Deleted)
}

// page returns the batch's copy of a page, or nil if the batch is full.
func (b *Batch) page(number int) *Page {
	if p := b.Pages[number]; p != nil {
		return p
	}

	if b.rows() >= maxBatchRows {
		return nil
	}

	p := &Page{
		DataCentre: b.DataCentre,
		Number:     number,
		Workers:    map[string]*Worker{},
	}

	if old := b.shard.pages[number]; old != nil {
		p.Version = old.Version
		// A page whose row doesn't exist yet has no map.
		maps.Copy(p.Workers, old.Workers)
	}

	b.Pages[number] = p

	return p
}

// worker returns the batch's copy of a worker's record, or nil if the batch is full.
func (b *Batch) worker(r *workerInfo) *Worker {
	p := b.page(r.page)
	if p == nil {
		return nil
	}

	w := p.Workers[r.name]
	if w == nil || b.copied[r.name] {
		return w
	}

	c := *w
	c.Committed = maps.Clone(w.Committed)
	p.Workers[r.name] = &c
	b.copied[r.name] = true

	return &c
}

// segment returns the batch's copy of a segment, or nil if another batch has locked
// it or this one is full.
func (b *Batch) segment(g *segmentInfo) *Segment {
	k := g.record.Key()
	if c := b.Segments[k]; c != nil {
		return c
	}

	if g.locked || b.rows() >= maxBatchRows {
		return nil
	}

	c := *g.record
	c.Tasks = slices.Clone(g.record.Tasks)
	b.Segments[k] = &c
	g.locked = true

	return &c
}

// addUsage adds a size, which may be negative, to a team's usage until the result of
// the batch is known.
func (b *Batch) addUsage(team string, size Size) {
	b.teamUsage[team] = b.teamUsage[team].Add(size)
	t := b.scheduler.team(team)
	t.used = t.used.Add(size)
}

// release frees the commitment of an attempt on a worker and reports whether the
// batch had room for it.
func (b *Batch) release(r *workerInfo, id AttemptID) bool {
	w := b.worker(r)
	if w == nil {
		return false
	}

	delete(w.Committed, id.String())
	r.free = w.Free()
	b.shard.index.update(r)

	return true
}

// ApplyResult applies the result of a batch. Unless the batch was written, its rows
// become stale, its ends are queued again, and the shard has no further batch until
// the rows are reloaded.
func (s *Scheduler) ApplyResult(b *Batch, result Result) {
	h := b.shard
	h.inFlight = false

	for k := range b.Segments {
		if g := s.segment(k); g != nil {
			g.locked = false
		}
	}

	for k := range b.Deleted {
		if g := s.segment(k); g != nil {
			g.locked = false
		}
	}

	// The records of the workers have the usage of a written batch.
	b.undoUsage()

	if s.shards[b.DataCentre] != h {
		b.markStale()

		return
	}

	if result != ResultWritten {
		s.stats.Conflicts++
		h.ends = append(h.ends, b.ends...)
		b.markStale()

		return
	}

	s.applyWritten(b)
}

// applyWritten makes the rows of a written batch the current ones.
func (s *Scheduler) applyWritten(b *Batch) {
	h := b.shard

	for _, n := range sortedKeys(b.Pages) {
		b.Pages[n].Version++
		h.pages[n] = b.Pages[n]
	}

	for _, name := range sortedKeys(b.copied) {
		r := s.workers[name]
		s.setRecord(h, r, h.pages[r.page].Workers[name])
	}

	for _, k := range sortedSegments(b.Segments) {
		c := b.Segments[k]
		c.Version++

		if g := s.segment(k); g != nil && !g.newerThan(c) {
			s.setSegment(g, c)
		}
	}

	for _, k := range sortedSegments(b.Deleted) {
		s.dropSegment(k)
	}

	for _, e := range b.ends {
		delete(s.evicting, e.ID)

		if r := s.workers[e.worker]; r != nil {
			delete(r.throttleStep, e.ID)
		}
	}

	h.starts = append(h.starts, b.starts...)
	h.endAcks = append(h.endAcks, b.endAcks...)
	s.stats.Placed += b.placed
	s.stats.Finished += b.finished
	s.stats.Resumed += b.resumed
}

func sortedSegments[V any](m map[SegmentKey]V) []SegmentKey {
	return slices.SortedFunc(maps.Keys(m), func(a, b SegmentKey) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Number, b.Number))
	})
}

// undoUsage takes back the batch's changes to the usage of teams.
func (b *Batch) undoUsage() {
	for name, size := range b.teamUsage {
		t := b.scheduler.team(name)
		t.used = t.used.Sub(size)
	}
}

// markStale marks every row of the batch as stale and holds up the shard's next
// batch.
func (b *Batch) markStale() {
	for n := range b.Pages {
		b.shard.stale.pages[n] = true
	}

	for k := range b.Segments {
		b.shard.stale.segments[k] = true
	}

	for k := range b.Deleted {
		b.shard.stale.segments[k] = true
	}

	b.shard.inFlight = true
}

// StaleRows returns the rows of a shard that must be read again and passed to
// ApplyReloaded before its next batch: page numbers and segment keys, sorted.
func (s *Scheduler) StaleRows(dataCentre string) (pages []int, segments []SegmentKey) {
	h, ok := s.shards[dataCentre]
	if !ok {
		return nil, nil
	}

	return sortedKeys(h.stale.pages), sortedSegments(h.stale.segments)
}

// ApplyReloaded replaces stale rows by those read from the table. A row that does
// not exist is passed with its key and version zero. A segment that a batch of another
// shard has written since is left as it is, and so are rows that were read for an earlier
// hold of the shard, in which case a batch may be in flight.
func (s *Scheduler) ApplyReloaded(dataCentre string, pages []*Page, segments []*Segment) {
	h, ok := s.shards[dataCentre]
	if !ok || len(h.stale.pages)+len(h.stale.segments) == 0 {
		return
	}

	for _, p := range pages {
		if old := h.pages[p.Number]; old != nil && old.Version > p.Version {
			continue
		}

		delete(h.stale.pages, p.Number)
		s.setPage(h, p)
		s.evictOrphans(p)
	}

	for _, c := range segments {
		delete(h.stale.segments, c.Key())

		if g := s.segment(c.Key()); g != nil && !g.newerThan(c) {
			s.setSegment(g, c)
		}
	}

	if len(h.stale.pages)+len(h.stale.segments) == 0 {
		h.inFlight = false
	}
}
