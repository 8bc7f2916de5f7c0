package fleet

import (
	"slices"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"
)

// placeJob starts the tasks of a job whose turn has come.
func (f *Fleet) placeJob(now time.Duration, j *jobRow) {
	if j.state.Final() {
		return
	}

	for i := range j.steps {
		s := &j.steps[i]

		switch {
		case s.waiting == 0 || !f.reached(j, i):
		case s.spec.Gang:
			f.placeGang(now, j, i)
		default:
			f.placeStep(now, j, i)
		}
	}
}

// reached reports whether the time of a step has come, and all steps that it
// comes after are complete.
func (f *Fleet) reached(j *jobRow, i int) bool {
	if at := j.startAt(i); at.After(f.wall) {
		f.wait(at)

		return false
	}

	first := i - i%len(j.record.Spec.Steps)

	return !slices.ContainsFunc(j.steps[i].spec.After, func(a int) bool { return !j.steps[first+a].complete() })
}

// wait notes when the next step of a job with times may start.
func (f *Fleet) wait(at time.Time) {
	if f.nextStart.IsZero() || at.Before(f.nextStart) {
		f.nextStart = at
	}
}

func (f *Fleet) placeStep(now time.Duration, j *jobRow, i int) {
	s := &j.steps[i]

	for k := range s.tasks {
		t := &s.tasks[k]
		if t.phase != waiting || now < t.notBefore {
			continue
		}

		w := f.choose(now, j, s, t)
		if w == nil {
			// The tasks of a step are alike: none of them fits now.
			return
		}

		f.start(now, j, s, t, w, j.taskID(i, k))
	}
}

// choose returns the best worker for a task, or nil.
func (f *Fleet) choose(now time.Duration, j *jobRow, s *stepRow, t *taskRow) *workerRow {
	c := classOf(j, s.spec)
	if f.full.covers(c, s.spec.Size) {
		return nil
	}

	var (
		best      *workerRow
		bestScore int64
	)

	for _, w := range f.ranks {
		if !f.may(now, j, s, w) {
			continue
		}

		score, ok := f.rate(s.spec, w, j.active == 0)
		if !ok {
			continue
		}

		if w.node == t.avoid {
			score -= avoidPenalty
		}

		if best == nil || score > bestScore || (score == bestScore && w.node < best.node) {
			best, bestScore = w, score
		}
	}

	if best == nil && s.spec.AntiAffinity == 0 && !s.spec.Gang {
		f.full.add(c, s.spec.Size)
	}

	return best
}

// may reports whether a step's tasks may start on a worker.
func (f *Fleet) may(now time.Duration, j *jobRow, s *stepRow, w *workerRow) bool {
	switch {
	case !w.connected || !w.ready || f.Out[w.dataCentre] || w.resting(now, s.spec):
		return false
	case w.service != j.record.Service:
		return false
	case s.spec.Requires != "" && !slices.Contains(w.labels, s.spec.Requires):
		return false
	case s.spec.AntiAffinity > 0 && s.on[w] >= s.spec.AntiAffinity:
		return false
	}

	size := s.spec.Size
	if s.spec.Fills {
		size.MilliCores = 0
	}

	return w.capacity.CanFit(w.used.Plus(size))
}

const (
	// avoidPenalty keeps a task off the worker where it failed, as long as
	// another one has room at all.
	avoidPenalty = 1 << 40
	// alikePreference puts a task that serves beside others of its image.
	alikePreference = 1 << 22
	// emptyPreference puts it where none serves, rather than beside other images.
	emptyPreference = 1 << 21
	// mixedPenalty counts for each task of another image that serves, and against
	// it for each of the same.
	mixedPenalty = 1 << 17
	// remotePenalty keeps tasks near their data.
	remotePenalty = 1 << 18
)

// rate scores a worker for a task of a step: the higher, the better. Scores are
// thousandths of a core that are left. A task of a job that has nothing running
// is placed in any case.
func (f *Fleet) rate(s *job.Step, w *workerRow, forced bool) (int64, bool) {
	left := w.left()

	var penalty int64
	if s.DataRack != "" && !slices.Contains(w.labels, s.DataRack) {
		penalty = remotePenalty
	}

	switch {
	case s.Fills:
		score, ok := f.rateFilling(s, w, left)
		if !ok && !forced {
			return 0, false
		}

		return score - penalty, true
	case s.TargetLatency > 0:
		return f.rateServing(s, w, left) - penalty, true
	default:
		return left - penalty, true
	}
}

// rateServing scores a worker for a task that serves. A task that fills needs a
// worker where it disturbs no serving image: the fewer images serve on each
// worker, the more workers suit it.
func (f *Fleet) rateServing(s *job.Step, w *workerRow, left int64) int64 {
	var alike, others int64

	disturbance := 0.0

	for _, r := range w.runs {
		switch {
		case r.step.Fills:
			disturbance += f.Interference.Factor(r.step.Image, s.Image) * w.share(r.step)
		case r.step.TargetLatency > 0 && r.step.Image == s.Image:
			alike++
		case r.step.TargetLatency > 0:
			others++
		}
	}

	score := left - int64(disturbance*latencyScale)

	switch {
	case others > 0:
		return score + (alike-others)*mixedPenalty
	case alike > 0:
		return score + alikePreference
	default:
		return score + emptyPreference
	}
}

const (
	// servingUse is the share of its size that a serving task uses, in percent.
	// Services are sized for their peaks.
	servingUse = 50
	// bearableRatio is the share of its target up to which a serving task's
	// latency may be expected to rise by a placement; pacing begins above it.
	bearableRatio = 0.6
	// unknownRatio is taken for a serving task without a reading.
	unknownRatio = 0.4
	// mostRoom is the headroom of speed beyond which more makes no difference:
	// about that of serving tasks under half of their load.
	mostRoom = 2.0
	// latencyScale turns the least headroom of the serving tasks, in parts of
	// speed, into thousandths of a core: all of it weighs as much as half a
	// worker of 64 cores.
	latencyScale = 10_000
	// latencyAge is the time after which a reading shows the effect of a start.
	latencyAge = 1200 * time.Millisecond
)

// rateFilling scores a worker for a task that fills, by the processor time that
// is left and by what the serving tasks there bear.
func (f *Fleet) rateFilling(s *job.Step, w *workerRow, left int64) (int64, bool) {
	left += w.reserved * (100 - servingUse) / 100
	fits := left >= s.Size.MilliCores
	room := mostRoom
	share := w.share(s)

	for _, m := range f.margins(w) {
		if fall := f.Interference.Factor(s.Image, m.image) * share; fall > 0 {
			room = min(room, m.left-fall)
		}
	}

	return left + int64(room*latencyScale), fits && room >= 0
}

func (f *Fleet) start(now time.Duration, j *jobRow, s *stepRow, t *taskRow, w *workerRow, id job.TaskID) {
	attempt := max(t.attempt+1, int(f.term-1)*attemptsPerTerm+1)
	place := w.place(now)
	f.assign(now, j, s, t, w, id, attempt)
	f.send(j, s, t, id, place)
}

// send orders the start of a task where it is assigned.
func (f *Fleet) send(j *jobRow, s *stepRow, t *taskRow, id job.TaskID, place Placement) {
	t.worker.probed(id)

	o := f.ordersFor(t.worker)
	o.Starts = append(o.Starts, f.order(j, s, t, id))
	o.Placements = append(o.Placements, place)
}

// place describes a worker at the moment of a decision.
func (w *workerRow) place(now time.Duration) Placement {
	p := Placement{FreeMilliCores: w.left()}

	for _, r := range w.runs {
		if r.step.TargetLatency > 0 {
			p.ReadingAge = max(p.ReadingAge, now-r.seen)
		}
	}

	return p
}

// left is the processor time that nobody reserved or fills.
func (w *workerRow) left() int64 {
	return w.capacity.MilliCores - w.used.MilliCores - w.filling
}

func (f *Fleet) assign(now time.Duration, j *jobRow, s *stepRow, t *taskRow, w *workerRow, id job.TaskID, attempt int) {
	t.phase = active
	t.attempt = attempt
	t.worker = w
	s.waiting--
	s.on[w]++
	j.active++
	w.add(now, id, attempt, s.spec)
}

func (f *Fleet) order(j *jobRow, s *stepRow, t *taskRow, id job.TaskID) gate.StartOrder {
	return gate.StartOrder{
		Task:       id,
		Attempt:    t.attempt,
		Text:       j.record.Spec.Text,
		Checkpoint: t.checkpoint,
		Size:       s.spec.Size,
		Fills:      s.spec.Fills,
		Target:     s.spec.TargetLatency,
		Image:      s.spec.Image,
	}
}
