package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits on the work of one batch.
const (
	// maxPlaced is the maximum number of tasks placed.
	maxPlaced = 1000
	// maxInspected is the maximum number of segment visits, for urgent and other
	// jobs together.
	maxInspected = 1000
	// chunkSize is the number of tasks that a team places before the team with
	// the lowest share is chosen again.
	chunkSize = 10
	// maxCandidates is the number of suitable workers compared for one task.
	maxCandidates = 8
	// maxVisited is the maximum number of workers examined for one task.
	maxVisited = 256
)

const (
	// maxReportAge is the age of the last report beyond which a worker counts as
	// silent and takes no tasks.
	maxReportAge = 3 * time.Second
	// settleTime is how long after a shard is taken no job that may run there is
	// found unschedulable, because workers may still be registering.
	settleTime = 3 * time.Second
	// rampTime is how long the starts of a data centre are limited after it comes
	// back from an outage.
	rampTime = 20 * time.Second
)

// rampStarts is the maximum number of starts in a batch right after an outage. The
// limit doubles every two seconds during rampTime, up to eight times.
const rampStarts = 4

// placer is the state of one call of place.
type placer struct {
	s          *Scheduler
	h          *shard
	b          *Batch
	now        time.Time
	startsLeft int
	inspected  int
	// noFit holds the sizes for which no suitable worker was found.
	noFit     map[Size]bool
	batchFull bool
}

// place assigns pending tasks to workers: those of urgent jobs first, and among
// teams, the one that uses the least of its quota first.
func (s *Scheduler) place(now time.Time, h *shard, b *Batch) {
	if s.out[h.dataCentre] {
		return
	}

	p := &placer{
		s:          s,
		h:          h,
		b:          b,
		now:        now,
		startsLeft: h.startLimit(now),
		noFit:      map[Size]bool{},
	}

	p.placeQueues(func(t *team) *[]*segmentInfo { return &t.urgent })
	p.placeQueues(func(t *team) *[]*segmentInfo { return &t.queue })
}

// startLimit returns the maximum number of starts in the next batch.
func (h *shard) startLimit(now time.Time) int {
	age := now.Sub(h.rampFrom)
	if h.rampFrom.IsZero() || age >= rampTime {
		return maxPlaced
	}

	return rampStarts << min(int(age/(2*time.Second)), 8)
}

// placeQueues places tasks from the teams' queues, a chunk at a time, until nothing
// more can be placed. It then removes from the queues the segments of cancelled
// jobs and those that have no pending task and no change in the batch.
func (p *placer) placeQueues(queue func(*team) *[]*segmentInfo) {
	cursors := map[*team]int{}

	var teams []*team

	for _, t := range p.s.teams {
		if len(*queue(t)) > 0 {
			teams = append(teams, t)
		}
	}

	// Map order is random; sorting by name makes ties between shares
	// deterministic.
	slices.SortFunc(teams, func(a, b *team) int { return strings.Compare(a.name, b.name) })

	for p.startsLeft > 0 && !p.batchFull && p.inspected < maxInspected {
		t := leastServed(teams, cursors, queue)
		if t == nil {
			break
		}

		g := (*queue(t))[cursors[t]]
		if more := p.placeChunk(t, g); !more {
			cursors[t]++
		}

		p.inspected++
	}

	for _, t := range teams {
		q := queue(t)
		*q = slices.DeleteFunc(*q, func(g *segmentInfo) bool {
			waiting := g.pending > 0 || p.b.Segments[g.record.Key()] != nil
			g.queued = waiting && !g.job.spec.Cancelled

			return !g.queued
		})
	}
}

// leastServed returns the team with the lowest share that still has segments to
// visit, or nil.
func leastServed(teams []*team, cursors map[*team]int, queue func(*team) *[]*segmentInfo) *team {
	var best *team

	for _, t := range teams {
		if cursors[t] >= len(*queue(t)) {
			continue
		}

		if best == nil || t.share() < best.share() {
			best = t
		}
	}

	return best
}

// placeChunk places up to chunkSize tasks of a segment and reports whether the
// segment has more tasks to place in this batch.
func (p *placer) placeChunk(t *team, g *segmentInfo) bool {
	j := g.job
	if j.spec.Cancelled || g.locked && p.b.Segments[g.record.Key()] == nil || !j.spec.allows(p.h.dataCentre) {
		return false
	}

	size := j.size()

	tasks := g.record.Tasks
	if c := p.b.Segments[g.record.Key()]; c != nil {
		tasks = c.Tasks
	}

	placed := 0

	for i := range tasks {
		if tasks[i].Phase != PhasePending {
			continue
		}

		if placed >= chunkSize || p.startsLeft == 0 {
			return true
		}

		if !t.allows(size) {
			return false
		}

		if !p.placeTask(g, i, size) {
			// A task that failed on all workers with room must not hold up the others.
			if len(tasks[i].FailedOn) > 0 && !p.batchFull {
				continue
			}

			return false
		}

		placed++
		p.startsLeft--
	}

	return false
}

// placeTask places task i of a segment and reports whether it did.
func (p *placer) placeTask(g *segmentInfo, i int, size Size) bool {
	if p.noFit[size] && !g.job.spec.Urgent {
		return false
	}

	current := g.record
	if c := p.b.Segments[g.record.Key()]; c != nil {
		current = c
	}

	failedOn := current.Tasks[i].FailedOn

	r := p.findWorker(g.job, size, failedOn)
	if r != nil {
		return p.assign(g, i, r, size)
	}

	if len(failedOn) > 0 && p.s.failedForGood(p.now, &current.Tasks[i]) {
		p.failTask(g, i)

		return false
	}

	// Another task may fit where this one failed.
	if len(failedOn) == 0 {
		p.noFit[size] = true
	}

	p.handleNoRoom(g, size)

	return false
}

// failTask sets the phase of a task to Failed, with the reason of its last failure.
func (p *placer) failTask(g *segmentInfo, i int) {
	c := p.b.segment(g)
	if c == nil {
		p.batchFull = true

		return
	}

	c.Tasks[i].Phase = PhaseFailed
}

// handleNoRoom fails the pending tasks if they can never be placed, and otherwise
// preempts for urgent ones.
func (p *placer) handleNoRoom(g *segmentInfo, size Size) {
	if reason := p.s.unschedulableReason(p.now, g.job); reason != "" {
		p.failPending(g, reason)

		return
	}

	if g.job.spec.Urgent {
		p.s.preempt(p.now, p.h, g, size)
	}
}

// failPending fails the pending tasks of a segment.
func (p *placer) failPending(g *segmentInfo, reason string) {
	c := p.b.segment(g)
	if c == nil {
		return
	}

	for i := range c.Tasks {
		if c.Tasks[i].Phase == PhasePending {
			c.Tasks[i].Phase = PhaseFailed
			c.Tasks[i].Reason = reason
		}
	}
}

// assign adds the assignment of task i to the batch and reports whether the batch
// had room for it.
func (p *placer) assign(g *segmentInfo, i int, r *workerInfo, size Size) bool {
	c := p.b.segment(g)
	w := p.b.worker(r)

	if c == nil || w == nil {
		p.batchFull = true

		return false
	}

	task := &c.Tasks[i]
	if task.Attempt > 0 && task.Checkpoint != "" {
		p.b.resumed++
	}

	task.Attempt++
	task.Phase = PhaseAssigned
	task.Worker = r.name
	task.DataCentre = p.h.dataCentre
	task.BootID = w.BootID
	task.Size = size
	task.Reason = ""

	id := AttemptID{
		Job:     c.Job,
		Task:    c.Number*SegmentSize + i,
		Attempt: task.Attempt,
	}
	w.Committed[id.String()] = size
	r.free = r.free.Sub(size)
	r.startSentAt[id] = p.now
	r.earmarked = r.earmarked.subClamped(size)
	r.health.taskStarted(p.now)
	p.h.index.update(r)
	p.b.addUsage(g.job.spec.Team, size)
	p.b.starts = append(p.b.starts, newStart(&g.job.spec, id, task))
	p.b.placed++

	return true
}

// findWorker returns the worker with the lowest cost among a limited number of
// candidates, or nil. Workers on which the task failed are left out.
func (p *placer) findWorker(j *jobInfo, size Size, failedOn []string) *workerInfo {
	var best *workerInfo

	bestCost := 0.0
	visited, found := 0, 0

	p.h.index.each(size, p.s.random.IntN(1<<20), func(r *workerInfo) bool {
		visited++

		if p.accepts(r, j, size) && !slices.Contains(failedOn, r.name) {
			cost := p.s.placementCost(r, j, size)
			if best == nil || cost < bestCost {
				best, bestCost = r, cost
			}

			found++
		}

		return found < maxCandidates && visited < maxVisited
	})

	return best
}

// accepts reports whether a worker may take a task of a job now.
func (p *placer) accepts(r *workerInfo, j *jobInfo, size Size) bool {
	if !size.Fits(r.free) || r.lost || p.now.Sub(r.reportedAt) > maxReportAge {
		return false
	}

	if r.record.BootID != r.report.BootID || r.health.blocked(p.now) || r.pressure.blocked(p.now, j.spec.Urgent) {
		return false
	}

	return p.s.predictedPressure(r, j, size) <= maxPredictedPressure
}

// placementCost is the predicted pressure on the worker's endpoint plus the larger
// share of processors or memory that would stay free: low interference and a
// tight fit are cheap.
func (s *Scheduler) placementCost(r *workerInfo, j *jobInfo, size Size) float64 {
	cores := float64(r.free.MilliCores-size.MilliCores) / float64(max(r.record.Capacity.MilliCores, 1))
	memory := float64(r.free.MemoryMB-size.MemoryMB) / float64(max(r.record.Capacity.MemoryMB, 1))

	return s.predictedPressure(r, j, size) + max(cores, memory)
}

// unschedulableReason returns why no worker in any allowed data centre can run a
// job's tasks, or "" if one can or that isn't known yet.
func (s *Scheduler) unschedulableReason(now time.Time, j *jobInfo) string {
	var largest []Size

	for name := range s.dataCentres {
		if !j.spec.allows(name) {
			continue
		}

		m := s.remote[name]
		if h, held := s.shards[name]; held {
			if now.Sub(h.takenAt) < settleTime {
				return ""
			}

			m = s.Summary(name)
		}

		if m.Workers == 0 {
			return ""
		}

		largest = append(largest, m.Largest...)
	}

	size := j.size()
	if len(largest) == 0 || slices.ContainsFunc(largest, size.Fits) {
		return ""
	}

	return fmt.Sprintf("a task needs MilliCores %d, MemoryMB %d, Accelerators %d, more than any worker has even when empty",
		size.MilliCores, size.MemoryMB, size.Accelerators)
}

// cleanUp adds the removal of rows of deleted jobs to the batch, and drops jobs
// whose rows are all removed.
func (s *Scheduler) cleanUp(b *Batch) {
	for _, key := range sortedKeys(s.cancelled) {
		j := s.cancelled[key]

		for _, g := range j.segments {
			s.cleanUpSegment(b, g)
		}

		if j.rowsDeleted() && !j.hasAssigned() {
			delete(s.jobs, key)
			delete(s.cancelled, key)
		}
	}
}

// cleanUpSegment adds the removal of a segment's row once none of its tasks is
// assigned.
func (s *Scheduler) cleanUpSegment(b *Batch, g *segmentInfo) {
	if g.locked || g.hasAssigned() || g.record.Version == 0 || b.rows() >= maxBatchRows {
		return
	}

	g.locked = true
	b.Deleted[g.record.Key()] = g.record.Version
}

func (g *segmentInfo) hasAssigned() bool {
	return slices.ContainsFunc(g.record.Tasks, func(t Task) bool { return t.Phase == PhaseAssigned })
}

func (j *jobInfo) hasAssigned() bool {
	return slices.ContainsFunc(j.segments, (*segmentInfo).hasAssigned)
}
