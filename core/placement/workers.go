package placement

import (
	"slices"
	"time"
)

// Report is what an agent says of its worker in a heartbeat.
type Report struct {
	Worker     string
	DataCentre string
	Rack       string
	BootID     string
	Capacity   Size
	// Service names the service whose endpoint is beside the worker, if any.
	Service string
	// Reserved is kept for that endpoint.
	Reserved Size
	// Latency is the recent high quantile of the endpoint's answers.
	Latency time.Duration
	// LatencyAge is how long ago Latency was measured.
	LatencyAge time.Duration
	// Echo is the token of the last answer before the worker was looked at.
	Echo  uint64
	Tasks []AttemptReport
}

// AttemptReport is one attempt as a worker's runtime reports it.
type AttemptReport struct {
	ID       AttemptID
	Phase    Phase
	Used     Size
	Progress float64
}

// workerRow is a row of the workers' table.
type workerRow struct {
	name       string
	dataCentre string
	page       int
	record     *Worker
	free       Size
	// report is the last heartbeat; seen is when it came.
	report Report
	seen   time.Time
	// acked is when a lease was last granted.
	acked time.Time
	lost  bool
	// newBoot is a boot that is not recorded, first heard of at newBootToken.
	newBoot      string
	newBootToken uint64
	slot         indexSlot
	sent         map[AttemptID]time.Time
	health       workerHealth
	pressure     pressure
	throttled    map[AttemptID]int
	// promised is room that is being made for urgent tasks.
	promised Size
}

func (s *Scheduler) worker(name, dataCentre string) *workerRow {
	r, ok := s.workers[name]
	if !ok {
		r = &workerRow{
			name:       name,
			dataCentre: dataCentre,
			sent:       map[AttemptID]time.Time{},
			throttled:  map[AttemptID]int{},
		}
		s.workers[name] = r
	}

	return r
}

// startResend is the time after which a start that shows no effect is repeated.
const startResend = time.Second

// expireEvery is the time between two looks for lost workers.
const expireEvery = 500 * time.Millisecond

// HeartbeatReply is the scheduler's answer to a heartbeat.
type HeartbeatReply struct {
	// Renewed says that the worker's leases may be renewed: only the holder of
	// its shard may.
	Renewed bool
	// Token is to be echoed by reports on what is looked at after this answer.
	Token uint64
}

// Heartbeat takes in what an agent reports.
func (s *Scheduler) Heartbeat(now time.Time, p Report) HeartbeatReply {
	h, ok := s.shards[p.DataCentre]
	if !ok {
		return HeartbeatReply{}
	}

	s.token++
	accepted := HeartbeatReply{
		Renewed: true,
		Token:   s.token,
	}

	r := s.worker(p.Worker, p.DataCentre)
	r.report = p
	r.seen = now

	if s.differs(r) {
		h.newWorkers[p.Worker] = true
	}

	if r.record != nil && r.record.BootID == p.BootID {
		r.newBoot = ""

		s.compare(now, h, r)
		s.learnSizes(r)
		s.observePressure(now, h, r)
	}

	r.acked = now
	r.lost = false

	return accepted
}

// differs reports whether a worker is not what is recorded. Another boot counts
// only once it was reported by somebody who looked after the first word of it
// came here: a report of the boot before may come late, and its attempts must
// not be taken for stopped then.
func (s *Scheduler) differs(r *workerRow) bool {
	switch {
	case r.record == nil:
		return true
	case r.record.BootID == r.report.BootID:
		return r.record.Capacity != r.report.Capacity || r.record.Reserved != r.report.Reserved
	case r.newBoot != r.report.BootID:
		r.newBoot = r.report.BootID
		r.newBootToken = s.token

		return false
	default:
		return r.report.Echo >= r.newBootToken
	}
}

// compare repeats starts whose attempts the worker does not show.
func (s *Scheduler) compare(now time.Time, h *shard, r *workerRow) {
	shown := make(map[string]bool, len(r.report.Tasks))
	for _, t := range r.report.Tasks {
		shown[t.ID.String()] = true
	}

	for _, name := range sortedKeys(r.record.Committed) {
		if shown[name] {
			continue
		}

		id, ok := parseAttemptID(name)
		if !ok || s.evicting[id] != nil || now.Sub(r.sent[id]) < startResend {
			continue
		}

		s.resend(now, h, r, id)
	}

	for id := range r.sent {
		if _, ok := r.record.Committed[id.String()]; !ok {
			delete(r.sent, id)
		}
	}
}

func (s *Scheduler) resend(now time.Time, h *shard, r *workerRow, id AttemptID) {
	g, t := s.task(id)
	if t == nil || t.Phase != PhaseAssigned || t.Attempt != id.Attempt || t.Worker != r.name {
		return
	}

	r.sent[id] = now
	h.starts = append(h.starts, startOf(&g.job.spec, id, t))
}

func startOf(spec *JobSpec, id AttemptID, t *Task) Start {
	return Start{
		Worker:     t.Worker,
		ID:         id,
		BootID:     t.BootID,
		Command:    spec.Command,
		Size:       t.Size,
		RunTime:    spec.RunTime,
		Checkpoint: t.Checkpoint,
	}
}

// task finds the segment and the recorded task of an attempt.
func (s *Scheduler) task(id AttemptID) (*segmentRow, *Task) {
	g := s.segment(SegmentKey{
		Job:    id.Job,
		Number: id.Task / SegmentSize,
	})
	if g == nil || id.Task%SegmentSize >= len(g.record.Tasks) {
		return nil, nil
	}

	return g, &g.record.Tasks[id.Task%SegmentSize]
}

// Permit says whether an attempt may start now, and why not. The caller must
// have confirmed with the table, after it was asked, that the shard is still
// held at the epoch and that the data centre is in.
func (s *Scheduler) Permit(worker string, id AttemptID) (bool, string) {
	g, t := s.task(id)

	switch {
	case t == nil:
		return false, "no such task"
	case g.job.spec.Cancelled:
		return false, "the job was deleted"
	case t.Phase != PhaseAssigned || t.Attempt != id.Attempt || t.Worker != worker:
		return false, "the attempt is not current"
	case s.evicting[id] != nil:
		return false, "the attempt is being stopped"
	case s.out[t.DataCentre]:
		return false, "the data centre is out"
	}

	if _, ok := s.shards[t.DataCentre]; !ok {
		return false, "this entry does not schedule the data centre"
	}

	return true, ""
}

// expire declares workers lost whose leases have surely lapsed.
func (s *Scheduler) expire(now time.Time, h *shard) {
	if now.Sub(h.expiredAt) < expireEvery {
		return
	}

	h.expiredAt = now

	var lapsed []string

	h.index.all(func(r *workerRow) {
		if !r.lost && s.lapsed(now, h, r) && len(r.record.Committed) > 0 {
			lapsed = append(lapsed, r.name)
		}
	})

	slices.Sort(lapsed)

	for _, name := range lapsed {
		s.lose(h, s.workers[name])
	}
}

// lapsed reports whether no lease of a worker can still be valid: neither one
// granted here, nor one granted by the holder before.
func (s *Scheduler) lapsed(now time.Time, h *shard, r *workerRow) bool {
	since := h.takenAt
	if r.acked.After(since) {
		since = r.acked
	}

	return now.Sub(since) > s.options.TaskLease+leaseMargin
}

// lose ends every attempt on a worker whose lease has lapsed.
func (s *Scheduler) lose(h *shard, r *workerRow) {
	r.lost = true
	s.stats.Lost++
	s.endAll(h, r, "the worker was lost")
}

// endAll reports every attempt on a worker as lapsed.
func (s *Scheduler) endAll(h *shard, r *workerRow, reason string) {
	for _, name := range sortedKeys(r.record.Committed) {
		id, ok := parseAttemptID(name)
		if !ok {
			continue
		}

		h.ends = append(h.ends, ended{
			worker: r.name,
			End: End{
				ID:     id,
				Phase:  PhaseLapsed,
				Reason: reason,
			},
		})
	}
}

// recordWorkers records workers that are new, rebooted or resized.
func (s *Scheduler) recordWorkers(now time.Time, h *shard, b *Batch) {
	for _, name := range sortedKeys(h.newWorkers) {
		r := s.workers[name]
		if r == nil || now.Sub(r.seen) > s.options.TaskLease {
			delete(h.newWorkers, name)

			continue
		}

		s.recordWorker(h, r, b)
	}
}

func (s *Scheduler) recordWorker(h *shard, r *workerRow, b *Batch) {
	if r.record == nil {
		r.page = h.roomyPage(b)
		p := b.page(r.page)

		if p != nil {
			p.Workers[r.name] = recordOf(r)
			b.owned[r.name] = true
		}

		return
	}

	if !s.differs(r) {
		delete(h.newWorkers, r.name)

		return
	}

	if r.record.BootID != r.report.BootID && len(r.record.Committed) > 0 {
		// The old boot's attempts are surely stopped; they are recorded so
		// first, and the new boot after them.
		s.endAll(h, r, "the instance was replaced")

		return
	}

	if w := b.worker(r); w != nil {
		w.BootID = r.report.BootID
		w.Rack = r.report.Rack
		w.Capacity = r.report.Capacity
		w.Reserved = r.report.Reserved
		r.health = workerHealth{}
	}
}

func recordOf(r *workerRow) *Worker {
	return &Worker{
		Name:      r.name,
		Rack:      r.report.Rack,
		BootID:    r.report.BootID,
		Capacity:  r.report.Capacity,
		Reserved:  r.report.Reserved,
		Committed: map[string]Size{},
	}
}

// roomyPage returns the first page with room for one more worker.
func (h *shard) roomyPage(b *Batch) int {
	for n := 0; ; n++ {
		p := b.Pages[n]
		if p == nil {
			p = h.pages[n]
		}

		if p == nil || len(p.Workers) < PageSize {
			return n
		}
	}
}

// WorkerStatus is what operators see of a worker.
type WorkerStatus struct {
	Name       string
	DataCentre string
	Rack       string
	State      string
	Capacity   Size
	Reserved   Size
	Free       Size
	Attempts   int
	// Pressure is the endpoint's latency as a share of its target.
	Pressure float64
}

// Workers lists the workers of the held shards.
func (s *Scheduler) Workers(now time.Time) []WorkerStatus {
	var list []WorkerStatus

	for _, r := range s.workers {
		if r.record == nil {
			continue
		}

		list = append(list, WorkerStatus{
			Name:       r.name,
			DataCentre: r.dataCentre,
			Rack:       r.record.Rack,
			State:      s.workerState(now, r),
			Capacity:   r.record.Capacity,
			Reserved:   r.record.Reserved,
			Free:       r.free,
			Attempts:   len(r.record.Committed),
			Pressure:   r.pressure.ratio,
		})
	}

	return list
}

func (s *Scheduler) workerState(now time.Time, r *workerRow) string {
	switch {
	case now.Sub(r.seen) > reportFresh:
		return "Silent"
	case s.out[r.dataCentre]:
		return "Out"
	case r.health.resting(now):
		return "Quarantined"
	default:
		return "Ready"
	}
}
