package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"trefoildeck/core/quantile"
)

// How an endpoint is chosen.
const (
	// sampleSize is the number of endpoints looked at in each step.
	sampleSize = 4
	// spillUtilization is the share of used slots above which other data centres
	// are looked at too.
	spillUtilization = 0.75
	// stallTimeout is how long a full service may go without any answer before it
	// is taken for cut off.
	stallTimeout = 100 * time.Millisecond
	// remoteRoundTripFactor weighs the way to another data centre: it is costly, lossy and
	// as variable as it is long.
	remoteRoundTripFactor = 2
	// maxRestingShare is the share of endpoints that may rest at once.
	maxRestingShare = 0.5
)

// group holds the endpoints of one data centre that take requests.
type group struct {
	dataCentre string
	roundTrip  time.Duration
	out        bool
	// wasInService says that the data centre was in before.
	wasInService bool
	members      []int32
}

// withdrawnEndpoint is what was known of an endpoint when it was withdrawn.
type withdrawnEndpoint struct {
	since   time.Time
	latency quantile.Tracker
	// ticks counts the ticks since.
	ticks int
}

// maxWithdrawnTicks is the number of ticks after which the past is forgotten.
const maxWithdrawnTicks = 600

// expireWithdrawn drops what was known of endpoints that have long been gone.
func (p *pool) expireWithdrawn() {
	for name, known := range p.withdrawn {
		known.ticks++
		p.withdrawn[name] = known

		if known.ticks > maxWithdrawnTicks {
			delete(p.withdrawn, name)
		}
	}
}

// pool is the table of one service's endpoints.
type pool struct {
	mu        sync.Mutex
	random    *rand.Rand
	endpoints []endpoint
	free      []int32
	byName    map[string]int32
	groups    []group
	resting   int
	count     int
	// utilization is the share of all slots in use.
	utilization float64
	// lastAnswerAt is when an endpoint last answered or refused.
	lastAnswerAt time.Time
	// firstAnnouncedAt is when the first endpoint was announced.
	firstAnnouncedAt time.Time
	// baseline is the median latency of the endpoints.
	baseline time.Duration
	budget   budget
	// withdrawn has what was known of endpoints that were withdrawn of late.
	withdrawn map[string]withdrawnEndpoint
	latencies []time.Duration
}

func newPool(local string, random *rand.Rand) *pool {
	return &pool{
		random:    random,
		byName:    map[string]int32{},
		groups:    []group{{dataCentre: local}},
		budget:    newBudget(),
		withdrawn: map[string]withdrawnEndpoint{},
	}
}

func (p *pool) announce(now time.Time, a Announcement, out bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	g := p.groupOf(a.DataCentre, out)

	if a.RoundTrip > 0 {
		p.groups[g].roundTrip = a.RoundTrip
	}

	if i, ok := p.byName[a.Endpoint]; ok {
		p.endpoints[i].slots = int32(a.Slots)

		return
	}

	i := p.allocate()
	e := &p.endpoints[i]
	*e = endpoint{
		name:          a.Endpoint,
		group:         g,
		generation:    e.generation + 1,
		slots:         int32(a.Slots),
		slowStartFrom: now,
		latency:       newMedian(max(p.baseline, time.Millisecond)),
		state:         stateOut,
	}

	if p.baseline == 0 {
		e.latency = newMedian(initialLatency)
	}

	// The first ones are new to this entry only.
	if p.firstAnnouncedAt.IsZero() {
		p.firstAnnouncedAt = now
	}

	if now.Sub(p.firstAnnouncedAt) < slowStartTime {
		e.slowStartFrom = time.Time{}
	}

	// One that comes back after its connection was lost need not start slowly.
	if known, ok := p.withdrawn[a.Endpoint]; ok {
		e.slowStartFrom = known.since
		e.latency = known.latency
		delete(p.withdrawn, a.Endpoint)
	}

	p.byName[a.Endpoint] = i
	p.count++

	if !p.groups[g].out {
		p.groups[g].wasInService = true
		p.enable(i, stateActive)
	}
}

func (p *pool) groupOf(dataCentre string, out bool) int32 {
	for i := range p.groups {
		if p.groups[i].dataCentre == dataCentre {
			p.groups[i].out = out

			return int32(i)
		}
	}

	p.groups = append(p.groups, group{
		dataCentre: dataCentre,
		out:        out,
	})

	return int32(len(p.groups) - 1)
}

func (p *pool) allocate() int32 {
	if n := len(p.free); n > 0 {
		i := p.free[n-1]
		p.free = p.free[:n-1]

		return i
	}

	p.endpoints = append(p.endpoints, endpoint{})

	return int32(len(p.endpoints) - 1)
}

// enable lets an endpoint take requests.
func (p *pool) enable(i int32, s state) {
	e := &p.endpoints[i]
	g := &p.groups[e.group]
	e.state = s
	e.position = int32(len(g.members))
	g.members = append(g.members, i)
}

// disable takes an endpoint out of those that take requests.
func (p *pool) disable(i int32, s state) {
	e := &p.endpoints[i]
	if e.state == stateResting {
		p.resting--
	}

	if e.state == stateActive || e.state == stateProbation {
		g := &p.groups[e.group]
		last := g.members[len(g.members)-1]
		g.members[e.position] = last
		p.endpoints[last].position = e.position
		g.members = g.members[:len(g.members)-1]
	}

	e.state = s
	if s == stateResting {
		p.resting++
	}
}

func (p *pool) withdraw(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	i, ok := p.byName[name]
	if !ok {
		return
	}

	p.disable(i, stateGone)
	e := &p.endpoints[i]
	e.generation++
	p.withdrawn[name] = withdrawnEndpoint{
		since:   e.slowStartFrom,
		latency: e.latency,
		ticks:   0,
	}
	p.free = append(p.free, i)
	p.count--
	delete(p.byName, name)
}

func (p *pool) report(name string, l Load) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if i, ok := p.byName[name]; ok {
		e := &p.endpoints[i]
		e.reportedLoad = int32(l.InUse + l.Queued)
		e.otherLoad = max(0, int32(l.InUse+l.Queued)-e.inFlight)
	}
}

// roundTripWeight smooths the distance to a data centre.
const roundTripWeight = 0.2

func (p *pool) setRoundTrip(name string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()

	i, ok := p.byName[name]
	if !ok {
		return
	}

	g := &p.groups[p.endpoints[i].group]
	if g.roundTrip == 0 {
		g.roundTrip = d
	}

	g.roundTrip += time.Duration(roundTripWeight * float64(d-g.roundTrip))
}

func (p *pool) setSilent(name string, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	i, ok := p.byName[name]
	if !ok {
		return
	}

	e := &p.endpoints[i]

	switch {
	case silent && (e.state == stateActive || e.state == stateProbation):
		p.disable(i, stateSilent)
	case !silent && e.state == stateSilent:
		p.enable(i, stateActive)
	}
}

func (p *pool) available() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return slices.ContainsFunc(p.groups, func(g group) bool { return len(g.members) > 0 })
}

func (p *pool) setOut(now time.Time, dataCentre string, out bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	g := p.groupOf(dataCentre, out)
	defer func() { p.groups[g].wasInService = p.groups[g].wasInService || !out }()

	for i := range p.endpoints {
		e := &p.endpoints[i]
		if e.group != g || e.state == stateGone {
			continue
		}

		if out {
			p.disable(int32(i), stateOut)
		} else if e.state == stateOut {
			// Slow start keeps what returns from taking a wave.
			if p.groups[g].wasInService {
				e.slowStartFrom = now
			}

			p.enable(int32(i), stateActive)
		}
	}
}

func (p *pool) status(service string) []Status {
	p.mu.Lock()
	defer p.mu.Unlock()

	var list []Status

	for _, i := range p.byName {
		e := &p.endpoints[i]
		list = append(list, Status{
			Service:    service,
			Endpoint:   e.name,
			DataCentre: p.groups[e.group].dataCentre,
			Slots:      int(e.slots),
			Load:       int(e.load()),
			Latency:    e.latency.Value(),
			State:      e.state.String(),
		})
	}

	return list
}
