// Package integration_test runs the built programs as separate processes, connected
// through fault-injecting proxies, and checks what the stand-ins and the callers
// recorded.
package integration_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"trefoildeck/core/placement"
	"trefoildeck/core/resource"
	"trefoildeck/internal/local"
	"trefoildeck/io/operator"
	"trefoildeck/standin"

	"gotest.tools/v3/assert"
)

const (
	operatorToken = "integration-token"
	// startTimeout bounds the time until a started process is ready.
	startTimeout = 10 * time.Second
	pollInterval = 20 * time.Millisecond
	// The leases are short to keep the tests short.
	taskLease  = 6 * time.Second
	shardLease = 3 * time.Second
)

var binary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "trefoildeck-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}

	binary = filepath.Join(folder, "trefoildeck")

	build := exec.Command("go", "build", "-o", binary, "trefoildeck")
	build.Stderr = os.Stderr

	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}

	code := m.Run()
	// On an error only a temporary folder is left behind.
	_ = os.RemoveAll(folder)

	os.Exit(code)
}

// topology describes the processes of a deployment: its data centres, the number of
// entries, and the number of agents in each data centre.
type topology struct {
	dataCentres   []string
	service       string
	entries       int
	agents        int
	endpointDelay time.Duration
	// extraSettings is appended to the settings of every entry and agent.
	extraSettings string
}

// fourDataCentres is a topology with one agent in each of four data centres.
func fourDataCentres() topology {
	return topology{
		dataCentres:   []string{"lannion", "pontivy", "quimper", "vitre"},
		service:       "ordering",
		entries:       2,
		agents:        1,
		endpointDelay: 5 * time.Millisecond,
	}
}

// threeDataCentres is a topology with two agents in each of three data centres.
func threeDataCentres() topology {
	return topology{
		dataCentres:   []string{"sabana", "sinu", "cafetero"},
		service:       "booking",
		entries:       2,
		agents:        2,
		endpointDelay: 5 * time.Millisecond,
	}
}

// process is a process of the binary; it can be ended and started again.
type process struct {
	t          *testing.T
	name       string
	args       []string
	log        string
	cmd        *exec.Cmd
	exited     chan error
	caller     netip.AddrPort
	operator   netip.AddrPort
	admin      netip.AddrPort
	peerProxy  *faultProxy
	tableProxy *faultProxy
}

// deployment is a running set of entries, agents and stand-ins.
type deployment struct {
	t              *testing.T
	topology       topology
	folder         string
	controlAddress netip.AddrPort
	standin        *process
	entries        []*process
	agents         []*process
	workers        []string
	runtimes       map[string]netip.AddrPort
}

func startDeployment(t *testing.T, s topology) *deployment {
	t.Helper()

	d := &deployment{
		t:              t,
		topology:       s,
		folder:         t.TempDir(),
		controlAddress: local.FreeAddress(),
		runtimes:       map[string]netip.AddrPort{},
	}
	d.write("secret", "secret")

	table, objects := local.FreeAddress(), local.FreeAddress()
	endpoints := d.startStandin(table, objects)

	for n := range s.entries {
		d.startEntry(n, table)
	}

	for _, dataCentre := range s.dataCentres {
		for n := range s.agents {
			d.startAgent(dataCentre, n, endpoints, objects)
		}
	}

	return d
}

func (d *deployment) write(name, text string) string {
	file := filepath.Join(d.folder, name)
	assert.NilError(d.t, os.WriteFile(file, []byte(text), 0o600))

	return file
}

func (d *deployment) startStandin(table, objects netip.AddrPort) map[string]netip.AddrPort {
	endpoints := map[string]netip.AddrPort{}

	var text strings.Builder

	fmt.Fprintf(&text, "[Standin]\nControlAddress = %s\nTableAddress = %s\nObjectsAddress = %s\n", d.controlAddress, table, objects)

	for _, dataCentre := range d.topology.dataCentres {
		for n := range d.topology.agents {
			name := fmt.Sprintf("%s-%d", dataCentre, n)
			d.workers = append(d.workers, name)
			d.runtimes[name] = local.FreeAddress()
			endpoints[name] = local.FreeAddress()
			fmt.Fprintf(&text, "[Runtime %s]\nAddress = %s\n", name, d.runtimes[name])
			fmt.Fprintf(&text, "[Endpoint %s]\nAddress = %s\nDelay = %s\n", name, endpoints[name], d.topology.endpointDelay)
		}
	}

	d.standin = d.launch("standin", "standin", text.String())
	d.waitHTTP(d.controlAddress, "/table/counts")

	return endpoints
}

func (d *deployment) startEntry(n int, table netip.AddrPort) {
	name := fmt.Sprintf("entry-%d", n)
	peer, advertised, viaTable := local.FreeAddress(), local.FreeAddress(), local.FreeAddress()
	sum := sha256.Sum256([]byte(operatorToken))

	p := &process{
		caller:     local.FreeAddress(),
		operator:   local.FreeAddress(),
		admin:      local.FreeAddress(),
		peerProxy:  newFaultProxy(d.t, name+"-peers", advertised.String(), peer.String()),
		tableProxy: newFaultProxy(d.t, name+"-table", viaTable.String(), table.String()),
	}

	p = d.launchInto(p, name, "entry", fmt.Sprintf(`
[Entry]
Name = %s
DataCentre = %s
CallerAddress = %s
OperatorAddress = %s
PeerAddress = %s
AdvertisedAddress = %s
AdminAddress = %s
TaskLease = %s
ShardLease = %s
KeyRate = 1000
DrainTime = 10s
[Table]
URL = http://%s
Region = local
Name = trefoildeck
AccessKey = key
SecretKeyFile = %s
[Operator tester]
TokenSHA256 = %s
%s`, name, d.topology.dataCentres[n%len(d.topology.dataCentres)], p.caller, p.operator, peer, advertised, p.admin,
		taskLease, shardLease, viaTable, filepath.Join(d.folder, "secret"), hex.EncodeToString(sum[:]), d.topology.extraSettings))

	d.entries = append(d.entries, p)
	d.waitHTTP(p.admin, "/readyz")
}

func (d *deployment) startAgent(dataCentre string, n int, endpoints map[string]netip.AddrPort, objects netip.AddrPort) {
	name := fmt.Sprintf("%s-%d", dataCentre, n)

	var entries []string
	for _, e := range d.entries {
		entries = append(entries, e.peerProxy.proxy.Listen)
	}

	p := &process{admin: local.FreeAddress()}
	d.agents = append(d.agents, d.launchInto(p, name, "agent", fmt.Sprintf(`
[Agent]
Name = %s
DataCentre = %s
EntryAddresses = %s
AdminAddress = %s
DrainTime = 10s
[Endpoint]
Service = %s
Address = %s
Slots = 8
[Worker]
Name = %s
Rack = rack-%d
Address = %s
MilliCores = 32000
MemoryMB = 64000
[Objects]
URL = http://%s
Region = local
Bucket = checkpoints
AccessKey = key
SecretKeyFile = %s
%s`, name, dataCentre, strings.Join(entries, ", "), p.admin, d.topology.service, endpoints[name], name, n/3,
		d.runtimes[name], objects, filepath.Join(d.folder, "secret"), d.topology.extraSettings)))
	d.waitHTTP(p.admin, "/readyz")
}

func (d *deployment) launch(name, role, settings string) *process {
	return d.launchInto(&process{}, name, role, settings)
}

func (d *deployment) launchInto(p *process, name, role, settings string) *process {
	p.t = d.t
	p.name = name
	p.log = logFile(d.t, name)
	if p.log == "" {
		p.log = filepath.Join(d.folder, name+".log")
	}

	p.args = []string{role, "-settings", d.write(name+".ini", settings)}
	p.start()

	d.t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.wait()

		if d.t.Failed() {
			p.showLog()
		}
	})

	return p
}

// logFile returns the path of a new file for the log of a process in the folder LOGS, so
// that the logs of each run are kept, or "" if LOGS is not set.
func logFile(t *testing.T, name string) string {
	t.Helper()

	folder := os.Getenv("LOGS")
	if folder == "" {
		return ""
	}

	path, err := filepath.Abs(filepath.Join(folder, strings.ReplaceAll(t.Name(), "/", "-"), fmt.Sprintf("%s-%d.log", name, time.Now().UnixNano())))
	assert.NilError(t, err)
	assert.NilError(t, os.MkdirAll(filepath.Dir(path), 0o700))

	return path
}

// start starts the process, also again after it has ended.
func (p *process) start() {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(p.t, err)

	defer func() { assert.NilError(p.t, log.Close()) }()

	p.cmd = exec.Command(binary, p.args...)
	p.cmd.Stderr = log
	assert.NilError(p.t, p.cmd.Start())

	p.exited = make(chan error, 1)

	go func(cmd *exec.Cmd, exited chan error) {
		exited <- cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
}

// signal sends a signal to the process, unless it has ended.
func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// wait waits until the process has ended, with any exit status.
func (p *process) wait() {
	//nolint:errcheck // a process that was killed ends with an error
	<-p.exited
}

// shutDown ends the process with SIGTERM and requires exit status 0.
func (p *process) shutDown() {
	p.signal(syscall.SIGTERM)

	select {
	case err := <-p.exited:
		assert.NilError(p.t, err, "%s", p.name)
	case <-time.After(startTimeout + 5*time.Second):
		p.t.Fatalf("%s did not shut down", p.name)
	}
}

const shownLogBytes = 6000

func (p *process) showLog() {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return
	}

	p.t.Logf("the end of the log of %s:\n%s", p.name, data[max(0, len(data)-shownLogBytes):])
}

func (d *deployment) waitHTTP(a netip.AddrPort, path string) {
	d.waitUntil("status 200 from "+path, startTimeout, func() bool {
		res, err := http.Get("http://" + a.String() + path)
		if err != nil {
			return false
		}
		defer res.Body.Close()

		return res.StatusCode == http.StatusOK
	})
}

func (d *deployment) waitUntil(what string, limit time.Duration, holds func() bool) {
	d.t.Helper()

	for deadline := time.Now().Add(limit); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			d.t.Fatalf("condition not met within %s: %s", limit, what)
		}
	}
}

func (d *deployment) operator(n int) *operator.Client {
	return &operator.Client{
		URL:   "http://" + d.entries[n].operator.String(),
		Token: operatorToken,
	}
}

// declare applies the resources that every test needs, and further ones, and waits
// until every entry answers requests.
func (d *deployment) declare(more ...resource.Resource) {
	d.t.Helper()

	var list []resource.Resource
	for _, name := range d.topology.dataCentres {
		list = append(list, declared(resource.KindDataCentre, name, &resource.DataCentre{Region: "test"}))
	}

	list = append(list,
		declared(resource.KindTeam, "mixing", &resource.Team{}),
		declared(resource.KindService, d.topology.service, &resource.Service{
			LatencyTarget: 200 * time.Millisecond,
			Timeout:       3 * time.Second,
			MaxBodyBytes:  8 << 20,
			MilliCores:    4000,
			MemoryMB:      4000,
		}))

	_, err := d.operator(0).Apply(d.t.Context(), append(list, more...), false)
	assert.NilError(d.t, err)

	d.waitUntil("the service answers at every entry", startTimeout, func() bool {
		for n := range d.entries {
			if o, _ := d.getOutcome(n); o != "Answered" {
				return false
			}
		}

		return true
	})
}

func declared(kind resource.Kind, name string, spec resource.Spec) resource.Resource {
	return resource.Resource{
		ID: resource.ID{
			Kind: kind,
			Name: name,
		},
		Spec: spec,
	}
}

func batch(name string, tasks int64, runTime time.Duration) resource.Resource {
	return declared(resource.KindJob, name, &resource.Job{
		Team:       "mixing",
		Tasks:      tasks,
		MilliCores: 2000,
		MemoryMB:   1000,
		RunTime:    runTime,
		Command:    "run",
	})
}

func (d *deployment) url(n int) string {
	return "http://" + d.entries[n].caller.String() + "/services/" + d.topology.service + "/x"
}

// getOutcome sends an idempotent request to an entry and returns its outcome.
func (d *deployment) getOutcome(n int) (string, error) {
	res, err := http.Get(d.url(n))
	if err != nil {
		return "", err
	}
	defer res.Body.Close()

	if _, err := io.ReadAll(res.Body); err != nil {
		return "", err
	}

	return res.Header.Get("Trefoildeck-Outcome"), nil
}

func (d *deployment) job(n int, name string) (placement.JobStatus, error) {
	var s placement.JobStatus

	v, err := d.operator(n).Get(context.Background(), resource.ID{
		Kind: resource.KindJob,
		Name: name,
	})
	if err != nil {
		return s, err
	}

	return s, json.Unmarshal(v.Status, &s)
}

// waitFinished waits until an entry reports that all tasks of a job have finished.
func (d *deployment) waitFinished(name string, tasks int, limit time.Duration) {
	d.t.Helper()

	d.waitUntil(fmt.Sprintf("%d tasks of %s finished", tasks, name), limit, func() bool {
		for n := range d.entries {
			if s, err := d.job(n, name); err == nil && s.Finished == tasks {
				return true
			}
		}

		return false
	})
}

// controlRequest sends a request to the control server of the stand-ins and returns
// the body of its response.
func (d *deployment) controlRequest(method, path string, body any) []byte {
	data, err := json.Marshal(body)
	assert.NilError(d.t, err)

	req, err := http.NewRequest(method, "http://"+d.controlAddress.String()+path, strings.NewReader(string(data)))
	assert.NilError(d.t, err)

	res, err := http.DefaultClient.Do(req)
	assert.NilError(d.t, err)

	defer res.Body.Close()

	out, err := io.ReadAll(res.Body)
	assert.NilError(d.t, err)

	return out
}

func (d *deployment) tableFault(f standin.Fault) {
	d.controlRequest(http.MethodPut, "/table/fault", f)
}

// endpointRequests returns the requests that all endpoints received.
func (d *deployment) endpointRequests() []standin.Request {
	var all []standin.Request

	for _, name := range d.workers {
		var list []standin.Request
		assert.NilError(d.t, json.Unmarshal(d.controlRequest(http.MethodGet, "/endpoints/"+name+"/runs", nil), &list))
		all = append(all, list...)
	}

	return all
}

// events returns the events of all runtimes, in order for each of them.
func (d *deployment) events() []standin.Event {
	var all []standin.Event

	for _, name := range d.workers {
		var list []standin.Event
		assert.NilError(d.t, json.Unmarshal(d.controlRequest(http.MethodGet, "/runtimes/"+name+"/events", nil), &list))
		all = append(all, list...)
	}

	return all
}
