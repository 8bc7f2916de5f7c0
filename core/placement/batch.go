package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxBatchRows bounds the rows of a batch; one more checks the shard's lease.
const maxBatchRows = 90

// Result says what became of a batch.
type Result int

// The results.
const (
	// ResultWritten says that every row was written.
	ResultWritten Result = iota
	// ResultRejected says that nothing was written.
	ResultRejected
	// ResultUnknown says that it may have been written.
	ResultUnknown
)

// Batch is one transaction: new contents of rows, each on condition that the
// row is still at the version before, and that the shard's epoch is still ours.
type Batch struct {
	DataCentre string
	Epoch      int64
	// Pages and Segments hold the new contents; Version is the version that
	// the row must still have, zero for a new row.
	Pages    map[int]*Page
	Segments map[SegmentKey]*Segment
	// Deleted lists the segments whose rows are removed.
	Deleted map[SegmentKey]int64

	scheduler *Scheduler
	shard     *shard
	owned     map[string]bool
	starts    []Start
	answers   []EndAck
	ends      []ended
	usage     map[string]Size
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
		owned:      map[string]bool{},
		usage:      map[string]Size{},
	}
}

func (b *Batch) empty() bool {
	return b.rows() == 0
}

func (b *Batch) rows() int {
	return len(b.Pages) + len(b.Segments) + len(b.Deleted)
}

// page returns the batch's own copy of a page, or nil where there is no room.
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
		p.Workers = maps.Clone(old.Workers)
	}

	b.Pages[number] = p

	return p
}

// worker returns the batch's own copy of a worker's record.
func (b *Batch) worker(r *workerRow) *Worker {
	p := b.page(r.page)
	if p == nil {
		return nil
	}

	w := p.Workers[r.name]
	if w == nil || b.owned[r.name] {
		return w
	}

	c := *w
	c.Committed = maps.Clone(w.Committed)
	p.Workers[r.name] = &c
	b.owned[r.name] = true

	return &c
}

// segment returns the batch's own copy of a segment, or nil where another
// batch has it or there is no room.
func (b *Batch) segment(g *segmentRow) *Segment {
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

func (b *Batch) use(team string, size Size) {
	b.usage[team] = b.usage[team].Add(size)
	t := b.scheduler.team(team)
	t.used = t.used.Add(size)
}

// release frees what an attempt had committed on a worker.
func (b *Batch) release(r *workerRow, id AttemptID) bool {
	w := b.worker(r)
	if w == nil {
		return false
	}

	delete(w.Committed, id.String())
	r.free = w.Free()
	b.shard.index.update(r)

	return true
}

// ApplyResult takes the result of a batch in.
func (s *Scheduler) ApplyResult(now time.Time, b *Batch, result Result) {
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

	if s.shards[b.DataCentre] != h {
		b.undoUsage()
		b.markStale()

		return
	}

	if result != ResultWritten {
		s.stats.Conflicts++
		h.ends = append(h.ends, b.ends...)
		b.undoUsage()
		b.markStale()

		return
	}

	s.adopt(now, b)
}

// adopt makes the contents of a written batch current.
func (s *Scheduler) adopt(now time.Time, b *Batch) {
	h := b.shard

	for _, n := range sortedKeys(b.Pages) {
		b.Pages[n].Version++
		h.pages[n] = b.Pages[n]
	}

	for _, name := range sortedKeys(b.owned) {
		r := s.workers[name]
		s.setRecord(h, r, h.pages[r.page].Workers[name])
	}

	for _, k := range sortedSegments(b.Segments) {
		c := b.Segments[k]
		c.Version++

		if g := s.segment(k); g != nil {
			s.setSegment(now, g, c)
		}
	}

	for k := range b.Deleted {
		s.dropSegment(k)
	}

	for _, e := range b.ends {
		delete(s.evicting, e.ID)

		if r := s.workers[e.worker]; r != nil {
			delete(r.throttled, e.ID)
		}
	}

	h.starts = append(h.starts, b.starts...)
	h.answers = append(h.answers, b.answers...)
	s.stats.Placed += b.placed
	s.stats.Finished += b.finished
	s.stats.Resumed += b.resumed
}

func sortedSegments(m map[SegmentKey]*Segment) []SegmentKey {
	return slices.SortedFunc(maps.Keys(m), func(a, b SegmentKey) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Number, b.Number))
	})
}

func (b *Batch) undoUsage() {
	for name, size := range b.usage {
		t := b.scheduler.team(name)
		t.used = t.used.Sub(size)
	}
}

// markStale asks for every row of the batch to be read again.
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

// StaleRows returns the rows of a shard that must be read again before it goes on.
func (s *Scheduler) StaleRows(dataCentre string) (pages []int, segments []SegmentKey) {
	h, ok := s.shards[dataCentre]
	if !ok {
		return nil, nil
	}

	for n := range h.stale.pages {
		pages = append(pages, n)
	}

	for k := range h.stale.segments {
		segments = append(segments, k)
	}

	return pages, segments
}

// ApplyReloaded takes rows that were stale as they were read; a row that does not
// exist is given with its key and version zero.
func (s *Scheduler) ApplyReloaded(now time.Time, dataCentre string, pages []*Page, segments []*Segment) {
	h, ok := s.shards[dataCentre]
	if !ok {
		return
	}

	for _, p := range pages {
		delete(h.stale.pages, p.Number)
		s.setPage(h, p)
		s.adoptOrphans(p)
	}

	for _, c := range segments {
		delete(h.stale.segments, c.Key())

		if g := s.segment(c.Key()); g != nil {
			s.setSegment(now, g, c)
		}
	}

	if len(h.stale.pages)+len(h.stale.segments) == 0 {
		h.inFlight = false
	}
}
