// Package routing decides which endpoint runs a request, which requests are
// sent again, and which endpoints rest. It does no I/O and reads no clock.
//
// # Usage
//
//	t := routing.New("lannion", seed)
//	t.Announce(now, routing.Announcement{Service: "booking", Endpoint: "agent-1", DataCentre: "lannion", Slots: 8})
//	choice, err := t.Choose(now, "booking", nil)
//	// send the request to choice.Endpoint
//	t.Done(now, choice, routing.Result{Kind: routing.ResultSuccess, Latency: took})
//
// Endpoints are kept in one table for each service. Choosing samples a few of
// them, so its cost does not grow with their number; Tick runs the systems
// that look at all of them.
package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of Choose. Whoever gets one knows that the request was not run.
var (
	// ErrNoService says that no endpoint of the service was ever announced.
	ErrNoService = eris.New("no endpoint announces the service")
	// ErrNoEndpoint says that every endpoint is leaving, out, resting or excluded.
	ErrNoEndpoint = eris.New("no endpoint of the service takes requests")
	// ErrOverloaded says that the sampled endpoints are full.
	ErrOverloaded = eris.New("the service is overloaded")
)

// Announcement says that an endpoint exists.
type Announcement struct {
	Service    string
	Endpoint   string
	DataCentre string
	Slots      int
	// RoundTrip is the time to the endpoint and back, zero where unknown.
	RoundTrip time.Duration
}

// Load is what an endpoint says of its slots.
type Load struct {
	InUse  int
	Queued int
}

// Choice is the endpoint that was chosen for one request.
type Choice struct {
	Service    string
	Endpoint   string
	DataCentre string
	pool       *pool
	index      int32
	generation uint32
}

// ResultKind says how a request to an endpoint went.
type ResultKind int

// The verdicts.
const (
	// ResultSuccess is a whole answer that is not a server error.
	ResultSuccess ResultKind = iota
	// ResultFailure is a server error, a cut answer or a timeout.
	ResultFailure
	// ResultRefused is a refusal by an endpoint that is full.
	ResultRefused
	// ResultAbandoned is a request whose caller went away.
	ResultAbandoned
)

// Result is what is learnt from one request.
type Result struct {
	Kind    ResultKind
	Latency time.Duration
}

// Table holds the endpoints of every service, as one entry sees them.
type Table struct {
	localDataCentre string

	mu    sync.RWMutex
	pools map[string]*pool
	out   map[string]bool
	seed  uint64
}

// New returns an empty table for an entry in the data centre local.
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

// Announce adds an endpoint, or changes what is known of it.
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

// Withdraw removes an endpoint: its session ended or it leaves.
func (t *Table) Withdraw(service, endpoint string) {
	if p := t.pool(service); p != nil {
		p.withdraw(endpoint)
	}
}

// Report records the load that an endpoint says it has.
func (t *Table) Report(service, endpoint string, l Load) {
	if p := t.pool(service); p != nil {
		p.report(endpoint, l)
	}
}

// SetRoundTrip renews the time to an endpoint and back.
func (t *Table) SetRoundTrip(service, endpoint string, d time.Duration) {
	if p := t.pool(service); p != nil {
		p.setRoundTrip(endpoint, d)
	}
}

// SetSilent keeps requests from an endpoint that is not heard of, or lets them
// go there again.
func (t *Table) SetSilent(service, endpoint string, silent bool) {
	if p := t.pool(service); p != nil {
		p.setSilent(endpoint, silent)
	}
}

// Available reports whether a service has an endpoint that takes requests.
func (t *Table) Available(service string) bool {
	p := t.pool(service)

	return p != nil && p.available()
}

// SetOut takes a data centre out of routing or back into it.
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

// Choose picks an endpoint that is not in exclude. Every choice must be
// followed by one Done.
func (t *Table) Choose(now time.Time, service string, exclude []string) (Choice, error) {
	p := t.pool(service)
	if p == nil {
		return Choice{}, ErrNoService
	}

	return p.choose(now, service, exclude)
}

// Done records how a request went and frees its place.
func (t *Table) Done(now time.Time, c Choice, r Result) {
	c.pool.done(now, c, r)
}

// TakeRetryToken asks for leave to send one more copy of a request of the service.
func (t *Table) TakeRetryToken(service string) bool {
	p := t.pool(service)

	return p != nil && p.takeRetryToken()
}

// takeLossToken asks for leave to send a copy in place of one that was lost.
func (t *Table) takeLossToken(service string) bool {
	p := t.pool(service)

	return p != nil && p.takeLossToken()
}

// HedgeDelay is how long to wait for an answer before a second copy pays.
func (t *Table) HedgeDelay(service string) time.Duration {
	p := t.pool(service)
	if p == nil {
		return maxHedgeDelay
	}

	return p.hedgeDelay()
}

// Tick runs the systems that look at every endpoint.
func (t *Table) Tick(now time.Time) {
	t.mu.RLock()
	defer t.mu.RUnlock()

	for _, p := range t.pools {
		p.tick(now)
	}
}

// Status is what operators see of one endpoint.
type Status struct {
	Service    string
	Endpoint   string
	DataCentre string
	Slots      int
	Load       int
	Latency    time.Duration
	State      string
}

// Status lists every endpoint.
func (t *Table) Status() []Status {
	t.mu.RLock()
	defer t.mu.RUnlock()

	var list []Status
	for name, p := range t.pools {
		list = append(list, p.status(name)...)
	}

	return list
}
