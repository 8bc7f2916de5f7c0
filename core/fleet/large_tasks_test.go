package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

const (
	loadWorkers = 52
	loadStep    = 10 * time.Millisecond
	// servingShare is the share of the workers' processor time that the serving jobs ask for.
	servingShare = 0.7
	// plainRate is the number of plain jobs a second, which use most of the rest.
	plainRate = 60
)

// loadEnd is the expected end of a run of a load.
type loadEnd struct {
	at      time.Duration
	node    string
	attempt int
}

// mixedLoad plays serving jobs, which are cancelled after 70 s on average, and plain jobs on the
// workers of a deployment. Run times differ from their estimates by up to 90%.
type mixedLoad struct {
	f      *Fleet
	random *rand.Rand
	now    time.Duration
	jobs   int
	ends   map[job.TaskID]loadEnd
	number int64

	// cancels has the times at which serving jobs are cancelled, and serving is their size in
	// millicores.
	cancels map[string]time.Duration
	serving int64
	// plain is the number of plain jobs that are due, left that of their tasks that have not
	// ended, and began the time of their submission.
	plain float64
	left  map[string]int
	began map[string]time.Duration

	// waited is the time for which serving tasks waited, in core-seconds, and responses the sum
	// of the response times of the plain jobs that are done.
	waited    float64
	responses time.Duration
	done      int
}

func newMixedLoad(seed uint64, enabled bool) *mixedLoad {
	l := &mixedLoad{
		f:       New(1),
		random:  rand.New(rand.NewPCG(seed, seed)),
		ends:    map[job.TaskID]loadEnd{},
		cancels: map[string]time.Duration{},
		left:    map[string]int{},
		began:   map[string]time.Duration{},
	}
	l.f.LookAhead = enabled

	for i := range loadWorkers {
		node := fmt.Sprintf("n%02d", i)
		r := described(node)
		r.Capacity = job.Size{
			MilliCores: 32_000,
			MemoryMB:   125_000,
		}
		l.f.Report(0, node, r)
	}

	return l
}

func (l *mixedLoad) submit(s job.Step) string {
	l.jobs++
	r := record(fmt.Sprintf("%016x", l.jobs), s)
	r.TargetLatency = 250 * time.Millisecond
	l.f.Add(l.now, 0, r)

	return r.ID
}

func (l *mixedLoad) submitJobs() {
	for l.serving < servingShare*loadWorkers*32_000 {
		s := job.Step{
			Count: 14,
			Size: job.Size{
				MilliCores: 3200 + l.random.Int64N(6400),
				MemoryMB:   4000,
			},
			LongRunning:   true,
			TargetLatency: 150 * time.Millisecond,
			Image:         fmt.Sprintf("s%d", l.random.IntN(10)),
			AntiAffinity:  l.random.IntN(2),
		}
		l.cancels[l.submit(s)] = l.now + time.Duration(l.random.ExpFloat64()*70*float64(time.Second))
		l.serving += 14 * s.Size.MilliCores
	}

	for l.plain += plainRate * loadStep.Seconds(); l.plain >= 1; l.plain-- {
		id := l.submit(job.Step{
			Count: 10,
			Size: job.Size{
				MilliCores: 200 + l.random.Int64N(700),
				MemoryMB:   500,
			},
			Estimate: time.Duration(200+l.random.IntN(1600)) * time.Millisecond,
		})
		l.left[id], l.began[id] = 10, l.now
	}
}

func (l *mixedLoad) end(id job.TaskID, reason gate.EndReason) {
	e := l.ends[id]
	delete(l.ends, id)

	l.number++
	l.f.RecordEnd(l.now, e.node, gate.End{
		Number:  l.number,
		Task:    id,
		Attempt: e.attempt,
		Reason:  reason,
	})
}

// endTasks ends the tasks whose time has come, in a fixed order.
func (l *mixedLoad) endTasks() {
	for id, at := range l.cancels {
		if at <= l.now {
			l.serving -= 14 * l.f.jobs[id].record.Spec.Steps[0].Size.MilliCores
			l.f.Cancel(id)
			delete(l.cancels, id)
		}
	}

	var due []job.TaskID

	for id, e := range l.ends {
		if (e.at > 0 && e.at <= l.now) || (e.at == 0 && l.f.jobs[id.Job].state.Final()) {
			due = append(due, id)
		}
	}

	slices.SortFunc(due, func(a, b job.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})

	for _, id := range due {
		if l.ends[id].at == 0 {
			l.end(id, gate.Stopped)

			continue
		}

		l.end(id, gate.Done)

		if l.left[id.Job]--; l.left[id.Job] == 0 {
			l.responses += l.now - l.began[id.Job]
			l.done++
		}
	}
}

func (l *mixedLoad) play(until time.Duration) {
	for l.now = loadStep; l.now < until; l.now += loadStep {
		l.submitJobs()
		l.endTasks()

		orders := l.f.Schedule(l.now, time.Time{})
		for _, n := range slices.Sorted(maps.Keys(orders)) {
			for _, s := range orders[n].Starts {
				e := loadEnd{
					node:    n,
					attempt: s.Attempt,
				}
				if s.Target == 0 {
					e.at = l.now + time.Duration(float64(s.Estimate)*(0.1+1.8*l.random.Float64()))
				}

				l.ends[s.Task] = e
			}
		}

		for id := range l.cancels {
			s := &l.f.jobs[id].steps[0]
			l.waited += float64(int64(s.waiting)*s.spec.Size.MilliCores) / 1000 * loadStep.Seconds()
		}
	}
}

// TestLargeAmongSmall guards against serving tasks that wait long beside plain tasks, and against
// plain jobs that pay for it. The load is of the kinds of Buoy telemetry (docs/design/hard-load.md),
// with more plain jobs. It logs both with and without look-ahead.
func TestLargeAmongSmall(t *testing.T) {
	var waited, response [2]float64

	for i, enabled := range []bool{false, true} {
		l := newMixedLoad(1, enabled)
		l.play(time.Minute)

		waited[i] = l.waited
		response[i] = l.responses.Seconds() / float64(l.done)
		t.Logf("look-ahead %t: serving tasks waited %.0f core-seconds, plain jobs took %.3f s on average, %d reservations",
			enabled, waited[i], response[i], len(l.f.Reservations()))
	}

	assert.Assert(t, waited[1] < waited[0]/2, "%.0f and %.0f core-seconds", waited[0], waited[1])
	assert.Assert(t, response[1] < response[0]*1.05, "%.3f and %.3f s", response[0], response[1])
}
