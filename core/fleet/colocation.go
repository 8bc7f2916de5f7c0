package fleet

import (
	"time"

	"trefoildeck/core/colocation"
	"trefoildeck/core/job"
)

const (
	// colocationInterval is the least time between two updates of the planner, for each
	// colocationWorkers workers: an update looks at all of them.
	colocationInterval = 100 * time.Millisecond
	colocationWorkers  = 300
	// minEvidence is the weight of an estimate from which on a pair of images counts as known. It is
	// that of a change by a twentieth of a worker.
	minEvidence = 0.002
	// priceScale converts a price into thousandths of a core, the unit of scores: a pressure of 1
	// weighs as much as 20 idle cores.
	priceScale = 20_000
	// blockedPenalty is, for a serving task, that for a worker on which all filling work would be
	// newly blocked. It outweighs the image's bonuses, which stand for the same without evidence.
	blockedPenalty = 1 << 23
	// maxNewlyBlocked is the share of the filling work that the move of a serving task may newly
	// block on the worker that it is moved to.
	maxNewlyBlocked = 0.15
	// servingMoveShare is the part of the workers from which serving tasks may be moved at a time.
	servingMoveShare = 5
	// maxServingSearches bounds the searches of an update for workers that serving tasks are moved to.
	// Each goes through all workers.
	maxServingSearches = 32
	// minServingRest is the least time for which a serving task stays on a worker. It is out of
	// service for about 1.5 s with each move.
	minServingRest = 5 * time.Second
	// destinationTime is how long room is held for a run that is moved. A stop takes 0.9 s at most.
	destinationTime = 2 * time.Second
)

// colocationState is the state of the placement by effects between images. Package colocation decides.
type colocationState struct {
	planner   colocation.Planner
	updatedAt time.Duration
	// index has the place of each worker in the planner's list.
	index map[*workerInfo]int
	// workers has the workers in the order of that list.
	workers []*workerInfo
	moves   []ServingMove
	// searches is the number of searches for workers that serving tasks are moved to in the last update.
	// searchFrom is the number of candidates that the next update leaves out, since their turn was in
	// the updates before.
	searches, searchFrom int
	// unsettled has the steps of which not all tasks are at work, as far as the last update looked at
	// them: a step may have a task on each worker.
	unsettled map[*stepInfo]bool
	// destinations has the workers that hold room for runs that are stopped to be moved there.
	destinations map[job.TaskID]destination
}

// destination is room that is held on a worker.
type destination struct {
	worker *workerInfo
	step   *stepInfo
	until  time.Duration
}

// ServingMove reports a serving task that is moved so that filling tasks can run on its worker.
type ServingMove struct {
	Node, To string
	Task     job.TaskID
	Attempt  int
	// Gain is the waiting work that it frees room for, in cores.
	Gain float64
}

// ServingMoves returns the moves that were ordered since the last call.
func (f *Fleet) ServingMoves() []ServingMove {
	moves := f.colocation.moves
	f.colocation.moves = nil

	return moves
}

// updateColocation updates the planner, then moves serving tasks unless blocked is set: tasks of loaded
// jobs that are stopped then can't start again yet.
func (f *Fleet) updateColocation(now time.Duration, blocked bool) {
	f.expireDestinations(now)

	c := &f.colocation
	interval := colocationInterval * time.Duration(1+len(f.sortedWorkers)/colocationWorkers)

	if !f.Colocation || now < c.updatedAt+interval {
		return
	}

	c.updatedAt = now
	c.index = map[*workerInfo]int{}
	c.workers = c.workers[:0]

	demands := f.waitingDemands()

	var workers []colocation.Worker

	for _, w := range f.sortedWorkers {
		if !w.connected || !w.ready || f.Out[w.dataCentre] {
			continue
		}

		c.index[w] = len(workers)
		c.workers = append(c.workers, w)
		workers = append(workers, w.colocationWorker(demands))
	}

	list := make([]colocation.Demand, 0, len(demands))
	for _, d := range demands {
		list = append(list, *d)
	}

	c.planner.Update(now, list, workers, f.effect)

	if !blocked {
		f.moveServing(now)
	}
}

// waitingDemands returns the filling work that waits for a worker, by image.
func (f *Fleet) waitingDemands() map[string]*colocation.Demand {
	demands := map[string]*colocation.Demand{}

	for _, j := range f.open {
		if j.state.Final() {
			continue
		}

		for i := range j.steps {
			if s := &j.steps[i]; s.spec.Fills && s.waiting > 0 && f.stepReady(j, i) {
				demandOf(demands, s.spec.Image).Waiting += cores(int64(s.waiting) * s.spec.Size.MilliCores)
			}
		}
	}

	return demands
}

func demandOf(demands map[string]*colocation.Demand, image string) *colocation.Demand {
	d := demands[image]
	if d == nil {
		d = &colocation.Demand{Image: image}
		demands[image] = d
	}

	return d
}

func cores(milliCores int64) float64 { return float64(milliCores) / 1000 }

// colocationWorker describes a worker, and adds its filling work to the demands. A run that is paced
// down waits as much as it runs.
func (w *workerInfo) colocationWorker(demands map[string]*colocation.Demand) colocation.Worker {
	serving := map[string]int{}

	for _, r := range w.runs {
		switch {
		case r.step.Fills:
			d := demandOf(demands, r.step.Image)
			d.Running += cores(r.step.Size.MilliCores)

			if r.slowSince > 0 {
				d.Waiting += cores(r.step.Size.MilliCores)
			}
		case r.step.TargetLatency > 0:
			serving[r.step.Image]++
		}
	}

	idle := w.capacity.MilliCores - w.used.MilliCores + unusedMilliCores(w.servingMilliCores)

	return colocation.Worker{
		Serving: serving,
		Free:    cores(max(0, idle-w.fillingMilliCores)),
		Idle:    cores(max(0, idle)),
	}
}

// effect returns what is known of a pair of images.
func (f *Fleet) effect(filling, serving string) colocation.Effect {
	factor, weight := f.Interference.Evidence(filling, serving)

	switch {
	case weight < minEvidence:
		return colocation.Unknown
	case factor > 0:
		return colocation.Harmful
	default:
		return colocation.Harmless
	}
}

// price returns the amount by which the score of a worker for filling tasks of an image is reduced.
func (f *Fleet) price(w *workerInfo, image string) int64 {
	i, ok := f.colocation.index[w]
	if !ok {
		return 0
	}

	return int64(f.colocation.planner.Price(i, image) * priceScale)
}

// blockedScore returns the amount by which the score of a worker for a serving task is reduced, for the
// filling work that can't run there any more.
func (f *Fleet) blockedScore(w *workerInfo, image string) int64 {
	if !f.Colocation {
		return 0
	}

	return int64(f.colocation.planner.NewlyBlocked(w.servingImages(), image) * blockedPenalty)
}

// servingImages returns the number of a worker's serving tasks by image.
func (w *workerInfo) servingImages() map[string]int {
	serving := map[string]int{}

	for _, r := range w.runs {
		if r.step.TargetLatency > 0 {
			serving[r.step.Image]++
		}
	}

	return serving
}

// moveServing stops serving tasks that keep filling work from running, for which another worker has
// room where they block little. It moves one task of a worker at a time.
func (f *Fleet) moveServing(now time.Duration) {
	c := &f.colocation
	under := 0

	for _, d := range c.destinations {
		if d.step.spec.TargetLatency > 0 {
			under++
		}
	}

	candidates := c.planner.Candidates()
	from := min(c.searchFrom, len(candidates))
	c.searches, c.searchFrom = 0, 0
	c.unsettled = map[*stepInfo]bool{}

	for i, m := range candidates[from:] {
		if under >= max(1, len(f.sortedWorkers)/servingMoveShare) {
			return
		}

		if c.searches == maxServingSearches {
			c.searchFrom = from + i

			return
		}

		w := c.workers[m.Worker]
		if f.moveOneServing(now, w, m) {
			under++
		}
	}
}

// moveOneServing stops one of the serving tasks of a candidate. It returns false if none can be moved.
func (f *Fleet) moveOneServing(now time.Duration, w *workerInfo, m colocation.Candidate) bool {
	for id, r := range w.runs {
		if r.step.TargetLatency == 0 || r.step.Image != m.Image {
			continue
		}

		j, s, t := f.findTask(id)
		if !f.mayMoveServing(now, w, r, j, s, t) {
			continue
		}

		f.colocation.searches++

		to := f.servingDestination(now, j, s, w)
		if to == nil {
			return false
		}

		f.moveTo(now, w, to, s, t, id, r)
		f.colocation.moves = append(f.colocation.moves, ServingMove{
			Node:    w.node,
			To:      to.node,
			Task:    id,
			Attempt: r.attempt,
			Gain:    m.Gain,
		})

		return true
	}

	return false
}

// mayMoveServing reports whether a serving task may be out of service for a move: it has served for a
// while, and all other tasks of its step are at work, so that its users lose one of them at most.
func (f *Fleet) mayMoveServing(now time.Duration, w *workerInfo, r *run, j *jobInfo, s *stepInfo, t *taskInfo) bool {
	if j == nil || j.state.Final() || t.phase != active || t.worker != w || s.waiting > 0 || s.spec.Gang {
		return false
	}

	if now < r.stopAwaitedUntil || now < r.started+minServingRest || f.colocation.unsettled[s] {
		return false
	}

	if !f.allAtWork(now, j, s) {
		f.colocation.unsettled[s] = true

		return false
	}

	return true
}

// allAtWork reports whether all tasks of a step serve, as far as is known.
func (f *Fleet) allAtWork(now time.Duration, j *jobInfo, s *stepInfo) bool {
	step := f.stepIndex(j, s)

	for k := range s.tasks {
		o := &s.tasks[k]
		if o.phase != active || !o.worker.connected {
			return false
		}

		if other := o.worker.runs[j.taskID(step, k)]; other == nil || other.progressPercent < 100 || now < other.stopAwaitedUntil {
			return false
		}
	}

	return true
}

// stepIndex returns the index of a step among those of its job.
func (f *Fleet) stepIndex(j *jobInfo, s *stepInfo) int {
	for i := range j.steps {
		if &j.steps[i] == s {
			return i
		}
	}

	return 0
}

// servingDestination returns the worker on which a serving task of a step would newly block least
// filling work, or nil.
func (f *Fleet) servingDestination(now time.Duration, j *jobInfo, s *stepInfo, here *workerInfo) *workerInfo {
	var best *workerInfo

	least := maxNewlyBlocked

	for _, w := range f.sortedWorkers {
		if w == here || w.speed.avoided || !f.feasible(now, j, s, w) || !f.couldUse(now, j, s, w) {
			continue
		}

		if share := f.colocation.planner.NewlyBlocked(w.servingImages(), s.spec.Image); share < least {
			best, least = w, share
		}
	}

	return best
}

// moveTo stops a run and holds room for it on another worker.
func (f *Fleet) moveTo(now time.Duration, w, to *workerInfo, s *stepInfo, t *taskInfo, id job.TaskID, r *run) {
	r.stopAwaitedUntil = now + stopRepeatDelay
	t.avoidNode = w.node
	f.orderStop(w, id, r.attempt)
	f.releaseDestination(id)

	f.colocation.destinations[id] = destination{
		worker: to,
		step:   s,
		until:  now + destinationTime,
	}
	s.held++
	to.addUse(s.spec, 1)
}

// releaseDestination gives up the room that is held for a task, and returns its worker, or nil if none
// is held.
func (f *Fleet) releaseDestination(id job.TaskID) *workerInfo {
	d, ok := f.colocation.destinations[id]
	if !ok {
		return nil
	}

	delete(f.colocation.destinations, id)
	d.step.held--
	d.worker.addUse(d.step.spec, -1)

	return d.worker
}

// expireDestinations gives up the room that is held for runs whose stops took too long.
func (f *Fleet) expireDestinations(now time.Duration) {
	for id, d := range f.colocation.destinations {
		if now >= d.until {
			f.releaseDestination(id)
		}
	}
}

// heldWorker returns the worker that holds room for a task, if the task may be placed there, and gives
// up the room.
func (f *Fleet) heldWorker(now time.Duration, j *jobInfo, s *stepInfo, id job.TaskID) *workerInfo {
	w := f.releaseDestination(id)
	if w == nil || !f.feasible(now, j, s, w) {
		return nil
	}

	return w
}
