package fleet

import (
	"testing"
	"time"

	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

// outage is a time in which a data centre is out.
type outage struct {
	dataCentre  string
	from, until time.Duration
}

// apply takes data centres out of service, and back.
func (u *unevenWorld) apply(outages []outage) {
	clear(u.fleet.Out)

	for _, o := range outages {
		if u.now >= o.from && u.now < o.until {
			u.fleet.Out[o.dataCentre] = true
		}
	}
}

// pacedRuns returns the number of filling runs in a data centre that stand still.
func (u *unevenWorld) pacedRuns(dataCentre string) int {
	n := 0

	for _, w := range u.workers {
		if w.dataCentre != dataCentre || w.pace > 0 {
			continue
		}

		for _, r := range w.runs {
			if r.order.Fills {
				n++
			}
		}
	}

	return n
}

// startsIn returns the number of starts in a data centre in a time.
func (u *unevenWorld) startsIn(dataCentre string, from, until time.Duration) int {
	n := 0

	for _, s := range u.starts {
		if u.worker(s.node).dataCentre == dataCentre && s.at >= from && s.at < until {
			n++
		}
	}

	return n
}

// longest returns the longest time that a job with a first step of a kind took, of those that were
// added in a time.
func (u *unevenWorld) longest(fills bool, from, until time.Duration) time.Duration {
	var longest time.Duration

	for _, j := range u.jobs {
		if s := j.record.Spec.Steps[0]; s.Fills != fills || s.LongRunning || j.added < from || j.added >= until {
			continue
		}

		assert.Assert(u.t, j.takenBy > 0, "job %s, added at %v, has not ended", j.record.ID, j.added)
		longest = max(longest, j.takenBy)
	}

	return longest
}

// newThreeDataCentres returns a world of three data centres of four workers, each with a serving task.
func newThreeDataCentres(t *testing.T, seed uint64) *unevenWorld {
	t.Helper()

	u := newUnevenWorld(t, seed)
	u.fleet.EnableSlowWorkers()

	for _, dc := range []string{"dc0", "dc1", "dc2"} {
		u.addWorkers(4, dc, dc)
	}

	s := step(12)
	s.LongRunning, s.TargetLatency, s.AntiAffinity, s.Size.MilliCores = true, 150*time.Millisecond, 1, 6400
	u.add([]job.Step{s}, time.Second)

	return u
}

// TestEvacuationBesideBurst checks what happens when one data centre is emptied for 11 s during a burst
// of filling jobs, and another one after it: nothing starts in the one that is out, the runs that are
// paced down there or on a slow worker move away, no job waits for ever, and both are used again. Paced
// runs were stuck in a data centre that was out while others took each free place.
func TestEvacuationBesideBurst(t *testing.T) {
	slowMoves := 0

	for seed := range uint64(8) {
		u := newThreeDataCentres(t, seed)
		outages := []outage{
			{"dc0", 10 * time.Second, 21 * time.Second},
			{"dc1", 26 * time.Second, 37 * time.Second},
		}

		u.speed = func(now time.Duration, w *unevenWorker) float64 {
			if w.node == "n03" && now >= 9*time.Second && now < 15*time.Second {
				return 0.125
			}

			return 1
		}

		inBurst := func() bool { return u.now >= 8*time.Second && u.now < 15*time.Second }

		each := func() {
			u.apply(outages)

			// The serving tasks in the data centre that is out get busy.
			for _, w := range u.workers {
				w.pace = 100
				if u.fleet.Out[w.dataCentre] && w.node != "n03" {
					w.pace = 0
				}
			}

			if u.now >= 45*time.Second {
				return
			}

			rate := 0.25
			if inBurst() {
				rate *= 2.6
			}

			u.arrivals(2.7, func() { u.plain("") })
			u.arrivals(rate, func() { u.filling() })
		}

		for _, o := range outages {
			u.run(o.from, each)
			u.run(o.from+time.Second, each)
			before := u.pacedRuns(o.dataCentre)
			u.run(o.from+8*time.Second, each)
			assert.Equal(t, u.startsIn(o.dataCentre, o.from, u.now), 0)
			assert.Equal(t, u.pacedRuns(o.dataCentre), 0, "seed %d: of %d in %s", seed, before, o.dataCentre)
			u.run(o.until+4*time.Second, each)
			assert.Assert(t, u.startsIn(o.dataCentre, o.until, u.now) > 0, "seed %d: %s is not used again", seed, o.dataCentre)
		}

		u.run(90*time.Second, each)
		plain, filling := u.longest(false, 0, 45*time.Second), u.longest(true, 0, 45*time.Second)
		t.Logf("seed %d: plain jobs take up to %v, filling jobs up to %v; %d moves", seed, plain, filling, len(u.moves))
		assert.Assert(t, plain < 10*time.Second, "seed %d", seed)
		assert.Assert(t, filling < 36*time.Second, "seed %d", seed)

		for _, m := range u.moves {
			if m.Reason == MoveSlow {
				slowMoves++
			}
		}
	}

	assert.Assert(t, slowMoves > 0)
}

// TestShiftOfCallers checks that jobs whose data moves from one data centre to another, as their
// callers do, run where the data is while there is room, and elsewhere beyond it, and that the jobs of
// the others are as fast: room is shared, and nobody starves.
func TestShiftOfCallers(t *testing.T) {
	for seed := range uint64(4) {
		u := newThreeDataCentres(t, seed)
		u.fleet.EnableRackWaits(remoteSlowdown)

		each := func() {
			if u.now >= 30*time.Second {
				return
			}

			// The callers of dc0 are 80% of all at first, those of dc1 from 13 s on.
			most, other := "dc0", "dc1"
			if u.now >= 13*time.Second {
				most, other = other, most
			}

			u.arrivals(20, func() { u.plain(most) })
			u.arrivals(2.5, func() { u.plain(other) })
			u.arrivals(2.5, func() { u.plain("dc2") })
		}

		u.run(60*time.Second, each)

		remote := map[bool][2]int{}

		for _, s := range u.starts {
			wanted := u.jobOf(s.job).record.Spec.Steps[0].DataRack
			if wanted == "" || s.at < 2*time.Second || (s.at >= 13*time.Second && s.at < 16*time.Second) {
				continue
			}

			crowded := (wanted == "dc0" && s.at < 13*time.Second) || (wanted == "dc1" && s.at >= 13*time.Second)
			n := remote[crowded]
			n[0]++

			if s.remote {
				n[1]++
			}

			remote[crowded] = n
		}

		longest := u.longest(false, 0, 30*time.Second)
		t.Logf("seed %d: jobs take up to %v; remote %v", seed, longest, remote)
		assert.Assert(t, longest < 10*time.Second, "seed %d: %v", seed, longest)

		c, q := remote[true], remote[false]
		assert.Assert(t, c[1] > 0 && c[1] < c[0]*3/4, "seed %d: %d of %d remote", seed, c[1], c[0])
		assert.Assert(t, q[1] < q[0]/2, "seed %d: %d of %d remote", seed, q[1], q[0])
	}
}
