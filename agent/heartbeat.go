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

// heartbeats sends heartbeats to every entry until ctx ends.
func (a *Agent) heartbeats(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-a.heartbeatNow:
		}

		a.heartbeat(ctx)
	}
}

// reportNow triggers a poll of the runtime and a heartbeat after a task has changed.
func (a *Agent) reportNow() {
	for _, c := range []chan struct{}{a.pollNow, a.heartbeatNow} {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// runtimePoll is a status of the runtime, with the last token that each session had
// received before the status was requested. Heartbeats echo the token, so that the
// entry knows which of its answers the agent had received by then.
type runtimePoll struct {
	status worker.Status
	tokens map[*peer.Session]uint64
	at     time.Time
}

// foundRunsWait is how long after its start an agent waits for a lease before it
// checkpoints the attempts that it found.
const foundRunsWait = time.Second

// maxPollAge is how long heartbeats report a status of the runtime.
const maxPollAge = time.Second

// heartbeat sends a heartbeat to every entry. It never waits for the runtime or
// the object store, since entries treat an agent without heartbeats as lost.
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

	poll := a.latestPoll()
	if poll != nil && time.Since(poll.at) < maxPollAge {
		a.addTasks(ctx, h, poll.status)
	}

	for s := range a.tokens() {
		message := proto.CloneOf(h)
		if poll != nil {
			message.Echo = poll.tokens[s]
		}

		// The link redials when a session fails.
		_ = s.Send(&peerpb.Frame{Body: &peerpb.Frame_Heartbeat{Heartbeat: message}})
	}
}

func (a *Agent) latestPoll() *runtimePoll {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.lastPoll
}

// watchRuntime polls the runtime until ctx ends.
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
		case <-a.pollNow:
		}

		a.pollRuntime(ctx)
	}
}

func (a *Agent) pollRuntime(ctx context.Context) {
	poll := &runtimePoll{tokens: a.tokens()}

	status, err := a.worker.Status(ctx)
	if err != nil {
		a.log.Warn("RuntimeUnreachable", zap.Error(err))

		return
	}

	poll.status = status
	poll.at = time.Now()
	a.resetOnNewIncarnation(status)

	a.mu.Lock()
	a.lastPoll = poll
	a.mu.Unlock()

	a.renewLease(ctx, status.BootID)
	a.checkpointBeforeExpiry(ctx, status)
}

// addTasks adds the runtime's attempts to a heartbeat and reports those that have
// ended.
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

// report sends every entry the end of an attempt. An attempt that was stopped or
// whose lease expired is reported only once it is known whether it has a
// checkpoint.
func (a *Agent) report(ctx context.Context, t worker.TaskStatus) {
	key := ""

	if t.Phase == placement.PhaseStopped || t.Phase == placement.PhaseLapsed {
		known := false
		if key, known = a.checkpointOf(t.ID); !known {
			a.runExclusive(t.ID, func(id placement.AttemptID) { a.findCheckpoint(ctx, id) })

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

// resetOnNewIncarnation drops the lease and the checkpoints of the worker's
// previous incarnation.
func (a *Agent) resetOnNewIncarnation(status worker.Status) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.bootID != status.BootID {
		a.bootID = status.BootID
		a.bootSeenAt = time.Now()
		a.leaseUntil = 0
		clear(a.checkpoints)
	}
}

// leaseOf returns the uptime at which an incarnation's lease expires, or 0 if it
// has none.
func (a *Agent) leaseOf(bootID string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.bootID != bootID {
		return 0
	}

	return a.leaseUntil
}

// sinceBootSeen returns the time since this process first saw the worker's incarnation.
func (a *Agent) sinceBootSeen() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()

	return time.Since(a.bootSeenAt)
}

// recordLease stores a granted lease. A lease is never shortened.
func (a *Agent) recordLease(h *peerpb.HeartbeatAnswer) {
	until := time.Duration(h.GetLeaseUntil())

	a.mu.Lock()
	defer a.mu.Unlock()

	if a.bootID == h.GetBootID() && until > a.leaseUntil {
		a.leaseUntil = until
	}
}

// renewLease passes the granted lease on to the runtime.
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

// checkpointBeforeExpiry stores checkpoints of the running attempts when the lease
// is about to expire, so that they lose no work. An attempt stays paused after its
// checkpoint and is resumed if the lease is renewed. The end of a lease that an earlier
// process of this agent passed on is not known, so the entries first have time to answer.
func (a *Agent) checkpointBeforeExpiry(ctx context.Context, status worker.Status) {
	lease := a.leaseOf(status.BootID)
	if lease == 0 && a.sinceBootSeen() < foundRunsWait {
		return
	}

	left := lease - status.Uptime

	for _, t := range status.Tasks {
		if t.Phase != placement.PhaseRunning {
			continue
		}

		a.mu.Lock()
		_, saved := a.checkpoints[t.ID]
		a.mu.Unlock()

		switch {
		case left < expiryNotice && !saved:
			a.runExclusive(t.ID, func(id placement.AttemptID) { a.checkpointForExpiry(ctx, id) })
		case left > expiryNotice && saved:
			a.runExclusive(t.ID, func(id placement.AttemptID) { a.resume(ctx, id) })
		}
	}
}

func (a *Agent) checkpointForExpiry(ctx context.Context, id placement.AttemptID) {
	if err := a.storeCheckpoint(ctx, id); err != nil {
		a.log.Warn("CheckpointFailed", zap.Stringer("Task", id), zap.Error(err))

		return
	}

	a.log.Info("TaskCheckpointed", zap.Stringer("Task", id))
}

func (a *Agent) resume(ctx context.Context, id placement.AttemptID) {
	a.mu.Lock()
	delete(a.checkpoints, id)
	a.mu.Unlock()

	a.throttle(ctx, id, unthrottledPercent)
}
