package emulator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"trefoildeck/core/job"
)

// RunPlan determines the course of an attempt.
type RunPlan struct {
	// Duration is the time until the attempt ends by itself.
	Duration time.Duration
	// EndReason is "done" or "failed".
	EndReason string
	// Checkpoint is listed from the start on, unless it is empty.
	Checkpoint string
}

// Worker emulates a worker that starts every task that it is ordered to start, also
// beyond its capacity, which it reports to its Checker. LoseAnswer may be called
// concurrently.
type Worker struct {
	// ID, Service, Zone and Capacity are announced. StartAs changes ID.
	ID       string
	Service  string
	Zone     string
	Capacity job.Size
	Checker  *Checker
	// ClockStart is the reading of the worker's clock at the start of an incarnation. If it
	// is 0, the readings are firstReadings.
	ClockStart time.Duration
	// PlanRun determines the course of an attempt when it starts.
	PlanRun func(t job.TaskID, attempt int) RunPlan
	// LoseAnswer reports whether the response to the order at a path is lost, and
	// the delay after which the order is then executed.
	LoseAnswer func(path string) (lost bool, delay time.Duration)

	mu sync.Mutex
	// startedAt is the start of the incarnation and identifies it. born is its time of day
	// in Unix milliseconds.
	startedAt time.Time
	born      int64
	// incarnations counts the starts.
	incarnations int
	sequence     int64
	token        int64
	// deadline is the end of the lease on the worker's clock.
	deadline time.Duration
	runs     map[job.TaskID]*workerRun
	// ends has the ends that were not acknowledged.
	ends []runEnd
	// lastEnd is the number of the last end of the incarnation.
	lastEnd int64
	// stopped has the last attempt of each task that ended or was stopped.
	stopped map[job.TaskID]int
	// changed is closed and replaced when an attempt ends or the incarnation does.
	changed chan struct{}
}

// workerRun is a running attempt of a task.
type workerRun struct {
	attempt   int
	size      job.Size
	startedAt time.Time
	plan      RunPlan
	timer     *time.Timer
}

// runEnd is the end of an attempt, numbered within the incarnation.
type runEnd struct {
	number  int64
	task    job.TaskID
	attempt int
	reason  string

	checkpoint string
	// lapsed says that the lease expired after the end and before its acknowledgement,
	// which then doesn't count: others may have given the worker up.
	lapsed bool
}

// wireOrder is the JSON form of an order to a worker.
type wireOrder struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

// Start begins a new incarnation of the worker, without attempts or a lease.
func (w *Worker) Start() { w.StartAs(w.ID, 0) }

// StartAs begins a new incarnation under an ID, whose time of day is off by step.
func (w *Worker) StartAs(id string, step time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.ID = id
	w.born = time.Now().Add(step).UnixMilli()

	if w.changed != nil {
		close(w.changed)
	}

	w.startedAt = time.Now()
	w.incarnations++
	w.sequence, w.token, w.deadline, w.lastEnd = 0, 0, 0, 0
	w.runs = map[job.TaskID]*workerRun{}
	w.stopped = map[job.TaskID]int{}
	w.ends = nil
	w.changed = make(chan struct{})
}

// Born returns the start of the incarnation, as it is announced.
func (w *Worker) Born() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.born
}

// Crash ends all running attempts and drops their ends; call Start afterwards to
// begin a new incarnation.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()

	for t, r := range w.runs {
		r.timer.Stop()
		w.Checker.RecordEnd(w.ID, t, r.attempt, false)
	}

	w.runs = map[job.TaskID]*workerRun{}
	w.ends = nil
}

// firstReadings are the readings of the worker's clock at the starts of its incarnations,
// in turn: a clock starts anew, at any reading.
var firstReadings = []time.Duration{time.Hour, time.Second, 20 * time.Minute}

// clock is the worker's clock.
func (w *Worker) clock() time.Duration {
	return time.Since(w.startedAt) + cmp.Or(w.ClockStart, firstReadings[(w.incarnations-1)%len(firstReadings)])
}

// Announce sends the worker's announcement to the agent at address control, at the
// given interval, until ctx is done.
func (w *Worker) Announce(ctx context.Context, control string, interval time.Duration) {
	for ctx.Err() == nil {
		w.mu.Lock()
		w.sequence++
		body, err := json.Marshal(map[string]any{
			"service": w.Service, "address": "127.0.0.1:1", "zone": w.Zone, "version": "v1", "slots": 8,
			"state": "ready", "cold_left_ms": 0, "labels": []string{"a"}, "seq": w.sequence, "born": w.born,
			"capacity": map[string]int64{
				"cpu": w.Capacity.MilliCores, "mem_mb": w.Capacity.MemoryMB, "gpu": w.Capacity.Accelerators,
			},
		})
		id := w.ID
		w.mu.Unlock()

		if err != nil {
			return
		}

		r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+control+"/trefoildeck/instances/"+id, bytes.NewReader(body))
		if err != nil {
			return
		}

		if a, err := http.DefaultClient.Do(r); err == nil {
			_ = a.Body.Close()
		}

		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// NotifyLeave sends the notice of the worker's exit to the agent at address control. The
// worker runs on, as it does until its process ends, or if the notice is from an earlier
// incarnation.
func (w *Worker) NotifyLeave(ctx context.Context, control string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+control+"/trefoildeck/instances/"+w.ID, http.NoBody)
	if err != nil {
		return fmt.Errorf("make notice: %w", err)
	}

	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("send notice: %w", err)
	}

	return a.Body.Close()
}

// ServeHTTP implements http.Handler for the orders of the agent.
func (w *Worker) ServeHTTP(a http.ResponseWriter, r *http.Request) {
	var o wireOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		a.WriteHeader(http.StatusBadRequest)

		return
	}

	w.mu.Lock()
	id := w.ID
	w.mu.Unlock()

	if r.Header.Get("Target-Instance") != id {
		a.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	if lost, delay := w.LoseAnswer(r.URL.Path); lost {
		w.executeLater(r.URL.Path, o, delay)
		// The connection stays open and silent until the agent gives up.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}

	if r.URL.Path == "/trefoildeck/hold" && o.WaitMS > 0 && !w.awaitEnd(r.Context(), time.Duration(o.WaitMS)*time.Millisecond, o.LastSeen) {
		// The incarnation that received the order has ended, and with it its
		// connections.
		panic(http.ErrAbortHandler)
	}

	w.mu.Lock()
	status, body := w.execute(r.URL.Path, o)
	w.mu.Unlock()

	a.Header().Set("Content-Type", "application/json")
	a.WriteHeader(status)
	// An error means that the client closed the connection.
	_ = json.NewEncoder(a).Encode(body)
}

// executeLater executes an order after a delay, unless the incarnation that received
// it has ended by then: a restarted worker keeps no orders.
func (w *Worker) executeLater(path string, o wireOrder, delay time.Duration) {
	w.mu.Lock()
	incarnation := w.startedAt
	w.mu.Unlock()

	time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()

		if w.startedAt.Equal(incarnation) {
			// The response is lost.
			_, _ = w.execute(path, o)
		}
	})
}

// awaitEnd waits for an end with a number above seen, until wait is over or ctx is
// done. It returns false if the worker's incarnation ends first.
func (w *Worker) awaitEnd(ctx context.Context, wait time.Duration, seen int64) bool {
	limit := time.NewTimer(wait)
	defer limit.Stop()

	w.mu.Lock()
	incarnation := w.startedAt
	w.mu.Unlock()

	for {
		w.mu.Lock()
		fresh := slices.ContainsFunc(w.ends, func(e runEnd) bool { return e.number > seen })
		changed, same := w.changed, w.startedAt.Equal(incarnation)
		w.mu.Unlock()

		if fresh || !same {
			return same
		}

		select {
		case <-ctx.Done():
			return true
		case <-limit.C:
			return true
		case <-changed:
		}
	}
}

// execute executes an order and returns the status and body of its response. The
// caller holds w.mu.
func (w *Worker) execute(path string, o wireOrder) (int, map[string]any) {
	body := map[string]any{
		"clock_ms": w.clock().Milliseconds(),
		"born":     w.born,
	}
	reject := func(reason string) (int, map[string]any) {
		body["reason"] = reason

		return http.StatusConflict, body
	}

	if o.Token < w.token {
		return reject("fence")
	}

	w.token = o.Token
	if d := time.Duration(o.DeadlineMS) * time.Millisecond; d > w.deadline {
		w.deadline = min(d, w.clock()+maxLease)
	}

	switch path {
	case "/trefoildeck/hold":
		w.addLists(o.LastSeen, body)
	case "/trefoildeck/run-stop":
		w.stop(o)
	case "/trefoildeck/run-start":
		if reason := w.start(o); reason != "" {
			return reject(reason)
		}
	}

	return http.StatusOK, body
}

// endDone is the end reason of an attempt that succeeded.
const endDone = "done"

// maxLease bounds how far a lease extends beyond the worker's clock when it is renewed.
const maxLease = 6 * time.Second

// maxListedEnds is the number of ends that a response lists at a time.
const maxListedEnds = 500

// addLists adds the running attempts and the first ends with numbers above seen to body,
// and drops the ends up to seen, which this acknowledges.
func (w *Worker) addLists(seen int64, body map[string]any) {
	running := [][]any{}
	for t, r := range w.runs {
		percent := min(100, 100*time.Since(r.startedAt)/max(1, r.plan.Duration))
		running = append(running, []any{t.String(), r.attempt, r.plan.Checkpoint, percent, r.size.MilliCores})
	}

	finished := [][]any{}
	kept := w.ends[:0]

	for _, e := range w.ends {
		if e.number > seen {
			kept = append(kept, e)

			if len(finished) < maxListedEnds {
				finished = append(finished, []any{e.number, e.task.String(), e.attempt, e.reason, e.checkpoint})
			}
		} else if e.reason == endDone && !e.lapsed {
			w.Checker.RecordAcknowledgement(w.ID, e.task, e.attempt)
		}
	}

	w.ends = kept
	body["running"], body["finished"] = running, finished
}

// start starts the attempt of an order, and returns the reason if it rejects it.
func (w *Worker) start(o wireOrder) string {
	t, err := job.ParseTaskID(o.Task)
	if err != nil {
		return "old"
	}

	if r := w.runs[t]; r != nil && r.attempt == o.Attempt {
		return ""
	}

	switch {
	case w.runs[t] != nil || o.Attempt <= w.stopped[t]:
		return "old"
	case w.clock() >= w.deadline:
		return "late"
	}

	s := w.Checker.RecordStart(w.ID, t, o.Attempt, o.Spec)
	size := s.Size

	if s.Fills {
		size.MilliCores = 0
	}

	run := &workerRun{
		attempt:   o.Attempt,
		size:      size,
		startedAt: time.Now(),
		plan:      w.PlanRun(t, o.Attempt),
	}
	run.timer = time.AfterFunc(run.plan.Duration, func() { w.end(t, run, run.plan.EndReason) })
	w.runs[t] = run

	var used job.Size
	for _, r := range w.runs {
		used = used.Add(r.size)
	}

	if !w.Capacity.CanFit(used) {
		w.Checker.RecordOvercommitment(w.ID, used, w.Capacity)
	}

	return ""
}

// end ends an attempt unless it has ended already.
func (w *Worker) end(t job.TaskID, run *workerRun, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.runs[t] == run {
		w.addEnd(t, run, reason)
	}
}

// addEnd ends an attempt and lists its end. The caller holds w.mu.
func (w *Worker) addEnd(t job.TaskID, run *workerRun, reason string) {
	run.timer.Stop()
	delete(w.runs, t)
	w.lastEnd++
	w.stopped[t] = max(w.stopped[t], run.attempt)
	w.ends = append(w.ends, runEnd{
		number:  w.lastEnd,
		task:    t,
		attempt: run.attempt,
		reason:  reason,

		checkpoint: run.plan.Checkpoint,
	})
	w.Checker.RecordEnd(w.ID, t, run.attempt, reason == endDone)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) stop(o wireOrder) {
	t, err := job.ParseTaskID(o.Task)
	if err != nil {
		return
	}

	w.stopped[t] = max(w.stopped[t], o.Attempt)

	if r := w.runs[t]; r != nil && r.attempt <= o.Attempt {
		w.addEnd(t, r, "stopped")
	}
}

// EndLapsedRuns ends all running attempts if the lease has lapsed, and marks the ends that
// are not acknowledged. The test calls it periodically.
func (w *Worker) EndLapsedRuns() {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.clock() < w.deadline {
		return
	}

	for t, r := range w.runs {
		w.addEnd(t, r, "lapsed")
	}

	for i := range w.ends {
		w.ends[i].lapsed = true
	}
}
