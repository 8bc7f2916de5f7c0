package fleet

import (
	"cmp"
	"slices"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"
	"trefoildeck/core/speed"
)

const (
	// judgeInterval is the least time between two judgements of the workers' speeds.
	judgeInterval = 100 * time.Millisecond
	// maxSlowMoves is the number of runs that are moved away from a slow worker at a time.
	maxSlowMoves = 3
	// roomHeld is how long a worker is expected to have no room for another run that is moved away
	// from a slow worker: a stop takes 0.9 s, and the start follows.
	roomHeld = 1200 * time.Millisecond
	// readingAge is the greatest age of a reported percent: a listing waits for an end for 1 s, or
	// for 0.5 s while serving tasks run, and the runs whose percent has changed are reported each
	// second.
	readingAge        = 1200 * time.Millisecond
	readingAgeServing = 700 * time.Millisecond
)

// slowWorkers is what the fleet knows of the speeds of its workers.
type slowWorkers struct {
	tracker  *speed.Tracker
	judgedAt time.Duration
	changes  []SpeedChange
}

// SpeedChange is a worker that counts as slow from now on, or no longer does. Its times are readings
// of the clock of the other calls.
type SpeedChange = speed.Change

// Move is the order to stop a run so that it continues on another worker.
type Move struct {
	Node    string
	Task    job.TaskID
	Attempt int
	Reason  MoveReason
	// Gain is how much earlier the task is expected to end, 0 if unknown.
	Gain time.Duration
}

// MoveReason is the reason of a move.
type MoveReason string

// Reasons of a move.
const (
	// MovePaced means that the run was throttled, MoveStalled that it made no progress, and MoveSlow
	// that its worker is slow.
	MovePaced   MoveReason = "Paced"
	MoveStalled MoveReason = "Stalled"
	MoveSlow    MoveReason = "Slow"
)

// workerSpeed is what the fleet knows of the speed of one worker.
type workerSpeed struct {
	// slow means that the worker counts as slow, and avoided that it gets no run while another has
	// room. Until heldUntil, its room is meant for a run that is moved there.
	slow, avoided bool
	heldUntil     time.Duration
}

// savedProgress is the last checkpoint of a run, and the least progress that it may have.
type savedProgress struct {
	checkpoint string
	percent    int
}

// EnableSlowWorkers makes the fleet learn the speeds of its workers, and use slow ones last.
func (f *Fleet) EnableSlowWorkers() { f.slow = &slowWorkers{tracker: speed.New()} }

// SpeedChanges returns the workers that turned slow or no longer are since the last call.
func (f *Fleet) SpeedChanges() []SpeedChange {
	if f.slow == nil {
		return nil
	}

	changes := f.slow.changes
	f.slow.changes = nil

	return changes
}

// Moves returns the moves that were ordered since the last call, if slow workers or colocation are
// enabled.
func (f *Fleet) Moves() []Move {
	moves := f.moves
	f.moves = nil

	return moves
}

func (f *Fleet) recordMove(w *workerInfo, id job.TaskID, attempt int, reason MoveReason, gain time.Duration) {
	if f.slow == nil && !f.Colocation {
		return
	}

	f.moves = append(f.moves, Move{
		Node:    w.node,
		Task:    id,
		Attempt: attempt,
		Reason:  reason,
		Gain:    gain,
	})
}

// moveReason returns why moveRun moves a run.
func (r *run) moveReason() MoveReason {
	if r.stalled {
		return MoveStalled
	}

	return MovePaced
}

// comparableProgress reports whether the progress of a step's tasks tells the speed of a worker. Long-running
// tasks make none, and the members of a gang wait for each other.
func comparableProgress(s *job.Step) bool { return !s.LongRunning && !s.Gang }

// speedStep returns the step of a task among the tasks that take as long on workers of one speed.
func speedStep(id job.TaskID, s *job.Step, w *workerInfo) speed.Step {
	return speed.Step{
		Job:    id.Job,
		Index:  id.Step,
		Remote: w.remoteFor(s),
	}
}

// remoteFor reports whether a worker is outside the rack of a step's data.
func (w *workerInfo) remoteFor(s *job.Step) bool {
	return s.DataRack != "" && !slices.Contains(w.labels, s.DataRack)
}

// limits returns at which part of full speed a worker lets a run go. The sizes of all other tasks come
// first: a filling task gets its part of what they leave at the least.
func (w *workerInfo) limits(s *job.Step, pace int) speed.Limits {
	if !s.Fills {
		return speed.FullSpeed
	}

	idle := float64(max(0, w.capacity.MilliCores-w.used.MilliCores))
	l := speed.Limits{
		Pace:  speed.UnknownPace,
		Share: min(1, idle/float64(max(1, w.fillingMilliCores))),
	}

	if pace != gate.UnknownPace {
		l.Pace = float64(pace) / 100
	}

	return l
}

// watchStart records the start of a run.
func (f *Fleet) watchStart(now time.Duration, s *stepInfo, t *taskInfo, id job.TaskID) {
	if f.slow == nil || !comparableProgress(s.spec) {
		return
	}

	w := t.worker
	f.slow.tracker.Start(now, speed.Start{
		Node:   w.node,
		Task:   id,
		Step:   speedStep(id, s.spec, w),
		Fresh:  t.checkpoint == "",
		Limits: w.limits(s.spec, 100),
	})
	w.speed.avoided = f.slow.tracker.Avoid(w.node)
}

// watchProgress records a report of a run before it is applied. Agents report a pace when it changes; a
// percent that has not changed may be of any age.
func (f *Fleet) watchProgress(now time.Duration, w *workerInfo, r *run, g gate.Run) {
	if f.slow == nil || !g.Confirmed || !comparableProgress(r.step) {
		return
	}

	// A report without a checkpoint leaves it as it was.
	if g.Checkpoint != "" && g.Checkpoint != r.saved.checkpoint {
		r.saved = savedProgress{
			checkpoint: g.Checkpoint,
			percent:    r.progressPercent,
		}
	}

	limits := w.limits(r.step, g.PacePercent)

	if g.ProgressPercent == r.progressPercent {
		f.slow.tracker.Limit(now, g.Task, limits)

		return
	}

	reading := speed.Reading{
		Percent: g.ProgressPercent,
		Limits:  limits,
		Age:     readingAge,
	}

	if w.serving > 0 {
		reading.Age = readingAgeServing
	}

	f.slow.tracker.Observe(now, w.node, speedStep(g.Task, r.step, w), g.Task, reading)
}

// watchEnd records the end of a run.
func (f *Fleet) watchEnd(now time.Duration, e gate.End) {
	if f.slow != nil {
		f.slow.tracker.End(now, e.Task, e.Reason == gate.Done)
	}
}

// forgetSpeed drops what is known of the speed of a worker that restarted, or whose session ended:
// the ends of its runs are reported late then.
func (f *Fleet) forgetSpeed(w *workerInfo) {
	if f.slow != nil {
		f.slow.tracker.Forget(w.node)
		w.speed = workerSpeed{}
	}
}

// judgeSpeeds decides which workers are slow.
func (f *Fleet) judgeSpeeds(now time.Duration) {
	if f.slow == nil || now < f.slow.judgedAt+judgeInterval {
		return
	}

	f.slow.judgedAt = now
	changes := f.slow.tracker.Judge(now)
	slices.SortFunc(changes, func(a, b speed.Change) int { return cmp.Compare(a.Node, b.Node) })
	f.slow.changes = append(f.slow.changes, changes...)

	for _, w := range f.sortedWorkers {
		w.speed.avoided = f.slow.tracker.Avoid(w.node)
		w.speed.slow = f.slow.tracker.Slow(w.node)
	}
}

// slowPenalty returns the amount by which the score of a worker is reduced since it is slow.
func (w *workerInfo) slowPenalty() int64 {
	if w.speed.avoided {
		return avoidPenalty
	}

	return 0
}

// moveFromSlow stops runs on slow workers that would end earlier on workers that have room for them
// now.
func (f *Fleet) moveFromSlow(now time.Duration) {
	if f.slow == nil {
		return
	}

	// The sizes that no worker has room for in this pass, inside and outside the rack of their data.
	rejected := map[bool]rejectedSizes{
		false: {},
		true:  {},
	}

	for _, w := range f.sortedWorkers {
		if !w.speed.slow || !w.connected || !w.ready {
			continue
		}

		room := maxSlowMoves - w.movesUnderWay(now)
		if room <= 0 {
			continue
		}

		for _, c := range f.slowCandidates(now, w) {
			if room > 0 && f.moveSlow(now, w, c, rejected[w.remoteFor(c.run.step)]) {
				room--
			}
		}
	}
}

// movesUnderWay returns the number of runs whose end is awaited.
func (w *workerInfo) movesUnderWay(now time.Duration) int {
	n := 0

	for _, r := range w.runs {
		if now < r.stopAwaitedUntil {
			n++
		}
	}

	return n
}

// slowRun is a run on a slow worker, and how much earlier it would end elsewhere.
type slowRun struct {
	id   job.TaskID
	run  *run
	gain time.Duration
}

// slowCandidates returns the runs of a slow worker that would end earlier elsewhere, those with the
// largest gain first.
func (f *Fleet) slowCandidates(now time.Duration, w *workerInfo) []slowRun {
	var list []slowRun

	v, _ := f.slow.tracker.Speed(now, w.node)

	for id, r := range w.runs {
		if now < r.stopAwaitedUntil || !comparableProgress(r.step) {
			continue
		}

		d, ok := f.slow.tracker.Duration(speedStep(id, r.step, w), w.node)
		if !ok {
			continue
		}

		m := speed.Move{
			Done:     float64(r.progressPercent) / 100,
			Speed:    v,
			Duration: d,
		}

		if r.step.Checkpointing {
			m.Saved = float64(r.saved.percent) / 100
		}

		if gain, pays := m.Gain(); pays {
			list = append(list, slowRun{
				id:   id,
				run:  r,
				gain: gain,
			})
		}
	}

	slices.SortFunc(list, func(a, b slowRun) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.id.String(), b.id.String()))
	})

	return list
}

// moveSlow stops a run if a worker has room for it that is not meant for another one, and returns whether
// it did. It does not look for room for sizes in rejected, and adds to them.
func (f *Fleet) moveSlow(now time.Duration, w *workerInfo, c slowRun, rejected rejectedSizes) bool {
	j, s, t := f.findTask(c.id)
	if j == nil || j.state.Final() {
		return false
	}

	key := constraintsOf(j, s.spec)
	if rejected.covers(key, s.spec.Size) {
		return false
	}

	reserved := false

	for _, o := range f.sortedWorkers {
		if o == w || o.speed.avoided || now < o.speed.heldUntil || o.remoteFor(s.spec) != w.remoteFor(s.spec) ||
			!f.feasible(now, j, s, o) {
			continue
		}

		if _, ok := f.score(s.spec, o, false); !ok {
			continue
		}

		if !f.couldUse(now, j, s, o) {
			reserved = true

			continue
		}

		o.speed.heldUntil = now + roomHeld
		c.run.stopAwaitedUntil = now + stopRepeatDelay
		t.avoidNode = w.node
		f.orderStop(w, c.id, c.run.attempt)
		f.recordMove(w, c.id, c.run.attempt, MoveSlow, c.gain)

		return true
	}

	// Reservations and anti-affinity keep this run from room that another one of its size may use.
	if !reserved && s.spec.AntiAffinity == 0 {
		rejected.add(key, s.spec.Size)
	}

	return false
}

// mayLeave reports whether a run that is slow or stalled is to be stopped: another worker could run it
// now, or it is paced down in a data centre that is out. There it would stay while the tasks of other
// jobs take each free place elsewhere; once stopped, it gets one in the order of its job.
func (f *Fleet) mayLeave(now time.Duration, j *jobInfo, s *stepInfo, w *workerInfo, r *run) bool {
	return f.canRunElsewhere(now, j, s, w) || (f.slow != nil && f.Out[w.dataCentre] && r.slowSince > 0 && f.suitsElsewhere(j, s, w))
}

// suitsElsewhere reports whether a usable worker other than one could run a task of a step if it were
// idle.
func (f *Fleet) suitsElsewhere(j *jobInfo, s *stepInfo, here *workerInfo) bool {
	return slices.ContainsFunc(f.sortedWorkers, func(w *workerInfo) bool {
		return w != here && w.connected && w.ready && !f.Out[w.dataCentre] && w.service == j.record.Service &&
			(s.spec.Requires == "" || slices.Contains(w.labels, s.spec.Requires)) && w.capacity.CanFit(s.spec.Size)
	})
}
