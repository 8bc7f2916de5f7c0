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
	// permitValidity is how long a permit holds from when it was asked for.
	permitValidity = 2 * time.Second
	permitQueue    = 4096
)

// permitAsk is one agent's question whether an attempt may start.
type permitAsk struct {
	session *peer.Session
	request *peerpb.PermitRequest
	asked   time.Time
}

func (e *Entry) onPermitRequest(s *peer.Session, r *peerpb.PermitRequest) {
	ask := permitAsk{
		session: s,
		request: r,
		asked:   time.Now(),
	}

	select {
	case e.permits <- ask:
	default:
		e.answerPermit(ask, "too many permits are asked for")
	}
}

// answerPermits answers all that wait with one read of the table, which starts
// after the last of them asked.
func (e *Entry) answerPermits(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-e.permits:
			e.answerAll(ctx, append([]permitAsk{first}, e.waiting()...))
		}
	}
}

func (e *Entry) waiting() []permitAsk {
	var list []permitAsk

	for {
		select {
		case a := <-e.permits:
			list = append(list, a)
		default:
			return list
		}
	}
}

func (e *Entry) answerAll(ctx context.Context, asks []permitAsk) {
	var keys []table.Key

	seen := map[string]bool{}

	for _, a := range asks {
		name := a.session.Hello.GetDataCentre()
		if !seen[name] {
			seen[name] = true
			keys = append(keys, table.EpochKey(name), table.ResourceKey(outageOf(name)), table.ResourceKey(dataCentreOf(name)))
		}
	}

	rows, err := e.getAll(ctx, keys)
	if err != nil {
		e.log.Warn("PermitsDenied", zap.Int("Count", len(asks)), zap.Error(err))
	}

	for _, a := range asks {
		reason := "the table did not answer"
		if err == nil {
			reason = e.judgePermit(a, rows)
		}

		e.answerPermit(a, reason)
	}
}

// judgePermit returns why a permit is denied, or nothing.
func (e *Entry) judgePermit(a permitAsk, rows map[table.Key]table.Row) string {
	name := a.session.Hello.GetDataCentre()

	if _, out := rows[table.ResourceKey(outageOf(name))]; out {
		return "the data centre is out"
	}

	if _, declared := rows[table.ResourceKey(dataCentreOf(name))]; !declared {
		return "the data centre is not declared"
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	e.releaseLapsed(time.Now())

	epoch, held := e.scheduler.Holds(name)
	if !held || rows[table.EpochKey(name)].Version != epoch {
		return "this entry does not schedule the data centre"
	}

	_, reason := e.scheduler.Permit(a.session.Hello.GetWorker().GetName(), peer.DecodeAttemptID(a.request))

	return reason
}

func (e *Entry) answerPermit(a permitAsk, reason string) {
	answer := &peerpb.PermitAnswer{
		Sequence: a.request.GetSequence(),
		Granted:  reason == "",
		Reason:   reason,
		Validity: int64(permitValidity),
	}

	if reason != "" {
		e.log.Info("PermitDenied", zap.Stringer("Task", peer.DecodeAttemptID(a.request)), zap.String("Reason", reason))
	}

	// An agent without an answer starts nothing.
	_ = a.session.Send(&peerpb.Frame{Body: &peerpb.Frame_PermitAnswer{PermitAnswer: answer}})
}
