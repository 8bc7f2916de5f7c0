// Package speed learns the speeds of workers from the progress of their runs, compared with the
// runs of the same steps elsewhere.
//
// The load that it answers: workers of unequal speed, above all one that turns 5 to 8 times slower
// for some seconds while it still starts and ends all that it gets. Its health check and its ends
// look good, and all jobs that have a task there are late.
//
// The tasks of a step are alike, up to 30% in run time, and estimates are not used. A worker has a
// speed only relative to the workers that run tasks of the same steps: a step that runs on one
// worker alone says nothing. What the leader knows of a run is a range: the percent is whole, a
// reading may be old, and how much processor time others leave to a filling task is not known. Within
// that range, the speed nearest to that of the others is assumed, so that doubt never speaks against a
// worker.
//
// The package does no I/O and has no clock: callers pass in the time of one local monotonic clock.
//
// # Usage
//
//	t := speed.New()
//	t.Start(now, speed.Start{Node: node, Task: id, Step: step, Fresh: true, Limits: speed.FullSpeed})
//	t.Observe(now, node, step, id, reading) // with each report of a run
//	t.End(now, id, true)
//	for _, c := range t.Judge(now) { … }
//	if t.Avoid(node) { … }
package speed

import (
	"math"
	"slices"
	"time"

	"trefoildeck/core/job"
)

const (
	// evidenceLife is the age at which evidence is dropped, and evidenceDecay the time in which its
	// weight falls by a factor of e. Beside all evidence, the most recent is judged alone, which
	// recentDecay selects: what was seen before a change hides it for some seconds.
	evidenceLife  = 10 * time.Second
	evidenceDecay = 2 * time.Second
	recentDecay   = 600 * time.Millisecond
	// trialRuns is the number of runs at a time that a worker is given when the evidence that it is
	// slow has decayed, until as many have shown that it is not, or for trialLife.
	trialRuns = 2
	trialLife = 10 * time.Second
	// sweepInterval is the time between two searches for steps without recent evidence.
	sweepInterval = time.Second
)

// Step identifies tasks that are alike.
type Step struct {
	Job   string
	Index int
	// Remote means that the tasks run outside the rack of their data, which takes longer.
	Remote bool
}

// Reading is the progress of a run as reported by its agent.
type Reading struct {
	// Percent is the completed part of the task.
	Percent int
	Limits
	// Age is the greatest age of the percent.
	Age time.Duration
}

// Limits are parts of full speed, between 0 and 1, at which a worker lets a run go.
type Limits struct {
	// Pace is the speed limit that was ordered, which holds from the time of the reading on, or
	// UnknownPace.
	Pace float64
	// Share is the least part of the processor time that the run wants and that others leave.
	Share float64
}

// UnknownPace is the pace of a run of which no order is known.
const UnknownPace = -1

// FullSpeed are the limits of a run that isn't limited.
var FullSpeed = Limits{
	Pace:  1,
	Share: 1,
}

// Start is the start of a run.
type Start struct {
	Node string
	Task job.TaskID
	Step Step
	// Fresh means that the task starts from nothing, and not from a checkpoint.
	Fresh  bool
	Limits Limits
}

// Change is a worker that turned slow, or no longer counts as slow.
type Change struct {
	Node string
	Slow bool
	Evidence
	// Since is the time of the earliest evidence that the worker is slow, or, if it no longer is, the
	// time when it was judged to be.
	Since time.Duration
}

// state is what a worker is taken for.
type state uint8

const (
	sound state = iota
	slow
	// onTrial means that the worker was slow and nothing is known since.
	onTrial
)

// node has the evidence on one worker.
type node struct {
	// runs has the runs under way and those that ended within evidenceLife.
	runs  []*run
	state state
	// since is the start of the state.
	since time.Duration
}

// Tracker has the evidence on all workers. It is not safe for concurrent use.
type Tracker struct {
	runs  map[job.TaskID]*run
	steps map[Step]*group
	nodes map[string]*node
	// changed has the workers to judge: those with new evidence and those that aren't sound.
	changed map[string]bool
	sweptAt time.Duration
}

// New returns a tracker without evidence.
func New() *Tracker {
	return &Tracker{
		runs:    map[job.TaskID]*run{},
		steps:   map[Step]*group{},
		nodes:   map[string]*node{},
		changed: map[string]bool{},
	}
}

// Start records that a run was ordered. An earlier run of the task is forgotten.
func (t *Tracker) Start(now time.Duration, s Start) {
	t.drop(s.Task)

	r := &run{
		task: s.Task,
		node: s.Node,
		step: s.Step,
		at:   now,

		ordered:     now,
		limits:      s.Limits,
		accountedAt: now,
	}

	if s.Fresh {
		r.points = append(r.points, point{
			at:    now,
			exact: true,
		})
	}

	t.add(r)
}

func (t *Tracker) add(r *run) {
	r.lower, r.upper = math.Inf(-1), math.Inf(1)
	t.runs[r.task] = r

	n := t.nodes[r.node]
	if n == nil {
		n = &node{}
		t.nodes[r.node] = n
	}

	n.runs = append(n.runs, r)

	g := t.steps[r.step]
	if g == nil {
		g = &group{byNode: map[string]sum{}}
		t.steps[r.step] = g
	}

	g.running++
	r.group = g
}

// Observe records a reading of a run. A run that is unknown began before this tracker.
func (t *Tracker) Observe(now time.Duration, node string, s Step, id job.TaskID, reading Reading) {
	r := t.runs[id]

	if r == nil || r.node != node {
		t.drop(id)

		r = &run{
			task: id,
			node: node,
			step: s,

			limits:      reading.Limits,
			accountedAt: now,
		}
		t.add(r)
	}

	r.observe(now, reading)
	t.update(now, r)
}

// Limit records the limits of a run that is under way, between two readings of its percent.
func (t *Tracker) Limit(now time.Duration, id job.TaskID, l Limits) {
	if r := t.runs[id]; r != nil {
		r.account(now, l)
	}
}

// End records that a run ended, as done or otherwise. One that was stopped or failed counts as of its
// last reading.
func (t *Tracker) End(now time.Duration, id job.TaskID, done bool) {
	r := t.runs[id]
	if r == nil {
		return
	}

	if !done && !r.known() {
		t.drop(id)

		return
	}

	r.ended = true

	if done {
		r.finish(now)
		t.update(now, r)
	}

	delete(t.runs, id)

	r.group.running--
}

// Forget drops all evidence on a worker, which restarted or left.
func (t *Tracker) Forget(node string) {
	n := t.nodes[node]
	if n == nil {
		return
	}

	for _, r := range slices.Clone(n.runs) {
		if !r.ended {
			t.drop(r.task)
		}
	}

	delete(t.nodes, node)
	delete(t.changed, node)
}

// drop removes a run that is under way, and what it says.
func (t *Tracker) drop(id job.TaskID) {
	r := t.runs[id]
	if r == nil {
		return
	}

	delete(t.runs, id)

	g := r.group
	g.running--
	g.replace(r, nil)

	n := t.nodes[r.node]
	n.runs = slices.DeleteFunc(n.runs, func(o *run) bool { return o == r })
}

// update adds what a run says to its step, and marks its worker as changed.
func (t *Tracker) update(now time.Duration, r *run) {
	r.measure()

	g := r.group
	g.changedAt = now
	g.replace(r, r.typical())

	t.changed[r.node] = true
}

// Avoid reports whether a worker is to get no run while another can take it: it is slow, or has as
// many runs as it gets on trial.
func (t *Tracker) Avoid(node string) bool {
	n := t.nodes[node]

	return n != nil && (n.state == slow || (n.state == onTrial && n.runsOnTrial() >= trialRuns))
}

func (n *node) runsOnTrial() int {
	count := 0

	for _, r := range n.runs {
		if !r.ended && r.ordered >= n.since {
			count++
		}
	}

	return count
}

// Slow reports whether a worker was judged slow.
func (t *Tracker) Slow(node string) bool {
	n := t.nodes[node]

	return n != nil && n.state == slow
}

// Speed returns the speed of a worker, where 1 is as fast as others, and whether the evidence is of
// at least two jobs.
func (t *Tracker) Speed(now time.Duration, node string) (float64, bool) {
	n := t.nodes[node]
	if n == nil {
		return 1, false
	}

	e := t.evidence(now, n, evidenceDecay)

	return e.Speed, e.Jobs >= minJobs
}

// Duration returns how long a task of a step takes at full speed on workers other than one, and
// whether that is known.
func (t *Tracker) Duration(s Step, node string) (time.Duration, bool) {
	g := t.steps[s]
	if g == nil {
		return 0, false
	}

	typical, n := g.elsewhere(node)

	return exp(typical), n > 0
}
