package backlog

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"trefoildeck/core/job"
)

// kind is a kind of jobs: steps one after the other, of equal tasks.
type kind struct {
	priority, steps, tasks int
	each                   time.Duration
	milliCores             int64
	stretch                float64
	target                 time.Duration
}

// The kinds of jobs of docs/design/hard-load.md, of the customer Buoy telemetry.
var (
	plain = kind{
		steps:      2,
		tasks:      10,
		each:       time.Second,
		milliCores: 540,
		stretch:    1.5,
		target:     250 * time.Millisecond,
	}
	filling = kind{
		priority:   2,
		steps:      2,
		tasks:      20,
		each:       2700 * time.Millisecond,
		milliCores: 3500,
		stretch:    2,
		target:     time.Second,
	}
)

func (k kind) path() time.Duration { return time.Duration(k.steps) * k.each }

func (k kind) objective() time.Duration {
	return time.Duration(float64(k.path())*k.stretch) + k.target
}

// work returns the work of a job.
func (k kind) work() int64 {
	return int64(k.steps*k.tasks) * k.milliCores * k.each.Milliseconds()
}

// replayed is a job of a replay.
type replayed struct {
	kind
	id       string
	account  string
	accepted time.Duration
	// step is the current step, and waiting, running and done count its tasks.
	step, waiting, running, done int
	// placed is when the last task was placed.
	placed  time.Duration
	started bool
	over    bool
	ended   time.Duration
}

func (r *replayed) inTime() bool { return r.over && r.ended-r.accepted <= r.objective() }

func (r *replayed) useful() bool {
	return r.over && r.ended-r.accepted <= UsefulObjectives*r.objective()
}

// worth is 1 for a result within the objective, and falls to 0 until the result is useless.
func (r *replayed) worth() float64 {
	if !r.over {
		return 0
	}

	objectives := float64(r.ended-r.accepted) / float64(r.objective())

	return min(1, max(0, (UsefulObjectives-objectives)/(UsefulObjectives-1)))
}

// job returns the job as package fleet describes it.
func (r *replayed) job(now time.Duration) Job {
	left := time.Duration(r.steps-r.step) * r.each
	if r.waiting == 0 {
		left -= min(r.each, now-r.placed)
	}

	return Job{
		ID:          r.id,
		Account:     r.account,
		Priority:    r.priority,
		Work:        int64(r.waiting) * r.milliCores * r.each.Milliseconds(),
		Path:        left,
		Deadline:    r.accepted + r.objective(),
		UsefulUntil: r.accepted + UsefulObjectives*r.objective(),
		Accepted:    r.accepted,
		Started:     r.started,
	}
}

// record returns the job as it is submitted.
func (r *replayed) record() *job.Record {
	rec := &job.Record{
		ID:            r.id,
		Priority:      r.priority,
		Stretch:       r.stretch,
		TargetLatency: r.target,
	}

	for i := range r.steps {
		s := job.Step{
			Count:    r.tasks,
			Size:     job.Size{MilliCores: r.milliCores},
			Estimate: r.each,
		}
		if i > 0 {
			s.After = []int{i - 1}
		}

		rec.Spec.Steps = append(rec.Spec.Steps, s)
	}

	return rec
}

// replay is a service whose workers are one pool of processor time.
type replay struct {
	free int64
	// deadlineOnly places the jobs of a priority in the order of their deadlines alone.
	deadlineOnly bool
	shares       *Shares
	random       *rand.Rand
	// inaccuracy is by which fraction a run time may differ from its estimate.
	inaccuracy float64

	now     time.Duration
	all     []*replayed
	open    []*replayed
	running []runningTask
}

type runningTask struct {
	job *replayed
	end time.Duration
}

const replayTick = 50 * time.Millisecond

func newReplay(milliCores int64) *replay {
	return &replay{
		free:   milliCores,
		shares: NewShares(),
		random: rand.New(rand.NewPCG(1, 2)),
	}
}

// submit adds a job.
func (p *replay) submit(k kind, account string) *replayed {
	r := &replayed{
		kind:     k,
		id:       fmt.Sprintf("%016x", len(p.all)),
		account:  account,
		accepted: p.now,
		waiting:  k.tasks,
	}
	p.all = append(p.all, r)
	p.open = append(p.open, r)

	return r
}

// run replays until a time. arrive submits the jobs of each tick.
func (p *replay) run(until time.Duration, arrive func()) {
	for ; p.now < until; p.now += replayTick {
		p.endTasks()
		arrive()
		p.place()
	}
}

func (p *replay) endTasks() {
	p.running = slices.DeleteFunc(p.running, func(t runningTask) bool {
		if t.end > p.now {
			return false
		}

		r := t.job
		p.free += r.milliCores
		r.running--

		if r.done++; r.done == r.tasks {
			r.step++
			r.done, r.waiting = 0, r.tasks

			if r.step == r.steps {
				r.over, r.ended, r.waiting = true, p.now, 0
			}
		}

		return true
	})
	p.open = slices.DeleteFunc(p.open, func(r *replayed) bool { return r.over })
}

func (p *replay) place() {
	jobs := make([]Job, len(p.open))
	for i, r := range p.open {
		jobs[i] = r.job(p.now)
	}

	for _, i := range p.order(jobs) {
		r := p.open[i]

		for r.waiting > 0 && p.free >= r.milliCores {
			r.waiting--
			r.running++
			r.started, r.placed = true, p.now
			p.free -= r.milliCores
			p.shares.Add(p.now, jobs[i], r.milliCores*r.each.Milliseconds())

			off := 1 + p.inaccuracy*(2*p.random.Float64()-1)
			p.running = append(p.running, runningTask{
				job: r,
				end: p.now + time.Duration(float64(r.each)*off),
			})
		}
	}
}

func (p *replay) order(jobs []Job) []int {
	if !p.deadlineOnly {
		return Order(p.now, jobs, p.shares)
	}

	order := make([]int, len(jobs))
	for i := range order {
		order[i] = i
	}

	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(jobs[a].Priority, jobs[b].Priority), cmp.Compare(jobs[a].Deadline, jobs[b].Deadline))
	})

	return order
}

// arrivals submits jobs of a kind at a rate a second, evenly spread.
type arrivals struct {
	due float64
}

func (a *arrivals) submit(p *replay, rate float64, k kind, account string) {
	for a.due += rate * replayTick.Seconds(); a.due >= 1; a.due-- {
		p.submit(k, account)
	}
}

// count returns the number of jobs accepted from one time to another, of an account or of all if it
// is "", and how many of them fulfil a condition.
func (p *replay) count(from, to time.Duration, account string, fulfils func(*replayed) bool) (jobs, n int) {
	for _, r := range p.all {
		if r.accepted < from || r.accepted >= to || (account != "" && r.account != account) {
			continue
		}

		jobs++

		if fulfils(r) {
			n++
		}
	}

	return jobs, n
}
