package coordinator

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"trefoildeck/core/fleet"
	"trefoildeck/core/gate"
	"trefoildeck/core/job"
	"trefoildeck/settings"
	"trefoildeck/standin/emulator"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

// TestSlowWorkerLogged checks that a worker that turns slow, and the moves away from it, are logged and
// counted, and that without the setting nothing is: the key would have no effect, or the part would be
// on for everyone.
func TestSlowWorkerLogged(t *testing.T) {
	for name, enabled := range map[string]bool{"Enabled": true, "Disabled": false} {
		t.Run(name, func(t *testing.T) {
			l := newTestLeader(t, emulator.NewRowStore())
			core, logs := observer.New(zap.InfoLevel)
			l.c.log = zap.New(core)
			l.fleet = fleet.New(1)
			enableScheduling(l.fleet, settings.SchedulingSection{SlowWorkers: enabled})

			runOnSlowWorker(l.fleet)
			l.logBeliefs()

			slow, moved := logs.FilterMessage("WorkerSlow").All(), logs.FilterMessage("RunMoved").All()
			assert.Equal(t, len(slow) == 1, enabled)
			assert.Equal(t, len(moved) > 0, enabled)

			var text bytes.Buffer

			l.c.meter.Set.WritePrometheus(&text)
			assert.Equal(t, strings.Contains(text.String(), "trefoildeck_workers_slow_total 1"), enabled)
			assert.Equal(t, strings.Contains(text.String(), `trefoildeck_runs_moved_total{reason="Slow"}`), enabled)

			if enabled {
				fields := slow[0].ContextMap()
				assert.Equal(t, fields["Node"], "side-1")
				assert.Equal(t, fields["Jobs"], int64(2))
				assert.Equal(t, moved[0].ContextMap()["Reason"], "Slow")
			}
		})
	}
}

// runOnSlowWorker lets the tasks of two jobs run on three workers, one of which is slow.
func runOnSlowWorker(f *fleet.Fleet) {
	nodes := []string{"side-1", "side-2", "side-3"}

	for _, n := range nodes {
		f.Report(0, n, fleet.Report{
			Full:      true,
			Described: true,
			Ready:     true,
			Service:   "orders",
			Capacity: job.Size{
				MilliCores: 1000,
				MemoryMB:   1000,
			},
		})
	}

	for _, id := range []string{"00000000000000a1", "00000000000000a2"} {
		f.Add(0, 0, job.Record{
			ID:          id,
			Service:     "orders",
			MaxAttempts: 3,
			Spec: job.Spec{Steps: []job.Step{{
				Count: 9,
				Size:  job.Size{MilliCores: 100},
			}}},
		})
	}

	var r fleet.Report

	for n, o := range f.Schedule(0, time.Time{}) {
		for i, s := range o.Starts {
			if n == nodes[0] {
				r.Runs = append(r.Runs, gate.Run{
					Task:            s.Task,
					Attempt:         s.Attempt,
					ProgressPercent: 30,
					OrderKnown:      true,
					Confirmed:       true,
				})

				continue
			}

			f.Report(time.Second, n, fleet.Report{Ends: []gate.EndEvent{{End: gate.End{
				Number:  int64(i + 1),
				Task:    s.Task,
				Attempt: s.Attempt,
				Reason:  gate.Done,
			}}}})
		}
	}

	now := 3 * time.Second
	f.Report(now, nodes[0], r)
	f.Schedule(now, time.Time{})
}
