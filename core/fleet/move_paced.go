package fleet

import (
	"cmp"
	"slices"
	"time"

	"trefoildeck/core/job"
)

// maxPacedSearches bounds the searches for a worker for paced runs in one pass.
const maxPacedSearches = 32

// pacedRun is a run that has been paced down for so long that it is to be moved.
type pacedRun struct {
	id     job.TaskID
	run    *run
	worker *workerInfo
}

// movePaced stops runs that have been paced down for which another worker has room, in the order of
// their jobs, and holds that room. The load that it answers is a job of which all tasks but one are
// done: that one stays at a low pace for as long as tasks of other jobs take each free place first.
func (f *Fleet) movePaced(now time.Duration) {
	searches, rejected := 0, rejectedSizes{}

	for _, p := range f.pacedRuns(now) {
		if searches == maxPacedSearches {
			return
		}

		j, s, t := f.findTask(p.id)
		if j == nil || j.state.Final() || t.phase != active || t.worker != p.worker {
			continue
		}

		// Runs that are as hard to place as one that found no worker must not use up the searches.
		c := constraintsOf(j, s.spec)
		c.runTime = runTimeDigits(s.spec)

		if !s.reserved && rejected.covers(c, s.spec.Size) {
			continue
		}

		searches++

		to := f.bestOther(now, j, s, p.worker)
		if to == nil {
			if s.spec.AntiAffinity == 0 && !s.reserved {
				rejected.add(c, s.spec.Size)
			}

			continue
		}

		f.moveTo(now, p.worker, to, s, t, p.id, p.run)
		f.recordMove(p.worker, p.id, p.run.attempt, MovePaced, 0)
	}
}

// pacedRuns returns the runs to be moved in the order of their jobs.
func (f *Fleet) pacedRuns(now time.Duration) []pacedRun {
	var list []pacedRun

	for _, w := range f.sortedWorkers {
		if !w.connected || !w.ready || w.fillingMilliCores == 0 {
			continue
		}

		for id, r := range w.runs {
			if r.step.Fills && r.leavesFor(now) {
				list = append(list, pacedRun{
					id:     id,
					run:    r,
					worker: w,
				})
			}
		}
	}

	if len(list) == 0 {
		return nil
	}

	place := make(map[string]int, len(f.open))
	for i, j := range f.open {
		place[j.record.ID] = i
	}

	slices.SortFunc(list, func(a, b pacedRun) int {
		return cmp.Or(cmp.Compare(place[a.id.Job], place[b.id.Job]), compareTasks(a.id, b.id))
	})

	return list
}

// bestOther returns the worker with the highest score, other than one, that has room and headroom for
// a task of a step, or nil.
func (f *Fleet) bestOther(now time.Duration, j *jobInfo, s *stepInfo, here *workerInfo) *workerInfo {
	var (
		best      *workerInfo
		bestScore int64
	)

	for _, w := range f.sortedWorkers {
		if w == here || w.speed.avoided || !f.feasible(now, j, s, w) || !f.couldUse(now, j, s, w) {
			continue
		}

		if score, ok := f.score(s.spec, w, false); ok && (best == nil || score > bestScore) {
			best, bestScore = w, score
		}
	}

	return best
}
