package fleet

import (
	"slices"

	"trefoildeck/core/job"
)

// constraints are the properties of a task, other than its size, that decide
// where it may be placed.
type constraints struct {
	service     string
	requires    string
	dataRack    string
	image       string
	fills       bool
	longRunning bool
	// jobIdle means that no task of the job is active.
	jobIdle bool
	// reservation is the number of the step's reservation, if it has one, and runTime the number of
	// binary digits of a task's estimated run time in milliseconds. They are set while there are
	// reservations, since a worker that is kept for one task may be used by another. As bytes, they
	// make the struct no larger, which is compared for each waiting task.
	reservation, runTime uint8
}

func constraintsOf(j *jobInfo, s *job.Step) constraints {
	c := constraints{
		service:     j.record.Service,
		requires:    s.Requires,
		dataRack:    s.DataRack,
		fills:       s.Fills,
		longRunning: s.LongRunning,
	}

	if s.Fills {
		// Only filling tasks are checked against the headroom of serving tasks.
		c.image, c.jobIdle = s.Image, j.active == 0
	}

	return c
}

// rejectedSizes has, by constraints, the sizes that no worker had room for in a
// scheduling pass. Room only shrinks within a pass, so a task with the same
// constraints and at least that size doesn't have to be tried.
type rejectedSizes map[constraints][]job.Size

func (r rejectedSizes) covers(c constraints, s job.Size) bool {
	return slices.ContainsFunc(r[c], s.CanFit)
}

func (r rejectedSizes) add(c constraints, s job.Size) {
	r[c] = append(slices.DeleteFunc(r[c], func(o job.Size) bool { return o.CanFit(s) }), s)
}
