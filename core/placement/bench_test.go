package placement_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"trefoildeck/core/placement"
)

// fakeCluster is a scheduler whose workers respond at once and whose batches always
// succeed, without a table.
type fakeCluster struct {
	core     *placement.Scheduler
	now      time.Time
	reports  []placement.Report
	running  []placement.AttemptID
	workerOf map[placement.AttemptID]string
	jobs     int
}

const (
	clusterDataCentres = 13
	tasksPerWorker     = 18
	benchLease         = time.Hour
)

func newFakeCluster(workers int) *fakeCluster {
	f := &fakeCluster{
		now:      time.Unix(1_000_000, 0),
		workerOf: map[placement.AttemptID]string{},
		core: placement.New(placement.Options{
			TaskLease: benchLease,
			Seed:      1,
		}),
	}

	for d := range clusterDataCentres {
		name := fmt.Sprintf("dc%d", d)
		f.core.SetDataCentre(f.now, name, false)
		f.core.TakeShard(f.now, name, 1, nil)
	}

	for n := range workers {
		f.reports = append(f.reports, placement.Report{
			Worker:     fmt.Sprintf("w%d", n),
			DataCentre: fmt.Sprintf("dc%d", n%clusterDataCentres),
			Rack:       fmt.Sprintf("r%d", n/40),
			BootID:     "b",
			Capacity: placement.Size{
				MilliCores: 64_000,
				MemoryMB:   250_000,
			},
		})
	}

	for range 10 {
		f.heartbeats()
		f.tick(nil)
	}

	return f
}

func (f *fakeCluster) heartbeats() {
	tasks := map[string][]placement.AttemptReport{}

	for id, name := range f.workerOf {
		tasks[name] = append(tasks[name], placement.AttemptReport{
			ID:    id,
			Phase: placement.PhaseRunning,
			Used:  placement.Size{MilliCores: 1000},
		})
	}

	for _, r := range f.reports {
		r.Tasks = tasks[r.Worker]
		f.core.Heartbeat(f.now, r)
	}
}

// tick runs one tick and commits its batches. It appends the time of the tick to
// took, if set, and returns the number of tasks placed.
func (f *fakeCluster) tick(took *[]time.Duration) int {
	f.now = f.now.Add(100 * time.Millisecond)
	began := time.Now()
	c := f.core.Tick(f.now)

	if took != nil {
		*took = append(*took, time.Since(began))
	}

	for _, b := range c.Batches {
		f.core.ApplyResult(b, placement.ResultWritten)
	}

	placed := 0

	for _, s := range c.Starts {
		// The scheduler repeats starts that the last heartbeats don't list.
		if _, known := f.workerOf[s.ID]; known {
			continue
		}

		placed++
		f.running = append(f.running, s.ID)
		f.workerOf[s.ID] = s.Worker
	}

	return placed
}

func (f *fakeCluster) submitTasks(tasks int) {
	for ; tasks > 0; tasks -= 2000 {
		f.jobs++
		f.core.SetJob(placement.JobSpec{
			Key:     fmt.Sprintf("j%d@1", f.jobs),
			Name:    fmt.Sprintf("j%d", f.jobs),
			Team:    fmt.Sprintf("t%d", f.jobs%510),
			Tasks:   min(tasks, 2000),
			RunTime: time.Minute,
			Size: placement.Size{
				MilliCores: int64(1000 + f.jobs%5*500),
				MemoryMB:   4000,
			},
		}, nil)
	}
}

// finishTasks ends the n oldest running tasks.
func (f *fakeCluster) finishTasks(n int) {
	for _, id := range f.running[:min(n, len(f.running))] {
		f.core.ReportEnd(f.workerOf[id], placement.End{
			ID:    id,
			Phase: placement.PhaseFinished,
		})
		delete(f.workerOf, id)
	}

	f.running = f.running[min(n, len(f.running)):]
}

// fill places tasks until the cluster runs tasksPerWorker for each worker.
func (f *fakeCluster) fill() {
	want := len(f.reports) * tasksPerWorker
	f.submitTasks(want)

	for tries := 0; len(f.running) < want && tries < 2000; tries++ {
		f.tick(nil)

		if tries%20 == 0 {
			f.heartbeats()
		}
	}
}

// BenchmarkPlacements places and finishes 1,300 tasks per second of virtual time
// and reports the time of one placement, the p99 of a tick and the heap size.
func BenchmarkPlacements(b *testing.B) {
	const perSecond = 1300

	for _, workers := range []int{170, 1700, 17_000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			f := newFakeCluster(workers)
			f.fill()

			var before runtime.MemStats

			runtime.GC()
			runtime.ReadMemStats(&before)

			var took []time.Duration

			placed := 0
			rounds := 0

			for b.Loop() {
				if rounds%10 == 0 {
					b.StopTimer()
					f.heartbeats()
					f.submitTasks(perSecond)
					f.finishTasks(perSecond)
					b.StartTimer()
				}

				placed += f.tick(&took)
				rounds++
			}

			slices.Sort(took)

			total := time.Duration(0)
			for _, d := range took {
				total += d
			}

			b.ReportMetric(float64(total.Nanoseconds())/float64(max(placed, 1)), "ns/placement")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-tick-ms")
			b.ReportMetric(float64(before.HeapAlloc)/(1<<20), "heap-MB")
			b.ReportMetric(float64(len(f.running)), "running")
		})
	}
}
