package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"trefoildeck/core/routing"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"

	"go.uber.org/zap"
)

// maxStoredBytes is the largest body of an answer that is stored for repeats of
// its request.
const maxStoredBytes = 32 << 10

// attempt is one sending of a request to an endpoint.
type attempt struct {
	choice routing.Choice
	began  time.Time
	cancel context.CancelFunc
	answer *peer.Answer
	err    error
}

// exchange is the handling of one request: attempts are made, in turn or hedged,
// until one is answered.
type exchange struct {
	h        *Handler
	ctx      context.Context //nolint:containedctx // an exchange lasts as long as its request
	q        *request
	results  chan *attempt
	inFlight map[*attempt]bool
	// fallback is an attempt that an endpoint answered with the status 502, 503 or
	// 504. Its answer is passed on if no other attempt is answered. It may be nil.
	fallback *attempt
	// reason is why the last attempt failed or none could be made.
	reason error
}

// run sends a request and answers the caller.
func (h *Handler) run(ctx context.Context, w http.ResponseWriter, q *request, claim *Claim) {
	x := &exchange{
		h:        h,
		ctx:      ctx,
		q:        q,
		results:  make(chan *attempt, 8),
		inFlight: map[*attempt]bool{},
	}

	answered := x.await()
	if answered != nil {
		h.forward(w, q, answered, claim)

		return
	}

	outcome := q.policy.Outcome()
	if claim != nil && outcome == routing.OutcomeRefused {
		claim.Release()
	}

	h.finish(w, q, outcome, x.status(outcome), x.reason.Error())
}

// Limits of the wait for an endpoint. A request waits if no endpoint of its service
// takes requests, for example when all connections were lost at once and are being
// reopened, or if one of its attempts was lost while all other endpoints are full.
const (
	maxWaitTime  = 2 * time.Second
	waitInterval = 20 * time.Millisecond
)

// waitAndSend waits up to maxWaitTime for an endpoint and sends it the request. It
// returns false if none was found.
func (x *exchange) waitAndSend() bool {
	ctx, cancel := context.WithTimeout(x.ctx, maxWaitTime)
	defer cancel()

	for {
		select {
		case <-ctx.Done():
			if err := x.ctx.Err(); err != nil {
				x.reason = err
			}

			return false
		case <-time.After(waitInterval):
		}

		if x.send() {
			return true
		}
	}
}

// await makes attempts until one is answered, no further one may be made or the
// request's context ends. It returns the attempt whose answer is passed on, or nil.
func (x *exchange) await() *attempt {
	// If all endpoints are full, the request is refused at once; if none takes
	// requests, one may soon be connected again.
	if !x.send() && (!errors.Is(x.reason, routing.ErrNoEndpoint) || !x.waitAndSend()) {
		return nil
	}

	hedge := time.NewTimer(x.h.Routes.HedgeDelay(x.q.service))
	defer hedge.Stop()

	for {
		select {
		case a := <-x.results:
			if x.attemptEnded(a) {
				x.abandonAttempts()

				return a
			}

			if len(x.inFlight) == 0 {
				return x.fallback
			}
		case <-hedge.C:
			if x.h.Routes.MayHedge(time.Now(), &x.q.policy) {
				x.send()
			}
		case <-x.ctx.Done():
			x.reason = x.ctx.Err()
			x.abandonAttempts()

			return x.fallback
		}
	}
}

// send makes one more attempt. It returns false if no endpoint can take it.
func (x *exchange) send() bool {
	now := time.Now()

	choice, err := x.h.Routes.Choose(now, x.q.service, x.q.policy.Excluded())
	if err != nil {
		if x.reason == nil {
			x.reason = err
		}

		return false
	}

	x.q.policy.AttemptSent(choice.Endpoint)

	ctx, cancel := context.WithCancel(x.ctx)
	a := &attempt{
		choice: choice,
		began:  now,
		cancel: cancel,
	}
	x.inFlight[a] = true

	head := x.q.headAt(now)

	go func() {
		a.answer, a.err = x.h.Call(ctx, choice.Endpoint, head, x.q.rest)
		x.results <- a
	}()

	return true
}

// headAt returns the head for an attempt that is sent now. All attempts share the
// headers and the data, which are only read.
func (q *request) headAt(now time.Time) *peerpb.RequestHead {
	return &peerpb.RequestHead{
		ID:            q.head.GetID(),
		Service:       q.head.GetService(),
		Method:        q.head.GetMethod(),
		Target:        q.head.GetTarget(),
		Headers:       q.head.GetHeaders(),
		ContentLength: q.head.GetContentLength(),
		Data:          q.head.GetData(),
		Last:          q.head.GetLast(),
		Timeout:       int64(q.policy.Deadline.Sub(now)),
	}
}

// attemptEnded evaluates a finished attempt and makes another one where the policy
// allows it. It reports whether the attempt's answer is to be passed on.
func (x *exchange) attemptEnded(a *attempt) bool {
	now := time.Now()
	delete(x.inFlight, a)

	outcome := attemptOutcome(a)
	x.reportResult(now, a, outcome)

	if outcome == routing.AttemptAnswered {
		return true
	}

	again := x.h.Routes.AttemptEnded(now, &x.q.policy, outcome, len(x.inFlight) > 0)

	if outcome == routing.AttemptServerError {
		x.keepFallback(a)
	} else {
		x.recordReason(a)
		a.close()
	}

	if again && (x.q.policy.NeedsRetryDelay() || !x.send()) {
		x.waitAndSend()
	}

	return false
}

func (x *exchange) keepFallback(a *attempt) {
	if x.fallback != nil {
		x.fallback.close()
	}

	x.fallback = a
}

// recordReason records why an attempt was not answered.
func (x *exchange) recordReason(a *attempt) {
	x.reason = a.err
	if a.err == nil {
		x.reason = refusal(a.answer.Head.GetReason())
	}
}

type refusal string

func (r refusal) Error() string { return string(r) }

func attemptOutcome(a *attempt) routing.AttemptOutcome {
	switch {
	case errors.Is(a.err, peer.ErrNotSent):
		return routing.AttemptRefused
	case a.err != nil:
		return routing.AttemptLost
	case a.answer.Head.GetOutcome() == peer.OutcomeRefused:
		return routing.AttemptRefused
	case a.answer.Head.GetOutcome() != peer.OutcomeAnswered:
		return routing.AttemptLost
	}

	switch a.answer.Head.GetStatus() {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return routing.AttemptServerError
	default:
		return routing.AttemptAnswered
	}
}

// reportResult reports an attempt's result and latency to the routing table.
func (x *exchange) reportResult(now time.Time, a *attempt, outcome routing.AttemptOutcome) {
	kind := routing.ResultSuccess

	switch {
	case outcome == routing.AttemptRefused && a.err == nil:
		kind = routing.ResultRefused
	case outcome == routing.AttemptLost && x.ctx.Err() != nil:
		kind = routing.ResultAbandoned
	case outcome != routing.AttemptAnswered || a.answer.Head.GetStatus() >= http.StatusInternalServerError:
		kind = routing.ResultFailure
	}

	x.h.Routes.Done(now, a.choice, routing.Result{
		Kind:    kind,
		Latency: now.Sub(a.began),
	})
}

// abandonAttempts cancels the attempts that are still in flight.
func (x *exchange) abandonAttempts() {
	for a := range x.inFlight {
		x.q.policy.AttemptAbandoned()
		a.cancel()

		go x.discardResult()
	}
}

// discardResult waits for an abandoned attempt to end and closes it.
func (x *exchange) discardResult() {
	a := <-x.results

	x.h.Routes.Done(time.Now(), a.choice, routing.Result{
		Kind:    routing.ResultAbandoned,
		Latency: time.Since(a.began),
	})
	a.close()
}

// close closes the answer before it cancels the attempt: a stream whose answer was
// read to its end can be reused, and cancelling first would abort it.
func (a *attempt) close() {
	if a.answer != nil {
		// A stream that fails to close is of no further use.
		_ = a.answer.Body.Close()
	}

	a.cancel()
}

// status is the HTTP status of a request that was not answered.
func (x *exchange) status(o routing.Outcome) int {
	switch {
	case errors.Is(x.reason, context.DeadlineExceeded) || x.q.policy.OutOfTime(time.Now()):
		return http.StatusGatewayTimeout
	case o == routing.OutcomeUnknown:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// forward passes an answer on to the caller. If the answer's body is truncated,
// the caller's connection is aborted, so that the caller notices.
func (h *Handler) forward(w http.ResponseWriter, q *request, a *attempt, claim *Claim) {
	defer a.close()

	head := a.answer.Head
	stored := StoredAnswer{
		Status: int(head.GetStatus()),
		Header: endToEndHeaders(peer.DecodeHeaders(head.GetHeaders())),
	}

	for name, values := range stored.Header {
		w.Header()[name] = values
	}

	w.Header().Set(HeaderOutcome, string(routing.OutcomeAnswered))
	w.Header().Set(HeaderRequestID, q.id)

	if head.GetContentLength() >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(head.GetContentLength(), 10))
	}

	w.WriteHeader(stored.Status)

	kept := &boundedBuffer{left: maxStoredBytes}

	if err := h.copyBody(w, a, kept, claim != nil); err != nil {
		h.Count(q.service, routing.OutcomeUnknown)
		h.Log.Warn("AnswerTruncated", zap.String("Request", q.id), zap.Error(err))
		panic(http.ErrAbortHandler)
	}

	h.Count(q.service, routing.OutcomeAnswered)

	if claim != nil && kept.left >= 0 {
		stored.Body = kept.data.Bytes()
		claim.Complete(stored)
	}
}

// copyBody copies the answer's body to w and, if keep is set, also to kept.
func (h *Handler) copyBody(w io.Writer, a *attempt, kept *boundedBuffer, keep bool) error {
	if keep {
		w = io.MultiWriter(w, kept)
	}

	head := a.answer.Head
	if !head.GetLast() {
		_, err := io.Copy(w, a.answer.Body)

		return err
	}

	// The whole body came with the head.
	_, err := w.Write(head.GetData())
	if err == nil {
		_, err = io.Copy(io.Discard, a.answer.Body)
	}

	return err
}

// boundedBuffer buffers what is written to it up to a size.
type boundedBuffer struct {
	data bytes.Buffer
	// left is how many bytes may still be buffered; negative once more were
	// written, and then data is incomplete.
	left int
}

// Write implements io.Writer.
func (b *boundedBuffer) Write(p []byte) (int, error) {
	b.left -= len(p)
	if b.left >= 0 {
		b.data.Write(p)
	}

	return len(p), nil
}

func (h *Handler) replay(w http.ResponseWriter, q *request, s *StoredAnswer) {
	for name, values := range s.Header {
		w.Header()[name] = values
	}

	w.Header().Set(HeaderOutcome, string(routing.OutcomeAnswered))
	w.Header().Set(HeaderReplayed, "true")
	w.Header().Set(HeaderRequestID, q.id)
	w.WriteHeader(s.Status)
	h.Count(q.service, routing.OutcomeAnswered)
	// A write fails only if the caller has disconnected.
	_, _ = w.Write(s.Body)
}

// fingerprint is a hash by which requests with the same idempotency key are told
// apart. It covers the body, which must have been read as a whole.
func fingerprint(q *request) string {
	sum := sha256.New()
	for _, part := range [][]byte{[]byte(q.head.GetMethod()), []byte(q.head.GetTarget()), q.head.GetData()} {
		// A hash's Write never fails.
		_, _ = sum.Write([]byte(strconv.Itoa(len(part))))
		_, _ = sum.Write([]byte{0})
		_, _ = sum.Write(part)
	}

	return hex.EncodeToString(sum.Sum(nil))
}
