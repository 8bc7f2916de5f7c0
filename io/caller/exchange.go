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

// maxStored is the size up to which an answer is kept for repeats.
const maxStored = 32 << 10

// copied is one copy of a request at an endpoint.
type copied struct {
	choice routing.Choice
	began  time.Time
	cancel context.CancelFunc
	answer *peer.Answer
	err    error
}

// exchange is the sending of copies of one request until one is answered.
type exchange struct {
	h        *Handler
	ctx      context.Context //nolint:containedctx // an exchange lasts as long as its request
	q        *request
	results  chan *copied
	inFlight map[*copied]bool
	// reserve is the answer of last resort: a server error of an endpoint.
	reserve *copied
	reason  error
}

// run sends a request and answers the caller.
func (h *Handler) run(ctx context.Context, w http.ResponseWriter, q *request, claim *Claim) {
	x := &exchange{
		h:        h,
		ctx:      ctx,
		q:        q,
		results:  make(chan *copied, 8),
		inFlight: map[*copied]bool{},
	}

	won := x.await()
	if won != nil {
		h.forward(w, q, won, claim)

		return
	}

	outcome := q.policy.Outcome()
	if claim != nil && outcome == routing.OutcomeRefused {
		claim.Release()
	}

	h.finish(w, q, outcome, x.status(outcome), x.reason.Error())
}

// Parking holds a request for which no endpoint is there right now, as when all
// connections were lost at once and are being opened again, or one whose copy
// was lost while the others are full.
const (
	parkTime  = 2 * time.Second
	parkCheck = 20 * time.Millisecond
)

// park waits for an endpoint and sends the request there.
func (x *exchange) park() bool {
	ctx, cancel := context.WithTimeout(x.ctx, parkTime)
	defer cancel()

	for {
		select {
		case <-ctx.Done():
			if err := x.ctx.Err(); err != nil {
				x.reason = err
			}

			return false
		case <-time.After(parkCheck):
		}

		if x.send() {
			return true
		}
	}
}

// await returns the copy whose answer is passed on, or nil.
func (x *exchange) await() *copied {
	// A full service sheds at once; one without connections may have them soon.
	if !x.send() && (!errors.Is(x.reason, routing.ErrNoEndpoint) || !x.park()) {
		return nil
	}

	hedge := time.NewTimer(x.h.Routes.HedgeDelay(x.q.service))
	defer hedge.Stop()

	for {
		select {
		case c := <-x.results:
			if x.ended(c) {
				x.abandon()

				return c
			}

			if len(x.inFlight) == 0 {
				return x.reserve
			}
		case <-hedge.C:
			if x.h.Routes.MayHedge(time.Now(), &x.q.policy) {
				x.send()
			}
		case <-x.ctx.Done():
			x.reason = x.ctx.Err()
			x.abandon()

			return x.reserve
		}
	}
}

// send sends one more copy.
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
	c := &copied{
		choice: choice,
		began:  now,
		cancel: cancel,
	}
	x.inFlight[c] = true

	head := x.q.headAt(now)

	go func() {
		c.answer, c.err = x.h.Call(ctx, choice.Endpoint, head, x.q.rest)
		x.results <- c
	}()

	return true
}

// headAt returns the request's head for a copy that is sent now. Copies share
// what they only read.
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

// ended takes in how a copy ended and returns whether its answer is passed on.
func (x *exchange) ended(c *copied) bool {
	now := time.Now()
	delete(x.inFlight, c)

	end := endOf(c)
	x.learn(now, c, end)

	if end == routing.AttemptAnswered {
		return true
	}

	again := x.h.Routes.AttemptEnded(now, &x.q.policy, end, len(x.inFlight) > 0)

	if end == routing.AttemptServerError {
		x.keep(c)
	} else {
		x.note(c)
		c.close()
	}

	if again && (x.q.policy.NeedsRetryDelay() || !x.send()) {
		x.park()
	}

	return false
}

func (x *exchange) keep(c *copied) {
	if x.reserve != nil {
		x.reserve.close()
	}

	x.reserve = c
}

// note remembers why a copy was not answered.
func (x *exchange) note(c *copied) {
	x.reason = c.err
	if c.err == nil {
		x.reason = refusal(c.answer.Head.GetReason())
	}
}

type refusal string

func (r refusal) Error() string { return string(r) }

func endOf(c *copied) routing.AttemptOutcome {
	switch {
	case errors.Is(c.err, peer.ErrNotSent):
		return routing.AttemptRefused
	case c.err != nil:
		return routing.AttemptLost
	case c.answer.Head.GetOutcome() == peer.OutcomeRefused:
		return routing.AttemptRefused
	case c.answer.Head.GetOutcome() != peer.OutcomeAnswered:
		return routing.AttemptLost
	}

	switch c.answer.Head.GetStatus() {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return routing.AttemptServerError
	default:
		return routing.AttemptAnswered
	}
}

// learn tells routing how the copy went.
func (x *exchange) learn(now time.Time, c *copied, end routing.AttemptOutcome) {
	verdict := routing.ResultSuccess

	switch {
	case end == routing.AttemptRefused && c.err == nil:
		verdict = routing.ResultRefused
	case end == routing.AttemptLost && x.ctx.Err() != nil:
		verdict = routing.ResultAbandoned
	case end != routing.AttemptAnswered || c.answer.Head.GetStatus() >= http.StatusInternalServerError:
		verdict = routing.ResultFailure
	}

	x.h.Routes.Done(now, c.choice, routing.Result{
		Kind:    verdict,
		Latency: now.Sub(c.began),
	})
}

// abandon gives up the copies that are still in flight.
func (x *exchange) abandon() {
	for c := range x.inFlight {
		x.q.policy.AttemptAbandoned()
		c.cancel()

		go x.drop()
	}
}

// drop waits for an abandoned copy's end.
func (x *exchange) drop() {
	c := <-x.results

	x.h.Routes.Done(time.Now(), c.choice, routing.Result{
		Kind:    routing.ResultAbandoned,
		Latency: time.Since(c.began),
	})
	c.close()
}

// close gives the stream back where the answer was read to its end; cancelling
// first would cut it.
func (c *copied) close() {
	if c.answer != nil {
		// Nothing can be done about a stream that fails to close.
		_ = c.answer.Body.Close()
	}

	c.cancel()
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

// forward passes an answer on. Where its body is cut short, so is the caller's.
func (h *Handler) forward(w http.ResponseWriter, q *request, c *copied, claim *Claim) {
	defer c.close()

	head := c.answer.Head
	stored := StoredAnswer{
		Status: int(head.GetStatus()),
		Header: forwarded(peer.DecodeHeaders(head.GetHeaders())),
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

	kept := &keeper{left: maxStored}

	if err := h.copyBody(w, c, kept, claim != nil); err != nil {
		h.Count(q.service, routing.OutcomeUnknown)
		h.Log.Warn("AnswerCut", zap.String("Request", q.id), zap.Error(err))
		panic(http.ErrAbortHandler)
	}

	h.Count(q.service, routing.OutcomeAnswered)

	if claim != nil && kept.left >= 0 {
		stored.Body = kept.data.Bytes()
		claim.Complete(stored)
	}
}

// copyBody passes a body on, and keeps it too where a repeat may ask for it.
func (h *Handler) copyBody(w io.Writer, c *copied, kept *keeper, keep bool) error {
	if keep {
		w = io.MultiWriter(w, kept)
	}

	head := c.answer.Head
	if !head.GetLast() {
		_, err := io.Copy(w, c.answer.Body)

		return err
	}

	// All of it came with the head.
	_, err := w.Write(head.GetData())
	if err == nil {
		_, err = io.Copy(io.Discard, c.answer.Body)
	}

	return err
}

// keeper keeps what is written up to a size.
type keeper struct {
	data bytes.Buffer
	left int
}

// Write implements io.Writer.
func (k *keeper) Write(p []byte) (int, error) {
	k.left -= len(p)
	if k.left >= 0 {
		k.data.Write(p)
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
	// A caller that is gone needs no answer.
	_, _ = w.Write(s.Body)
}

// fingerprint tells requests of one key apart, as far as their bodies are kept.
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
