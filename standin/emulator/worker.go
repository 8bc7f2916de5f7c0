package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"trefoildeck/core/job"
)

// RunPlan is how a run goes.
type RunPlan struct {
	Duration time.Duration
	// EndReason is "done" or "failed".
	EndReason string
}

// Worker emulates a worker that starts whatever it is told to.
type Worker struct {
	// ID, Service, Zone and Capacity are what it announces.
	ID       string
	Service  string
	Zone     string
	Capacity job.Size
	Checker  *Checker
	// PlanRun decides how a run goes.
	PlanRun func(t job.TaskID, attempt int) RunPlan
	// LoseAnswer decides whether an order's answer is lost, and how much later it is
	// carried out then.
	LoseAnswer func(path string) (lost bool, late time.Duration)

	mu       sync.Mutex
	born     time.Time
	sequence int64
	token    int64
	deadline time.Duration
	runs     map[job.TaskID]*workerRun
	ends     []wireEnd
	number   int64
	stopped  map[job.TaskID]int
	changed  chan struct{}
}

type workerRun struct {
	attempt int
	size    job.Size
	began   time.Time
	work    RunPlan
	timer   *time.Timer
}

type wireEnd struct {
	number  int64
	task    job.TaskID
	attempt int
	how     string
}

type wireOrder struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

// Start begins the life of a worker.
func (w *Worker) Start() {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.changed != nil {
		close(w.changed)
	}

	w.born = time.Now()
	w.sequence, w.token, w.deadline, w.number = 0, 0, 0, 0
	w.runs = map[job.TaskID]*workerRun{}
	w.stopped = map[job.TaskID]int{}
	w.ends = nil
	w.changed = make(chan struct{})
}

// Crash ends all runs without a word; Start begins a new life.
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

func (w *Worker) clock() time.Duration { return time.Since(w.born) + time.Second }

// Announce tells the process beside the worker what it is, until ctx ends.
func (w *Worker) Announce(ctx context.Context, control string, every time.Duration) {
	for ctx.Err() == nil {
		w.mu.Lock()
		w.sequence++
		body, err := json.Marshal(map[string]any{
			"service": w.Service, "address": "127.0.0.1:1", "zone": w.Zone, "version": "v1", "slots": 8,
			"state": "ready", "cold_left_ms": 0, "labels": []string{"a"}, "seq": w.sequence, "born": w.born.UnixMilli(),
			"capacity": map[string]int64{
				"cpu": w.Capacity.MilliCores, "mem_mb": w.Capacity.MemoryMB, "gpu": w.Capacity.Accelerators,
			},
		})
		w.mu.Unlock()

		if err != nil {
			return
		}

		r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+control+"/trefoildeck/instances/"+w.ID, bytes.NewReader(body))
		if err != nil {
			return
		}

		if a, err := http.DefaultClient.Do(r); err == nil {
			_ = a.Body.Close()
		}

		select {
		case <-ctx.Done():
		case <-time.After(every):
		}
	}
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(a http.ResponseWriter, r *http.Request) {
	var o wireOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		a.WriteHeader(http.StatusBadRequest)

		return
	}

	if r.Header.Get("Target-Instance") != w.ID {
		a.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	if lost, late := w.LoseAnswer(r.URL.Path); lost {
		w.postpone(r.URL.Path, o, late)
		panic(http.ErrAbortHandler)
	}

	if r.URL.Path == "/trefoildeck/hold" && o.WaitMS > 0 && !w.await(r.Context(), time.Duration(o.WaitMS)*time.Millisecond, o.LastSeen) {
		// The process that was asked is gone, and its connections with it.
		panic(http.ErrAbortHandler)
	}

	w.mu.Lock()
	status, body := w.carryOut(r.URL.Path, o)
	w.mu.Unlock()

	a.Header().Set("Content-Type", "application/json")
	a.WriteHeader(status)
	// A client that is gone needs no answer.
	_ = json.NewEncoder(a).Encode(body)
}

// postpone carries an order out later, in the life that received it: a worker that
// starts again holds nothing of before.
func (w *Worker) postpone(path string, o wireOrder, late time.Duration) {
	w.mu.Lock()
	life := w.born
	w.mu.Unlock()

	time.AfterFunc(late, func() {
		w.mu.Lock()
		defer w.mu.Unlock()

		if w.born.Equal(life) {
			// Nobody waits for the answer.
			_, _ = w.carryOut(path, o)
		}
	})
}

// await waits for an end after a number. It returns false if this life of the
// worker ends first.
func (w *Worker) await(ctx context.Context, wait time.Duration, seen int64) bool {
	limit := time.NewTimer(wait)
	defer limit.Stop()

	w.mu.Lock()
	life := w.born
	w.mu.Unlock()

	for {
		w.mu.Lock()
		fresh := slices.ContainsFunc(w.ends, func(e wireEnd) bool { return e.number > seen })
		changed, alive := w.changed, w.born.Equal(life)
		w.mu.Unlock()

		if fresh || !alive {
			return alive
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

// carryOut does what an order says. The caller holds the lock.
func (w *Worker) carryOut(path string, o wireOrder) (int, map[string]any) {
	body := map[string]any{
		"clock_ms": w.clock().Milliseconds(),
		"born":     w.born.UnixMilli(),
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
		w.deadline = min(d, w.clock()+maxHold)
	}

	switch path {
	case "/trefoildeck/hold":
		w.lists(o.LastSeen, body)
	case "/trefoildeck/run-stop":
		w.stop(o)
	case "/trefoildeck/run-start":
		if reason := w.start(o); reason != "" {
			return reject(reason)
		}
	}

	return http.StatusOK, body
}

// doneWord is the end of a task that succeeded.
const doneWord = "done"

// maxHold is the longest lease.
const maxHold = 6 * time.Second

func (w *Worker) lists(seen int64, body map[string]any) {
	running := [][]any{}
	for t, r := range w.runs {
		percent := min(100, 100*time.Since(r.began)/max(1, r.work.Duration))
		running = append(running, []any{t.String(), r.attempt, "", percent, r.size.MilliCores})
	}

	finished := [][]any{}
	kept := w.ends[:0]

	for _, e := range w.ends {
		if e.number > seen {
			kept = append(kept, e)
			finished = append(finished, []any{e.number, e.task.String(), e.attempt, e.how, ""})
		} else if e.how == doneWord {
			w.Checker.RecordAcknowledgement(w.ID, e.task, e.attempt)
		}
	}

	w.ends = kept
	body["running"], body["finished"] = running, finished
}

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
		attempt: o.Attempt,
		size:    size,
		began:   time.Now(),
		work:    w.PlanRun(t, o.Attempt),
	}
	run.timer = time.AfterFunc(run.work.Duration, func() { w.end(t, run, run.work.EndReason) })
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

func (w *Worker) end(t job.TaskID, run *workerRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.runs[t] == run {
		w.finish(t, run, how)
	}
}

func (w *Worker) finish(t job.TaskID, run *workerRun, how string) {
	run.timer.Stop()
	delete(w.runs, t)
	w.number++
	w.stopped[t] = max(w.stopped[t], run.attempt)
	w.ends = append(w.ends, wireEnd{
		number:  w.number,
		task:    t,
		attempt: run.attempt,
		how:     how,
	})
	w.Checker.RecordEnd(w.ID, t, run.attempt, how == doneWord)
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
		w.finish(t, r, "stopped")
	}
}

// EndLapsedRuns ends what runs beyond its lease. It is called every now and then.
func (w *Worker) EndLapsedRuns() {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.clock() < w.deadline {
		return
	}

	for t, r := range w.runs {
		w.finish(t, r, "lapsed")
	}
}
