package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"trefoildeck/core/placement"
	"trefoildeck/io/object"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/io/worker"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// permitTimeout bounds the wait for a permit; a later permit is of no use.
	permitTimeout = 2 * time.Second
	// expiryNotice is how long before a lease expires the worker's attempts are
	// checkpointed.
	expiryNotice = 5 * time.Second
	// unthrottledPercent lets an attempt run at full speed.
	unthrottledPercent = 100
)

var errPermitDenied = eris.New("permit denied")

// runExclusive runs a command on an attempt in a goroutine of its own. It drops the
// command if another one on the attempt is in progress; the entry repeats commands
// that have had no effect.
func (a *Agent) runExclusive(id placement.AttemptID, run func(placement.AttemptID)) {
	if a.worker == nil {
		return
	}

	a.mu.Lock()
	defer a.mu.Unlock()

	if a.busy[id] {
		return
	}

	a.busy[id] = true

	go func() {
		defer a.markIdle(id)

		run(id)
	}()
}

func (a *Agent) markIdle(id placement.AttemptID) {
	a.mu.Lock()
	defer a.mu.Unlock()

	delete(a.busy, id)
}

func (a *Agent) start(ctx context.Context, s *peer.Session, id placement.AttemptID, t *peerpb.StartTask) {
	err := a.tryStart(ctx, s, id, t)
	if err == nil {
		a.log.Info("TaskStarted", zap.Stringer("Task", id))
		a.reportNow()

		return
	}

	a.log.Info("TaskNotStarted", zap.Stringer("Task", id), zap.Error(err))

	if errors.Is(err, worker.ErrRefused) {
		a.log.Warn("RuntimeRefusedStart", zap.Stringer("Task", id), zap.Error(err))
	}
}

// tryStart starts an attempt. It requests the permit last, so that little of the
// permit's validity is spent before the start. The validity counts from the uptime
// read before the request, and the runtime refuses a start after its end.
func (a *Agent) tryStart(ctx context.Context, s *peer.Session, id placement.AttemptID, t *peerpb.StartTask) error {
	var saved []byte

	if t.GetCheckpoint() != "" {
		data, err := a.objects.Get(ctx, t.GetCheckpoint())
		if err != nil {
			return fmt.Errorf("fetch checkpoint: %w", err)
		}

		saved = data
	}

	status, err := a.worker.Status(ctx)
	if err != nil {
		return fmt.Errorf("read runtime status: %w", err)
	}

	validity, err := a.requestPermit(ctx, s, id)
	if err != nil {
		return err
	}

	err = a.worker.Start(ctx, id, worker.Start{
		BootID:      t.GetBootID(),
		StartBefore: status.Uptime + validity,
		LeaseUntil:  a.leaseOf(status.BootID),
		Command:     t.GetCommand(),
		Size: placement.Size{
			MilliCores:   t.GetMilliCores(),
			MemoryMB:     t.GetMemoryMB(),
			Accelerators: t.GetAccelerators(),
		},
		RunTime:    time.Duration(t.GetRunTime()),
		Checkpoint: saved,
	})
	if err != nil {
		return fmt.Errorf("start task on runtime: %w", err)
	}

	return nil
}

// requestPermit asks the entry that sent a start whether the attempt may still
// start, and returns how long the permit is valid, counted from the request.
func (a *Agent) requestPermit(ctx context.Context, s *peer.Session, id placement.AttemptID) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()

	answers := make(chan *peerpb.PermitAnswer, 1)
	sequence := a.nextSequence()

	a.mu.Lock()
	a.pendingPermits[sequence] = answers
	a.mu.Unlock()

	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()

		delete(a.pendingPermits, sequence)
	}()

	err := s.Send(&peerpb.Frame{Body: &peerpb.Frame_PermitRequest{PermitRequest: &peerpb.PermitRequest{
		Sequence: sequence,
		Job:      id.Job,
		Task:     int32(id.Task),
		Attempt:  int32(id.Attempt),
	}}})
	if err != nil {
		return 0, fmt.Errorf("request permit: %w", err)
	}

	select {
	case <-ctx.Done():
		return 0, fmt.Errorf("wait for permit: %w", ctx.Err())
	case answer := <-answers:
		if !answer.GetGranted() {
			return 0, fmt.Errorf("start %s: %s: %w", id, answer.GetReason(), errPermitDenied)
		}

		return time.Duration(answer.GetValidity()), nil
	}
}

func (a *Agent) handlePermitAnswer(p *peerpb.PermitAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if answers, ok := a.pendingPermits[p.GetSequence()]; ok {
		delete(a.pendingPermits, p.GetSequence())
		answers <- p
	}
}

// stop stops an attempt, after storing a checkpoint if save is set. If the runtime
// refuses the checkpoint, the attempt is stopped without one. If anything else fails,
// the attempt is resumed, and the entry repeats the command.
func (a *Agent) stop(ctx context.Context, id placement.AttemptID, save bool) {
	stopped, err := a.tryStop(ctx, id, save)
	if err != nil {
		a.log.Warn("StopFailed", zap.Stringer("Task", id), zap.Error(err))

		return
	}

	if stopped {
		a.log.Info("TaskStopped", zap.Stringer("Task", id))
		a.reportNow()
	}
}

// tryStop reports whether it stopped an attempt. It leaves one alone that has ended:
// stopping it would remove its end, which is reported with the heartbeats. The status is
// read again after the checkpoint, which takes time and after which the attempt is paused.
func (a *Agent) tryStop(ctx context.Context, id placement.AttemptID, save bool) (bool, error) {
	if ended, err := a.hasEnded(ctx, id); err != nil || ended {
		return false, err
	}

	if save {
		if err := a.storeCheckpoint(ctx, id); err != nil && !errors.Is(err, worker.ErrRefused) {
			a.throttle(ctx, id, unthrottledPercent)

			return false, err
		}

		if ended, err := a.hasEnded(ctx, id); err != nil || ended {
			return false, err
		}
	}

	if err := a.worker.Stop(ctx, id); err != nil {
		return false, fmt.Errorf("stop task on runtime: %w", err)
	}

	return true, nil
}

// hasEnded reports whether the runtime lists an attempt as ended.
func (a *Agent) hasEnded(ctx context.Context, id placement.AttemptID) (bool, error) {
	status, err := a.worker.Status(ctx)
	if err != nil {
		return false, fmt.Errorf("read runtime status: %w", err)
	}

	for _, t := range status.Tasks {
		if t.ID == id {
			return t.Phase != placement.PhaseRunning, nil
		}
	}

	return false, nil
}

// storeCheckpoint takes a checkpoint of an attempt and stores it in the object
// store. The attempt stays paused.
func (a *Agent) storeCheckpoint(ctx context.Context, id placement.AttemptID) error {
	data, err := a.worker.Checkpoint(ctx, id)
	if err != nil {
		return fmt.Errorf("take checkpoint: %w", err)
	}

	key := checkpointKey(id)
	if err := a.objects.Put(ctx, key, data); err != nil {
		return fmt.Errorf("store checkpoint: %w", err)
	}

	a.mu.Lock()
	defer a.mu.Unlock()

	a.checkpoints[id] = key

	return nil
}

func checkpointKey(id placement.AttemptID) string {
	return "checkpoints/" + id.String()
}

func (a *Agent) throttle(ctx context.Context, id placement.AttemptID, percent int64) {
	a.mu.Lock()
	bootID := a.bootID
	a.mu.Unlock()

	err := a.worker.Throttle(ctx, id, worker.Throttle{
		BootID:  bootID,
		Percent: percent,
	})
	if err != nil {
		a.log.Warn("ThrottleFailed", zap.Stringer("Task", id), zap.Error(err))
	}
}

// forget makes the runtime forget an ended attempt, once an entry has acknowledged
// that its end is recorded.
func (a *Agent) forget(ctx context.Context, id placement.AttemptID) {
	ended, err := a.hasEnded(ctx, id)
	if err != nil || !ended {
		return
	}

	if err := a.worker.Stop(ctx, id); err != nil {
		a.log.Warn("ForgetFailed", zap.Stringer("Task", id), zap.Error(err))

		return
	}

	a.mu.Lock()
	defer a.mu.Unlock()

	delete(a.checkpoints, id)
}

// checkpointOf returns the object key of an ended attempt's checkpoint, or "" if it
// has none. The second result is false while that is not known.
func (a *Agent) checkpointOf(id placement.AttemptID) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()

	key, known := a.checkpoints[id]

	return key, known
}

// findCheckpoint looks in the object store for a checkpoint that an earlier process
// of this agent may have stored. If the object store does not answer, the
// checkpoint stays unknown and the next report looks again.
func (a *Agent) findCheckpoint(ctx context.Context, id placement.AttemptID) {
	key := checkpointKey(id)

	switch _, err := a.objects.Get(ctx, key); {
	case errors.Is(err, object.ErrNotFound):
		key = ""
	case err != nil:
		a.log.Warn("CheckpointUnknown", zap.Stringer("Task", id), zap.Error(err))

		return
	}

	a.mu.Lock()
	defer a.mu.Unlock()

	a.checkpoints[id] = key
}
