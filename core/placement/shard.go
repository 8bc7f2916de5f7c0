package placement

import (
	"slices"
	"time"
)

// Summary is what the holder of a shard tells the others.
type Summary struct {
	// Largest has the capacities that no other worker's covers.
	Largest []Size
	// Workers is the number of workers that the pages record.
	Workers int
}

// shard is a data centre whose tasks this scheduler places.
type shard struct {
	dataCentre string
	epoch      int64
	// takenAt is when the shard's lease was taken: a worker that was not seen
	// since may hold a lease that the holder before gave it.
	takenAt   time.Time
	pages     map[int]*Page
	index     index
	inFlight  bool
	lastBatch time.Time
	// lookedAt is when the shard last had its turn.
	lookedAt time.Time
	rampFrom time.Time
	// stale rows must be read again before the next batch.
	stale staleRows
	// expiredAt is when lost workers were last looked for.
	expiredAt time.Time

	newWorkers map[string]bool
	ends       []ended
	starts     []Start
	answers    []EndAck
	throttles  []Throttle
}

type staleRows struct {
	pages    map[int]bool
	segments map[SegmentKey]bool
}

// TakeShard starts to schedule a data centre from the pages recorded.
func (s *Scheduler) TakeShard(now time.Time, dataCentre string, epoch int64, pages []*Page) {
	h := &shard{
		dataCentre: dataCentre,
		epoch:      epoch,
		takenAt:    now,
		pages:      map[int]*Page{},
		newWorkers: map[string]bool{},
		stale: staleRows{
			pages:    map[int]bool{},
			segments: map[SegmentKey]bool{},
		},
	}
	s.shards[dataCentre] = h

	for _, p := range pages {
		s.setPage(h, p)
		s.adoptOrphans(p)
	}
}

// ReleaseShard stops scheduling a data centre.
func (s *Scheduler) ReleaseShard(dataCentre string) {
	h, ok := s.shards[dataCentre]
	if !ok {
		return
	}

	delete(s.shards, dataCentre)

	for _, p := range h.pages {
		for name := range p.Workers {
			delete(s.workers, name)
		}
	}

	for name := range h.newWorkers {
		delete(s.workers, name)
	}
}

// Holds reports whether the scheduler holds a shard, and its epoch.
func (s *Scheduler) Holds(dataCentre string) (int64, bool) {
	h, ok := s.shards[dataCentre]
	if !ok {
		return 0, false
	}

	return h.epoch, true
}

// Summary describes the workers of a held shard.
func (s *Scheduler) Summary(dataCentre string) Summary {
	var m Summary

	h, ok := s.shards[dataCentre]
	if !ok {
		return m
	}

	for _, p := range h.pages {
		m.Workers += len(p.Workers)
		for _, w := range p.Workers {
			m.Largest = addLargest(m.Largest, w.Capacity.Sub(w.Reserved))
		}
	}

	return m
}

// addLargest keeps only sizes that no other covers.
func addLargest(list []Size, size Size) []Size {
	for _, l := range list {
		if size.Fits(l) {
			return list
		}
	}

	list = slices.DeleteFunc(list, func(l Size) bool { return l.Fits(size) })

	return append(list, size)
}

// setPage takes over a page as recorded.
func (s *Scheduler) setPage(h *shard, p *Page) {
	if old := h.pages[p.Number]; old != nil {
		for _, name := range sortedKeys(old.Workers) {
			if p.Workers[name] == nil {
				s.forgetWorker(h, name)
			}
		}
	}

	h.pages[p.Number] = p

	for _, name := range sortedKeys(p.Workers) {
		r := s.worker(name, h.dataCentre)
		r.page = p.Number
		s.setRecord(h, r, p.Workers[name])
	}
}

// setRecord takes over a worker as recorded.
func (s *Scheduler) setRecord(h *shard, r *workerRow, w *Worker) {
	r.record = w
	r.free = w.Free()
	delete(h.newWorkers, r.name)
	h.index.update(r)
}

func (s *Scheduler) forgetWorker(h *shard, name string) {
	row := s.workers[name]
	if row == nil {
		return
	}

	h.index.remove(row)
	delete(s.workers, name)
}

// allows reports whether the job's tasks may run in a data centre.
func (j *JobSpec) allows(dataCentre string) bool {
	return len(j.DataCentres) == 0 || slices.Contains(j.DataCentres, dataCentre)
}
