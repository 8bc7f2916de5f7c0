package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"
)

// progress is the stored progress of a job. Its record is stored separately.
type progress struct {
	State job.State      `json:",omitempty"`
	Steps []stepProgress `json:",omitempty"`
}

type stepProgress struct {
	// Done is a bitmap of the finished tasks, the lowest bit of each byte first.
	Done  []byte `json:",omitempty"`
	Notes []note `json:",omitempty"`
}

// note is the stored state of an unfinished task that failed or has a checkpoint.
type note struct {
	Index      int
	Attempt    int    `json:",omitempty"`
	Failures   []int  `json:",omitempty"`
	Checkpoint string `json:",omitempty"`
}

func (j *jobInfo) progress() progress {
	if j.state.Final() {
		return progress{State: j.state}
	}

	p := progress{Steps: make([]stepProgress, len(j.steps))}

	for i := range j.steps {
		s := &j.steps[i]
		if s.done > 0 {
			p.Steps[i].Done = make([]byte, (len(s.tasks)+7)/8)
		}

		for k := range s.tasks {
			t := &s.tasks[k]

			switch {
			case t.phase == done:
				p.Steps[i].Done[k/8] |= 1 << (k % 8)
			case len(t.failures) > 0 || t.checkpoint != "":
				p.Steps[i].Notes = append(p.Steps[i].Notes, note{
					Index:      k,
					Attempt:    t.attempt,
					Failures:   t.failures,
					Checkpoint: t.checkpoint,
				})
			}
		}
	}

	return p
}

// restore sets a new job to its stored progress.
func (j *jobInfo) restore(data []byte) error {
	var p progress
	if err := json.Unmarshal(data, &p); err != nil {
		return fmt.Errorf("decode progress of %s: %w", j.record.ID, err)
	}

	if p.State.Final() {
		j.state, j.durableState = p.State, p.State
	}

	for i, sp := range p.Steps {
		if i >= len(j.steps) {
			break
		}

		j.steps[i].restore(sp)
		j.started = j.started || len(sp.Done)+len(sp.Notes) > 0
	}

	return nil
}

func (s *stepInfo) restore(p stepProgress) {
	for k := range s.tasks {
		if k/8 < len(p.Done) && p.Done[k/8]&(1<<(k%8)) != 0 {
			s.tasks[k].phase = done
			s.done++
			s.waiting--
		}
	}

	for _, n := range p.Notes {
		if n.Index < 0 || n.Index >= len(s.tasks) {
			continue
		}

		t := &s.tasks[n.Index]
		t.attempt, t.ended, t.failures, t.checkpoint = n.Attempt, n.Attempt, n.Failures, n.Checkpoint
	}
}

// Load adds a stored job with its stored progress or nil. Its age is the time since
// it was accepted. Load is called at the start of a term and after changes were
// missed. Of a job that is known, only the cancellation can be new.
func (f *Fleet) Load(now, age time.Duration, r job.Record, stored []byte, cancelled bool) error {
	if !f.Add(now, age, r) {
		if cancelled {
			f.Cancel(r.ID)
		}

		return nil
	}

	j := f.jobs[r.ID]
	j.loaded = true

	if stored != nil {
		if err := j.restore(stored); err != nil {
			return err
		}
	}

	if cancelled && !j.state.Final() {
		j.state, j.durableState = job.Cancelled, job.Cancelled
	}

	return nil
}

// Batch is a set of changes to be stored in one transaction.
type Batch struct {
	// Progress has the encoded progress of the changed jobs by ID.
	Progress map[string][]byte
	final    map[string]job.State
	endMarks map[string]endMark
	jobs     map[string]*jobInfo
}

// RecordedEnds tells a worker that the ends of an incarnation up to Number are
// stored, so that it may forget them.
type RecordedEnds struct {
	Node        string
	Incarnation gate.Incarnation
	Number      int64
}

// Changes returns the changes since the last call, for at most limit jobs. Others
// are left for the next call.
func (f *Fleet) Changes(limit int) (Batch, error) {
	b := Batch{
		Progress: map[string][]byte{},
		final:    map[string]job.State{},
		endMarks: map[string]endMark{},
		jobs:     map[string]*jobInfo{},
	}

	for id, j := range f.changed {
		if len(b.Progress) == limit {
			break
		}

		p, err := json.Marshal(j.progress())
		if err != nil {
			return Batch{}, fmt.Errorf("encode progress of %s: %w", id, err)
		}

		b.Progress[id] = p
		b.jobs[id] = j

		if j.state.Final() {
			b.final[id] = j.state
		}
	}

	for id := range b.Progress {
		delete(f.changed, id)
	}

	if len(f.changed) == 0 {
		// All ends so far are in this batch or an earlier one. Before that, a worker
		// must not forget an end whose job is still to be stored.
		b.endMarks, f.endMarks = f.endMarks, b.endMarks
	}

	return b, nil
}

// Empty reports whether a batch has no changes.
func (b Batch) Empty() bool { return len(b.Progress) == 0 && len(b.endMarks) == 0 }

// Committed records that a batch is stored and returns the ends that workers may
// forget.
func (f *Fleet) Committed(b Batch) []RecordedEnds {
	for id, s := range b.final {
		b.jobs[id].durableState = s
	}

	var recorded []RecordedEnds

	for node, r := range b.endMarks {
		recorded = append(recorded, RecordedEnds{
			Node:        node,
			Incarnation: r.incarnation,
			Number:      r.number,
		})
	}

	return recorded
}

// Requeue returns the changes of a batch that could not be stored to the pending
// changes.
func (f *Fleet) Requeue(b Batch) {
	maps.Copy(f.changed, b.jobs)

	for node, r := range b.endMarks {
		if n := f.endMarks[node]; n.incarnation != r.incarnation && n.number > 0 {
			continue
		} else if n.number < r.number {
			f.endMarks[node] = r
		}
	}
}

// Changed reports whether there are changes to be stored.
func (f *Fleet) Changed() bool { return len(f.changed) > 0 || len(f.endMarks) > 0 }

// Final returns the states of the jobs of a batch that are over, by ID.
func (b Batch) Final() map[string]job.State { return b.final }
