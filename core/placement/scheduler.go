// Package placement is the scheduler of the program trefoildeck: it decides where
// the tasks of declared jobs (package resource) run, when they are throttled,
// evicted and resumed, and which of these decisions are recorded in the table.
// Package fleet is that of the program trefoildeck-node. This package does no I/O,
// starts no goroutine and reads no clock.
//
// Safety does not depend on this package's view being up to date: each decision
// is a Batch of rows, and the table commits it only if every row still has the
// version that was read and the shard's epoch is unchanged.
//
// # Usage
//
//	s := placement.New(options)
//	s.SetJob(spec, segments) // all declared jobs, before TakeShard
//	s.TakeShard(now, "dc1", epoch, pages)
//	s.Heartbeat(now, report)
//	commands := s.Tick(now)
//	// commit commands.Batches, send commands.Starts and commands.Stops, then
//	s.ApplyResult(batch, placement.ResultWritten)
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

// Options configure a Scheduler for its lifetime.
type Options struct {
	// TaskLease is how long a worker's runtime keeps its attempts running after
	// a lease renewal.
	TaskLease time.Duration
	// CommitInterval is the minimum time between two batches of a shard.
	CommitInterval time.Duration
	// Seed seeds the random numbers that vary the order of candidate workers.
	Seed uint64
}

// leaseMargin is added to a lease to allow for clock drift between machines.
const leaseMargin = 3 * time.Second

// Scheduler keeps workers, jobs and teams in memory and decides placement for
// the shards that it holds.
type Scheduler struct {
	options Options
	random  *rand.Rand

	shards      map[string]*shard
	dataCentres map[string]bool
	out         map[string]bool
	workers     map[string]*workerInfo
	jobs        map[string]*jobInfo
	teams       map[string]*team
	services    map[string]time.Duration
	estimates   map[interferenceKey]*interferenceEstimate
	evicting    map[AttemptID]*eviction
	// cancelled holds the deleted jobs that still have rows in the table.
	cancelled map[string]*jobInfo
	// token is the token of the last heartbeat reply.
	token uint64
	// remote holds the summaries of shards that other entries hold, by data
	// centre.
	remote map[string]Summary
	stats  Stats
}

// Stats are totals since the scheduler was created. Lost counts workers, Conflicts
// batches that were rejected or are in doubt, Throttled throttling steps,
// Quarantined quarantines of workers, and the others count attempts.
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
		options:     o,
		random:      rand.New(rand.NewPCG(o.Seed, o.Seed)),
		shards:      map[string]*shard{},
		dataCentres: map[string]bool{},
		out:         map[string]bool{},
		workers:     map[string]*workerInfo{},
		jobs:        map[string]*jobInfo{},
		teams:       map[string]*team{},
		services:    map[string]time.Duration{},
		estimates:   map[interferenceKey]*interferenceEstimate{},
		evicting:    map[AttemptID]*eviction{},
		cancelled:   map[string]*jobInfo{},
		remote:      map[string]Summary{},
	}
}

// Stats returns the counts so far.
func (s *Scheduler) Stats() Stats {
	return s.stats
}

// Start is a command to an agent to start an attempt. An empty Checkpoint starts
// the task from the beginning.
type Start struct {
	Worker     string
	ID         AttemptID
	BootID     string
	Command    string
	Size       Size
	RunTime    time.Duration
	Checkpoint string
}

// Stop is a command to an agent to stop an attempt, after writing a checkpoint
// if Checkpoint is set. Reason is for the log.
type Stop struct {
	Worker     string
	ID         AttemptID
	Checkpoint bool
	Reason     string
}

// Throttle is a command to an agent to limit an attempt to Percent of the
// processor time committed to it.
type Throttle struct {
	Worker  string
	ID      AttemptID
	Percent int
}

// EndAck tells an agent that the end of an attempt is recorded, so that the agent
// stops reporting it.
type EndAck struct {
	Worker string
	ID     AttemptID
}

// Commands are the output of a tick: batches to commit and messages to agents.
type Commands struct {
	Batches   []*Batch
	Starts    []Start
	Stops     []Stop
	Throttles []Throttle
	EndAcks   []EndAck
}

// SetDataCentre declares a data centre and whether it is out of service. When it
// comes back, its starts are ramped up.
func (s *Scheduler) SetDataCentre(now time.Time, name string, out bool) {
	s.dataCentres[name] = true

	if s.out[name] && !out {
		if h, ok := s.shards[name]; ok {
			h.rampFrom = now
		}
	}

	s.out[name] = out
}

// SetTeam sets a team's quota. A resource whose quota is zero is not limited.
func (s *Scheduler) SetTeam(name string, quota Size) {
	s.team(name).quota = quota
}

// SetService sets the latency target of a service.
func (s *Scheduler) SetService(name string, target time.Duration) {
	s.services[name] = target
}

// SetRemoteSummary records the summary that the holder of another shard published.
func (s *Scheduler) SetRemoteSummary(dataCentre string, m Summary) {
	s.remote[dataCentre] = m
}

// Tick makes the decisions that are due at now. At most one batch of a shard is
// in flight; its result must be passed to ApplyResult before the shard's next
// batch.
func (s *Scheduler) Tick(now time.Time) Commands {
	var c Commands

	for _, name := range sortedKeys(s.shards) {
		h := s.shards[name]
		s.evictFromOutage(h)
		h.flush(&c)
	}

	for _, h := range s.dueShards(now) {
		s.buildBatch(now, h, &c)
	}

	s.sendEvictions(now, &c)

	return c
}

// sortedKeys returns the keys of a map in order, which makes decisions
// deterministic for the same inputs.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// maxShardsPerTick limits the shards scheduled in one tick; the rest follow in the
// next ticks.
const maxShardsPerTick = 4

// dueShards returns the shards that may have a new batch, least recently scheduled
// first, up to maxShardsPerTick.
func (s *Scheduler) dueShards(now time.Time) []*shard {
	var list []*shard

	for _, name := range sortedKeys(s.shards) {
		h := s.shards[name]
		if !h.inFlight && now.Sub(h.lastBatch) >= s.options.CommitInterval {
			list = append(list, h)
		}
	}

	slices.SortStableFunc(list, func(a, b *shard) int { return a.scheduledAt.Compare(b.scheduledAt) })

	return list[:min(maxShardsPerTick, len(list))]
}

// flush moves the messages queued since the last tick to c.
func (h *shard) flush(c *Commands) {
	c.EndAcks = append(c.EndAcks, h.endAcks...)
	h.endAcks = nil
	c.Throttles = append(c.Throttles, h.throttles...)
	h.throttles = nil
	c.Starts = append(c.Starts, h.starts...)
	h.starts = nil
}

// buildBatch makes the decisions for a shard and adds the batch that records them
// to c, unless it is empty.
func (s *Scheduler) buildBatch(now time.Time, h *shard, c *Commands) {
	h.scheduledAt = now
	b := newBatch(s, h)
	s.expireWorkers(now, h)
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
