package gate

import (
	"testing"
	"time"

	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

// TestStartQueue checks that starts that wait in turn are sent, and that those that waited through a
// pause of the process, or for too long, are not: the worker may have restarted, or the leader may
// have given them up.
func TestStartQueue(t *testing.T) {
	const step = 300 * time.Millisecond

	tests := map[string]struct {
		// pauses has the time from one start to the next.
		pauses []time.Duration
		// sent has whether each start is sent.
		sent []bool
	}{
		"AtOnce":  {[]time.Duration{0, 0, 0}, []bool{true, true, true}},
		"InTurn":  {[]time.Duration{step, step, step, step, step}, []bool{true, true, true, true, true}},
		"Paused":  {[]time.Duration{step, 2 * time.Second, step}, []bool{true, false, false}},
		"AtFirst": {[]time.Duration{2 * time.Second, 0}, []bool{false, false}},
		"TooLong": {
			[]time.Duration{900 * time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond},
			[]bool{true, true, true, false},
		},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var q StartQueue

			g := syncedGate(t)
			now := time.Hour

			for i := range c.sent {
				o := StartOrder{
					Task: job.TaskID{
						Job:   "00000000000000aa",
						Index: i,
					},
					Attempt: 1,
				}
				g.Reserve(now, o)
				q.Push(QueuedStart{
					Reserved: now,
					Order:    o,
				})
			}

			for i, sent := range c.sent {
				now += c.pauses[i]
				s, since, ok := q.Pop(now)
				assert.Assert(t, ok)
				assert.Equal(t, s.Order.Task.Index, i)
				assert.Equal(t, g.MaySend(since, now, s.Order), sent, "%d", i)
			}

			_, _, ok := q.Pop(now)
			assert.Assert(t, !ok)

			// A start that comes after a pause has not waited through it.
			now += time.Hour
			o := StartOrder{
				Task:    job.TaskID{Job: "00000000000000bb"},
				Attempt: 1,
			}
			g.Reserve(now, o)
			q.Push(QueuedStart{
				Reserved: now,
				Order:    o,
			})

			s, since, _ := q.Pop(now + step)
			assert.Assert(t, g.MaySend(since, now+step, s.Order))
		})
	}
}
