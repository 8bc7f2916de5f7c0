package fleet

import (
	"cmp"
	"slices"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"
)

// workerInfo is the state of one worker. It is identified by its node, the
// process beside the worker that controls it.
type workerInfo struct {
	node        string
	dataCentre  string
	incarnation gate.Incarnation
	service     string
	capacity    job.Size
	labels      []string
	ready       bool
	connected   bool
	// lastContact is the time when the node last reported while connected, or was last
	// told that its leader holds the lease. All leases on its worker have expired
	// MaxLeaseTime later.
	lastContact time.Duration
	// strayAt is when the worker last listed a run that isn't one of runs, 0 if never.
	strayAt time.Duration
	runs    map[job.TaskID]*run
	// lastEnd is the last end that was processed, and lastRecorded the last one that is stored.
	lastEnd, lastRecorded endMark

	// used is the sum of the sizes of all tasks, without the processor time of
	// filling tasks.
	used job.Size
	// fillingMilliCores is the processor time of the filling tasks.
	fillingMilliCores int64
	// serving is the number of serving tasks, and servingMilliCores the processor
	// time of their sizes.
	serving           int
	servingMilliCores int64

	health           health
	refusals         refusals
	quarantinedUntil time.Duration
	movedAt          time.Duration
	clearing         clearing
	speed            workerSpeed

	// headrooms is the cached result of computeHeadrooms. It is valid for one
	// generation of the interference estimates, and until headroomsStale is set by a
	// report or a change of the runs.
	headrooms           []imageHeadroom
	headroomsGeneration int
	headroomsStale      bool

	reserved reservedRoom
}

// run is an attempt that runs, or may run, on a worker, as the leader knows it.
type run struct {
	attempt         int
	step            *job.Step
	progressPercent int
	progress        runProgress
	// latencyMillis is the latest tail latency of a serving task, read at readAt. It
	// is not used for other tasks.
	latencyMillis int64
	readAt        time.Duration
	started       time.Duration
	// slowSince is the time since which the pace has been at most slowPacePercent, or
	// 0. stopAwaitedUntil is how long the end of the run is awaited after a stop for a move, a
	// preemption or an incomplete gang, 0 if none was ordered. The order or the session may have been lost.
	slowSince, stopAwaitedUntil time.Duration
	// stalled means that the run makes no progress although its pace allows it.
	stalled bool
	// probes means that the run probes its worker after a quarantine, and confirmed that the
	// worker is known to run it.
	probes, confirmed bool
	saved             savedProgress
}

func (w *workerInfo) addRun(now time.Duration, id job.TaskID, attempt int, s *job.Step) {
	w.runs[id] = &run{
		attempt: attempt,
		step:    s,
		started: now,
	}
	w.addUse(s, 1)
}

func (w *workerInfo) removeRun(id job.TaskID, s *job.Step) {
	if w.runs[id] == nil {
		return
	}

	delete(w.runs, id)
	w.addUse(s, -1)
}

// addUse adds the sizes of n tasks of a step to the resources in use; n may be
// negative.
func (w *workerInfo) addUse(s *job.Step, n int64) {
	w.headroomsStale, w.reserved.fresh = true, false
	size := s.Size
	if s.Fills {
		w.fillingMilliCores += n * size.MilliCores
		size.MilliCores = 0
	}

	if s.TargetLatency > 0 {
		w.serving += int(n)
		w.servingMilliCores += n * s.Size.MilliCores
	}

	w.used = w.used.Add(job.Size{
		MilliCores:   n * size.MilliCores,
		MemoryMB:     n * size.MemoryMB,
		Accelerators: n * size.Accelerators,
	})
}

// Report is a report of a node about its worker.
type Report struct {
	// Full means that all runs and all unrecorded ends are listed.
	Full       bool
	DataCentre string
	// Described means that the fields from Incarnation to Labels are set.
	Described   bool
	Incarnation gate.Incarnation
	Ready       bool
	Service     string
	Capacity    job.Size
	Labels      []string
	Runs        []gate.Run
	Ends        []gate.EndEvent
}

// Report processes a report of a node.
func (f *Fleet) Report(now time.Duration, node string, r Report) {
	w := f.workers[node]
	if w == nil {
		w = &workerInfo{
			node:        node,
			runs:        map[job.TaskID]*run{},
			lastContact: now,
		}
		f.workers[node] = w
		f.sortedWorkers = append(f.sortedWorkers, w)
		slices.SortFunc(f.sortedWorkers, func(a, b *workerInfo) int { return cmp.Compare(a.node, b.node) })
	}

	w.headroomsStale = true
	reconnected := r.Full && !w.connected
	// Set before the runs are processed, since a disconnected worker is sent no stops.
	w.connected = w.connected || r.Full

	if w.connected {
		w.lastContact = now
	}

	if r.Described {
		if w.incarnation != r.Incarnation {
			w.health = health{}
			w.quarantinedUntil = 0
			w.refusals = refusals{}
			f.forgetSpeed(w)
		}

		w.dataCentre = r.DataCentre
		w.incarnation = r.Incarnation
		w.ready = r.Ready
		w.service = r.Service
		w.capacity = r.Capacity
		w.labels = r.Labels
	}

	for _, e := range r.Ends {
		f.RecordEnd(now, node, e.End)
		f.markEnd(w, e)
	}

	if reconnected {
		f.reconcile(now, w, r)
	}

	for _, g := range r.Runs {
		f.updateRun(now, w, g)
	}

	if r.Full {
		delete(f.unreported, node)
		delete(f.idle, node)
		delete(f.absent, node)
	}
}

// markEnd records the number of the last processed end of a worker.
func (f *Fleet) markEnd(w *workerInfo, e gate.EndEvent) {
	if e.Number == 0 {
		return
	}

	n := f.laterMarks[w.node]
	if n.incarnation != e.Incarnation {
		n = endMark{incarnation: e.Incarnation}
	}

	n.number = max(n.number, e.Number)
	f.laterMarks[w.node] = n
	w.lastEnd = n
}

// updateRun processes a run that a worker lists. It stops the run if its job is unknown
// or over, its task is done, or another attempt replaced it. While no attempt is active, the
// run becomes the active one, whatever its number: the task can't start before it has ended.
func (f *Fleet) updateRun(now time.Duration, w *workerInfo, g gate.Run) {
	j, s, t := f.findTask(g.Task)

	if j == nil || j.state.Final() || t.phase == done ||
		(t.phase == active && (t.worker != w || g.Attempt < t.attempt)) {
		w.strayAt = now
		f.orderStop(w, g.Task, g.Attempt)

		return
	}

	j.started = j.started || g.Confirmed

	if g.Checkpoint != "" {
		f.saveCheckpoint(now, j, s, g.Task.Index, g.Checkpoint)
	}

	if t.phase == waiting {
		f.assign(now, j, s, t, w, g.Task, g.Attempt)
	}

	if !g.OrderKnown {
		order := f.startOrder(j, s, t, g.Task)
		// The run has them already, and a worker's runs are sent in one frame.
		order.Text, order.Checkpoint = "", ""

		o := f.ordersFor(w)
		o.Adopted = append(o.Adopted, order)
	}

	r := w.runs[g.Task]
	f.watchProgress(now, w, r, g)
	r.confirmed = r.confirmed || g.Confirmed
	w.confirmStart(r)
	r.readAt = now
	r.latencyMillis = g.Measurement
	r.recordProgress(now, g.ProgressPercent)
	r.updatePace(now, g.PacePercent)

	if g.Stalled && !r.stalled {
		f.recordStall(now, w, r, t, g.Task)
	}
}

// reconcile records as lost the attempts that the first full report of a session lists neither
// as running nor as ended. Within a session each end is reported, and an order may be on its
// way when the node sends a full report.
func (f *Fleet) reconcile(now time.Duration, w *workerInfo, r Report) {
	listed := make(map[job.TaskID]int, len(r.Runs))
	for _, g := range r.Runs {
		listed[g.Task] = g.Attempt
	}

	for id, run := range w.runs {
		if listed[id] != run.attempt {
			f.giveUp(now, w, id, run, gate.Lost)
		}
	}
}

// Loss is a run that the leader takes for ended although nobody reported its end.
type Loss struct {
	Node    string
	Task    job.TaskID
	Attempt int
	// Reason is Lost if a full report of the node lacks the run, or Lapsed if the node
	// is disconnected and the leases of its worker have expired.
	Reason gate.EndReason
	// ContactAge is the time since the last contact with the node.
	ContactAge time.Duration
}

func (f *Fleet) giveUp(now time.Duration, w *workerInfo, id job.TaskID, r *run, reason gate.EndReason) {
	f.losses = append(f.losses, Loss{
		Node:       w.node,
		Task:       id,
		Attempt:    r.attempt,
		Reason:     reason,
		ContactAge: now - w.lastContact,
	})
	f.RecordEnd(now, w.node, gate.End{
		Task:    id,
		Attempt: r.attempt,
		Reason:  reason,
	})
}

// Losses returns the runs that were given up since the last call.
func (f *Fleet) Losses() []Loss {
	losses := f.losses
	f.losses = nil

	return losses
}

// Unawaited returns the nodes whose first reports have stopped being awaited since the
// last call.
func (f *Fleet) Unawaited() []string {
	nodes := f.unawaited
	f.unawaited = nil

	return nodes
}

// RecordContact records that a node is told that its leader still holds the lease, and
// returns whether it may be told so. The node may then extend the leases of its runs,
// and so must have reported them: until then, they expire.
func (f *Fleet) RecordContact(now time.Duration, node string) bool {
	w := f.workers[node]
	if w == nil || !w.connected {
		return false
	}

	w.lastContact = now

	return true
}

// Disconnected records that the session with a node ended.
func (f *Fleet) Disconnected(node string) {
	if w := f.workers[node]; w != nil {
		w.connected = false
		f.forgetSpeed(w)
	}
}

// expireRuns records as lapsed the runs of disconnected workers whose leases have
// expired.
func (f *Fleet) expireRuns(now time.Duration) {
	for _, w := range f.sortedWorkers {
		if w.connected || now < w.lastContact+MaxLeaseTime {
			continue
		}

		for id, run := range w.runs {
			f.giveUp(now, w, id, run, gate.Lapsed)
		}

		f.markAbsent(w.node)
	}
}
