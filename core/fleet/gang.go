package fleet

import (
	"slices"
	"time"

	"trefoildeck/core/gate"
)

// placeGang starts all tasks of a gang together, under the same attempt and from
// the same checkpoint, or none of them.
func (f *Fleet) placeGang(now time.Duration, j *jobInfo, i int) {
	s := &j.steps[i]

	if s.waiting < len(s.tasks) {
		// Members of the last attempt are still active.
		f.stopGang(now, j, i)

		return
	}

	attempt, checkpoint := int(f.term-1)*attemptsPerTerm, ""

	for k := range s.tasks {
		t := &s.tasks[k]
		attempt = max(attempt, t.lastAttempt())

		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}

		if now < t.notBefore {
			return
		}
	}

	placed := 0

	for k := range s.tasks {
		t := &s.tasks[k]

		w, _ := f.chooseWorker(now, j, s, t)
		if w == nil {
			break
		}

		f.assign(now, j, s, t, w, j.taskID(i, k), attempt+1)
		placed++
	}

	for k := range placed {
		t := &s.tasks[k]
		id := j.taskID(i, k)

		if placed < len(s.tasks) {
			f.release(j, s, t, id)
			t.attempt = t.ended

			continue
		}

		t.checkpoint = checkpoint
		f.orderStart(j, s, t, id, t.worker.placement(now))
	}
}

// stopGang stops the active members of an incomplete gang.
func (f *Fleet) stopGang(now time.Duration, j *jobInfo, i int) {
	s := &j.steps[i]

	for k := range s.tasks {
		t := &s.tasks[k]
		if t.phase != active {
			continue
		}

		id := j.taskID(i, k)
		if r := t.worker.runs[id]; r != nil && now >= r.stopAwaitedUntil && t.worker.connected {
			r.stopAwaitedUntil = now + stopRepeatDelay
			f.orderStop(t.worker, id, t.attempt)
		}
	}
}

// gangDone marks all members as done when one is: the others end by themselves. A gang of long-running
// tasks starts again once all of them have ended.
func (f *Fleet) gangDone(j *jobInfo, s *stepInfo, e gate.End) {
	if !s.spec.Gang || s.spec.LongRunning || j.state.Final() {
		return
	}

	for k := range s.tasks {
		t := &s.tasks[k]
		id := e.Task
		id.Index = k
		f.release(j, s, t, id)

		if t.phase == waiting {
			s.markDone(t)
			f.recordDone(j, s)
		}
	}

	f.finishIfComplete(j)
}

// recordGangFailure records a failed attempt of the gang on its first task, which
// holds the failures of all members, and returns that task.
func (s *stepInfo) recordGangFailure(attempt int) *taskInfo {
	first := &s.tasks[0]
	if !slices.Contains(first.failures, attempt) {
		first.failures = append(first.failures, attempt)
	}

	return first
}
