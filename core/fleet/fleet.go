// Package fleet decides what runs where. It holds the jobs of the store and the
// workers of the deployment in tables; events change them, and Schedule runs
// over them and returns the orders that follow. It does no I/O and has no
// clock: times are readings of one local clock, passed in.
//
// # Usage
//
//	f := fleet.New(term)
//	f.Load(now, records, progress)        // once, on taking office
//	f.Report(now, node, report)           // with each word from a worker
//	for node, o := range f.Schedule(now) { … }
//	batch := f.Changes(limit)             // to be made durable
//	f.Committed(batch)
//
// An end counts only once it is durable: until then the worker lists it again.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"trefoildeck/core/config"
	"trefoildeck/core/gate"
	"trefoildeck/core/interference"
	"trefoildeck/core/job"
)

const (
	// MaxLeaseTime is the time after the last word to a worker when its leases have
	// surely run out: the longest extension, 2% of clock drift, and the way.
	MaxLeaseTime = gate.MaxLeaseExtension + gate.MaxLeaseExtension/gate.ClockDriftDivisor + 300*time.Millisecond
	// attemptsPerTerm keeps the attempts of one leader above those of the last
	// one, whose starts are not all known.
	attemptsPerTerm = 1000
)

// Orders are what a worker is to do.
type Orders struct {
	Incarnation gate.Incarnation
	Starts      []gate.StartOrder
	// Placements says of each start what its place was chosen by.
	Placements []Placement
	Stops      []Stop
	Adopted    []gate.StartOrder
}

// Placement is what a worker was chosen by.
type Placement struct {
	// FreeMilliCores is the processor time that was left there, in thousandths of a core.
	FreeMilliCores int64
	// ReadingAge is the age of the oldest latency of the tasks that serve there.
	ReadingAge time.Duration
}

// Stop ends an attempt.
type Stop struct {
	Task    job.TaskID
	Attempt int
}

// Fleet is the state of one deployment under one leader. It is not safe for
// concurrent use.
type Fleet struct {
	// Configuration is the newest one.
	Configuration *config.Configuration
	// Out has the data centres where nothing may start.
	Out map[string]bool

	term    int64
	jobs    map[string]*jobRow
	open    []*jobRow
	workers map[string]*workerRow
	// ranks has the workers in the order of their names.
	ranks  []*workerRow
	full   full
	orders map[string]*Orders
	// missing has the nodes that have not reported in this term. What the last
	// leader started there is unknown until they do, or until settled.
	missing map[string]bool
	settled time.Duration

	// Interference is what all workers learnt together.
	Interference *interference.Pool

	// wall is the time of day of the last Schedule, and nextStart the next time
	// of a job with times.
	wall      time.Time
	nextStart time.Time

	changed map[string]*jobRow
	noted   map[string]recorded
	rests   []Quarantine
	stalls  []Stall
}

// recorded is up to which end of an incarnation a worker may forget.
type recorded struct {
	incarnation gate.Incarnation
	number      int64
}

// New returns the fleet of a term, which counts from 1.
func New(term int64) *Fleet {
	return &Fleet{
		Out:     map[string]bool{},
		term:    term,
		jobs:    map[string]*jobRow{},
		workers: map[string]*workerRow{},
		full:    full{},
		orders:  map[string]*Orders{},
		missing: map[string]bool{},
		changed: map[string]*jobRow{},
		noted:   map[string]recorded{},

		Interference: interference.NewPool(),
	}
}

// AwaitReports names the nodes that may run what the last leader started, at the time
// of taking office.
func (f *Fleet) AwaitReports(now time.Duration, nodes []string) {
	for _, n := range nodes {
		if w := f.workers[n]; w == nil || !w.connected {
			f.missing[n] = true
		}
	}

	f.settled = now + MaxLeaseTime
}

// MissingReports returns the nodes whose report is still awaited.
func (f *Fleet) MissingReports() int { return len(f.missing) }

// uncertain reports whether tasks may run where nobody reported from.
func (f *Fleet) uncertain(now time.Duration) bool {
	if len(f.missing) > 0 && now >= f.settled {
		clear(f.missing)
	}

	return len(f.missing) > 0
}

// Schedule places what may start, and returns all orders since the last call.
// Only jobs with times look at wall, the time of day.
func (f *Fleet) Schedule(now time.Duration, wall time.Time) map[string]*Orders {
	f.wall, f.nextStart = wall, time.Time{}
	f.expire(now)

	blocked := f.uncertain(now)
	f.sortOpen()
	clear(f.full)

	for _, j := range f.open {
		if j.loaded && blocked {
			continue
		}

		f.placeJob(now, j)
	}

	f.move(now)

	orders := f.orders
	f.orders = map[string]*Orders{}

	return orders
}

// sortOpen drops what is over and sorts by priority, then by the time left.
func (f *Fleet) sortOpen() {
	f.open = slices.DeleteFunc(f.open, func(j *jobRow) bool { return j.state.Final() && j.active == 0 })

	slices.SortStableFunc(f.open, func(a, b *jobRow) int {
		return cmp.Or(cmp.Compare(a.record.Priority, b.record.Priority), cmp.Compare(a.due, b.due))
	})
}

func (f *Fleet) ordersFor(w *workerRow) *Orders {
	o := f.orders[w.node]
	if o == nil || o.Incarnation != w.incarnation {
		o = &Orders{Incarnation: w.incarnation}
		f.orders[w.node] = o
	}

	return o
}

// NextWake is when Schedule has something to do by itself, or 0.
func (f *Fleet) NextWake(now time.Duration) time.Duration {
	var next time.Duration

	earlier := func(t time.Duration) {
		if t > now && (next == 0 || t < next) {
			next = t
		}
	}

	if len(f.missing) > 0 {
		earlier(f.settled)
	}

	if !f.nextStart.IsZero() {
		earlier(now + f.nextStart.Sub(f.wall))
	}

	for _, w := range f.ranks {
		if !w.connected && len(w.runs) > 0 {
			earlier(w.heard + MaxLeaseTime)
		}

		earlier(w.restUntil)
	}

	for _, j := range f.open {
		for _, t := range j.retries {
			earlier(t)
		}
	}

	return next
}
