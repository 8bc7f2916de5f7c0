package fleet

import (
	"slices"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"
)

// placeJob starts the tasks of a job whose steps are ready.
func (f *Fleet) placeJob(now time.Duration, j *jobInfo) {
	if j.state.Final() {
		return
	}

	for i := range j.steps {
		s := &j.steps[i]

		switch {
		case s.waiting == 0 || !f.stepReady(j, i):
		case s.spec.Gang:
			f.placeGang(now, j, i)
		default:
			f.placeStep(now, j, i)
		}
	}
}

// stepReady reports whether the start time of a step has come and all steps that
// it depends on are complete.
func (f *Fleet) stepReady(j *jobInfo, i int) bool {
	if at := j.startAt(i); at.After(f.wall) {
		f.wakeAt(at)

		return false
	}

	first := i - i%len(j.record.Spec.Steps)

	return !slices.ContainsFunc(j.steps[i].spec.After, func(a int) bool { return !j.steps[first+a].complete() })
}

// wakeAt makes NextWake return no later time than at, a wall-clock time.
func (f *Fleet) wakeAt(at time.Time) {
	if f.nextStart.IsZero() || at.Before(f.nextStart) {
		f.nextStart = at
	}
}

func (f *Fleet) placeStep(now time.Duration, j *jobInfo, i int) {
	s := &j.steps[i]
	f.placeHeld(now, j, i)

	for k := range s.tasks {
		t := &s.tasks[k]
		if t.phase != waiting || now < t.notBefore {
			continue
		}

		w, waits := f.chooseWorker(now, j, s, t)
		if waits {
			// It has room elsewhere, so none is kept or made for it.
			return
		}

		if w == nil {
			if f.LookAhead {
				f.reserve(now, j, i, k)
			}

			// The tasks of a step are identical, so no other one fits either.
			f.makeRoom(now, j, s, k)

			return
		}

		f.settle(now, j, s, w)
		f.startTask(now, j, s, t, w, j.taskID(i, k))
	}
}

// placeHeld starts the waiting tasks of a step for which room is held. Others of the step may have none.
func (f *Fleet) placeHeld(now time.Duration, j *jobInfo, i int) {
	s := &j.steps[i]

	for k := 0; k < len(s.tasks) && s.held > 0; k++ {
		t := &s.tasks[k]
		if t.phase != waiting || now < t.notBefore {
			continue
		}

		if w := f.heldWorker(now, j, s, j.taskID(i, k)); w != nil {
			f.settle(now, j, s, w)
			f.startTask(now, j, s, t, w, j.taskID(i, k))
		}
	}
}

// chooseWorker returns the feasible worker with the highest score for a task, or
// nil. Ties go to the first node name. waits means that the task has room, but waits for the rack of
// its data.
func (f *Fleet) chooseWorker(now time.Duration, j *jobInfo, s *stepInfo, t *taskInfo) (w *workerInfo, waits bool) {
	c := constraintsOf(j, s.spec)
	if f.ahead.plan.Len() > 0 {
		f.reachStep(j, s, &c)
	}

	if f.rejected.covers(c, s.spec.Size) {
		return nil, false
	}

	best := f.bestWorker(now, j, s, t)

	if f.awaitsRack(now, j, s, best) {
		return nil, true
	}

	if best == nil && s.spec.AntiAffinity == 0 && !s.spec.Gang {
		f.rejected.add(c, s.spec.Size)
	}

	return best, false
}

// bestWorker returns the feasible worker with the highest score for a task, or nil.
func (f *Fleet) bestWorker(now time.Duration, j *jobInfo, s *stepInfo, t *taskInfo) *workerInfo {
	var (
		best      *workerInfo
		bestScore int64
	)

	for _, w := range f.sortedWorkers {
		if !f.feasible(now, j, s, w) || !f.mayUse(now, j, s, w) {
			continue
		}

		score, ok := f.score(s.spec, w, j.active == 0)
		if !ok {
			continue
		}

		if w.node == t.avoidNode {
			score -= avoidPenalty
		}

		score -= w.slowPenalty()

		if best == nil || score > bestScore || (score == bestScore && w.node < best.node) {
			best, bestScore = w, score
		}
	}

	return best
}

// eligible reports whether a worker meets the hard constraints of a step's tasks other than
// free resources: its state, service and labels, and the step's anti-affinity.
func (f *Fleet) eligible(now time.Duration, j *jobInfo, s *stepInfo, w *workerInfo) bool {
	switch {
	case !w.connected || !w.ready || f.Out[w.dataCentre] || w.quarantined(now, s.spec):
		return false
	case w.service != j.record.Service:
		return false
	case w.clearing.keepsOut(now, j):
		return false
	case s.spec.Requires != "" && !slices.Contains(w.labels, s.spec.Requires):
		return false
	case s.spec.AntiAffinity > 0 && s.perWorker[w] >= s.spec.AntiAffinity:
		return false
	}

	return true
}

// feasible reports whether a worker is eligible for a step's tasks, takes starts, and has free
// resources.
func (f *Fleet) feasible(now time.Duration, j *jobInfo, s *stepInfo, w *workerInfo) bool {
	if now < w.refusals.until || !f.eligible(now, j, s, w) {
		return false
	}

	size := s.spec.Size
	if s.spec.Fills {
		size.MilliCores = 0
	}

	return w.capacity.CanFit(w.used.Add(size))
}

const (
	// avoidPenalty outweighs all else, so that a task returns to the worker that it
	// avoids only if no other worker has room.
	avoidPenalty = 1 << 40
	// sameImageBonus is given, for a serving task, to a worker whose serving tasks are
	// all of the task's image.
	sameImageBonus = 1 << 22
	// noServingBonus is given, for a serving task, to a worker without serving tasks,
	// which is preferred to one with serving tasks of other images.
	noServingBonus = 1 << 21
	// mixedImagePenalty is, for a serving task on a worker with serving tasks of other
	// images, subtracted for each of them and added for each one of the task's image.
	mixedImagePenalty = 1 << 17
	// remoteDataPenalty is for a worker outside the rack of the task's data, so that
	// tasks run near their data.
	remoteDataPenalty = 1 << 18
)

// score returns the score of a feasible worker for a task of a step, and whether the
// task may be placed there. A higher score is better; the unit is a thousandth of a
// free core. A filling task may be placed in any case if forced is set, which
// is done for jobs that have no active task.
func (f *Fleet) score(s *job.Step, w *workerInfo, forced bool) (int64, bool) {
	free := w.freeMilliCores()

	var penalty int64
	if s.DataRack != "" && !slices.Contains(w.labels, s.DataRack) {
		penalty = remoteDataPenalty
	}

	switch {
	case s.Fills:
		score, ok := f.scoreFilling(s, w, free)
		if !ok && !forced {
			return 0, false
		}

		return score - penalty, true
	case s.TargetLatency > 0:
		return f.scoreServing(s, w, free) - penalty, true
	default:
		return free - penalty, true
	}
}

// scoreServing scores a worker for a serving task. It groups serving tasks by image:
// a filling task needs a worker where it disturbs no serving image, and finds more
// of them if each worker serves fewer images.
func (f *Fleet) scoreServing(s *job.Step, w *workerInfo, free int64) int64 {
	var sameImage, otherImages int64

	disturbance := 0.0

	for _, r := range w.runs {
		switch {
		case r.step.Fills:
			disturbance += f.Interference.Factor(r.step.Image, s.Image) * w.share(r.step)
		case r.step.TargetLatency > 0 && r.step.Image == s.Image:
			sameImage++
		case r.step.TargetLatency > 0:
			otherImages++
		}
	}

	score := free - int64(disturbance*headroomScale) - f.blockedScore(w, s.Image)

	switch {
	case otherImages > 0:
		return score + (sameImage-otherImages)*mixedImagePenalty
	case sameImage > 0:
		return score + sameImageBonus
	default:
		return score + noServingBonus
	}
}

const (
	// servingUsePercent is the share of its size that a serving task is assumed to
	// use. Services are sized for their peak load.
	servingUsePercent = 50
	// maxLatencyRatio is the highest ratio of latency to target that a serving task
	// may be expected to have after a placement. Package gate throttles filling tasks
	// only at a higher ratio.
	maxLatencyRatio = 0.6
	// assumedLatencyRatio is the ratio of latency to target that is assumed for a
	// serving task without a reading.
	assumedLatencyRatio = 0.4
	// maxHeadroom is the headroom above which more doesn't raise the score. It is
	// about the headroom of serving tasks under half of their load.
	maxHeadroom = 2.0
	// headroomScale converts a headroom or loss of speed into thousandths of a core,
	// the unit of scores: maxHeadroom weighs as much as 20 cores.
	headroomScale = 10_000
	// latencyReadingDelay is the time from a start until latency readings show its
	// effect.
	latencyReadingDelay = 1200 * time.Millisecond
)

// scoreFilling scores a worker for a filling task by the idle processor time and the
// least headroom of the serving tasks there. It also reports whether the task fits
// into both.
func (f *Fleet) scoreFilling(s *job.Step, w *workerInfo, free int64) (int64, bool) {
	free += unusedMilliCores(w.servingMilliCores)
	fits := free >= s.Size.MilliCores
	headroom := maxHeadroom
	share := w.share(s)

	for _, m := range f.headrooms(w) {
		if fall := f.Interference.Factor(s.Image, m.image) * share; fall > 0 {
			headroom = min(headroom, m.headroom-fall)
		}
	}

	return free + int64(headroom*headroomScale) - f.price(w, s.Image), fits && headroom >= 0
}

func (f *Fleet) startTask(now time.Duration, j *jobInfo, s *stepInfo, t *taskInfo, w *workerInfo, id job.TaskID) {
	attempt := max(t.lastAttempt(), int(f.term-1)*attemptsPerTerm) + 1
	placement := w.placement(now)
	f.assign(now, j, s, t, w, id, attempt)
	f.watchStart(now, s, t, id)
	f.orderStart(j, s, t, id, placement)
}

// orderStart adds the order to start a task on the worker that it is assigned to.
func (f *Fleet) orderStart(j *jobInfo, s *stepInfo, t *taskInfo, id job.TaskID, placement Placement) {
	t.worker.markProbe(id)

	o := f.ordersFor(t.worker)
	o.Starts = append(o.Starts, f.startOrder(j, s, t, id))
	o.Placements = append(o.Placements, placement)
	f.recordService(j, s, t.worker.runs[id])
}

// placement returns the data on a worker for the log of a placement.
func (w *workerInfo) placement(now time.Duration) Placement {
	p := Placement{FreeMilliCores: w.freeMilliCores()}

	for _, r := range w.runs {
		if r.step.TargetLatency > 0 {
			p.ReadingAge = max(p.ReadingAge, now-r.readAt)
		}
	}

	return p
}

// freeMilliCores returns the processor time that the sizes of all tasks on the
// worker leave. It may be negative, since filling tasks don't count against the capacity.
func (w *workerInfo) freeMilliCores() int64 {
	return w.capacity.MilliCores - w.used.MilliCores - w.fillingMilliCores
}

// assign makes a task active on a worker.
func (f *Fleet) assign(now time.Duration, j *jobInfo, s *stepInfo, t *taskInfo, w *workerInfo, id job.TaskID, attempt int) {
	t.phase = active
	t.highest = t.lastAttempt()
	t.attempt = attempt
	t.worker = w
	s.waiting--
	s.perWorker[w]++
	s.lastStarted = now
	j.active++
	w.addRun(now, id, attempt, s.spec)
	w.runs[id].progress.resumed = t.checkpoint != ""
}

func (f *Fleet) startOrder(j *jobInfo, s *stepInfo, t *taskInfo, id job.TaskID) gate.StartOrder {
	return gate.StartOrder{
		Task:       id,
		Attempt:    t.attempt,
		Text:       j.record.Spec.Text,
		Checkpoint: t.checkpoint,
		Size:       s.spec.Size,
		Fills:      s.spec.Fills,
		Target:     s.spec.TargetLatency,
		Image:      s.spec.Image,
		Estimate:   s.spec.Estimate,
	}
}
