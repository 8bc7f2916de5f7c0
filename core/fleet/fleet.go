// Package fleet is the scheduler of the program trefoildeck-node: it places the tasks
// of the jobs that callers submit (package job) on the workers of a deployment.
// Package placement is that of the program trefoildeck, whose jobs are declared by
// operators.
//
// A Fleet keeps the stored jobs and the workers in memory. Events update them, and
// Schedule returns the resulting orders. The package does no I/O and reads no clock:
// callers pass in the time of one local monotonic clock.
//
// Serving tasks have a latency target. Filling tasks use only the processor time
// that the others leave idle, and are throttled when they slow down serving tasks.
//
// # Usage
//
//	f := fleet.New(term)
//	f.Load(now, age, record, progress, cancelled) // each stored job, at the start of the term
//	f.Report(now, node, report)                   // with each report of a node
//	for node, o := range f.Schedule(now, wall) { … }
//	batch, err := f.Changes(limits)               // write it to the store
//	ends := f.Committed(batch)                    // tell the nodes which ends are recorded
//
// Callers see the end of a job only once it is stored. Until the end of a run is
// recorded, its worker goes on listing it.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"trefoildeck/core/backlog"
	"trefoildeck/core/config"
	"trefoildeck/core/gate"
	"trefoildeck/core/interference"
	"trefoildeck/core/job"
)

const (
	// MaxLeaseTime is the time after the last contact with a worker after which all
	// of its leases have expired: the longest extension, 2% of it for clock drift,
	// and the delay of messages.
	MaxLeaseTime = gate.MaxLeaseExtension + gate.MaxLeaseExtension/gate.ClockDriftDivisor + 300*time.Millisecond
	// attemptsPerTerm is the number of attempt numbers reserved for each term, so that
	// a leader's attempts have higher numbers than those of its predecessor, whose
	// starts it doesn't all know.
	attemptsPerTerm = 1000
	// DefaultRowBytes is the limit of the value of a row of the store if none is set.
	DefaultRowBytes = 64 << 10
)

// Orders are the starts and stops that a worker is to carry out.
type Orders struct {
	Incarnation gate.Incarnation
	Starts      []gate.StartOrder
	// Placements has the data behind each placement, parallel to Starts.
	Placements []Placement
	Stops      []Stop
	// Adopted has the orders of runs that the node found on its worker, without text and
	// checkpoint. The node needs them to know the sizes of the runs.
	Adopted []gate.StartOrder
}

// Placement is the data on which the choice of a worker was based.
type Placement struct {
	// FreeMilliCores is the processor time that the sizes of the worker's tasks leave.
	FreeMilliCores int64
	// ReadingAge is the age of the oldest latency reading of its serving tasks.
	ReadingAge time.Duration
}

// Stop is the order to stop an attempt.
type Stop struct {
	Task    job.TaskID
	Attempt int
}

// Fleet is the scheduling state of a deployment during the term of one leader. It
// is not safe for concurrent use.
type Fleet struct {
	// Configuration is the latest configuration.
	Configuration *config.Configuration
	// Out has the data centres that an operator took out of service: no task starts
	// there.
	Out map[string]bool
	// RowBytes is the limit of the value of a row of progress.
	RowBytes int
	// Colocation enables prices of workers for filling tasks, the placement of serving tasks by what
	// filling work they keep from running, and moves for these reasons.
	Colocation bool
	// LookAhead enables reservations for tasks that no worker has room for.
	LookAhead bool
	// Order is the order of waiting jobs within a priority.
	Order backlog.Policy
	// Preemption means that less urgent runs are stopped to make room for tasks of priority 0.
	Preemption bool
	// CheckpointInterval is the time after which a new checkpoint of a running task is stored, or 0 if
	// checkpoints are stored only when runs end.
	CheckpointInterval time.Duration

	term    int64
	jobs    map[string]*jobInfo
	over    overJobs
	open    []*jobInfo
	workers map[string]*workerInfo
	// sortedWorkers has the workers sorted by node name.
	sortedWorkers []*workerInfo
	rejected      rejectedSizes
	ahead         lookAhead
	colocation    colocationState
	checkpoints   checkpointRows
	orders        map[string]*Orders
	// unreported has the nodes that have not reported in this term. The tasks that
	// the previous leader started there are unknown until the node reports or, at
	// the time given, their leases have expired.
	unreported map[string]time.Duration
	// nodesKnown means that AwaitReports was called.
	nodesKnown bool
	// idle has the nodes that have not reported in this term and on which nothing ran at its
	// beginning. They are absent at the time given.
	idle map[string]time.Duration
	// absent has the nodes that Absent returns.
	absent map[string]bool

	// Interference has the pooled estimates of interference from all workers.
	Interference *interference.Pool

	// wall is the wall-clock time of the last call of Schedule, and nextStart the
	// next start time of a scheduled job.
	wall      time.Time
	nextStart time.Time

	// changed has the jobs with changes that are to be written before the ends of endMarks may
	// be acknowledged, and laterChanged those that changed while they are being written, with
	// their laterMarks. Ends would not be acknowledged while changes come faster than they can
	// be written, if all had to be written.
	changed, laterChanged map[string]*jobInfo
	endMarks, laterMarks  map[string]endMark

	fair       fairOrder
	preemption preemption
	work       workDone

	quarantines []Quarantine
	stalls      []Stall
	losses      []Loss
	moves       []Move
	unstored    []UnstoredCheckpoint
	// slow has the speeds of the workers, or is nil if they are not used.
	slow *slowWorkers
	// racks decides which tasks wait for the rack of their data, or is nil if none does.
	racks *dataRacks
	// unawaited has the nodes whose first reports are no longer awaited.
	unawaited []string
}

// endMark is the number of the last end of an incarnation that has been processed.
type endMark struct {
	incarnation gate.Incarnation
	number      int64
}

// New returns the fleet for a term. Terms count from 1.
func New(term int64) *Fleet {
	return &Fleet{
		Out:      map[string]bool{},
		RowBytes: DefaultRowBytes,
		term:     term,
		jobs:     map[string]*jobInfo{},
		over: overJobs{
			states: map[string]job.State{},
			ending: map[string]*jobInfo{},
		},
		workers:    map[string]*workerInfo{},
		rejected:   rejectedSizes{},
		orders:     map[string]*Orders{},
		unreported: map[string]time.Duration{},
		idle:       map[string]time.Duration{},
		absent:     map[string]bool{},

		changed:      map[string]*jobInfo{},
		laterChanged: map[string]*jobInfo{},
		endMarks:     map[string]endMark{},
		laterMarks:   map[string]endMark{},

		colocation: colocationState{destinations: map[job.TaskID]destination{}},

		fair: fairOrder{shares: backlog.NewShares()},
		work: newWorkDone(),

		Interference: interference.NewPool(),
	}
}

// AwaitReports adds nodes that may run tasks of the previous leader and whose
// reports Schedule waits for. It is called when this process becomes the leader and
// knows the nodes. Until then, Schedule starts no task of a loaded job. Nodes that were
// absent under the previous leader are not awaited, and those in leaseEnds until then at
// most: it has the time at which leases have ended there, if the previous leader knew it.
func (f *Fleet) AwaitReports(now time.Duration, nodes []string, absent map[string]bool, leaseEnds map[string]time.Duration) {
	for _, n := range nodes {
		deadline := now + MaxLeaseTime
		if end, ok := leaseEnds[n]; ok {
			deadline = min(deadline, end)
		}

		switch w := f.workers[n]; {
		case w != nil && w.connected:
		case absent[n]:
			f.markAbsent(n)
		case deadline <= now:
			f.idle[n] = now + MaxLeaseTime
		default:
			f.unreported[n] = deadline
		}
	}

	f.nodesKnown = true
}

// MissingReports returns the number of nodes that still have to report.
func (f *Fleet) MissingReports() int { return len(f.unreported) }

// awaitsReports reports whether tasks of the previous leader may run on nodes that
// have not reported.
func (f *Fleet) awaitsReports(now time.Duration) bool {
	f.stopAwaiting(now, f.unreported)
	f.stopAwaiting(now, f.idle)

	return !f.nodesKnown || len(f.unreported) > 0
}

// stopAwaiting marks the nodes as absent whose time has come.
func (f *Fleet) stopAwaiting(now time.Duration, deadlines map[string]time.Duration) {
	var passed []string

	for n, deadline := range deadlines {
		if now >= deadline {
			passed = append(passed, n)
		}
	}

	slices.Sort(passed)

	for _, n := range passed {
		f.markAbsent(n)
		delete(deadlines, n)
	}

	f.unawaited = append(f.unawaited, passed...)
}

// Schedule places the tasks that may start and returns the orders that arose since
// the last call, by node. The wall-clock time wall is used only for jobs that
// start at set times.
func (f *Fleet) Schedule(now time.Duration, wall time.Time) map[string]*Orders {
	f.wall, f.nextStart = wall, time.Time{}
	f.expireRuns(now)
	f.judgeProbes(now)
	f.judgeSpeeds(now)
	f.startRackPass()

	blocked := f.awaitsReports(now)
	f.sortOpen(now)
	clear(f.rejected)
	f.checkReservations(now)
	f.updateColocation(now, blocked)

	if f.Colocation && !blocked {
		// Before other tasks take the room that runs at a low pace need.
		f.movePaced(now)
	}

	for _, j := range f.open {
		if j.loaded && blocked {
			continue
		}

		f.placeJob(now, j)
	}

	f.moveRuns(now)
	f.moveFromSlow(now)
	f.storeCheckpoints(now)

	orders := f.orders
	f.orders = map[string]*Orders{}

	return orders
}

// sortOpen drops the jobs that are over and sorts the others by priority, then as Order says, by
// default by deadline. Jobs that are too late come last within their priority: before those that can
// still be finished in time, they would make all of them late when there are too many.
func (f *Fleet) sortOpen(now time.Duration) {
	f.open = slices.DeleteFunc(f.open, func(j *jobInfo) bool { return j.state.Final() && j.active == 0 })
	f.settleOver()

	if f.Order == backlog.Fair {
		f.sortFairly(now)

		return
	}

	for _, j := range f.open {
		j.lateness = 0
		if j.tooLate(now) {
			j.lateness = 1
		}
	}

	slices.SortStableFunc(f.open, func(a, b *jobInfo) int {
		return cmp.Or(cmp.Compare(a.record.Priority, b.record.Priority), cmp.Compare(a.lateness, b.lateness), cmp.Compare(a.deadline, b.deadline))
	})
}

func (f *Fleet) ordersFor(w *workerInfo) *Orders {
	o := f.orders[w.node]
	if o == nil || o.Incarnation != w.incarnation {
		o = &Orders{Incarnation: w.incarnation}
		f.orders[w.node] = o
	}

	return o
}

// NextWake returns the time at which Schedule has to run next if no event comes
// before, or 0 if there is none.
func (f *Fleet) NextWake(now time.Duration) time.Duration {
	var next time.Duration

	earlier := func(t time.Duration) {
		if t > now && (next == 0 || t < next) {
			next = t
		}
	}

	for _, deadline := range f.unreported {
		earlier(deadline)
	}

	earlier(f.rackWake())
	earlier(f.nextCheckpointPass())

	if !f.nextStart.IsZero() {
		earlier(now + f.nextStart.Sub(f.wall))
	}

	earlier(f.ahead.plan.NextExpiry())

	for _, w := range f.sortedWorkers {
		if !w.connected && len(w.runs) > 0 {
			earlier(w.lastContact + MaxLeaseTime)
		}

		for _, t := range w.nextHealthChange() {
			earlier(t)
		}

		earlier(w.refusals.until)
	}

	for _, d := range f.colocation.destinations {
		earlier(d.until)
	}

	for _, t := range f.nextRoomChange(now) {
		earlier(t)
	}

	for _, j := range f.open {
		for _, t := range j.retryTimes {
			earlier(t)
		}
	}

	return next
}
