package integration_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The tests of crowds check that a process survives clients that keep to no limits. They
// check only what does not depend on the machine's speed: that the process lives, that its
// memory stays under MemoryMB and its descriptors under a bound, and that an ordinary
// request is answered while the crowd is there.
const (
	// crowdMemoryMB is MemoryMB of the processes, and the bound of their memory.
	crowdMemoryMB = 64
	// crowdDescriptors bounds the open descriptors of a process. It has one for each
	// 64 KB of crowdMemoryMB.
	crowdDescriptors = 1000
	// crowdConnections is the number of clients of the tests that only open connections.
	crowdConnections = 1500
	// crowdHold is how long a crowd stays after all its clients have sent what they send.
	crowdHold = 2 * time.Second
	// crowdPause is how long a client that was closed waits before it returns.
	crowdPause = 500 * time.Millisecond
	// crowdTimeout bounds the wait for the crowd, and for an ordinary answer.
	crowdTimeout = 30 * time.Second
)

// crowd is a number of clients that stay connected to an address. Each runs attack, which
// sends something and may stop short of its end, keeps its connection open until the test
// ends, and starts again if it is closed.
type crowd struct {
	address string
	clients int
	// attack sends what client i sends. An error means that it was refused or closed.
	attack func(i int, c net.Conn) error
}

// start starts the clients and waits until each has sent what it sends, or was refused or
// closed, once. stop ends them.
func (c crowd) start(t *testing.T) (stop func()) {
	t.Helper()

	ctx, cancel := context.WithCancel(context.Background())

	var (
		wg    sync.WaitGroup
		tried atomic.Int64
	)

	for i := range c.clients {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.runClient(ctx, i, func() {
					if n == 0 {
						tried.Add(1)
					}
				})

				select {
				case <-ctx.Done():
				case <-time.After(crowdPause):
				}
			}
		})
	}

	limit := time.Now().Add(crowdTimeout)
	for tried.Load() < int64(c.clients) && time.Now().Before(limit) {
		time.Sleep(pollInterval)
	}

	return func() {
		cancel()
		wg.Wait()
	}
}

// runClient opens a connection, sends what client i sends, calls sent and waits until the
// connection or ctx ends.
func (c crowd) runClient(ctx context.Context, i int, sent func()) {
	var once sync.Once
	defer once.Do(sent)

	d := net.Dialer{Timeout: crowdTimeout}

	conn, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return
	}
	defer conn.Close()

	end := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer end()

	if c.attack(i, conn) != nil {
		return
	}

	once.Do(sent)

	for b := make([]byte, 512); err == nil; {
		_, err = conn.Read(b)
	}
}

// observer samples the memory and the open descriptors of a process.
type observer struct {
	t       *testing.T
	process *hostedProcess
	ip      string
	stop    chan struct{}
	done    chan struct{}
	// peakMB counts the resident memory and the bytes received and not yet read.
	peakMB, peakReceivedMB float64
	peakDescriptors        int
}

// observe starts to sample a process, whose addresses have the given IP.
func observe(t *testing.T, p *hostedProcess, ip string) *observer {
	o := &observer{
		t:       t,
		process: p,
		ip:      ip,
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}

	go func() {
		defer close(o.done)

		for {
			o.sample()

			select {
			case <-o.stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()

	return o
}

func (o *observer) sample() {
	received := float64(bytesNotRead(o.ip)) / (1 << 20)
	o.peakReceivedMB = max(o.peakReceivedMB, received)
	o.peakMB = max(o.peakMB, o.statusMB("VmRSS")+received)

	if list, err := os.ReadDir(o.proc("fd")); err == nil {
		o.peakDescriptors = max(o.peakDescriptors, len(list))
	}
}

func (o *observer) proc(name string) string {
	return filepath.Join("/proc", strconv.Itoa(o.process.command.Process.Pid), name)
}

// statusMB returns a field of /proc/PID/status in MB, 0 if the process has ended.
func (o *observer) statusMB(field string) float64 {
	text, err := os.ReadFile(o.proc("status"))
	if err != nil {
		return 0
	}

	_, rest, _ := strings.Cut(string(text), field+":")

	f := strings.Fields(rest)
	if len(f) == 0 {
		return 0
	}

	kb, err := strconv.ParseFloat(f[0], 64)
	if err != nil {
		return 0
	}

	return kb / 1024
}

// bytesNotRead returns the bytes that the kernel has received on connections to an IP and that
// were not read yet, which count against the memory of a process.
func bytesNotRead(ip string) int64 {
	const (
		established = "01"
		closeWait   = "08"
	)

	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()

	b := net.ParseIP(ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", b[3], b[2], b[1], b[0])

	var sum int64

	for lines := bufio.NewScanner(f); lines.Scan(); {
		// sl, local_address, rem_address, st, tx_queue:rx_queue, …
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || (fields[3] != established && fields[3] != closeWait) {
			continue
		}

		_, queue, _ := strings.Cut(fields[4], ":")
		if n, err := strconv.ParseInt(queue, 16, 64); err == nil {
			sum += n
		}
	}

	return sum
}

// check ends the sampling and checks that the process lives and stayed within its bounds.
func (o *observer) check() {
	o.t.Helper()

	close(o.stop)
	<-o.done

	peak := o.statusMB("VmHWM")
	o.t.Logf("VmHWM %.0f MB, with bytes not read %.0f MB (of them up to %.1f MB), %d descriptors",
		peak, o.peakMB, o.peakReceivedMB, o.peakDescriptors)
	assert.Check(o.t, peak > 0, "the process has ended")
	assert.Check(o.t, peak < crowdMemoryMB, "%.0f MB resident", peak)
	assert.Check(o.t, o.peakMB < crowdMemoryMB, "%.0f MB with bytes not read", o.peakMB)
	assert.Check(o.t, o.peakDescriptors < crowdDescriptors, "%d descriptors", o.peakDescriptors)
}

// awaitOrdinary waits until ordinary, a request inside the limits, is answered.
func awaitOrdinary(t *testing.T, ordinary func() error) {
	t.Helper()

	for limit := time.Now().Add(crowdTimeout); ; time.Sleep(pollInterval) {
		err := ordinary()
		if err == nil {
			return
		}

		if time.Now().After(limit) {
			assert.Check(t, err, "no ordinary request is answered")

			return
		}
	}
}

// startCrowded starts an entry, or an entry and an agent, with crowdMemoryMB.
func startCrowded(t *testing.T, agents int) *hosted {
	t.Helper()

	h := newHosted(t)
	h.memoryMB = crowdMemoryMB
	h.launch(make([]float64, 1), agents)
	h.awaitReady(0)

	return h
}

// withstand runs a crowd against a process and checks it. ordinary is sent while the crowd
// is there.
func withstand(t *testing.T, p *hostedProcess, ip string, c crowd, ordinary func() error) {
	t.Helper()
	awaitOrdinary(t, ordinary)

	o := observe(t, p, ip)
	stop := c.start(t)

	time.Sleep(crowdHold)
	awaitOrdinary(t, ordinary)
	stop()
	o.check()
}

// crowdedEntry runs a crowd against an entry of its own, at a port, and submits ordinary jobs.
func crowdedEntry(t *testing.T, port string, clients int, attack func(i int, c net.Conn) error) {
	t.Helper()

	h := startCrowded(t, 0)
	ip := strings.TrimSuffix(h.entries[0].callerAddress, ":8080")

	withstand(t, h.entries[0], ip, crowd{
		address: ip + port,
		clients: clients,
		attack:  attack,
	}, func() error {
		status, _ := h.call(0, http.MethodPost, fmt.Sprintf("%016x", h.random.Uint64()), map[string]any{
			"spec":  "ordinary",
			"steps": []map[string]any{{"count": 1, "cpu": 100}},
		})
		if status != http.StatusOK {
			return fmt.Errorf("status %d", status)
		}

		return nil
	})
}

// crowdedAgent runs a crowd against an agent of its own, at a port, and sends ordinary
// announcements.
func crowdedAgent(t *testing.T, port string, clients int, attack func(i int, c net.Conn) error) {
	t.Helper()

	h := startCrowded(t, 1)
	ip := fmt.Sprintf("127.%d.2.1", h.network)

	withstand(t, h.agents[0], ip, crowd{
		address: ip + port,
		clients: clients,
		attack:  attack,
	}, func() error {
		client := http.Client{
			Timeout:   4 * time.Second,
			Transport: &http.Transport{DisableKeepAlives: true},
		}

		// The agent answers an announcement of a service that isn't its worker's, and ignores it.
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+ip+":8082"+announcementPath,
			strings.NewReader(`{"service":"none","zone":"lannion","state":"ready","capacity":{},"seq":1}`))
		assert.NilError(t, err)

		a, err := client.Do(r)
		if err != nil {
			return err
		}
		defer a.Body.Close()

		if a.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", a.StatusCode)
		}

		return nil
	})
}

// announcementPath is the path of the announcements of some worker.
const announcementPath = "/trefoildeck/instances/i-crowd"
