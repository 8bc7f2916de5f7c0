// Package integration_test runs the built binary as separate processes behind
// a fault-injecting proxy, and judges it by what the stand-ins saw.
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
	token = "integration-token"
	// startTime is how long a process may take to be ready.
	startTime = 10 * time.Second
	pollTime  = 20 * time.Millisecond
	// These are short, so that the tests are.
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
	// What is left behind is a temporary folder.
	_ = os.RemoveAll(folder)

	os.Exit(code)
}

// shape says what a deployment consists of.
type shape struct {
	dataCentres []string
	service     string
	entries     int
	agents      int
	endpointLag time.Duration
	// extra is added to the settings of every entry and agent.
	extra string
}

func balisageArmor() shape {
	return shape{
		dataCentres: []string{"lannion", "pontivy", "quimper", "vitre"},
		service:     "ordering",
		entries:     2,
		agents:      1,
		endpointLag: 5 * time.Millisecond,
	}
}

func sillasDelValle() shape {
	return shape{
		dataCentres: []string{"sabana", "sinu", "cafetero"},
		service:     "booking",
		entries:     2,
		agents:      2,
		endpointLag: 5 * time.Millisecond,
	}
}

// process is one running process.
type process struct {
	t        *testing.T
	name     string
	args     []string
	log      string
	cmd      *exec.Cmd
	exited   chan error
	caller   netip.AddrPort
	operator netip.AddrPort
	admin    netip.AddrPort
	peers    *link
	table    *link
}

// deployment is a set of processes.
type deployment struct {
	t        *testing.T
	shape    shape
	folder   string
	control  netip.AddrPort
	standin  *process
	entries  []*process
	agents   []*process
	workers  []string
	runtimes map[string]netip.AddrPort
}

func start(t *testing.T, s shape) *deployment {
	t.Helper()

	d := &deployment{
		t:        t,
		shape:    s,
		folder:   t.TempDir(),
		control:  local.FreeAddress(),
		runtimes: map[string]netip.AddrPort{},
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

	fmt.Fprintf(&text, "[Standin]\nControlAddress = %s\nTableAddress = %s\nObjectsAddress = %s\n", d.control, table, objects)

	for _, dataCentre := range d.shape.dataCentres {
		for n := range d.shape.agents {
			name := fmt.Sprintf("%s-%d", dataCentre, n)
			d.workers = append(d.workers, name)
			d.runtimes[name] = local.FreeAddress()
			endpoints[name] = local.FreeAddress()
			fmt.Fprintf(&text, "[Runtime %s]\nAddress = %s\n", name, d.runtimes[name])
			fmt.Fprintf(&text, "[Endpoint %s]\nAddress = %s\nDelay = %s\n", name, endpoints[name], d.shape.endpointLag)
		}
	}

	d.standin = d.launch("standin", "standin", text.String())
	d.waitHTTP(d.control, "/table/counts")

	return endpoints
}

func (d *deployment) startEntry(n int, table netip.AddrPort) {
	name := fmt.Sprintf("entry-%d", n)
	peer, advertised, viaTable := local.FreeAddress(), local.FreeAddress(), local.FreeAddress()
	sum := sha256.Sum256([]byte(token))

	p := &process{
		caller:   local.FreeAddress(),
		operator: local.FreeAddress(),
		admin:    local.FreeAddress(),
		peers:    newLink(d.t, name+"-peers", advertised.String(), peer.String()),
		table:    newLink(d.t, name+"-table", viaTable.String(), table.String()),
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
%s`, name, d.shape.dataCentres[n%len(d.shape.dataCentres)], p.caller, p.operator, peer, advertised, p.admin,
		taskLease, shardLease, viaTable, filepath.Join(d.folder, "secret"), hex.EncodeToString(sum[:]), d.shape.extra))

	d.entries = append(d.entries, p)
	d.waitHTTP(p.admin, "/readyz")
}

func (d *deployment) startAgent(dataCentre string, n int, endpoints map[string]netip.AddrPort, objects netip.AddrPort) {
	name := fmt.Sprintf("%s-%d", dataCentre, n)

	var entries []string
	for _, e := range d.entries {
		entries = append(entries, e.peers.proxy.Listen)
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
%s`, name, dataCentre, strings.Join(entries, ", "), p.admin, d.shape.service, endpoints[name], name, n/3,
		d.runtimes[name], objects, filepath.Join(d.folder, "secret"), d.shape.extra)))
	d.waitHTTP(p.admin, "/readyz")
}

func (d *deployment) launch(name, role, settings string) *process {
	return d.launchInto(&process{}, name, role, settings)
}

func (d *deployment) launchInto(p *process, name, role, settings string) *process {
	p.t = d.t
	p.name = name
	p.log = filepath.Join(d.folder, name+".log")
	p.args = []string{role, "-settings", d.write(name+".ini", settings)}
	p.run()

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

// run starts the process, or starts it again.
func (p *process) run() {
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

// signal sends a signal; a process that has ended gets none.
func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// wait waits for the end of the process, however it ends.
func (p *process) wait() {
	//nolint:errcheck // a process that was killed ends with an error
	<-p.exited
}

// shutDown ends the process gracefully.
func (p *process) shutDown() {
	p.signal(syscall.SIGTERM)

	select {
	case err := <-p.exited:
		assert.NilError(p.t, err, "%s", p.name)
	case <-time.After(startTime + 5*time.Second):
		p.t.Fatalf("%s did not shut down", p.name)
	}
}

const shownLog = 6000

func (p *process) showLog() {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return
	}

	p.t.Logf("the end of the log of %s:\n%s", p.name, data[max(0, len(data)-shownLog):])
}

func (d *deployment) waitHTTP(a netip.AddrPort, path string) {
	d.until("an answer of "+path, startTime, func() bool {
		res, err := http.Get("http://" + a.String() + path)
		if err != nil {
			return false
		}
		defer res.Body.Close()

		return res.StatusCode == http.StatusOK
	})
}

func (d *deployment) until(what string, limit time.Duration, holds func() bool) {
	d.t.Helper()

	for deadline := time.Now().Add(limit); !holds(); time.Sleep(pollTime) {
		if time.Now().After(deadline) {
			d.t.Fatalf("not within %s: %s", limit, what)
		}
	}
}

func (d *deployment) operator(n int) *operator.Client {
	return &operator.Client{
		URL:   "http://" + d.entries[n].operator.String(),
		Token: token,
	}
}

// declare applies what every test needs, and more.
func (d *deployment) declare(more ...resource.Resource) {
	d.t.Helper()

	var list []resource.Resource
	for _, name := range d.shape.dataCentres {
		list = append(list, declared(resource.KindDataCentre, name, &resource.DataCentre{Region: "test"}))
	}

	list = append(list,
		declared(resource.KindTeam, "mixing", &resource.Team{}),
		declared(resource.KindService, d.shape.service, &resource.Service{
			LatencyTarget: 200 * time.Millisecond,
			Timeout:       3 * time.Second,
			MaxBodyBytes:  8 << 20,
			MilliCores:    4000,
			MemoryMB:      4000,
		}))

	_, err := d.operator(0).Apply(d.t.Context(), append(list, more...), false)
	assert.NilError(d.t, err)

	d.until("the service answers at every entry", startTime, func() bool {
		for n := range d.entries {
			if o, _ := d.get(n); o != "Answered" {
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
	return "http://" + d.entries[n].caller.String() + "/services/" + d.shape.service + "/x"
}

// get sends one idempotent request and returns its outcome.
func (d *deployment) get(n int) (string, error) {
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

func (d *deployment) untilFinished(name string, tasks int, limit time.Duration) {
	d.t.Helper()

	d.until(fmt.Sprintf("%d tasks of %s finished", tasks, name), limit, func() bool {
		for n := range d.entries {
			if s, err := d.job(n, name); err == nil && s.Finished == tasks {
				return true
			}
		}

		return false
	})
}

func (d *deployment) control1(method, path string, body any) []byte {
	data, err := json.Marshal(body)
	assert.NilError(d.t, err)

	req, err := http.NewRequest(method, "http://"+d.control.String()+path, strings.NewReader(string(data)))
	assert.NilError(d.t, err)

	res, err := http.DefaultClient.Do(req)
	assert.NilError(d.t, err)

	defer res.Body.Close()

	out, err := io.ReadAll(res.Body)
	assert.NilError(d.t, err)

	return out
}

func (d *deployment) tableFault(f standin.Fault) {
	d.control1(http.MethodPut, "/table/fault", f)
}

func (d *deployment) runs() []standin.Request {
	var all []standin.Request

	for _, name := range d.workers {
		var list []standin.Request
		assert.NilError(d.t, json.Unmarshal(d.control1(http.MethodGet, "/endpoints/"+name+"/runs", nil), &list))
		all = append(all, list...)
	}

	return all
}

func (d *deployment) events() []standin.Event {
	var all []standin.Event

	for _, name := range d.workers {
		var list []standin.Event
		assert.NilError(d.t, json.Unmarshal(d.control1(http.MethodGet, "/runtimes/"+name+"/events", nil), &list))
		all = append(all, list...)
	}

	return all
}
