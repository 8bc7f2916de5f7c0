package backlog

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	burstStart = 20 * time.Second
	burstEnd   = burstStart + 7*time.Second
	second     = time.Second
)

// TestBurstOfFillingJobs replays a burst of large filling jobs, of 2.6 times the rate for 7 s, on
// workers that the usual rate uses by 95%. In the order of the deadlines alone, the queue
// makes all jobs after the burst late, although the workers could serve nearly all of them.
func TestBurstOfFillingJobs(t *testing.T) {
	const rate = 1.9

	play := func(deadlineOnly bool) (jobs, inTime int) {
		p := newReplay(int64(rate * float64(filling.work()) / 1000 / 0.95))
		p.deadlineOnly = deadlineOnly

		var a arrivals

		p.run(2*time.Minute, func() {
			r := rate
			if p.now >= burstStart && p.now < burstEnd {
				r *= 2.6
			}

			a.submit(p, r, filling, "a")
		})

		return p.count(burstEnd, time.Minute, "", (*replayed).inTime)
	}

	jobs, inTime := play(true)
	assert.Equal(t, inTime, 0, "of %d jobs, by deadline", jobs)

	jobs, inTime = play(false)
	assert.Assert(t, inTime >= jobs/2, "%d of %d jobs in time", inTime, jobs)
}

// TestBurstOfUrgentJobs replays a burst of urgent jobs, of 2.1 times the rate for 4 s, beside
// filling jobs that use all that is left. Urgent jobs must not wait for filling ones, nor filling
// ones be late for good afterwards.
func TestBurstOfUrgentJobs(t *testing.T) {
	p := newReplay(900_000)

	var a, b arrivals

	p.run(2*time.Minute, func() {
		r := 11.8
		if p.now >= burstStart && p.now < burstStart+4*second {
			r *= 2.1
		}

		a.submit(p, r, plain, "a")
		b.submit(p, 1.8, filling, "a")
	})

	late := func(k kind) func(*replayed) bool {
		return func(r *replayed) bool { return r.priority == k.priority && !r.inTime() }
	}

	_, n := p.count(0, 110*second, "", late(plain))
	assert.Equal(t, n, 0, "urgent jobs are late")

	_, n = p.count(time.Minute, 100*second, "", late(filling))
	assert.Equal(t, n, 0, "filling jobs are late after the burst")
}

// TestUnevenAccounts replays two accounts, one of which submits 20 times as much as the other and
// one and a half times as much as can be done. The jobs of the small one waited in the queue of the
// large one.
func TestUnevenAccounts(t *testing.T) {
	play := func(deadlineOnly bool) (jobs, inTime int) {
		p := newReplay(int64(2 * float64(filling.work()) / 1000))
		p.deadlineOnly = deadlineOnly

		var a, b arrivals

		p.run(2*time.Minute, func() {
			a.submit(p, 3, filling, "large")
			b.submit(p, 3.0/20, filling, "small")
		})

		return p.count(burstStart, time.Minute, "small", (*replayed).inTime)
	}

	jobs, inTime := play(true)
	assert.Assert(t, inTime < jobs, "by deadline: %d of %d jobs of the small account in time", inTime, jobs)

	jobs, inTime = play(false)
	assert.Equal(t, inTime, jobs, "jobs of the small account in time")
}

// TestNoTurnsForMoreJobs checks that an account gets no more service by splitting its work into
// more jobs.
func TestNoTurnsForMoreJobs(t *testing.T) {
	split := filling
	split.tasks /= 10

	p := newReplay(int64(2 * float64(filling.work()) / 1000))

	p.run(time.Minute, func() {
		for _, r := range []struct {
			kind
			account string
			waiting int
		}{{filling, "whole", 10}, {split, "split", 100}} {
			n := 0

			for _, o := range p.open {
				if o.account == r.account {
					n++
				}
			}

			for ; n < r.waiting; n++ {
				p.submit(r.kind, r.account)
			}
		}
	})

	whole, parts := p.shares.Received(p.now, "whole"), p.shares.Received(p.now, "split")
	assert.Assert(t, parts < 1.1*whole && whole < 1.1*parts, "%g and %g", whole, parts)
}

// TestOrder checks the order of a few jobs. The names of the jobs are in the order wanted.
func TestOrder(t *testing.T) {
	base := Job{
		Work:        1000,
		Path:        second,
		Deadline:    10 * second,
		UsefulUntil: 30 * second,
	}
	with := func(id string, change func(*Job)) Job {
		j := base
		j.ID = id
		change(&j)

		return j
	}

	tests := map[string]struct {
		now  time.Duration
		jobs []Job
	}{
		"Priority": {0, []Job{
			with("2", func(j *Job) { j.Priority = 2; j.Deadline = 5 * second }),
			with("1", func(*Job) {}),
		}},
		"LatestStart": {0, []Job{
			with("2", func(j *Job) { j.Deadline = 9 * second }),
			with("1", func(j *Job) { j.Path = 3 * second }),
		}},
		// A job that can't end in time gives way to one that can.
		"TooLate": {12 * second, []Job{
			with("2", func(*Job) {}),
			with("3", func(j *Job) { j.Path = 29 * second }),
			with("1", func(j *Job) { j.Deadline = 40 * second; j.Accepted = second }),
		}},
		// A started job may have less left than its estimate says.
		"Started": {29500 * time.Millisecond, []Job{
			with("2", func(j *Job) { j.Deadline = 9 * second }),
			with("1", func(j *Job) { j.Started = true; j.Accepted = second }),
		}},
		"Lasting": {time.Hour, []Job{
			with("2", func(j *Job) { j.Accepted = second }),
			with("1", func(j *Job) { j.Lasting = true; j.Accepted = second }),
		}},
		// A job without waiting tasks takes no turn.
		"Idle": {0, []Job{
			with("2", func(j *Job) { j.Work = 0; j.Deadline = 2 * second }),
			with("1", func(*Job) {}),
		}},
		"Accounts": {0, []Job{
			with("1", func(j *Job) { j.Account = "a"; j.Deadline = 3 * second }),
			with("3", func(j *Job) { j.Account = "a"; j.Deadline = 4 * second }),
			with("2", func(j *Job) { j.Account = "b" }),
		}},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			order := Order(c.now, c.jobs, NewShares())
			assert.Equal(t, len(order), len(c.jobs))

			for i, k := range order {
				assert.Equal(t, c.jobs[k].ID, fmt.Sprint(i+1), "%v", order)
			}
		})
	}
}

// TestNothingStarves replays permanent overload, of twice what can be done, in which new jobs that
// can still end in time would always come before those that can't. Each eighth turn is that of the
// job that has waited longest: the number of such jobs that end in a time is an eighth of all.
func TestNothingStarves(t *testing.T) {
	p := newReplay(int64(2 * float64(filling.work()) / 1000))
	first := p.submit(filling, "a")
	// It is too late from the start, and behind all others.
	first.accepted = -time.Hour

	var a arrivals

	p.run(5*time.Minute, func() { a.submit(p, 4, filling, "a") })

	assert.Assert(t, first.over && first.ended < time.Minute, "the oldest job ended at %s", first.ended)

	_, over := p.count(0, p.now, "", func(r *replayed) bool { return r.over })
	_, old := p.count(0, p.now, "", func(r *replayed) bool { return r.over && !r.useful() })
	assert.Assert(t, old >= over/10, "%d of %d jobs that ended had waited longest", old, over)
	assert.Assert(t, old <= over/5, "%d of %d jobs that ended had waited longest", old, over)

	// The jobs that had waited longest ended in the order of their acceptance.
	for i, r := range p.all[:old] {
		assert.Assert(t, r.over, "job %d of the oldest %d has not ended", i, old)
	}
}

// TestOldestWithoutRoom replays the overload of TestNothingStarves with jobs that have waited longest and
// find no room at all. Large ones took the turns of all other jobs that had waited long. Small ones never
// used theirs up, so that jobs were served in the order of their acceptance, and too late.
func TestOldestWithoutRoom(t *testing.T) {
	for name, each := range map[string]time.Duration{
		"Large": filling.each,
		"Small": time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			p := newReplay(int64(2 * float64(filling.work()) / 1000))

			stuck := filling
			stuck.milliCores, stuck.each = 10*p.free, each

			for range 3 {
				p.submit(stuck, "a").accepted = -time.Hour
			}

			var a arrivals

			p.run(3*time.Minute, func() { a.submit(p, 4, filling, "a") })

			_, over := p.count(0, p.now, "", func(r *replayed) bool { return r.over })
			_, old := p.count(0, p.now, "", func(r *replayed) bool { return r.over && !r.useful() })
			assert.Assert(t, old >= over/10, "%d of %d jobs that ended had waited longest", old, over)
			assert.Assert(t, old <= over/5, "%d of %d jobs that ended had waited longest", old, over)
		})
	}
}

// TestSharesBounded guards against memory that grows with the accounts that were ever seen, and checks that
// tasks without an estimate take turns.
func TestSharesBounded(t *testing.T) {
	s := NewShares()

	for i := range 10 * maxIdleAccounts {
		// The service of an account has decayed when that of the next ones is recorded.
		s.Add(time.Duration(i)*time.Second, Job{Account: fmt.Sprint(i)}, 0)
	}

	assert.Assert(t, len(s.accounts) <= maxIdleAccounts, "%d", len(s.accounts))

	s.Add(time.Hour, Job{Account: "a"}, 0)
	assert.Equal(t, s.Received(time.Hour, "a"), 1.0)
}

// TestInaccurateEstimates replays a burst of filling jobs on workers that are asked for a tenth more
// than they can do, with run times that differ by up to 90% from their estimates. Jobs of which half
// was done were set aside when, by their estimates, they could no longer end in time.
func TestInaccurateEstimates(t *testing.T) {
	const rate = 1.9

	play := func(deadlineOnly bool) float64 {
		p := newReplay(int64(rate * float64(filling.work()) / 1000 / 1.1))
		p.deadlineOnly = deadlineOnly
		p.inaccuracy = 0.9

		var a arrivals

		p.run(3*time.Minute, func() {
			r := rate
			if p.now >= burstStart && p.now < burstEnd {
				r *= 2.6
			}

			a.submit(p, r, filling, "a")
		})

		sum := 0.0
		for _, r := range p.all {
			sum += r.worth()
		}

		return sum
	}

	before, after := play(true), play(false)
	assert.Assert(t, after >= 1.5*before, "worth %g, by deadline %g", after, before)
}

// BenchmarkOrder measures one call of Order, by the number of jobs.
func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		for _, accounts := range []int{1, 100} {
			b.Run(fmt.Sprintf("Jobs%d/Accounts%d", n, accounts), func(b *testing.B) {
				jobs := make([]Job, n)

				for i := range jobs {
					// The multiplier spreads the deadlines.
					at := time.Duration(i*7919%n) * 20 * time.Second / time.Duration(n)
					jobs[i] = Job{
						ID:          fmt.Sprintf("%016x", i),
						Account:     fmt.Sprint(i % accounts),
						Priority:    i % 2 * 2,
						Work:        1000,
						Path:        second,
						Deadline:    at,
						UsefulUntil: at + 5*second,
						Accepted:    at - 5*second,
					}
				}

				s := NewShares()

				for b.Loop() {
					Order(10*second, jobs, s)
				}
			})
		}
	}
}
