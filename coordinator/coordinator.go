// Package coordinator implements the entry of the program trefoildeck-node: the
// process on each machine that serves callers. Its role among peers is Entry, and
// that of a sidecar is Agent. (Package entry is the entry of the program
// trefoildeck.) Every coordinator writes accepted jobs and cancellations to the store
// itself. One of them is the leader, elected by a lease in the store: it places
// all tasks and answers the other coordinators' queries about jobs. When the
// leader fails, another coordinator takes the lease and rebuilds the state from
// the store and the reports of the workers.
//
// # Usage
//
//	c := coordinator.New(settings, store, log)
//	err := c.Run(ctx) // returns after a graceful shutdown once ctx is done
package coordinator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"trefoildeck/core/breaker"
	"trefoildeck/core/config"
	"trefoildeck/core/job"
	"trefoildeck/core/lease"
	"trefoildeck/core/storeversion"
	"trefoildeck/internal/jsonlog"
	"trefoildeck/internal/metering"
	"trefoildeck/io/boottime"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/io/rows"
	"trefoildeck/platform"
	"trefoildeck/settings"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	// killMargin is the time between the end of a graceful shutdown and the SIGKILL,
	// which comes Bounds.DrainGrace after the SIGTERM.
	killMargin = time.Second
	// unreadyBeforeClose is how long the readiness check fails before the process
	// closes its listeners: the platform checks once a second and needs two failed
	// checks.
	unreadyBeforeClose = 2300 * time.Millisecond
	// lastAnswerTime is how long before the end of a graceful shutdown callers that wait for
	// the store are answered. http.Server.Shutdown takes up to 550 ms to see that they
	// were.
	lastAnswerTime = 800 * time.Millisecond
)

// Coordinator serves callers and runs the leader while it holds the lease.
type Coordinator struct {
	settings settings.Node
	log      *zap.Logger
	// store relays calls through a peer while directStore does not answer.
	store       *rows.Store
	directStore *rows.Store
	node        peer.Node
	meter       *metering.Meter
	// repeats limits the log lines about connections that are not peers'.
	repeats jsonlog.Repeats
	// now is the clock of leases and timeouts, which also counts suspension.
	now func() time.Duration

	configuration atomic.Pointer[config.Configuration]
	// storeVersion is the newest version of the store that this process knows of.
	storeVersion atomic.Int64
	// versions says since when it knows of which, guarded by versionsMu.
	versionsMu sync.Mutex
	versions   storeversion.Log
	admission  admission
	draining   atomic.Bool
	// offered is set once a readiness check has succeeded, so that callers may come.
	offered atomic.Bool

	mu sync.Mutex
	// clock estimates the store's monotonic clock.
	clock lease.Clock
	// breaker is the circuit breaker of direct calls to the store.
	breaker breaker.Breaker
	// relayBreaker is the circuit breaker of calls relayed through a peer.
	relayBreaker breaker.Breaker
	// latency is a moving average of the store's response time.
	latency time.Duration
	// storeLost is a closed channel while breaker is open. An open channel replaces
	// it when breaker closes.
	storeLost chan struct{}
	// out is true for each data centre that the operator took out of service, which
	// the operator's table records as an evacuation.
	out map[string]bool
	// localLeader is set while this process is the leader and has loaded the jobs.
	localLeader *leader
	// remoteLeader is the session of the leader while another process leads.
	remoteLeader peer.LeaderSession
	// yieldedAt is when this process last resigned in favour of a stronger one.
	yieldedAt time.Duration
	// relayPeers holds the processes that may relay calls to the store, by session: the
	// leader, or on the leader the other coordinators.
	relayPeers map[*peer.Session]relayPeer
	// relayTurn counts the relayed calls, and so selects the peer for the next one.
	relayTurn int
	// queries and storeCalls hold the pending requests to peers by number.
	queries    map[uint64]chan *peerpb.QueryAnswer
	storeCalls map[uint64]storeCall
	lastNumber uint64
	// leaderChanged is signalled when the leader's session ends.
	leaderChanged chan struct{}
}

// New returns a coordinator that uses store. It does nothing before Run.
func New(s settings.Node, store *rows.Store, log *zap.Logger) *Coordinator {
	c := &Coordinator{
		settings: s,
		log:      log,
		meter:    metering.New(),
		now:      boottime.Now,
		node: peer.Node{
			Name:       s.Node.Name,
			Address:    netip.AddrPortFrom(s.Node.IP, uint16(s.Node.PeerPort)),
			DataCentre: s.Node.DataCentre,
			Role:       peer.RoleEntry,
			Boot:       uuid.NewString()[:8],

			ProcessorShare: s.Node.ProcessorShare,
			Refusals:       true,
		},
		out:           map[string]bool{},
		queries:       map[uint64]chan *peerpb.QueryAnswer{},
		storeCalls:    map[uint64]storeCall{},
		relayPeers:    map[*peer.Session]relayPeer{},
		leaderChanged: make(chan struct{}, 1),
		storeLost:     make(chan struct{}),
	}
	c.directStore = c.observedStore(store)
	c.store = c.relayedStore(c.directStore)

	return c
}

// Run serves until ctx is done, then shuts down gracefully. It returns the first
// error of a listener or a background task.
func (c *Coordinator) Run(ctx context.Context) error {
	peers := c.guard("Peers", c.settings.PeerLimits())

	l, err := peers.Listen(ctx, c.node.Address.String())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}

	group, ctx := errgroup.WithContext(ctx)
	// All but the election continues until the last request is done.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))

	server := peer.Server{
		OnOpen:  c.acceptLeader,
		OnFrame: c.handleFrame,
		OnClose: c.dropLeader,
		OnHello: peers.Establish,
		// The leader opens no further streams.
		MaxStreams: 1,
		OnError:    peer.LogLost(c.log, &c.repeats),
	}

	group.Go(func() error { return server.Serve(serving, l) })
	group.Go(func() error { return peer.Register(serving, c.store, c.node, c.log) })
	group.Go(func() error { return c.watchOperatorTable(serving) })
	group.Go(func() error { return c.probe(serving) })
	group.Go(func() error { return c.elect(ctx) })
	group.Go(func() error { return c.serveReady(serving) })
	group.Go(func() error { return c.serveMetrics(serving) })
	group.Go(func() error {
		defer stop()

		return c.serveCallers(ctx)
	})

	if err := group.Wait(); err != nil {
		return fmt.Errorf("coordinator: %w", err)
	}

	return nil
}

// serveReady serves the readiness check. It fails while the process shuts down, has no
// configuration or can't reach the store.
func (c *Coordinator) serveReady(ctx context.Context) error {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if c.draining.Load() || c.configuration.Load() == nil || c.storeUnavailable() {
			w.WriteHeader(http.StatusServiceUnavailable)

			return
		}

		c.offered.Store(true)
	})

	return c.guard("Ready", c.settings.CheckLimits()).Serve(ctx, c.settings.Node.ReadyAddress, &http.Server{Handler: handler}, 0)
}

// serveCallers serves callers' requests. After ctx is done, it fails the readiness
// check for unreadyBeforeClose before it stops accepting requests.
func (c *Coordinator) serveCallers(ctx context.Context) error {
	handler := &platform.CallerHandler{
		Configuration: c.configuration.Load,
		Submit: func(ctx context.Context, q config.Queue, id string, s job.Spec) error {
			return c.measure("Submit", func() error { return c.accept(ctx, q, id, s) })
		},
		State: func(ctx context.Context, id string) (s job.State, err error) {
			err = c.measure("State", func() (err error) {
				s, err = c.state(ctx, id)

				return err
			})

			return s, err
		},
		Cancel: func(ctx context.Context, id string) error {
			return c.measure("Cancel", func() error { return c.cancel(ctx, id) })
		},
		Pending: func(ctx context.Context, queue string) (n int, err error) {
			err = c.measure("Pending", func() (err error) {
				n, err = c.pending(ctx, queue)

				return err
			})

			return n, err
		},
	}

	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	requests, endRequests := context.WithCancel(context.WithoutCancel(ctx))
	defer endRequests()

	drain := c.settings.Bounds.DrainGrace - unreadyBeforeClose - killMargin

	go func() {
		<-ctx.Done()
		c.draining.Store(true)

		if c.offered.Load() {
			time.Sleep(unreadyBeforeClose)
		}

		stop()
		// Submissions that wait for the store are answered as unknown, not cut off.
		sleep(requests, drain-lastAnswerTime)
		endRequests()
	}()

	return c.callerGuard().Serve(serving, c.settings.Node.CallerAddress, &http.Server{
		Handler:     handler,
		BaseContext: func(net.Listener) context.Context { return requests },
	}, drain)
}

// measure runs a caller's request and records its outcome and duration as metrics.
func (c *Coordinator) measure(kind string, run func() error) error {
	began := time.Now()
	err := run()

	outcome := platform.OutcomeOf(err)
	if outcome == platform.OutcomeUnstorable {
		// The metric has no outcome of its own for it: such a request has not run either.
		outcome = platform.OutcomeRefused
	}

	c.meter.Observe(time.Since(began), "requests", "kind", kind, "outcome", string(outcome))

	return err
}

// acceptLeader registers the session of a leader. A later term replaces an earlier
// one.
func (c *Coordinator) acceptLeader(p *peer.Session) error {
	c.mu.Lock()
	err := c.remoteLeader.Accept(p)
	c.mu.Unlock()

	if err != nil {
		return err
	}

	c.addRelayPeer(p, p.Hello.GetName())
	c.log.Info("LeaderConnected", zap.String("Leader", p.Hello.GetName()), zap.Int64("Term", p.Hello.GetTerm()))

	return nil
}

// dropLeader fails the pending queries and relayed calls when the leader's session ends.
func (c *Coordinator) dropLeader(p *peer.Session) {
	c.dropRelayPeer(p)

	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.remoteLeader.Clear(p) {
		return
	}

	c.log.Info("LeaderLost", zap.Int64("Term", c.remoteLeader.Term))
	c.admission.forget()

	for n, answer := range c.queries {
		close(answer)
		delete(c.queries, n)
	}

	notify(c.leaderChanged)
}

// handleFrame handles a frame from the leader.
func (c *Coordinator) handleFrame(p *peer.Session, f *peerpb.Frame) {
	switch b := f.GetBody().(type) {
	case *peerpb.Frame_QueryAnswer:
		c.deliverQueryAnswer(b.QueryAnswer)
	case *peerpb.Frame_StoreAnswer:
		c.deliverStoreAnswer(b.StoreAnswer)
	case *peerpb.Frame_Backlog:
		c.mu.Lock()
		current := c.remoteLeader.Session == p
		c.mu.Unlock()

		if current {
			c.applyBacklog(b.Backlog)
		}
	case *peerpb.Frame_StoreCall:
		go c.serveRelay(context.Background(), b.StoreCall, func(f *peerpb.Frame) {
			if err := p.Send(f); err != nil {
				c.log.Warn("LeaderUnreachable", jsonlog.Error(err))
			}
		})
	default:
	}
}

func (c *Coordinator) deliverQueryAnswer(a *peerpb.QueryAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if answer, ok := c.queries[a.GetNumber()]; ok {
		delete(c.queries, a.GetNumber())
		answer <- a
	}
}

// notify signals a channel with a buffer of one and never blocks.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()

	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
