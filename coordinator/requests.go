package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"trefoildeck/core/config"
	"trefoildeck/core/job"
	"trefoildeck/internal/jsonlog"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/io/rows"
	"trefoildeck/platform"

	"go.uber.org/zap"
)

const (
	jobTable      = "job"
	progressTable = "progress"
	// cancelSuffix is appended to a job's ID to form the key of its cancellation.
	cancelSuffix = "/cancel"
	// jobKeysEnd is appended to a job's ID to form the exclusive end of the range of
	// its keys; "0" is the byte after "/".
	jobKeysEnd = "0"
	// headKeyEnd is appended to a job's ID to form the exclusive end of the range of the first
	// row of its progress, which has its state.
	headKeyEnd = "/"
	// jobParts is the number of parts that jobs are spread over. A part applies its
	// transactions one by one: 200 a second, or 2 a second when the store is slow.
	jobParts = 64

	// retryTimeout limits the attempts to reach the store before a request is
	// refused: a refusal counts as late after a quarter of the latency objective.
	retryTimeout = 300 * time.Millisecond
	retryPause   = 60 * time.Millisecond
	// queryTimeout limits a query to the leader; network links have up to 20 ms of latency.
	queryTimeout = 500 * time.Millisecond
)

// partName returns the name of the n-th part for jobs.
func partName(n int) string { return "jobs-" + strconv.Itoa(n) }

// partOf returns the part that holds the rows of a job, by the last byte of its ID.
func partOf(id string) string {
	n, err := strconv.ParseUint(id[len(id)-2:], 16, 8)
	if err != nil {
		// Callers validate IDs before, so this part is only a default.
		n = 0
	}

	return partName(int(n % jobParts))
}

// accept writes a job to the store, on the condition that its row doesn't exist or has a refusal. A
// repeated submission to any process therefore finds the first one and succeeds. The error is a
// *platform.Refusal if the job was refused for the load.
func (c *Coordinator) accept(ctx context.Context, q config.Queue, id string, s job.Spec) error {
	known, settled := c.storeVersion.Load(), c.settledVersion()
	now, _ := c.storeNow()
	record := job.Record{
		Queue:         q.Name,
		Service:       q.Service,
		Priority:      q.Priority,
		MaxAttempts:   q.MaxAttempts,
		Stretch:       q.Stretch,
		TargetLatency: q.TargetLatency,
		Accepted:      now,
		Spec:          s,
	}

	value, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode job: %w", errors.Join(platform.ErrRefused, err))
	}

	var repeated bool

	verdict := c.judge(q, &record)

	if len(value) > c.settings.Store.RowLimit() {
		err = rows.ErrInvalid
	} else {
		repeated, err = c.storeJob(ctx, submission{
			id:      id,
			value:   value,
			known:   known,
			settled: settled,
			refusal: refusalOf(verdict),
		})
	}

	if errors.Is(err, rows.ErrInvalid) {
		repeated, err = c.checkUnstorable(ctx, id, len(value))
	}

	if r := (*platform.Refusal)(nil); errors.As(err, &r) {
		c.logRefusal(r, id, q.Name, verdict)

		return err
	}

	if err == nil && !repeated {
		c.admission.add(c.now(), &record, q.Host)
	}

	c.log.Info("JobSubmitted", zap.String("Job", id), zap.String("Queue", q.Name), zap.Int("Steps", len(s.Steps)),
		zap.Int64("Configuration", c.configuration.Load().Version), zap.Bool("Repeated", repeated),
		zap.Duration("StoreLostFor", c.storeOutage()), jsonlog.Error(err))

	return err
}

// checkUnstorable returns the error for a job whose row of a size, in bytes, the store never
// accepts. It returns true and no error if the job is stored: at the time of its first submission, its
// row may have been shorter.
func (c *Coordinator) checkUnstorable(ctx context.Context, id string, size int) (bool, error) {
	known, _, err := c.readJob(ctx, id)
	if err != nil {
		return false, fmt.Errorf("look for the job: %w", errors.Join(platform.ErrRefused, err))
	}

	if known {
		return true, nil
	}

	c.meter.Count("jobs_unstorable_total")

	return false, fmt.Errorf("its row has %d bytes, at most %d: %w", size, c.settings.Store.RowLimit(), platform.ErrUnstorable)
}

// commit writes a row by an idempotent transaction, which it retries, and notifies the
// leader. The error is rows.ErrConflict, rows.ErrInvalid, platform.ErrUnknown if any
// attempt may have been applied, or platform.ErrRefused if none was sent or all were
// refused. A refusal comes early. If an attempt is in doubt, commit goes on until ctx is
// done, also while the store is out of reach: the row may be written, and a caller that
// isn't told so can't safely submit the job under another ID.
func (c *Coordinator) commit(ctx context.Context, t rows.Transaction, row rows.Row) error {
	t.Set = []rows.Row{row}
	began := time.Now()
	inDoubt := false

	for {
		err := rows.ErrRefused

		if c.storeReachable() {
			var stamp rows.Stamp

			stamp, err = c.store.Commit(ctx, t)
			row.Version = stamp.Version
		} else if !inDoubt {
			return fmt.Errorf("the store is out of reach: %w", platform.ErrRefused)
		}

		switch {
		case err == nil:
			c.notifyLeader(row)

			return nil
		case errors.Is(err, rows.ErrConflict):
			return err
		case errors.Is(err, rows.ErrInvalid):
			// An earlier attempt, if there was one, was rejected as well.
			return fmt.Errorf("store: %w", err)
		case errors.Is(err, rows.ErrUnknown) || !errors.Is(err, rows.ErrRefused):
			inDoubt = true
		}

		switch {
		case inDoubt && ctx.Err() != nil:
			return fmt.Errorf("store: %w", platform.InDoubt(err))
		case !inDoubt && (ctx.Err() != nil || time.Since(began) > retryTimeout):
			return fmt.Errorf("store: %w", errors.Join(platform.ErrRefused, err))
		}

		sleep(ctx, retryPause)
	}
}

// notifyLeader sends a written row to the leader. The leader's feed has it too, but may
// be slow or unavailable.
func (c *Coordinator) notifyLeader(row rows.Row) {
	c.mu.Lock()
	l, s := c.localLeader, c.remoteLeader.Session
	c.mu.Unlock()

	switch {
	case l != nil:
		l.applyJobRow(row)
	case s != nil:
		if err := s.Send(peer.EncodeWrittenRow(row)); err != nil {
			c.log.Warn("LeaderUnreachable", jsonlog.Error(err))
		}
	}
}

// readJob reads from the store whether a job exists and whether it is cancelled. A job that was
// refused doesn't.
func (c *Coordinator) readJob(ctx context.Context, id string) (known, cancelled bool, err error) {
	p, err := c.readJobRows(ctx, id)
	if err != nil {
		return false, false, err
	}

	for _, r := range p.Rows {
		known = known || (r.Key == id && !isRefusal(r.Value))
		cancelled = cancelled || r.Key == id+cancelSuffix
	}

	return known, cancelled, nil
}

// readJobRows reads the rows of a job, or its refusal, from the store. Its errors are those of rows.Store:
// a read that failed doesn't tell what became of a request.
func (c *Coordinator) readJobRows(ctx context.Context, id string) (rows.Page, error) {
	if !c.storeReachable() {
		return rows.Page{}, fmt.Errorf("the store is out of reach: %w", rows.ErrRefused)
	}

	p, err := c.store.Range(ctx, jobTable, partOf(id), id, id+jobKeysEnd)
	if err != nil {
		return rows.Page{}, fmt.Errorf("read job: %w", err)
	}

	return p, nil
}

// state returns a job's state from the leader, or from the store if the leader doesn't
// answer or doesn't know the job.
func (c *Coordinator) state(ctx context.Context, id string) (job.State, error) {
	if a := c.queryLeader(ctx, &peerpb.Query{Job: id}); a.GetKnown() {
		return job.State(a.GetState()), nil
	}

	known, cancelled, err := c.readJob(ctx, id)

	switch {
	case err != nil:
		return "", fmt.Errorf("look for the job: %w", errors.Join(platform.ErrRefused, err))
	case !known:
		return "", platform.ErrNoJob
	}

	p, err := c.store.Range(ctx, progressTable, leadPart, id, id+headKeyEnd)
	if err != nil {
		return "", fmt.Errorf("read progress: %w", errors.Join(platform.ErrRefused, err))
	}

	state := job.Queued

	if len(p.Rows) > 0 {
		var stored struct{ State job.State }
		if err := json.Unmarshal(p.Rows[0].Value, &stored); err != nil {
			return "", fmt.Errorf("decode progress: %w", err)
		}

		if state = job.Running; stored.State.Final() {
			return stored.State, nil
		}
	}

	if cancelled {
		state = job.Cancelled
	}

	return state, nil
}

// pending returns the number of pending jobs of a queue, which only the leader knows.
func (c *Coordinator) pending(ctx context.Context, queue string) (int, error) {
	a := c.queryLeader(ctx, &peerpb.Query{Queue: queue})
	if !a.GetKnown() {
		return 0, fmt.Errorf("no leader answers: %w", platform.ErrRefused)
	}

	return int(a.GetCount()), nil
}

// queryLeader sends a query to the leader, which may be this process. It returns nil
// if there is no answer within queryTimeout.
func (c *Coordinator) queryLeader(ctx context.Context, q *peerpb.Query) *peerpb.QueryAnswer {
	c.mu.Lock()

	if l := c.localLeader; l != nil {
		c.mu.Unlock()

		return l.answerQuery(q)
	}

	if c.remoteLeader.Session == nil {
		c.mu.Unlock()

		return nil
	}

	c.lastNumber++
	q.Number = c.lastNumber
	answer := make(chan *peerpb.QueryAnswer, 1)
	c.queries[q.GetNumber()] = answer
	err := c.remoteLeader.Session.Send(&peerpb.Frame{Body: &peerpb.Frame_Query{Query: q}})
	c.mu.Unlock()

	if err != nil {
		c.log.Warn("LeaderUnreachable", jsonlog.Error(err))
	}

	timer := time.NewTimer(queryTimeout)
	defer timer.Stop()

	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
	case <-timer.C:
	}

	c.mu.Lock()
	delete(c.queries, q.GetNumber())
	c.mu.Unlock()

	return nil
}
