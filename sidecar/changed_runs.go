package sidecar

import (
	"trefoildeck/core/gate"
	"trefoildeck/io/boottime"
	"trefoildeck/io/peer"
)

// reportedRun is what the leader was told of a run and is told again when it changes.
type reportedRun struct {
	checkpoint string
	// percent is the progress, or 0 if progress is not reported.
	percent int
}

// changedRuns returns the runs that the leader is to be told of, and takes them for reported.
func (s *Sidecar) changedRuns() []peer.TaskRun {
	var runs []peer.TaskRun

	now := boottime.Now()
	progress := s.settings.Scheduling.ReportsProgress()

	for t, e := range s.gate.Runs {
		r := reportedRun{checkpoint: e.Run.Checkpoint}
		if progress {
			r.percent = e.Run.ProgressPercent
		}

		last, known := s.reported[t]
		serves := e.OrderKnown && e.Order.Target > 0
		stalled := e.Stalled(now)

		if e.Phase != gate.Confirmed || (known && last == r && !serves && !stalled && e.OrderKnown) {
			continue
		}

		s.reported[t] = r
		runs = append(runs, peer.TaskRun{
			Task:    t,
			State:   e,
			Stalled: stalled,
			// Progress is reported often, and a checkpoint may be long.
			CheckpointKnown: progress && known && last.checkpoint == r.checkpoint,
		})
	}

	return runs
}
