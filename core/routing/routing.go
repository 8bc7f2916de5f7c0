// Package routing chooses the endpoint for each request, decides whether a
// request is retried or hedged, and keeps requests from endpoints that fail or
// are slow. It does no I/O and reads no clock.
//
// # Usage
//
//	t := routing.New("dc1", seed)
//	t.Announce(now, routing.Announcement{Service: "booking", Endpoint: "agent-1", DataCentre: "dc1", Slots: 8})
//	choice, err := t.Choose(now, "booking", nil)
//	// send the request to choice.Endpoint
//	t.Done(now, choice, routing.Result{Kind: routing.ResultSuccess, Latency: took})
//
// A Table has one pool of endpoints for each service. Choose samples a few
// endpoints of a pool, so its cost does not grow with their number. Tick, which
// the caller runs periodically, does the work that visits every endpoint.
//
// A request is sent to endpoints in one or more attempts. An endpoint that
// fails often or is slow rests: it gets no requests for a time that doubles
// with each rest, and is then on probation until a few requests succeed.
package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of Choose. The request was not sent.
var (
	// ErrNoService is returned if no endpoint of the service was ever announced.
	ErrNoService = eris.New("no endpoint announces the service")
	// ErrNoEndpoint is returned if no endpoint of the service takes requests, or
	// if all sampled ones are full and none has answered for stallTimeout.
	ErrNoEndpoint = eris.New("no endpoint of the service takes requests")
	// ErrOverloaded is returned if all sampled endpoints are full, but some endpoint
	// has answered within stallTimeout.
	ErrOverloaded = eris.New("the service is overloaded")
)

// Announcement describes an endpoint. Slots is the number of requests that it
// runs at a time.
type Announcement struct {
	Service    string
	Endpoint   string
	DataCentre string
	Slots      int
	// RoundTrip is the network round-trip time, zero if unknown.
	RoundTrip time.Duration
}

// Load is an endpoint's own report of its running and queued requests.
type Load struct {
	InUse  int
	Queued int
}

// Choice is the endpoint chosen for one attempt.
type Choice struct {
	Service    string
	Endpoint   string
	DataCentre string
	pool       *pool
	index      int32
	generation uint32
}

// ResultKind is the kind of result of an attempt, for the health of its
// endpoint.
type ResultKind int

// The kinds of result.
const (
	// ResultSuccess is a complete answer that is not a server error.
	ResultSuccess ResultKind = iota
	// ResultFailure is a server error, a truncated answer or a timeout.
	ResultFailure
	// ResultRefused is a refusal by an endpoint that is full.
	ResultRefused
	// ResultAbandoned is an attempt that was cancelled before its answer, because
	// the caller disconnected or another attempt answered.
	ResultAbandoned
)

// Result is the result of one attempt. Latency is the time since it was sent.
type Result struct {
	Kind    ResultKind
	Latency time.Duration
}

// Table holds the endpoints of every service as seen by one entry. It is safe
// for concurrent use.
type Table struct {
	localDataCentre string

	mu    sync.RWMutex
	pools map[string]*pool
	out   map[string]bool
	seed  uint64
}

// New returns an empty table for an entry in the data centre local. The seed
// makes the choices repeatable.
func New(local string, seed uint64) *Table {
	return &Table{
		localDataCentre: local,
		pools:           map[string]*pool{},
		out:             map[string]bool{},
		seed:            seed,
	}
}

func (t *Table) pool(service string) *pool {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.pools[service]
}

// Announce adds an endpoint, or updates its slots and round-trip time.
func (t *Table) Announce(now time.Time, a Announcement) {
	t.mu.Lock()

	p, ok := t.pools[a.Service]
	if !ok {
		t.seed++
		p = newPool(t.localDataCentre, rand.New(rand.NewPCG(t.seed, t.seed)))
		t.pools[a.Service] = p
	}

	out := t.out[a.DataCentre]
	t.mu.Unlock()

	p.announce(now, a, out)
}

// Withdraw removes an endpoint whose session ended or that is shutting down.
func (t *Table) Withdraw(service, endpoint string) {
	if p := t.pool(service); p != nil {
		p.withdraw(endpoint)
	}
}

// Report records the load that an endpoint reported.
func (t *Table) Report(service, endpoint string, l Load) {
	if p := t.pool(service); p != nil {
		p.report(endpoint, l)
	}
}

// SetRoundTrip adds a measurement of the network round-trip time to an
// endpoint.
func (t *Table) SetRoundTrip(service, endpoint string, d time.Duration) {
	if p := t.pool(service); p != nil {
		p.setRoundTrip(endpoint, d)
	}
}

// SetSilent stops requests to an endpoint that has sent nothing for a while, or
// resumes them.
func (t *Table) SetSilent(service, endpoint string, silent bool) {
	if p := t.pool(service); p != nil {
		p.setSilent(endpoint, silent)
	}
}

// Available reports whether some endpoint of a service takes requests.
func (t *Table) Available(service string) bool {
	p := t.pool(service)

	return p != nil && p.available()
}

// SetOut stops requests to the endpoints of a data centre, or resumes them.
func (t *Table) SetOut(now time.Time, dataCentre string, out bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.out[dataCentre] == out {
		return
	}

	t.out[dataCentre] = out

	for _, p := range t.pools {
		p.setOut(now, dataCentre, out)
	}
}

// Choose picks an endpoint for an attempt. An endpoint in exclude is chosen only
// if no other takes requests. Every choice must be followed by one Done.
func (t *Table) Choose(now time.Time, service string, exclude []string) (Choice, error) {
	p := t.pool(service)
	if p == nil {
		return Choice{}, ErrNoService
	}

	return p.choose(now, service, exclude)
}

// Done records the result of an attempt, which is no longer in flight.
func (t *Table) Done(now time.Time, c Choice, r Result) {
	c.pool.done(now, c, r)
}

// TakeRetryToken takes a token from the service's retry budget. It returns false
// if there is none, and the request must not be retried.
func (t *Table) TakeRetryToken(service string) bool {
	p := t.pool(service)

	return p != nil && p.takeRetryToken()
}

// takeLossToken takes a token for the retry of a lost attempt.
func (t *Table) takeLossToken(service string) bool {
	p := t.pool(service)

	return p != nil && p.takeLossToken()
}

// HedgeDelay returns the time to wait for an answer before a hedge is sent: the
// 95th percentile of the service's latency, between minHedgeDelay and
// maxHedgeDelay.
func (t *Table) HedgeDelay(service string) time.Duration {
	p := t.pool(service)
	if p == nil {
		return maxHedgeDelay
	}

	return p.hedgeDelay()
}

// Tick ends rests that are over and updates the median latency and the
// utilization of each pool.
func (t *Table) Tick(now time.Time) {
	t.mu.RLock()
	defer t.mu.RUnlock()

	for _, p := range t.pools {
		p.tick(now)
	}
}

// Status describes one endpoint for operators.
type Status struct {
	Service    string
	Endpoint   string
	DataCentre string
	Slots      int
	Load       int
	Latency    time.Duration
	State      string
}

// Status returns the status of every endpoint, in no particular order.
func (t *Table) Status() []Status {
	t.mu.RLock()
	defer t.mu.RUnlock()

	var list []Status
	for name, p := range t.pools {
		list = append(list, p.status(name)...)
	}

	return list
}
