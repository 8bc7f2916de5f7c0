package gate

import "time"

// maxQueueTime is the time after its reservation in which a start may be sent, if this process has
// not paused meanwhile. It is well below the time after which a leader that was lost takes the
// run for lapsed.
const maxQueueTime = 3 * time.Second

// QueuedStart is a start that was reserved at a time.
type QueuedStart struct {
	Reserved time.Duration
	Order    StartOrder
}

// StartQueue has the starts that wait to be sent to the worker, of which only some are sent at a
// time. It answers bursts of thousands of starts. It is not safe for concurrent use.
type StartQueue struct {
	starts []QueuedStart
	// ranAt is the last time at which this process is known to have run, and pausedUntil the end
	// of its last pause.
	ranAt, pausedUntil time.Duration
}

// Push adds a start.
func (q *StartQueue) Push(s QueuedStart) {
	if len(q.starts) == 0 {
		q.ranAt = s.Reserved
	}

	q.starts = append(q.starts, s)
}

// Pop removes the first start. It also returns the time since which this process may have been
// paused, for MaySend. Pop has to be called more often than each maxSendDelay while there are
// starts.
func (q *StartQueue) Pop(now time.Duration) (s QueuedStart, since time.Duration, ok bool) {
	if len(q.starts) == 0 {
		return QueuedStart{}, 0, false
	}

	s = q.starts[0]
	q.starts[0] = QueuedStart{}
	q.starts = q.starts[1:]

	since = q.ranAt
	if now-q.ranAt > maxSendDelay {
		q.pausedUntil = now
	}

	q.ranAt = now

	if s.Reserved < q.pausedUntil || now-s.Reserved > maxQueueTime {
		since = s.Reserved
	}

	return s, max(since, s.Reserved), true
}
