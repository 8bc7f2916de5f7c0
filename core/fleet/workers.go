package fleet

import (
	"cmp"
	"slices"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"
)

// workerRow is a row of the workers' table, named by the node beside it.
type workerRow struct {
	node        string
	dataCentre  string
	incarnation gate.Incarnation
	service     string
	capacity    job.Size
	labels      []string
	ready       bool
	connected   bool
	// heard is when the node was last told that its leader is in office.
	heard time.Duration
	runs  map[job.TaskID]*run

	// used counts all sizes, but not the processor time of tasks that fill.
	used job.Size
	// filling is the processor time of tasks that fill, in thousandths of a core.
	filling int64
	// serving is the number of tasks with a latency target, and reserved the
	// processor time that they have.
	serving  int
	reserved int64

	health    health
	restUntil time.Duration
	movedAt   time.Duration

	// margins are what the serving tasks bear, as of a generation of the
	// estimates; stale after any change of what runs.
	margins      []margin
	marginsOf    int
	marginsStale bool
}

// run is an attempt that is, or may be, on a worker.
type run struct {
	attempt int
	step    *job.Step
	percent int
	// figure is the last tail latency in milliseconds of a serving task, read at
	// the time seen.
	figure  int64
	seen    time.Duration
	started time.Duration
	// slow is since when the run has been held back a lot, and moved says that
	// it was ordered to stop for that.
	slow  time.Duration
	moved bool
	// stalled says that it makes no progress though it may.
	stalled bool
}

func (w *workerRow) add(now time.Duration, id job.TaskID, attempt int, s *job.Step) {
	w.runs[id] = &run{
		attempt: attempt,
		step:    s,
		started: now,
	}
	w.account(s, 1)
}

func (w *workerRow) remove(id job.TaskID, s *job.Step) {
	if w.runs[id] == nil {
		return
	}

	delete(w.runs, id)
	w.account(s, -1)
}

// account adds n tasks of a step to what is used.
func (w *workerRow) account(s *job.Step, n int64) {
	w.marginsStale = true
	size := s.Size
	if s.Fills {
		w.filling += n * size.MilliCores
		size.MilliCores = 0
	}

	if s.TargetLatency > 0 {
		w.serving += int(n)
		w.reserved += n * s.Size.MilliCores
	}

	w.used = w.used.Plus(job.Size{
		MilliCores:   n * size.MilliCores,
		MemoryMB:     n * size.MemoryMB,
		Accelerators: n * size.Accelerators,
	})
}

// Report is the word of a node about the worker beside it.
type Report struct {
	// Full says that all runs and unrecorded ends are listed.
	Full       bool
	DataCentre string
	// Described says that the fields up to Labels are set.
	Described   bool
	Incarnation gate.Incarnation
	Ready       bool
	Service     string
	Capacity    job.Size
	Labels      []string
	Runs        []gate.Run
	Ends        []gate.EndEvent
}

// Report takes in the word of a node.
func (f *Fleet) Report(now time.Duration, node string, r Report) {
	w := f.workers[node]
	if w == nil {
		w = &workerRow{
			node: node,
			runs: map[job.TaskID]*run{},
		}
		f.workers[node] = w
		f.ranks = append(f.ranks, w)
		slices.SortFunc(f.ranks, func(a, b *workerRow) int { return cmp.Compare(a.node, b.node) })
	}

	w.heard = now
	w.marginsStale = true
	// Orders that the report gives rise to can be sent.
	w.connected = w.connected || r.Full

	if r.Described {
		if w.incarnation != r.Incarnation {
			w.health = health{}
			w.restUntil = 0
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
		f.note(w, e)
	}

	for _, g := range r.Runs {
		f.seeRun(now, w, g)
	}

	if r.Full {
		delete(f.missing, node)
		f.reconcile(now, w, r)
	}
}

// note remembers up to which end the worker may forget.
func (f *Fleet) note(w *workerRow, e gate.EndEvent) {
	if e.Number == 0 {
		return
	}

	n := f.noted[w.node]
	if n.incarnation != e.Incarnation {
		n = recorded{incarnation: e.Incarnation}
	}

	n.number = max(n.number, e.Number)
	f.noted[w.node] = n
}

// seeRun takes in a run that a worker lists.
func (f *Fleet) seeRun(now time.Duration, w *workerRow, g gate.Run) {
	j, s, t := f.task(g.Task)

	if j == nil || j.state.Final() || t.phase == done || g.Attempt < t.attempt ||
		(t.phase == active && t.worker != w) {
		f.stop(w, g.Task, g.Attempt)

		return
	}

	j.started = true

	if g.Checkpoint != "" {
		t.checkpoint = g.Checkpoint
	}

	if t.phase == waiting {
		f.adopt(now, j, s, t, w, g)
	}

	r := w.runs[g.Task]
	r.seen = now
	r.figure = g.Measurement
	r.percent = g.ProgressPercent
	r.pace(now, g.PacePercent)

	if g.Stalled && !r.stalled {
		r.stalled = true
		f.stalled(now, w, g.Task)
	}
}

// adopt takes over a run that this leader has not started.
func (f *Fleet) adopt(now time.Duration, j *jobRow, s *stepRow, t *taskRow, w *workerRow, g gate.Run) {
	f.assign(now, j, s, t, w, g.Task, g.Attempt)

	o := f.ordersFor(w)
	o.Adopted = append(o.Adopted, f.order(j, s, t, g.Task))
}

// reconcile ends what the worker neither runs nor lists as ended.
func (f *Fleet) reconcile(now time.Duration, w *workerRow, r Report) {
	listed := make(map[job.TaskID]bool, len(r.Runs))
	for _, g := range r.Runs {
		listed[g.Task] = true
	}

	for id, run := range w.runs {
		if listed[id] {
			continue
		}

		f.RecordEnd(now, w.node, gate.End{
			Task:    id,
			Attempt: run.attempt,
			Reason:  gate.Lost,
		})
	}
}

// RecordContact says that a node was told that its leader is in office.
func (f *Fleet) RecordContact(now time.Duration, node string) {
	if w := f.workers[node]; w != nil {
		w.heard = now
	}
}

// Disconnected says that the session with a node ended.
func (f *Fleet) Disconnected(node string) {
	if w := f.workers[node]; w != nil {
		w.connected = false
	}
}

// expire takes runs as lapsed on workers that nobody could speak to for longer
// than their leases last.
func (f *Fleet) expire(now time.Duration) {
	for _, w := range f.ranks {
		if w.connected || len(w.runs) == 0 || now < w.heard+MaxLeaseTime {
			continue
		}

		for id, run := range w.runs {
			f.RecordEnd(now, w.node, gate.End{
				Task:    id,
				Attempt: run.attempt,
				Reason:  gate.Lapsed,
			})
		}
	}
}
