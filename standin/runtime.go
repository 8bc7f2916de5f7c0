package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"trefoildeck/core/placement"
	"trefoildeck/io/worker"

	"github.com/google/uuid"
)

// FailCommand is the command of a task that fails as soon as it starts.
const FailCommand = "fail"

// PhaseForgotten marks an attempt that had finished when its instance was
// replaced, before its end was recorded: the scheduler can't learn of that end.
const PhaseForgotten placement.Phase = "Forgotten"

// PhaseUnheard marks an attempt that had finished, and whose status was first read
// after the worker's lease had run out: the scheduler could not learn of that end while
// it had to take the attempt for one that may run.
const PhaseUnheard placement.Phase = "Unheard"

// Event is a change of phase of an attempt on a runtime.
type Event struct {
	Time     time.Time
	Worker   string
	ID       placement.AttemptID
	Phase    placement.Phase
	Progress float64
	// From is the progress of the checkpoint that the attempt resumed from.
	From float64
}

// Runtime is a worker's runtime. Its tasks are simulated: their progress is
// computed from the elapsed time on each call, and nothing runs between calls.
type Runtime struct {
	mu       sync.Mutex
	name     string
	bootID   string
	bootedAt time.Time
	lease    time.Duration
	failAll  bool
	attempts map[placement.AttemptID]*attempt
	// stopped has the attempts that must not start in this incarnation.
	stopped map[placement.AttemptID]bool
	events  []Event
}

type attempt struct {
	start    worker.Start
	phase    placement.Phase
	reason   string
	from     float64
	progress float64
	// percent is the pace of the attempt, 100 if it isn't throttled.
	percent int64
	// updated is the uptime of the runtime at which progress was computed.
	updated time.Duration
	// endListed is set once a status has shown the end of the attempt.
	endListed bool
}

// checkpoint is the content of a checkpoint, encoded as JSON.
type checkpoint struct {
	Progress float64
}

// NewRuntime returns the runtime of a worker that has just booted, without a
// lease.
func NewRuntime(name string) *Runtime {
	r := &Runtime{name: name}
	r.reset()

	return r
}

// Reboot ends the incarnation and loses all state but the recorded events, as the
// replacement of an instance does.
func (r *Runtime) Reboot() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.advance()

	for id, a := range r.attempts {
		switch a.phase {
		case placement.PhaseRunning:
			r.end(id, a, placement.PhaseStopped, "the instance was replaced")
		case placement.PhaseFinished:
			r.record(id, a, PhaseForgotten, time.Now())
		default:
		}
	}

	r.reset()
}

// SetFailAll sets whether later attempts fail as soon as they start.
func (r *Runtime) SetFailAll(fail bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.failAll = fail
}

// Events returns a copy of the events so far, of all incarnations.
func (r *Runtime) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.advance()

	return append([]Event(nil), r.events...)
}

func (r *Runtime) reset() {
	r.bootID = uuid.NewString()
	r.bootedAt = time.Now()
	r.lease = 0
	r.attempts = map[placement.AttemptID]*attempt{}
	r.stopped = map[placement.AttemptID]bool{}
}

func compareAttempts(a, b placement.AttemptID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
}

func (r *Runtime) uptime() time.Duration {
	return time.Since(r.bootedAt)
}

// advance updates the progress of every running attempt up to now, or up to the
// end of the lease, and ends those that finished or whose lease lapsed.
func (r *Runtime) advance() {
	now := r.uptime()

	for _, id := range slices.SortedFunc(maps.Keys(r.attempts), compareAttempts) {
		a := r.attempts[id]
		if a.phase != placement.PhaseRunning {
			continue
		}

		until := min(now, r.lease)
		if until > a.updated {
			a.progress += float64(until-a.updated) / float64(a.start.RunTime) * float64(a.percent) / 100
			a.updated = until
		}

		switch {
		case a.progress >= 1:
			a.progress = 1
			r.end(id, a, placement.PhaseFinished, "")
		case now >= r.lease:
			r.end(id, a, placement.PhaseLapsed, "the lease lapsed")
		}
	}
}

func (r *Runtime) end(id placement.AttemptID, a *attempt, p placement.Phase, reason string) {
	a.phase = p
	a.reason = reason
	r.record(id, a, p, r.bootedAt.Add(a.updated))
}

func (r *Runtime) record(id placement.AttemptID, a *attempt, p placement.Phase, at time.Time) {
	r.events = append(r.events, Event{
		Time:     at,
		Worker:   r.name,
		ID:       id,
		Phase:    p,
		Progress: a.progress,
		From:     a.from,
	})
}

// refusal is the error of a call that was refused and had no effect. Its text is
// the body of the HTTP response.
type refusal struct {
	reason string
}

func (r refusal) Error() string { return r.reason }

// Unwrap makes a refusal match worker.ErrRefused.
func (r refusal) Unwrap() error { return worker.ErrRefused }

// Client returns an in-process client of the runtime, without a network.
func (r *Runtime) Client() *worker.Client {
	return &worker.Client{
		Status:     r.status,
		Start:      r.start,
		Renew:      r.renew,
		Throttle:   r.throttle,
		Checkpoint: r.checkpoint,
		Stop:       r.stop,
	}
}

func (r *Runtime) status(context.Context) (worker.Status, error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.advance()

	s := worker.Status{
		BootID: r.bootID,
		Uptime: r.uptime(),
	}

	for _, id := range slices.SortedFunc(maps.Keys(r.attempts), compareAttempts) {
		a := r.attempts[id]
		s.Tasks = append(s.Tasks, worker.TaskStatus{
			ID:             id,
			Phase:          a.phase,
			Reason:         a.reason,
			Progress:       a.progress,
			UsedMilliCores: a.start.Size.MilliCores * a.percent / 100,
			UsedMemoryMB:   a.start.Size.MemoryMB,
		})

		if a.phase == placement.PhaseFinished && !a.endListed && s.Uptime >= r.lease {
			r.record(id, a, PhaseUnheard, time.Now())
		}

		a.endListed = a.phase != placement.PhaseRunning
	}

	return s, nil
}

func (r *Runtime) start(_ context.Context, id placement.AttemptID, s worker.Start) error {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.advance()

	if _, ok := r.attempts[id]; ok && !r.stopped[id] {
		return nil
	}

	now := r.uptime()

	switch {
	case s.BootID != r.bootID:
		return refusal{reason: "another boot"}
	case r.stopped[id]:
		return refusal{reason: "the attempt was stopped"}
	case now > s.StartBefore:
		return refusal{reason: "the permit is stale"}
	case now > s.LeaseUntil:
		return refusal{reason: "the lease has lapsed"}
	}

	a := &attempt{
		start:   s,
		phase:   placement.PhaseRunning,
		percent: 100,
		updated: now,
	}

	if len(s.Checkpoint) > 0 {
		var c checkpoint
		if err := json.Unmarshal(s.Checkpoint, &c); err != nil {
			return fmt.Errorf("read checkpoint: %w", err)
		}

		a.from = c.Progress
		a.progress = c.Progress
	}

	r.lease = max(r.lease, s.LeaseUntil)
	r.attempts[id] = a
	r.record(id, a, a.phase, time.Now())

	if s.Command == FailCommand || r.failAll {
		r.end(id, a, placement.PhaseFailed, "exit status 1")
	}

	return nil
}

func (r *Runtime) renew(_ context.Context, l worker.Lease) error {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.advance()

	if l.BootID != r.bootID {
		return refusal{reason: "another boot"}
	}

	r.lease = max(r.lease, l.Until)

	return nil
}

func (r *Runtime) throttle(_ context.Context, id placement.AttemptID, t worker.Throttle) error {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.advance()

	a, ok := r.attempts[id]
	if !ok || t.BootID != r.bootID {
		return refusal{reason: "no such attempt"}
	}

	a.percent = t.Percent

	return nil
}

func (r *Runtime) checkpoint(_ context.Context, id placement.AttemptID) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.advance()

	a, ok := r.attempts[id]
	if !ok {
		return nil, refusal{reason: "no such attempt"}
	}

	a.percent = 0

	data, err := json.Marshal(checkpoint{Progress: a.progress})
	if err != nil {
		return nil, fmt.Errorf("encode checkpoint: %w", err)
	}

	return data, nil
}

func (r *Runtime) stop(_ context.Context, id placement.AttemptID) error {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.advance()
	r.stopped[id] = true

	a, ok := r.attempts[id]

	switch {
	case !ok:
		// It never started. It is listed as ended until the end is acknowledged by
		// another stop.
		r.attempts[id] = &attempt{
			phase:  placement.PhaseStopped,
			reason: "stopped before it started",
		}
	case a.phase == placement.PhaseRunning:
		a.updated = r.uptime()
		r.end(id, a, placement.PhaseStopped, "stopped")
	default:
		delete(r.attempts, id)
	}

	return nil
}

// ServeHTTP implements http.Handler for the requests of package io/worker.
func (r *Runtime) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	data, err := r.serve(req)

	switch e := err.(type) {
	case nil:
		_, _ = w.Write(data)
	case refusal:
		http.Error(w, e.reason, http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (r *Runtime) serve(req *http.Request) ([]byte, error) {
	ctx := req.Context()

	switch req.URL.Path {
	case "/worker":
		s, err := r.status(ctx)
		if err != nil {
			return nil, err
		}

		return json.Marshal(s)
	case "/lease":
		var l worker.Lease
		if err := decode(req, &l); err != nil {
			return nil, err
		}

		return nil, r.renew(ctx, l)
	}

	id, verb, err := parsePath(req.URL.Path)
	if err != nil {
		return nil, err
	}

	switch req.Method + verb {
	case http.MethodPut:
		var s worker.Start
		if err := decode(req, &s); err != nil {
			return nil, err
		}

		return nil, r.start(ctx, id, s)
	case http.MethodDelete:
		return nil, r.stop(ctx, id)
	case http.MethodPost + "checkpoint":
		return r.checkpoint(ctx, id)
	case http.MethodPost + "throttle":
		var t worker.Throttle
		if err := decode(req, &t); err != nil {
			return nil, err
		}

		return nil, r.throttle(ctx, id, t)
	}

	return nil, refusal{reason: "no such call"}
}

// parsePath parses /tasks/{job}/{task}/{attempt}[/verb].
func parsePath(path string) (placement.AttemptID, string, error) {
	parts := strings.Split(strings.TrimPrefix(path, "/tasks/"), "/")
	if len(parts) < 3 {
		return placement.AttemptID{}, "", refusal{reason: "no such path"}
	}

	task, err := strconv.Atoi(parts[1])
	if err != nil {
		return placement.AttemptID{}, "", fmt.Errorf("read task number: %w", err)
	}

	number, err := strconv.Atoi(parts[2])
	if err != nil {
		return placement.AttemptID{}, "", fmt.Errorf("read attempt number: %w", err)
	}

	verb := ""
	if len(parts) > 3 {
		verb = parts[3]
	}

	return placement.AttemptID{
		Job:     parts[0],
		Task:    task,
		Attempt: number,
	}, verb, nil
}
