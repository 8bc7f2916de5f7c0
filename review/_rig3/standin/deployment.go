package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"trefoildeck/io/rows"
	"trefoildeck/standin/emulator"
)

const (
	host      = "nony24.example"
	service   = "huvo11a"
	node      = "target/trefoildeck-node"
	startTime = 20 * time.Second
)

// deployment is a small deployment of the programs of the deploy file.
type deployment struct {
	*record
	folder  string
	network int
	// lock is held while the network is in use.
	lock    net.Listener
	store   *emulator.RowStore
	entries []*process
	agents  []*process
	workers []*worker

	mu     sync.Mutex
	lastID int
	// sizes has the steps of each job.
	sizes   map[string][]map[string]any
	servers []*http.Server
}

// process is a process of the system.
type process struct {
	name, role, ip, settings string
	command                  *exec.Cmd
	log                      *os.File
}

func newDeployment(r *record) *deployment {
	folder, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		panic(errNotRunnable(err.Error()))
	}

	d := &deployment{
		record: r,
		folder: folder,
		store:  emulator.NewRowStore(),
		sizes:  map[string][]map[string]any{},
	}
	d.takeNetwork()

	return d
}

// takeNetwork takes a network 127.N.0.0/16 that no other run of this program uses.
func (d *deployment) takeNetwork() {
	for i := range 128 {
		d.network = 64 + (os.Getpid()+i)%128

		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.3:7720", d.network))
		if err == nil {
			d.lock = l

			return
		}
	}

	d.fail("no network is free")
}

func (d *deployment) fail(format string, args ...any) {
	panic(errNotRunnable(fmt.Sprintf(format, args...)))
}

func (d *deployment) check(err error) {
	if err != nil {
		d.fail("%v", err)
	}
}

// route is a queue of the operator's configuration.
func route(name, prefix string, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000,
		"target_latency_ms": 1000, "priority": priority, "service": service, "max_attempts": attempts, "stretch": 2.0,
	}
}

func (d *deployment) configure(version int) {
	body, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("r-quick", "/quick/", 0, 3), route("r-bulk", "/bulk/", 2, 3), route("r-last", "/last/", 0, 4),
		},
		"services": []map[string]any{{"name": service, "admission_check": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
	d.check(err)
	d.store.Put(rows.Row{
		Table: "op",
		Key:   "config",
		Value: body,
	})
}

// serve serves a handler at an address.
func (d *deployment) serve(address string, h http.Handler) net.Listener {
	l, err := net.Listen("tcp", address)
	d.check(err)

	s := &http.Server{Handler: h}
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()

	go func() { _ = s.Serve(l) }()

	return l
}

// launch starts the store, the workers and the processes, and waits until all entries are ready.
func (d *deployment) launch(entries int, workers []*worker) {
	d.configure(1)

	store := d.serve(fmt.Sprintf("127.%d.0.1:0", d.network), emulator.StoreHandler(d.store)).Addr().String()

	for i := range entries {
		ip := fmt.Sprintf("127.%d.1.%d", d.network, i+1)
		d.entries = append(d.entries, d.newProcess("entry", fmt.Sprintf("front-%d", i+1), "lannion", ip, store,
			fmt.Sprintf("CallerAddress = %s:8161\nReadyAddress = %s:8167\n", ip, ip), "", 284, 0.16))
	}

	for i, w := range workers {
		ip := fmt.Sprintf("127.%d.2.%d", d.network, i+1)
		w.deployment, w.address, w.control = d, ip+":8080", ip+":8166"
		d.serve(w.address, w)
		d.workers = append(d.workers, w)
		d.agents = append(d.agents, d.newProcess("agent", fmt.Sprintf("side-%d", i+1), w.zone, ip, store,
			fmt.Sprintf("AnnouncementAddress = %s\n", w.control),
			fmt.Sprintf("[Worker]\nAddress = %s\nService = %s\n", w.address, service), 152, 0.24))
	}

	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		d.start(p)
	}

	for _, w := range workers {
		w.begin()
	}

	for _, p := range d.entries {
		d.await(startTime, p.name+" to be ready", func() bool {
			a, err := http.Get("http://" + p.ip + ":8167/trefoildeck/ready")
			if err != nil {
				return false
			}
			defer a.Body.Close()

			return a.StatusCode == http.StatusOK
		})
	}

	d.await(startTime, "a leader", func() bool { return d.leader() != nil })
	// The leader connects to all agents.
	time.Sleep(2 * time.Second)
}

// newProcess writes the settings of a process as the platform renders deploy/node.ini.
func (d *deployment) newProcess(role, name, zone, ip, store, listen, worker string, memory int, share float64) *process {
	p := &process{
		name:     name,
		role:     role,
		ip:       ip,
		settings: filepath.Join(d.folder, name+".ini"),
	}
	text := fmt.Sprintf(`[Node]
Name = %s
DataCentre = %s
IP = %s
%sMetricsAddress = %s:9464
PeerPort = 7720
MemoryMB = %d
ProcessorShare = %g

[Store]
Address = %s
RowBytes = 65536
%s
[Bounds]
DrainGrace = 6s
[Limits]
Descriptors = 4096

[Scheduling]
Order = Fair
Admission = true
Preemption = true
Colocation = true
LookAhead = false
SlowWorkers = true
RackWaits = true
CheckpointInterval = 2s
RemoteFactor = 1.5
`, name, zone, ip, listen, ip, memory, share, store, worker)
	d.check(os.WriteFile(p.settings, []byte(text), 0o600))

	return p
}

func (d *deployment) start(p *process) {
	log, err := os.OpenFile(filepath.Join(d.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	d.check(err)

	p.log = log
	p.command = exec.Command(node, p.role)
	p.command.Env = append(os.Environ(), "TREFOILDECK_NODE_FILE="+p.settings)
	p.command.Stdout, p.command.Stderr = log, log
	d.check(p.command.Start())
	d.logf("%s started, process %d", p.name, p.command.Process.Pid)
}

func (d *deployment) signal(p *process, s syscall.Signal) {
	d.logf("%s gets %s", p.name, s)
	d.check(p.command.Process.Signal(s))
}

// kill ends a process with SIGKILL.
func (d *deployment) kill(p *process) {
	d.signal(p, syscall.SIGKILL)
	_ = p.command.Wait()
	p.command = nil
}

// stop ends all processes and servers, and keeps the logs of the processes if RIG3_LOGS names a folder.
func (d *deployment) stop() {
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		if p.command != nil {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			_ = p.command.Wait()
		}

		if p.log != nil {
			_ = p.log.Close()
		}
	}

	for _, w := range d.workers {
		w.quit()
	}

	for _, s := range d.servers {
		_ = s.Close()
	}

	_ = d.lock.Close()

	if logs := os.Getenv("RIG3_LOGS"); logs != "" {
		_ = os.MkdirAll(logs, 0o755)
		_ = exec.Command("cp", "-r", d.folder+"/.", logs).Run()
	}

	_ = os.RemoveAll(d.folder)
}

func (d *deployment) await(limit time.Duration, what string, met func() bool) {
	for end := time.Now().Add(limit); !met(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			d.fail("waited %s for %s", limit, what)
		}
	}
}

// leader returns the process that holds the lease according to the store, or nil.
func (d *deployment) leader() *process {
	for _, r := range d.store.Rows("lead") {
		var l struct{ Holder string }
		if r.Key == "lease" && json.Unmarshal(r.Value, &l) == nil {
			for _, p := range d.entries {
				if p.name == l.Holder {
					return p
				}
			}
		}
	}

	return nil
}

// nextID returns the ID of a new job, which begins with a hexadecimal digit.
func (d *deployment) nextID(kind string) string {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.lastID++

	return fmt.Sprintf("%s%07x%08x", kind, os.Getpid(), d.lastID)
}

// call sends a client's request, and returns the status, 0 without an answer, and the body.
func (d *deployment) call(p *process, method, path string, body any) (int, string) {
	var content io.Reader

	if body != nil {
		b, err := json.Marshal(body)
		d.check(err)

		content = bytes.NewReader(b)
	}

	r, err := http.NewRequest(method, "http://"+p.ip+":8161"+path, content)
	d.check(err)

	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Timeout-Ms", "3000")

	c := http.Client{
		Timeout:   3 * time.Second,
		Transport: &http.Transport{DisableKeepAlives: true},
	}

	a, err := c.Do(r)
	if err != nil {
		d.logf("client: %s %s at %s: no answer (%v)", method, path, p.name, err)

		return 0, ""
	}
	defer a.Body.Close()

	b, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, ""
	}

	answer := strings.TrimSpace(string(b))
	d.logf("client: %s %s at %s: %d %s", method, path, p.name, a.StatusCode, answer)

	return a.StatusCode, answer
}

// submit hands a job in and returns its ID.
func (d *deployment) submit(prefix string, steps ...map[string]any) string {
	id := d.nextID("0")
	d.submitAs(id, prefix, steps...)

	return id
}

// submitAs hands a job in, at the entries in turn until it is accepted.
func (d *deployment) submitAs(id, prefix string, steps ...map[string]any) {
	d.mu.Lock()
	d.sizes[id] = steps
	d.mu.Unlock()

	for i := range 20 {
		if status, _ := d.call(d.entries[i%len(d.entries)], http.MethodPost, prefix+id, map[string]any{
			"spec":  "spec of " + id,
			"steps": steps,
		}); status == http.StatusOK {
			return
		}

		time.Sleep(200 * time.Millisecond)
	}

	d.logf("job %s isn't accepted", id)
}

// each calls f at once and then in each period, until stop is closed.
func (d *deployment) each(period time.Duration, stop <-chan struct{}, f func()) {
	for {
		go f()

		select {
		case <-stop:
			return
		case <-time.After(period):
		}
	}
}

// workerOf returns the worker that runs a task, or nil.
func (d *deployment) workerOf(task string) *worker {
	for _, w := range d.workers {
		if w.running(task) > 0 {
			return w
		}
	}

	return nil
}

// lastEnd returns when the last run of a task ended.
func (d *deployment) lastEnd(task string) time.Time {
	var last time.Time

	for _, w := range d.workers {
		w.mu.Lock()
		if at := w.lastEnds[task]; at.After(last) {
			last = at
		}
		w.mu.Unlock()
	}

	return last
}
