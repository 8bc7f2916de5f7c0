package fleet

import (
	"encoding/json"

	"trefoildeck/core/job"
)

// overJobs has the jobs that are over, whose state is all that anybody asks for. The load that it answers is
// a long history: a leader knows of each job whose rows are in the store, and a job with its tasks takes
// some kilobytes.
type overJobs struct {
	states map[string]job.State
	// ending has the jobs that are over and have been stored so, but may still have runs or rows.
	ending map[string]*jobInfo
	// fresh has the jobs that have been added to states since the last call of NewlyOver.
	fresh []string
}

// OverState returns the state of a job whose rows of progress say that it is over and nothing else, so
// that its spec isn't needed. It returns false for others.
func OverState(stored []StoredRow) (job.State, bool) {
	if len(stored) != 1 {
		return "", false
	}

	var p progress
	if err := json.Unmarshal(stored[0].Value, &p); err != nil || !p.State.Final() {
		return "", false
	}

	return p.State, true
}

// AddOver adds a job that is over, unless it is known.
func (f *Fleet) AddOver(id string, s job.State) {
	if _, known := f.State(id); known {
		return
	}

	f.over.states[id] = s
	f.over.fresh = append(f.over.fresh, id)
}

// NewlyOver returns the jobs of which nothing but their state is known or stored any more, since the last
// call.
func (f *Fleet) NewlyOver() []string {
	list := f.over.fresh
	f.over.fresh = nil

	return list
}

// ForgetOver forgets a job that is over.
func (f *Fleet) ForgetOver(id string) { delete(f.over.states, id) }

// settleOver keeps nothing but the state of the jobs that are over, have no runs, and of which nothing but the
// state is stored.
func (f *Fleet) settleOver() {
	for id, j := range f.over.ending {
		if j.active > 0 || len(j.dirty) > 0 || len(j.stored) != 1 || !j.stored[head] ||
			f.changed[id] != nil || f.laterChanged[id] != nil {
			continue
		}

		delete(f.over.ending, id)
		delete(f.jobs, id)
		f.over.states[id] = j.durableState
		f.over.fresh = append(f.over.fresh, id)
	}
}
