package integration_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"trefoildeck/core/job"
	"trefoildeck/io/rows"
	"trefoildeck/standin/emulator"

	"gotest.tools/v3/assert"
)

// A hosted deployment runs on the emulated platform, where each machine has its own
// address on the loopback network.
const (
	hostedHost    = "tints.example"
	hostedPrefix  = "/tints/"
	hostedService = "orders"
	// hostedMemoryMB is the memory of an agent on the users' platform.
	hostedMemoryMB = 152
	// finishTimeout bounds each wait for jobs, for a leader or for a ready entry.
	finishTimeout = 30 * time.Second
)

// hosted is a deployment of trefoildeck-node on the emulated platform.
type hosted struct {
	t *testing.T
	// network is the second byte of the addresses, 127.network.0.0/16.
	network      int
	checker      *emulator.Checker
	store        *emulator.RowStore
	storeAddress string
	entries      []*hostedProcess
	agents       []*hostedProcess
	workers      []*emulator.Worker
	// workerServers serves the orders to each worker.
	workerServers []*http.Server
	random        *rand.Rand
	// storeRefuses has a flag for each entry that makes the store refuse its calls.
	storeRefuses []*atomic.Bool
	// memoryMB is the memory limit of each process.
	memoryMB int
	// proxied is whether the store is reached through storeProxies, one for each
	// address that serves it.
	proxied      bool
	storeProxies []*faultProxy
	// scheduling has further keys of the section [Scheduling] of the settings.
	scheduling string

	mu    sync.Mutex
	specs map[string]job.Spec
}

type hostedProcess struct {
	role          string
	settings      string
	callerAddress string
	command       *exec.Cmd
	log           *processLog
}

// processLog is the output of a process, which is read while it runs. With LOGS set, it
// is also written to a file of its own in that folder.
type processLog struct {
	mu     sync.Mutex
	buffer bytes.Buffer
	file   io.Writer
}

// newProcessLog returns the log of a process that is about to start.
func newProcessLog(t *testing.T, name string) *processLog {
	t.Helper()

	l := &processLog{file: io.Discard}

	path := logFile(t, name)
	if path == "" {
		return l
	}

	f, err := os.Create(path)
	assert.NilError(t, err)
	// The process may still write until the cleanup that stops it.
	t.Cleanup(func() { _ = f.Close() })

	l.file = f

	return l
}

// Write implements io.Writer.
func (l *processLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.buffer.Write(b)

	return l.file.Write(b)
}

func (l *processLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.buffer.String()
}

var nodeBinary = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(binary), "trefoildeck-node")
	build := exec.Command("go", "build", "-o", path, "trefoildeck/cmd/trefoildeck-node")
	build.Stderr = os.Stderr

	return path, build.Run()
})

// startHosted starts a deployment on a loopback network of its own.
func startHosted(t *testing.T, entries, agents int) *hosted {
	t.Helper()

	return startWithShares(t, make([]float64, entries), agents)
}

// startProxied starts a deployment whose processes reach the store through
// fault-injecting proxies.
func startProxied(t *testing.T, entries, agents int) *hosted {
	t.Helper()

	h := newHosted(t)
	h.proxied = true
	h.launch(make([]float64, entries), agents)

	return h
}

// startWithShares starts a deployment with an entry for each of the given shares of a
// core.
func startWithShares(t *testing.T, shares []float64, agents int) *hosted {
	t.Helper()

	h := newHosted(t)
	h.launch(shares, agents)

	return h
}

func newHosted(t *testing.T) *hosted {
	t.Helper()

	name := fnv.New64a()
	_, _ = name.Write([]byte(t.Name()))

	return &hosted{
		t:       t,
		network: takeNetwork(t),
		checker: emulator.NewChecker(),
		store:   emulator.NewRowStore(),
		random:  rand.New(rand.NewPCG(1, name.Sum64())),
		specs:   map[string]job.Spec{},

		memoryMB: hostedMemoryMB,
	}
}

// launch starts the processes and workers, and stops the processes at the end of the
// test.
func (h *hosted) launch(shares []float64, agents int) {
	h.t.Helper()

	h.storeAddress, _ = h.serveStore()

	h.configure(1)

	for i := range shares {
		ip := fmt.Sprintf("127.%d.1.%d", h.network, i+1)
		address, refuses := h.serveStore()
		h.storeAddress = address
		h.storeRefuses = append(h.storeRefuses, refuses)
		h.entries = append(h.entries, h.newProcess("entry", ip, fmt.Sprintf("front-%d", i+1), fmt.Sprintf(`CallerAddress = %s:8080
ReadyAddress = %s:8081
ProcessorShare = %g
`, ip, ip, shares[i]), ""))
		h.entries[i].callerAddress = ip + ":8080"
	}

	h.storeAddress, _ = h.serveStore()

	for i := range agents {
		h.startWorker(i)
	}

	for _, p := range append(append([]*hostedProcess{}, h.entries...), h.agents...) {
		h.start(p)
	}

	h.t.Cleanup(h.stop)
}

// serveStore serves the store at a new address. It returns the address and a flag
// that makes the store refuse all calls there.
func (h *hosted) serveStore() (string, *atomic.Bool) {
	var refuses atomic.Bool

	store := emulator.StoreHandler(h.store)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refuses.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)

			return
		}

		store.ServeHTTP(w, r)
	}))
	h.t.Cleanup(server.Close)

	address := strings.TrimPrefix(server.URL, "http://")
	if !h.proxied {
		return address, &refuses
	}

	p := newFaultProxy(h.t, fmt.Sprintf("store-%d", len(h.storeProxies)), "127.0.0.1:0", address)
	h.storeProxies = append(h.storeProxies, p)

	return p.proxy.Listen, &refuses
}

// startWorker starts an emulated worker and adds its agent, which isn't started yet.
func (h *hosted) startWorker(i int) {
	ip := fmt.Sprintf("127.%d.2.%d", h.network, i+1)
	w := &emulator.Worker{
		ID:      fmt.Sprintf("i-%d", i+1),
		Service: hostedService,
		Zone:    "lannion",
		Capacity: job.Size{
			MilliCores: 4000,
			MemoryMB:   8000,
		},
		Checker: h.checker,
		PlanRun: func(job.TaskID, int) emulator.RunPlan {
			return emulator.RunPlan{
				Duration:  100 * time.Millisecond,
				EndReason: "done",
			}
		},
		LoseAnswer: func(string) (bool, time.Duration) { return false, 0 },
	}
	w.Start()
	h.workers = append(h.workers, w)

	h.workerServers = append(h.workerServers, h.serveWorker(w, ip+":8090"))
	h.t.Cleanup(func() { _ = h.workerServers[i].Close() })

	ctx, cancel := context.WithCancel(context.Background())
	h.t.Cleanup(cancel)

	go w.Announce(ctx, ip+":8082", 200*time.Millisecond)
	go func() {
		for ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
			w.EndLapsedRuns()
		}
	}()

	h.agents = append(h.agents, h.newProcess("agent", ip, fmt.Sprintf("side-%d", i+1),
		fmt.Sprintf("AnnouncementAddress = %s:8082\n", ip),
		fmt.Sprintf("[Worker]\nAddress = %s:8090\nService = %s\n", ip, hostedService)))
}

// serveWorker serves the orders to a worker at an address.
func (h *hosted) serveWorker(w *emulator.Worker, address string) *http.Server {
	h.t.Helper()

	var c net.ListenConfig

	l, err := c.Listen(h.t.Context(), "tcp", address)
	assert.NilError(h.t, err)

	server := &http.Server{
		Addr:              address,
		Handler:           w,
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = server.Serve(l) }()

	return server
}

// refuseConnections makes a worker, which runs on, refuse connections for a time.
func (h *hosted) refuseConnections(worker int, d time.Duration) {
	h.t.Helper()

	server := h.workerServers[worker]
	assert.NilError(h.t, server.Close())
	time.Sleep(d)

	h.workerServers[worker] = h.serveWorker(h.workers[worker], server.Addr)
}

// newProcess writes the settings of a process and returns it, not yet started.
func (h *hosted) newProcess(role, ip, name, node, worker string) *hostedProcess {
	text := fmt.Sprintf(`[Node]
Name = %s
DataCentre = lannion
IP = %s
%sMetricsAddress = %s:9464
PeerPort = 7720
MemoryMB = %d
[Store]
Address = %s
%s[Bounds]
DrainGrace = 6s
[Scheduling]
LookAhead = true
%s`, name, ip, node, ip, h.memoryMB, h.storeAddress, worker, h.scheduling)
	file := filepath.Join(h.t.TempDir(), name+".ini")
	assert.NilError(h.t, os.WriteFile(file, []byte(text), 0o600))

	return &hostedProcess{
		role:     role,
		settings: file,
	}
}

func (h *hosted) start(p *hostedProcess) {
	path, err := nodeBinary()
	assert.NilError(h.t, err)

	p.log = newProcessLog(h.t, strings.TrimSuffix(filepath.Base(p.settings), ".ini"))
	p.command = exec.Command(path, p.role, "-settings", p.settings)
	p.command.Stdout = p.log
	p.command.Stderr = p.log
	assert.NilError(h.t, p.command.Start())
}

// started reports whether a process has logged that it started. Before that, it doesn't
// handle signals.
func (p *hostedProcess) started() bool { return strings.Contains(p.log.String(), `"Event":"Started"`) }

// kill ends a process with SIGKILL.
func (h *hosted) kill(p *hostedProcess) {
	assert.NilError(h.t, p.command.Process.Kill())
	// The error says that the process was killed.
	_ = p.command.Wait()
}

func (h *hosted) stop() {
	for _, p := range append(append([]*hostedProcess{}, h.entries...), h.agents...) {
		// A test that failed may leave processes that have ended.
		if err := p.command.Process.Kill(); err == nil {
			_ = p.command.Wait()
		}

		if h.t.Failed() {
			h.t.Logf("%s\n%s", p.settings, tail(p.log.String()))
		}
	}
}

func tail(s string) string {
	const maxBytes = 200_000

	// A panic and what follows it say more than the lines before.
	if i := strings.Index(s, "\npanic: "); i >= 0 {
		return s[i:]
	}

	return s[max(0, len(s)-maxBytes):]
}

// route returns a route of the operator's configuration, in its JSON form. Each route
// is a queue of jobs.
func route(name, prefix string) map[string]any {
	return map[string]any{
		"name": name, "host": hostedHost, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000,
		"target_latency_ms": 250, "priority": 0, "service": hostedService, "max_attempts": 3, "stretch": 1.5,
	}
}

// configure writes a version of the operator's configuration to the store. Each
// version has a route of its own beside the common one.
func (h *hosted) configure(version int64) {
	body, err := json.Marshal(map[string]any{
		"version":  version,
		"routes":   []map[string]any{route("r-1", hostedPrefix), route("r-2", versionPrefix(version))},
		"services": []map[string]any{{"name": hostedService, "admission_check": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
	assert.NilError(h.t, err)
	h.store.Put(rows.Row{
		Table: "op",
		Key:   "config",
		Value: body,
	})
}

// call sends a caller's request about a job to an entry. It returns the status, 0 if
// there was no response, and the decoded body.
func (h *hosted) call(entry int, method, id string, body any) (int, map[string]any) {
	return h.callPath(entry, method, hostedPrefix+id, body)
}

// callPath sends a caller's request with a path to an entry, as call does.
func (h *hosted) callPath(entry int, method, path string, body any) (int, map[string]any) {
	b, err := json.Marshal(body)
	assert.NilError(h.t, err)

	r, err := http.NewRequestWithContext(context.Background(), method,
		"http://"+h.entries[entry].callerAddress+path, bytes.NewReader(b))
	assert.NilError(h.t, err)

	r.Host = hostedHost
	r.Header.Set("Timeout-Ms", "3000")

	client := http.Client{Timeout: 4 * time.Second}

	a, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer a.Body.Close()

	content, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, nil
	}

	var answer map[string]any
	// The body of a refusal is text, not JSON.
	_ = json.Unmarshal(content, &answer)

	return a.StatusCode, answer
}

// submit submits a job to the entries in turn until it is accepted, and returns its
// ID.
func (h *hosted) submit(steps ...job.Step) string {
	return h.submitSpec(func(id string) job.Spec {
		return job.Spec{
			Text:  "text of " + id,
			Steps: steps,
		}
	})
}

// submitSpec submits the job that newSpec returns for an ID, as submit does.
func (h *hosted) submitSpec(newSpec func(id string) job.Spec) string {
	id := fmt.Sprintf("%016x", h.random.Uint64())
	spec := newSpec(id)
	h.checker.RecordSubmission(id, spec)

	h.mu.Lock()
	h.specs[id] = spec
	h.mu.Unlock()

	for i := 0; ; i++ {
		if status, _ := h.call(i%len(h.entries), http.MethodPost, id, submission(spec)); status == http.StatusOK {
			return id
		}

		assert.Assert(h.t, i < 200, "job %s is not accepted", id)
		time.Sleep(50 * time.Millisecond)
	}
}

// submission returns the JSON form of a spec in a caller's submission.
func submission(s job.Spec) map[string]any {
	var steps []map[string]any

	for _, p := range s.Steps {
		steps = append(steps, map[string]any{
			"count": p.Count, "cpu": p.Size.MilliCores, "mem_mb": p.Size.MemoryMB,
			"estimate_ms": cmp.Or(p.Estimate.Milliseconds(), 100), "after": p.After, "anti_affinity": p.AntiAffinity, "long_running": p.LongRunning,
		})
	}

	return map[string]any{
		"spec":  s.Text,
		"steps": steps,
	}
}

// awaitState waits until every job has been seen in the state.
func (h *hosted) awaitState(state string, ids ...string) {
	h.t.Helper()

	limit := time.Now().Add(finishTimeout)

	for i := 0; len(ids) > 0; i++ {
		status, answer := h.call(i%len(h.entries), http.MethodGet, ids[0], nil)
		if status == http.StatusOK && answer["state"] == state {
			if state == "succeeded" {
				h.checker.RecordSuccess(ids[0])
			}

			ids = ids[1:]

			continue
		}

		assert.Assert(h.t, time.Now().Before(limit), "%s: %d %v", ids[0], status, answer)
		time.Sleep(pollInterval)
	}
}

// checkViolations fails the test if the checker found violations.
func (h *hosted) checkViolations() {
	h.t.Helper()
	assert.DeepEqual(h.t, h.checker.Violations(), []string(nil))
}

// dependentSteps returns a step of 6 tasks and one of 3 tasks that depends on it.
func dependentSteps() []job.Step {
	size := job.Size{
		MilliCores: 900,
		MemoryMB:   500,
	}

	return []job.Step{
		{
			Count: 6,
			Size:  size,
		},
		{
			Count: 3,
			Size:  size,
			After: []int{0},
		},
	}
}

// leaseHolder returns the index of the entry that holds the leader lease, or -1.
func (h *hosted) leaseHolder() int {
	for _, r := range h.store.Rows("lead") {
		if r.Key != "lease" {
			continue
		}

		var record struct{ Holder string }
		assert.NilError(h.t, json.Unmarshal(r.Value, &record))

		for i := range h.entries {
			if record.Holder == fmt.Sprintf("front-%d", i+1) {
				return i
			}
		}
	}

	return -1
}

// leader returns the index of the entry that holds the leader lease, and fails the
// test if there is none.
func (h *hosted) leader() int {
	i := h.leaseHolder()
	assert.Assert(h.t, i >= 0, "no entry holds the lease")

	return i
}

// awaitLeader waits until the entry holds the leader lease.
func (h *hosted) awaitLeader(entry int) {
	h.t.Helper()

	limit := time.Now().Add(finishTimeout)
	for h.leaseHolder() != entry {
		assert.Assert(h.t, time.Now().Before(limit), "front-%d holds the lease", h.leaseHolder()+1)
		time.Sleep(pollInterval)
	}
}

// awaitAnyLeader waits until some entry holds the leader lease. Jobs are accepted
// before an entry has taken it.
func (h *hosted) awaitAnyLeader() {
	h.t.Helper()

	limit := time.Now().Add(finishTimeout)
	for h.leaseHolder() < 0 {
		assert.Assert(h.t, time.Now().Before(limit), "no entry holds the lease")
		time.Sleep(pollInterval)
	}
}

// awaitReady waits until an entry reports that it is ready.
func (h *hosted) awaitReady(entry int) {
	h.t.Helper()

	address := strings.TrimSuffix(h.entries[entry].callerAddress, ":8080") + ":8081"

	for limit := time.Now().Add(finishTimeout); ; time.Sleep(pollInterval) {
		a, err := http.Get("http://" + address + "/")
		if err == nil {
			_ = a.Body.Close()

			if a.StatusCode == http.StatusOK {
				return
			}
		}

		assert.Assert(h.t, time.Now().Before(limit), "entry %d is not ready", entry)
	}
}

// planRuns sets the run time of all tasks.
func (h *hosted) planRuns(d time.Duration) {
	for _, w := range h.workers {
		w.PlanRun = func(job.TaskID, int) emulator.RunPlan {
			return emulator.RunPlan{
				Duration:  d,
				EndReason: "done",
			}
		}
	}
}
