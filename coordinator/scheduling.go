package coordinator

import (
	"trefoildeck/core/fleet"
	"trefoildeck/settings"

	"go.uber.org/zap"
)

// enableScheduling enables the parts of a scheduler that the settings ask for.
func enableScheduling(f *fleet.Fleet, s settings.SchedulingSection) {
	f.Order = s.Order
	f.Preemption = s.Preemption
	f.LookAhead = s.LookAhead
	f.Colocation = s.Colocation
	f.CheckpointInterval = s.CheckpointInterval

	if s.SlowWorkers {
		f.EnableSlowWorkers()
	}

	if s.RackWaits {
		f.EnableRackWaits(s.RemoteRunFactor())
	}
}

// logCheckpointWrites logs and counts the rows to be written for checkpoints. The caller holds l.mu.
func (l *leader) logCheckpointWrites() {
	w := l.fleet.CheckpointWrites()
	if w.Rows == 0 {
		return
	}

	l.c.meter.Add(w.Rows, "checkpoint_rows_total")
	l.c.log.Info("CheckpointsStored", zap.Int("Rows", w.Rows), zap.Duration("Oldest", w.Oldest))
}

// logServingMoves logs and counts the serving tasks that are moved. The caller holds l.mu.
func (l *leader) logServingMoves() {
	for _, m := range l.fleet.ServingMoves() {
		l.c.meter.Count("serving_tasks_moved_total")
		l.c.log.Info("ServingTaskMoved", zap.String("Job", m.Task.Job), zap.Stringer("Task", m.Task), zap.Int("Attempt", m.Attempt),
			zap.String("Node", m.Node), zap.String("To", m.To), zap.Float64("Gain", m.Gain))
	}
}
