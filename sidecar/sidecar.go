// Package sidecar implements the agent of the program trefoildeck-node: the process
// that runs beside each worker of the platform. Its role among peers is Agent. It is
// the only client of the worker: it admits the leader's orders by what the worker
// actually runs, extends the worker's leases while a leader holds its own, reports
// ends until they are recorded, and throttles filling tasks that slow serving tasks
// too much.
//
// # Usage
//
//	s := sidecar.New(settings, store, log)
//	err := s.Run(ctx) // returns once ctx ends
//
// It stores nothing: after a restart it reads from the worker what runs.
package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/interference"
	"trefoildeck/core/job"
	"trefoildeck/internal/jsonlog"
	"trefoildeck/internal/metering"
	"trefoildeck/io/boottime"
	"trefoildeck/io/intake"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/io/rows"
	"trefoildeck/platform"
	"trefoildeck/settings"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"
)

const (
	// pingPeriod is the time between two pings to the leader, whose answers show
	// that it holds its lease. Several fit into a lease extension.
	pingPeriod = 500 * time.Millisecond
	// statusPeriod is the time between two status reports.
	statusPeriod = time.Second
	// shutdownTime bounds the shutdown of HTTP servers.
	shutdownTime = time.Second
)

// Sidecar is the process beside one worker.
type Sidecar struct {
	settings settings.Node
	log      *zap.Logger
	store    *rows.Store
	worker   *platform.WorkerClient
	node     peer.Node
	meter    *metering.Meter

	mu         sync.Mutex
	gate       *gate.Gate
	learner    *interference.Learner
	leader     peer.LeaderSession
	pings      map[uint64]time.Duration
	pingNumber uint64
	// repeats limits the log lines about starts that were refused, about malformed entries of
	// listings and announcements, and about connections that are not peers'.
	repeats jsonlog.Repeats
	// reported has the runs that were reported to the leader as started, with what was
	// reported last.
	reported map[job.TaskID]reportedRun
	// stopping has the stop orders that are being carried out.
	stopping map[stopOrder]bool
	// starts has the starts that wait to be sent, and starting is the number of goroutines that
	// send them.
	starts   gate.StartQueue
	starting int
	// stopSlots has an element for each stop under way.
	stopSlots chan struct{}

	// unansweredAt is when a call to the worker last went unanswered, 0 if none did.
	unansweredAt time.Duration
	// endListing makes the listing under way be repeated at once, if there is one that has
	// not been repeated.
	endListing context.CancelFunc
	// listNow requests a listing without further delay.
	listNow chan struct{}
	// announced is signalled on each announcement of the worker.
	announced chan struct{}
}

// New returns a sidecar that is not running.
func New(s settings.Node, store *rows.Store, log *zap.Logger) *Sidecar {
	return &Sidecar{
		settings: s,
		log:      log,
		meter:    metering.New(),
		store:    store,
		worker:   platform.NewWorkerClient(s.Worker.Address),
		node: peer.Node{
			Name:       s.Node.Name,
			Address:    netip.AddrPortFrom(s.Node.IP, uint16(s.Node.PeerPort)),
			DataCentre: s.Node.DataCentre,
			Role:       peer.RoleAgent,
			Boot:       uuid.NewString()[:8],
		},
		gate:      gate.New(),
		learner:   interference.New(),
		pings:     map[uint64]time.Duration{},
		reported:  map[job.TaskID]reportedRun{},
		stopping:  map[stopOrder]bool{},
		stopSlots: make(chan struct{}, platform.MaxConcurrentStops),
		listNow:   make(chan struct{}, 1),
		announced: make(chan struct{}, 1),

		endListing: func() {},
	}
}

// Run runs the sidecar until ctx ends. It returns an error if a listener fails.
func (s *Sidecar) Run(ctx context.Context) error {
	peers := s.guard("Peers", s.settings.PeerLimits())

	l, err := peers.Listen(ctx, s.node.Address.String())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}

	group, ctx := errgroup.WithContext(ctx)

	server := peer.Server{
		OnOpen:  s.acceptLeader,
		OnFrame: s.handleFrame,
		OnClose: s.dropLeader,
		OnHello: peers.Establish,
		// The leader opens no further streams.
		MaxStreams: 1,
		OnError:    peer.LogLost(s.log, &s.repeats),
	}

	announcements := platform.AnnouncementHandler{
		OnAnnouncement: s.handleAnnouncement,
		OnLeave:        s.handleLeave,
		OnReject: func(id string, err error) {
			s.repeats.Log(s.log, zapcore.WarnLevel, "AnnouncementRejected", "Malformed", zap.String("Worker", id), jsonlog.Error(err))
		},
	}

	group.Go(func() error { return server.Serve(ctx, l) })
	group.Go(func() error {
		g := s.guard("Announcements", s.settings.AnnouncementLimits(intake.DescriptorLimit()))

		return g.Serve(ctx, s.settings.Node.AnnouncementAddress, &http.Server{Handler: announcements.Routes()}, shutdownTime)
	})
	group.Go(func() error { return peer.Register(ctx, s.store, s.node, s.log) })
	group.Go(func() error { return s.serveMetrics(ctx) })
	group.Go(func() error { return s.listLoop(ctx) })
	group.Go(func() error { return s.reportLoop(ctx) })

	if err := group.Wait(); err != nil {
		return fmt.Errorf("sidecar: %w", err)
	}

	return nil
}

func (s *Sidecar) handleAnnouncement(a gate.Announcement) {
	if a.Service != s.settings.Worker.Service {
		s.repeats.Log(s.log, zapcore.WarnLevel, "AnnouncementRejected", "Service", zap.String("Worker", a.ID), zap.String("Service", a.Service))

		return
	}

	s.mu.Lock()
	if s.gate.HandleAnnouncement(boottime.Now(), a) {
		s.log.Info("WorkerAnnounced", zap.String("Worker", a.ID), zap.Int64("Born", a.Born),
			zap.Bool("Draining", a.Draining), zap.Int64("Sequence", a.Sequence), zap.Int("Runs", len(s.gate.Runs)))
		s.sendReport(nil)
	}
	s.mu.Unlock()

	notify(s.announced)
}

func (s *Sidecar) handleLeave(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.gate.HandleLeave(id) {
		s.log.Info("WorkerLeft", zap.String("Worker", id))
		s.sendReport(nil)
	}
}

// acceptLeader accepts the session of a leader. A later term replaces an earlier one.
func (s *Sidecar) acceptLeader(p *peer.Session) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	term := s.leader.Term

	if err := s.leader.Accept(p); err != nil {
		return err
	}

	if s.leader.Term != term {
		s.learner.LeavePool()
	}

	clear(s.pings)
	clear(s.reported)
	s.learner.Resend()
	s.log.Info("LeaderConnected", zap.String("Leader", p.Hello.GetName()), zap.Int64("Term", s.leader.Term))
	s.sendFullReport(nil)

	return nil
}

func (s *Sidecar) dropLeader(p *peer.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.leader.Clear(p) {
		s.log.Info("LeaderLost", zap.Int64("Term", s.leader.Term))
	}
}

func (s *Sidecar) handleFrame(p *peer.Session, f *peerpb.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.leader.Session != p {
		return
	}

	switch b := f.GetBody().(type) {
	case *peerpb.Frame_Orders:
		s.handleOrders(b.Orders)
	case *peerpb.Frame_Recorded:
		r := b.Recorded
		s.gate.MarkRecorded(gate.Incarnation{
			ID:   r.GetWorkerID(),
			Born: r.GetBorn(),
		}, r.GetNumber())
		notify(s.listNow)
	case *peerpb.Frame_Estimates:
		s.learner.SetPooled(peer.DecodeEstimates(b.Estimates))
	case *peerpb.Frame_Pong:
		if at, ok := s.pings[b.Pong.GetNumber()]; ok {
			delete(s.pings, b.Pong.GetNumber())
			s.gate.Authorize(at)
		}
	default:
	}
}

// sendFullReport reports the complete state, which a leader needs before it sends
// orders, or what is known of it before it is complete. The given ends are those of runs that
// the worker doesn't list.
func (s *Sidecar) sendFullReport(unlisted []gate.EndEvent) {
	var runs []peer.TaskRun
	for t, e := range s.gate.Runs {
		runs = append(runs, peer.TaskRun{
			Task:  t,
			State: e,
		})
	}

	events := unlisted
	for _, e := range s.gate.Unrecorded {
		events = append(events, gate.EndEvent{
			End:         e,
			Incarnation: s.gate.Worker.Incarnation,
		})
	}

	if !s.gate.Synced && len(events) == 0 {
		// What runs is unknown until a listing is read; the full report is sent then.
		return
	}

	// The worker lists further ends only once the leader has recorded these.
	s.sendRuns(s.gate.Synced, runs, events)
	// The leader answers no ping before it has the report.
	s.ping()
}

// sendReport reports the worker's state and the given ends.
func (s *Sidecar) sendReport(events []gate.EndEvent) { s.sendRuns(false, nil, events) }

// sendRuns reports the worker's state and the given runs and ends. full says that they are all
// runs and all unrecorded ends.
func (s *Sidecar) sendRuns(full bool, runs []peer.TaskRun, events []gate.EndEvent) {
	if s.leader.Session == nil {
		return
	}

	for _, m := range peer.EncodeReport(full, s.gate, runs, events) {
		s.send(&peerpb.Frame{Body: &peerpb.Frame_WorkerReport{WorkerReport: m}})
	}
}

func (s *Sidecar) send(f *peerpb.Frame) {
	if s.leader.Session == nil {
		return
	}

	if err := s.leader.Session.Send(f); err != nil {
		s.log.Warn("LeaderUnreachable", jsonlog.Error(err))
	}
}

// ping asks the leader to confirm that it holds its lease.
func (s *Sidecar) ping() {
	s.pingNumber++
	s.pings[s.pingNumber] = boottime.Now()
	s.send(&peerpb.Frame{Body: &peerpb.Frame_Ping{Ping: &peerpb.Ping{Number: s.pingNumber}}})
}

// reportLoop pings the leader and sends status reports until ctx ends.
func (s *Sidecar) reportLoop(ctx context.Context) error {
	ticker := time.NewTicker(pingPeriod)
	defer ticker.Stop()

	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}

		s.mu.Lock()
		if s.leader.Session != nil {
			clear(s.pings)
			s.ping()

			if n%int(statusPeriod/pingPeriod) == 0 {
				s.sendStatus()
			}
		}
		s.mu.Unlock()
	}
}

// sendStatus reports runs that started or stalled or whose orders are unknown, new
// checkpoints and progress, the latencies of serving tasks, and new interference estimates.
func (s *Sidecar) sendStatus() {
	runs := s.changedRuns()

	for t := range s.reported {
		if s.gate.Runs[t] == nil {
			delete(s.reported, t)
		}
	}

	if len(runs) > 0 {
		s.sendRuns(false, runs, nil)
	}

	for _, m := range peer.EncodeEstimates(s.learner.Changed()) {
		s.send(&peerpb.Frame{Body: &peerpb.Frame_Estimates{Estimates: m}})
	}
}

// notify signals a channel with a buffer of one, unless a signal is already pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
