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
	// drainMargin is kept between the end of a graceful shutdown and SIGKILL.
	drainMargin = time.Second
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 3 * time.Second
	// idleTimeout closes callers' connections that nothing uses: the operator's
	// limit is 15 s.
	idleTimeout = 15 * time.Second
	// notReadyTime is how long the process says that it is not ready before it
	// closes its listeners: the platform asks once a second and wants two misses.
	notReadyTime = 2300 * time.Millisecond
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
	// lost is closed while the store does not answer this process.
	lost chan struct{}
	// out has the data centres that are evacuated.
	out map[string]bool
	// leading is set while this process leads.
	leading *leader
	// led is the leader's session, where another process leads.
	led peer.LeaderSession
	// yielded is when this process last resigned for a stronger one.
	yielded time.Duration
	queries map[uint64]chan *peerpb.QueryAnswer
	relays  map[uint64]chan *peerpb.StoreAnswer
	number  uint64
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
		out:           map[string]bool{},
		queries:       map[uint64]chan *peerpb.QueryAnswer{},
		relays:        map[uint64]chan *peerpb.StoreAnswer{},
		leaderChanged: make(chan struct{}, 1),
		lost:          make(chan struct{}),
	}
	c.directStore = c.observed(store)
	c.store = c.relayed(c.directStore)

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
		OnOpen:  c.open,
		OnFrame: c.frame,
		OnClose: c.close,
		OnError: func(remote string, err error) {
			c.log.Info("PeerLost", zap.String("Remote", remote), jsonlog.Cause(err))
		},
	}

	group.Go(func() error { return server.Serve(serving, l) })
	group.Go(func() error { return peer.Register(serving, c.store, c.node, c.log) })
	group.Go(func() error { return c.follow(serving) })
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
		if c.draining.Load() || c.configuration.Load() == nil || c.storeLost() {
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
			return c.timed("Submit", func() error { return c.accept(ctx, q, id, s) })
		},
		State: func(ctx context.Context, id string) (s job.State, err error) {
			err = c.timed("State", func() (err error) {
				s, err = c.state(ctx, id)

				return err
			})

			return s, err
		},
		Cancel: func(ctx context.Context, id string) error {
			return c.timed("Cancel", func() error { return c.cancel(ctx, id) })
		},
		Pending: func(ctx context.Context, queue string) (n int, err error) {
			err = c.timed("Pending", func() (err error) {
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
		time.Sleep(notReadyTime)
		stop()
	}()

	return admin.Run(serving, c.settings.Node.CallerAddress, &http.Server{
		Handler:           front,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}, c.settings.Bounds.DrainGrace-notReadyTime-drainMargin)
}

// timed runs a caller's request and counts its outcome and time.
func (c *Coordinator) timed(kind string, run func() error) error {
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

// open takes in the session of a leader: a later term supersedes an earlier one.
func (c *Coordinator) open(p *peer.Session) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	if err := c.led.Take(p); err != nil {
		return err
	}

	c.log.Info("LeaderConnected", zap.String("Leader", p.Hello.GetName()), zap.Int64("Term", c.led.Term))

	return nil
}

func (c *Coordinator) close(p *peer.Session) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.led.Drop(p) {
		return
	}

	c.log.Info("LeaderLost", zap.Int64("Term", c.led.Term))

	for n, answer := range c.queries {
		close(answer)
		delete(c.queries, n)
	}

	notify(c.leaderChanged)
}

func (c *Coordinator) frame(p *peer.Session, f *peerpb.Frame) {
	switch b := f.GetBody().(type) {
	case *peerpb.Frame_QueryAnswer:
		c.queryAnswered(b.QueryAnswer)
	case *peerpb.Frame_StoreAnswer:
		c.relayAnswered(b.StoreAnswer)
	case *peerpb.Frame_StoreCall:
		go c.serveRelay(context.Background(), b.StoreCall, func(f *peerpb.Frame) {
			if err := p.Send(f); err != nil {
				c.log.Warn("LeaderUnreachable", jsonlog.Cause(err))
			}
		})
	default:
	}
}

func (c *Coordinator) queryAnswered(a *peerpb.QueryAnswer) {
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

// pause waits for a time, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()

	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
