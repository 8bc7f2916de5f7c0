package placement

import (
	"cmp"
	"slices"
	"time"
)

// jobInfo is the in-memory state of a job.
type jobInfo struct {
	spec     JobSpec
	segments []*segmentInfo
	learned  learnedSize
}

// segmentInfo is the in-memory state of a segment.
type segmentInfo struct {
	job    *jobInfo
	record *Segment
	// locked says that a batch in progress changes the segment.
	locked bool
	// queued says that the segment is in a queue of its team.
	queued bool
	// pending is the number of pending tasks.
	pending int
	// preempted counts the tasks that room was made for, last at preemptedAt.
	preempted   int
	preemptedAt time.Time
}

// team is the in-memory state of a team.
type team struct {
	name  string
	quota Size
	used  Size
	queue []*segmentInfo
	// urgent queues the segments of urgent jobs.
	urgent []*segmentInfo
}

// team returns the state of a team and creates it if it is missing.
func (s *Scheduler) team(name string) *team {
	t, ok := s.teams[name]
	if !ok {
		t = &team{name: name}
		s.teams[name] = t
	}

	return t
}

// share returns the share of its processor quota that a team uses. The team with
// the lowest share is served first. Without a quota, usage is divided by a nominal
// one.
func (t *team) share() float64 {
	const nominalMilliCores = 1_000_000

	if t.quota.MilliCores == 0 {
		return float64(t.used.MilliCores) / nominalMilliCores
	}

	return float64(t.used.MilliCores) / float64(t.quota.MilliCores)
}

// allows reports whether a size fits in the rest of the quota.
func (t *team) allows(size Size) bool {
	within := func(quota, used, more int64) bool { return quota == 0 || used+more <= quota }

	return within(t.quota.MilliCores, t.used.MilliCores, size.MilliCores) &&
		within(t.quota.MemoryMB, t.used.MemoryMB, size.MemoryMB) &&
		within(t.quota.Accelerators, t.used.Accelerators, size.Accelerators)
}

// SetJob adds a job with its recorded segments, or updates one that is known.
// Segments that have no row yet are missing from recorded.
func (s *Scheduler) SetJob(spec JobSpec, recorded []*Segment) {
	j, ok := s.jobs[spec.Key]
	if ok {
		j.spec.Cancelled = j.spec.Cancelled || spec.Cancelled
	} else {
		j = newJob(spec)
		s.jobs[spec.Key] = j
	}

	s.setSegments(j, recorded)
}

// SetSegments replaces the segments of a job by the recorded ones. A job that is no longer
// known, since it was deleted while they were read, stays unknown.
func (s *Scheduler) SetSegments(key string, recorded []*Segment) {
	if j, ok := s.jobs[key]; ok {
		s.setSegments(j, recorded)
	}
}

func (s *Scheduler) setSegments(j *jobInfo, recorded []*Segment) {
	for _, c := range recorded {
		if c.Number >= 0 && c.Number < len(j.segments) && !j.segments[c.Number].newerThan(c) {
			s.setSegment(j.segments[c.Number], c)
		}
	}

	for _, g := range j.segments {
		s.setSegment(g, g.record)
	}
}

// CancelJob starts no more tasks of a job, stops those that run, and then removes
// the job's rows.
func (s *Scheduler) CancelJob(key string) {
	j, ok := s.jobs[key]
	if !ok {
		return
	}

	j.spec.Cancelled = true
	s.cancelled[key] = j

	for _, g := range j.segments {
		s.evictAll(g)
	}
}

func newJob(spec JobSpec) *jobInfo {
	j := &jobInfo{spec: spec}

	for first := 0; first < spec.Tasks; first += SegmentSize {
		tasks := make([]Task, min(SegmentSize, spec.Tasks-first))
		for i := range tasks {
			tasks[i].Phase = PhasePending
		}

		j.segments = append(j.segments, &segmentInfo{
			job: j,
			record: &Segment{
				Job:    spec.Key,
				Number: len(j.segments),
				Tasks:  tasks,
			},
		})
	}

	return j
}

func (s *Scheduler) segment(k SegmentKey) *segmentInfo {
	j, ok := s.jobs[k.Job]
	if !ok || k.Number < 0 || k.Number >= len(j.segments) {
		return nil
	}

	return j.segments[k.Number]
}

// newerThan reports whether the in-memory copy of a segment is newer than a recorded one.
// A segment's row is removed only if its job was deleted.
func (g *segmentInfo) newerThan(c *Segment) bool {
	removed := c.Version == 0 && g.job.spec.Cancelled

	return g.record.Version > c.Version && !removed
}

// setSegment replaces the in-memory copy of a segment by the recorded one. A
// segment without tasks has no row; all its tasks are pending.
func (s *Scheduler) setSegment(g *segmentInfo, c *Segment) {
	if len(c.Tasks) == 0 {
		c.Tasks = newJob(g.job.spec).segments[c.Number].record.Tasks
	}

	g.record = c
	g.pending = 0

	for i := range c.Tasks {
		if c.Tasks[i].Phase == PhasePending {
			g.pending++
		}
	}

	if g.pending > 0 {
		s.enqueue(g)
	}

	if g.job.spec.Cancelled {
		s.evictAll(g)
	}
}

// evictAll evicts every assigned task of a deleted job's segment.
func (s *Scheduler) evictAll(g *segmentInfo) {
	for i := range g.record.Tasks {
		if g.record.Tasks[i].Phase == PhaseAssigned {
			s.evict(g, i, "the job was deleted", false)
		}
	}
}

// enqueue adds a segment to one of its team's queues unless it is queued already.
func (s *Scheduler) enqueue(g *segmentInfo) {
	if g.queued {
		return
	}

	g.queued = true
	t := s.team(g.job.spec.Team)

	if g.job.spec.Urgent {
		t.urgent = append(t.urgent, g)
	} else {
		t.queue = append(t.queue, g)
	}
}

// dropSegment marks the row of a segment as removed.
func (s *Scheduler) dropSegment(k SegmentKey) {
	if g := s.segment(k); g != nil {
		g.locked = false
		g.record.Version = 0
	}
}

// rowsDeleted reports whether the job has no row left in the table.
func (j *jobInfo) rowsDeleted() bool {
	return !slices.ContainsFunc(j.segments, func(g *segmentInfo) bool { return g.record.Version != 0 })
}

// size returns the amount to commit for the next attempt of a task.
func (j *jobInfo) size() Size {
	return j.learned.size(j.spec.Size)
}

// JobStatus is the observed state of a job. State is Pending, Running, Finished,
// Failed or Cancelled; the numbers count tasks by phase.
type JobStatus struct {
	State   string
	Reason  string
	Pending int
	// Assigned counts the tasks assigned to a worker.
	Assigned  int
	Finished  int
	Failed    int
	Cancelled int
	// Attempts is the number of attempts of all tasks.
	Attempts int
	// Size is the amount to commit for the next attempt of a task.
	Size Size
}

// Status returns the observed state of a job, and whether the job is known.
func (s *Scheduler) Status(key string) (JobStatus, bool) {
	j, ok := s.jobs[key]
	if !ok {
		return JobStatus{}, false
	}

	var records []*Segment
	for _, g := range j.segments {
		records = append(records, g.record)
	}

	st := StatusOf(j.spec, records)
	st.Size = j.size()

	return st, true
}

// StatusOf returns the state of a job from its recorded segments. Segments that
// have no row yet are missing from recorded; their tasks count as pending.
func StatusOf(spec JobSpec, recorded []*Segment) JobStatus {
	st := JobStatus{Size: spec.Size}
	known := 0

	for _, c := range recorded {
		known += len(c.Tasks)

		for i := range c.Tasks {
			st.count(&c.Tasks[i])
		}
	}

	st.Pending += spec.Tasks - known
	st.State = st.state()

	return st
}

func (t *JobStatus) count(task *Task) {
	t.Attempts += task.Attempt

	switch task.Phase {
	case PhasePending:
		t.Pending++
	case PhaseAssigned:
		t.Assigned++
	case PhaseFinished:
		t.Finished++
	case PhaseFailed:
		t.Failed++
		t.Reason = cmp.Or(t.Reason, task.Reason)
	case PhaseCancelled:
		t.Cancelled++
	default:
	}
}

func (t *JobStatus) state() string {
	switch {
	case t.Pending+t.Assigned == 0 && t.Failed > 0:
		return "Failed"
	case t.Pending+t.Assigned == 0 && t.Cancelled > 0:
		return "Cancelled"
	case t.Pending+t.Assigned == 0:
		return "Finished"
	case t.Assigned+t.Finished > 0:
		return "Running"
	default:
		return "Pending"
	}
}

// Tasks returns a copy of the recorded tasks of a job in order, or nil for an
// unknown job.
func (s *Scheduler) Tasks(key string) []Task {
	j, ok := s.jobs[key]
	if !ok {
		return nil
	}

	var list []Task
	for _, g := range j.segments {
		list = append(list, g.record.Tasks...)
	}

	return list
}

// JobKeys returns the keys of the jobs called name that are not cancelled.
func (s *Scheduler) JobKeys(name string) []string {
	var keys []string

	for key, j := range s.jobs {
		if j.spec.Name == name && !j.spec.Cancelled {
			keys = append(keys, key)
		}
	}

	return keys
}

// JobSpecs returns the specs of all jobs, in no particular order.
func (s *Scheduler) JobSpecs() []JobSpec {
	list := make([]JobSpec, 0, len(s.jobs))
	for _, j := range s.jobs {
		list = append(list, j.spec)
	}

	return list
}

// TeamUsage returns the amount committed to a team's tasks.
func (s *Scheduler) TeamUsage(name string) Size {
	return s.team(name).used
}
