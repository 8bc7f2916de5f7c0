package fleet

import (
	"fmt"
	"testing"
	"time"

	"trefoildeck/core/backlog"
	"trefoildeck/core/gate"
	"trefoildeck/core/interference"
	"trefoildeck/core/job"
)

// newCrowdedFleet returns a fleet of workers of 32 cores with more serving, filling
// and ordinary tasks than they have room for.
func newCrowdedFleet(workers, waiting int) *Fleet {
	f := New(1)

	for i := range workers {
		r := described(fmt.Sprintf("n%d", i))
		r.Capacity = job.Size{
			MilliCores: 32_000,
			MemoryMB:   125_000,
		}
		f.Report(0, fmt.Sprintf("n%d", i), r)
	}

	estimates := map[interference.Pair]interference.Estimate{}

	for a := range 10 {
		for b := range 10 {
			estimates[interference.Pair{
				Filling: fmt.Sprintf("f%d", a),
				Serving: fmt.Sprintf("s%d", b),
			}] = interference.Estimate{
				Factor: float64(a),
				Weight: 3,
			}
		}
	}

	f.Interference.Put("n0", estimates)

	for i := range workers {
		f.Add(0, 0, record(fmt.Sprintf("%016x", i), job.Step{
			Count: 4,
			Size: job.Size{
				MilliCores: 6500,
				MemoryMB:   13_000,
			},
			LongRunning:   true,
			Image:         fmt.Sprintf("s%d", i%10),
			TargetLatency: 150 * time.Millisecond,
		}))
	}

	for i := range waiting {
		f.Add(0, 0, record(fmt.Sprintf("%016x", workers+2*i), job.Step{
			Count: 20,
			Size: job.Size{
				MilliCores: 3500,
				MemoryMB:   6500,
			},
			Estimate:      1700 * time.Millisecond,
			Image:         fmt.Sprintf("f%d", i%10),
			Fills:         true,
			Checkpointing: true,
		}))
		f.Add(0, 0, record(fmt.Sprintf("%016x", workers+2*i+1), job.Step{
			Count:    10,
			Size:     job.Size{MilliCores: 550},
			Estimate: 640 * time.Millisecond,
		}))
	}

	return f
}

// BenchmarkSchedule measures one call of Schedule after the end of one task, by the
// number of workers and of waiting jobs of each of two kinds, and by the order.
func BenchmarkSchedule(b *testing.B) {
	for _, workers := range []int{11, 51, 300} {
		for _, waiting := range []int{10, 100} {
			for _, o := range []backlog.Policy{backlog.ByDeadline, backlog.Fair} {
				b.Run(fmt.Sprintf("Workers%d/Waiting%d/%s", workers, waiting, o), func(b *testing.B) {
					f := newCrowdedFleet(workers, waiting*workers/11)
					f.Order = o
					benchmarkSchedule(b, f)
				})
			}
		}
	}
}

// BenchmarkLookAhead measures the same as BenchmarkSchedule with and without look-ahead, with 16
// further jobs waiting whose tasks need the room of several others.
func BenchmarkLookAhead(b *testing.B) {
	for _, workers := range []int{11, 51, 300} {
		for _, waiting := range []int{10, 100} {
			for _, mode := range []string{"Off", "On"} {
				b.Run(fmt.Sprintf("Workers%d/Waiting%d/%s", workers, waiting, mode), func(b *testing.B) {
					f := newCrowdedFleet(workers, waiting*workers/11)
					f.LookAhead = mode == "On"

					for i := range 16 {
						f.Add(0, 0, record(fmt.Sprintf("%016x", 1_000_000+i), job.Step{
							Count: 2,
							Size: job.Size{
								MilliCores: 3000 + int64(100*i),
								MemoryMB:   3000,
							},
							Estimate: 2 * time.Second,
						}))
					}

					benchmarkSchedule(b, f)

					if f.LookAhead {
						b.ReportMetric(float64(len(f.ahead.made))/float64(b.N), "reservations/pass")
					}
				})
			}
		}
	}
}

// benchmarkSchedule measures a pass after the end of one task of a fleet.
func benchmarkSchedule(b *testing.B, f *Fleet) {
	b.Helper()

	running := []startedRun{}
	now := time.Second

	collect := func(orders map[string]*Orders) {
		for n, o := range orders {
			for _, s := range o.Starts {
				if s.Target == 0 {
					running = append(running, startedRun{
						node:  n,
						order: s,
					})
				}
			}
		}
	}
	collect(f.Schedule(now, time.Time{}))

	b.ResetTimer()

	for i := range b.N {
		now += time.Millisecond
		if len(running) > 0 {
			r := running[0]
			running = running[1:]
			f.RecordEnd(now, r.node, gate.End{
				Number:  int64(i),
				Task:    r.order.Task,
				Attempt: r.order.Attempt,
				Reason:  gate.Stopped,
			})
		}

		collect(f.Schedule(now, time.Time{}))
	}
}

// startedRun is a start that was ordered on a node.
type startedRun struct {
	node  string
	order gate.StartOrder
}

// BenchmarkProgress measures a report with the progress of 40 runs of a worker.
func BenchmarkProgress(b *testing.B) {
	f := New(1)
	r := described("n1")
	r.Capacity.MilliCores = 40_000
	f.Report(0, "n1", r)
	f.Add(0, 0, record(jobA, step(40)))
	f.Schedule(0, time.Time{})

	runs := make([]gate.Run, 40)
	for i := range runs {
		runs[i] = gate.Run{
			Task: job.TaskID{
				Job:   jobA,
				Index: i,
			},
			Attempt:    1,
			Confirmed:  true,
			OrderKnown: true,
		}
	}

	now := time.Second

	for b.Loop() {
		now += time.Second
		for i := range runs {
			runs[i].ProgressPercent = (runs[i].ProgressPercent + 1) % 100
		}

		f.Report(now, "n1", Report{Runs: runs})
	}
}
