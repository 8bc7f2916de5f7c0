package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const maxEndpointBody = 64 << 20

// Request is one request that an endpoint ran.
type Request struct {
	RequestID string
	Key       string
	Method    string
	Path      string
	Time      time.Time
}

// Endpoint is a service endpoint that echoes what it is sent.
type Endpoint struct {
	mu     sync.Mutex
	name   string
	delay  time.Duration
	status int
	runs   []Request
}

// NewEndpoint returns an endpoint that takes delay for each request.
func NewEndpoint(name string, delay time.Duration) *Endpoint {
	return &Endpoint{
		name:   name,
		delay:  delay,
		status: http.StatusOK,
	}
}

// SetResponse changes the delay and the status from now on.
func (e *Endpoint) SetResponse(delay time.Duration, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.delay = delay
	e.status = status
}

// Requests returns a copy of the requests that ran.
func (e *Endpoint) Requests() []Request {
	e.mu.Lock()
	defer e.mu.Unlock()

	return append([]Request(nil), e.runs...)
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	delay, status := e.delay, e.status
	e.runs = append(e.runs, Request{
		RequestID: r.Header.Get("Trefoildeck-Request-Id"),
		Key:       r.Header.Get("Idempotency-Key"),
		Method:    r.Method,
		Path:      r.URL.Path,
		Time:      time.Now(),
	})
	e.mu.Unlock()

	time.Sleep(delay)

	w.Header().Set("Endpoint", e.name)
	w.WriteHeader(status)
	fmt.Fprintf(w, "%s %s from %s\n", r.Method, r.URL.RequestURI(), e.name)
	// A caller that went away has no use for the rest.
	_, _ = io.Copy(w, io.LimitReader(r.Body, maxEndpointBody))
}
