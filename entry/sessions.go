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

// sessionTable holds the sessions with agents and other entries by name.
type sessionTable struct {
	mu     sync.RWMutex
	byName map[string]*peer.Session
	// opened is when the last session of an agent was added.
	opened   time.Time
	byWorker map[string]*peer.Session
	held     map[*peer.Session]map[string]int64
}

func newSessionTable() *sessionTable {
	return &sessionTable{
		byName:   map[string]*peer.Session{},
		byWorker: map[string]*peer.Session{},
		held:     map[*peer.Session]map[string]int64{},
	}
}

func sessionName(role, name string) string {
	return role + " " + name
}

// add returns the session that it replaces, if any.
func (t *sessionTable) add(s *peer.Session) *peer.Session {
	t.mu.Lock()
	defer t.mu.Unlock()

	name := sessionName(s.Hello.GetRole(), s.Hello.GetName())
	old := t.byName[name]
	t.byName[name] = s
	t.held[s] = map[string]int64{}
	t.opened = time.Now()

	if w := s.Hello.GetWorker().GetName(); w != "" {
		t.byWorker[w] = s
	}

	return old
}

// remove returns whether the session was the current one of its name.
func (t *sessionTable) remove(s *peer.Session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	delete(t.held, s)

	name := sessionName(s.Hello.GetRole(), s.Hello.GetName())
	if t.byName[name] != s {
		return false
	}

	delete(t.byName, name)

	if w := s.Hello.GetWorker().GetName(); t.byWorker[w] == s {
		delete(t.byWorker, w)
	}

	return true
}

func (t *sessionTable) agent(name string) *peer.Session {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.byName[sessionName(peer.RoleAgent, name)]
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

	for _, s := range t.byName {
		if s.Hello.GetRole() == role {
			list = append(list, s)
		}
	}

	return list
}

// setHeld records the revisions that a session's peer says it holds.
func (t *sessionTable) setHeld(s *peer.Session, list []*peerpb.Held) {
	t.mu.Lock()
	defer t.mu.Unlock()

	held, ok := t.held[s]
	if !ok {
		return
	}

	for _, h := range list {
		held[h.GetConfiguration()] = max(held[h.GetConfiguration()], h.GetRevision())
	}
}

// lowestHeld returns the lowest revision of a configuration that an agent of a
// data centre holds, and whether the data centre has agents at all.
func (t *sessionTable) lowestHeld(dataCentre, configuration string) (int64, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()

	lowest, found := int64(0), false

	for _, s := range t.byName {
		if s.Hello.GetRole() != peer.RoleAgent || s.Hello.GetDataCentre() != dataCentre {
			continue
		}

		if r := t.held[s][configuration]; !found || r < lowest {
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
		return fmt.Errorf("welcome peer: %w", err)
	}

	if s.Hello.GetRole() == peer.RoleEntry {
		e.sendNews([]*peer.Session{s}, e.catalog.List(""))

		return nil
	}

	e.sendNews([]*peer.Session{s}, e.catalog.List(resource.KindConfiguration))
	e.announce(s, 0)

	return nil
}

// announce makes an agent's endpoint known to routing.
func (e *Entry) announce(s *peer.Session, roundTrip time.Duration) {
	p := s.Hello.GetEndpoint()
	if p == nil {
		return
	}

	if _, declared := e.catalog.Get(dataCentreOf(s.Hello.GetDataCentre())); !declared {
		// It takes requests once its data centre is declared.
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

// Silence of an agent, which sends a heartbeat every 250 ms.
const (
	// suspectAfter is when an agent gets no new requests.
	suspectAfter = 750 * time.Millisecond
	// closeAfter is when its session is given up.
	closeAfter = 1500 * time.Millisecond
)

// suspectSilent keeps requests from agents that have fallen silent, and ends
// sessions that stay so: what is on them then gets its outcome.
func (e *Entry) suspectSilent() {
	for _, s := range e.sessions.ofRole(peer.RoleAgent) {
		silence := s.Silence()
		if silence > closeAfter {
			e.log.Warn("SessionSilent", zap.String("Peer", s.Hello.GetName()), zap.Duration("Silence", silence))
			s.Close()

			continue
		}

		if p := s.Hello.GetEndpoint(); p != nil {
			e.routes.SetSilent(p.GetService(), s.Hello.GetName(), silence > suspectAfter)
		}
	}
}

// measureRoundTrips renews what routing knows of the distances.
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

// call sends a copy of a request to an endpoint's agent.
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
	e.sessions.setHeld(s, h.GetHeld())

	answer := &peerpb.HeartbeatAnswer{
		Sequence:       h.GetSequence(),
		BootID:         h.GetBootID(),
		EntryAddresses: e.entryAddresses(),
	}

	if s.Hello.GetWorker() != nil && h.GetBootID() != "" {
		accepted := e.workerSeen(s, h)
		answer.Token = accepted.Token

		if accepted.Renewed {
			answer.LeaseUntil = h.GetUptime() + int64(e.settings.Entry.TaskLease)
		}
	}

	// A session that fails is dialled again.
	_ = s.Send(&peerpb.Frame{Body: &peerpb.Frame_HeartbeatAnswer{HeartbeatAnswer: answer}})
}

// workerSeen passes a heartbeat on to the scheduler. Leases are renewed only by
// the entry whose own lease of the shard is valid now.
func (e *Entry) workerSeen(s *peer.Session, h *peerpb.Heartbeat) placement.HeartbeatReply {
	report := peer.DecodeHeartbeat(s.Hello, h)
	report.Reserved = e.reserved(report.Service)

	now := time.Now()

	e.mu.Lock()
	defer e.mu.Unlock()

	e.releaseLapsed(now)

	return e.scheduler.Heartbeat(now, report)
}

// reserved is what is kept on a worker for the endpoint beside it.
func (e *Entry) reserved(service string) placement.Size {
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

	e.releaseLapsed(now)
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

	return len(t.byName)
}

// quiet is the time since a session was last added.
func (t *sessionTable) quiet() time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return time.Since(t.opened)
}
