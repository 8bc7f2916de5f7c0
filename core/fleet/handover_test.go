package fleet

import (
	"testing"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

// TestLeasesLeft guards against a leader that tells its successor that nothing runs on a node on which
// something may: its tasks would run twice. In the other direction, the successor would wait too long.
func TestLeasesLeft(t *testing.T) {
	const now = 2 * time.Second

	// none means that the node is not in the result.
	const none = -1

	running := job.TaskID{Job: jobA}

	tests := map[string]struct {
		// leaseEnds is what the leader was told by its predecessor.
		leaseEnds map[string]time.Duration
		arrange   func(t *testing.T, f *Fleet)
		left      time.Duration
	}{
		"Unreported": {
			arrange: func(*testing.T, *Fleet) {},
			left:    MaxLeaseTime - now,
		},
		"UnreportedLonger": {
			leaseEnds: map[string]time.Duration{"n1": now + time.Second},
			arrange:   func(*testing.T, *Fleet) {},
			left:      time.Second,
		},
		"NoLeaseBefore": {
			leaseEnds: map[string]time.Duration{"n1": 0},
			arrange:   func(*testing.T, *Fleet) {},
		},
		"ReportedInPart": {
			arrange: func(_ *testing.T, f *Fleet) { f.Report(0, "n1", partial("n1")) },
			left:    MaxLeaseTime - now,
		},
		"Idle": {
			arrange: func(_ *testing.T, f *Fleet) { f.Report(0, "n1", described("n1")) },
		},
		"IdleLost": {
			arrange: func(_ *testing.T, f *Fleet) {
				f.Report(0, "n1", described("n1"))
				f.Disconnected("n1")
			},
		},
		"Running": {
			arrange: func(t *testing.T, f *Fleet) { startOn(t, f, "n1") },
			left:    none,
		},
		"RunningLost": {
			arrange: func(t *testing.T, f *Fleet) {
				startOn(t, f, "n1")
				f.Disconnected("n1")
			},
			left: MaxLeaseTime - now,
		},
		"StrayRun": {
			arrange: func(_ *testing.T, f *Fleet) {
				r := described("n1")
				r.Runs = []gate.Run{{
					Task:    job.TaskID{Job: jobB},
					Attempt: 1,
				}}
				f.Report(time.Second, "n1", r)
			},
			left: none,
		},
		"EndNotStored": {
			arrange: func(t *testing.T, f *Fleet) {
				startOn(t, f, "n1")
				reportDone(f, running)
			},
			left: none,
		},
		"EndNotStoredLost": {
			arrange: func(t *testing.T, f *Fleet) {
				startOn(t, f, "n1")
				reportDone(f, running)
				f.Disconnected("n1")
			},
			left: time.Second + MaxLeaseTime - now,
		},
		"EndBeingStored": {
			arrange: func(t *testing.T, f *Fleet) {
				startOn(t, f, "n1")
				reportDone(f, running)

				_, err := f.Changes(testLimits)
				assert.NilError(t, err)
			},
			left: none,
		},
		"EndStored": {
			arrange: func(t *testing.T, f *Fleet) {
				startOn(t, f, "n1")
				reportDone(f, running)

				b, err := f.Changes(testLimits)
				assert.NilError(t, err)
				f.Committed(b)
			},
		},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			f := New(2)

			_, known := f.LeasesLeft(0)
			assert.Assert(t, !known)

			f.AwaitReports(0, []string{"n1"}, nil, c.leaseEnds)
			c.arrange(t, f)

			left, known := f.LeasesLeft(now)
			assert.Assert(t, known)

			d, listed := left["n1"]
			if !listed {
				d = none
			}

			assert.Equal(t, d, c.left)
		})
	}
}

// TestHandedOverNodes checks for how long a new leader waits for nodes that its predecessor was not in
// contact with: it waited for all of them anew.
func TestHandedOverNodes(t *testing.T) {
	tests := map[string]struct {
		leaseEnds map[string]time.Duration
		// startsAt is when the task of a loaded job starts.
		startsAt time.Duration
	}{
		"NotKnown":   {nil, MaxLeaseTime},
		"Idle":       {map[string]time.Duration{"n1": 0}, 0},
		"Lasting":    {map[string]time.Duration{"n1": 2 * time.Second}, 2 * time.Second},
		"TooLong":    {map[string]time.Duration{"n1": time.Hour}, MaxLeaseTime},
		"OthersOnly": {map[string]time.Duration{"n3": 0}, MaxLeaseTime},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			f := New(2)
			assert.NilError(t, f.Load(0, 0, record(jobA, step(1)), nil, false))
			f.AwaitReports(0, []string{"n1", "n2"}, nil, c.leaseEnds)
			f.Report(0, "n2", described("n2"))

			if c.startsAt > 0 {
				assert.Equal(t, len(starts(f.Schedule(c.startsAt-1, time.Time{}))), 0)
				assert.Equal(t, f.NextWake(c.startsAt-1), c.startsAt)
			}

			assert.Equal(t, len(starts(f.Schedule(c.startsAt, time.Time{}))["n2"]), 1)
		})
	}
}

// TestIdleNodeDoesNotReport checks that a node is absent in the end that was idle and never reports, and
// that the load isn't known before: submissions would be refused for workers that are about to report.
func TestIdleNodeDoesNotReport(t *testing.T) {
	f := New(2)
	f.AwaitReports(0, []string{"n1", "n2"}, nil, map[string]time.Duration{"n1": 0})
	f.Report(0, "n2", described("n2"))
	assert.Assert(t, f.Loads(0) == nil)

	absent, _ := f.Absent(MaxLeaseTime - 1)
	assert.Equal(t, len(absent), 0)

	absent, _ = f.Absent(MaxLeaseTime)
	assert.DeepEqual(t, absent, []string{"n1"})
	assert.DeepEqual(t, f.Unawaited(), []string{"n1"})
	assert.Assert(t, f.Loads(MaxLeaseTime) != nil)
}
