package fleet

import (
	"slices"

	"trefoildeck/core/job"
)

// class has what decides, beside its size, where a task may be placed.
type class struct {
	service     string
	requires    string
	dataRack    string
	image       string
	fills       bool
	longRunning bool
	// idle says that nothing of the job runs.
	idle bool
}

func classOf(j *jobRow, s *job.Step) class {
	c := class{
		service:     j.record.Service,
		requires:    s.Requires,
		dataRack:    s.DataRack,
		fills:       s.Fills,
		longRunning: s.LongRunning,
	}

	if s.Fills {
		// Only tasks that fill are weighed against what serves.
		c.image, c.idle = s.Image, j.active == 0
	}

	return c
}

// full has the sizes that no worker had room for in a pass. Room only shrinks
// within a pass, so that tasks of the same class and at least that size need not
// be tried.
type full map[class][]job.Size

func (f full) covers(c class, s job.Size) bool {
	return slices.ContainsFunc(f[c], s.CanFit)
}

func (f full) add(c class, s job.Size) {
	f[c] = append(slices.DeleteFunc(f[c], func(o job.Size) bool { return o.CanFit(s) }), s)
}
