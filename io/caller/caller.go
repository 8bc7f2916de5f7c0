// Package caller serves HTTP to callers: ANY /services/{Service}/{path…}.
//
// Every answer carries a request id and a typed outcome. Answered means that
// the answer is the endpoint's; Refused, that the request surely did not run;
// Unknown, that it may have run. What a body can't be trusted to be whole is
// cut, never ended as if it were.
//
// # Usage
//
//	h := &caller.Handler{Routes: table, Call: call, Service: lookUp, Claim: claim}
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
	// replayBytes is the size up to which a body is kept to be sent again.
	replayBytes = 64 << 10
	maxTimeout  = 10 * time.Minute
	maxKeyBytes = 256
	maxIDBytes  = 64
)

// noService stands for services that do not exist, so that callers can't make
// up names to count.
const noService = ""

// Claim is the right to run a request of an idempotency key once.
type Claim struct {
	// Stored is the first answer, where the request ran before.
	Stored *StoredAnswer
	// Complete records the answer.
	Complete func(StoredAnswer)
	// Release records that the request surely did not run.
	Release func()
}

// StoredAnswer is an answer kept for repeats of a request.
type StoredAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Refusals of a claim; nothing was run.
var (
	// ErrKeyReused says that the key came with another request before.
	ErrKeyReused = eris.New("the idempotency key was used for another request")
	// ErrKeyUnavailable says that keys can't be recorded now.
	ErrKeyUnavailable = eris.New("idempotency keys can't be recorded now")
	// ErrKeyPending says that the first request's outcome is not known.
	ErrKeyPending = eris.New("the first request with the idempotency key has no known answer")
)

// Handler serves callers.
type Handler struct {
	Routes *routing.Table
	Log    *zap.Logger
	// Service looks a declared service up.
	Service func(name string) (*resource.Service, bool)
	// Call sends a copy of a request to an endpoint's agent.
	Call func(ctx context.Context, endpoint string, head *peerpb.RequestHead, rest io.Reader) (*peer.Answer, error)
	// Claim records an idempotency key before the request runs.
	Claim func(ctx context.Context, service, key, fingerprint string) (Claim, error)
	// Count counts an outcome.
	Count func(service string, outcome routing.Outcome)
}

// request is one request on its way.
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
		h.refuse(w, noService, http.StatusNotFound, "requests go to /services/{Service}/{path}")

		return
	}

	name, path, _ := strings.Cut(rest, "/")

	service, ok := h.Service(name)
	if !ok {
		h.refuse(w, noService, http.StatusNotFound, "no such service")

		return
	}

	timeout, ok := timeoutOf(r, service.Timeout)
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

	q, err := read(ctx, w, r, id, name, target, service)
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

func timeoutOf(r *http.Request, fallback time.Duration) (time.Duration, bool) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return fallback, true
	}

	d, err := time.ParseDuration(text)

	return d, err == nil && d > 0 && d <= maxTimeout
}

// read takes in a request with the start of its body, or all of it where it is
// short enough to be sent again.
func read(ctx context.Context, w http.ResponseWriter, r *http.Request, id, service, target string, spec *resource.Service) (*request, error) {
	body := http.MaxBytesReader(w, r.Body, spec.MaxBodyBytes)

	size := int64(replayBytes)
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
			Headers:       peer.EncodeHeaders(forwarded(r.Header)),
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

// idempotent reports what RFC 9110 says of a method.
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// forwarded drops what concerns only one connection (RFC 9110, 7.6.1).
func forwarded(h http.Header) http.Header {
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

// refuse answers a request that was not run.
func (h *Handler) refuse(w http.ResponseWriter, service string, status int, reason string) {
	h.Count(service, routing.OutcomeRefused)
	writeOutcome(w, routing.OutcomeRefused, status, reason)
}

// finish answers a request that no endpoint answered.
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
