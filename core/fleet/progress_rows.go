package fleet

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"trefoildeck/core/job"
)

// The progress of a job takes several rows, since a row of the store is limited and a job has any
// number of tasks with checkpoints of any length. The tasks of a job are numbered over all its
// steps.
//
//   - A segment row has the state of segmentTasks tasks. The key of the first one, the head, is the ID
//     of the job. The head also has the job's state and is written first, or with others.
//   - A note row has the note of one task that is too long for its segment row.
const (
	segmentTasks  = 128
	segmentPrefix = "/s"
	notePrefix    = "/t"
)

const (
	// segmentOverhead is more than the bytes of a segment row without its notes, and noteOverhead
	// than those of a note without its failures and its checkpoint.
	segmentOverhead = 256
	noteOverhead    = 80
	// maxFailureBytes and maxEscapedBytes are the most bytes that a failed attempt takes in a note,
	// and a byte of a checkpoint.
	maxFailureBytes = 12
	maxEscapedBytes = 6
)

// maxRowBytes is the limit of the rows that a fleet encodes. The store may count a value as it is
// sent, in base64.
func (f *Fleet) maxRowBytes() int { return f.RowBytes / 4 * 3 }

// maxSegmentNoteBytes is the size of a note above which it has a row of its own.
func (f *Fleet) maxSegmentNoteBytes() int { return (f.maxRowBytes() - segmentOverhead) / segmentTasks }

// progress is the content of a row of a job's progress. Its record is stored separately.
type progress struct {
	State job.State `json:",omitempty"`
	// Done is a bitmap of the finished tasks of a segment, the lowest bit of each byte first.
	Done  []byte `json:",omitempty"`
	Notes []note `json:",omitempty"`
}

// note is the stored state of an unfinished task that failed or has a checkpoint. Task is its
// number.
type note struct {
	Task       int
	Attempt    int    `json:",omitempty"`
	Failures   []int  `json:",omitempty"`
	Checkpoint string `json:",omitempty"`
}

// rowName names a row of a job's progress: that of a segment, or of the note of a task.
type rowName struct {
	note   bool
	number int
}

// head is the row with the state of the job.
var head rowName

func (n rowName) key(id string) string {
	switch {
	case n == head:
		return id
	case n.note:
		return id + notePrefix + strconv.Itoa(n.number)
	default:
		return id + segmentPrefix + strconv.Itoa(n.number)
	}
}

// JobOfRow returns the ID of the job to which a row of progress belongs.
func JobOfRow(key string) string {
	id, _, _ := strings.Cut(key, "/")

	return id
}

// parseRowName is the inverse of key.
func parseRowName(id, key string) (rowName, error) {
	suffix := strings.TrimPrefix(key, id)
	if suffix == "" {
		return head, nil
	}

	digits, isNote := strings.CutPrefix(suffix, notePrefix)
	if !isNote {
		digits = strings.TrimPrefix(suffix, segmentPrefix)
	}

	n, err := strconv.Atoi(digits)
	if err != nil || n < 0 {
		return rowName{}, fmt.Errorf("progress row %q: %w", key, job.ErrInvalid)
	}

	return rowName{
		note:   isNote,
		number: n,
	}, nil
}

// StoredRow is a row of a job's progress. In a Batch, a nil value stands for a row to be removed.
type StoredRow struct {
	Key   string
	Value []byte
}

// taskNumbered returns the task with a number, and its step.
func (j *jobInfo) taskNumbered(number int) (*stepInfo, *taskInfo) {
	// The first step whose tasks have higher numbers follows that of the task.
	i, _ := slices.BinarySearchFunc(j.steps, number, func(s stepInfo, n int) int {
		if s.first <= n {
			return -1
		}

		return 1
	})
	s := &j.steps[i-1]

	return s, &s.tasks[number-s.first]
}

// taskCount is the number of the job's tasks.
func (j *jobInfo) taskCount() int {
	last := &j.steps[len(j.steps)-1]

	return last.first + len(last.tasks)
}

// markChanged marks the rows that depend on a task as to be written.
func (f *Fleet) markChanged(j *jobInfo, s *stepInfo, index int) {
	f.laterChanged[j.record.ID] = j

	if s.spec.Gang {
		// The end of one member may change all of them.
		for k := range s.tasks {
			j.markRows(s.first + k)
		}
	}

	j.markRows(s.first + index)
}

func (j *jobInfo) markRows(number int) {
	if !j.stored[head] {
		j.dirty[head] = true
	}

	j.dirty[rowName{number: number / segmentTasks}] = true

	if _, t := j.taskNumbered(number); t.noteRow {
		j.dirty[rowName{
			note:   true,
			number: number,
		}] = true
	}
}

// markFinished marks the head as to be written, and the other rows as to be removed.
func (f *Fleet) markFinished(j *jobInfo) {
	f.laterChanged[j.record.ID] = j
	clear(j.dirty)
	maps.Copy(j.dirty, j.stored)
	j.dirty[head] = true
}

// hasNote reports whether the task has a state that is stored in a note.
func (t *taskInfo) hasNote() bool {
	return t.phase != done && (len(t.failures) > 0 || t.checkpoint != "")
}

func (t *taskInfo) note(number int) note {
	return note{
		Task:       number,
		Attempt:    t.attempt,
		Failures:   t.failures,
		Checkpoint: t.checkpoint,
	}
}

// segment returns the numbers of the first task of a segment and of the first one after it.
func (j *jobInfo) segment(number int) (from, to int) {
	from = number * segmentTasks

	return from, min(from+segmentTasks, j.taskCount())
}

// separateLongNotes gives rows of their own to the notes that are too long for the segment rows to
// be written. A task keeps such a row until it is done, so that no other row has a later note.
func (f *Fleet) separateLongNotes(j *jobInfo) {
	for _, n := range slices.Collect(maps.Keys(j.dirty)) {
		if n.note {
			continue
		}

		from, to := j.segment(n.number)
		for i := from; i < to; i++ {
			_, t := j.taskNumbered(i)
			if t.noteRow || !t.hasNote() || t.noteBytes() <= f.maxSegmentNoteBytes() {
				continue
			}

			t.noteRow = true
			j.dirty[rowName{
				note:   true,
				number: i,
			}] = true
		}
	}
}

// noteBytes returns an upper bound of the size of the task's note.
func (t *taskInfo) noteBytes() int {
	return noteOverhead + maxFailureBytes*len(t.failures) + maxEscapedBytes*len(t.checkpoint)
}

// dirtyRows returns the rows to be written, in the order in which they may be written one after
// the other: a note row before the segment row that had the note, and rows to be removed last, after
// the row that says that the task is done or the job over.
func (j *jobInfo) dirtyRows() []rowName {
	return slices.SortedFunc(maps.Keys(j.dirty), func(a, b rowName) int {
		return cmp.Or(cmp.Compare(j.rank(a), j.rank(b)), cmp.Compare(a.number, b.number))
	})
}

// rank returns the place of a row in the order of dirtyRows.
func (j *jobInfo) rank(n rowName) int {
	const noteRank, segmentRank, removalRank = 0, 1, 2

	switch {
	case n == head:
		return segmentRank
	case j.state.Final():
		return removalRank
	case !n.note:
		return segmentRank
	}

	if _, t := j.taskNumbered(n.number); t.hasNote() {
		return noteRank
	}

	return removalRank
}

// encodeRow returns the value of a row, or nil if the row is not needed.
func (f *Fleet) encodeRow(j *jobInfo, n rowName) ([]byte, error) {
	var p progress

	switch {
	case j.state.Final() && n == head:
		p.State = j.state
	case j.state.Final():
		return nil, nil
	case n.note:
		_, t := j.taskNumbered(n.number)
		if !t.hasNote() {
			return nil, nil
		}

		p.Notes = []note{t.note(n.number)}
	default:
		p = j.encodeSegment(n.number)
	}

	value, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode progress of %s: %w", j.record.ID, err)
	}

	if n.note && len(value) > f.maxRowBytes() && p.Notes[0].Checkpoint != "" {
		f.unstored = append(f.unstored, UnstoredCheckpoint{
			Job:   j.record.ID,
			Bytes: len(value),
			Limit: f.maxRowBytes(),
		})
		p.Notes[0].Checkpoint = ""

		if value, err = json.Marshal(p); err != nil {
			return nil, fmt.Errorf("encode progress of %s: %w", j.record.ID, err)
		}
	}

	return value, nil
}

func (j *jobInfo) encodeSegment(number int) progress {
	var p progress

	from, to := j.segment(number)

	for i := from; i < to; i++ {
		_, t := j.taskNumbered(i)

		switch {
		case t.phase == done:
			if p.Done == nil {
				p.Done = make([]byte, (to-from+7)/8)
			}

			p.Done[(i-from)/8] |= 1 << ((i - from) % 8)
		case t.hasNote() && !t.noteRow:
			p.Notes = append(p.Notes, t.note(i))
		}
	}

	return p
}

// UnstoredCheckpoint is a checkpoint that is too long to be stored. Only the workers of its job
// and this leader have it.
type UnstoredCheckpoint struct {
	Job          string
	Bytes, Limit int
}

// UnstoredCheckpoints returns the checkpoints that were not stored since the last call.
func (f *Fleet) UnstoredCheckpoints() []UnstoredCheckpoint {
	unstored := f.unstored
	f.unstored = nil

	return unstored
}

// restore sets a new job to its stored progress, whose rows are in the order of their keys.
func (j *jobInfo) restore(stored []StoredRow) error {
	for _, r := range stored {
		n, err := parseRowName(j.record.ID, r.Key)
		if err != nil {
			return err
		}

		var p progress
		if err := json.Unmarshal(r.Value, &p); err != nil {
			return fmt.Errorf("decode progress row %s: %w", r.Key, err)
		}

		j.stored[n] = true

		if p.State.Final() {
			j.state, j.durableState = p.State, p.State
		}

		j.started = j.started || len(p.Done)+len(p.Notes) > 0
		j.restoreDone(n, p.Done)
		j.restoreNotes(n, p.Notes)
	}

	return nil
}

func (j *jobInfo) restoreDone(n rowName, bitmap []byte) {
	if n.note {
		return
	}

	from, to := j.segment(n.number)

	for i := from; i < to; i++ {
		k := i - from
		if k/8 >= len(bitmap) || bitmap[k/8]&(1<<(k%8)) == 0 {
			continue
		}

		if s, t := j.taskNumbered(i); t.phase != done {
			s.markDone(t)
		}
	}
}

// restoreNotes applies the notes of a row. Note rows come after the segment rows, which may have an
// earlier note of the task.
func (j *jobInfo) restoreNotes(n rowName, notes []note) {
	for _, o := range notes {
		if o.Task < 0 || o.Task >= j.taskCount() {
			continue
		}

		if _, t := j.taskNumbered(o.Task); t.phase != done {
			t.attempt, t.ended, t.failures, t.checkpoint = o.Attempt, o.Attempt, o.Failures, o.Checkpoint
			t.noteRow = n.note
		}
	}
}
