package integration_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoildeck/core/resource"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
)

// usage is the processor time that a process has used and its resident memory, at a
// time.
type usage struct {
	cpu         time.Duration
	memoryBytes int64
	at          time.Time
}

// clockTick is the unit of the processor times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

func (p *process) usage() usage {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	assert.NilError(p.t, err)

	// The fields that follow the name of the command, which is in parentheses.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))

	user, err := strconv.ParseInt(fields[11], 10, 64)
	assert.NilError(p.t, err)

	system, err := strconv.ParseInt(fields[12], 10, 64)
	assert.NilError(p.t, err)

	pages, err := strconv.ParseInt(fields[21], 10, 64)
	assert.NilError(p.t, err)

	return usage{
		cpu:         time.Duration(user+system) * clockTick,
		memoryBytes: pages * int64(os.Getpagesize()),
		at:          time.Now(),
	}
}

// usageSince returns the processor time used since before, in percent of a core, and
// the resident memory, in MB.
func (p *process) usageSince(before usage) (percent, memory float64) {
	now := p.usage()

	return 100 * float64(now.cpu-before.cpu) / float64(now.at.Sub(before.at)), float64(now.memoryBytes) / (1 << 20)
}

// TestCapacity logs the processor time and memory that processes use, for
// docs/CAPACITY.md (make capacity). It checks nothing.
func TestCapacity(t *testing.T) {
	if os.Getenv("CAPACITY") == "" {
		t.Skip("it only measures; set CAPACITY=1, or use make capacity")
	}

	const period = 10 * time.Second

	d := startDeployment(t, threeDataCentres())
	d.declare(batch("reports", 36, time.Hour))
	time.Sleep(5 * time.Second)

	measure := func(what string, p *process) {
		before := p.usage()
		time.Sleep(period)

		percent, memory := p.usageSince(before)
		t.Logf("%-44s %6.2f%% of a core, %6.1f MB", what, percent, memory)
	}

	measure("agent, 6 tasks, no requests", d.agents[0])
	measure("entry, 6 agents, no requests", d.entries[0])

	l := d.startLoad(20)

	time.Sleep(time.Second)

	sent := len(l.results())

	measure("agent under load", d.agents[0])
	t.Logf("requests in that time, over all agents: %d", len(l.results())-sent)
	measure("entry under load", d.entries[0])
	l.end()

	for _, n := range []int{200, 400, 800, 1600} {
		stop := dialAgents(t, d.entries[0].peerProxy.proxy.Upstream, n)

		time.Sleep(5 * time.Second)
		measure(fmt.Sprintf("entry, %d further agents of 18 tasks", n), d.entries[0])
		stop()
		time.Sleep(time.Second)
	}

	began := time.Now()
	before := d.entries[0].usage()

	const changes = 200

	for n := range changes {
		_, err := d.operator(0).Apply(t.Context(), []resource.Resource{
			declared(resource.KindConfiguration, "opening", &resource.Configuration{Values: map[string]string{"N": fmt.Sprint(n)}}),
		}, false)
		assert.NilError(t, err)
	}

	took := time.Since(began)
	t.Logf("a change takes %s and %s of the entry's processor", took/changes, (d.entries[0].usage().cpu-before.cpu)/changes)
	t.Logf("table: %s", d.controlRequest(http.MethodGet, "/table/counts", nil))
}

// dialAgents opens n sessions to the entry at address, which send heartbeats of 18
// tasks each, as agents do, until stop is called.
func dialAgents(t *testing.T, address string, n int) (stop func()) {
	t.Helper()

	ctx, cancel := context.WithCancel(context.Background())

	for i := range n {
		name := fmt.Sprintf("fake-%d", i)

		var tasks []*peerpb.TaskState
		for task := range 18 {
			tasks = append(tasks, &peerpb.TaskState{
				Job:            "some-job@12345",
				Task:           int32(task),
				Attempt:        1,
				Phase:          "Running",
				UsedMilliCores: 1000,
				UsedMemoryMB:   1000,
			})
		}

		l := &peer.Link{
			Address: netip.MustParseAddrPort(address),
			Hello: func() *peerpb.Hello {
				return &peerpb.Hello{
					Name:       name,
					Role:       peer.RoleAgent,
					DataCentre: "sabana",
					Worker: &peerpb.Worker{
						Name:       name,
						MilliCores: 64_000,
						MemoryMB:   250_000,
					},
				}
			},
			OnOpen:  func(s *peer.Session) { go sendHeartbeats(ctx, s, name, tasks) },
			OnClose: func(*peer.Session) {},
			OnFrame: func(*peer.Session, *peerpb.Frame) {},
			OnError: func(error) {},
		}

		go l.Run(ctx)
	}

	return cancel
}

// sendHeartbeats sends a heartbeat every 250 ms until ctx or the session is done.
func sendHeartbeats(ctx context.Context, s *peer.Session, bootID string, tasks []*peerpb.TaskState) {
	ticker := time.NewTicker(250 * time.Millisecond)
	defer ticker.Stop()

	for n := uint64(1); ; n++ {
		select {
		case <-ctx.Done():
			s.Close()

			return
		case <-s.Done():
			return
		case <-ticker.C:
		}

		// On an error the session ends and the link opens another one.
		_ = s.Send(&peerpb.Frame{Body: &peerpb.Frame_Heartbeat{Heartbeat: &peerpb.Heartbeat{
			Sequence: n,
			BootID:   bootID,
			Uptime:   int64(time.Duration(n) * 250 * time.Millisecond),
			Load:     &peerpb.Load{},
			Tasks:    tasks,
		}}})
	}
}
