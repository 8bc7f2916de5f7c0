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
				g.Authorize(now)

				s, since, ok := q.Pop(now)
				assert.Assert(t, ok)
				assert.Equal(t, s.Order.Task.Index, i)
				assert.Equal(t, g.MaySend(since, now, s.Order), sent, "%d", i)
			}

			_, _, ok := q.Pop(now)
			assert.Assert(t, !ok)

			// A start that comes after a pause has not waited through it.
			now += time.Hour
			g.Authorize(now)

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

// TestIssueAfterDoubt checks that a start that waited while another one went unanswered is sent with
// the token that was raised for it: with the one of its reservation, the worker would fence it off.
func TestIssueAfterDoubt(t *testing.T) {
	g := syncedGate(t)
	waiting := StartOrder{
		Task:    job.TaskID{Job: "00000000000000bb"},
		Attempt: 1,
	}

	before, _ := g.Reserve(0, StartOrder{
		Task:    taskA,
		Attempt: 1,
	})
	g.Reserve(0, waiting)
	g.MarkInDoubt(taskA, 1)

	token, _ := g.Issue(0, waiting)
	assert.Assert(t, token > before)
	assert.Equal(t, token, g.Token)

	// A listing with that token doesn't end the run that is about to be sent.
	g.list(time.Second, nil, nil)
	assert.Assert(t, g.Runs[waiting.Task] != nil)
	assert.Assert(t, g.Runs[taskA] == nil)
}
