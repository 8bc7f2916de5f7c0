package coordinator

import "go.uber.org/zap"

// logReservations logs and counts the reservations of the last pass and their ends. The caller
// holds l.mu.
func (l *leader) logReservations() {
	for _, r := range l.fleet.Reservations() {
		l.c.meter.Count("reservations_total")
		l.c.log.Info("TaskReserved", zap.String("Job", r.Task.Job), zap.Stringer("Task", r.Task), zap.String("Node", r.Node),
			zap.Duration("Wait", r.Wait), zap.String("Lacking", r.Lacking))
	}

	for _, e := range l.fleet.ReservationEnds() {
		l.c.meter.Count("reservations_ended_total", "why", string(e.Why))
		l.c.meter.Add(e.HeldBack, "placements_held_back_total")
		l.c.log.Info("ReservationEnded", zap.String("Job", e.Job), zap.String("Node", e.Node), zap.String("Why", string(e.Why)),
			zap.Duration("Age", e.Age), zap.Duration("Late", e.Late), zap.Int("HeldBack", e.HeldBack), zap.String("FirstHeldBack", e.FirstHeldBack))
	}
}
