package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// Figures of PROTOCOL.md and the site file of armor-balise.
const (
	workerMilliCores = 64000
	workerMemoryMB   = 256000
	maxHold          = 6 * time.Second
	stopTime         = 200 * time.Millisecond
	checkpointPeriod = time.Second
	restoreTime      = 250 * time.Millisecond
	maxListedEnds    = 500
	startupTime      = 300 * time.Millisecond
)

// course is how a run goes: it ends after a time, or lasts if that is 0.
type course struct {
	after      time.Duration
	how        string
	checkpoint bool
}

// planner returns the course of the n-th run that a worker starts.
type planner func(w *worker, n int, task string) course

// worker is a stand-in of a worker, after the section "Running tasks" of PROTOCOL.md. It
// starts all that it is told to start, as admission_check is false.
type worker struct {
	rec     *recorder
	id      string
	address string
	plan    planner

	mu       sync.Mutex
	born     int64
	began    time.Time
	seq      int64
	token    int64
	deadline time.Duration
	runs     map[string]*workerRun
	// over has the highest attempt of each task that was stopped or has ended.
	over    map[string]int
	ends    []workerEnd
	lastEnd int64
	starts  int
	changed chan struct{}
	// doneOf counts the runs that have ended done, by job.
	doneOf map[string]int
}

type workerRun struct {
	task     string
	attempt  int
	at       time.Time
	course   course
	saved    string
	base     time.Duration
	stopping bool
}

type workerEnd struct {
	n       int64
	task    string
	attempt int
	how     string
	saved   string
}

func newWorker(rec *recorder, id string, plan planner) *worker {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("worker: %v", err)
	}

	w := &worker{
		rec: rec, id: id, address: l.Addr().String(), plan: plan,
		born: time.Now().UnixMilli(), began: time.Now(),
		runs: map[string]*workerRun{}, over: map[string]int{}, changed: make(chan struct{}), doneOf: map[string]int{},
	}

	go func() { _ = http.Serve(l, w) }()
	go w.tick()

	return w
}

// clock is the worker's steady clock.
func (w *worker) clock() time.Duration { return time.Since(w.began) + 482113*time.Millisecond }

// running returns the numbers of attempts of the tasks that run now.
func (w *worker) running() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()

	m := map[string]int{}
	for t, r := range w.runs {
		m[t] = r.attempt
	}

	return m
}

// announce sends heartbeats to the agent on the worker's machine.
func (w *worker) announce(control string) {
	for ; ; time.Sleep(heartbeatPeriod) {
		w.mu.Lock()
		w.seq++
		body, _ := json.Marshal(map[string]any{
			"service": service, "address": w.address, "zone": "lannion", "version": "v1", "slots": 8,
			"state": "ready", "cold_left_ms": 0, "labels": []string{"a", "r1-1"}, "seq": w.seq, "born": w.born,
			"clock_ms": w.clock().Milliseconds(),
			"capacity": map[string]int{"cpu": workerMilliCores, "mem_mb": workerMemoryMB, "gpu": 0},
		})
		w.mu.Unlock()

		r, _ := http.NewRequest(http.MethodPut, "http://"+control+"/trefoildeck/instances/"+w.id, bytes.NewReader(body))
		r.Header.Set("Content-Type", "application/json")

		if a, err := http.DefaultClient.Do(r); err == nil {
			_ = a.Body.Close()
		} else {
			time.Sleep(100*time.Millisecond - heartbeatPeriod)
		}
	}
}

// tick ends runs whose time has come or whose lease has lapsed, and saves checkpoints.
func (w *worker) tick() {
	for ; ; time.Sleep(10 * time.Millisecond) {
		w.mu.Lock()

		lapsed := w.clock() >= w.deadline

		for t, r := range w.runs {
			worked := time.Since(r.at)

			if r.course.checkpoint && !r.stopping {
				if n := int((r.base + worked) / checkpointPeriod); n > 0 {
					r.saved = fmt.Sprintf("%08x%08x", n, len(t))
				}
			}

			switch {
			case lapsed:
				w.end(r, "lapsed")
			case r.course.after > 0 && worked >= r.course.after && !r.stopping:
				w.end(r, r.course.how)
			}
		}

		w.mu.Unlock()
	}
}

// end ends a run. The caller holds w.mu.
func (w *worker) end(r *workerRun, how string) {
	delete(w.runs, r.task)
	w.over[r.task] = max(w.over[r.task], r.attempt)
	w.lastEnd++
	w.ends = append(w.ends, workerEnd{n: w.lastEnd, task: r.task, attempt: r.attempt, how: how, saved: r.saved})
	if how == "done" {
		w.doneOf[r.task[:16]]++
	}

	w.rec.log("%s: %s attempt %d ended %s", w.id, r.task, r.attempt, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

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

	if r.URL.Path == "/trefoildeck/hold" && o.WaitMS > 0 {
		w.awaitEnd(r, o)
	}

	w.mu.Lock()
	status, body := w.execute(r.URL.Path, o)
	w.mu.Unlock()

	a.Header().Set("Content-Type", "application/json")
	a.WriteHeader(status)
	_ = json.NewEncoder(a).Encode(body)
}

func (w *worker) awaitEnd(r *http.Request, o order) {
	limit := time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)

	for {
		w.mu.Lock()
		fresh := len(w.ends) > 0 && w.ends[len(w.ends)-1].n > o.LastSeen
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

// execute carries an order out. The caller holds w.mu.
func (w *worker) execute(path string, o order) (int, map[string]any) {
	body := map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born}

	if o.Token < w.token {
		body["reason"] = "fence"

		return http.StatusConflict, body
	}

	w.token = o.Token
	w.deadline = max(w.deadline, min(time.Duration(o.DeadlineMS)*time.Millisecond, w.clock()+maxHold))

	switch path {
	case "/trefoildeck/hold":
		w.lists(o.LastSeen, body)
	case "/trefoildeck/run-stop":
		w.over[o.Task] = max(w.over[o.Task], o.Attempt)

		if r := w.runs[o.Task]; r != nil && r.attempt <= o.Attempt && !r.stopping {
			r.stopping = true

			time.AfterFunc(stopTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()

				if w.runs[r.task] == r {
					w.end(r, "stopped")
				}
			})
		}
	case "/trefoildeck/run-start":
		if reason := w.start(o); reason != "" {
			body["reason"] = reason

			return http.StatusConflict, body
		}
	}

	return http.StatusOK, body
}

// start starts a run, and returns the reason if it is rejected. The caller holds w.mu.
func (w *worker) start(o order) string {
	if r := w.runs[o.Task]; r != nil && r.attempt == o.Attempt {
		return ""
	}

	switch {
	case w.runs[o.Task] != nil || o.Attempt <= w.over[o.Task]:
		return "old"
	case w.clock() >= w.deadline:
		return "late"
	}

	w.starts++
	r := &workerRun{task: o.Task, attempt: o.Attempt, at: time.Now(), course: w.plan(w, w.starts, o.Task), saved: o.Checkpoint}

	if o.Checkpoint != "" {
		var n, size int

		_, _ = fmt.Sscanf(o.Checkpoint, "%08x%08x", &n, &size)
		r.base = time.Duration(n) * checkpointPeriod
		r.course.after = max(restoreTime, r.course.after-r.base+restoreTime)
	}

	w.runs[o.Task] = r
	w.rec.log("%s: %s attempt %d started", w.id, o.Task, o.Attempt)

	return ""
}

func (w *worker) lists(seen int64, body map[string]any) {
	running := [][]any{}

	for _, r := range w.runs {
		percent := 100
		if r.course.after > 0 && r.course.how == "done" {
			percent = int(min(99, 100*time.Since(r.at)/r.course.after))
		} else if time.Since(r.at) < startupTime {
			percent = 0
		}

		running = append(running, []any{r.task, r.attempt, r.saved, percent, 200})
	}

	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })

	kept, finished := w.ends[:0], [][]any{}

	for _, e := range w.ends {
		if e.n <= seen {
			continue
		}

		kept = append(kept, e)

		if len(finished) < maxListedEnds {
			finished = append(finished, []any{e.n, e.task, e.attempt, e.how, e.saved})
		}
	}

	w.ends = kept
	body["running"], body["finished"] = running, finished
}
