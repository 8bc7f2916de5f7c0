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

// model is a discrete-event simulation of a service in virtual time: callers,
// entries, links and endpoints. With the same seed, every policy gets the same
// arrivals and service times.
type model struct {
	now          time.Time
	events       eventQueue
	order        int
	arrivals     *rand.Rand
	messageNoise *rand.Rand
	entries      []*entry
	hosts        []*host
	scenario     scenario
	naive        bool
	end          time.Time

	latency  *hdrhistogram.Histogram
	requests int
	answered int
	failed   int
	// shed is the number of requests that were refused before any attempt was sent.
	shed     int
	attempts int
}

// scenario is the load and the faults of a run.
type scenario struct {
	// load is the arrival rate as a share of the capacity of all endpoints.
	load float64
	// slow and blackHole are the index of one endpoint each, or negative for none.
	slow      int
	blackHole int
	// out takes a data centre out of service for 4 s.
	out bool
	// silent interrupts the connections of one entry until they are taken for lost.
	silent bool
	// lateShare is the share of messages that arrive lateDelay later, as after a
	// packet loss.
	lateShare float64
}

const (
	dataCentres     = 3
	endpoints       = 10
	slots           = 8
	serviceTime     = 10 * time.Millisecond
	localRoundTrip  = 300 * time.Microsecond
	remoteRoundTrip = 10 * time.Millisecond
	lateDelay       = 200 * time.Millisecond
	requestTimeout  = 2 * time.Second
	modelTime       = 12 * time.Second
	warmUpTime      = 2 * time.Second
	naiveTimeout    = time.Second
	// maxTries limits the wait for an endpoint, which is tried every 20 ms.
	maxTries = 100
	// An endpoint counts as silent, and its session is closed, after the times of
	// package entry.
	silentAfter = 750 * time.Millisecond
	closeAfter  = 1500 * time.Millisecond
)

// host is an endpoint with its agent's limiter.
type host struct {
	index      int
	name       string
	dataCentre int
	limiter    *admission.Limiter
	// queue has the attempts that wait at the endpoint under the naive policy,
	// which uses no limiter; running is the number of those that run.
	queue     []func()
	running   int
	waiting   []waiter
	slowdown  float64
	blackHole bool
	out       bool
}

type waiter struct {
	ticket *admission.Ticket
	run    func()
}

// entry routes on its own: the entries don't share any state.
type entry struct {
	dataCentre  int
	table       *routing.Table
	nextHost    int
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
		now:          time.Unix(1_000_000, 0),
		arrivals:     rand.New(rand.NewPCG(seed, 1)),
		messageNoise: rand.New(rand.NewPCG(seed, 2)),
		scenario:     s,
		naive:        naive,
		latency:      hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3),
	}
	m.end = m.now.Add(modelTime)

	for n := range endpoints {
		h := &host{
			index:      n,
			name:       string(rune('a' + n)),
			dataCentre: n % dataCentres,
			limiter:    admission.New(slots),
			slowdown:   1,
			blackHole:  n == s.blackHole,
		}
		if n == s.slow {
			h.slowdown = 10
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
		table:      routing.New(dataCentreName(n), seed+uint64(n)),
	}

	for _, h := range m.hosts {
		e.table.Announce(m.now.Add(-time.Hour), routing.Announcement{
			Service:    "booking",
			Endpoint:   h.name,
			DataCentre: dataCentreName(h.dataCentre),
			Slots:      slots,
			RoundTrip:  roundTrip(n, h.dataCentre),
		})
	}

	return e
}

func dataCentreName(n int) string { return string(rune('A' + n)) }

func roundTrip(a, b int) time.Duration {
	if a == b {
		return localRoundTrip
	}

	return remoteRoundTrip
}

// schedule runs an event after a delay.
func (m *model) schedule(d time.Duration, run func()) {
	m.order++
	heap.Push(&m.events, event{
		at:    m.now.Add(d),
		order: m.order,
		run:   run,
	})
}

// run runs the model until no event is left.
func (m *model) run() *model {
	m.scheduleArrival()
	m.tick()
	m.scheduleFaults()

	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}

	return m
}

// scheduleArrival schedules the next request, which arrives after an
// exponentially distributed time.
func (m *model) scheduleArrival() {
	rate := m.scenario.load * endpoints * slots / serviceTime.Seconds()
	gap := time.Duration(m.arrivals.ExpFloat64() / rate * float64(time.Second))
	e := m.entries[m.arrivals.IntN(len(m.entries))]
	work := time.Duration((0.5 + 0.5*m.arrivals.ExpFloat64()) * float64(serviceTime))

	m.schedule(gap, func() {
		if m.now.After(m.end) {
			return
		}

		m.startRequest(e, work)
		m.scheduleArrival()
	})
}

func (m *model) tick() {
	for _, e := range m.entries {
		e.table.Tick(m.now)

		for _, h := range m.hosts {
			load := h.limiter.Load()
			e.table.Report("booking", h.name, routing.Load{
				InUse:  load.InUse,
				Queued: load.Queued,
			})

			silent := !e.silentFrom.IsZero() && m.now.Sub(e.silentFrom) > silentAfter && m.now.Before(e.silentUntil)
			e.table.SetSilent("booking", h.name, silent)
		}
	}

	if m.now.Before(m.end.Add(2 * requestTimeout)) {
		m.schedule(100*time.Millisecond, m.tick)
	}
}

func (m *model) scheduleFaults() {
	if m.scenario.out {
		m.schedule(4*time.Second, func() { m.setOut(true) })
		m.schedule(8*time.Second, func() { m.setOut(false) })
	}

	if m.scenario.silent {
		m.schedule(5*time.Second, func() {
			m.entries[0].silentFrom = m.now
			m.entries[0].silentUntil = m.now.Add(closeAfter)
		})
	}
}

func (m *model) setOut(out bool) {
	for _, e := range m.entries {
		e.table.SetOut(m.now, dataCentreName(1), out)
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

	// The naive policy ignores the outage and notices it only when the endpoints
	// refuse requests, a second later.
	m.schedule(time.Second, change)
}

// request is one request of a caller.
type request struct {
	entry     *entry
	work      time.Duration
	startedAt time.Time
	policy    routing.Request
	inFlight  int
	done      bool
	shed      bool
}

func (m *model) startRequest(e *entry, work time.Duration) {
	r := &request{
		entry:     e,
		work:      work,
		startedAt: m.now,
		policy: routing.Request{
			Service:    "booking",
			Idempotent: true,
			Replayable: true,
			Deadline:   m.now.Add(requestTimeout),
		},
	}

	if m.measured(r) {
		m.requests++
	}

	if m.naive {
		m.sendNaive(r, 1)

		return
	}

	m.sendOrWait(r, maxTries)

	m.schedule(e.table.HedgeDelay("booking"), func() {
		if !r.done && e.table.MayHedge(m.now, &r.policy) {
			m.send(r)
		}
	})
	m.schedule(requestTimeout, func() { m.finish(r, false) })
}

// measured reports whether a request counts: it arrived after the warm-up.
func (m *model) measured(r *request) bool {
	return r.startedAt.After(m.end.Add(warmUpTime - modelTime))
}

// send follows io/caller: it chooses an endpoint, sends an attempt, records its
// result, and retries if the policy allows it. It returns false if there is no
// endpoint.
func (m *model) send(r *request) bool {
	choice, err := r.entry.table.Choose(m.now, "booking", r.policy.Excluded())
	if err != nil {
		r.shed = errors.Is(err, routing.ErrOverloaded) && len(r.policy.Excluded()) == 0

		return false
	}

	r.policy.AttemptSent(choice.Endpoint)
	r.inFlight++

	began := m.now

	h := m.host(choice.Endpoint)

	m.sendAttempt(r, h, func(outcome routing.AttemptOutcome) {
		r.inFlight--

		// Every answer carries the load at its endpoint.
		load := h.limiter.Load()
		r.entry.table.Report("booking", h.name, routing.Load{
			InUse:  load.InUse,
			Queued: load.Queued,
		})

		kind := routing.ResultSuccess

		switch {
		case r.done && outcome == routing.AttemptAnswered:
			kind = routing.ResultAbandoned
		case outcome == routing.AttemptRefused:
			kind = routing.ResultRefused
		case outcome != routing.AttemptAnswered:
			kind = routing.ResultFailure
		}

		r.entry.table.Done(m.now, choice, routing.Result{
			Kind:    kind,
			Latency: m.now.Sub(began),
		})

		if outcome == routing.AttemptAnswered {
			m.finish(r, true)

			return
		}

		if r.entry.table.AttemptEnded(m.now, &r.policy, outcome, r.inFlight > 0) && !r.done {
			m.retry(r)
		} else if r.inFlight == 0 {
			m.finish(r, false)
		}
	})

	return true
}

// retry sends another attempt, after a delay if the policy asks for it.
func (m *model) retry(r *request) {
	if r.policy.NeedsRetryDelay() {
		m.schedule(20*time.Millisecond, func() { m.sendOrWait(r, maxTries-1) })

		return
	}

	m.sendOrWait(r, maxTries)
}

// sendOrWait sends an attempt. Like io/caller, it waits if there is no endpoint,
// except when the service sheds the request before its first attempt.
func (m *model) sendOrWait(r *request, tries int) {
	if r.done || m.send(r) {
		return
	}

	if tries == 0 || r.shed && tries == maxTries {
		m.finish(r, false)

		return
	}

	m.schedule(20*time.Millisecond, func() { m.sendOrWait(r, tries-1) })
}

func (m *model) host(name string) *host {
	return m.hosts[int(name[0]-'a')]
}

// sendAttempt sends an attempt to an endpoint. It calls ended when the outcome
// reaches the entry.
func (m *model) sendAttempt(r *request, h *host, ended func(routing.AttemptOutcome)) {
	if m.measured(r) {
		m.attempts++
	}

	oneWay := roundTrip(r.entry.dataCentre, h.dataCentre) / 2
	back := func(outcome routing.AttemptOutcome) { m.schedule(oneWay+m.randomDelay(), func() { ended(outcome) }) }

	if m.now.Before(r.entry.silentUntil) {
		m.schedule(r.entry.silentUntil.Sub(m.now), func() { ended(routing.AttemptLost) })

		return
	}

	m.schedule(oneWay+m.randomDelay(), func() {
		switch {
		case h.out:
			back(routing.AttemptRefused)
		case h.blackHole:
			m.schedule(time.Millisecond, func() { back(routing.AttemptServerError) })
		case m.naive:
			m.serveNaive(r, h, back)
		default:
			m.serve(r, h, back)
		}
	})
}

func (m *model) randomDelay() time.Duration {
	if m.messageNoise.Float64() < m.scenario.lateShare {
		return lateDelay
	}

	return 0
}

// serve runs an attempt under the agent's limiter.
func (m *model) serve(r *request, h *host, back func(routing.AttemptOutcome)) {
	ticket, err := h.limiter.Acquire(m.now, r.policy.Deadline)
	if err != nil {
		back(routing.AttemptRefused)

		return
	}

	run := func() {
		m.schedule(time.Duration(float64(r.work)*h.slowdown), func() {
			h.limiter.Release(m.now)
			m.runAdmitted(h)
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

	m.schedule(ticket.WaitDeadline().Sub(m.now), func() {
		if h.limiter.Abandon(ticket) {
			back(routing.AttemptRefused)
		}
	})
}

// runAdmitted starts the waiting attempts that have a slot now.
func (m *model) runAdmitted(h *host) {
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

// sendNaive is the baseline policy: round robin, a fixed timeout and one retry
// that takes no account of the first endpoint's fault.
func (m *model) sendNaive(r *request, retries int) {
	h := m.hosts[r.entry.nextHost%len(m.hosts)]
	r.entry.nextHost++

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

	m.sendAttempt(r, h, func(outcome routing.AttemptOutcome) {
		if outcome != routing.AttemptAnswered {
			failed()

			return
		}

		if !answered {
			answered = true

			m.finish(r, true)
		}
	})
	m.schedule(naiveTimeout, failed)
}

// serveNaive runs an attempt at an endpoint with an unbounded queue.
func (m *model) serveNaive(r *request, h *host, back func(routing.AttemptOutcome)) {
	run := func() {
		m.schedule(time.Duration(float64(r.work)*h.slowdown), func() {
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
	// RecordValue can't fail: no request outlives its deadline by much, so the value
	// is within the histogram's range.
	_ = m.latency.RecordValue(int64(m.now.Sub(r.startedAt) / time.Microsecond))
}

func (m *model) quantile(q float64) time.Duration {
	return time.Duration(m.latency.ValueAtQuantile(q)) * time.Microsecond
}

func (m *model) goodput() float64 {
	return float64(m.answered) / (modelTime - warmUpTime).Seconds()
}

// extraLoad returns the number of attempts beyond the first, per request.
func (m *model) extraLoad() float64 {
	return float64(m.attempts)/float64(m.requests) - 1
}
