package coordinator

import (
	"context"
	"time"

	"trefoildeck/internal/jsonlog"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/io/rows"

	"go.uber.org/zap"
)

// nodeLink is the leader's link to one node: a sidecar or another coordinator.
type nodeLink struct {
	node   peer.Node
	cancel context.CancelFunc
	// session is the link's current session, nil while there is none. It was opened at
	// the time opened.
	session *peer.Session
	opened  time.Duration
	// held means that the session's frames are not handled, since the row of absent sidecars
	// may list this one.
	held bool
	// returningUntil is how long another session of a sidecar is awaited that the row no longer lists, 0
	// if none is.
	returningUntil time.Duration
	// present is when the process was last known to run: when its row was read or its last session
	// ended.
	present time.Duration
	// report joins the messages of a report in the current session.
	report peer.ReportJoiner
	log    *zap.Logger
}

func (n *nodeLink) send(f *peerpb.Frame) {
	if n.session != nil {
		n.sendIn(n.session, f)
	}
}

// sendIn sends an answer in the session of its question: a process that has restarted
// since numbers its questions anew.
func (n *nodeLink) sendIn(s *peer.Session, f *peerpb.Frame) {
	if err := s.Send(f); err != nil {
		n.log.Warn("NodeUnreachable", zap.String("Node", n.node.Name), jsonlog.Error(err))
	}
}

// watchNodes keeps a link to each process in the node table. The workers of the sidecars
// in the first read may run tasks of the previous leader, so the fleet awaits their
// reports.
func (l *leader) watchNodes(ctx context.Context) error {
	first := true

	return l.c.watchTable(ctx, peer.NodeTable, func(ctx context.Context) (int64, error) {
		p, err := l.c.store.All(ctx, peer.NodeTable, "")
		if err != nil {
			return 0, err
		}

		var sidecars []string

		for _, r := range p.Rows {
			if n, ok := l.applyNodeRow(ctx, r); ok && n.Role == peer.RoleAgent {
				sidecars = append(sidecars, n.Name)
			}
		}

		if first {
			first = false

			l.mu.Lock()
			l.fleet.AwaitReports(l.c.now(), sidecars, l.absences.Listed(), l.handedOver)
			l.mu.Unlock()
			notify(l.wake)
			// A listed sidecar may have connected before.
			notify(l.absenceEnded)
		}

		return p.Version, nil
	}, func(r rows.Row) { l.applyNodeRow(ctx, r) })
}

// applyNodeRow opens a link to a process, and replaces it after the process has
// restarted. It returns false if the row is deleted or can't be decoded.
func (l *leader) applyNodeRow(ctx context.Context, r rows.Row) (peer.Node, bool) {
	if r.Deleted {
		return peer.Node{}, false
	}

	n, err := peer.DecodeNode(r)
	if err != nil {
		l.c.log.Error("NodeUnreadable", zap.String("Node", r.Key), jsonlog.Error(err))

		return peer.Node{}, false
	}

	if n.Name == l.c.node.Name {
		return n, true
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	if old := l.nodes[n.Name]; old != nil {
		if old.node == n {
			return n, true
		}

		old.cancel()
		// What the worker runs is unknown until its next report.
		l.fleet.Disconnected(n.Name)
	}

	ctx, cancel := context.WithCancel(ctx)
	link := &nodeLink{
		node:   n,
		cancel: cancel,
		log:    l.c.log,

		present: l.c.now(),
	}
	l.nodes[n.Name] = link

	go l.link(link).Run(ctx)

	return n, true
}

func (l *leader) link(n *nodeLink) *peer.Link {
	return &peer.Link{
		Address: n.node.Address,
		Hello: func() *peerpb.Hello {
			return &peerpb.Hello{
				Name: l.c.node.Name,
				Role: peer.RoleLeader,
				Term: l.term,
				Boot: l.c.node.Boot,
			}
		},
		OnOpen: func(s *peer.Session) {
			if n.node.Role == peer.RoleEntry {
				l.c.addRelayPeer(s, n.node.Name)
			}

			l.mu.Lock()
			defer l.mu.Unlock()

			n.session = s
			n.opened = l.c.now()
			n.report = peer.ReportJoiner{}
			n.held = l.absences.MayList(n.node.Name)
			l.c.log.Info("NodeConnected", zap.String("Node", n.node.Name), zap.Int64("Term", l.term))

			if n.held {
				notify(l.absenceEnded)

				return
			}

			if n.node.Role == peer.RoleAgent {
				for _, m := range peer.EncodeEstimates(l.fleet.Interference.All()) {
					n.send(&peerpb.Frame{Body: &peerpb.Frame_Estimates{Estimates: m}})
				}
			}
		},
		OnFrame: func(s *peer.Session, f *peerpb.Frame) { l.handleFrame(n, s, f) },
		OnClose: func(s *peer.Session) {
			l.c.dropRelayPeer(s)

			l.mu.Lock()
			defer l.mu.Unlock()

			n.present = l.c.now()

			if n.session == s {
				n.session = nil
			}

			if l.nodes[n.node.Name] == n {
				l.fleet.Disconnected(n.node.Name)
			}

			l.c.log.Info("NodeLost", zap.String("Node", n.node.Name), zap.Int64("Term", l.term))
			notify(l.wake)
		},
		OnError: func(err error) {
			l.c.log.Info("NodeUnreachable", zap.String("Node", n.node.Name), jsonlog.Error(err))
		},
	}
}

// handleFrame handles a frame from a node. Frames of replaced links and sessions are
// dropped. Pings are answered only while the lease is valid and the node has reported.
func (l *leader) handleFrame(n *nodeLink, s *peer.Session, f *peerpb.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.nodes[n.node.Name] != n || n.session != s || n.held {
		return
	}

	switch b := f.GetBody().(type) {
	case *peerpb.Frame_Ping:
		if l.holdsLease() && l.fleet.RecordContact(l.c.now(), n.node.Name) {
			n.send(&peerpb.Frame{Body: &peerpb.Frame_Pong{Pong: &peerpb.Pong{Number: b.Ping.GetNumber()}}})
		}
	case *peerpb.Frame_WorkerReport:
		l.handleReport(n, b.WorkerReport)
	case *peerpb.Frame_Estimates:
		// A restarted sidecar starts without evidence and must not replace that of the
		// process before it.
		l.fleet.Interference.Put(n.node.Name+"/"+n.node.Boot, peer.DecodeEstimates(b.Estimates))
	case *peerpb.Frame_StoreAnswer:
		// deliverStoreAnswer locks c.mu.
		go l.c.deliverStoreAnswer(b.StoreAnswer)
	case *peerpb.Frame_StoreCall:
		go l.c.serveRelay(context.Background(), b.StoreCall, func(f *peerpb.Frame) { n.sendIn(s, f) })
	case *peerpb.Frame_Written:
		// applyJobRow locks l.mu, which is held here.
		go l.c.guarded("RowNotHandled", func() { l.applyJobRow(peer.DecodeWrittenRow(b.Written)) })
	case *peerpb.Frame_Query:
		q := b.Query
		// answerQuery locks l.mu, which is held here.
		go l.c.guarded("QueryNotAnswered", func() {
			n.sendIn(s, &peerpb.Frame{Body: &peerpb.Frame_QueryAnswer{QueryAnswer: l.answerQuery(q)}})
		})
	default:
	}
}

// handleReport handles a message of a sidecar's report. The caller holds l.mu.
func (l *leader) handleReport(n *nodeLink, m *peerpb.WorkerReport) {
	report := n.report.Add(m)
	if report == nil {
		return
	}

	r, err := peer.DecodeReport(n.node.DataCentre, report)
	if err != nil {
		l.c.log.Error("ReportUnreadable", zap.String("Node", n.node.Name), jsonlog.Error(err))

		return
	}

	for _, e := range r.Ends {
		l.c.meter.Count("tasks_ended_total", "how", string(e.Reason))
		l.c.log.Info("TaskEnded", zap.String("Job", e.Task.Job), zap.Stringer("Task", e.Task), zap.Int("Attempt", e.Attempt),
			zap.String("How", string(e.Reason)), zap.String("Node", n.node.Name), zap.Int64("Number", e.Number))
	}

	n.returningUntil = 0
	l.fleet.Report(l.c.now(), n.node.Name, r)
	notify(l.wake)
}

// estimatesPeriod is the time between two broadcasts of the pooled interference
// estimates: the images in use change within seconds.
const estimatesPeriod = 2 * time.Second

// broadcastEstimates sends the pooled interference estimates of all workers that have
// changed to each sidecar. A new session gets all of them first.
func (l *leader) broadcastEstimates(ctx context.Context) error {
	for sleep(ctx, estimatesPeriod); ctx.Err() == nil; sleep(ctx, estimatesPeriod) {
		l.mu.Lock()
		for _, m := range peer.EncodeEstimates(l.fleet.Interference.Changes()) {
			f := &peerpb.Frame{Body: &peerpb.Frame_Estimates{Estimates: m}}

			for _, n := range l.nodes {
				if n.node.Role == peer.RoleAgent {
					n.send(f)
				}
			}
		}
		l.mu.Unlock()
	}

	return nil
}
