package placement_test

import (
	"fmt"
	"time"

	"gotest.tools/v3/assert"

	"trefoildeck/core/placement"
	"trefoildeck/io/table"
	"trefoildeck/standin"
)

// checkCommitments checks that the table commits no worker beyond its capacity.
func (w *world) checkCommitments() {
	for n := range 3 {
		for _, row := range w.table.Rows(table.PagePartition(fmt.Sprintf("dc%d", n))) {
			p, err := table.ReadPage(row)
			assert.NilError(w.t, err)

			for _, k := range p.Workers {
				sum := k.Reserved
				for _, size := range k.Committed {
					sum = sum.Add(size)
				}

				assert.Assert(w.t, sum.Fits(k.Capacity), "worker %s is committed to %v", k.Name, sum)
			}
		}
	}
}

// interval is the period in which an attempt ran, with the progress from which it
// resumed and at which it ended, each between 0 and 1.
type interval struct {
	id       placement.AttemptID
	worker   string
	from, to time.Time
	resumed  float64
	progress float64
	finished bool
}

// intervals returns the runs of each task from the runtimes' event records. A run
// that has not ended lasts beyond the present.
func (w *world) intervals() map[placement.TaskID][]interval {
	all := map[placement.TaskID][]interval{}
	w.unrecorded = map[placement.AttemptID]bool{}

	for _, k := range w.workers {
		open := map[placement.AttemptID]interval{}

		for _, e := range k.runtime.Events() {
			switch e.Phase {
			case standin.PhaseForgotten:
				w.unrecorded[e.ID] = true

				continue
			case standin.PhaseUnheard:
				// Here not only the agent reads the status: see endUnreported.
				continue
			default:
			}

			if e.Phase == placement.PhaseRunning {
				open[e.ID] = interval{
					id:      e.ID,
					worker:  k.name,
					from:    e.Time,
					resumed: e.From,
				}

				continue
			}

			i := open[e.ID]
			delete(open, e.ID)

			i.to = e.Time
			i.progress = e.Progress
			i.finished = e.Phase == placement.PhaseFinished
			all[taskOf(e.ID)] = append(all[taskOf(e.ID)], i)
		}

		for id, i := range open {
			i.to = time.Now().Add(time.Hour)
			all[taskOf(id)] = append(all[taskOf(id)], i)
		}
	}

	return all
}

func taskOf(id placement.AttemptID) placement.TaskID {
	return placement.TaskID{
		Job:  id.Job,
		Task: id.Task,
	}
}

// checkRuns checks the invariants of all runs and returns the number of tasks that
// finished: no attempt starts twice, no two runs of a task overlap, and no attempt
// starts in a data centre that is out.
func (w *world) checkRuns() int {
	finished := 0

	for task, list := range w.intervals() {
		ends, reportable := 0, 0
		attempts := map[int]bool{}

		for i, a := range list {
			assert.Assert(w.t, !attempts[a.id.Attempt], "%v started attempt %d twice", task, a.id.Attempt)
			attempts[a.id.Attempt] = true
			w.checkStart(a)

			if a.finished && !w.unrecorded[a.id] && !w.worker(a.worker).endUnreported(a.to) {
				reportable++
			}

			if a.finished {
				ends++
			}

			for _, b := range list[:i] {
				apart := !a.from.Before(b.to) || !b.from.Before(a.to)
				assert.Assert(w.t, apart, "%v ran twice at once: %v and %v", task, a, b)
			}
		}

		// A success that could not be reported before the lease ran out doesn't
		// count, and the task has to run again.
		if reportable > 1 {
			w.finishedTwice = append(w.finishedTwice, task)
		}

		finished += min(ends, 1)
	}

	return finished
}

// checkStart checks that an attempt did not start in a data centre that was out.
func (w *world) checkStart(a interval) {
	for _, o := range w.outages {
		inside := a.from.After(o.from.Add(outageGrace)) && a.from.Before(o.to)
		assert.Assert(w.t, !inside || w.worker(a.worker).dataCentre != o.dataCentre, "%v started in a data centre that is out: %v", a, o)
	}
}

// countRecorded returns the number of tasks in a phase according to the table.
func (w *world) countRecorded(phase placement.Phase) int {
	n := 0

	for key := range w.specs {
		for _, c := range w.segments(key) {
			for _, t := range c.Tasks {
				if t.Phase == phase {
					n++
				}
			}
		}
	}

	return n
}
