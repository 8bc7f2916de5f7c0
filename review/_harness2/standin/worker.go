package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of workers, from the platform's pages.
const (
	maxHold     = 6 * time.Second
	gangTimeout = 3 * time.Second
	startupTime = 300 * time.Millisecond
)

// plan is the course of a run. Without an end it runs until it is stopped.
type plan struct {
	work time.Duration
	end  string
	// gang is the number of tasks that work only together, 0 if the task works alone.
	gang int
}

// event is a start or an end of a run, as a worker saw it.
type event struct {
	at      time.Duration
	worker  string
	task    string
	attempt int
	// what is "start" or how the run ended.
	what string
}

// cluster is what the workers of a deployment have in common: the plans of tasks, gangs and the record.
type cluster struct {
	log  func(format string, args ...any)
	now  func() time.Duration
	plan func(task string, attempt int) plan

	mu     sync.Mutex
	events []event
	gangs  map[string][]*run
}

// job returns the events of a job.
func (c *cluster) job(id string) []event {
	c.mu.Lock()
	defer c.mu.Unlock()

	var list []event

	for _, e := range c.events {
		if strings.HasPrefix(e.task, id+".") {
			list = append(list, e)
		}
	}

	return list
}

func (c *cluster) record(w *worker, task string, attempt int, what string) {
	c.mu.Lock()
	c.events = append(c.events, event{c.now(), w.id, task, attempt, what})
	c.mu.Unlock()
	c.log("worker %s: run %s attempt %d: %s", w.id, task, attempt, what)
}

// run is a run on a worker.
type run struct {
	worker  *worker
	task    string
	attempt int
	plan    plan
	began   time.Time
	gang    string
}

// worker is a worker of the platform.
type worker struct {
	cluster  *cluster
	id       string
	service  string
	zone     string
	address  string
	control  string
	cpu, mem int64
	labels   []string

	born  int64
	began time.Time

	mu       sync.Mutex
	seq      int64
	token    int64
	deadline time.Duration
	runs     map[string]*run
	ended    [][]any
	lastEnd  int64
	stopped  map[string]int
	changed  chan struct{}
}

func (w *worker) start() {
	w.began = time.Now()
	w.born = w.began.UnixMilli()
	w.runs, w.stopped, w.changed = map[string]*run{}, map[string]int{}, make(chan struct{})
}

func (w *worker) clock() time.Duration { return time.Since(w.began) + 400*time.Second }

// announce sends heartbeats until stop is closed.
func (w *worker) announce(stop <-chan struct{}) {
	client := http.Client{Timeout: time.Second}

	for {
		w.mu.Lock()
		w.seq++
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_left_ms": 0, "capacity": map[string]int64{"cpu": w.cpu, "mem_mb": w.mem, "gpu": 0}, "labels": w.labels,
			"clock_ms": w.clock().Milliseconds(), "seq": w.seq, "born": w.born,
		})
		w.mu.Unlock()

		r, _ := http.NewRequest(http.MethodPut, "http://"+w.control+"/trefoildeck/instances/"+w.id, bytes.NewReader(body))
		r.Header.Set("Content-Type", "application/json")

		wait := 1500 * time.Millisecond

		if a, err := client.Do(r); err == nil {
			a.Body.Close()
		} else {
			wait = 200 * time.Millisecond
		}

		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
	}
}

// lapse ends all runs once their lease has expired.
func (w *worker) lapse(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}

		w.mu.Lock()
		var over []*run

		if w.clock() >= w.deadline {
			for _, r := range w.runs {
				over = append(over, r)
			}
		}
		w.mu.Unlock()

		for _, r := range over {
			w.end(r, "lapsed")
		}
	}
}

// end ends a run unless it has ended, and with it the others of its gang.
func (w *worker) end(r *run, how string) {
	w.mu.Lock()

	if w.runs[r.task] != r {
		w.mu.Unlock()

		return
	}

	delete(w.runs, r.task)
	w.stopped[r.task] = max(w.stopped[r.task], r.attempt)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, r.task, r.attempt, how, ""})
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()

	w.cluster.record(w, r.task, r.attempt, how)

	if r.gang == "" {
		return
	}

	c := w.cluster
	c.mu.Lock()
	others := c.gangs[r.gang]
	delete(c.gangs, r.gang)
	c.mu.Unlock()

	if how != "done" {
		how = "broken"
	}

	for _, o := range others {
		if o != r {
			o.worker.end(o, how)
		}
	}
}

// join adds a run to its gang, which works once all are present.
func (c *cluster) join(r *run) {
	c.mu.Lock()
	r.gang = fmt.Sprint(r.task[:strings.LastIndex(r.task, ".")], " ", r.attempt)
	c.gangs[r.gang] = append(c.gangs[r.gang], r)
	complete := len(c.gangs[r.gang]) == r.plan.gang
	c.mu.Unlock()

	if complete {
		if r.plan.end != "" {
			time.AfterFunc(r.plan.work, func() { r.worker.end(r, r.plan.end) })
		}

		return
	}

	time.AfterFunc(gangTimeout, func() {
		c.mu.Lock()
		waits := len(c.gangs[r.gang]) > 0 && len(c.gangs[r.gang]) < r.plan.gang
		c.mu.Unlock()

		if waits {
			r.worker.end(r, "alone")
		}
	})
}

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

// ServeHTTP serves the calls of the process beside the worker.
func (w *worker) ServeHTTP(a http.ResponseWriter, r *http.Request) {
	if t := r.Header.Get("Target-Instance"); t != "" && t != w.id {
		a.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		a.WriteHeader(http.StatusBadRequest)

		return
	}

	if r.URL.Path == "/trefoildeck/hold" && o.WaitMS > 0 {
		w.await(r, o)
	}

	status, body := w.execute(r.URL.Path, o)
	a.Header().Set("Content-Type", "application/json")
	a.WriteHeader(status)
	// An error means that the caller has gone.
	_ = json.NewEncoder(a).Encode(body)
}

// await waits until there is an end that the caller has not seen, at most as long as it says.
func (w *worker) await(r *http.Request, o order) {
	limit := time.After(min(time.Duration(o.WaitMS)*time.Millisecond, 2*time.Second))

	for {
		w.mu.Lock()
		fresh, changed := len(w.ended) > 0 && w.lastEnd > o.LastSeen, w.changed
		w.mu.Unlock()

		if fresh {
			return
		}

		select {
		case <-r.Context().Done():
			return
		case <-limit:
			return
		case <-changed:
		}
	}
}

func (w *worker) execute(path string, o order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()

	body := map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born}

	if o.Token < w.token {
		body["reason"] = "fence"

		return http.StatusConflict, body
	}

	w.token = o.Token
	if d := time.Duration(o.DeadlineMS) * time.Millisecond; d > w.deadline {
		w.deadline = min(d, w.clock()+maxHold)
	}

	switch path {
	case "/trefoildeck/run-start":
		if reason := w.startRun(o); reason != "" {
			body["reason"] = reason

			return http.StatusConflict, body
		}
	case "/trefoildeck/run-stop":
		w.stopped[o.Task] = max(w.stopped[o.Task], o.Attempt)

		if r := w.runs[o.Task]; r != nil && r.attempt <= o.Attempt {
			go w.end(r, "stopped")
		}
	case "/trefoildeck/hold":
		w.list(o.LastSeen, body)
	case "/trefoildeck/pace":
	default:
		return http.StatusNotFound, body
	}

	return http.StatusOK, body
}

func (w *worker) startRun(o order) string {
	if r := w.runs[o.Task]; r != nil && r.attempt == o.Attempt {
		return ""
	}

	switch {
	case w.runs[o.Task] != nil || o.Attempt <= w.stopped[o.Task]:
		return "old"
	case w.clock() >= w.deadline:
		return "late"
	}

	r := &run{worker: w, task: o.Task, attempt: o.Attempt, plan: w.cluster.plan(o.Task, o.Attempt), began: time.Now()}
	w.runs[o.Task] = r

	go w.cluster.record(w, o.Task, o.Attempt, "start")

	switch {
	case r.plan.gang > 0:
		go w.cluster.join(r)
	case r.plan.end != "":
		time.AfterFunc(r.plan.work, func() { w.end(r, r.plan.end) })
	}

	return ""
}

func (w *worker) list(seen int64, body map[string]any) {
	running, finished := [][]any{}, [][]any{}

	for _, r := range w.runs {
		percent := 100
		if r.plan.end != "" {
			percent = int(min(99, 100*time.Since(r.began)/max(1, r.plan.work)))
		} else if time.Since(r.began) < startupTime {
			percent = 0
		}

		running = append(running, []any{r.task, r.attempt, "", percent, 0})
	}

	kept := w.ended[:0]

	for _, e := range w.ended {
		if e[0].(int64) > seen {
			kept = append(kept, e)

			if len(finished) < 500 {
				finished = append(finished, e)
			}
		}
	}

	w.ended = kept
	body["running"], body["finished"] = running, finished
}
