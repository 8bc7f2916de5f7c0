package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"trefoildeck/io/rows"
	"trefoildeck/standin/emulator"
)

// Figures of PROTOCOL.md, DEPLOY.md and the site file of armor-balise.
const (
	service         = "balise-orders"
	heartbeatPeriod = 1500 * time.Millisecond
	rowBytes        = 65536
	maxTxBytes      = 1 << 20
	maxAttempts     = 3
	memoryEntryMB   = 284
	memoryAgentMB   = 152
)

// recorder writes record.txt: what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(dir string) *recorder {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		cannotRun("record.txt: %v", err)
	}

	return &recorder{file: f, began: time.Now()}
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()

	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to record.txt and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// cleanUp ends the processes of the case.
var cleanUp = func() {}

func cannotRun(format string, args ...any) {
	fmt.Printf("the case can't run: "+format+"\n", args...)
	cleanUp()
	os.Exit(2)
}

// process is a program of the deploy file.
type process struct {
	role, name, settings string
	callerAddress        string
	cmd                  *exec.Cmd
	done                 chan struct{}
}

// deployment is a small deployment: entries, agents with their workers, and the store.
type deployment struct {
	rec       *recorder
	dir       string
	store     *emulator.RowStore
	storeAddr string
	entries   []*process
	agents    []*process
	workers   []*worker

	refusedMu sync.Mutex
	refused   int

	// jobs has the jobs that clients have handed in.
	jobsMu sync.Mutex
	jobs   map[string]handedIn
}

// handedIn is the size of a job: the number of its tasks and what each of them takes.
type handedIn struct {
	tasks, milliCores, memoryMB int
}

func (d *deployment) size(id string) handedIn {
	d.jobsMu.Lock()
	defer d.jobsMu.Unlock()

	return d.jobs[id]
}

// underHalf reports whether under half of the workers' processors and memory is in use.
func (d *deployment) underHalf() bool {
	milliCores, memoryMB := 0, 0

	for _, w := range d.workers {
		for t := range w.running() {
			s := d.size(t[:16])
			milliCores += s.milliCores
			memoryMB += s.memoryMB
		}
	}

	return 2*milliCores < len(d.workers)*workerMilliCores && 2*memoryMB < len(d.workers)*workerMemoryMB
}

// ip is the loopback address of this case: the ports that other cases use beside it don't collide.
var ip = fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()%128, 1+os.Getpid()/128%250)

// lastPort is the last port that was given out. The ports lie below those that the system gives
// to other sockets.
var lastPort = 20000

func freePort() int {
	for lastPort < 30000 {
		lastPort++

		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, lastPort))
		if err == nil {
			l.Close()

			return lastPort
		}
	}

	cannotRun("no free port")

	return 0
}

func newDeployment(rec *recorder, queues []map[string]any) *deployment {
	dir, err := os.MkdirTemp("", "trefoildeck-review")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}

	d := &deployment{rec: rec, dir: dir, store: emulator.NewRowStore(), jobs: map[string]handedIn{}}
	cleanUp = d.stop
	// A transaction takes 5 ms, and the transactions of a part come one after the other.
	d.store.CommitTime = func() time.Duration { return 5 * time.Millisecond }
	d.serveStore()

	body, err := json.Marshal(map[string]any{
		"version":  1,
		"routes":   queues,
		"services": []map[string]any{{"name": service, "admission_check": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		cannotRun("configuration: %v", err)
	}

	d.store.Put(rows.Row{Table: "op", Key: "config", Value: body})

	return d
}

func queue(name, host, prefix string, priority, attempts int, stretch float64) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000,
		"target_latency_ms": 250, "priority": priority, "service": service, "max_attempts": attempts, "stretch": stretch,
	}
}

// serveStore serves the project's stand-in of the store. It refuses a transaction over the
// limits that the pages set: a value of row_bytes, and 1 MB a call.
func (d *deployment) serveStore() {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("store: %v", err)
	}

	d.storeAddr = l.Addr().String()
	next := emulator.StoreHandler(d.store)

	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/trefoildeck/rows-tx" {
				body, err := io.ReadAll(r.Body)
				if err != nil {
					return
				}

				if reason := overLimit(body); reason != "" {
					d.refusedMu.Lock()
					d.refused++
					n := d.refused
					d.refusedMu.Unlock()

					if n <= 20 || n%100 == 0 {
						d.rec.log("store: refused transaction %d: %s", n, reason)
					}

					w.WriteHeader(http.StatusBadRequest)

					return
				}

				r.Body = io.NopCloser(bytes.NewReader(body))
			}

			next.ServeHTTP(w, r)
		}))
	}()
}

func overLimit(body []byte) string {
	if len(body) > maxTxBytes {
		return fmt.Sprintf("a call of %d bytes", len(body))
	}

	var t struct {
		Set []struct {
			Table string `json:"table"`
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"set_keys"`
	}
	if json.Unmarshal(body, &t) != nil {
		return ""
	}

	for _, r := range t.Set {
		if len(r.Value) > rowBytes {
			return fmt.Sprintf("row %s/%s has a value of %d bytes, the limit is %d", r.Table, r.Key, len(r.Value), rowBytes)
		}
	}

	return ""
}

func (d *deployment) newProcess(role, name string, memoryMB int, node, sections string) *process {
	p := &process{role: role, name: name, settings: filepath.Join(d.dir, name+".ini")}
	// The form of deploy/node.ini.
	text := fmt.Sprintf("[Node]\nName = %s\nDataCentre = lannion\nIP = %s\n%sPeerPort = %d\nMemoryMB = %d\n\n[Store]\nAddress = %s\n\n%s[Bounds]\nDrainGrace = 6s\n",
		name, ip, node, freePort(), memoryMB, d.storeAddr, sections)

	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}

	return p
}

func (d *deployment) addEntry() {
	caller := fmt.Sprintf("%s:%d", ip, freePort())
	p := d.newProcess("entry", fmt.Sprintf("front-%d", len(d.entries)+1), memoryEntryMB,
		fmt.Sprintf("CallerAddress = %s\nReadyAddress = %s:%d\nProcessorShare = 0.16\n", caller, ip, freePort()), "")
	p.callerAddress = caller
	d.entries = append(d.entries, p)
}

// addWorker adds a worker and the agent beside it.
func (d *deployment) addWorker(plan planner) {
	n := len(d.workers) + 1
	w := newWorker(d.rec, fmt.Sprintf("i-%d", n), plan)
	control := fmt.Sprintf("%s:%d", ip, freePort())
	p := d.newProcess("agent", fmt.Sprintf("side-%d", n), memoryAgentMB, "AnnouncementAddress = "+control+"\nProcessorShare = 0.24\n",
		"[Worker]\nAddress = "+w.address+"\nService = "+service+"\n\n")
	d.agents = append(d.agents, p)
	d.workers = append(d.workers, w)

	go w.announce(control)
}

// start starts a process with the command of the deploy file.
func (d *deployment) start(p *process) {
	log, err := os.OpenFile(filepath.Join(d.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}

	cmd := exec.Command("target/trefoildeck-node", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "TREFOILDECK_NODE_FILE=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	if err := cmd.Start(); err != nil {
		cannotRun("start %s: %v", p.name, err)
	}

	done := make(chan struct{})
	p.cmd, p.done = cmd, done

	go func() {
		_ = cmd.Wait()
		_ = log.Close()

		close(done)
	}()

	d.rec.log("platform: started %s, process %d", p.name, cmd.Process.Pid)
}

func (d *deployment) startAll() {
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		d.start(p)
	}
}

// stop ends all processes that the case has started.
func (d *deployment) stop() {
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}

	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}

// signal sends a signal to a process that the case has started.
func (d *deployment) signal(p *process, s syscall.Signal) {
	d.rec.log("platform: %s to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

// client is a client of the deployment; it knows one queue.
type client struct {
	d            *deployment
	host, prefix string
	http         http.Client
}

func newClient(d *deployment, host, prefix string) *client {
	return &client{d: d, host: host, prefix: prefix, http: http.Client{Timeout: 3500 * time.Millisecond}}
}

// call sends one request to an entry and returns the status, 0 if no answer came.
func (c *client) call(entry int, method, id string, body any) (int, map[string]any) {
	var content io.Reader

	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			cannotRun("body: %v", err)
		}

		content = bytes.NewReader(b)
	}

	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+c.d.entries[entry].callerAddress+c.prefix+id, content)
	if err != nil {
		cannotRun("request: %v", err)
	}

	r.Host = c.host
	r.Header.Set("Timeout-Ms", "3000")
	r.Header.Set("Content-Type", "application/json")

	a, err := c.http.Do(r)
	if err != nil {
		c.d.rec.log("client: %s %s at %s: no answer", method, id, c.d.entries[entry].name)

		return 0, nil
	}
	defer a.Body.Close()

	var m map[string]any

	_ = json.NewDecoder(a.Body).Decode(&m)

	return a.StatusCode, m
}

// submit hands a job in, with up to four retries at the entries in turn, and reports whether it
// was accepted.
func (c *client) submit(id string, job map[string]any) bool {
	step := job["steps"].([]map[string]any)[0]
	c.d.jobsMu.Lock()
	c.d.jobs[id] = handedIn{tasks: step["count"].(int), milliCores: step["cpu"].(int), memoryMB: step["mem_mb"].(int)}
	c.d.jobsMu.Unlock()

	for try := range 5 {
		entry := try % len(c.d.entries)
		status, _ := c.call(entry, http.MethodPost, id, job)
		c.d.rec.log("client: POST %s at %s: %d", id, c.d.entries[entry].name, status)

		if status >= 200 && status < 300 {
			return true
		}

		time.Sleep(time.Second)
	}

	return false
}

// state asks for a job's state, "" if no entry answers.
func (c *client) state(id string) string {
	for entry := range c.d.entries {
		status, m := c.call(entry, http.MethodGet, id, nil)
		if status == http.StatusOK {
			s, _ := m["state"].(string)

			return s
		}

		if status == http.StatusGone {
			return "410"
		}
	}

	return ""
}

// awaitServing waits until an entry has a configuration and all agents serve a leader.
func (d *deployment) awaitServing(c *client) {
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(200 * time.Millisecond) {
		if status, _ := c.call(0, http.MethodGet, "", nil); status == http.StatusOK {
			time.Sleep(2 * time.Second)

			return
		}
	}

	cannotRun("no entry serves")
}
