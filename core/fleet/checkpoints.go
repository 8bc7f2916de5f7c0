package fleet

import "time"

// A run that is lost together with the leader, as when all machines of a data centre stop, can only
// continue from a checkpoint in the store. Without CheckpointInterval, a checkpoint is stored with the
// end of a run at the earliest.
const (
	// checkpointRowPeriod is the time between two rows that are written for checkpoints alone: 100
	// a second, a twelfth of the writes that the smallest known store accepts.
	checkpointRowPeriod = 10 * time.Millisecond
	// checkpointRowBurst is the number of rows that may be written at once after a pause. It is less
	// than the rows of a transaction, so that they never delay the ends of tasks by one.
	checkpointRowBurst = 40
	// checkpointPassPeriod is the least time between two passes for checkpoints alone.
	checkpointPassPeriod = 100 * time.Millisecond
)

// checkpointRows has the jobs with rows of progress that lack checkpoints of running tasks.
type checkpointRows struct {
	// jobs has these jobs in the order of their turns: a job with many rows does not delay the others.
	jobs []*jobInfo
	// next is when the next row may be written, or 0 if there is none.
	next time.Duration
	// writableAt is the earliest time of the next row, checkpointRowBurst rows ago.
	writableAt time.Duration
	writes     CheckpointWrites
}

// unsavedRow is a row that has lacked a checkpoint since a time, unless it was written meanwhile.
type unsavedRow struct {
	name  rowName
	since time.Duration
}

// CheckpointWrites says how many rows a pass had written for the checkpoints of running tasks, and for
// how long the oldest of these checkpoints had not been stored.
type CheckpointWrites struct {
	Rows   int
	Oldest time.Duration
}

// CheckpointWrites returns the rows since the last call.
func (f *Fleet) CheckpointWrites() CheckpointWrites {
	w := f.checkpoints.writes
	f.checkpoints.writes = CheckpointWrites{}

	return w
}

// saveCheckpoint sets the checkpoint of a running task. Its row is written after CheckpointInterval.
func (f *Fleet) saveCheckpoint(now time.Duration, j *jobInfo, s *stepInfo, index int, checkpoint string) {
	t := &s.tasks[index]
	if checkpoint == t.checkpoint {
		return
	}

	t.checkpoint = checkpoint

	if f.CheckpointInterval == 0 {
		return
	}

	n := rowName{number: (s.first + index) / segmentTasks}
	if t.noteRow {
		n = rowName{
			note:   true,
			number: s.first + index,
		}
	}

	if _, ok := j.unsaved[n]; ok || j.dirty[n] {
		return
	}

	if len(j.unsavedRows) == 0 {
		f.checkpoints.jobs = append(f.checkpoints.jobs, j)
	}

	j.unsaved[n] = now
	j.unsavedRows = append(j.unsavedRows, unsavedRow{
		name:  n,
		since: now,
	})
	f.checkpoints.wakeAt(now + f.CheckpointInterval)
}

// wakeAt records that a row may be written at a time.
func (c *checkpointRows) wakeAt(at time.Duration) {
	if c.next == 0 || at < c.next {
		c.next = at
	}
}

// oldestUnsaved returns the row that has lacked a checkpoint for longest, and drops those before it that
// were written meanwhile.
func (j *jobInfo) oldestUnsaved() (unsavedRow, bool) {
	for len(j.unsavedRows) > 0 && !j.state.Final() {
		r := j.unsavedRows[0]
		if since, ok := j.unsaved[r.name]; ok && since == r.since {
			return r, true
		}

		j.unsavedRows = j.unsavedRows[1:]
	}

	return unsavedRow{}, false
}

// storeCheckpoints marks the rows as to be written that have lacked a checkpoint for
// CheckpointInterval. Their number is bounded over time, whatever the number of running tasks.
func (f *Fleet) storeCheckpoints(now time.Duration) {
	c := &f.checkpoints
	if now < c.next {
		return
	}

	c.next = 0

	// waiting counts the consecutive jobs of which no row is due.
	for waiting := 0; waiting < len(c.jobs); {
		j := c.jobs[0]

		r, ok := j.oldestUnsaved()
		if !ok {
			j.unsavedRows = nil
			c.jobs = c.jobs[1:]

			continue
		}

		if now < c.writableAt {
			// It stays this job's turn until a row may be written.
			c.wakeAt(c.writableAt)

			return
		}

		c.jobs = append(c.jobs[1:], j)

		if due := r.since + f.CheckpointInterval; now < due {
			c.wakeAt(due)

			waiting++

			continue
		}

		f.storeUnsaved(now, j, r)

		waiting = 0
	}
}

// storeUnsaved marks a row as to be written.
func (f *Fleet) storeUnsaved(now time.Duration, j *jobInfo, r unsavedRow) {
	c := &f.checkpoints
	c.writableAt = max(c.writableAt, now-checkpointRowBurst*checkpointRowPeriod) + checkpointRowPeriod
	c.writes.Rows++
	c.writes.Oldest = max(c.writes.Oldest, now-r.since)

	delete(j.unsaved, r.name)
	j.dirty[r.name] = true

	if !j.stored[head] {
		j.dirty[head] = true
	}

	f.laterChanged[j.record.ID] = j
}

// nextCheckpointPass returns the time of the next pass that checkpoints require, or 0 if none does.
func (f *Fleet) nextCheckpointPass() time.Duration {
	if f.checkpoints.next == 0 {
		return 0
	}

	return f.checkpoints.next.Truncate(checkpointPassPeriod) + checkpointPassPeriod
}
