package entry

import (
	"context"
	"time"

	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/io/table"

	"go.uber.org/zap"
)

const (
	// permitValidity is how long a permit is valid from when it was requested.
	permitValidity   = 2 * time.Second
	maxQueuedPermits = 4096
)

// permitRequest is an agent's request to start an attempt of a task.
type permitRequest struct {
	session *peer.Session
	message *peerpb.PermitRequest
}

func (e *Entry) onPermitRequest(s *peer.Session, r *peerpb.PermitRequest) {
	p := permitRequest{
		session: s,
		message: r,
	}

	select {
	case e.permitQueue <- p:
	default:
		e.answerPermit(p, "too many permits are asked for")
	}
}

// servePermits answers all queued requests with one read of the table. The read
// starts after the last of them was received, so that each is answered from rows
// that are newer than the request.
func (e *Entry) servePermits(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-e.permitQueue:
			e.answerPermits(ctx, append([]permitRequest{first}, e.queuedPermits()...))
		}
	}
}

// queuedPermits empties the queue and returns its requests.
func (e *Entry) queuedPermits() []permitRequest {
	var list []permitRequest

	for {
		select {
		case p := <-e.permitQueue:
			list = append(list, p)
		default:
			return list
		}
	}
}

func (e *Entry) answerPermits(ctx context.Context, requests []permitRequest) {
	var keys []table.Key

	seen := map[string]bool{}

	for _, p := range requests {
		name := p.session.Hello.GetDataCentre()
		if !seen[name] {
			seen[name] = true
			keys = append(keys, table.EpochKey(name), table.ResourceKey(outageID(name)), table.ResourceKey(dataCentreID(name)))
		}
	}

	rows, err := e.getRows(ctx, keys)
	if err != nil {
		e.log.Warn("PermitsDenied", zap.Int("Count", len(requests)), zap.Error(err))
	}

	for _, p := range requests {
		reason := "the table did not answer"
		if err == nil {
			reason = e.checkPermit(p, rows)
		}

		e.answerPermit(p, reason)
	}
}

// checkPermit returns why a permit is denied, or an empty string if it is granted.
func (e *Entry) checkPermit(p permitRequest, rows map[table.Key]table.Row) string {
	name := p.session.Hello.GetDataCentre()

	if _, out := rows[table.ResourceKey(outageID(name))]; out {
		return "the data centre is out"
	}

	if _, declared := rows[table.ResourceKey(dataCentreID(name))]; !declared {
		return "the data centre is not declared"
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	e.releaseLapsedShards(time.Now())

	epoch, held := e.scheduler.Holds(name)
	if !held || rows[table.EpochKey(name)].Version != epoch {
		return "this entry does not schedule the data centre"
	}

	_, reason := e.scheduler.Permit(time.Now(), p.session.Hello.GetWorker().GetName(), peer.DecodeAttemptID(p.message))

	return reason
}

func (e *Entry) answerPermit(p permitRequest, reason string) {
	answer := &peerpb.PermitAnswer{
		Sequence: p.message.GetSequence(),
		Granted:  reason == "",
		Reason:   reason,
		Validity: int64(permitValidity),
	}

	if reason != "" {
		e.log.Info("PermitDenied", zap.Stringer("Task", peer.DecodeAttemptID(p.message)), zap.String("Reason", reason))
	}

	// If the answer is lost, the agent does not start the attempt.
	_ = p.session.Send(&peerpb.Frame{Body: &peerpb.Frame_PermitAnswer{PermitAnswer: answer}})
}
