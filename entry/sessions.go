package entry

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"trefoildeck/core/placement"
	"trefoildeck/core/resource"
	"trefoildeck/core/routing"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"

	"go.uber.org/zap"
)

// sessionTable holds the sessions with agents and other entries, by role and name.
type sessionTable struct {
	mu     sync.RWMutex
	byPeer map[string]*peer.Session
	// lastAdded is when the last session was added.
	lastAdded time.Time
	byWorker  map[string]*peer.Session
	// heldRevisions has the revisions of configurations that a peer holds.
	heldRevisions map[*peer.Session]map[string]int64
}

func newSessionTable() *sessionTable {
	return &sessionTable{
		byPeer:        map[string]*peer.Session{},
		byWorker:      map[string]*peer.Session{},
		heldRevisions: map[*peer.Session]map[string]int64{},
	}
}

func sessionKey(role, name string) string {
	return role + " " + name
}

// add adds a session and returns the one that it replaces, if any.
func (t *sessionTable) add(s *peer.Session) *peer.Session {
	t.mu.Lock()
	defer t.mu.Unlock()

	key := sessionKey(s.Hello.GetRole(), s.Hello.GetName())
	old := t.byPeer[key]
	t.byPeer[key] = s
	t.heldRevisions[s] = map[string]int64{}
	t.lastAdded = time.Now()

	if w := s.Hello.GetWorker().GetName(); w != "" {
		t.byWorker[w] = s
	}

	return old
}

// remove removes a session and returns whether it was the current one of its peer.
func (t *sessionTable) remove(s *peer.Session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	delete(t.heldRevisions, s)

	key := sessionKey(s.Hello.GetRole(), s.Hello.GetName())
	if t.byPeer[key] != s {
		return false
	}

	delete(t.byPeer, key)

	if w := s.Hello.GetWorker().GetName(); t.byWorker[w] == s {
		delete(t.byWorker, w)
	}

	return true
}

func (t *sessionTable) agent(name string) *peer.Session {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.byPeer[sessionKey(peer.RoleAgent, name)]
}

func (t *sessionTable) worker(name string) *peer.Session {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.byWorker[name]
}

func (t *sessionTable) ofRole(role string) []*peer.Session {
	t.mu.RLock()
	defer t.mu.RUnlock()

	var list []*peer.Session

	for _, s := range t.byPeer {
		if s.Hello.GetRole() == role {
			list = append(list, s)
		}
	}

	return list
}

// setHeldRevisions records the revisions of configurations that a session's peer
// reports to hold.
func (t *sessionTable) setHeldRevisions(s *peer.Session, list []*peerpb.Held) {
	t.mu.Lock()
	defer t.mu.Unlock()

	held, ok := t.heldRevisions[s]
	if !ok {
		return
	}

	for _, h := range list {
		held[h.GetConfiguration()] = max(held[h.GetConfiguration()], h.GetRevision())
	}
}

// lowestHeldRevision returns the lowest revision of a configuration among the agents
// of a data centre, and whether the data centre has agents at all.
func (t *sessionTable) lowestHeldRevision(dataCentre, configuration string) (int64, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()

	lowest, found := int64(0), false

	for _, s := range t.byPeer {
		if s.Hello.GetRole() != peer.RoleAgent || s.Hello.GetDataCentre() != dataCentre {
			continue
		}

		if r := t.heldRevisions[s][configuration]; !found || r < lowest {
			lowest = r
		}

		found = true
	}

	return lowest, found
}

func (e *Entry) sessionOpened(s *peer.Session) error {
	if old := e.sessions.add(s); old != nil {
		e.log.Warn("SessionReplaced", zap.String("Peer", s.Hello.GetName()), zap.String("Old", old.Remote))
		old.Close()
	}

	e.log.Info("SessionOpened", zap.String("Role", s.Hello.GetRole()), zap.String("Peer", s.Hello.GetName()), zap.String("Remote", s.Remote))

	err := s.Send(&peerpb.Frame{Body: &peerpb.Frame_Welcome{Welcome: &peerpb.Welcome{
		Name:           e.settings.Entry.Name,
		EntryAddresses: e.entryAddresses(),
	}}})
	if err != nil {
		e.sessions.remove(s)

		return fmt.Errorf("send welcome: %w", err)
	}

	if s.Hello.GetRole() == peer.RoleEntry {
		e.sendResources([]*peer.Session{s}, e.catalog.List(""))

		return nil
	}

	e.sendResources([]*peer.Session{s}, e.catalog.List(resource.KindConfiguration))
	e.announceEndpoint(s, 0)

	return nil
}

// announceEndpoint announces an agent's endpoint to routing.
func (e *Entry) announceEndpoint(s *peer.Session, roundTrip time.Duration) {
	p := s.Hello.GetEndpoint()
	if p == nil {
		return
	}

	if _, declared := e.catalog.Get(dataCentreID(s.Hello.GetDataCentre())); !declared {
		// The endpoint gets no requests until its data centre is declared.
		e.routes.SetOut(time.Now(), s.Hello.GetDataCentre(), true)
	}

	e.routes.Announce(time.Now(), routing.Announcement{
		Service:    p.GetService(),
		Endpoint:   s.Hello.GetName(),
		DataCentre: s.Hello.GetDataCentre(),
		Slots:      int(p.GetSlots()),
		RoundTrip:  roundTrip,
	})
}

func (e *Entry) sessionClosed(s *peer.Session) {
	if !e.sessions.remove(s) {
		return
	}

	e.log.Info("SessionClosed", zap.String("Role", s.Hello.GetRole()), zap.String("Peer", s.Hello.GetName()))

	if p := s.Hello.GetEndpoint(); p != nil {
		e.routes.Withdraw(p.GetService(), s.Hello.GetName())
	}
}

// Limits on the silence of an agent, which sends a heartbeat every 250 ms.
const (
	// silentAfter is the silence after which an agent gets no new requests.
	silentAfter = 750 * time.Millisecond
	// closeAfter is the silence after which its session is closed.
	closeAfter = 1500 * time.Millisecond
)

// checkSilence stops routing requests to agents that have become silent, and closes
// sessions that stay silent, so that the requests on them end with an outcome.
func (e *Entry) checkSilence() {
	for _, s := range e.sessions.ofRole(peer.RoleAgent) {
		silence := s.Silence()
		if silence > closeAfter {
			e.log.Warn("SessionSilent", zap.String("Peer", s.Hello.GetName()), zap.Duration("Silence", silence))
			s.Close()

			continue
		}

		if p := s.Hello.GetEndpoint(); p != nil {
			e.routes.SetSilent(p.GetService(), s.Hello.GetName(), silence > silentAfter)
		}
	}
}

// measureRoundTrips updates routing's round-trip times to the agents.
func (e *Entry) measureRoundTrips(context.Context) {
	var wg sync.WaitGroup

	for _, s := range e.sessions.ofRole(peer.RoleAgent) {
		wg.Go(func() {
			d, err := s.RoundTripTime()
			if err != nil || e.sessions.agent(s.Hello.GetName()) != s {
				return
			}

			e.routes.SetRoundTrip(s.Hello.GetEndpoint().GetService(), s.Hello.GetName(), d)
		})
	}

	wg.Wait()
}

// call sends an attempt of a request to an endpoint's agent and waits for the head
// of the answer. rest is the body beyond what head carries.
func (e *Entry) call(ctx context.Context, endpoint string, head *peerpb.RequestHead, rest io.Reader) (*peer.Answer, error) {
	s := e.sessions.agent(endpoint)
	if s == nil {
		return nil, fmt.Errorf("call %s: no session: %w", endpoint, peer.ErrNotSent)
	}

	answer, err := s.Call(ctx, head, rest)
	if err != nil {
		return nil, err
	}

	if load := answer.Head.GetLoad(); load != nil {
		e.reportLoad(s, load)
	}

	return answer, nil
}

func (e *Entry) reportLoad(s *peer.Session, load *peerpb.Load) {
	p := s.Hello.GetEndpoint()
	if p == nil {
		return
	}

	if load.GetLeaving() {
		e.routes.Withdraw(p.GetService(), s.Hello.GetName())

		return
	}

	e.routes.Report(p.GetService(), s.Hello.GetName(), routing.Load{
		InUse:  int(load.GetInUse()),
		Queued: int(load.GetQueued()),
	})
}

func (e *Entry) onFrame(s *peer.Session, f *peerpb.Frame) {
	switch b := f.GetBody().(type) {
	case *peerpb.Frame_Heartbeat:
		e.onHeartbeat(s, b.Heartbeat)
	case *peerpb.Frame_TaskReport:
		e.onTaskReport(s, b.TaskReport)
	case *peerpb.Frame_PermitRequest:
		e.onPermitRequest(s, b.PermitRequest)
	case *peerpb.Frame_Leave:
		if p := s.Hello.GetEndpoint(); p != nil {
			e.routes.Withdraw(p.GetService(), s.Hello.GetName())
		}
	}
}

func (e *Entry) onHeartbeat(s *peer.Session, h *peerpb.Heartbeat) {
	e.reportLoad(s, h.GetLoad())
	e.sessions.setHeldRevisions(s, h.GetHeld())

	answer := &peerpb.HeartbeatAnswer{
		Sequence:       h.GetSequence(),
		BootID:         h.GetBootID(),
		EntryAddresses: e.entryAddresses(),
	}

	if s.Hello.GetWorker() != nil && h.GetBootID() != "" {
		reply := e.reportWorker(s, h)
		answer.Token = reply.Token

		if reply.Renewed {
			answer.LeaseUntil = h.GetUptime() + int64(e.settings.Entry.TaskLease)
		}
	}

	// An agent whose session fails dials again.
	_ = s.Send(&peerpb.Frame{Body: &peerpb.Frame_HeartbeatAnswer{HeartbeatAnswer: answer}})
}

// reportWorker passes the heartbeat of a worker's agent to the scheduler. Task
// leases are renewed only by the entry that holds a valid lease of the shard.
func (e *Entry) reportWorker(s *peer.Session, h *peerpb.Heartbeat) placement.HeartbeatReply {
	report := peer.DecodeHeartbeat(s.Hello, h)
	report.Reserved = e.reservedSize(report.Service)

	now := time.Now()

	e.mu.Lock()
	defer e.mu.Unlock()

	e.releaseLapsedShards(now)

	return e.scheduler.Heartbeat(now, report)
}

// reservedSize is the size that is reserved on a worker for an endpoint of the
// service that runs beside it.
func (e *Entry) reservedSize(service string) placement.Size {
	r, ok := e.catalog.Get(resource.ID{
		Kind: resource.KindService,
		Name: service,
	})
	if !ok {
		return placement.Size{}
	}

	s, ok := r.Spec.(*resource.Service)
	if !ok {
		return placement.Size{}
	}

	return sizeOf(s.MilliCores, s.MemoryMB, 0)
}

func (e *Entry) onTaskReport(s *peer.Session, r *peerpb.TaskReport) {
	now := time.Now()

	e.mu.Lock()
	defer e.mu.Unlock()

	e.releaseLapsedShards(now)
	e.scheduler.ReportEnd(s.Hello.GetWorker().GetName(), placement.End{
		ID:         peer.DecodeAttemptID(r),
		Phase:      placement.Phase(r.GetEnd()),
		Reason:     r.GetReason(),
		Checkpoint: r.GetCheckpoint(),
	})
}

func sizeOf(milliCores, memoryMB, accelerators int64) placement.Size {
	return placement.Size{
		MilliCores:   milliCores,
		MemoryMB:     memoryMB,
		Accelerators: accelerators,
	}
}

func (t *sessionTable) count() int {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return len(t.byPeer)
}

// sinceLastAdded returns the time since the last session was added.
func (t *sessionTable) sinceLastAdded() time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return time.Since(t.lastAdded)
}
