package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	beatPeriod    = 1500 * time.Millisecond
	maxHold       = 6 * time.Second
	maxEndsListed = 500
)

// worker is a stand-in for a worker as PROTOCOL.md describes it, which doesn't guard its capacity.
type worker struct {
	id          string
	cpu, memory int
	labels      []string
	zone        string
	deployment  *deployment
	address     string
	control     string
	// plan returns how long a run takes and how it ends; 0 means until it is stopped.
	plan func(task string, attempt int) (time.Duration, string)

	mu       sync.Mutex
	started  time.Time
	born     int64
	seq      int64
	token    int64
	deadline time.Duration
	runs     map[string]*taskRun
	ends     []taskEnd
	lastEnd  int64
	stopped  map[string]int
	// lastEnds has when the last run of each task ended here.
	lastEnds map[string]time.Time
	changed  chan struct{}
	over     chan struct{}
	// old counts the starts that were refused as old.
	old int
}

type taskRun struct {
	attempt int
	began   time.Time
	length  time.Duration
	how     string
	timer   *time.Timer
}

type taskEnd struct {
	number  int64
	task    string
	attempt int
	how     string
}

func (w *worker) begin() {
	w.mu.Lock()
	w.started = time.Now()
	w.born = w.started.UnixMilli()
	w.runs, w.stopped, w.lastEnds = map[string]*taskRun{}, map[string]int{}, map[string]time.Time{}
	w.changed, w.over = make(chan struct{}), make(chan struct{})
	w.mu.Unlock()

	go w.beats()
	go w.lapses()
}

func (w *worker) quit() {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.over != nil {
		close(w.over)
		w.over = nil
	}
}

func (w *worker) clock() time.Duration { return time.Since(w.started) + time.Minute }

func (w *worker) beats() {
	over := w.over
	for {
		w.beat()

		select {
		case <-over:
			return
		case <-time.After(beatPeriod):
		}
	}
}

// beat sends a heartbeat and reports whether it was acknowledged.
func (w *worker) beat() bool {
	w.mu.Lock()
	w.seq++
	beat := map[string]any{
		"service": service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "capacity": map[string]int{"cpu": w.cpu, "mem_mb": w.memory, "gpu": 0},
		"labels": w.labels, "clock_ms": w.clock().Milliseconds(), "seq": w.seq, "born": w.born,
	}
	w.mu.Unlock()

	b, _ := json.Marshal(beat)

	r, err := http.NewRequest(http.MethodPut, "http://"+w.control+"/trefoildeck/instances/"+w.id, bytes.NewReader(b))
	if err != nil {
		return false
	}

	c := http.Client{Timeout: time.Second}

	a, err := c.Do(r)
	if err != nil {
		return false
	}
	defer a.Body.Close()

	return a.StatusCode/100 == 2
}

func (w *worker) lapses() {
	over := w.over
	for {
		select {
		case <-over:
			return
		case <-time.After(20 * time.Millisecond):
		}

		w.mu.Lock()
		if w.clock() >= w.deadline {
			for t, r := range w.runs {
				w.end(t, r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

type order struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

// ServeHTTP carries orders out.
func (w *worker) ServeHTTP(a http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		a.WriteHeader(http.StatusBadRequest)

		return
	}

	if r.Header.Get("Target-Instance") != w.id {
		a.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	path := strings.TrimPrefix(r.URL.Path, "/trefoildeck/")

	if path == "hold" && o.WaitMS > 0 {
		w.awaitEnd(r, o)
	}

	w.mu.Lock()
	status, body := w.execute(path, o)
	w.mu.Unlock()

	a.Header().Set("Content-Type", "application/json")
	a.WriteHeader(status)
	_ = json.NewEncoder(a).Encode(body)
}

func (w *worker) awaitEnd(r *http.Request, o order) {
	limit := time.After(time.Duration(o.WaitMS) * time.Millisecond)

	for {
		w.mu.Lock()
		fresh := len(w.ends) > 0 && w.ends[len(w.ends)-1].number > o.LastSeen
		changed := w.changed
		w.mu.Unlock()

		if fresh {
			return
		}

		select {
		case <-limit:
			return
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

// execute carries an order out. The caller holds the lock.
func (w *worker) execute(path string, o order) (int, map[string]any) {
	body := map[string]any{
		"clock_ms": w.clock().Milliseconds(),
		"born":     w.born,
	}
	if o.Token < w.token {
		body["reason"] = "fence"

		return http.StatusConflict, body
	}

	w.token = o.Token
	if dl := time.Duration(o.Deadline) * time.Millisecond; dl > w.deadline {
		w.deadline = min(dl, w.clock()+maxHold)
	}

	switch path {
	case "hold":
		w.list(o.LastSeen, body)
	case "run-stop":
		w.stopped[o.Task] = max(w.stopped[o.Task], o.Attempt)
		if r := w.runs[o.Task]; r != nil && r.attempt <= o.Attempt {
			w.end(o.Task, r, "stopped")
		}
	case "run-start":
		if reason := w.start(o); reason != "" {
			body["reason"] = reason

			return http.StatusConflict, body
		}
	case "pace":
	default:
		return http.StatusNotFound, body
	}

	return http.StatusOK, body
}

func (w *worker) start(o order) string {
	r := w.runs[o.Task]

	switch {
	case r != nil && r.attempt == o.Attempt:
		return ""
	case r != nil || o.Attempt <= w.stopped[o.Task]:
		w.old++

		return "old"
	case w.clock() >= w.deadline:
		return "late"
	}

	length, how := w.plan(o.Task, o.Attempt)
	run := &taskRun{
		attempt: o.Attempt,
		began:   time.Now(),
		length:  length,
		how:     how,
	}
	w.runs[o.Task] = run
	w.deployment.logf("%s: starts %s attempt %d", w.id, o.Task, o.Attempt)

	if length > 0 {
		run.timer = time.AfterFunc(length, func() {
			w.mu.Lock()
			defer w.mu.Unlock()

			if w.runs[o.Task] == run {
				w.end(o.Task, run, how)
			}
		})
	}

	return ""
}

// end ends a run. The caller holds the lock.
func (w *worker) end(task string, r *taskRun, how string) {
	if r.timer != nil {
		r.timer.Stop()
	}

	delete(w.runs, task)
	w.lastEnd++
	w.lastEnds[task] = time.Now()
	w.stopped[task] = max(w.stopped[task], r.attempt)
	w.ends = append(w.ends, taskEnd{
		number:  w.lastEnd,
		task:    task,
		attempt: r.attempt,
		how:     how,
	})
	w.deployment.logf("%s: %s attempt %d ends, %s", w.id, task, r.attempt, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// failRuns makes the runs of which a condition holds end as failed.
func (w *worker) failRuns(meets func(task string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	for t, r := range w.runs {
		if meets(t) {
			w.end(t, r, "failed")
		}
	}
}

func (w *worker) list(seen int64, body map[string]any) {
	running, finished := [][]any{}, [][]any{}

	names := make([]string, 0, len(w.runs))
	for t := range w.runs {
		names = append(names, t)
	}

	sort.Strings(names)

	for _, t := range names {
		r := w.runs[t]
		percent := 100

		if r.length > 0 {
			percent = min(100, int(100*time.Since(r.began)/r.length))
		}

		running = append(running, []any{t, r.attempt, "", percent, 1})
	}

	kept := w.ends[:0]

	for _, e := range w.ends {
		if e.number <= seen {
			continue
		}

		kept = append(kept, e)
		if len(finished) < maxEndsListed {
			finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
		}
	}

	w.ends = kept
	body["running"], body["finished"] = running, finished
}

// running returns the attempt of a task that runs, 0 if none does.
func (w *worker) running(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()

	if r := w.runs[task]; r != nil {
		return r.attempt
	}

	return 0
}

// jobOf returns the ID of the job of a task.
func jobOf(task string) string { return task[:strings.IndexByte(task, '.')] }

// freeCPU returns the processor time that the sizes of the runs leave, in millicores.
func (w *worker) freeCPU(d *deployment) int {
	w.mu.Lock()
	defer w.mu.Unlock()

	free := w.cpu

	for t := range w.runs {
		d.mu.Lock()
		steps := d.sizes[jobOf(t)]
		d.mu.Unlock()

		if step := steps[stepOf(t)]; step["fills"] == nil {
			free -= step["cpu"].(int)
		}
	}

	return free
}

// stepOf returns the number of a task's step.
func stepOf(task string) int {
	n, err := strconv.Atoi(strings.Split(task, ".")[2])
	if err != nil {
		panic(fmt.Sprint(task, err))
	}

	return n
}

// restart begins another life of the worker, under its ID, in which it knows nothing of before.
func (w *worker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()

	for t, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		}

		w.deployment.logf("%s: %s attempt %d ends with the life of its worker", w.id, t, r.attempt)
	}

	w.runs, w.stopped, w.lastEnds, w.ends = map[string]*taskRun{}, map[string]int{}, map[string]time.Time{}, nil
	w.token, w.deadline, w.lastEnd, w.seq = 0, 0, 0, 0
	w.started = time.Now()
	w.born = w.started.UnixMilli()
	close(w.changed)
	w.changed = make(chan struct{})
	w.deployment.logf("%s: begins another life", w.id)
}

// freeCPU returns what the runs of all workers leave, in millicores.
func (d *deployment) freeCPU() int {
	free := 0
	for _, w := range d.workers {
		free += w.freeCPU(d)
	}

	return free
}
