package routing_test

import (
	"container/heap"
	"errors"
	"math/rand/v2"
	"time"

	"trefoildeck/core/admission"
	"trefoildeck/core/routing"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// model is a service in virtual time: callers, entries, links and endpoints.
// The same seed gives the same arrivals and service times to each policy.
type model struct {
	now      time.Time
	events   eventQueue
	order    int
	arrivals *rand.Rand
	noise    *rand.Rand
	entries  []*entry
	hosts    []*host
	scenario scenario
	naive    bool
	end      time.Time

	latency  *hdrhistogram.Histogram
	requests int
	answered int
	failed   int
	// shed counts requests that were refused at once, before any copy was sent.
	shed   int
	copies int
}

// scenario is what happens to the service.
type scenario struct {
	// load is the arrival rate as a share of what all endpoints can do.
	load float64
	// slow and blackHole name one endpoint each, none below zero.
	slow      int
	blackHole int
	// out takes a data centre out for a while.
	out bool
	// silent lets the connections of one entry fall silent.
	silent bool
	// spikes is the share of messages that a loss delays.
	spikes float64
}

const (
	dataCentres  = 3
	endpoints    = 10
	slots        = 8
	serviceTime  = 10 * time.Millisecond
	localTrip    = 300 * time.Microsecond
	remoteTrip   = 10 * time.Millisecond
	spikeDelay   = 200 * time.Millisecond
	deadline     = 2 * time.Second
	modelTime    = 12 * time.Second
	warmTime     = 2 * time.Second
	naiveTimeout = time.Second
	// maxTries bounds the wait for an endpoint, a try every 20 ms.
	maxTries = 100
	// Failure is found as package entry finds it.
	suspectAfter = 750 * time.Millisecond
	lostAfter    = 1500 * time.Millisecond
)

// host is an endpoint with its agent's gate.
type host struct {
	index      int
	name       string
	dataCentre int
	gate       *admission.Limiter
	// queue holds what waits at a naive endpoint.
	queue   []func()
	running int
	waiting []waiter
	slow    float64
	hole    bool
	out     bool
}

type waiter struct {
	ticket *admission.Ticket
	run    func()
}

// entry routes on its own, without news of the other.
type entry struct {
	dataCentre  int
	table       *routing.Table
	next        int
	silentFrom  time.Time
	silentUntil time.Time
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]

	return e
}

func newModel(seed uint64, s scenario, naive bool) *model {
	m := &model{
		now:      time.Unix(1_000_000, 0),
		arrivals: rand.New(rand.NewPCG(seed, 1)),
		noise:    rand.New(rand.NewPCG(seed, 2)),
		scenario: s,
		naive:    naive,
		latency:  hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3),
	}
	m.end = m.now.Add(modelTime)

	for n := range endpoints {
		h := &host{
			index:      n,
			name:       string(rune('a' + n)),
			dataCentre: n % dataCentres,
			gate:       admission.New(slots),
			slow:       1,
			hole:       n == s.blackHole,
		}
		if n == s.slow {
			h.slow = 10
		}

		m.hosts = append(m.hosts, h)
	}

	for n := range 2 {
		m.entries = append(m.entries, m.newEntry(n, seed))
	}

	return m
}

func (m *model) newEntry(n int, seed uint64) *entry {
	e := &entry{
		dataCentre: n,
		table:      routing.New(place(n), seed+uint64(n)),
	}

	for _, h := range m.hosts {
		e.table.Announce(m.now.Add(-time.Hour), routing.Announcement{
			Service:    "booking",
			Endpoint:   h.name,
			DataCentre: place(h.dataCentre),
			Slots:      slots,
			RoundTrip:  trip(n, h.dataCentre),
		})
	}

	return e
}

func place(n int) string { return string(rune('A' + n)) }

func trip(a, b int) time.Duration {
	if a == b {
		return localTrip
	}

	return remoteTrip
}

func (m *model) at(d time.Duration, run func()) {
	m.order++
	heap.Push(&m.events, event{
		at:    m.now.Add(d),
		order: m.order,
		run:   run,
	})
}

// run runs the model to its end.
func (m *model) run() *model {
	m.arrive()
	m.tick()
	m.plan()

	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}

	return m
}

func (m *model) arrive() {
	rate := m.scenario.load * endpoints * slots / serviceTime.Seconds()
	gap := time.Duration(m.arrivals.ExpFloat64() / rate * float64(time.Second))
	e := m.entries[m.arrivals.IntN(len(m.entries))]
	work := time.Duration((0.5 + 0.5*m.arrivals.ExpFloat64()) * float64(serviceTime))

	m.at(gap, func() {
		if m.now.After(m.end) {
			return
		}

		m.start(e, work)
		m.arrive()
	})
}

func (m *model) tick() {
	for _, e := range m.entries {
		e.table.Tick(m.now)

		for _, h := range m.hosts {
			load := h.gate.Load()
			e.table.Report("booking", h.name, routing.Load{
				InUse:  load.InUse,
				Queued: load.Queued,
			})

			silent := !e.silentFrom.IsZero() && m.now.Sub(e.silentFrom) > suspectAfter && m.now.Before(e.silentUntil)
			e.table.SetSilent("booking", h.name, silent)
		}
	}

	if m.now.Before(m.end.Add(2 * deadline)) {
		m.at(100*time.Millisecond, m.tick)
	}
}

func (m *model) plan() {
	if m.scenario.out {
		m.at(4*time.Second, func() { m.setOut(true) })
		m.at(8*time.Second, func() { m.setOut(false) })
	}

	if m.scenario.silent {
		m.at(5*time.Second, func() {
			m.entries[0].silentFrom = m.now
			m.entries[0].silentUntil = m.now.Add(lostAfter)
		})
	}
}

func (m *model) setOut(out bool) {
	for _, e := range m.entries {
		e.table.SetOut(m.now, place(1), out)
	}

	change := func() {
		for _, h := range m.hosts {
			h.out = out && h.dataCentre == 1
		}
	}

	if !out {
		change()

		return
	}

	// Whoever does not look sees it only when the endpoints are gone.
	m.at(time.Second, change)
}

// request is one request on its way.
type request struct {
	entry  *entry
	work   time.Duration
	began  time.Time
	policy routing.Request
	flying int
	done   bool
	shed   bool
}

func (m *model) start(e *entry, work time.Duration) {
	r := &request{
		entry: e,
		work:  work,
		began: m.now,
		policy: routing.Request{
			Service:    "booking",
			Idempotent: true,
			Replayable: true,
			Deadline:   m.now.Add(deadline),
		},
	}

	if m.measured(r) {
		m.requests++
	}

	if m.naive {
		m.sendNaive(r, 1)

		return
	}

	m.again(r, maxTries)

	m.at(e.table.HedgeDelay("booking"), func() {
		if !r.done && e.table.MayHedge(m.now, &r.policy) {
			m.send(r)
		}
	})
	m.at(deadline, func() { m.finish(r, false) })
}

func (m *model) measured(r *request) bool {
	return r.began.After(m.end.Add(warmTime - modelTime))
}

// send follows io/caller: choose, send, learn, and send again where it may.
func (m *model) send(r *request) bool {
	choice, err := r.entry.table.Choose(m.now, "booking", r.policy.Excluded())
	if err != nil {
		r.shed = errors.Is(err, routing.ErrOverloaded) && len(r.policy.Excluded()) == 0

		return false
	}

	r.policy.AttemptSent(choice.Endpoint)
	r.flying++

	began := m.now

	h := m.host(choice.Endpoint)

	m.copy(r, h, func(end routing.AttemptOutcome) {
		r.flying--

		// Every answer carries the load at its endpoint.
		load := h.gate.Load()
		r.entry.table.Report("booking", h.name, routing.Load{
			InUse:  load.InUse,
			Queued: load.Queued,
		})

		verdict := routing.ResultSuccess

		switch {
		case r.done && end == routing.AttemptAnswered:
			verdict = routing.ResultAbandoned
		case end == routing.AttemptRefused:
			verdict = routing.ResultRefused
		case end != routing.AttemptAnswered:
			verdict = routing.ResultFailure
		}

		r.entry.table.Done(m.now, choice, routing.Result{
			Kind:    verdict,
			Latency: m.now.Sub(began),
		})

		if end == routing.AttemptAnswered {
			m.finish(r, true)

			return
		}

		if r.entry.table.AttemptEnded(m.now, &r.policy, end, r.flying > 0) && !r.done {
			m.more(r)
		} else if r.flying == 0 {
			m.finish(r, false)
		}
	})

	return true
}

// more sends a further copy, after a pause where the policy says so.
func (m *model) more(r *request) {
	if r.policy.NeedsRetryDelay() {
		m.at(20*time.Millisecond, func() { m.again(r, maxTries-1) })

		return
	}

	m.again(r, maxTries)
}

// again sends a further copy, and waits for an endpoint as io/caller does.
func (m *model) again(r *request, tries int) {
	if r.done || m.send(r) {
		return
	}

	if tries == 0 || r.shed && tries == maxTries {
		m.finish(r, false)

		return
	}

	m.at(20*time.Millisecond, func() { m.again(r, tries-1) })
}

func (m *model) host(name string) *host {
	return m.hosts[int(name[0]-'a')]
}

// copy sends a copy to an endpoint; ended is called at the entry.
func (m *model) copy(r *request, h *host, ended func(routing.AttemptOutcome)) {
	if m.measured(r) {
		m.copies++
	}

	way := trip(r.entry.dataCentre, h.dataCentre) / 2
	back := func(end routing.AttemptOutcome) { m.at(way+m.spike(), func() { ended(end) }) }

	if m.now.Before(r.entry.silentUntil) {
		m.at(r.entry.silentUntil.Sub(m.now), func() { ended(routing.AttemptLost) })

		return
	}

	m.at(way+m.spike(), func() {
		switch {
		case h.out:
			back(routing.AttemptRefused)
		case h.hole:
			m.at(time.Millisecond, func() { back(routing.AttemptServerError) })
		case m.naive:
			m.serveNaive(r, h, back)
		default:
			m.serve(r, h, back)
		}
	})
}

func (m *model) spike() time.Duration {
	if m.noise.Float64() < m.scenario.spikes {
		return spikeDelay
	}

	return 0
}

// serve runs a copy at an agent's gate.
func (m *model) serve(r *request, h *host, back func(routing.AttemptOutcome)) {
	ticket, err := h.gate.Acquire(m.now, r.policy.Deadline)
	if err != nil {
		back(routing.AttemptRefused)

		return
	}

	run := func() {
		m.at(time.Duration(float64(r.work)*h.slow), func() {
			h.gate.Release(m.now)
			m.admit(h)
			back(routing.AttemptAnswered)
		})
	}

	select {
	case <-ticket.Ready:
		run()

		return
	default:
	}

	h.waiting = append(h.waiting, waiter{
		ticket: ticket,
		run:    run,
	})

	m.at(ticket.WaitDeadline().Sub(m.now), func() {
		if h.gate.Abandon(ticket) {
			back(routing.AttemptRefused)
		}
	})
}

// admit starts what has got a slot.
func (m *model) admit(h *host) {
	waiting := h.waiting
	h.waiting = nil

	for _, w := range waiting {
		select {
		case <-w.ticket.Ready:
			w.run()
		default:
			if m.now.Before(w.ticket.WaitDeadline()) {
				h.waiting = append(h.waiting, w)
			}
		}
	}
}

// sendNaive is the baseline: round robin, a fixed timeout, one blind retry.
func (m *model) sendNaive(r *request, retries int) {
	h := m.hosts[r.entry.next%len(m.hosts)]
	r.entry.next++

	answered := false
	failed := func() {
		switch {
		case answered || r.done:
		case retries > 0:
			answered = true

			m.sendNaive(r, retries-1)
		default:
			m.finish(r, false)
		}
	}

	m.copy(r, h, func(end routing.AttemptOutcome) {
		if end != routing.AttemptAnswered {
			failed()

			return
		}

		if !answered {
			answered = true

			m.finish(r, true)
		}
	})
	m.at(naiveTimeout, failed)
}

// serveNaive runs a copy at an endpoint with an unbounded queue.
func (m *model) serveNaive(r *request, h *host, back func(routing.AttemptOutcome)) {
	run := func() {
		m.at(time.Duration(float64(r.work)*h.slow), func() {
			back(routing.AttemptAnswered)

			if len(h.queue) == 0 {
				h.running--

				return
			}

			next := h.queue[0]
			h.queue = h.queue[1:]
			next()
		})
	}

	if h.running < slots {
		h.running++
		run()

		return
	}

	h.queue = append(h.queue, run)
}

func (m *model) finish(r *request, answered bool) {
	if r.done {
		return
	}

	r.done = true

	if !m.measured(r) {
		return
	}

	switch {
	case !answered && r.shed && len(r.policy.Excluded()) == 0:
		m.shed++

		return
	case !answered:
		m.failed++

		return
	}

	m.answered++
	// Values are within the histogram's range: no request outlives its deadline by much.
	_ = m.latency.RecordValue(int64(m.now.Sub(r.began) / time.Microsecond))
}

func (m *model) quantile(q float64) time.Duration {
	return time.Duration(m.latency.ValueAtQuantile(q)) * time.Microsecond
}

func (m *model) goodput() float64 {
	return float64(m.answered) / (modelTime - warmTime).Seconds()
}

// extra is the share of copies beyond one for each request.
func (m *model) extra() float64 {
	return float64(m.copies)/float64(m.requests) - 1
}
