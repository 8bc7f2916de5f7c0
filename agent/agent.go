// Package agent implements the agent of the program trefoildeck; package sidecar is
// that of the program trefoildeck-node. An agent runs on the same machine as an
// endpoint, a worker or both. It announces them to every entry, limits the concurrent
// requests to the endpoint, carries out the commands of the entry that schedules the
// worker, and drains before it exits.
//
// # Usage
//
//	a, err := agent.New(settings, log)
//	err = a.Run(ctx) // ends after a graceful shutdown once ctx ends
//
// The agent has no durable state: it reads what runs from the worker's runtime
// and what should run from the entries.
package agent

import (
	"context"
	"crypto/tls"
	"fmt"
	"maps"
	"net/netip"
	"sync"
	"time"

	"trefoildeck/core/admission"
	"trefoildeck/core/catalog"
	"trefoildeck/core/placement"
	"trefoildeck/io/endpoint"
	"trefoildeck/io/object"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/io/worker"
	"trefoildeck/settings"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Periods of the agent's loops, and the age limit of its links.
const (
	heartbeatPeriod = 250 * time.Millisecond
	drainPoll       = 20 * time.Millisecond
	// staleLinkAge is how long an entry may go unadvertised before the agent
	// closes its link.
	staleLinkAge = 30 * time.Second
)

// Agent announces an endpoint and a worker to the entries and serves both.
type Agent struct {
	settings settings.Agent
	log      *zap.Logger
	tls      *tls.Config

	limiter  *admission.Limiter
	latency  *admission.LatencyTracker
	endpoint *endpoint.Client
	worker   *worker.Client
	objects  *object.Store
	catalog  *catalog.Catalog
	metrics  *metricSet
	// heartbeatNow triggers a heartbeat before the next period.
	heartbeatNow chan struct{}
	// pollNow triggers a poll of the runtime before the next period.
	pollNow chan struct{}

	mu    sync.Mutex
	links map[netip.AddrPort]*link
	// sessions has the last token received on each open session.
	sessions map[*peer.Session]uint64
	// bootID is the id of the worker's current incarnation, first seen at bootSeenAt.
	bootID     string
	bootSeenAt time.Time
	// leaseUntil is the runtime's uptime at which the worker's lease expires.
	leaseUntil time.Duration
	lastPoll   *runtimePoll
	// busy has the attempts that have a command in progress.
	busy map[placement.AttemptID]bool
	// checkpoints has the object key of each attempt's checkpoint; the key is
	// empty where the object store has none.
	checkpoints map[placement.AttemptID]string
	// pendingPermits has the permit requests without an answer, by sequence.
	pendingPermits map[uint64]chan *peerpb.PermitAnswer
	sequence       uint64
}

// link is a connection to one entry, redialled until it is cancelled. A fixed
// link comes from the settings and is kept when the entry is not advertised.
type link struct {
	cancel     context.CancelFunc
	advertised time.Time
	fixed      bool
}

// New returns an agent with settings that have been checked. It reads the
// certificates and the object store's secret.
func New(s settings.Agent, log *zap.Logger) (*Agent, error) {
	config, err := s.TLS.Config()
	if err != nil {
		return nil, fmt.Errorf("prepare TLS: %w", err)
	}

	a := &Agent{
		settings:       s,
		log:            log.With(zap.String("Agent", s.Agent.Name)),
		tls:            config,
		limiter:        admission.New(int(s.Endpoint.Slots)),
		latency:        admission.NewLatencyTracker(),
		catalog:        catalog.New(),
		heartbeatNow:   make(chan struct{}, 1),
		pollNow:        make(chan struct{}, 1),
		links:          map[netip.AddrPort]*link{},
		sessions:       map[*peer.Session]uint64{},
		busy:           map[placement.AttemptID]bool{},
		checkpoints:    map[placement.AttemptID]string{},
		pendingPermits: map[uint64]chan *peerpb.PermitAnswer{},
	}
	a.metrics = newMetrics(a)

	if s.Endpoint.Service != "" {
		a.endpoint = endpoint.Dial(s.Endpoint.Address, int(s.Endpoint.Slots))
	}

	if s.Worker.Name == "" {
		return a, nil
	}

	secret, err := settings.ReadSecret(s.Objects.SecretKeyFile)
	if err != nil {
		return nil, fmt.Errorf("read object store secret: %w", err)
	}

	a.worker = worker.Dial(s.Worker.Address)
	a.objects = object.Dial(object.Options{
		URL:       s.Objects.URL,
		Region:    s.Objects.Region,
		Bucket:    s.Objects.Bucket,
		AccessKey: s.Objects.AccessKey,
		SecretKey: secret,
	})

	return a, nil
}

// Run runs the agent until ctx ends and the agent has drained.
func (a *Agent) Run(ctx context.Context) error {
	// Links and loops outlive ctx, so that work in progress can complete.
	loopCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	group, loopCtx := errgroup.WithContext(loopCtx)

	for _, address := range a.settings.Agent.EntryAddresses {
		a.dial(loopCtx, address, true)
	}

	group.Go(func() error { return a.heartbeats(loopCtx) })
	group.Go(func() error { return a.watchRuntime(loopCtx) })
	group.Go(func() error { return a.serveAdmin(loopCtx) })
	group.Go(func() error {
		defer stop()

		select {
		case <-loopCtx.Done():
		case <-ctx.Done():
			a.drain()
		}

		return nil
	})

	a.log.Info("AgentStarted", zap.String("DataCentre", a.settings.Agent.DataCentre))

	err := group.Wait()

	a.log.Info("AgentStopped")

	if err != nil {
		return fmt.Errorf("run agent: %w", err)
	}

	return nil
}

// drain refuses new requests, tells every entry so, and waits up to DrainTime for
// requests and commands in progress.
func (a *Agent) drain() {
	a.log.Info("AgentDraining")
	a.limiter.Close()
	a.broadcast(&peerpb.Frame{Body: &peerpb.Frame_Leave{Leave: &peerpb.Leave{}}})

	deadline := time.Now().Add(a.settings.Agent.DrainTime)

	// Requests sent before the entries received Leave still get a refusal.
	time.Sleep(heartbeatPeriod)

	for time.Now().Before(deadline) {
		load := a.limiter.Load()
		if load.InUse == 0 && load.Queued == 0 && a.idle() {
			return
		}

		time.Sleep(drainPoll)
	}

	a.log.Warn("DrainTimeout", zap.Int("InUse", a.limiter.Load().InUse))
}

func (a *Agent) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return len(a.busy) == 0
}

// dial opens a link to an entry, or notes that a linked entry is still advertised.
func (a *Agent) dial(ctx context.Context, address netip.AddrPort, fixed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if l, ok := a.links[address]; ok {
		l.advertised = time.Now()

		return
	}

	ctx, cancel := context.WithCancel(ctx)
	a.links[address] = &link{
		cancel:     cancel,
		advertised: time.Now(),
		fixed:      fixed,
	}

	l := &peer.Link{
		Address:   address,
		TLS:       a.tls,
		Hello:     a.hello,
		OnOpen:    a.sessionOpened,
		OnClose:   a.sessionClosed,
		OnRequest: a.serveRequest,
		OnFrame:   func(s *peer.Session, f *peerpb.Frame) { a.onFrame(ctx, s, f) },
		OnError: func(err error) {
			a.log.Warn("EntryLinkFailed", zap.String("Entry", address.String()), zap.Error(err))
		},
	}

	go l.Run(ctx)
}

// dropStaleLinks closes the links to entries that are no longer advertised.
func (a *Agent) dropStaleLinks() {
	a.mu.Lock()
	defer a.mu.Unlock()

	for address, l := range a.links {
		if !l.fixed && time.Since(l.advertised) > staleLinkAge {
			l.cancel()
			delete(a.links, address)
		}
	}
}

func (a *Agent) hello() *peerpb.Hello {
	h := &peerpb.Hello{
		Name:       a.settings.Agent.Name,
		Role:       peer.RoleAgent,
		DataCentre: a.settings.Agent.DataCentre,
	}

	if a.endpoint != nil {
		h.Endpoint = &peerpb.Endpoint{
			Service: a.settings.Endpoint.Service,
			Slots:   int32(a.settings.Endpoint.Slots),
		}
	}

	if a.worker != nil {
		w := a.settings.Worker
		h.Worker = &peerpb.Worker{
			Name:         w.Name,
			Rack:         w.Rack,
			MilliCores:   w.MilliCores,
			MemoryMB:     w.MemoryMB,
			Accelerators: w.Accelerators,
		}
	}

	return h
}

func (a *Agent) sessionOpened(s *peer.Session) {
	a.mu.Lock()
	a.sessions[s] = 0
	a.mu.Unlock()

	a.log.Info("EntryLinkOpened", zap.String("Entry", s.Remote))

	if a.limiter.Load().Leaving {
		// The link redials when a session fails, and sessionOpened sends Leave again.
		_ = s.Send(&peerpb.Frame{Body: &peerpb.Frame_Leave{Leave: &peerpb.Leave{}}})
	}
}

func (a *Agent) sessionClosed(s *peer.Session) {
	a.mu.Lock()
	defer a.mu.Unlock()

	delete(a.sessions, s)
}

func (a *Agent) broadcast(f *peerpb.Frame) {
	a.mu.Lock()
	defer a.mu.Unlock()

	for s := range a.sessions {
		// The link redials when a session fails, and announces the agent again.
		_ = s.Send(f)
	}
}

// recordToken stores the token of the last heartbeat answer on a session. Answers
// without a token leave it as it is.
func (a *Agent) recordToken(s *peer.Session, token uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if _, ok := a.sessions[s]; ok && token > 0 {
		a.sessions[s] = token
	}
}

// tokens returns the last token received on each session.
func (a *Agent) tokens() map[*peer.Session]uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()

	return maps.Clone(a.sessions)
}

func (a *Agent) nextSequence() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.sequence++

	return a.sequence
}

func (a *Agent) onFrame(ctx context.Context, s *peer.Session, f *peerpb.Frame) {
	switch b := f.GetBody().(type) {
	case *peerpb.Frame_Welcome:
		a.dialEntries(ctx, b.Welcome.GetEntryAddresses())
	case *peerpb.Frame_HeartbeatAnswer:
		a.dialEntries(ctx, b.HeartbeatAnswer.GetEntryAddresses())
		a.recordToken(s, b.HeartbeatAnswer.GetToken())
		a.recordLease(b.HeartbeatAnswer)
	case *peerpb.Frame_StartTask:
		a.runExclusive(peer.DecodeAttemptID(b.StartTask), func(id placement.AttemptID) { a.start(ctx, s, id, b.StartTask) })
	case *peerpb.Frame_StopTask:
		a.runExclusive(peer.DecodeAttemptID(b.StopTask), func(id placement.AttemptID) { a.stop(ctx, id, b.StopTask.GetCheckpoint()) })
	case *peerpb.Frame_ThrottleTask:
		a.runExclusive(peer.DecodeAttemptID(b.ThrottleTask), func(id placement.AttemptID) {
			a.throttle(ctx, id, int64(b.ThrottleTask.GetPercent()))
		})
	case *peerpb.Frame_PermitAnswer:
		a.handlePermitAnswer(b.PermitAnswer)
	case *peerpb.Frame_TaskReportAnswer:
		a.runExclusive(peer.DecodeAttemptID(b.TaskReportAnswer), func(id placement.AttemptID) { a.forget(ctx, id) })
	case *peerpb.Frame_News:
		a.handleNews(b.News)
	}
}

func (a *Agent) dialEntries(ctx context.Context, addresses []string) {
	for _, text := range addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			a.log.Warn("EntryAddressInvalid", zap.String("Address", text), zap.Error(err))

			continue
		}

		a.dial(ctx, address, false)
	}

	a.dropStaleLinks()
}

func (a *Agent) handleNews(n *peerpb.News) {
	list, err := peer.DecodeNews(n)
	if err != nil {
		a.log.Error("ResourcesNotDecoded", zap.Error(err))

		return
	}

	for _, r := range a.catalog.Merge(list) {
		a.log.Info("ConfigurationInForce", zap.String("Name", r.ID.Name), zap.Int64("Revision", r.Revision))
	}
}
