package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

const (
	unevenTick = 20 * time.Millisecond
	// unevenDelay is the time that an order or an end takes, and unevenStop that of a stop.
	unevenDelay = 20 * time.Millisecond
	unevenStop  = 900 * time.Millisecond
	// remoteSlowdown is how much longer a task takes outside the rack of its data.
	remoteSlowdown = 2
)

// unevenWorld simulates workers with their agents for one fleet, and a load on them.
type unevenWorld struct {
	t       *testing.T
	random  *rand.Rand
	fleet   *Fleet
	now     time.Duration
	workers []*unevenWorker
	// speed is the speed of a worker at a time.
	speed func(now time.Duration, w *unevenWorker) float64
	jobs  []*unevenJob
	moves []Move
	// starts has each start.
	starts []unevenStart
}

type unevenWorker struct {
	node, dataCentre string
	labels           []string
	milliCores       int64
	runs             []*unevenRun
	ends             int64
	// pace is that of the filling tasks in percent.
	pace, reportedPace int
	reported           time.Duration
}

type unevenRun struct {
	order    gate.StartOrder
	begins   time.Duration
	work     time.Duration
	duration time.Duration
	stopAt   time.Duration
	// listed is the percent of the last report.
	listed int
}

type unevenStart struct {
	at   time.Duration
	node string
	job  string
	// remote means that the worker is outside the rack of the task's data.
	remote bool
}

// unevenJob is a job with the actual durations of its steps' tasks.
type unevenJob struct {
	record         job.Record
	durations      []time.Duration
	added, takenBy time.Duration
}

func newUnevenWorld(t *testing.T, seed uint64) *unevenWorld {
	t.Helper()

	return &unevenWorld{
		t:      t,
		random: rand.New(rand.NewPCG(seed, 2)),
		fleet:  New(1),
		speed:  func(time.Duration, *unevenWorker) float64 { return 1 },
	}
}

// addWorkers adds workers of 32 cores in a data centre.
func (u *unevenWorld) addWorkers(n int, dataCentre string, labels ...string) {
	for range n {
		w := &unevenWorker{
			node:       fmt.Sprintf("n%02d", len(u.workers)),
			dataCentre: dataCentre,
			labels:     labels,
			milliCores: 32_000,
			pace:       100,

			reportedPace: 100,
			reported:     -time.Duration(u.random.Int64N(int64(time.Second))),
		}
		u.workers = append(u.workers, w)
		u.fleet.Report(0, w.node, w.report(true))
	}
}

func (w *unevenWorker) report(described bool) Report {
	return Report{
		Full:        described,
		DataCentre:  w.dataCentre,
		Described:   described,
		Incarnation: incarnation(w.node),
		Ready:       true,
		Service:     "orders",
		Labels:      w.labels,
		Capacity: job.Size{
			MilliCores: w.milliCores,
			MemoryMB:   125_000,
		},
	}
}

// add adds a job with a duration for the tasks of each step. The estimates are off by up to 90%.
func (u *unevenWorld) add(steps []job.Step, durations ...time.Duration) *unevenJob {
	for i := range steps {
		steps[i].Estimate = time.Duration(float64(durations[i]) * (0.1 + 1.8*u.random.Float64()))
	}

	j := &unevenJob{
		record:    record(fmt.Sprintf("%016x", len(u.jobs)+1), steps...),
		durations: durations,
		added:     u.now,
	}
	j.record.TargetLatency = 250 * time.Millisecond
	u.jobs = append(u.jobs, j)
	u.fleet.Add(u.now, 0, j.record)

	return j
}

// arrivals adds jobs at random with a mean number a second.
func (u *unevenWorld) arrivals(perSecond float64, add func()) {
	if u.random.Float64() < perSecond*unevenTick.Seconds() {
		add()
	}
}

// plain adds a plain job, and filling a filling one, as on the page docs/design/hard-load.md.
func (u *unevenWorld) plain(rack string) *unevenJob {
	s := step(10)
	s.Size.MilliCores, s.DataRack = 540, rack

	return u.add([]job.Step{s}, time.Second)
}

func (u *unevenWorld) filling() *unevenJob {
	s := step(20)
	s.Size.MilliCores, s.Fills, s.Checkpointing, s.Image = 3500, true, true, "batch"
	second := s
	second.After = []int{0}

	return u.add([]job.Step{s, second}, 2700*time.Millisecond, 2700*time.Millisecond)
}

// run lets time pass; each is called once a tick.
func (u *unevenWorld) run(until time.Duration, each func()) {
	for ; u.now < until; u.now += unevenTick {
		each()

		for _, w := range u.workers {
			u.advance(w)
		}

		orders := u.fleet.Schedule(u.now, time.Time{})
		for _, node := range slices.Sorted(maps.Keys(orders)) {
			u.obey(node, orders[node])
		}

		u.moves = append(u.moves, u.fleet.Moves()...)

		for _, j := range u.jobs {
			if j.takenBy == 0 && u.fleet.jobs[j.record.ID].state == job.Succeeded {
				j.takenBy = u.now - j.added
			}
		}
	}
}

func (u *unevenWorld) worker(node string) *unevenWorker {
	return u.workers[slices.IndexFunc(u.workers, func(w *unevenWorker) bool { return w.node == node })]
}

// jobOf returns the job with an ID, which is its number from 1.
func (u *unevenWorld) jobOf(id string) *unevenJob {
	n, err := strconv.ParseInt(id, 16, 64)
	assert.NilError(u.t, err)

	return u.jobs[n-1]
}

func (u *unevenWorld) obey(node string, o *Orders) {
	w := u.worker(node)

	for _, s := range o.Starts {
		j := u.jobOf(s.Task.Job)
		r := &unevenRun{
			order:    s,
			begins:   u.now + unevenDelay,
			duration: time.Duration(float64(j.durations[s.Task.Step]) * math.Exp(0.3*u.random.NormFloat64())),
		}
		rack := j.record.Spec.Steps[s.Task.Step].DataRack
		remote := rack != "" && !slices.Contains(w.labels, rack)

		if remote {
			r.duration *= remoteSlowdown
		}

		if percent, err := strconv.Atoi(s.Checkpoint); err == nil {
			r.work = r.duration * time.Duration(percent) / 100
		}

		r.listed = r.percent()
		w.runs = append(w.runs, r)
		u.starts = append(u.starts, unevenStart{
			at:     u.now,
			node:   node,
			job:    s.Task.Job,
			remote: remote,
		})
	}

	for _, s := range o.Stops {
		for _, r := range w.runs {
			if r.order.Task == s.Task && r.order.Attempt == s.Attempt && r.stopAt == 0 {
				r.stopAt = u.now + unevenStop
			}
		}
	}
}

func (r *unevenRun) percent() int { return min(100, int(100*r.work/r.duration)) }

// checkpoint returns the last checkpoint: one for each tenth of a task.
func (r *unevenRun) checkpoint() string {
	if percent := r.percent() / 10 * 10; r.order.Fills && percent > 0 {
		return strconv.Itoa(percent)
	}

	return ""
}

// advance lets the runs of a worker work for a tick, and reports ends and progress.
func (u *unevenWorld) advance(w *unevenWorker) {
	v := u.speed(u.now, w)
	report := w.report(false)
	kept := w.runs[:0]

	for _, r := range w.runs {
		if u.now >= r.begins {
			r.proceed(v, w.pace)
		}

		if reason := r.endReason(u.now); reason != "" {
			report.Ends = append(report.Ends, w.end(r, reason))
		} else {
			kept = append(kept, r)
		}
	}

	w.runs = kept
	report.Runs = u.progress(w)

	if len(report.Ends)+len(report.Runs) > 0 {
		u.fleet.Report(u.now, w.node, report)
	}
}

func (r *unevenRun) proceed(speed float64, pace int) {
	switch {
	case r.order.Target > 0:
	case r.order.Fills:
		r.work += time.Duration(float64(unevenTick) * speed * float64(pace) / 100)
	default:
		r.work += time.Duration(float64(unevenTick) * speed)
	}
}

// endReason returns why a run ends now, or nothing.
func (r *unevenRun) endReason(now time.Duration) gate.EndReason {
	switch {
	case r.order.Target == 0 && r.work >= r.duration:
		return gate.Done
	case r.stopAt > 0 && now >= r.stopAt:
		return gate.Stopped
	default:
		return ""
	}
}

func (w *unevenWorker) end(r *unevenRun, reason gate.EndReason) gate.EndEvent {
	w.ends++

	return gate.EndEvent{
		End: gate.End{
			Number:     w.ends,
			Task:       r.order.Task,
			Attempt:    r.order.Attempt,
			Reason:     reason,
			Checkpoint: r.checkpoint(),
		},
		Incarnation: incarnation(w.node),
	}
}

// progress returns the runs to report: each second those whose percent has changed and the serving
// ones, and the filling ones when their pace changes.
func (u *unevenWorld) progress(w *unevenWorker) []gate.Run {
	period, paced := u.now >= w.reported+time.Second, w.pace != w.reportedPace
	if !period && !paced {
		return nil
	}

	if period {
		w.reported = u.now
	}

	w.reportedPace = w.pace

	var runs []gate.Run

	for _, r := range w.runs {
		if p := r.percent(); u.now > r.begins && (p != r.listed || r.order.Target > 0 || (paced && r.order.Fills)) {
			r.listed = p
			runs = append(runs, w.list(r))
		}
	}

	return runs
}

func (w *unevenWorker) list(r *unevenRun) gate.Run {
	pace := 100
	if r.order.Fills {
		pace = w.pace
	}

	g := gate.Run{
		Task:            r.order.Task,
		Attempt:         r.order.Attempt,
		Checkpoint:      r.checkpoint(),
		ProgressPercent: r.percent(),
		PacePercent:     pace,
		OrderKnown:      true,
		Confirmed:       true,
	}

	if r.order.Target > 0 {
		// The serving tasks leave headroom, unless filling tasks are paced down for them.
		g.ProgressPercent = 100
		g.Measurement = r.order.Target.Milliseconds() * int64(220-2*w.pace) / 200
	}

	return g
}

// startsOn returns the number of starts on a worker in a time.
func (u *unevenWorld) startsOn(from, until time.Duration, node string) int {
	n := 0

	for _, s := range u.starts {
		if s.at >= from && s.at < until && s.node == node {
			n++
		}
	}

	return n
}

// times returns the times that the jobs that were added within a time took, in order. Each must have
// ended.
func (u *unevenWorld) times(from, until time.Duration) []time.Duration {
	var times []time.Duration

	for _, j := range u.jobs {
		if j.added >= from && j.added < until {
			assert.Assert(u.t, j.takenBy > 0, "job %s, added at %v, has not ended", j.record.ID, j.added)
			times = append(times, j.takenBy)
		}
	}

	slices.SortFunc(times, cmp.Compare)

	return times
}
