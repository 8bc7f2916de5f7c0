package fleet

import (
	"time"

	"trefoildeck/core/gate"
)

const (
	// minRefusalPause and maxRefusalPause bound the time in which a worker that refused
	// starts is sent no others. It doubles with each refusal after a pause.
	minRefusalPause = 50 * time.Millisecond
	maxRefusalPause = time.Second
)

// refusals is the state of a worker that refuses starts, or the zero value. The load that
// it answers is a queue of tasks that one worker, which looks idle to the leader, would
// refuse one after the other, hundreds of times a second.
type refusals struct {
	// pause is the length of the last pause, and until its end.
	pause time.Duration
	until time.Duration
}

// updateRefusals updates a worker's refusals with the end of a run, which the worker
// still has.
func (f *Fleet) updateRefusals(now time.Duration, node string, e gate.End) {
	w := f.workers[node]

	switch {
	case w == nil:
	case e.Reason != gate.NotRun:
		w.confirmStart(w.runs[e.Task])
	case e.Refusal == gate.Admitted || e.Refusal == gate.TaskPresent:
		// An order that got lost, or that came twice, says nothing about other tasks.
	case now >= w.refusals.until:
		// Starts that were sent together are refused together, which counts once.
		w.refusals.pause = min(max(minRefusalPause, 2*w.refusals.pause), maxRefusalPause)
		w.refusals.until = now + w.refusals.pause
	}
}

// confirmStart records that a run, if it isn't nil, was started. If it was ordered after
// the last refusal, the worker starts tasks again.
func (w *workerInfo) confirmStart(r *run) {
	if r != nil && r.started >= w.refusals.until {
		w.refusals = refusals{}
	}
}
