package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"
)

// progress is what is stored of a job beside its record.
type progress struct {
	State job.State      `json:",omitempty"`
	Steps []stepProgress `json:",omitempty"`
}

type stepProgress struct {
	// Done is a bitmap of the tasks that are done.
	Done  []byte `json:",omitempty"`
	Notes []note `json:",omitempty"`
}

// note is what has to be known of a task that is not done.
type note struct {
	Index      int
	Attempt    int    `json:",omitempty"`
	Failures   []int  `json:",omitempty"`
	Checkpoint string `json:",omitempty"`
}

func (j *jobRow) progress() progress {
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

// restore sets a new row to stored progress.
func (j *jobRow) restore(data []byte) error {
	var p progress
	if err := json.Unmarshal(data, &p); err != nil {
		return fmt.Errorf("decode progress of %s: %w", j.record.ID, err)
	}

	if p.State.Final() {
		j.state, j.shown = p.State, p.State
	}

	for i, sp := range p.Steps {
		if i >= len(j.steps) {
			break
		}

		j.steps[i].restore(sp)
	}

	j.started = j.started || len(p.Steps) > 0

	return nil
}

func (s *stepRow) restore(p stepProgress) {
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
		t.attempt, t.failures, t.checkpoint = n.Attempt, n.Failures, n.Checkpoint
	}
}

// Load takes in a stored job on taking office, or when changes were missed: of a
// job that is known, only its cancellation can be news.
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
		j.state, j.shown = job.Cancelled, job.Cancelled
	}

	return nil
}

// Batch is what has to be made durable together.
type Batch struct {
	// Progress has the stored form of changed jobs by id.
	Progress map[string][]byte
	final    map[string]job.State
	noted    map[string]recorded
	rows     map[string]*jobRow
}

// RecordedEnds is up to which end a worker may forget.
type RecordedEnds struct {
	Node        string
	Incarnation gate.Incarnation
	Number      int64
}

// Changes returns what changed since the last call, at most limit jobs.
func (f *Fleet) Changes(limit int) (Batch, error) {
	b := Batch{
		Progress: map[string][]byte{},
		final:    map[string]job.State{},
		noted:    map[string]recorded{},
		rows:     map[string]*jobRow{},
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
		b.rows[id] = j

		if j.state.Final() {
			b.final[id] = j.state
		}
	}

	for id := range b.Progress {
		delete(f.changed, id)
	}

	if len(f.changed) == 0 {
		// All ends that came so far are in this batch or an earlier one.
		b.noted, f.noted = f.noted, b.noted
	}

	return b, nil
}

// Empty reports whether a batch has nothing to do.
func (b Batch) Empty() bool { return len(b.Progress) == 0 && len(b.noted) == 0 }

// Committed says that a batch is stored, and returns what workers may forget.
func (f *Fleet) Committed(b Batch) []RecordedEnds {
	for id, s := range b.final {
		b.rows[id].shown = s
	}

	var notes []RecordedEnds

	for node, r := range b.noted {
		notes = append(notes, RecordedEnds{
			Node:        node,
			Incarnation: r.incarnation,
			Number:      r.number,
		})
	}

	return notes
}

// Requeue takes back a batch that was not stored.
func (f *Fleet) Requeue(b Batch) {
	maps.Copy(f.changed, b.rows)

	for node, r := range b.noted {
		if n := f.noted[node]; n.incarnation != r.incarnation && n.number > 0 {
			continue
		} else if n.number < r.number {
			f.noted[node] = r
		}
	}
}

// Changed reports whether there is something to make durable.
func (f *Fleet) Changed() bool { return len(f.changed) > 0 || len(f.noted) > 0 }

// Final returns the jobs of a batch that are over, with their states.
func (b Batch) Final() map[string]job.State { return b.final }
