// Package placement decides where batch tasks run, when they are throttled,
// evicted and resumed, and what of it is recorded. It does no I/O, starts no
// goroutine and reads no clock.
//
// What must never go wrong does not depend on this package being right about
// the present: each decision is a Batch of row versions that the table commits
// only if every row is still as it was read.
//
// # Usage
//
//	s := placement.New(options)
//	s.TakeShard(now, "lannion", epoch, pages)
//	s.SetJob(now, spec, segments)
//	s.Heartbeat(now, report)
//	commands := s.Tick(now)
//	// commit commands.Batches, send commands.Starts and commands.Stops, then
//	s.Committed(now, batch, placement.ResultWritten)
//
// A Scheduler is not safe for concurrent use.
package placement

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Options are what the scheduler is told once.
type Options struct {
	// TaskLease is how long a worker's runtime goes on without an answer.
	TaskLease time.Duration
	// CommitInterval is the least time between two batches of a shard.
	CommitInterval time.Duration
	// Seed starts the random numbers that sample candidates.
	Seed uint64
}

// leaseMargin is added to a lease for clocks that run at other rates.
const leaseMargin = 3 * time.Second

// Scheduler holds the tables and runs the systems.
type Scheduler struct {
	options Options
	random  *rand.Rand

	shards   map[string]*shard
	known    map[string]bool
	out      map[string]bool
	workers  map[string]*workerRow
	jobs     map[string]*jobRow
	teams    map[string]*team
	services map[string]time.Duration
	pairs    map[pairKey]*pair
	evicting map[AttemptID]*eviction
	// cancelled has the jobs whose rows are still to be removed.
	cancelled map[string]*jobRow
	// token numbers the answers to heartbeats.
	token uint64
	// remote has what the holders of other shards say of their workers.
	remote map[string]Summary
	stats  Stats
}

// Stats counts what the scheduler did.
type Stats struct {
	Placed      int64
	Finished    int64
	Evicted     int64
	Resumed     int64
	Lost        int64
	Conflicts   int64
	Throttled   int64
	Quarantined int64
}

// New returns a scheduler that holds no shard.
func New(o Options) *Scheduler {
	return &Scheduler{
		options:   o,
		random:    rand.New(rand.NewPCG(o.Seed, o.Seed)),
		shards:    map[string]*shard{},
		known:     map[string]bool{},
		out:       map[string]bool{},
		workers:   map[string]*workerRow{},
		jobs:      map[string]*jobRow{},
		teams:     map[string]*team{},
		services:  map[string]time.Duration{},
		pairs:     map[pairKey]*pair{},
		evicting:  map[AttemptID]*eviction{},
		cancelled: map[string]*jobRow{},
		remote:    map[string]Summary{},
	}
}

// Stats returns the counts so far.
func (s *Scheduler) Stats() Stats {
	return s.stats
}

// Start tells an agent to start an attempt.
type Start struct {
	Worker     string
	ID         AttemptID
	BootID     string
	Command    string
	Size       Size
	RunTime    time.Duration
	Checkpoint string
}

// Stop tells an agent to stop an attempt, after a checkpoint where asked.
type Stop struct {
	Worker     string
	ID         AttemptID
	Checkpoint bool
}

// Throttle tells an agent to limit an attempt to a share of its processors.
type Throttle struct {
	Worker  string
	ID      AttemptID
	Percent int
}

// EndAck tells an agent that the end of an attempt is recorded.
type EndAck struct {
	Worker string
	ID     AttemptID
}

// Commands are what the scheduler wants done.
type Commands struct {
	Batches   []*Batch
	Starts    []Start
	Stops     []Stop
	Throttles []Throttle
	EndAcks   []EndAck
}

// SetDataCentre says that a data centre exists, and whether it is out.
func (s *Scheduler) SetDataCentre(now time.Time, name string, out bool) {
	s.known[name] = true

	if s.out[name] && !out {
		if h, ok := s.shards[name]; ok {
			h.rampFrom = now
		}
	}

	s.out[name] = out
}

// SetTeam sets a team's quota; a zero quota is no limit.
func (s *Scheduler) SetTeam(name string, quota Size) {
	s.team(name).quota = quota
}

// SetService sets the latency target of a service.
func (s *Scheduler) SetService(name string, target time.Duration) {
	s.services[name] = target
}

// SetRemoteSummary records what the holder of another shard says of its workers.
func (s *Scheduler) SetRemoteSummary(dataCentre string, m Summary) {
	s.remote[dataCentre] = m
}

// Tick runs every system once.
func (s *Scheduler) Tick(now time.Time) Commands {
	var c Commands

	for _, name := range sortedKeys(s.shards) {
		h := s.shards[name]
		s.drain(h)
		h.flush(&c)
	}

	for _, h := range s.due(now) {
		s.batch(now, h, &c)
	}

	s.sendEvictions(now, &c)

	return c
}

// sortedKeys lists the keys of a map in order, so that the same inputs always
// lead to the same decisions.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// maxBatches bounds the shards that are scheduled in one tick; the others have
// their turn in the next ones.
const maxBatches = 4

// due lists the shards that may have a batch, those that waited longest first.
func (s *Scheduler) due(now time.Time) []*shard {
	var list []*shard

	for _, name := range sortedKeys(s.shards) {
		h := s.shards[name]
		if !h.inFlight && now.Sub(h.lastBatch) >= s.options.CommitInterval {
			list = append(list, h)
		}
	}

	slices.SortStableFunc(list, func(a, b *shard) int { return a.lookedAt.Compare(b.lookedAt) })

	return list[:min(maxBatches, len(list))]
}

// flush hands out what was decided since the last tick.
func (h *shard) flush(c *Commands) {
	c.EndAcks = append(c.EndAcks, h.answers...)
	h.answers = nil
	c.Throttles = append(c.Throttles, h.throttles...)
	h.throttles = nil
	c.Starts = append(c.Starts, h.starts...)
	h.starts = nil
}

// batch collects what has to be recorded for a shard.
func (s *Scheduler) batch(now time.Time, h *shard, c *Commands) {
	h.lookedAt = now
	b := newBatch(s, h)
	s.expire(now, h)
	s.recordWorkers(now, h, b)
	s.recordEnds(now, h, b)
	s.place(now, h, b)
	s.cleanUp(b)

	if b.empty() {
		return
	}

	h.inFlight = true
	h.lastBatch = now
	c.Batches = append(c.Batches, b)
}
