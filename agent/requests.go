package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"trefoildeck/core/admission"
	"trefoildeck/io/endpoint"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"

	"go.uber.org/zap"
)

// serveRequest serves one request that an entry sends. It refuses a request for
// another service and one that gets no slot in time.
func (a *Agent) serveRequest(ctx context.Context, r *peer.RequestStream) {
	head, err := r.ReadHead()
	if err != nil {
		a.log.Warn("RequestUnreadable", zap.Error(err))

		return
	}

	if a.endpoint == nil || head.GetService() != a.settings.Endpoint.Service {
		a.refuse(r, head, "no endpoint of the service here")

		return
	}

	ctx, cancel := context.WithTimeout(ctx, time.Duration(head.GetTimeout()))
	defer cancel()

	if err := a.acquireSlot(ctx); err != nil {
		a.refuse(r, head, err.Error())

		return
	}

	defer func() { a.limiter.Release(time.Now()) }()

	a.dispatch(ctx, cancel, r, head)
}

// acquireSlot waits for a slot of the endpoint. On success the caller must release
// the slot.
func (a *Agent) acquireSlot(ctx context.Context) error {
	deadline, _ := ctx.Deadline()

	ticket, err := a.limiter.Acquire(time.Now(), deadline)
	if err != nil {
		return err
	}

	select {
	case <-ticket.Ready:
		return nil
	default:
	}

	timer := time.NewTimer(time.Until(ticket.WaitDeadline()))
	defer timer.Stop()

	select {
	case <-ticket.Ready:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}

	if a.limiter.Abandon(ticket) {
		return admission.ErrDeadlinePassed
	}

	return nil
}

func (a *Agent) refuse(r *peer.RequestStream, head *peerpb.RequestHead, reason string) {
	a.metrics.refused.Inc()
	a.answer(r, &peerpb.AnswerHead{
		ID:      head.GetID(),
		Outcome: peer.OutcomeRefused,
		Reason:  reason,
		Last:    true,
	})
}

// answer sends the head of an answer with the current load. A failed send is only
// logged, since the entry has disconnected.
func (a *Agent) answer(r *peer.RequestStream, head *peerpb.AnswerHead) {
	load := a.limiter.Load()
	head.Load = &peerpb.Load{
		InUse:   int32(load.InUse),
		Queued:  int32(load.Queued),
		Leaving: load.Leaving,
	}

	if err := r.Answer(head); err != nil {
		a.log.Debug("AnswerNotSent", zap.String("Request", head.GetID()), zap.Error(err))
	}
}

// dispatch sends an admitted request to the endpoint and forwards the answer. The
// request is cancelled when the entry closes the stream.
func (a *Agent) dispatch(ctx context.Context, cancel context.CancelFunc, r *peer.RequestStream, head *peerpb.RequestHead) {
	began := time.Now()
	body := &eofNotifier{
		ReadCloser: r.Body(),
		onEOF:      func() { r.WatchCancel(cancel) },
		atEOF:      head.GetLast(),
	}

	if head.GetLast() {
		r.WatchCancel(cancel)
	}

	res, err := a.endpoint.Do(ctx, endpoint.Request{
		Method:        head.GetMethod(),
		Target:        head.GetTarget(),
		Header:        endpointHeader(head),
		ContentLength: head.GetContentLength(),
		Body:          body,
	})
	if err != nil {
		a.answerFailure(r, head, err)

		return
	}
	defer res.Body.Close()

	a.metrics.answered.Inc()
	a.latency.Add(time.Now(), time.Since(began))
	a.forwardAnswer(r, head, res)
}

func (a *Agent) answerFailure(r *peer.RequestStream, head *peerpb.RequestHead, err error) {
	if errors.Is(err, endpoint.ErrNotRun) {
		a.refuse(r, head, "the endpoint could not be reached")

		return
	}

	a.metrics.unknown.Inc()
	a.answer(r, &peerpb.AnswerHead{
		ID:      head.GetID(),
		Outcome: peer.OutcomeUnknown,
		Reason:  "the endpoint did not answer",
		Last:    true,
	})
}

// forwardAnswer passes an endpoint's answer on to the entry. If the endpoint cuts
// the body short, the stream ends without a Last chunk, so that the entry sees it.
func (a *Agent) forwardAnswer(r *peer.RequestStream, head *peerpb.RequestHead, res *http.Response) {
	out := &peerpb.AnswerHead{
		ID:            head.GetID(),
		Outcome:       peer.OutcomeAnswered,
		Status:        int32(res.StatusCode),
		ContentLength: res.ContentLength,
		Headers:       peer.EncodeHeaders(res.Header),
	}

	size := int64(peer.ChunkSize)
	if res.ContentLength >= 0 {
		// With one byte more than the body, the first Fill also sees its end.
		size = min(size, res.ContentLength+1)
	}

	first := make([]byte, size)

	n, last, err := peer.Fill(res.Body, first)
	if err != nil {
		a.log.Warn("AnswerTruncated", zap.String("Request", head.GetID()), zap.Error(err))

		return
	}

	out.Data = first[:n]
	out.Last = last

	a.answer(r, out)

	if out.Last {
		return
	}

	if err := r.SendBody(res.Body); err != nil {
		a.log.Warn("AnswerTruncated", zap.String("Request", head.GetID()), zap.Error(err))
	}
}

func endpointHeader(head *peerpb.RequestHead) http.Header {
	h := peer.DecodeHeaders(head.GetHeaders())
	h.Set("Trefoildeck-Request-Id", head.GetID())

	return h
}

// eofNotifier is a request body that calls onEOF once when it is read to its end.
type eofNotifier struct {
	io.ReadCloser
	onEOF func()
	atEOF bool
}

// Read implements io.Reader.
func (e *eofNotifier) Read(p []byte) (int, error) {
	n, err := e.ReadCloser.Read(p)
	if err == io.EOF && !e.atEOF {
		e.atEOF = true
		e.onEOF()
	}

	return n, err
}
