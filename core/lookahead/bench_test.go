package lookahead

import (
	"fmt"
	"testing"
	"time"

	"trefoildeck/core/job"
)

// benchRuns is the number of runs on a worker of the benchmarks, as on the users' workers of 32
// cores.
const benchRuns = 40

// fillRuns overwrites list with those runs of a worker that are expected to end before a time, or
// with all if that is 0.
func fillRuns(list []Run, now, before time.Duration, worker int) []Run {
	list = list[:0]

	for i := range benchRuns {
		started := now - time.Duration((worker*7+i*13)%1000)*time.Millisecond

		end := ExpectedEnd(now, started, Reading{At: started}, Reading{}, 1200*time.Millisecond)
		if before > 0 && end >= before {
			continue
		}

		list = append(list, Run{
			Size: job.Size{
				MilliCores: 500,
				MemoryMB:   1000,
			},
			Fills: i%4 == 0,
			End:   end,
		})
	}

	return list
}

// BenchmarkEarliestFit measures the search for the worker where a task fits earliest, by the number
// of workers.
func BenchmarkEarliestFit(b *testing.B) {
	for _, workers := range []int{1700, 17_000} {
		b.Run(fmt.Sprintf("Workers%d", workers), func(b *testing.B) {
			var list []Run

			now := time.Hour
			need := job.Size{
				MilliCores: 6400,
				MemoryMB:   13_000,
			}

			for b.Loop() {
				best := time.Duration(0)

				for w := range workers {
					list = fillRuns(list, now, best, w)
					if fit, ok := EarliestFit(now, job.Size{}, list, need, false); ok && (best == 0 || fit.At < best) {
						best = fit.At
					}
				}
			}

			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*workers), "ns/worker")
		})
	}
}

// BenchmarkAllows measures the question whether a task may use a worker, for all workers of a
// deployment and a full plan.
func BenchmarkAllows(b *testing.B) {
	for _, workers := range []int{1700, 17_000} {
		b.Run(fmt.Sprintf("Workers%d", workers), func(b *testing.B) {
			var p Plan

			names := make([]string, workers)
			for i := range names {
				names[i] = fmt.Sprintf("side-%d", i)
			}

			for i := range MaxReservations {
				p.Reserve(Reservation{
					Step: Step{Job: fmt.Sprintf("%016x", i)},
					Node: names[i*workers/MaxReservations],
					Need: cores(6),
					Made: time.Hour,
					At:   time.Hour + time.Second,
				})
			}

			claim := Claim{
				Step: Step{Job: "small"},
				Size: cores(1),
				End:  time.Hour + 2*time.Second,
			}

			for b.Loop() {
				for _, n := range names {
					p.Allows(n, cores(6), claim)
				}
			}

			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*workers), "ns/worker")
		})
	}
}

// BenchmarkPlan measures what a pass does for a full plan, whatever the number of workers: it
// looks for reservations that have lapsed and computes the room of each worker anew.
func BenchmarkPlan(b *testing.B) {
	var (
		p    Plan
		list []Run
	)

	now := time.Hour

	for i := range MaxReservations {
		p.Reserve(Reservation{
			Step: Step{Job: fmt.Sprintf("%016x", i)},
			Node: fmt.Sprintf("side-%d", i),
			Need: cores(6),
			Made: now,
			At:   now + time.Second,
		})
	}

	for b.Loop() {
		p.Expire(now)
		p.BeginPass()

		for _, r := range p.Reservations() {
			list = fillRuns(list, now, 0, 1)
			fit, _ := EarliestFit(now, job.Size{}, list, r.Need, r.Fills)
			p.Advance(r.Node, fit.At)
			RoomAt(r.At, job.Size{}, list, r.Fills)
		}
	}
}
