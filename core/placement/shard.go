package placement

import (
	"slices"
	"time"
)

// Summary describes the workers of a shard to the entries that don't hold it.
type Summary struct {
	// Largest lists the capacities, less the reservation for the endpoint, that
	// fit in no other worker's. A task that fits none of them fits no worker.
	Largest []Size
	// Workers is the number of recorded workers.
	Workers int
}

// shard is the scheduling state of a data centre whose lease this scheduler
// holds.
type shard struct {
	dataCentre string
	epoch      int64
	// takenAt is when the shard's lease was taken. A worker that has not reported
	// since may hold a lease granted by the previous holder.
	takenAt   time.Time
	pages     map[int]*Page
	index     index
	inFlight  bool
	lastBatch time.Time
	// scheduledAt is when buildBatch last ran for the shard, whether or not the
	// batch was empty.
	scheduledAt time.Time
	// rampFrom is when the data centre came back from an outage.
	rampFrom time.Time
	// stale holds the rows that must be read again before the next batch.
	stale staleRows
	// expiryCheckedAt is when workers were last checked for lapsed leases.
	expiryCheckedAt time.Time

	// changedWorkers holds the workers whose registration, incarnation or capacity
	// is not recorded yet.
	changedWorkers map[string]bool
	ends           []reportedEnd
	starts         []Start
	endAcks        []EndAck
	throttles      []Throttle
}

type staleRows struct {
	pages    map[int]bool
	segments map[SegmentKey]bool
}

// TakeShard starts scheduling a data centre from its recorded pages. The caller
// must hold the shard's lease at the epoch and must have set every declared job:
// committed attempts of other jobs are stopped.
func (s *Scheduler) TakeShard(now time.Time, dataCentre string, epoch int64, pages []*Page) {
	h := &shard{
		dataCentre:     dataCentre,
		epoch:          epoch,
		takenAt:        now,
		pages:          map[int]*Page{},
		changedWorkers: map[string]bool{},
		stale: staleRows{
			pages:    map[int]bool{},
			segments: map[SegmentKey]bool{},
		},
	}
	s.shards[dataCentre] = h

	for _, p := range pages {
		s.setPage(h, p)
		s.evictOrphans(p)
	}
}

// ReleaseShard stops scheduling a data centre and drops its workers.
func (s *Scheduler) ReleaseShard(dataCentre string) {
	h, ok := s.shards[dataCentre]
	if !ok {
		return
	}

	// Until another holder publishes a newer one.
	s.remote[dataCentre] = s.Summary(dataCentre)

	delete(s.shards, dataCentre)

	for _, p := range h.pages {
		for name := range p.Workers {
			s.setUsage(s.workers[name], nil)
			delete(s.workers, name)
		}
	}

	for name := range h.changedWorkers {
		delete(s.workers, name)
	}
}

// Holds returns the epoch at which the scheduler holds a shard, and whether it
// holds the shard.
func (s *Scheduler) Holds(dataCentre string) (int64, bool) {
	h, ok := s.shards[dataCentre]
	if !ok {
		return 0, false
	}

	return h.epoch, true
}

// Summary returns the summary of a held shard, and an empty one for any other.
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

// addLargest adds a size to a list that keeps only sizes that fit in no other.
func addLargest(list []Size, size Size) []Size {
	for _, l := range list {
		if size.Fits(l) {
			return list
		}
	}

	list = slices.DeleteFunc(list, func(l Size) bool { return l.Fits(size) })

	return append(list, size)
}

// setPage replaces the in-memory copy of a page by the recorded one.
func (s *Scheduler) setPage(h *shard, p *Page) {
	if old := h.pages[p.Number]; old != nil {
		for _, name := range sortedKeys(old.Workers) {
			if p.Workers[name] == nil {
				s.removeWorker(h, name)
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

// setRecord replaces a worker's record and updates what depends on it.
func (s *Scheduler) setRecord(h *shard, r *workerInfo, w *Worker) {
	r.record = w
	r.free = w.Free()
	s.setUsage(r, w.Committed)
	delete(h.changedWorkers, r.name)
	h.index.update(r)
}

// setUsage replaces what a worker's attempts add to the usage of their teams. Usage is
// the sum of the records, so that it is right from the moment that a shard is taken.
func (s *Scheduler) setUsage(r *workerInfo, committed map[string]Size) {
	for name, size := range r.usage {
		t := s.team(name)
		t.used = t.used.Sub(size)
	}

	r.usage = map[string]Size{}

	for name, size := range committed {
		id, ok := parseAttemptID(name)
		if !ok || s.jobs[id.Job] == nil {
			continue
		}

		team := s.jobs[id.Job].spec.Team
		r.usage[team] = r.usage[team].Add(size)
	}

	for name, size := range r.usage {
		t := s.team(name)
		t.used = t.used.Add(size)
	}
}

func (s *Scheduler) removeWorker(h *shard, name string) {
	r := s.workers[name]
	if r == nil {
		return
	}

	s.setUsage(r, nil)
	h.index.remove(r)
	delete(s.workers, name)
}

// allows reports whether the job's tasks may run in a data centre.
func (j *JobSpec) allows(dataCentre string) bool {
	return len(j.DataCentres) == 0 || slices.Contains(j.DataCentres, dataCentre)
}
