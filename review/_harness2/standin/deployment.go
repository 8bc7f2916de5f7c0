package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the deployment's queue.
const (
	host    = "nony24.example"
	prefix  = "/lohu930/"
	service = "huvo11a"
)

// process is a process of the system on a machine of its own.
type process struct {
	name, role, ip string
	settings       string
	store          *proxy
	command        *exec.Cmd
	done           chan struct{}
}

// deployment is a small deployment of the system on loopback addresses.
type deployment struct {
	folder  string
	network int
	began   time.Time
	store   *store
	address string
	cluster *cluster
	entries []*process
	agents  []*process
	workers []*worker
	stop    chan struct{}
	// memoryMB is the memory of an entry's machine.
	memoryMB int

	mu     sync.Mutex
	output *os.File
}

func (d *deployment) now() time.Duration { return time.Since(d.began) }

// log writes a line of the record.
func (d *deployment) log(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()

	fmt.Fprintf(d.output, "%8.3f %s\n", d.now().Seconds(), fmt.Sprintf(format, args...))
}

// newDeployment starts the store and the workers of a deployment. The record goes into a file.
func newDeployment(record string, agents int) (*deployment, error) {
	output, err := os.Create(record)
	if err != nil {
		return nil, err
	}

	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}

	d := &deployment{
		folder: folder, output: output, began: time.Now(), store: newStore(), stop: make(chan struct{}), memoryMB: 284,
	}
	d.cluster = &cluster{log: d.log, now: d.now, gangs: map[string][]*run{}, plan: func(string, int) plan {
		return plan{work: 500 * time.Millisecond, end: "done"}
	}}

	if d.network, err = freeNetwork(); err != nil {
		return nil, err
	}

	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:0", d.network))
	if err != nil {
		return nil, err
	}

	d.address = l.Addr().String()

	go func() { _ = http.Serve(l, d.store) }()

	d.configure(1)

	for i := range agents {
		if err := d.addAgent(i); err != nil {
			return nil, err
		}
	}

	return d, nil
}

// freeNetwork returns the second byte of loopback addresses that nobody uses. A listener of this process
// keeps others from using them.
func freeNetwork() (int, error) {
	for range 50 {
		n := 100 + rand.N(150)

		if _, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:9464", n)); err == nil {
			return n, nil
		}
	}

	return 0, fmt.Errorf("no free network")
}

// configure writes a version of the configuration.
func (d *deployment) configure(version int) {
	value, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-1", "host": host, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 1000, "priority": 0, "service": service, "max_attempts": 3, "stretch": 2,
		}},
		"services": []any{map[string]any{"name": service, "admission_check": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	d.store.put(row{Table: "op", Key: "config", Value: value})
}

// fields returns the platform's fields for the settings of a machine.
func (d *deployment) fields(name, class, ip, store string) map[string]any {
	listen := map[string]any{"control": ip + ":8166"}
	limits := map[string]any{"cpu_share": 0.24, "memory_mb": 152, "max_fds": 4096}

	if class == "front" {
		listen = map[string]any{"front": ip + ":8161", "ready": ip + ":8167"}
		limits = map[string]any{"cpu_share": 0.16, "memory_mb": d.memoryMB, "max_fds": 4100}
	}

	return map[string]any{
		"node_name": name, "machine_class": class, "zone": "lannion", "ip": ip, "listen": listen, "limits": limits,
		"internal_ports": []any{7720, 7735},
		"bounds":         map[string]any{"grace_s": 6, "remote_factor": 1.5},
		"platform":       map[string]any{"address": store, "row_bytes": rowBytes},
	}
}

// newProcess writes the settings of a process, from the project's template.
func (d *deployment) newProcess(name, role, class, ip string, more map[string]any) (*process, error) {
	p, err := newProxy(fmt.Sprintf("127.%d.0.1:0", d.network), d.address)
	if err != nil {
		return nil, err
	}

	fields := d.fields(name, class, ip, p.address)
	for k, v := range more {
		fields[k] = v
	}

	text, err := os.ReadFile("deploy/node.ini")
	if err != nil {
		return nil, err
	}

	file := filepath.Join(d.folder, name+".ini")

	return &process{name: name, role: role, ip: ip, settings: file, store: p}, os.WriteFile(file, []byte(render(string(text), fields)), 0o600)
}

func (d *deployment) addEntry(i int) error {
	p, err := d.newProcess(fmt.Sprintf("front-lannion-%d", i+1), "entry", "front", fmt.Sprintf("127.%d.1.%d", d.network, i+1), nil)
	if err != nil {
		return err
	}

	d.entries = append(d.entries, p)

	return d.launch(p)
}

func (d *deployment) addAgent(i int) error {
	ip := fmt.Sprintf("127.%d.2.%d", d.network, i+1)
	w := &worker{
		cluster: d.cluster, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: "lannion",
		address: ip + ":8165", control: ip + ":8166", cpu: 64000, mem: 256000, labels: []string{"a", "r1-1"},
	}
	w.start()

	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}

	go func() { _ = http.Serve(l, w) }()
	go w.announce(d.stop)
	go w.lapse(d.stop)

	d.workers = append(d.workers, w)

	p, err := d.newProcess(fmt.Sprintf("side-lannion-%d", i+1), "agent", "side", ip, map[string]any{"app": w.address, "service": service})
	if err != nil {
		return err
	}

	d.agents = append(d.agents, p)

	return d.launch(p)
}

// launch starts a process by the command of the deploy file.
func (d *deployment) launch(p *process) error {
	out, err := os.OpenFile(filepath.Join(d.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	c := exec.Command("target/trefoildeck-node", p.role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TREFOILDECK_NODE_FILE=" + p.settings}
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	if err := c.Start(); err != nil {
		return err
	}

	p.command, p.done = c, make(chan struct{})

	go func(done chan struct{}) {
		// The state says how it ended.
		_ = c.Wait()
		out.Close()
		close(done)
	}(p.done)

	d.log("process %s (%s) started", p.name, p.role)

	return nil
}

// signal sends a signal to a process.
func (d *deployment) signal(p *process, s syscall.Signal) {
	d.log("process %s: %s", p.name, s)
	// It may have ended.
	_ = p.command.Process.Signal(s)
}

// close ends all processes and removes the folder.
func (d *deployment) close() {
	close(d.stop)

	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		_ = p.command.Process.Kill()
		<-p.done
	}

	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(d.folder))
	}

	_ = os.RemoveAll(d.folder)
	d.output.Close()
}

// leader returns the index of the entry that holds the lease, or -1.
func (d *deployment) leader() int {
	r, _ := d.store.get("lead", "lead", "lease")

	var lease struct{ Holder string }
	if json.Unmarshal(r.Value, &lease) != nil {
		return -1
	}

	for i, p := range d.entries {
		if p.name == lease.Holder {
			return i
		}
	}

	return -1
}

// call sends a client's request to an entry and returns the status, 0 without an answer, and the body.
func (d *deployment) call(entry int, method, id, body string, timeout time.Duration) (int, string) {
	p := d.entries[entry]

	r, err := http.NewRequest(method, "http://"+p.ip+":8161"+prefix+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, ""
	}

	r.Host = host
	r.Header.Set("Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))

	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}

	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	sent := d.now()
	status, text := 0, ""

	a, err := client.Do(r)
	if err == nil {
		var b []byte

		b, err = io.ReadAll(a.Body)
		a.Body.Close()

		if err == nil {
			status, text = a.StatusCode, strings.TrimSpace(string(b))
		}
	}

	if err != nil {
		text = "no answer"
	}

	d.log("client: %s %s%s to %s, Timeout-Ms %d, sent at %.3f: %d %s", method, prefix, id, p.name, timeout.Milliseconds(), sent.Seconds(), status, text)

	return status, text
}

// ready waits until all entries are ready, one leads and a job has run.
func (d *deployment) ready() error {
	limit := time.Now().Add(25 * time.Second)

	for i, p := range d.entries {
		for {
			a, err := http.Get("http://" + p.ip + ":8167/trefoildeck/ready")
			if err == nil {
				a.Body.Close()

				if a.StatusCode == http.StatusOK {
					break
				}
			}

			if time.Now().After(limit) {
				return fmt.Errorf("entry %d is not ready", i)
			}

			time.Sleep(100 * time.Millisecond)
		}
	}

	id := newID()
	if status, _ := d.call(0, http.MethodPost, id, simpleJob(2), 3*time.Second); status != http.StatusOK {
		return fmt.Errorf("the first job is not accepted")
	}

	for time.Now().Before(limit) {
		if _, s := d.call(0, http.MethodGet, id, "", 3*time.Second); strings.Contains(s, "succeeded") {
			return nil
		}

		time.Sleep(300 * time.Millisecond)
	}

	return fmt.Errorf("the first job did not run")
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// simpleJob returns a job of one step.
func simpleJob(count int) string {
	return fmt.Sprintf(`{"spec":"spec","steps":[{"count":%d,"cpu":500,"mem_mb":256,"estimate_ms":500}]}`, count)
}
