// Package entry implements the entry of the program trefoildeck; package coordinator
// is that of the program trefoildeck-node. An entry routes requests of callers to
// the endpoints behind agents, applies the changes of operators, and schedules
// tasks in the data centres whose leases it holds. All entries are equal, and none
// keeps durable state of its own: that is in the platform's table.
//
// # Usage
//
//	e, err := entry.New(settings, table, log)
//	err = e.Run(ctx) // shuts down gracefully once ctx ends, then returns
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

// Periods and delays of the entry's loops, of its start and of its shutdown.
const (
	routingTick    = 100 * time.Millisecond
	schedulingTick = 50 * time.Millisecond
	feedPeriod     = 500 * time.Millisecond
	leasePeriod    = time.Second
	memberPeriod   = 2 * time.Second
	pingPeriod     = 2 * time.Second
	// commitInterval is the minimum time between two batches of a shard.
	commitInterval = 200 * time.Millisecond
	// agentQuietTime is how long no session is added before the entry assumes
	// that all agents have connected.
	agentQuietTime = 500 * time.Millisecond
	// maxStartupWait bounds the wait for agents before the entry reports ready.
	maxStartupWait = 5 * time.Second
	// notReadyDelay is how long a draining entry goes on serving, so that the
	// load balancer sees that it is not ready.
	notReadyDelay = 500 * time.Millisecond
)

// Entry is one running entry.
type Entry struct {
	settings settings.Entry
	log      *zap.Logger
	table    *table.Table
	tls      *tls.Config

	catalog     *catalog.Catalog
	routes      *routing.Table
	sessions    *sessionTable
	inForce     *inForceTable
	keyLimiter  *rate.Limiter
	permitQueue chan permitRequest
	metrics     *metricSet
	draining    atomic.Bool
	started     time.Time
	// catalogRead is closed once the catalog was read from the table or from
	// another entry.
	catalogRead     chan struct{}
	catalogReadOnce sync.Once

	// feedMu guards the position in the change feed: cursor is the sort key after
	// which the feed is read next, feedHead the last revision read. loaded is set
	// once the resources were read from the table.
	feedMu           sync.Mutex
	cursor           string
	feedHead         int64
	loaded           bool
	recentChangeSets *changeSetCache

	// mu guards the scheduler, the shard leases and their last known holders, by
	// data centre.
	mu        sync.Mutex
	scheduler *placement.Scheduler
	leases    map[string]*lease
	holders   map[string]string

	memberMu sync.Mutex
	members  map[string]*member
}

// New returns an entry. The settings must be valid.
func New(s settings.Entry, t *table.Table, log *zap.Logger) (*Entry, error) {
	config, err := s.TLS.Config()
	if err != nil {
		return nil, fmt.Errorf("prepare TLS: %w", err)
	}

	seed := rand.Uint64()
	e := &Entry{
		settings:         s,
		log:              log.With(zap.String("Entry", s.Entry.Name)),
		table:            t,
		tls:              config,
		catalog:          catalog.New(),
		routes:           routing.New(s.Entry.DataCentre, seed),
		sessions:         newSessionTable(),
		inForce:          newInForceTable(),
		keyLimiter:       rate.NewLimiter(rate.Limit(s.Entry.KeyRate), int(s.Entry.KeyRate)),
		permitQueue:      make(chan permitRequest, maxQueuedPermits),
		started:          time.Now(),
		catalogRead:      make(chan struct{}),
		recentChangeSets: newChangeSetCache(),
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

// DialTable returns the table that the settings name. It connects on first use.
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

// Run serves until ctx ends, then drains: it returns after the requests in
// progress have ended and the shard leases are released.
func (e *Entry) Run(ctx context.Context) error {
	var c net.ListenConfig

	l, err := c.Listen(ctx, "tcp", e.settings.Entry.PeerAddress.String())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}

	// The loops outlive ctx, so that work in progress can end.
	loopCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	group, loopCtx := errgroup.WithContext(loopCtx)
	serveCtx, stopServing := context.WithCancel(loopCtx)

	defer stopServing()

	serveEnded := make(chan error, 1)
	group.Go(func() error {
		err := e.serveHTTP(serveCtx)
		serveEnded <- err

		return err
	})

	group.Go(func() error { return e.peerServer().Serve(loopCtx, l) })
	group.Go(func() error { return e.serveAdmin(loopCtx) })
	e.startLoops(loopCtx, group)

	group.Go(func() error {
		defer stop()

		select {
		case <-loopCtx.Done():
			return nil
		case <-ctx.Done():
		}

		e.drain(loopCtx, stopServing, serveEnded)

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
				e.checkSilence()
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
			run:    e.maintainLeases,
		},
		{
			period: memberPeriod,
			run:    e.maintainMembers,
		},
		{
			period: pingPeriod,
			run:    e.measureRoundTrips,
		},
		{
			period: routingTick,
			run:    func(context.Context) { e.updateInForce(time.Now()) },
		},
	}

	for _, l := range loops {
		group.Go(func() error {
			every(ctx, l.period, l.run)

			return nil
		})
	}

	group.Go(func() error { return e.servePermits(ctx) })
}

// every calls run at once and then once a period until ctx ends.
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

// drain shuts down without interrupting requests: it reports not ready so that
// the load balancer stops sending requests, waits for the requests in progress,
// and then releases the shard leases and removes the entry's member row.
func (e *Entry) drain(ctx context.Context, stopServing context.CancelFunc, serveEnded <-chan error) {
	e.log.Info("EntryDraining")
	e.draining.Store(true)

	time.Sleep(notReadyDelay)
	stopServing()

	if err := <-serveEnded; err != nil {
		e.log.Warn("DrainTimeout", zap.Error(err))
	}

	e.releaseLeases(ctx)
	e.removeOwnMember(ctx)
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

// schedulerStats returns the scheduler's counts.
func (e *Entry) schedulerStats() placement.Stats {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.scheduler.Stats()
}
