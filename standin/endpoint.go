package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// maxEchoBytes bounds the part of a request body that is echoed.
const maxEchoBytes = 64 << 20

// Request is a request that an endpoint received. Control clients decode it under
// the names of its fields.
type Request struct {
	RequestID string
	Key       string
	Method    string
	Path      string
	Time      time.Time
}

// Endpoint is a service endpoint that echoes request bodies and records every
// request.
type Endpoint struct {
	mu       sync.Mutex
	name     string
	delay    time.Duration
	status   int
	requests []Request
}

// NewEndpoint returns an endpoint that answers each request with status 200 after
// delay.
func NewEndpoint(name string, delay time.Duration) *Endpoint {
	return &Endpoint{
		name:   name,
		delay:  delay,
		status: http.StatusOK,
	}
}

// SetResponse sets the delay and the status of later responses.
func (e *Endpoint) SetResponse(delay time.Duration, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.delay = delay
	e.status = status
}

// Requests returns a copy of the requests received so far, in order of arrival.
func (e *Endpoint) Requests() []Request {
	e.mu.Lock()
	defer e.mu.Unlock()

	return append([]Request(nil), e.requests...)
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	delay, status := e.delay, e.status
	e.requests = append(e.requests, Request{
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
	// An error means that the client closed the connection.
	_, _ = io.Copy(w, io.LimitReader(r.Body, maxEchoBytes))
}
