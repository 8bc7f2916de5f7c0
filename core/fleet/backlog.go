package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"trefoildeck/core/backlog"
	"trefoildeck/core/job"
)

// workDone measures the rate at which work is done.
type workDone struct {
	rates map[rateKey]*backlog.Rate
	// done is the work that was done since the last call of Loads.
	done map[rateKey]int64
}

func newWorkDone() workDone {
	return workDone{
		rates: map[rateKey]*backlog.Rate{},
		done:  map[rateKey]int64{},
	}
}

// rateKey names the work of a priority of a service.
type rateKey struct {
	service  string
	priority int
}

func keyOf(j *jobInfo) rateKey {
	return rateKey{
		service:  j.record.Service,
		priority: j.record.Priority,
	}
}

// recordDone records that a task was done. Without the order backlog.Fair, nothing is refused for the
// work ahead of it.
func (f *Fleet) recordDone(j *jobInfo, s *stepInfo) {
	if f.Order != backlog.Fair {
		return
	}

	f.work.done[keyOf(j)] = backlog.Sum(f.work.done[keyOf(j)], backlog.Work(s.spec, 1, s.spec.RunTime()))
}

// Loads returns the work that each service has to do, by which entries judge submissions. It
// returns nil as long as that is not known: until all nodes have reported that may run tasks of the
// previous leader. It is called at regular intervals of at most a second.
func (f *Fleet) Loads(now time.Duration) []*backlog.Load {
	if !f.nodesKnown || len(f.unreported) > 0 || len(f.idle) > 0 {
		clear(f.work.done)

		return nil
	}

	loads := map[string]*backlog.Load{}
	labels := map[string]map[string]job.Size{}

	for _, w := range f.sortedWorkers {
		if loads[w.service] == nil {
			loads[w.service] = &backlog.Load{Service: w.service}
			labels[w.service] = map[string]job.Size{}
		}

		l := loads[w.service]
		// A worker that is away now may be back before a job is too late.
		l.Largest = largest(l.Largest, w.capacity)

		if !w.connected || !w.ready || f.Out[w.dataCentre] {
			continue
		}

		l.MilliCores += w.capacity.MilliCores
		l.FreeMilliCores += max(0, w.capacity.MilliCores-w.used.MilliCores)

		for _, name := range append([]string{""}, w.labels...) {
			labels[w.service][name] = largest(labels[w.service][name], w.capacity)
		}
	}

	waits := map[rateKey]bool{}

	for _, j := range f.open {
		if l := loads[j.record.Service]; l != nil && j.expires && !j.state.Final() {
			waits[keyOf(j)] = f.addLoad(now, l, j, labels[j.record.Service]) || waits[keyOf(j)]
		}
	}

	f.updateRates(now, loads, waits)

	return slices.SortedFunc(maps.Values(loads), func(a, b *backlog.Load) int {
		return cmp.Compare(a.Service, b.Service)
	})
}

// addLoad adds the work of a job to the load of its service. labels has the largest amounts of each
// resource among the workers with a label. It reports whether tasks wait that could run if there
// were room.
func (f *Fleet) addLoad(now time.Duration, l *backlog.Load, j *jobInfo, labels map[string]job.Size) bool {
	var waiting int64

	p := l.Priority(j.record.Priority)
	described := f.orderedJob(now, j)
	room := false

	for i := range j.steps {
		s := &j.steps[i]
		active := len(s.tasks) - s.done - s.waiting

		p.AddRunning(backlog.Work(s.spec, active, s.spec.RunTime()-(now-s.lastStarted)))

		if s.waiting == 0 || !labels[s.spec.Requires].CanFit(countedSize(s.spec)) {
			continue
		}

		waiting = backlog.Sum(waiting, backlog.Work(s.spec, s.waiting, s.spec.RunTime()))

		if described.Waits(now) && f.stepReady(j, i) {
			room = true

			p.AddKind(backlog.KindOf(s.spec))
		}
	}

	p.AddWaiting(now, described, waiting)

	return room
}

// updateRates updates the rates at which work is done and adds them to the loads.
func (f *Fleet) updateRates(now time.Duration, loads map[string]*backlog.Load, waits map[rateKey]bool) {
	for k := range f.work.done {
		if f.work.rates[k] == nil {
			f.work.rates[k] = &backlog.Rate{}
		}
	}

	keys := slices.SortedFunc(maps.Keys(f.work.rates), func(a, b rateKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.priority, b.priority))
	})

	// done is the work of the priorities of a service up to that of the key.
	var done int64

	for i, k := range keys {
		if i > 0 && keys[i-1].service != k.service {
			done = 0
		}

		done = backlog.Sum(done, f.work.done[k])

		l := loads[k.service]
		if l == nil {
			continue
		}

		r := f.work.rates[k]
		r.Update(now, done, waits[k] && l.MilliCores > 0)
		l.Priority(k.priority).Rate = r.MilliCores(now)
	}

	clear(f.work.done)
}

// largest returns the larger amount of each resource.
func largest(a, b job.Size) job.Size {
	return job.Size{
		MilliCores:   max(a.MilliCores, b.MilliCores),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
