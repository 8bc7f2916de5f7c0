package agent

import (
	"context"
	"time"

	"trefoildeck/core/placement"
	"trefoildeck/core/resource"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/io/worker"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// heartbeats reports to every entry until ctx ends.
func (a *Agent) heartbeats(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-a.wake:
		}

		a.heartbeat(ctx)
	}
}

// soon asks for a heartbeat now, since there is news.
func (a *Agent) soon() {
	for _, c := range []chan struct{}{a.look, a.wake} {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// sight is what the runtime showed, and the tokens that had come before it was
// asked.
type sight struct {
	status worker.Status
	tokens map[*peer.Session]uint64
	at     time.Time
}

// sightFresh is how long a sight of the runtime is reported.
const sightFresh = time.Second

// heartbeat reports to every entry. It waits for nobody: entries take an agent
// for lost that is silent, whatever its runtime or the object store do.
func (a *Agent) heartbeat(ctx context.Context) {
	load := a.limiter.Load()
	h := &peerpb.Heartbeat{
		Sequence: a.nextSequence(),
		Load: &peerpb.Load{
			InUse:   int32(load.InUse),
			Queued:  int32(load.Queued),
			Leaving: load.Leaving,
			Latency: int64(a.latency.Value(time.Now())),
		},
	}

	for _, r := range a.catalog.List(resource.KindConfiguration) {
		h.Held = append(h.Held, &peerpb.Held{
			Configuration: r.ID.Name,
			Revision:      r.Revision,
		})
	}

	seen := a.lastSight()
	if seen != nil && time.Since(seen.at) < sightFresh {
		a.addTasks(ctx, h, seen.status)
	}

	for s := range a.tokens() {
		echo := proto.CloneOf(h)
		if seen != nil {
			echo.Echo = seen.tokens[s]
		}

		// A session that fails is dialled again.
		_ = s.Send(&peerpb.Frame{Body: &peerpb.Frame_Heartbeat{Heartbeat: echo}})
	}
}

func (a *Agent) lastSight() *sight {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.sight
}

// watchRuntime looks at the runtime until ctx ends.
func (a *Agent) watchRuntime(ctx context.Context) error {
	if a.worker == nil {
		return nil
	}

	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-a.look:
		}

		a.lookAtRuntime(ctx)
	}
}

func (a *Agent) lookAtRuntime(ctx context.Context) {
	seen := &sight{tokens: a.tokens()}

	status, err := a.worker.Status(ctx)
	if err != nil {
		a.log.Warn("RuntimeUnreachable", zap.Error(err))

		return
	}

	seen.status = status
	seen.at = time.Now()
	a.noteBoot(status)

	a.mu.Lock()
	a.sight = seen
	a.mu.Unlock()

	a.renewLease(ctx, status.BootID)
	a.saveBeforeLapse(ctx, status)
}

// addTasks adds what the runtime runs, and reports what has ended there.
func (a *Agent) addTasks(ctx context.Context, h *peerpb.Heartbeat, status worker.Status) {
	h.Uptime = int64(status.Uptime)
	h.BootID = status.BootID

	for _, t := range status.Tasks {
		h.Tasks = append(h.Tasks, &peerpb.TaskState{
			Job:            t.ID.Job,
			Task:           int32(t.ID.Task),
			Attempt:        int32(t.ID.Attempt),
			Phase:          string(t.Phase),
			UsedMilliCores: t.UsedMilliCores,
			UsedMemoryMB:   t.UsedMemoryMB,
			Progress:       t.Progress,
		})

		if t.Phase != placement.PhaseRunning {
			a.report(ctx, t)
		}
	}
}

// report says how an attempt ended, once it is known whether it was saved.
func (a *Agent) report(ctx context.Context, t worker.TaskStatus) {
	key := ""

	if t.Phase == placement.PhaseStopped || t.Phase == placement.PhaseLapsed {
		known := false
		if key, known = a.checkpointOf(t.ID); !known {
			a.command(t.ID, func(id placement.AttemptID) { a.findCheckpoint(ctx, id) })

			return
		}
	}

	a.broadcast(&peerpb.Frame{Body: &peerpb.Frame_TaskReport{TaskReport: &peerpb.TaskReport{
		Job:        t.ID.Job,
		Task:       int32(t.ID.Task),
		Attempt:    int32(t.ID.Attempt),
		End:        string(t.Phase),
		Reason:     t.Reason,
		Checkpoint: key,
		Progress:   t.Progress,
	}}})
}

// noteBoot forgets what was known of an earlier boot.
func (a *Agent) noteBoot(status worker.Status) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.bootID != status.BootID {
		a.bootID = status.BootID
		a.lease = 0
		clear(a.checkpoints)
	}
}

// leaseOf returns the uptime up to which a boot's lease is granted.
func (a *Agent) leaseOf(bootID string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.bootID != bootID {
		return 0
	}

	return a.lease
}

// renew notes a lease that was granted.
func (a *Agent) renew(h *peerpb.HeartbeatAnswer) {
	until := time.Duration(h.GetLeaseUntil())

	a.mu.Lock()
	defer a.mu.Unlock()

	if a.bootID == h.GetBootID() && until > a.lease {
		a.lease = until
	}
}

// renewLease passes the lease on to the runtime.
func (a *Agent) renewLease(ctx context.Context, bootID string) {
	until := a.leaseOf(bootID)
	if until == 0 {
		return
	}

	err := a.worker.Renew(ctx, worker.Lease{
		BootID: bootID,
		Until:  until,
	})
	if err != nil {
		a.log.Warn("RenewFailed", zap.Error(err))
	}
}

// saveBeforeLapse stores checkpoints of what will lapse soon, so that it loses
// no work, and lets it go on where the lease was renewed after all.
func (a *Agent) saveBeforeLapse(ctx context.Context, status worker.Status) {
	left := a.leaseOf(status.BootID) - status.Uptime

	for _, t := range status.Tasks {
		if t.Phase != placement.PhaseRunning {
			continue
		}

		a.mu.Lock()
		_, saved := a.checkpoints[t.ID]
		a.mu.Unlock()

		switch {
		case left < lapseNotice && !saved:
			a.command(t.ID, func(id placement.AttemptID) { a.saveForLapse(ctx, id) })
		case left > lapseNotice && saved:
			a.command(t.ID, func(id placement.AttemptID) { a.resume(ctx, id) })
		}
	}
}

func (a *Agent) saveForLapse(ctx context.Context, id placement.AttemptID) {
	if err := a.save(ctx, id); err != nil {
		a.log.Warn("CheckpointFailed", zap.Stringer("Task", id), zap.Error(err))

		return
	}

	a.log.Info("TaskSavedBeforeLapse", zap.Stringer("Task", id))
}

func (a *Agent) resume(ctx context.Context, id placement.AttemptID) {
	a.mu.Lock()
	delete(a.checkpoints, id)
	a.mu.Unlock()

	a.throttle(ctx, id, fullSpeed)
}
