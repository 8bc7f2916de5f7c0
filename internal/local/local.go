// Package local runs a whole deployment in one process on loopback: stand-ins
// for the platform, entries and agents. The demo, the tests and the benchmarks use it.
//
// # Usage
//
//	d, err := local.Start(local.Options{
//		DataCentres: []string{"lannion", "vitre"},
//		Entries:     2,
//		Agents:      2,
//		Service:     "ordering",
//		Slots:       8,
//		MilliCores:  8000,
//		MemoryMB:    16000,
//		TaskLease:   10 * time.Second,
//		ShardLease:  4 * time.Second,
//		Log:         log,
//	})
//	defer d.Stop()
//	results, err := d.Operator(0).Apply(ctx, resources, false)
package local

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"trefoildeck/agent"
	"trefoildeck/entry"
	"trefoildeck/io/operator"
	"trefoildeck/io/table"
	"trefoildeck/settings"
	"trefoildeck/standin"

	"go.uber.org/zap"
)

// Token is the operator token that all entries accept.
const Token = "a-token-for-loopback-only"

// Options describe a deployment.
type Options struct {
	DataCentres []string
	// Entries is the number of entries in all, assigned to the data centres in
	// turn.
	Entries int
	// Agents is the number of agents in each data centre.
	Agents int
	// Service is the service whose endpoints run beside the agents, each with
	// Slots concurrent requests.
	Service string
	Slots   int
	// Delay is how long an endpoint takes to answer a request.
	Delay time.Duration
	// MilliCores and MemoryMB are the capacity of each worker.
	MilliCores int64
	MemoryMB   int64
	TaskLease  time.Duration
	ShardLease time.Duration
	Log        *zap.Logger
	// Proxy returns the address at which the process named from reaches the
	// process named to, or the table, in place of its own address a. If Proxy is
	// nil, processes connect directly.
	Proxy func(from, to string, a netip.AddrPort) netip.AddrPort
}

// Process is one running entry or agent.
type Process struct {
	Name       string
	DataCentre string
	// The addresses are set for entries only.
	CallerAddress   netip.AddrPort
	OperatorAddress netip.AddrPort
	PeerAddress     netip.AddrPort

	run    func(context.Context) error
	cancel context.CancelFunc
	done   chan error
}

// Deployment is a running deployment. Agents are in the order of the data centres.
type Deployment struct {
	// Standins serves the table, the object store, the runtimes and the endpoints.
	Standins *standin.Server
	Entries  []*Process
	Agents   []*Process

	options         Options
	standinSettings standin.Settings
	secretFile      string
	dir             string
	stopStandins    context.CancelFunc
	wg              sync.WaitGroup
}

// Start starts a deployment and waits until the table and the entries listen. If it fails,
// it leaves nothing running.
func Start(o Options) (*Deployment, error) {
	d, err := newDeployment(o)
	if err != nil {
		return nil, err
	}

	for _, start := range []func() error{d.startStandins, d.startEntries, d.startAgents} {
		if err := start(); err != nil {
			d.Stop()

			return nil, err
		}
	}

	return d, nil
}

func newDeployment(o Options) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "trefoildeck-")
	if err != nil {
		return nil, fmt.Errorf("create temporary directory: %w", err)
	}

	d := &Deployment{
		options:    o,
		dir:        dir,
		secretFile: filepath.Join(dir, "secret"),

		stopStandins: func() {},
	}

	if err := os.WriteFile(d.secretFile, []byte("secret"), 0o600); err != nil {
		return nil, fmt.Errorf("write secret file: %w", err)
	}

	if o.Proxy == nil {
		d.options.Proxy = func(_, _ string, a netip.AddrPort) netip.AddrPort { return a }
	}

	return d, nil
}

// Stop stops all processes and removes the temporary directory.
func (d *Deployment) Stop() {
	for _, p := range append(d.Agents, d.Entries...) {
		p.cancel()
	}

	d.wg.Wait()
	d.stopStandins()
	// If this fails, only a small temporary directory is left.
	_ = os.RemoveAll(d.dir)
}

// Operator returns a client of the n-th entry's operator interface.
func (d *Deployment) Operator(n int) *operator.Client {
	return &operator.Client{
		URL:   "http://" + d.Entries[n].OperatorAddress.String(),
		Token: Token,
	}
}

// EndpointAddress returns the address of the endpoint beside the n-th agent.
func (d *Deployment) EndpointAddress(n int) netip.AddrPort {
	return d.standinSettings.Endpoints[d.Agents[n].Name].Address
}

func (d *Deployment) startStandins() error {
	s := standin.Settings{
		TableAddress:   FreeAddress(),
		ObjectsAddress: FreeAddress(),
		Runtimes:       map[string]netip.AddrPort{},
		Endpoints:      map[string]standin.EndpointSettings{},
	}

	for _, dataCentre := range d.options.DataCentres {
		for n := range d.options.Agents {
			name := agentName(dataCentre, n)
			s.Runtimes[name] = FreeAddress()
			s.Endpoints[name] = standin.EndpointSettings{
				Address: FreeAddress(),
				Delay:   d.options.Delay,
			}
		}
	}

	ctx, cancel := context.WithCancel(context.Background())
	d.stopStandins = cancel
	d.standinSettings = s
	d.Standins = standin.NewServer(s)
	failed := make(chan error, 1)

	go func() { failed <- d.Standins.Serve(ctx) }()

	return waitForListener(s.TableAddress, failed)
}

func agentName(dataCentre string, n int) string {
	return fmt.Sprintf("%s-%d", dataCentre, n)
}

func (d *Deployment) startEntries() error {
	for n := range d.options.Entries {
		dataCentre := d.options.DataCentres[n%len(d.options.DataCentres)]

		p := d.newEntry(fmt.Sprintf("entry-%d", n), dataCentre)

		if err := d.Launch(p); err != nil {
			return err
		}

		d.Entries = append(d.Entries, p)
	}

	return nil
}

func (d *Deployment) newEntry(name, dataCentre string) *Process {
	sum := sha256.Sum256([]byte(Token))
	s := settings.Entry{
		Entry: settings.EntrySection{
			Name:              name,
			DataCentre:        dataCentre,
			CallerAddress:     FreeAddress(),
			OperatorAddress:   FreeAddress(),
			PeerAddress:       FreeAddress(),
			AdminAddress:      FreeAddress(),
			TaskLease:         d.options.TaskLease,
			ShardLease:        d.options.ShardLease,
			KeyRate:           1000,
			DrainTime:         10 * time.Second,
			AdvertisedAddress: netip.AddrPort{},
		},
		Operators: []settings.Operator{{
			Name:        "demo",
			TokenSHA256: hex.EncodeToString(sum[:]),
		}},
	}
	s.Entry.AdvertisedAddress = s.Entry.PeerAddress
	address := d.options.Proxy(name, "table", d.standinSettings.TableAddress)

	return &Process{
		Name:            name,
		DataCentre:      dataCentre,
		CallerAddress:   s.Entry.CallerAddress,
		OperatorAddress: s.Entry.OperatorAddress,
		PeerAddress:     s.Entry.PeerAddress,
		run: func(ctx context.Context) error {
			e, err := entry.New(s, table.Dial(table.Options{
				URL:       "http://" + address.String(),
				Region:    "local",
				Name:      "trefoildeck",
				AccessKey: "key",
				SecretKey: "secret",
			}), d.options.Log)
			if err != nil {
				return err
			}

			return e.Run(ctx)
		},
	}
}

func (d *Deployment) startAgents() error {
	for _, dataCentre := range d.options.DataCentres {
		for n := range d.options.Agents {
			p := d.newAgent(agentName(dataCentre, n), dataCentre, n)
			if err := d.Launch(p); err != nil {
				return err
			}

			d.Agents = append(d.Agents, p)
		}
	}

	return nil
}

func (d *Deployment) newAgent(name, dataCentre string, n int) *Process {
	s := settings.Agent{
		Agent: settings.AgentSection{
			Name:         name,
			DataCentre:   dataCentre,
			AdminAddress: FreeAddress(),
			DrainTime:    10 * time.Second,
		},
		Endpoint: settings.EndpointSection{
			Service: d.options.Service,
			Address: d.standinSettings.Endpoints[name].Address,
			Slots:   int64(d.options.Slots),
		},
		Worker: settings.WorkerSection{
			Name:       name,
			Rack:       fmt.Sprintf("rack-%d", n/3),
			Address:    d.standinSettings.Runtimes[name],
			MilliCores: d.options.MilliCores,
			MemoryMB:   d.options.MemoryMB,
		},
		Objects: settings.ObjectsSection{
			URL:           "http://" + d.standinSettings.ObjectsAddress.String(),
			Region:        "local",
			Bucket:        "checkpoints",
			AccessKey:     "key",
			SecretKeyFile: d.secretFile,
		},
	}

	for _, e := range d.Entries {
		s.Agent.EntryAddresses = append(s.Agent.EntryAddresses, d.options.Proxy(name, e.Name, e.PeerAddress))
	}

	return &Process{
		Name:       name,
		DataCentre: dataCentre,
		run: func(ctx context.Context) error {
			a, err := agent.New(s, d.options.Log)
			if err != nil {
				return err
			}

			return a.Run(ctx)
		},
	}
}

// Launch starts a process, or restarts one that has ended. For an entry, it waits
// until the peer address listens.
func (d *Deployment) Launch(p *Process) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.done = make(chan error, 1)

	d.wg.Go(func() {
		p.done <- p.run(ctx)
	})

	if !p.PeerAddress.IsValid() {
		return nil
	}

	return waitForListener(p.PeerAddress, p.done)
}

// Shutdown stops a process gracefully and waits until it has ended.
func (p *Process) Shutdown() error {
	p.cancel()

	return <-p.done
}

// Ports that FreeAddress returns. They are below the system's ephemeral range, from
// which an outgoing connection could take a port before its process listens.
const (
	firstPort = 10_000
	portCount = 20_000
	// portStride makes processes that run at the same time begin at different
	// ports.
	portStride = 997
)

var nextPort atomic.Uint32

// FreeAddress returns a loopback address that nothing listens on, a different one
// at each call. It probes ports by dialling and not by listening: a child process
// forked at that moment could inherit a listening socket and keep the port in use.
func FreeAddress() netip.AddrPort {
	var d net.Dialer

	for {
		n := nextPort.Add(1) + uint32(os.Getpid()*portStride)
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+n%portCount))

		c, err := d.DialContext(context.Background(), "tcp", a.String())
		if err != nil {
			return a
		}

		// Another process listens on the port.
		_ = c.Close()
	}
}

const startTimeout = 5 * time.Second

// waitForListener waits until a listener accepts connections on an address. It
// returns early with the error of a process that has failed.
func waitForListener(a netip.AddrPort, failed <-chan error) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()

	var dialer net.Dialer

	for {
		c, err := dialer.DialContext(ctx, "tcp", a.String())
		if err == nil {
			return c.Close()
		}

		select {
		case err := <-failed:
			return fmt.Errorf("start process: %w", err)
		case <-time.After(10 * time.Millisecond):
		}

		if ctx.Err() != nil {
			return fmt.Errorf("start process: nothing listens on %s: %w", a, err)
		}
	}
}
