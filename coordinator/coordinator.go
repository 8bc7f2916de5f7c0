// Package coordinator is the process on each machine that callers reach. It
// makes jobs and cancellations durable by itself; one of the coordinators leads,
// by a lease in the store: it places all tasks and answers the others' questions
// about jobs. When the leader is lost, another one reads everything back from
// the store and the workers.
//
// # Usage
//
//	c := coordinator.New(settings, store, log)
//	err := c.Run(ctx) // ends after a graceful shutdown once ctx ends
package coordinator

import (
	"context"
	"errors"
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
	"trefoildeck/internal/jsonlog"
	"trefoildeck/internal/metering"
	"trefoildeck/io/admin"
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
	// killMargin is kept between the end of a graceful shutdown and SIGKILL.
	killMargin = time.Second
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 3 * time.Second
	// callerIdleTimeout closes callers' connections that nothing uses: the operator's
	// limit is 15 s.
	callerIdleTimeout = 15 * time.Second
	// unreadyBeforeClose is how long the process says that it is not ready before it
	// closes its listeners: the platform asks once a second and wants two misses.
	unreadyBeforeClose = 2300 * time.Millisecond
)

// Coordinator is one running process.
type Coordinator struct {
	settings settings.Node
	log      *zap.Logger
	// store goes through a peer where directStore does not answer.
	store       *rows.Store
	directStore *rows.Store
	node        peer.Node
	meter       *metering.Meter

	configuration atomic.Pointer[config.Configuration]
	draining      atomic.Bool

	mu sync.Mutex
	// clock follows the store's steady clock, and breaker its health.
	clock   lease.Clock
	breaker breaker.Breaker
	// relayBreaker follows the health of the way through a peer.
	relayBreaker breaker.Breaker
	// latency is a moving average of the store's answers to transactions.
	latency time.Duration
	// storeLost is closed while the store does not answer this process.
	storeLost chan struct{}
	// evacuated has the data centres that are evacuated.
	evacuated map[string]bool
	// localLeader is set while this process leads.
	localLeader *leader
	// remoteLeader is the leader's session, where another process leads.
	remoteLeader peer.LeaderSession
	// yieldedAt is when this process last resigned for a stronger one.
	yieldedAt  time.Duration
	queries    map[uint64]chan *peerpb.QueryAnswer
	storeCalls map[uint64]chan *peerpb.StoreAnswer
	lastNumber uint64
	// leaderChanged is signalled when the leader's session opens or ends.
	leaderChanged chan struct{}
}

// New returns a process that is not running.
func New(s settings.Node, store *rows.Store, log *zap.Logger) *Coordinator {
	c := &Coordinator{
		settings: s,
		log:      log,
		meter:    metering.New(),
		node: peer.Node{
			Name:       s.Node.Name,
			Address:    netip.AddrPortFrom(s.Node.IP, uint16(s.Node.PeerPort)),
			DataCentre: s.Node.DataCentre,
			Role:       peer.RoleEntry,
			Boot:       uuid.NewString()[:8],

			ProcessorShare: s.Node.ProcessorShare,
		},
		evacuated:     map[string]bool{},
		queries:       map[uint64]chan *peerpb.QueryAnswer{},
		storeCalls:    map[uint64]chan *peerpb.StoreAnswer{},
		leaderChanged: make(chan struct{}, 1),
		storeLost:     make(chan struct{}),
	}
	c.directStore = c.observedStore(store)
	c.store = c.relayedStore(c.directStore)

	return c
}

// Run runs until ctx ends, then ends what is in progress.
func (c *Coordinator) Run(ctx context.Context) error {
	var lc net.ListenConfig

	l, err := lc.Listen(ctx, "tcp", c.node.Address.String())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}

	group, ctx := errgroup.WithContext(ctx)
	// Everything but the leadership goes on until the last request has ended.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))

	server := peer.Server{
		OnOpen:  c.acceptLeader,
		OnFrame: c.handleFrame,
		OnClose: c.dropLeader,
		OnError: func(remote string, err error) {
			c.log.Info("PeerLost", zap.String("Remote", remote), jsonlog.Cause(err))
		},
	}

	group.Go(func() error { return server.Serve(serving, l) })
	group.Go(func() error { return peer.Register(serving, c.store, c.node, c.log) })
	group.Go(func() error { return c.watchOperatorTable(serving) })
	group.Go(func() error { return c.probe(serving) })
	group.Go(func() error { return c.elect(ctx) })
	group.Go(func() error { return c.serveReady(serving) })
	group.Go(func() error { return admin.ServeMetrics(serving, c.settings.Node.MetricsAddress, c.meter.Set) })
	group.Go(func() error {
		defer stop()

		return c.serveCallers(ctx)
	})

	if err := group.Wait(); err != nil {
		return fmt.Errorf("coordinator: %w", err)
	}

	return nil
}

func (c *Coordinator) serveReady(ctx context.Context) error {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if c.draining.Load() || c.configuration.Load() == nil || c.storeUnavailable() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})

	return admin.Run(ctx, c.settings.Node.ReadyAddress, &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
	}, 0)
}

// serveCallers serves callers until some time after ctx ends.
func (c *Coordinator) serveCallers(ctx context.Context) error {
	front := &platform.Front{
		Configuration: c.configuration.Load,
		Accept: func(ctx context.Context, q config.Queue, id string, s job.Spec) error {
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

	go func() {
		<-ctx.Done()
		c.draining.Store(true)
		time.Sleep(unreadyBeforeClose)
		stop()
	}()

	return admin.Run(serving, c.settings.Node.CallerAddress, &http.Server{
		Handler:           front,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdleTimeout,
	}, c.settings.Bounds.DrainGrace-unreadyBeforeClose-killMargin)
}

// measure runs a caller's request and counts its outcome and time.
func (c *Coordinator) measure(kind string, run func() error) error {
	began := time.Now()
	err := run()
	outcome := "Answered"

	switch {
	case err == nil:
	case errors.Is(err, platform.ErrNoJob):
		outcome = "NoJob"
	case errors.Is(err, platform.ErrRefused):
		outcome = "Refused"
	default:
		outcome = "Unknown"
	}

	c.meter.Observe(time.Since(began), "requests", "kind", kind, "outcome", outcome)

	return err
}

// acceptLeader takes in the session of a leader: a later term supersedes an earlier one.
func (c *Coordinator) acceptLeader(p *peer.Session) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	if err := c.remoteLeader.Take(p); err != nil {
		return err
	}

	c.log.Info("LeaderConnected", zap.String("Leader", p.Hello.GetName()), zap.Int64("Term", c.remoteLeader.Term))

	return nil
}

func (c *Coordinator) dropLeader(p *peer.Session) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.remoteLeader.Drop(p) {
		return
	}

	c.log.Info("LeaderLost", zap.Int64("Term", c.remoteLeader.Term))

	for n, answer := range c.queries {
		close(answer)
		delete(c.queries, n)
	}

	notify(c.leaderChanged)
}

func (c *Coordinator) handleFrame(p *peer.Session, f *peerpb.Frame) {
	switch b := f.GetBody().(type) {
	case *peerpb.Frame_QueryAnswer:
		c.deliverQueryAnswer(b.QueryAnswer)
	case *peerpb.Frame_StoreAnswer:
		c.deliverStoreAnswer(b.StoreAnswer)
	case *peerpb.Frame_StoreCall:
		go c.serveRelay(context.Background(), b.StoreCall, func(f *peerpb.Frame) {
			if err := p.Send(f); err != nil {
				c.log.Warn("LeaderUnreachable", jsonlog.Cause(err))
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

// notify signals a channel of one place.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()

	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
