package coordinator

import (
	"go.uber.org/zap"
)

// logSpeeds logs and counts the workers that turned slow or no longer are, and the moves of runs. The
// caller holds l.mu.
func (l *leader) logSpeeds() {
	now := l.c.now()

	for _, c := range l.fleet.SpeedChanges() {
		event := "WorkerNotSlow"
		if c.Slow {
			event = "WorkerSlow"

			l.c.meter.Count("workers_slow_total")
		}

		l.c.log.Warn(event, zap.String("Node", c.Node), zap.Float64("Speed", c.Speed), zap.Float64("Evidence", c.Weight),
			zap.Int("Jobs", c.Jobs), zap.Duration("SlowFor", now-c.Since))
	}

	for _, m := range l.fleet.Moves() {
		l.c.meter.Count("runs_moved_total", "reason", string(m.Reason))
		l.c.log.Info("RunMoved", zap.String("Job", m.Task.Job), zap.Stringer("Task", m.Task), zap.Int("Attempt", m.Attempt),
			zap.String("Node", m.Node), zap.String("Reason", string(m.Reason)), zap.Duration("Gain", m.Gain))
	}
}
