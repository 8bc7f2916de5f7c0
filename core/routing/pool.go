package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"trefoildeck/core/quantile"
)

// Choice of an endpoint.
const (
	// sampleSize is the number of endpoints sampled in each data centre.
	sampleSize = 4
	// spillUtilization is the share of slots in use from which other data centres
	// are sampled too.
	spillUtilization = 0.75
	// stallTimeout is the time without any answer after which a full service is
	// taken for unreachable rather than overloaded.
	stallTimeout = 100 * time.Millisecond
	// remoteRoundTripFactor weighs the round trip in an endpoint's expected time: a
	// link to another data centre is costly, lossy and as variable as it is long.
	remoteRoundTripFactor = 2
	// maxRestingShare is the greatest share of endpoints that rest at a time.
	maxRestingShare = 0.5
)

// group holds the endpoints of one data centre. Its members are the indexes of
// those that take requests.
type group struct {
	dataCentre string
	roundTrip  time.Duration
	out        bool
	// wasInService means that endpoints of the data centre have taken requests
	// before.
	wasInService bool
	members      []int32
}

// withdrawnEndpoint holds the estimates of an endpoint that was withdrawn. They are
// kept for some time, because the endpoint may only have lost its connection.
type withdrawnEndpoint struct {
	slowStartFrom time.Time
	latency       quantile.Tracker
	rest          rest
	// ticks is the number of ticks since the endpoint was withdrawn.
	ticks int
}

// maxWithdrawnTicks is the number of ticks for which a withdrawnEndpoint is kept.
const maxWithdrawnTicks = 600

// expireWithdrawn drops the endpoints that were withdrawn long ago.
func (p *pool) expireWithdrawn() {
	for name, w := range p.withdrawn {
		w.ticks++
		p.withdrawn[name] = w

		if w.ticks > maxWithdrawnTicks {
			delete(p.withdrawn, name)
		}
	}
}

// pool holds the endpoints of one service.
type pool struct {
	mu     sync.Mutex
	random *rand.Rand
	// endpoints has one element for each endpoint; free has the indexes of the
	// unused elements.
	endpoints []endpoint
	free      []int32
	byName    map[string]int32
	// groups has the local data centre first.
	groups []group
	// resting and count are the numbers of resting and of all endpoints.
	resting int
	count   int
	// utilization is the load of the active endpoints, by their last reports, per
	// slot.
	utilization float64
	// lastAnswerAt is when an endpoint last answered or refused.
	lastAnswerAt time.Time
	// firstAnnouncedAt is when the first endpoint was announced.
	firstAnnouncedAt time.Time
	// baseline is the median latency of the active endpoints, zero until known.
	baseline time.Duration
	budget   budget
	// withdrawn has the endpoints that were withdrawn recently.
	withdrawn map[string]withdrawnEndpoint
	// latencies is a buffer that tick reuses.
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

	// Endpoints announced soon after the first one are new to this entry, but not
	// just started: they need no slow start.
	if p.firstAnnouncedAt.IsZero() {
		p.firstAnnouncedAt = now
	}

	if now.Sub(p.firstAnnouncedAt) < slowStartTime {
		e.slowStartFrom = time.Time{}
	}

	// An endpoint that reconnects keeps its latency estimate and its rest, and starts no
	// new slow start.
	if w, ok := p.withdrawn[a.Endpoint]; ok {
		e.slowStartFrom = w.slowStartFrom
		e.latency = w.latency
		e.rest = w.rest
		delete(p.withdrawn, a.Endpoint)
	}

	p.byName[a.Endpoint] = i
	p.count++

	if !p.groups[g].out {
		p.groups[g].wasInService = true
		p.readmit(now, i)
	}
}

// groupOf returns the index of a data centre's group and sets whether the data
// centre is out. It adds the group if it is missing.
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

// allocate returns the index of an unused element of endpoints.
func (p *pool) allocate() int32 {
	if n := len(p.free); n > 0 {
		i := p.free[n-1]
		p.free = p.free[:n-1]

		return i
	}

	p.endpoints = append(p.endpoints, endpoint{})

	return int32(len(p.endpoints) - 1)
}

// enable makes an endpoint a member of its group, so that it takes requests.
func (p *pool) enable(i int32, s state) {
	e := &p.endpoints[i]
	g := &p.groups[e.group]
	e.state = s
	e.position = int32(len(g.members))
	g.members = append(g.members, i)
}

// disable removes an endpoint from the members of its group.
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
		slowStartFrom: e.slowStartFrom,
		latency:       e.latency,
		rest:          e.rest,
		ticks:         0,
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

// roundTripWeight is the weight of a new measurement in the moving average of a
// data centre's round-trip time.
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
		// A silence ends no rest, since a resting endpoint doesn't count as silent.
		p.readmit(e.restUntil, i)
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
			// Slow start keeps a returning data centre from a surge of requests.
			if p.groups[g].wasInService {
				e.slowStartFrom = now
			}

			p.readmit(now, int32(i))
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
