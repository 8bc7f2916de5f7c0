// Package caller serves HTTP to callers: ANY /services/{Service}/{path…}.
//
// Every answer carries a request id and an outcome. Answered means that the answer
// is the endpoint's; Refused, that the request did not run; Unknown, that it may
// have run. If an answer's body is truncated on the way, the connection to the
// caller is aborted, so that the body never looks complete.
//
// # Usage
//
//	h := &caller.Handler{Routes: table, Log: log, Service: lookUp, Call: call, Claim: claim, Count: count}
//	http.Handle("/services/", h)
package caller

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"trefoildeck/core/resource"
	"trefoildeck/core/routing"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// Headers of requests and answers.
const (
	HeaderOutcome        = "Trefoildeck-Outcome"
	HeaderReason         = "Trefoildeck-Reason"
	HeaderRequestID      = "Trefoildeck-Request-Id"
	HeaderTimeout        = "Trefoildeck-Timeout"
	HeaderReplayed       = "Trefoildeck-Replayed"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Limits of a request.
const (
	// maxReplayableBytes is the largest body that is buffered so that the request
	// can be sent again.
	maxReplayableBytes = 64 << 10
	maxTimeout         = 10 * time.Minute
	maxKeyBytes        = 256
	maxIDBytes         = 64
)

// unknownService is the service under which requests for services that do not
// exist are counted, so that callers can't create metrics with invented names.
const unknownService = ""

// Claim is the exclusive right to run the request of an idempotency key.
type Claim struct {
	// Stored is the answer to the first request with the key, nil if the request
	// has not run yet.
	Stored *StoredAnswer
	// Complete stores the answer for repeats of the request.
	Complete func(StoredAnswer)
	// Release gives the claim up after a request that did not run.
	Release func()
}

// StoredAnswer is an answer that is stored for repeats of its request.
type StoredAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Errors of a claim. The request was not run.
var (
	// ErrKeyReused says that the key was used before for a different request.
	ErrKeyReused = eris.New("the idempotency key was used for another request")
	// ErrKeyedTooLarge says that the body is too large to be compared with that of a repeat.
	ErrKeyedTooLarge = eris.New("the body of a request with an idempotency key may have up to 65536 bytes")
	// ErrKeyUnavailable says that the key could not be recorded.
	ErrKeyUnavailable = eris.New("idempotency keys can't be recorded now")
	// ErrKeyPending says that the outcome of the first request with the key is not
	// known.
	ErrKeyPending = eris.New("the first request with the idempotency key has no known answer")
)

// Handler serves the requests of callers.
type Handler struct {
	Routes *routing.Table
	Log    *zap.Logger
	// Service returns a declared service.
	Service func(name string) (*resource.Service, bool)
	// Call sends one attempt of a request to an endpoint's agent. rest is the body
	// after head.Data.
	Call func(ctx context.Context, endpoint string, head *peerpb.RequestHead, rest io.Reader) (*peer.Answer, error)
	// Claim records an idempotency key before its request runs. fingerprint tells
	// different requests with the same key apart.
	Claim func(ctx context.Context, service, key, fingerprint string) (Claim, error)
	// Count counts a request by its outcome.
	Count func(service string, outcome routing.Outcome)
}

// request is one request of a caller.
type request struct {
	id      string
	service string
	head    *peerpb.RequestHead
	rest    io.Reader
	policy  routing.Request
	key     string
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	w.Header().Set(HeaderRequestID, id)

	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), "/services/")
	if !ok {
		h.refuse(w, unknownService, http.StatusNotFound, "requests go to /services/{Service}/{path}")

		return
	}

	name, path, _ := strings.Cut(rest, "/")

	service, ok := h.Service(name)
	if !ok {
		h.refuse(w, unknownService, http.StatusNotFound, "no such service")

		return
	}

	timeout, ok := requestTimeout(r, service.Timeout)
	if !ok {
		h.refuse(w, name, http.StatusBadRequest, HeaderTimeout+": allowed is a duration such as 250ms, up to 10m")

		return
	}

	if len(r.Header.Get(HeaderIdempotencyKey)) > maxKeyBytes {
		h.refuse(w, name, http.StatusBadRequest, HeaderIdempotencyKey+": allowed are up to 256 bytes")

		return
	}

	if r.ContentLength > service.MaxBodyBytes {
		h.refuse(w, name, http.StatusRequestEntityTooLarge, "the body is larger than the service's MaxBodyBytes")

		return
	}

	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()

	target := "/" + path
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}

	q, err := readRequest(ctx, w, r, id, name, target, service)
	if err != nil {
		h.refuse(w, name, http.StatusBadRequest, "the body could not be read")

		return
	}

	h.serve(ctx, w, q)
}

func requestID(r *http.Request) string {
	if id := r.Header.Get(HeaderRequestID); id != "" && len(id) <= maxIDBytes {
		return id
	}

	return uuid.NewString()
}

func requestTimeout(r *http.Request, fallback time.Duration) (time.Duration, bool) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return fallback, true
	}

	d, err := time.ParseDuration(text)

	return d, err == nil && d > 0 && d <= maxTimeout
}

// readRequest reads the start of a request's body, up to maxReplayableBytes. Only a
// request whose whole body was read can be sent again.
func readRequest(ctx context.Context, w http.ResponseWriter, r *http.Request, id, service, target string, spec *resource.Service) (*request, error) {
	body := http.MaxBytesReader(w, r.Body, spec.MaxBodyBytes)

	size := int64(maxReplayableBytes)
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength+1)
	}

	data := make([]byte, size)

	n, last, err := peer.Fill(body, data)
	if err != nil {
		return nil, err
	}

	deadline, _ := ctx.Deadline()

	return &request{
		id:      id,
		service: service,
		rest:    body,
		key:     r.Header.Get(HeaderIdempotencyKey),
		head: &peerpb.RequestHead{
			ID:            id,
			Service:       service,
			Method:        r.Method,
			Target:        target,
			Headers:       peer.EncodeHeaders(endToEndHeaders(r.Header)),
			ContentLength: r.ContentLength,
			Data:          data[:n],
			Last:          last,
		},
		policy: routing.Request{
			Service:    service,
			Idempotent: idempotent(r.Method),
			Replayable: last,
			Deadline:   deadline,
		},
	}, nil
}

// idempotent reports whether RFC 9110 defines a method as idempotent.
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// endToEndHeaders returns h without hop-by-hop headers (RFC 9110, 7.6.1) and
// without Expect, HeaderTimeout and HeaderRequestID, which concern the entry only.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()

	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}

	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Expect", HeaderTimeout, HeaderRequestID,
	} {
		out.Del(name)
	}

	return out
}

func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, q *request) {
	if q.key == "" || q.policy.Idempotent {
		h.run(ctx, w, q, nil)

		return
	}

	// Requests with one key are told apart by their whole bodies.
	if !q.policy.Replayable {
		h.finish(w, q, routing.OutcomeRefused, http.StatusRequestEntityTooLarge, ErrKeyedTooLarge.Error())

		return
	}

	claim, err := h.Claim(ctx, q.service, q.key, fingerprint(q))

	switch {
	case err == nil && claim.Stored != nil:
		h.replay(w, q, claim.Stored)
	case err == nil:
		h.run(ctx, w, q, &claim)
	case eris.Is(err, ErrKeyPending):
		h.finish(w, q, routing.OutcomeUnknown, http.StatusConflict, ErrKeyPending.Error())
	case eris.Is(err, ErrKeyReused):
		h.finish(w, q, routing.OutcomeRefused, http.StatusUnprocessableEntity, ErrKeyReused.Error())
	default:
		h.Log.Warn("KeyNotRecorded", zap.String("Request", q.id), zap.Error(err))
		h.finish(w, q, routing.OutcomeRefused, http.StatusServiceUnavailable, ErrKeyUnavailable.Error())
	}
}

// refuse answers a request that is rejected before any attempt.
func (h *Handler) refuse(w http.ResponseWriter, service string, status int, reason string) {
	h.Count(service, routing.OutcomeRefused)
	writeOutcome(w, routing.OutcomeRefused, status, reason)
}

// finish answers a request that has no answer of an endpoint.
func (h *Handler) finish(w http.ResponseWriter, q *request, o routing.Outcome, status int, reason string) {
	h.Count(q.service, o)
	h.Log.Debug("RequestNotAnswered", zap.String("Request", q.id), zap.String("Outcome", string(o)), zap.String("Reason", reason))
	writeOutcome(w, o, status, reason)
}

func writeOutcome(w http.ResponseWriter, o routing.Outcome, status int, reason string) {
	w.Header().Set(HeaderOutcome, string(o))
	w.Header().Set(HeaderReason, reason)
	http.Error(w, reason, status)
}
