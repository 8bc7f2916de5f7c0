package speed_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"trefoildeck/core/job"
	"trefoildeck/core/speed"
)

const (
	// tick is the resolution of the simulated time.
	tick = 20 * time.Millisecond
	// reportPeriod is the time between two reports of an agent, and listPeriod the longest time
	// between two listings of its worker.
	reportPeriod = time.Second
	listPeriod   = time.Second
	// delay is the time that an order or an end takes.
	delay = 20 * time.Millisecond
	slots = 40
)

// load is a kind of jobs that arrive at random.
type load struct {
	// perSecond is the number of jobs a second for ten workers.
	perSecond float64
	// twoSteps is the probability that a job has a second step.
	twoSteps float64
	tasks    int
	duration time.Duration
	fills    bool
}

// The loads of the page docs/design/hard-load.md, for ten of the 52 workers.
var (
	plainJobs = load{
		perSecond: 2.3,
		twoSteps:  0.6,
		tasks:     10,
		duration:  time.Second,
	}
	fillingJobs = load{
		perSecond: 0.37,
		twoSteps:  1,
		tasks:     20,
		duration:  2700 * time.Millisecond,
		fills:     true,
	}
)

// simWorker is a worker with its agent.
type simWorker struct {
	name string
	runs []*simRun
	// listed and reported are the times of the last listing and the last report.
	listed, reported time.Duration
	// pace limits the filling tasks.
	pace float64
}

// simRun is a run. Its progress is its work divided by its duration.
type simRun struct {
	id             job.TaskID
	step           speed.Step
	begins         time.Duration
	work, duration time.Duration
	// listed and reported are the percents of the last listing and the last report.
	listed, reported int
	ends             time.Duration
	fills            bool
}

// cluster simulates workers, their agents and a leader that places tasks by room and by what the
// tracker says.
type cluster struct {
	random  *rand.Rand
	now     time.Duration
	tracker *speed.Tracker
	workers []*simWorker
	loads   []load
	// speed is the speed of a worker at a time, and pace that of its filling tasks besides.
	speed, pace func(now time.Duration, worker int) float64
	jobs        int
	waiting     []waitingTask

	changes []timedChange
	// started has the starts by worker and second.
	started map[int]map[int]int
}

type waitingTask struct {
	id       job.TaskID
	duration time.Duration
	fills    bool
}

type timedChange struct {
	speed.Change
	at time.Duration
}

func newCluster(seed uint64, workers int, loads ...load) *cluster {
	c := &cluster{
		random:  rand.New(rand.NewPCG(seed, 1)),
		tracker: speed.New(),
		loads:   loads,
		started: map[int]map[int]int{},
	}
	even := func(time.Duration, int) float64 { return 1 }
	c.speed, c.pace = even, even

	for i := range workers {
		c.workers = append(c.workers, &simWorker{
			name:     "n" + strconv.Itoa(i),
			reported: -time.Duration(c.random.Int64N(int64(reportPeriod))),
			pace:     1,
		})
	}

	return c
}

// varied returns a duration with the variance of the tasks of a step.
func (c *cluster) varied(d time.Duration) time.Duration {
	return time.Duration(float64(d) * math.Exp(0.3*c.random.NormFloat64()))
}

func (c *cluster) run(until time.Duration) {
	for ; c.now < until; c.now += tick {
		for _, l := range c.loads {
			if c.random.Float64() < l.perSecond*tick.Seconds()*float64(len(c.workers))/10 {
				c.submit(l)
			}
		}

		for i, w := range c.workers {
			c.advance(i, w)
		}

		c.place()

		if c.now%(100*time.Millisecond) == 0 {
			for _, change := range c.tracker.Judge(c.now) {
				c.changes = append(c.changes, timedChange{
					Change: change,
					at:     c.now,
				})
			}
		}
	}
}

// submit adds a job, whose steps don't wait for each other. Its duration differs from that of others by
// as much as estimates do.
func (c *cluster) submit(l load) {
	c.jobs++

	steps := 1
	if c.random.Float64() < l.twoSteps {
		steps = 2
	}

	for s := range steps {
		typical := time.Duration(float64(l.duration) * (0.1 + 1.8*c.random.Float64()))

		for k := range l.tasks {
			c.waiting = append(c.waiting, waitingTask{
				id: job.TaskID{
					Job:   strconv.Itoa(c.jobs),
					Step:  s,
					Index: k,
				},
				duration: c.varied(typical),
				fills:    l.fills,
			})
		}
	}
}

// place gives each task to the worker with the fewest runs, and to one to avoid only if the others
// are full.
func (c *cluster) place() {
	for len(c.waiting) > 0 {
		best, bestLoad := -1, 0

		for i, w := range c.workers {
			n := len(w.runs)
			if n >= slots {
				continue
			}

			if c.tracker.Avoid(w.name) {
				n += 1000
			}

			if best < 0 || n < bestLoad {
				best, bestLoad = i, n
			}
		}

		if best < 0 {
			return
		}

		c.start(best, c.waiting[0])
		c.waiting = c.waiting[1:]
	}
}

func (c *cluster) start(worker int, t waitingTask) {
	w := c.workers[worker]
	r := &simRun{
		id:       t.id,
		step:     stepOf(t.id),
		begins:   c.now + delay,
		duration: t.duration,
		reported: -1,
		fills:    t.fills,
	}
	w.runs = append(w.runs, r)

	if c.started[worker] == nil {
		c.started[worker] = map[int]int{}
	}

	c.started[worker][int(c.now/time.Second)]++

	c.tracker.Start(c.now, speed.Start{
		Node:   w.name,
		Task:   t.id,
		Step:   r.step,
		Fresh:  true,
		Limits: c.limits(w, r),
	})
}

func stepOf(id job.TaskID) speed.Step {
	return speed.Step{
		Job:   id.Job,
		Index: id.Step,
	}
}

func (c *cluster) limits(w *simWorker, r *simRun) speed.Limits {
	l := speed.FullSpeed
	if r.fills {
		l.Pace = w.pace
	}

	return l
}

func (c *cluster) reading(w *simWorker, r *simRun) speed.Reading {
	p := speed.Reading{
		Percent: r.listed,
		Limits:  c.limits(w, r),
		Age:     listPeriod + 200*time.Millisecond,
	}

	if c.paced() {
		// The worker is listed more often while serving tasks run.
		p.Age = 700 * time.Millisecond
	}

	return p
}

// paced reports whether filling tasks may be paced.
func (c *cluster) paced() bool { return c.pace(-1, 0) != 1 }

// setPace sets the pace of filling tasks, which is reported at once if it has changed. It takes effect
// in the next tick.
func (c *cluster) setPace(w *simWorker, pace float64) {
	if pace == w.pace {
		return
	}

	w.pace = pace

	for _, r := range w.runs {
		if r.fills {
			c.tracker.Limit(c.now, r.id, c.limits(w, r))
		}
	}
}

// advance lets the runs of a worker work for one tick, and its agent list and report them.
func (c *cluster) advance(i int, w *simWorker) {
	v := c.speed(c.now, i)
	c.setPace(w, c.pace(c.now, i))

	kept := w.runs[:0]
	ended := false

	for _, r := range w.runs {
		if c.now >= r.begins && r.ends == 0 {
			rate := v
			if r.fills {
				rate *= w.pace
			}

			r.work += time.Duration(float64(tick) * rate)
		}

		if r.ends == 0 && r.work >= r.duration {
			r.ends = c.now + delay
			ended = true
		}

		if r.ends > 0 && c.now >= r.ends {
			c.tracker.End(c.now, r.id, true)

			continue
		}

		kept = append(kept, r)
	}

	w.runs = kept

	period := listPeriod
	if c.paced() {
		period /= 2
	}

	if ended || c.now >= w.listed+period {
		w.listed = c.now

		for _, r := range w.runs {
			r.listed = int(100 * r.work / r.duration)
		}
	}

	if c.now >= w.reported+reportPeriod {
		w.reported = c.now
		c.report(w)
	}
}

// report reports the runs whose percent has changed.
func (c *cluster) report(w *simWorker) {
	for _, r := range w.runs {
		if r.listed != r.reported && c.now > r.begins && r.ends == 0 {
			r.reported = r.listed
			c.tracker.Observe(c.now, w.name, r.step, r.id, c.reading(w, r))
		}
	}
}
