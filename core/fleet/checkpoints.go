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

// checkpointRows has the rows of progress that lack checkpoints of running tasks.
type checkpointRows struct {
	// queue has the rows in the order in which they began to lack one. A row that was written
	// since then stays in it until its turn.
	queue []checkpointRow
	// writableAt is the earliest time of the next row, checkpointRowBurst rows ago.
	writableAt time.Duration
	writes     CheckpointWrites
}

type checkpointRow struct {
	job   *jobInfo
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

	j.unsaved[n] = now
	f.checkpoints.queue = append(f.checkpoints.queue, checkpointRow{
		job:   j,
		name:  n,
		since: now,
	})
}

// current reports whether the row still lacks the checkpoint for which it was queued.
func (r checkpointRow) current() bool {
	since, ok := r.job.unsaved[r.name]

	return ok && since == r.since && !r.job.state.Final()
}

// storeCheckpoints marks the rows as to be written that have lacked a checkpoint for
// CheckpointInterval. Their number is bounded over time, whatever the number of running tasks.
func (f *Fleet) storeCheckpoints(now time.Duration) {
	c := &f.checkpoints

	for len(c.queue) > 0 {
		r := c.queue[0]

		if r.current() {
			if now < f.checkpointsDue() {
				return
			}

			c.writableAt = max(c.writableAt, now-checkpointRowBurst*checkpointRowPeriod) + checkpointRowPeriod
			c.writes.Rows++
			c.writes.Oldest = max(c.writes.Oldest, now-r.since)
			f.laterChanged[r.job.record.ID] = r.job
			r.job.dirty[r.name] = true

			if !r.job.stored[head] {
				r.job.dirty[head] = true
			}

			delete(r.job.unsaved, r.name)
		}

		c.queue = c.queue[1:]
	}
}

// checkpointsDue returns the time at which the first row of the queue may be written, or 0 if the queue
// is empty.
func (f *Fleet) checkpointsDue() time.Duration {
	c := &f.checkpoints
	if len(c.queue) == 0 {
		return 0
	}

	return max(c.queue[0].since+f.CheckpointInterval, c.writableAt)
}

// nextCheckpointPass returns the time of the next pass that checkpoints require, or 0 if none does.
func (f *Fleet) nextCheckpointPass() time.Duration {
	due := f.checkpointsDue()
	if due == 0 {
		return 0
	}

	return due.Truncate(checkpointPassPeriod) + checkpointPassPeriod
}
