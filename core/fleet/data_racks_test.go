package fleet

import (
	"testing"
	"time"

	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

const rackLabel = "rack-1"

// newRackFleet returns a fleet with a worker in a rack, which is full, and one outside of it.
func newRackFleet(enabled bool) *Fleet {
	f := New(1)
	if enabled {
		f.EnableRackWaits(1.5)
	}

	r := described("n1")
	r.Labels = []string{rackLabel}
	f.Report(0, "n1", r)

	s := step(4)
	s.DataRack = rackLabel
	f.Add(0, 0, record(jobA, s))
	f.Schedule(0, time.Time{})
	f.Report(0, "n2", described("n2"))

	return f
}

// TestAwaitRack checks that a task waits for the rack of its data if the runs there are expected to
// end soon enough, that it stops waiting if they don't, and that it runs elsewhere at once if the
// rack is out. It ran elsewhere in any case, 1.5 to 3 times as long.
func TestAwaitRack(t *testing.T) {
	tests := map[string]struct {
		enabled bool
		prepare func(*Fleet)
		count   int
		// at is when the task is submitted, and startsAt when it starts outside the rack.
		at, startsAt time.Duration
	}{
		"Enabled":  {true, nil, 1, 600 * time.Millisecond, 1100 * time.Millisecond},
		"Disabled": {false, nil, 1, 600 * time.Millisecond, 600 * time.Millisecond},
		"TooEarly": {true, nil, 1, 400 * time.Millisecond, 400 * time.Millisecond},
		"TooMany":  {true, nil, 5, 600 * time.Millisecond, 600 * time.Millisecond},
		"RackOut":  {true, func(f *Fleet) { f.Out["dc-n1"] = true }, 1, 600 * time.Millisecond, 600 * time.Millisecond},
		"RackQuarantined": {true, func(f *Fleet) {
			f.workers["n1"].health.quarantine, f.workers["n1"].quarantinedUntil = time.Second, time.Minute
		}, 1, 600 * time.Millisecond, 600 * time.Millisecond},
		"RackSilent": {true, func(f *Fleet) { f.Disconnected("n1") }, 1, 600 * time.Millisecond, 600 * time.Millisecond},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			f := newRackFleet(c.enabled)
			if c.prepare != nil {
				c.prepare(f)
			}

			s := step(c.count)
			s.DataRack = rackLabel
			f.Add(c.at, 0, record(jobB, s))

			for now := c.at; ; now = f.NextWake(now) {
				n := len(starts(f.Schedule(now, time.Time{}))["n2"])
				assert.Equal(t, n > 0, now >= c.startsAt, "%d starts at %v", n, now)

				if n > 0 {
					break
				}
			}
		})
	}
}

// TestRackRoom checks that a task that waits for the rack of its data starts there when a run ends.
func TestRackRoom(t *testing.T) {
	f := newRackFleet(true)
	s := step(1)
	s.DataRack = rackLabel

	now := 600 * time.Millisecond
	f.Add(now, 0, record(jobB, s))
	assert.Equal(t, len(starts(f.Schedule(now, time.Time{}))), 0)

	now += 300 * time.Millisecond
	f.RecordEnd(now, "n1", end("n1", 1, jobA, 1, "Done").End)
	assert.Equal(t, len(starts(f.Schedule(now, time.Time{}))["n1"]), 1)
}

// TestAwaitRackOnly guards against room that is kept or made for a task that waits for the rack of its
// data: it has room elsewhere, and other tasks would be held back or stopped for nothing.
func TestAwaitRackOnly(t *testing.T) {
	f := newRackFleet(true)
	f.LookAhead, f.Preemption = true, true

	r := described("n3")
	r.Labels = []string{"large"}
	f.Report(0, "n3", r)

	// It takes all memory of n3.
	fills := step(1)
	fills.Fills, fills.Requires, fills.Size.MemoryMB = true, "large", 10_000
	other := record(jobC, fills)
	other.Priority = 2
	f.Add(0, 0, other)
	assert.Equal(t, len(starts(f.Schedule(0, time.Time{}))["n3"]), 1)

	s := sized(1, 2, time.Second)
	s.DataRack = rackLabel

	now := 600 * time.Millisecond
	f.Add(now, 0, record(jobB, s))

	orders := f.Schedule(now, time.Time{})
	assert.Equal(t, len(starts(orders)), 0, "it waits for the rack")
	assert.Equal(t, stops(orders), 0)
	assert.Equal(t, len(f.Reservations()), 0)
}

// rackDay replays 60% of all plain jobs wanting one rack for 5.5 s, which has 8 of 52 workers, each with
// serving tasks of a size. It returns the times that the jobs for the rack and the others took in all.
func rackDay(t *testing.T, seed uint64, serving int64, enabled bool) (wanted, others time.Duration) {
	t.Helper()

	u := newUnevenWorld(t, seed)
	u.addWorkers(8, "dc0", rackLabel)
	u.addWorkers(44, "dc1")

	if enabled {
		u.fleet.EnableRackWaits(remoteSlowdown)
	}

	s := step(8)
	s.LongRunning, s.TargetLatency, s.Size.MilliCores = true, 150*time.Millisecond, serving
	s.Requires, s.AntiAffinity = rackLabel, 1
	u.add([]job.Step{s}, time.Second)

	u.run(10*time.Second, func() {
		u.arrivals(11.8, func() {
			if u.now >= 2*time.Second && u.now < 7500*time.Millisecond && u.random.Float64() < 0.6 {
				u.plain(rackLabel)
			} else {
				u.plain("")
			}
		})
	})
	u.run(20*time.Second, func() {})

	for _, j := range u.jobs[1:] {
		assert.Assert(t, j.takenBy > 0)

		if j.record.Spec.Steps[0].DataRack != "" {
			wanted += j.takenBy
		} else {
			others += j.takenBy
		}
	}

	return wanted, others
}

// TestSameRackWanted checks that jobs that all want one rack end earlier than if each runs elsewhere
// as soon as the rack is full, and that the other jobs don't wait for them.
func TestSameRackWanted(t *testing.T) {
	var wanted, others [2]time.Duration

	// The rack has room for 150 tasks at a time, down to 24. 113 a second want it.
	for _, serving := range []int64{22_000, 24_000, 27_000, 29_000, 30_500} {
		for seed := range uint64(6) {
			for i, enabled := range []bool{false, true} {
				w, o := rackDay(t, seed, serving, enabled)
				wanted[i] += w
				others[i] += o
			}
		}
	}

	t.Logf("jobs for the rack took %v in all, %v with waits; others %v and %v", wanted[0], wanted[1], others[0], others[1])
	assert.Assert(t, wanted[1] < wanted[0]*99/100)
	assert.Assert(t, others[1] < others[0]*103/100)
}
