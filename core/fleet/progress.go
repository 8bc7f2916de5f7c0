package fleet

import (
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"
)

// Load adds a stored job with the rows of its progress, in the order of their keys. Its age is
// the time since it was accepted. Load is called at the start of a term and after changes were
// missed. Of a job that is known, only the cancellation can be new.
func (f *Fleet) Load(now, age time.Duration, r job.Record, stored []StoredRow, cancelled bool) error {
	if !f.Add(now, age, r) {
		if cancelled {
			f.Cancel(r.ID)
		}

		return nil
	}

	j := f.jobs[r.ID]
	j.loaded = true

	if err := j.restore(stored); err != nil {
		return err
	}

	if cancelled && !j.state.Final() {
		j.state, j.durableState = job.Cancelled, job.Cancelled
		// The next leader needn't read the spec.
		f.markFinished(j)
	}

	if j.state.Final() {
		f.removeRows(j)

		if j.stored[head] {
			f.over.ending[r.ID] = j
		}
	}

	return nil
}

// removeRows marks the rows of a job that is over as to be removed, but for its state.
func (f *Fleet) removeRows(j *jobInfo) {
	for n := range j.stored {
		if n != head {
			j.dirty[n] = true
			f.laterChanged[j.record.ID] = j
		}
	}
}

// BatchLimits bound a batch, so that it fits into one transaction.
type BatchLimits struct {
	// Rows is the largest number of rows, and Bytes that of the sum of their values. One row
	// may be larger.
	Rows, Bytes int
	// Held reports whether a row is not to be written now.
	Held func(key string) bool
}

// Batch is a set of changes to be stored in one transaction.
type Batch struct {
	// Rows has the rows to be written or removed.
	Rows []StoredRow
	// names has the job and the name of each row, parallel to Rows.
	names    []jobRow
	bytes    int
	final    map[string]job.State
	endMarks map[string]endMark
}

type jobRow struct {
	job  *jobInfo
	name rowName
}

// RecordedEnds tells a worker that the ends of an incarnation up to Number are
// stored, so that it may forget them.
type RecordedEnds struct {
	Node        string
	Incarnation gate.Incarnation
	Number      int64
}

// Changes returns the changes since the last call, as far as the limits allow. Others are left for
// the next call.
func (f *Fleet) Changes(l BatchLimits) (Batch, error) {
	b := Batch{
		final:    map[string]job.State{},
		endMarks: map[string]endMark{},
	}

	if len(f.changed) == 0 {
		f.changed, f.laterChanged = f.laterChanged, f.changed
		mergeMarks(f.laterMarks, f.endMarks)
		f.endMarks, f.laterMarks = f.laterMarks, map[string]endMark{}
	}

	full, err := f.takeChanges(&b, f.changed, l)
	if err == nil && !full {
		_, err = f.takeChanges(&b, f.laterChanged, l)
	}

	if err != nil {
		return Batch{}, err
	}

	if len(f.changed) == 0 {
		// All these ends are in this batch or an earlier one. Before that, a worker must not
		// forget an end whose job is still to be stored.
		b.endMarks, f.endMarks = f.endMarks, b.endMarks
	}

	return b, nil
}

// takeChanges moves the changes of jobs to a batch. It returns true if the batch has no room for
// one of them.
func (f *Fleet) takeChanges(b *Batch, changed map[string]*jobInfo, l BatchLimits) (bool, error) {
	for id, j := range changed {
		full, err := f.takeRows(b, j, l)
		if err != nil {
			return false, err
		}

		if len(j.dirty) == 0 {
			delete(changed, id)
		}

		if full {
			return true, nil
		}
	}

	return false, nil
}

// takeRows moves the changed rows of a job to a batch. It returns true if the batch has no room
// for one of them.
func (f *Fleet) takeRows(b *Batch, j *jobInfo, l BatchLimits) (bool, error) {
	if !j.state.Final() {
		f.separateLongNotes(j)
	}

	for _, n := range j.dirtyRows() {
		key := n.key(j.record.ID)
		if l.Held != nil && l.Held(key) {
			continue
		}

		value, err := f.encodeRow(j, n)
		if err != nil {
			return false, err
		}

		if value == nil && !j.stored[n] {
			delete(j.dirty, n)

			continue
		}

		if len(b.Rows) > 0 && (len(b.Rows) >= l.Rows || b.bytes+len(value) > l.Bytes) {
			return true, nil
		}

		b.Rows = append(b.Rows, StoredRow{
			Key:   key,
			Value: value,
		})
		b.names = append(b.names, jobRow{
			job:  j,
			name: n,
		})
		b.bytes += len(value)

		delete(j.dirty, n)
		delete(j.unsaved, n)

		if value != nil {
			j.stored[n] = true
		}

		if n == head && j.state.Final() {
			b.final[j.record.ID] = j.state
		}
	}

	return false, nil
}

// Empty reports whether a batch has no changes.
func (b Batch) Empty() bool { return len(b.Rows) == 0 && len(b.endMarks) == 0 }

// Committed records that a batch is stored and returns the ends that workers may
// forget.
func (f *Fleet) Committed(b Batch) []RecordedEnds {
	for i, n := range b.names {
		if b.Rows[i].Value == nil {
			delete(n.job.stored, n.name)
		}

		if s, ok := b.final[n.job.record.ID]; ok {
			n.job.durableState = s
			f.over.ending[n.job.record.ID] = n.job
		}
	}

	var recorded []RecordedEnds

	for node, r := range b.endMarks {
		if w := f.workers[node]; w != nil {
			w.lastRecorded = r
		}

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
	for _, n := range b.names {
		n.job.dirty[n.name] = true
		f.changed[n.job.record.ID] = n.job
	}

	mergeMarks(f.endMarks, b.endMarks)
}

// mergeMarks adds the marks in from that are later than those of their nodes. Of another
// incarnation, those that are there are the later ones.
func mergeMarks(marks, from map[string]endMark) {
	for node, r := range from {
		if n := marks[node]; n.incarnation != r.incarnation && n.number > 0 {
			continue
		} else if n.number < r.number {
			marks[node] = r
		}
	}
}

// Changed reports whether there are changes to be stored.
func (f *Fleet) Changed() bool {
	return len(f.changed)+len(f.laterChanged)+len(f.endMarks)+len(f.laterMarks) > 0
}

// Final returns the states of the jobs of a batch that are over, by ID.
func (b Batch) Final() map[string]job.State { return b.final }

// Fail ends a job whose progress can't be stored. It returns false if the job is unknown or over.
func (f *Fleet) Fail(id string) bool {
	j := f.jobs[id]
	if j == nil || j.state.Final() {
		return false
	}

	f.finishJob(j, job.Failed)

	return true
}
