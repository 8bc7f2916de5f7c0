package backlog

import (
	"fmt"
	"math"
	"testing"
	"time"

	"trefoildeck/core/config"
	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

// load returns the load of a replay, as package fleet computes it, of which r measures the rate of
// filling work.
func (p *replay) load(milliCores int64, r *Rate) *Load {
	l := &Load{
		At:         p.now,
		MilliCores: milliCores,
		Largest:    job.Size{MilliCores: 32_000},
	}

	for _, o := range p.open {
		q := l.Priority(o.priority)
		j := o.job(p.now)
		steps := int64(o.steps-o.step-1)*int64(o.tasks) + int64(o.waiting)

		q.AddWaiting(p.now, j, steps*o.milliCores*o.each.Milliseconds())
		if o.waiting > 0 {
			q.AddKind(KindOf(&o.record().Spec.Steps[0]))
		}

		q.AddRunning(int64(o.running) * o.milliCores * max(0, o.each-(p.now-o.placed)).Milliseconds())
	}

	l.Priority(filling.priority).Rate = r.MilliCores(p.now)

	return l
}

// TestAdmissionUnderOverload replays an overload of three times what can be done. Without admission,
// most jobs end too late to be useful, or never. With it, these are refused at once, and most of the
// others end while useful: in all about as many.
func TestAdmissionUnderOverload(t *testing.T) {
	const milliCores = 800_000

	play := func(admission bool) (submitted, admitted, useful int) {
		p := newReplay(milliCores)

		var (
			a arrivals
			r Rate
		)

		p.run(3*time.Minute, func() {
			if p.now%(250*time.Millisecond) == 0 {
				// The pool does what it has room for, since more always waits.
				r.Update(p.now, milliCores*250, p.now > 0)
			}

			for a.due += 6 * replayTick.Seconds(); a.due >= 1; a.due-- {
				submitted++

				o := &replayed{kind: filling}
				if l := p.load(milliCores, &r); admission && !l.Admit(p.now, o.record(), "a").Admit {
					continue
				}

				p.submit(filling, "a")
			}
		})

		admitted, useful = p.count(0, 2*time.Minute, "", (*replayed).useful)

		return submitted, admitted, useful
	}

	_, all, before := play(false)
	_, admitted, after := play(true)

	assert.Assert(t, before < all/2, "%d of %d jobs useful without admission", before, all)
	assert.Assert(t, admitted < all, "nothing was refused")
	assert.Assert(t, after >= before*9/10, "%d jobs useful, without admission %d", after, before)
	assert.Assert(t, after >= admitted/2, "%d of %d admitted jobs useful", after, admitted)
}

// waitingKind is the kind of the tasks that submitted has.
var waitingKind = KindOf(&job.Step{})

// submitted returns the record of a filling job of the replays.
func submitted() *job.Record { return (&replayed{kind: filling}).record() }

// TestAdmit checks which submissions are refused. The limit of a filling job, the longest wait after
// which it can end while useful, is 3 times 11.8 s less 5.4 s.
func TestAdmit(t *testing.T) {
	const limit = 30 * second

	objective := filling.objective()
	// ahead is the load of a service of 100 cores with work of an account that takes a time.
	ahead := func(account string, took time.Duration) *Load {
		l := &Load{
			MilliCores: 100_000,
			Largest: job.Size{
				MilliCores: 32_000,
				MemoryMB:   1000,
			},
		}
		l.Priority(2).AddWaiting(0, Job{
			Account:     account,
			Deadline:    second,
			UsefulUntil: time.Hour,
		}, 100_000*took.Milliseconds())
		l.Priority(2).AddKind(waitingKind)

		return l
	}

	// What was done recently would take 58 s.
	slow, free := ahead("a", 29*second), ahead("a", 29*second)
	slow.Priority(2).Rate, free.Priority(2).Rate = 50_000, 50_000
	free.FreeMilliCores = free.MilliCores

	// Jobs that can only end after their objectives are not ahead of one that starts in time for its own,
	// by 6.4 s from now.
	withUseful := func(took time.Duration) *Load {
		l := ahead("a", took)
		l.Priority(2).AddWaiting(0, Job{
			Account:     "a",
			Deadline:    -second,
			UsefulUntil: time.Hour,
		}, 100_000*time.Hour.Milliseconds())

		return l
	}

	filled := ahead("a", time.Hour)
	filled.FreeMilliCores = filled.MilliCores
	filled.Priority(2).AddKind(KindOf(&job.Step{
		Fills: true,
		Image: "f1",
	}))

	// fill makes the tasks of a job filling tasks of an image.
	fill := func(image string) func(*job.Record) {
		return func(r *job.Record) {
			for i := range r.Spec.Steps {
				r.Spec.Steps[i].Fills, r.Spec.Steps[i].Image = true, image
			}
		}
	}

	overloaded := Verdict{
		RetryAfter: MaxRetryAfter,
		Reason:     Overload,
		Wait:       time.Hour,
		Limit:      limit,
	}

	tests := map[string]struct {
		load   *Load
		now    time.Duration
		change func(*job.Record)
		want   Verdict
	}{
		"Idle":   {ahead("a", 0), 0, nil, Verdict{Admit: true}},
		"InTime": {ahead("a", limit-second), 0, nil, Verdict{Admit: true}},
		"Overload": {ahead("a", limit+1500*time.Millisecond), 0, nil, Verdict{
			RetryAfter: 2 * second,
			Reason:     Overload,
			Wait:       limit + 1500*time.Millisecond,
			Limit:      limit,
		}},
		"LongOverload": {ahead("a", time.Hour), 0, nil, overloaded},
		"Slow": {slow, 0, nil, Verdict{
			RetryAfter: 28 * second,
			Reason:     Overload,
			Wait:       58 * second,
			Limit:      limit,
		}},
		// What waits has no use for the free workers, but the job may have.
		"FreeWorkers": {free, 0, nil, Verdict{Admit: true}},
		// Free processor time doesn't mean room for a filling task.
		"FillingImage":      {filled, 0, fill("f1"), overloaded},
		"OtherFillingImage": {filled, 0, fill("f2"), Verdict{Admit: true}},
		"OtherLabel": {ahead("a", time.Hour), 0, func(r *job.Record) {
			r.Spec.Steps[0].Requires, r.Spec.Steps[1].Requires = "x", "x"
		}, Verdict{Admit: true}},
		// Since the load was received, some of the work has been done.
		"Aged":     {ahead("a", limit+second), 1500 * time.Millisecond, nil, Verdict{Admit: true}},
		"LateWork": {withUseful(6 * second), 0, nil, Verdict{Admit: true}},
		"LateWorkAfter": {withUseful(8 * second), 0, nil, Verdict{
			RetryAfter: 2 * second,
			Reason:     Overload,
			Wait:       time.Hour + 8*second,
			Limit:      limit,
		}},
		"LateWorkAged": {withUseful(7 * second), 700 * time.Millisecond, nil, Verdict{Admit: true}},
		"Old":          {ahead("a", time.Hour), MaxLoadAge + 1, nil, Verdict{Admit: true}},
		// The account of the job has nothing waiting, so that its turn comes next.
		"OtherAccount": {ahead("b", time.Hour), 0, nil, Verdict{Admit: true}},
		"MoreUrgent":   {ahead("a", time.Hour), 0, func(r *job.Record) { r.Priority = 0 }, Verdict{Admit: true}},
		"Lasting":      {ahead("a", time.Hour), 0, func(r *job.Record) { r.Spec.Steps[0].LongRunning = true }, Verdict{Admit: true}},
		"Repeated":     {ahead("a", time.Hour), 0, func(r *job.Record) { r.Spec.Repeat = 2 }, Verdict{Admit: true}},
		// No load can be the cause of it.
		"NeverUseful": {ahead("a", time.Hour), 0, func(r *job.Record) { r.Stretch = 0; r.TargetLatency = 0 }, Verdict{Admit: true}},
		"TooLarge": {ahead("a", 0), 0, func(r *job.Record) { r.Spec.Steps[1].Size.MilliCores = 32_001 }, Verdict{
			RetryAfter: MaxRetryAfter,
			Reason:     TooLarge,
		}},
		"TooLargeLasting": {ahead("a", 0), 0, func(r *job.Record) {
			r.Spec.Steps[0].LongRunning, r.Spec.Steps[0].Size.MemoryMB = true, 1001
		}, Verdict{
			RetryAfter: MaxRetryAfter,
			Reason:     TooLarge,
		}},
		// A filling task runs on any worker, if slowly.
		"LargeFilling": {ahead("a", 0), 0, func(r *job.Record) {
			r.Spec.Steps[1].Fills, r.Spec.Steps[1].Size.MilliCores = true, 32_001
		}, Verdict{Admit: true}},
		"NoWorkerKnown": {&Load{}, 0, nil, Verdict{Admit: true}},
		// Sums of such work and times don't overflow.
		"Endless": {ahead("a", limit+second), 0, func(r *job.Record) {
			r.Spec.Steps[0].Estimate, r.Spec.Steps[1].Estimate = math.MaxInt64, math.MaxInt64
		}, Verdict{Admit: true}},
	}

	assert.Equal(t, limit, UsefulObjectives*objective-filling.path())

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			r := submitted()
			if c.change != nil {
				c.change(r)
			}

			assert.Equal(t, c.load.Admit(c.now, r, "a"), c.want)
		})
	}
}

// TestRetryAfter checks that a refused job is admitted after the time that the refusal names, and
// not a second earlier, as the work ahead is done.
func TestRetryAfter(t *testing.T) {
	for took := 31 * second; took < time.Minute; took += 700 * time.Millisecond {
		load := func(after time.Duration) *Load {
			l := &Load{MilliCores: 1000}
			l.Priority(2).AddKind(waitingKind)
			l.Priority(2).AddRunning(1000 * (took - after).Milliseconds())

			return l
		}

		v := load(0).Admit(0, submitted(), "a")
		assert.Assert(t, !v.Admit)

		if v.RetryAfter == MaxRetryAfter {
			continue
		}

		assert.Assert(t, load(v.RetryAfter).Admit(0, submitted(), "a").Admit, "%s after %s", took, v.RetryAfter)
		assert.Assert(t, !load(v.RetryAfter-second).Admit(0, submitted(), "a").Admit, "%s after %s", took, v.RetryAfter-second)
	}
}

// TestLargeJobRefusesNoOthers checks that a job at the limits of the protocol, whose work takes
// hours, doesn't have jobs refused that come before it.
func TestLargeJobRefusesNoOthers(t *testing.T) {
	large := submitted()
	large.Spec.Steps = []job.Step{{
		Count:    job.MaxTasks,
		Size:     job.Size{MilliCores: 32_000},
		Estimate: time.Hour,
	}}

	l := &Load{MilliCores: 100_000}
	l.Priority(2).AddKind(waitingKind)
	l.Add(0, large, "a")
	assert.Equal(t, l.Admit(0, submitted(), "a"), Verdict{Admit: true})

	// Nor when it is late.
	l = &Load{MilliCores: 100_000}
	l.Priority(2).AddKind(waitingKind)
	l.Priority(2).AddWaiting(0, Job{
		Account:  "a",
		Path:     time.Hour,
		Deadline: time.Minute,
	}, 1<<40)
	assert.Equal(t, l.Admit(0, submitted(), "a"), Verdict{Admit: true})

	// Jobs of a less urgent priority have to wait for it in any case.
	less := submitted()
	less.Priority = 3
	assert.Equal(t, l.Admit(0, less, "a").Reason, Overload)
}

// TestAdded checks that the jobs that an entry has accepted since the last load count, so that a
// burst within the period of the loads is not accepted as a whole.
func TestAdded(t *testing.T) {
	l := &Load{MilliCores: 100_000}
	l.Priority(2).AddKind(waitingKind)

	n := 0

	for ; n < 1000 && l.Admit(0, submitted(), "a").Admit; n++ {
		l.Add(0, submitted(), "a")
	}

	// The jobs before it take the time that the last one may wait: 30 s on 100 cores.
	assert.Equal(t, n, int(math.Ceil(float64(30*100_000*1000)/float64(filling.work()))))
}

// TestRate checks that the rate is that of times in which work waits, and unknown before.
func TestRate(t *testing.T) {
	const period = 250 * time.Millisecond

	var r Rate

	for now := time.Duration(0); now < time.Minute; now += period {
		r.Update(now, 10, false)
		assert.Equal(t, r.MilliCores(now), int64(0))
	}

	now := time.Minute
	for ; now < 2*time.Minute; now += period {
		// 250 millicore-milliseconds in 250 ms.
		r.Update(now, 250, true)
	}

	assert.Equal(t, r.MilliCores(now), int64(1))

	// An idle time leaves the rate as it was, until it is forgotten.
	r.Update(now+4*second, 0, false)
	assert.Equal(t, r.MilliCores(now+4*second), int64(1))
	// Nor does a time without updates count, such as that of a new leader that awaits reports.
	r.Update(now+6*second, 0, true)
	assert.Equal(t, r.MilliCores(now+4*second), int64(1))
	r.Update(now+time.Minute, 0, false)
	assert.Equal(t, r.MilliCores(now+time.Minute), int64(0))
}

// TestShorten checks that the accounts with the least work are dropped.
func TestShorten(t *testing.T) {
	l := &Load{}
	for k := range 2 * maxKinds {
		l.Priority(k % 2).AddKind(uint32(k))
	}

	for i, name := range []string{"a", "b", "c", "d"} {
		l.Priority(i%2).AddWaiting(0, Job{Account: name}, int64(100*(i+1)))
	}

	l.Shorten(4)
	assert.Equal(t, len(l.Priorities[0].Kinds)+len(l.Priorities[1].Kinds), maxKinds)
	assert.Equal(t, len(l.Priorities[0].Accounts)+len(l.Priorities[1].Accounts), 4)
	l.Shorten(1)
	assert.Equal(t, len(l.Priorities[0].Accounts), 0)
	assert.Equal(t, l.Priorities[1].Accounts[0].Account, "d")
}

// TestShortenEqualAccounts guards against a load without any account, by which nothing is refused, when
// many accounts have the same work.
func TestShortenEqualAccounts(t *testing.T) {
	l := &Load{}
	for i := range 100 {
		l.Priority(i%2).AddWaiting(0, Job{Account: fmt.Sprintf("%03d", i)}, 100)
	}

	l.Priority(1).AddWaiting(0, Job{Account: "099"}, 100)
	l.Shorten(10)
	assert.Equal(t, len(l.Priorities[0].Accounts)+len(l.Priorities[1].Accounts), 10)

	last := l.Priorities[1].Accounts[len(l.Priorities[1].Accounts)-1]
	assert.Equal(t, last.Account, "099")
}

// TestChanged checks which changes are worth a message.
func TestChanged(t *testing.T) {
	load := func(work int64) *Load {
		l := &Load{MilliCores: 1000}
		l.Priority(0).AddRunning(work)

		return l
	}

	assert.Assert(t, load(0).Changed(nil))
	assert.Assert(t, !load(0).Changed(load(0)))
	assert.Assert(t, !load(1050).Changed(load(1000)))
	assert.Assert(t, load(1200).Changed(load(1000)))
	assert.Assert(t, load(0).Changed(load(1000)))
}

// TestAccountOf checks the account of a queue, also of one that has left the configuration.
func TestAccountOf(t *testing.T) {
	c := &config.Configuration{Queues: []config.Queue{{
		Name: "r-1",
		Host: "tints.example",
	}}}

	assert.Equal(t, AccountOf(c, "r-1"), "tints.example")
	assert.Equal(t, AccountOf(c, "r-2"), "r-2")
	assert.Equal(t, AccountOf(nil, "r-1"), "r-1")
}
