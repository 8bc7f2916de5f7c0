package placement

import (
	"maps"
	"slices"
	"time"
)

// Report is an agent's heartbeat about its worker.
type Report struct {
	Worker     string
	DataCentre string
	Rack       string
	BootID     string
	Capacity   Size
	// Service names the service whose endpoint is on the same machine, if any.
	Service string
	// Reserved is set aside for that endpoint.
	Reserved Size
	// Latency is a high quantile of the endpoint's recent response times, zero if
	// there is no measurement.
	Latency time.Duration
	// LatencyAge is how long ago Latency was measured.
	LatencyAge time.Duration
	// Echo is the token of the last reply that the agent had received before it
	// read the state of the worker.
	Echo  uint64
	Tasks []AttemptReport
}

// AttemptReport is the state of one attempt on a worker. Used is its current
// resource usage.
type AttemptReport struct {
	ID       AttemptID
	Phase    Phase
	Used     Size
	Progress float64
}

// workerInfo is the in-memory state of a worker. record is nil until the worker is
// recorded.
type workerInfo struct {
	name       string
	dataCentre string
	page       int
	record     *Worker
	free       Size
	// usage is what the record adds to the usage of each team.
	usage map[string]Size
	// report is the last heartbeat and reportedAt the time of its arrival.
	report     Report
	reportedAt time.Time
	// leaseGrantedAt is when a lease was last granted.
	leaseGrantedAt time.Time
	lost           bool
	// lapsing has the committed attempts whose end as lapsed is not recorded yet. They
	// must not start, although the worker may report again and get a new lease.
	lapsing map[AttemptID]bool
	// newIncarnation is the BootID of a reported incarnation that isn't recorded,
	// and newIncarnationToken the token of the reply to the first report of it.
	newIncarnation      string
	newIncarnationToken uint64
	slot                indexSlot
	startSentAt         map[AttemptID]time.Time
	health              workerHealth
	pressure            pressure
	throttleStep        map[AttemptID]int
	// earmarked is room that preemption is making for urgent tasks.
	earmarked Size
}

// worker returns the state of a worker and creates it if it is missing.
func (s *Scheduler) worker(name, dataCentre string) *workerInfo {
	r, ok := s.workers[name]
	if !ok {
		r = &workerInfo{
			name:         name,
			dataCentre:   dataCentre,
			lapsing:      map[AttemptID]bool{},
			startSentAt:  map[AttemptID]time.Time{},
			throttleStep: map[AttemptID]int{},
		}
		s.workers[name] = r
	}

	return r
}

// startResend is the interval at which a start is repeated until a report shows
// the attempt.
const startResend = time.Second

// expiryCheckInterval is the interval between checks for lapsed worker leases.
const expiryCheckInterval = 500 * time.Millisecond

// HeartbeatReply is the scheduler's reply to a heartbeat.
type HeartbeatReply struct {
	// Renewed says whether the worker's lease may be renewed. Only the holder of
	// its shard may renew it.
	Renewed bool
	// Token is for Report.Echo in reports of state that the agent reads after
	// this reply.
	Token uint64
}

// Heartbeat processes an agent's report. A report of a worker whose shard isn't held
// is ignored, and its lease isn't renewed.
func (s *Scheduler) Heartbeat(now time.Time, p Report) HeartbeatReply {
	h, ok := s.shards[p.DataCentre]
	if !ok {
		return HeartbeatReply{}
	}

	s.token++
	reply := HeartbeatReply{
		Renewed: true,
		Token:   s.token,
	}

	r := s.worker(p.Worker, p.DataCentre)
	r.report = p
	r.reportedAt = now

	if s.recordOutdated(r) {
		h.changedWorkers[p.Worker] = true
	}

	if r.record != nil && r.record.BootID == p.BootID {
		r.newIncarnation = ""

		s.resendMissingStarts(now, h, r)
		s.learnSizes(r)
		s.observePressure(now, h, r)
	}

	r.leaseGrantedAt = now
	r.lost = false

	return reply
}

// recordOutdated reports whether a worker's record has to be written. A new
// incarnation counts only once a report of it echoes a token issued at or after the
// first report of it. Without this rule, a late report of the previous incarnation
// would look like a new one, and the running attempts would be recorded as lapsed.
func (s *Scheduler) recordOutdated(r *workerInfo) bool {
	switch {
	case r.record == nil:
		return true
	case r.record.BootID == r.report.BootID:
		return r.record.Capacity != r.report.Capacity || r.record.Reserved != r.report.Reserved
	case r.newIncarnation != r.report.BootID:
		r.newIncarnation = r.report.BootID
		r.newIncarnationToken = s.token

		return false
	default:
		return r.report.Echo >= r.newIncarnationToken
	}
}

// resendMissingStarts repeats the starts of attempts that the report doesn't list.
func (s *Scheduler) resendMissingStarts(now time.Time, h *shard, r *workerInfo) {
	shown := make(map[string]bool, len(r.report.Tasks))
	for _, t := range r.report.Tasks {
		shown[t.ID.String()] = true
	}

	for _, name := range sortedKeys(r.record.Committed) {
		if shown[name] {
			continue
		}

		id, ok := parseAttemptID(name)
		if !ok || s.evicting[id] != nil || r.lapsing[id] || now.Sub(r.startSentAt[id]) < startResend {
			continue
		}

		s.resendStart(now, h, r, id)
	}

	notCommitted := func(id AttemptID) bool {
		_, ok := r.record.Committed[id.String()]

		return !ok
	}

	maps.DeleteFunc(r.startSentAt, func(id AttemptID, _ time.Time) bool { return notCommitted(id) })
	maps.DeleteFunc(r.lapsing, func(id AttemptID, _ bool) bool { return notCommitted(id) })
}

// resendStart repeats a start if its attempt is still current on the worker.
func (s *Scheduler) resendStart(now time.Time, h *shard, r *workerInfo, id AttemptID) {
	g, t := s.task(id)
	if t == nil || t.Phase != PhaseAssigned || t.Attempt != id.Attempt || t.Worker != r.name {
		return
	}

	r.startSentAt[id] = now
	h.starts = append(h.starts, newStart(&g.job.spec, id, t))
}

func newStart(spec *JobSpec, id AttemptID, t *Task) Start {
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

// task returns the segment and the recorded task of an attempt, or nil for an
// unknown one.
func (s *Scheduler) task(id AttemptID) (*segmentInfo, *Task) {
	g := s.segment(SegmentKey{
		Job:    id.Job,
		Number: id.Task / SegmentSize,
	})
	if g == nil || id.Task < 0 || id.Task%SegmentSize >= len(g.record.Tasks) {
		return nil, nil
	}

	return g, &g.record.Tasks[id.Task%SegmentSize]
}

// Permit reports whether an attempt may start now, or why it may not. After the
// request arrives and before this call, the caller must have read from the table
// that the shard is still held at the epoch and that the data centre isn't out.
//
// A worker gets permits only while its lease can be valid, and for attempts that don't
// count as lapsed. leaseMargin is longer than a permit is valid, so that a permit that
// was granted earlier has expired when an attempt counts as lapsed.
func (s *Scheduler) Permit(now time.Time, worker string, id AttemptID) (bool, string) {
	g, t := s.task(id)
	r := s.workers[worker]

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
	case r == nil || now.Sub(r.leaseGrantedAt) >= s.options.TaskLease:
		return false, "the worker does not report"
	case r.lapsing[id]:
		return false, "the attempt has lapsed"
	}

	if _, ok := s.shards[t.DataCentre]; !ok {
		return false, "this entry does not schedule the data centre"
	}

	return true, ""
}

// expireWorkers marks the workers lost whose leases have certainly lapsed and that
// have committed attempts.
func (s *Scheduler) expireWorkers(now time.Time, h *shard) {
	if now.Sub(h.expiryCheckedAt) < expiryCheckInterval {
		return
	}

	h.expiryCheckedAt = now

	var lapsed []string

	h.index.all(func(r *workerInfo) {
		if !r.lost && s.leaseLapsed(now, h, r) && len(r.record.Committed) > 0 {
			lapsed = append(lapsed, r.name)
		}
	})

	slices.Sort(lapsed)

	for _, name := range lapsed {
		s.markLost(h, s.workers[name])
	}
}

// leaseLapsed reports whether no lease of a worker can still be valid, granted by
// this scheduler or by the shard's previous holder.
func (s *Scheduler) leaseLapsed(now time.Time, h *shard, r *workerInfo) bool {
	since := h.takenAt
	if r.leaseGrantedAt.After(since) {
		since = r.leaseGrantedAt
	}

	return now.Sub(since) > s.options.TaskLease+leaseMargin
}

// markLost ends every attempt on a worker whose lease has lapsed.
func (s *Scheduler) markLost(h *shard, r *workerInfo) {
	r.lost = true
	s.stats.Lost++
	s.lapseAttempts(h, r, "the worker was lost")
}

// lapseAttempts queues the end, as lapsed, of every committed attempt on a worker.
func (s *Scheduler) lapseAttempts(h *shard, r *workerInfo, reason string) {
	for _, name := range sortedKeys(r.record.Committed) {
		id, ok := parseAttemptID(name)
		if !ok {
			continue
		}

		r.lapsing[id] = true
		h.ends = append(h.ends, reportedEnd{
			worker:   r.name,
			inferred: true,
			End: End{
				ID:     id,
				Phase:  PhaseLapsed,
				Reason: reason,
			},
		})
	}
}

// recordWorkers adds workers that are new, resized or have a new incarnation to the
// batch.
func (s *Scheduler) recordWorkers(now time.Time, h *shard, b *Batch) {
	for _, name := range sortedKeys(h.changedWorkers) {
		r := s.workers[name]
		if r == nil || now.Sub(r.reportedAt) > s.options.TaskLease {
			delete(h.changedWorkers, name)

			continue
		}

		s.recordWorker(h, r, b)
	}
}

func (s *Scheduler) recordWorker(h *shard, r *workerInfo, b *Batch) {
	if r.record == nil {
		r.page = h.pageWithRoom(b)
		p := b.page(r.page)

		if p != nil {
			p.Workers[r.name] = newWorkerRecord(r)
			b.copied[r.name] = true
		}

		return
	}

	if !s.recordOutdated(r) {
		delete(h.changedWorkers, r.name)

		return
	}

	if r.record.BootID != r.report.BootID && len(r.record.Committed) > 0 {
		// The attempts of the old incarnation have certainly stopped. Their ends
		// are recorded before the new incarnation.
		s.lapseAttempts(h, r, "the instance was replaced")

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

func newWorkerRecord(r *workerInfo) *Worker {
	return &Worker{
		Name:      r.name,
		Rack:      r.report.Rack,
		BootID:    r.report.BootID,
		Capacity:  r.report.Capacity,
		Reserved:  r.report.Reserved,
		Committed: map[string]Size{},
	}
}

// pageWithRoom returns the lowest number of a page with room for one more worker,
// which may be a new page.
func (h *shard) pageWithRoom(b *Batch) int {
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

// WorkerStatus is the state of a worker as shown to operators. State is Ready,
// Silent, Out or Quarantined.
type WorkerStatus struct {
	Name       string
	DataCentre string
	Rack       string
	State      string
	Capacity   Size
	Reserved   Size
	Free       Size
	Attempts   int
	// Pressure is the latency of the worker's endpoint divided by its target.
	Pressure float64
}

// Workers returns the recorded workers of the held shards, in no particular order.
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

func (s *Scheduler) workerState(now time.Time, r *workerInfo) string {
	switch {
	case now.Sub(r.reportedAt) > maxReportAge:
		return "Silent"
	case s.out[r.dataCentre]:
		return "Out"
	case r.health.quarantined(now):
		return "Quarantined"
	default:
		return "Ready"
	}
}
