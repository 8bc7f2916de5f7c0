package coordinator

import (
	"context"
	"sync"
	"time"

	"trefoildeck/core/backlog"
	"trefoildeck/core/config"
	"trefoildeck/core/job"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/platform"

	"go.uber.org/zap"
)

const (
	// loadPeriod is the time between two computations of the loads by the leader.
	loadPeriod = 250 * time.Millisecond
	// maxLoadPause is the longest time between two messages with loads, which are of use for
	// backlog.MaxLoadAge: one of them may be late or lost with its session.
	maxLoadPause = 500 * time.Millisecond
	// absentAfter is the time after which a process without a session is taken to be gone. It is
	// twice the longest time after which a refused caller repeats its request.
	absentAfter = 2 * backlog.MaxRetryAfter
)

// admission is what an entry knows of the work that services have to do.
type admission struct {
	mu sync.Mutex
	// loads has the last load of each service.
	loads map[string]*backlog.Load
}

// update replaces the loads of services.
func (a *admission) update(loads []*backlog.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.loads == nil {
		a.loads = map[string]*backlog.Load{}
	}

	for _, l := range loads {
		a.loads[l.Service] = l
	}
}

// forget drops all loads, when there is no leader.
func (a *admission) forget() {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.loads = nil
}

// judge judges a submission by the last load of its service.
func (a *admission) judge(now time.Duration, r *job.Record, account string) backlog.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()

	l := a.loads[r.Service]
	if l == nil {
		return backlog.Verdict{Admit: true}
	}

	return l.Admit(now, r, account)
}

// add adds an accepted job to the load of its service, until the leader sends the next one.
func (a *admission) add(now time.Duration, r *job.Record, account string) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if l := a.loads[r.Service]; l != nil {
		l.Add(now, r, account)
	}
}

// judge judges the submission of a job to a queue. Without the store, nothing is refused for the
// load, since a refusal has to be stored.
func (c *Coordinator) judge(q config.Queue, r *job.Record) backlog.Verdict {
	if !c.settings.Scheduling.Admission || !c.storeReachable() {
		return backlog.Verdict{Admit: true}
	}

	return c.admission.judge(c.now(), r, q.Host)
}

// refusalOf returns the refusal that a verdict stands for, or nil.
func refusalOf(v backlog.Verdict) *platform.Refusal {
	if v.Admit {
		return nil
	}

	return &platform.Refusal{
		Reason:     string(v.Reason),
		RetryAfter: v.RetryAfter,
	}
}

// applyBacklog applies the loads that the leader sent.
func (c *Coordinator) applyBacklog(m *peerpb.Backlog) {
	c.admission.update(peer.DecodeBacklog(c.now(), m))
}

// broadcastBacklog sends the loads of the services to each entry, if they have changed or
// maxLoadPause has passed.
func (l *leader) broadcastBacklog(ctx context.Context) error {
	if !l.c.settings.Scheduling.Admission {
		return nil
	}

	defer l.c.admission.forget()

	sent := map[string]*backlog.Load{}
	sentAt := time.Duration(0)

	for sleep(ctx, loadPeriod); ctx.Err() == nil; sleep(ctx, loadPeriod) {
		now := l.c.now()

		loads := l.loads(now)
		if loads == nil || (now-sentAt < maxLoadPause && !changed(loads, sent)) {
			continue
		}

		// Messages lack what exceeds their bound.
		messages := peer.EncodeBacklog(loads)

		sentAt = now
		for _, s := range loads {
			sent[s.Service] = s
		}

		l.mu.Lock()
		for _, m := range messages {
			l.sendToEntries(&peerpb.Frame{Body: &peerpb.Frame_Backlog{Backlog: m}})
		}
		l.mu.Unlock()

		for _, m := range messages {
			l.c.applyBacklog(m)
		}
	}

	return nil
}

func changed(loads []*backlog.Load, before map[string]*backlog.Load) bool {
	for _, l := range loads {
		if l.Changed(before[l.Service]) {
			return true
		}
	}

	return false
}

// sendToEntries sends a frame to the other entries. The caller holds l.mu.
func (l *leader) sendToEntries(f *peerpb.Frame) {
	for _, n := range l.nodes {
		if n.node.Role == peer.RoleEntry {
			n.send(f)
		}
	}
}

// loads returns the loads of the services. It returns nil while they are not known, the lease may be
// lost, or an entry runs that would take a stored refusal for a job.
func (l *leader) loads(now time.Duration) []*backlog.Load {
	l.mu.Lock()
	defer l.mu.Unlock()

	loads := l.fleet.Loads(now)

	if n := l.nodeWithoutRefusals(now); n != "" {
		l.repeats.Log(l.c.log, zap.WarnLevel, "AdmissionHeld", "an entry of an earlier version", zap.String("Node", n))

		return nil
	}

	if l.reloading || !l.holdsLease() {
		return nil
	}

	return loads
}

// nodeWithoutRefusals returns the name of an entry of a version of the program that does not know
// stored refusals, or "". One that has had no session for absentAfter is gone.
func (l *leader) nodeWithoutRefusals(now time.Duration) string {
	for _, n := range l.nodes {
		if n.node.Role == peer.RoleEntry && !n.node.Refusals && (n.session != nil || now-n.present < absentAfter) {
			return n.node.Name
		}
	}

	return ""
}
