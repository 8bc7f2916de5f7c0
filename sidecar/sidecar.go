// Package sidecar is the process beside a worker of the platform. It is the one
// way to the worker: it admits the leader's orders by what the worker really
// holds, extends the worker's leases while a leader is in office, reports ends
// until they are recorded, and holds tasks that fill back where they harm tasks
// that serve.
//
// # Usage
//
//	s := sidecar.New(settings, store, worker, log)
//	err := s.Run(ctx) // ends once ctx ends
//
// It keeps nothing: what runs is read from the worker's lists.
package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/interference"
	"trefoildeck/core/job"
	"trefoildeck/internal/jsonlog"
	"trefoildeck/internal/metering"
	"trefoildeck/io/admin"
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
	// pingPeriod is the time between two questions whether the leader is in
	// office; several fit into a lease extension.
	pingPeriod = 500 * time.Millisecond
	// statusPeriod is the time between two reports of what runs.
	statusPeriod = time.Second
	// shutdownTime bounds the end of HTTP servers.
	shutdownTime = time.Second
)

// Sidecar is one running process.
type Sidecar struct {
	settings settings.Node
	log      *zap.Logger
	store    *rows.Store
	worker   *platform.Worker
	node     peer.Node
	meter    *metering.Meter

	mu      sync.Mutex
	gate    *gate.Gate
	learner *interference.Learner
	led     peer.LeaderSession
	pings   map[uint64]time.Duration
	number  uint64
	// refusals counts the refused connections to the worker in a row.
	refusals int
	// sent has the runs that the leader knows to have begun, with the checkpoints
	// that it knows.
	sent map[job.TaskID]string

	// wake asks for a listing before its time.
	wake chan struct{}
	// announced is signalled when the worker is known.
	announced chan struct{}
}

// New returns a process that is not running.
func New(s settings.Node, store *rows.Store, log *zap.Logger) *Sidecar {
	return &Sidecar{
		settings: s,
		log:      log,
		meter:    metering.New(),
		store:    store,
		worker:   platform.NewWorker(s.Worker.Address),
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
		sent:      map[job.TaskID]string{},
		wake:      make(chan struct{}, 1),
		announced: make(chan struct{}, 1),
	}
}

// Run runs until ctx ends.
func (s *Sidecar) Run(ctx context.Context) error {
	var c net.ListenConfig

	l, err := c.Listen(ctx, "tcp", s.node.Address.String())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}

	group, ctx := errgroup.WithContext(ctx)

	server := peer.Server{
		OnOpen:  s.open,
		OnFrame: s.frame,
		OnClose: s.close,
		OnError: func(remote string, err error) {
			s.log.Info("PeerLost", zap.String("Remote", remote), jsonlog.Cause(err))
		},
	}

	announcements := platform.Announcements{
		Announce: s.announce,
		Leave:    s.leave,
		Reject: func(id string, err error) {
			s.log.Warn("AnnouncementRejected", zap.String("Worker", id), jsonlog.Cause(err))
		},
	}

	group.Go(func() error { return server.Serve(ctx, l) })
	group.Go(func() error {
		return admin.Run(ctx, s.settings.Node.AnnouncementAddress, &http.Server{
			Handler:           announcements.Handler(),
			ReadHeaderTimeout: shutdownTime,
		}, shutdownTime)
	})
	group.Go(func() error { return peer.Register(ctx, s.store, s.node, s.log) })
	group.Go(func() error { return admin.ServeMetrics(ctx, s.settings.Node.MetricsAddress, s.meter.Set) })
	group.Go(func() error { return s.list(ctx) })
	group.Go(func() error { return s.report(ctx) })

	if err := group.Wait(); err != nil {
		return fmt.Errorf("sidecar: %w", err)
	}

	return nil
}

func (s *Sidecar) announce(a gate.Announcement) {
	if a.Service != s.settings.Worker.Service {
		s.log.Warn("AnnouncementRejected", zap.String("Worker", a.ID), zap.String("Service", a.Service))

		return
	}

	s.mu.Lock()
	if s.gate.HandleAnnouncement(boottime.Now(), a) {
		s.log.Info("WorkerAnnounced", zap.String("Worker", a.ID), zap.Int64("Born", a.Born),
			zap.Bool("Draining", a.Draining), zap.Int64("Sequence", a.Sequence), zap.Int("Runs", len(s.gate.Runs)))
		s.send(nil)
	}
	s.mu.Unlock()

	notify(s.announced)
}

func (s *Sidecar) leave(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.gate.HandleLeave(id) {
		s.log.Info("WorkerLeft", zap.String("Worker", id))
		s.send(nil)
	}
}

// open takes in the session of a leader: a later term supersedes an earlier one.
func (s *Sidecar) open(p *peer.Session) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	if err := s.led.Take(p); err != nil {
		return err
	}

	clear(s.pings)
	clear(s.sent)
	s.learner.Resend()
	s.log.Info("LeaderConnected", zap.String("Leader", p.Hello.GetName()), zap.Int64("Term", s.led.Term))
	s.full()
	s.ping()

	return nil
}

func (s *Sidecar) close(p *peer.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.led.Drop(p) {
		s.log.Info("LeaderLost", zap.Int64("Term", s.led.Term))
	}
}

func (s *Sidecar) frame(p *peer.Session, f *peerpb.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.led.Session != p {
		return
	}

	switch b := f.GetBody().(type) {
	case *peerpb.Frame_Orders:
		s.orders(b.Orders)
	case *peerpb.Frame_Recorded:
		r := b.Recorded
		s.gate.MarkRecorded(gate.Incarnation{
			ID:   r.GetWorkerID(),
			Born: r.GetBorn(),
		}, r.GetNumber())
		notify(s.wake)
	case *peerpb.Frame_Estimates:
		s.learner.Merge(peer.DecodeEstimates(b.Estimates))
	case *peerpb.Frame_Pong:
		if at, ok := s.pings[b.Pong.GetNumber()]; ok {
			delete(s.pings, b.Pong.GetNumber())
			s.gate.Authorize(at)
		}
	default:
	}
}

// full reports everything, which a leader needs before it gives orders.
func (s *Sidecar) full() {
	var runs []peer.RunEntry
	for t, e := range s.gate.Runs {
		runs = append(runs, peer.RunEntry{
			Task:  t,
			Entry: e,
		})
	}

	var events []gate.EndEvent
	for _, e := range s.gate.Unrecorded {
		events = append(events, gate.EndEvent{
			End:         e,
			Incarnation: s.gate.Worker.Incarnation,
		})
	}

	if !s.gate.Synced {
		// What runs is not known before the worker's lists were read; a full
		// report follows then.
		return
	}

	s.write(&peerpb.Frame{Body: &peerpb.Frame_WorkerReport{
		WorkerReport: peer.EncodeReport(true, s.gate, runs, events),
	}})
}

// send reports the worker's state and new ends.
func (s *Sidecar) send(events []gate.EndEvent) {
	s.write(&peerpb.Frame{Body: &peerpb.Frame_WorkerReport{
		WorkerReport: peer.EncodeReport(false, s.gate, nil, events),
	}})
}

func (s *Sidecar) write(f *peerpb.Frame) {
	if s.led.Session == nil {
		return
	}

	if err := s.led.Session.Send(f); err != nil {
		s.log.Warn("LeaderUnreachable", jsonlog.Cause(err))
	}
}

// ping asks whether the leader is in office.
func (s *Sidecar) ping() {
	s.number++
	s.pings[s.number] = boottime.Now()
	s.write(&peerpb.Frame{Body: &peerpb.Frame_Ping{Ping: &peerpb.Ping{Number: s.number}}})
}

// report pings the leader and reports runs from time to time.
func (s *Sidecar) report(ctx context.Context) error {
	ticker := time.NewTicker(pingPeriod)
	defer ticker.Stop()

	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}

		s.mu.Lock()
		if s.led.Session != nil {
			clear(s.pings)
			s.ping()

			if n%int(statusPeriod/pingPeriod) == 0 {
				s.status()
			}
		}
		s.mu.Unlock()
	}
}

// status reports runs that the leader does not know to have begun, their new
// checkpoints, latencies, and what was learnt of interference.
func (s *Sidecar) status() {
	var runs []peer.RunEntry

	now := boottime.Now()

	for t, e := range s.gate.Runs {
		c := e.Run.Checkpoint
		known, told := s.sent[t]
		serves := e.OrderKnown && e.Order.Target > 0
		stalled := e.Stalled(now)

		if e.Phase != gate.Confirmed || (told && known == c && !serves && !stalled) {
			continue
		}

		s.sent[t] = c
		runs = append(runs, peer.RunEntry{
			Task:    t,
			Entry:   e,
			Stalled: stalled,
		})
	}

	for t := range s.sent {
		if s.gate.Runs[t] == nil {
			delete(s.sent, t)
		}
	}

	if len(runs) > 0 {
		s.write(&peerpb.Frame{Body: &peerpb.Frame_WorkerReport{
			WorkerReport: peer.EncodeReport(false, s.gate, runs, nil),
		}})
	}

	if learnt := s.learner.Changed(); len(learnt) > 0 {
		s.write(&peerpb.Frame{Body: &peerpb.Frame_Estimates{Estimates: peer.EncodeEstimates(learnt)}})
	}
}

// notify signals a channel of one place.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
