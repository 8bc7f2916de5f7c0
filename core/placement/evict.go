package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// stopResend is the interval at which a stop is repeated until the attempt
	// ends.
	stopResend = time.Second
	// maxStops is the maximum number of stops sent in one tick.
	maxStops = 500
	// preemptHold is how long a worker takes only urgent tasks after a preemption,
	// so that no other task takes the room that was made for them.
	preemptHold = 5 * time.Second
	// preemptWait is how long victims have to stop before others are chosen.
	preemptWait = 3 * time.Second
	// maxPreemptVisited limits the workers considered for one preemption.
	maxPreemptVisited = 64
)

// eviction is an attempt that is being stopped.
type eviction struct {
	id         AttemptID
	worker     string
	reason     string
	checkpoint bool
	sent       time.Time
	// orphan marks an attempt whose job is no longer known.
	orphan bool
}

// evictOrphans evicts the attempts of jobs that are not declared. They remain when
// the shard's previous holder is lost between the deletion of a job and the end
// of its attempts.
func (s *Scheduler) evictOrphans(p *Page) {
	for _, w := range p.Workers {
		for name := range w.Committed {
			id, ok := parseAttemptID(name)
			if !ok || s.jobs[id.Job] != nil || s.evicting[id] != nil {
				continue
			}

			s.evicting[id] = &eviction{
				id:     id,
				worker: w.Name,
				reason: "the job is not declared",
				orphan: true,
			}
		}
	}
}

// evictionDone reports whether the end of an attempt is recorded, so that no stop
// is needed.
func (s *Scheduler) evictionDone(e *eviction) bool {
	if e.orphan {
		r := s.workers[e.worker]
		if r == nil || r.record == nil {
			return true
		}

		_, committed := r.record.Committed[e.id.String()]

		return !committed
	}

	_, t := s.task(e.id)

	return t == nil || t.Phase != PhaseAssigned || t.Attempt != e.id.Attempt
}

// evict starts stopping the current attempt of task i of a segment.
func (s *Scheduler) evict(g *segmentInfo, i int, reason string, checkpoint bool) {
	t := &g.record.Tasks[i]
	id := AttemptID{
		Job:     g.record.Job,
		Task:    g.record.Number*SegmentSize + i,
		Attempt: t.Attempt,
	}

	if s.evicting[id] != nil {
		return
	}

	s.stats.Evicted++
	s.evicting[id] = &eviction{
		id:         id,
		worker:     t.Worker,
		reason:     reason,
		checkpoint: checkpoint,
	}
}

// evictAttempt starts stopping an attempt, with a checkpoint, if it is current.
func (s *Scheduler) evictAttempt(id AttemptID, reason string) {
	g, t := s.task(id)
	if t != nil && t.Phase == PhaseAssigned && t.Attempt == id.Attempt {
		s.evict(g, id.Task%SegmentSize, reason, true)
	}
}

// sendEvictions sends and repeats stops, and drops the evictions that are done.
func (s *Scheduler) sendEvictions(now time.Time, c *Commands) {
	ids := slices.SortedFunc(maps.Keys(s.evicting), func(a, b AttemptID) int { return cmp.Compare(a.String(), b.String()) })

	for _, id := range ids {
		e := s.evicting[id]

		if len(c.Stops) >= maxStops {
			return
		}

		if s.evictionDone(e) {
			delete(s.evicting, id)

			continue
		}

		if now.Sub(e.sent) < stopResend {
			continue
		}

		e.sent = now
		c.Stops = append(c.Stops, Stop{
			Worker:     e.worker,
			ID:         id,
			Checkpoint: e.checkpoint,
			Reason:     e.reason,
		})
	}
}

// evictFromOutage evicts every attempt from a data centre that is out.
func (s *Scheduler) evictFromOutage(h *shard) {
	if !s.out[h.dataCentre] {
		return
	}

	for _, n := range sortedKeys(h.pages) {
		for _, w := range h.pages[n].Workers {
			for _, name := range sortedKeys(w.Committed) {
				if id, ok := parseAttemptID(name); ok {
					s.evictAttempt(id, "the data centre is out")
				}
			}
		}
	}
}

// preempt evicts attempts to make room for the pending tasks of an urgent segment,
// except those that room is already being made for.
func (s *Scheduler) preempt(now time.Time, h *shard, g *segmentInfo, size Size) {
	if now.Sub(g.preemptedAt) > preemptWait {
		g.preempted = 0
	}

	for g.preempted < g.pending && s.preemptForTask(now, h, g, size) {
		g.preempted++
		g.preemptedAt = now
	}
}

// preemptForTask makes room for one task on the worker that needs the fewest
// evictions, and reports whether it found one.
func (s *Scheduler) preemptForTask(now time.Time, h *shard, g *segmentInfo, size Size) bool {
	var (
		best        *workerInfo
		bestVictims []AttemptID
		visited     int
	)

pages:
	for _, n := range sortedKeys(h.pages) {
		for _, name := range sortedKeys(h.pages[n].Workers) {
			r := s.workers[name]
			if r == nil || !s.preemptible(now, r) {
				continue
			}

			victims, ok := s.victims(r, size)
			if ok && (best == nil || len(victims) < len(bestVictims)) {
				best, bestVictims = r, victims
			}

			visited++
			if visited >= maxPreemptVisited {
				break pages
			}
		}
	}

	if best == nil {
		return false
	}

	best.earmarked = best.earmarked.Add(size)
	best.pressure.blockedUntil = now.Add(preemptHold)

	for _, id := range bestVictims {
		s.evictAttempt(id, "preempted by urgent work of "+g.job.spec.Name)
	}

	return true
}

// preemptible reports whether attempts on a worker may be preempted now.
func (s *Scheduler) preemptible(now time.Time, r *workerInfo) bool {
	if now.After(r.pressure.blockedUntil) {
		r.earmarked = Size{}
	}

	return now.Sub(r.reportedAt) <= maxReportAge && !r.health.blocked(now)
}

// victims chooses attempts of jobs that aren't urgent until their eviction makes
// room for a size, and reports whether it does. It takes those with the most
// processors first, so that few attempts are evicted.
func (s *Scheduler) victims(r *workerInfo, size Size) ([]AttemptID, bool) {
	type running struct {
		id   AttemptID
		size Size
	}

	var list []running

	// Attempts being evicted count as free, earmarked room does not.
	free := r.free.Sub(r.earmarked)

	for name, committed := range r.record.Committed {
		id, ok := parseAttemptID(name)

		g, t := s.task(id)
		if !ok || t == nil {
			continue
		}

		if s.evicting[id] != nil {
			free = free.Add(committed)

			continue
		}

		if !g.job.spec.Urgent {
			list = append(list, running{
				id:   id,
				size: committed,
			})
		}
	}

	slices.SortFunc(list, func(a, b running) int {
		return cmp.Or(cmp.Compare(b.size.MilliCores, a.size.MilliCores), cmp.Compare(a.id.String(), b.id.String()))
	})

	var victims []AttemptID

	for _, v := range list {
		if size.Fits(free) {
			break
		}

		free = free.Add(v.size)
		victims = append(victims, v.id)
	}

	return victims, size.Fits(free)
}
