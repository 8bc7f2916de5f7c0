package fleet

import (
	"fmt"
	"testing"
	"time"

	"trefoildeck/core/backlog"
	"trefoildeck/core/gate"
	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

// onlyLoad returns the load of the only service.
func onlyLoad(t *testing.T, f *Fleet, now time.Duration) *backlog.Load {
	t.Helper()

	loads := f.Loads(now)
	assert.Equal(t, len(loads), 1)
	assert.Equal(t, loads[0].Service, "orders")

	return loads[0]
}

// TestLoadsUnknown checks that a new leader says nothing of the load before it knows what runs:
// entries refused jobs although all workers were idle.
func TestLoadsUnknown(t *testing.T) {
	f := New(2)
	f.Report(0, "n1", described("n1"))
	assert.Equal(t, len(f.Loads(0)), 0)

	f.AwaitReports(0, []string{"n1", "n2"}, nil, nil)
	assert.Equal(t, len(f.Loads(0)), 0)

	f.Report(0, "n2", described("n2"))
	assert.Equal(t, len(f.Loads(0)), 1)
}

// TestLoads checks what a load says of workers and jobs.
func TestLoads(t *testing.T) {
	f := fairFleet()
	f.AwaitReports(0, nil, nil, nil)

	big := described("n2")
	big.Capacity.MemoryMB = 20_000
	f.Report(0, "n2", big)

	// Workers that run no tasks may be back before a job is too late.
	away := described("n3")
	away.Capacity.MilliCores = 9000
	away.Ready = false
	f.Report(0, "n3", away)

	second := step(1)
	second.After = []int{0}

	labelled := step(1)
	labelled.Requires = "none"

	lasting := step(1)
	lasting.LongRunning = true

	r := inQueue("large", jobA, step(6), second)
	r.Priority = 1
	assert.Assert(t, f.Add(0, 0, r))
	assert.Assert(t, f.Add(0, 0, inQueue("small", jobB, step(3))))
	assert.Assert(t, f.Add(0, 0, inQueue("small", "00000000000000c1", labelled)))
	assert.Assert(t, f.Add(0, 0, inQueue("small", "00000000000000c2", lasting)))
	f.Schedule(0, time.Time{})

	l := onlyLoad(t, f, 200*time.Millisecond)
	assert.Equal(t, l.MilliCores, int64(8000))
	assert.Equal(t, l.FreeMilliCores, int64(0))
	assert.Equal(t, l.Largest, job.Size{
		MilliCores: 9000,
		MemoryMB:   20_000,
	})

	// Of eight cores, a lasting task takes one, the urgent job three and the other one four.
	assert.Equal(t, len(l.Priorities), 2)
	assert.Equal(t, l.Priorities[0].Running, int64(3*1000*800))
	assert.Equal(t, l.Priorities[1].Running, int64(4*1000*800))
	// What runs on no worker is not ahead of other jobs.
	assert.Equal(t, len(l.Priorities[0].Accounts), 0)
	assert.Equal(t, len(l.Priorities[0].Kinds), 0)

	// Two tasks of the first step wait, and the second step for them.
	assert.Equal(t, len(l.Priorities[1].Accounts), 1)
	assert.Equal(t, l.Priorities[1].Accounts[0].Account, "large.example")
	assert.DeepEqual(t, l.Priorities[1].Kinds, []uint32{backlog.KindOf(&job.Step{})})

	var waiting int64
	for _, w := range l.Priorities[1].Accounts[0].Waiting {
		waiting += w
	}

	assert.Equal(t, waiting, int64(3*1000*1000))

	// Its objective is 3 s, so that it starts within 1 s to end in time, and is useful for 9 s.
	l = onlyLoad(t, f, 2*time.Second)
	assert.Equal(t, l.Priorities[1].Accounts[0].Useful, waiting)

	l = onlyLoad(t, f, 10*time.Second)
	assert.Assert(t, l.Priorities[1].Accounts[0].Late > 0)
	assert.Equal(t, len(l.Priorities[1].Kinds), 0)
}

// TestRateOfWork checks the rate at which work is done while more waits: four cores' worth on a
// worker of four cores.
func TestRateOfWork(t *testing.T) {
	const period = 250 * time.Millisecond

	f := fairFleet()
	f.AwaitReports(0, nil, nil, nil)

	running := []gate.StartOrder{}
	now := time.Duration(0)

	for n := 0; now < 20*time.Second; now += period {
		for len(f.open) < 8 {
			r := inQueue("large", fmt.Sprintf("%016x", n), step(2))
			r.TargetLatency = time.Minute
			assert.Assert(t, f.Add(now, 0, r))

			n++
		}

		if now%time.Second == 0 {
			for _, o := range running {
				f.RecordEnd(now, "n1", gate.End{
					Number:  1,
					Task:    o.Task,
					Attempt: o.Attempt,
					Reason:  gate.Done,
				})
			}

			running = starts(f.Schedule(now, time.Time{}))["n1"]
			assert.Equal(t, len(running), 4)
		}

		l := onlyLoad(t, f, now)
		if now < 4*time.Second {
			assert.Equal(t, l.Priorities[0].Rate, int64(0))
		}
	}

	rate := onlyLoad(t, f, now).Priorities[0].Rate
	assert.Assert(t, rate >= 3500 && rate <= 4500, "%d", rate)
}

// ratesOfServices updates the rates of a number of services with 4 priorities for 8 s, and returns the
// loads and the time of the fastest update.
func ratesOfServices(services int) (map[string]*backlog.Load, time.Duration) {
	const period = 250 * time.Millisecond

	f := fairFleet()
	loads, waits := map[string]*backlog.Load{}, map[rateKey]bool{}
	fastest := time.Hour

	for now := time.Duration(0); now < 8*time.Second; now += period {
		for i := range services {
			name := fmt.Sprint(i)
			loads[name] = &backlog.Load{MilliCores: 1}

			for p := range 4 {
				k := rateKey{
					service:  name,
					priority: p,
				}
				waits[k], f.work.done[k] = true, int64(100*i+p)*period.Milliseconds()
			}
		}

		began := time.Now()
		f.updateRates(now, loads, waits)
		fastest = min(fastest, time.Since(began))
	}

	return loads, fastest
}

// TestRatesOfManyServices checks that the rate of a priority counts the work of this and more urgent
// priorities of its service and no other, and guards against a cost that grows with the square of the
// number of services: 1,000 of them took more than a quarter of a second, which is the time between two
// updates.
func TestRatesOfManyServices(t *testing.T) {
	_, few := ratesOfServices(50)
	loads, many := ratesOfServices(800)

	for i := range 800 {
		rate, want := loads[fmt.Sprint(i)].Priority(2).Rate, int64(300*i+3)
		assert.Assert(t, rate >= want-1 && rate <= want+1, "service %d: %d, not %d", i, rate, want)
	}

	// 16 times as many services take 16 times as long, and took 256 times as long.
	assert.Assert(t, many < 64*few, "50 services take %s, 800 take %s", few, many)
}
