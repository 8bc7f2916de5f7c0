// Package entry is the process between callers, operators, agents and the
// platform's table: it routes requests, takes declarations, and schedules the
// data centres whose leases it holds. Entries are all alike and keep nothing.
//
// # Usage
//
//	e, err := entry.New(settings, table, log)
//	err = e.Run(ctx) // ends after a graceful shutdown once ctx ends
package entry

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"trefoildeck/core/catalog"
	"trefoildeck/core/placement"
	"trefoildeck/core/routing"
	"trefoildeck/io/peer"
	"trefoildeck/io/table"
	"trefoildeck/settings"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
)

// Periods of the entry's loops.
const (
	routingTick    = 100 * time.Millisecond
	schedulingTick = 50 * time.Millisecond
	feedPeriod     = 500 * time.Millisecond
	leasePeriod    = time.Second
	memberPeriod   = 2 * time.Second
	pingPeriod     = 2 * time.Second
	// commitInterval is the least time between two batches of a shard.
	commitInterval = 200 * time.Millisecond
	// settled is how long no session was added once all agents have dialled.
	settledTime = 500 * time.Millisecond
	// maxSettleTime bounds the wait for agents before an entry says it is ready.
	maxSettleTime = 5 * time.Second
	// readyDelay lets the balancer see that the entry is going.
	readyDelay = 500 * time.Millisecond
)

// Entry is one running entry.
type Entry struct {
	settings settings.Entry
	log      *zap.Logger
	table    *table.Table
	tls      *tls.Config

	catalog  *catalog.Catalog
	routes   *routing.Table
	sessions *sessionTable
	force    *forceTable
	keys     *rate.Limiter
	permits  chan permitAsk
	metrics  *metricSet
	leaving  atomic.Bool
	started  time.Time
	// fed is closed once the catalog was read from the table or from a peer.
	fed     chan struct{}
	fedOnce sync.Once

	// feedMu guards the position in the feed of changes.
	feedMu   sync.Mutex
	cursor   string
	feedHead int64
	loaded   bool
	recent   *recentChanges

	// mu guards the scheduler and the leases of its shards.
	mu        sync.Mutex
	scheduler *placement.Scheduler
	leases    map[string]*lease
	holders   map[string]string

	memberMu sync.Mutex
	members  map[string]*member
}

// New returns an entry of checked settings.
func New(s settings.Entry, t *table.Table, log *zap.Logger) (*Entry, error) {
	config, err := s.TLS.Config()
	if err != nil {
		return nil, fmt.Errorf("prepare TLS: %w", err)
	}

	seed := rand.Uint64()
	e := &Entry{
		settings: s,
		log:      log.With(zap.String("Entry", s.Entry.Name)),
		table:    t,
		tls:      config,
		catalog:  catalog.New(),
		routes:   routing.New(s.Entry.DataCentre, seed),
		sessions: newSessionTable(),
		force:    newForceTable(),
		keys:     rate.NewLimiter(rate.Limit(s.Entry.KeyRate), int(s.Entry.KeyRate)),
		permits:  make(chan permitAsk, permitQueue),
		started:  time.Now(),
		fed:      make(chan struct{}),
		recent:   newRecentChanges(),
		scheduler: placement.New(placement.Options{
			TaskLease:      s.Entry.TaskLease,
			CommitInterval: commitInterval,
			Seed:           seed,
		}),
		leases:  map[string]*lease{},
		holders: map[string]string{},
		members: map[string]*member{},
	}
	e.metrics = newMetrics(e)

	return e, nil
}

// DialTable returns the table of the settings.
func DialTable(s settings.TableSection) (*table.Table, error) {
	secret, err := settings.ReadSecret(s.SecretKeyFile)
	if err != nil {
		return nil, fmt.Errorf("read table secret: %w", err)
	}

	return table.Dial(table.Options{
		URL:       s.URL,
		Region:    s.Region,
		Name:      s.Name,
		AccessKey: s.AccessKey,
		SecretKey: secret,
	}), nil
}

// Run runs the entry until ctx ends, and then until what is in progress ended.
func (e *Entry) Run(ctx context.Context) error {
	var c net.ListenConfig

	l, err := c.Listen(ctx, "tcp", e.settings.Entry.PeerAddress.String())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}

	// Loops outlive ctx, so that what is in progress can end.
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	group, inner := errgroup.WithContext(inner)
	serving, stopServing := context.WithCancel(inner)

	defer stopServing()

	servers := make(chan error, 1)
	group.Go(func() error {
		err := e.serveHTTP(serving)
		servers <- err

		return err
	})

	group.Go(func() error { return e.peerServer().Serve(inner, l) })
	group.Go(func() error { return e.serveAdmin(inner) })
	e.startLoops(inner, group)

	group.Go(func() error {
		defer stop()

		select {
		case <-inner.Done():
			return nil
		case <-ctx.Done():
		}

		e.drain(inner, stopServing, servers)

		return nil
	})

	e.log.Info("EntryStarted", zap.String("DataCentre", e.settings.Entry.DataCentre))

	err = group.Wait()

	e.log.Info("EntryStopped")

	if err != nil {
		return fmt.Errorf("run entry: %w", err)
	}

	return nil
}

func (e *Entry) startLoops(ctx context.Context, group *errgroup.Group) {
	loops := []struct {
		period time.Duration
		run    func(context.Context)
	}{
		{
			period: routingTick,
			run: func(context.Context) {
				e.suspectSilent()
				e.routes.Tick(time.Now())
			},
		},
		{
			period: schedulingTick,
			run:    e.schedule,
		},
		{
			period: feedPeriod,
			run:    e.pollFeed,
		},
		{
			period: leasePeriod,
			run:    e.keepLeases,
		},
		{
			period: memberPeriod,
			run:    e.keepMembers,
		},
		{
			period: pingPeriod,
			run:    e.measureRoundTrips,
		},
		{
			period: routingTick,
			run:    func(context.Context) { e.checkForce(time.Now()) },
		},
	}

	for _, l := range loops {
		group.Go(func() error {
			every(ctx, l.period, l.run)

			return nil
		})
	}

	group.Go(func() error { return e.answerPermits(ctx) })
}

// every runs a function at once and then periodically until ctx ends.
func every(ctx context.Context, period time.Duration, run func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()

	for ctx.Err() == nil {
		run(ctx)

		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// drain shuts down in an order that cuts off nothing: first the balancer sees
// that the entry goes, then requests end, then its shards are handed over.
func (e *Entry) drain(ctx context.Context, stopServing context.CancelFunc, servers <-chan error) {
	e.log.Info("EntryDraining")
	e.leaving.Store(true)

	time.Sleep(readyDelay)
	stopServing()

	if err := <-servers; err != nil {
		e.log.Warn("DrainTimeout", zap.Error(err))
	}

	e.releaseLeases(ctx)
	e.removeMember(ctx)
}

func (e *Entry) peerServer() *peer.Server {
	return &peer.Server{
		TLS:     e.tls,
		OnOpen:  e.sessionOpened,
		OnFrame: e.onFrame,
		OnClose: e.sessionClosed,
		OnError: func(remote string, err error) {
			e.log.Warn("PeerFailed", zap.String("Peer", remote), zap.Error(err))
		},
	}
}

// stats returns the scheduler's counts.
func (e *Entry) stats() placement.Stats {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.scheduler.Stats()
}
