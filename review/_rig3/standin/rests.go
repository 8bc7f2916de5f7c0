package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

const (
	lastingCPU = 13000
	lastingMem = 26000
	workerCPU  = 64000
	// greyTime is how long the worker fails all that it starts; the site file has up to 6.5 s.
	greyTime = 1500 * time.Millisecond
)

// rests: a job that lasts has a task on each of 11 workers (anti_affinity 1). One worker fails all that it
// starts for 1.5 s, the task that lasts among it. Rule LOST: for 3 s, from 6 s after its last run, in calm of
// 7 s, such a task must not wait while there is room for it twice over.
func rests(d *deployment, trouble bool) bool {
	const bad = 4

	var grey atomic.Bool

	lasting := ""
	workers := newWorkers(11, workerCPU, 256000, func(w *worker) func(string, int) (time.Duration, string) {
		return func(task string, _ int) (time.Duration, string) {
			switch {
			case grey.Load() && w == d.workers[bad]:
				return 200 * time.Millisecond, "failed"
			case jobOf(task) == lasting:
				return 0, ""
			case strings.HasPrefix(task, "b"):
				return 5 * time.Second, "done"
			default:
				return 300 * time.Millisecond, "done"
			}
		}
	})
	d.launch(3, workers)

	lasting = d.nextID("a")
	d.submitAs(lasting, "/last/", map[string]any{
		"count": 11, "cpu": lastingCPU, "mem_mb": lastingMem, "estimate_ms": 500, "anti_affinity": 1, "long_running": true,
	})
	task := func(i int) string { return fmt.Sprintf("%s.0.0.%d", lasting, i) }

	d.await(10*time.Second, "the tasks that last", func() bool {
		for i := range 11 {
			if d.workerOf(task(i)) == nil {
				return false
			}
		}

		return true
	})

	stop := make(chan struct{})
	defer close(stop)

	// The usual traffic: a job of 11 tasks of 5 s each second, and one of 22 short tasks each 0.25 s.
	go d.each(time.Second, stop, func() {
		d.submitAs(d.nextID("b"), "/bulk/", map[string]any{"count": 11, "cpu": 1000, "mem_mb": 1000, "estimate_ms": 5000})
	})
	go d.each(250*time.Millisecond, stop, func() {
		d.submitAs(d.nextID("c"), "/quick/", map[string]any{"count": 22, "cpu": 900, "mem_mb": 1000, "estimate_ms": 300})
	})
	time.Sleep(6 * time.Second)

	// One task that lasts fails by itself, in both cases.
	var victim string

	for i := range 11 {
		if d.workers[bad].running(task(i)) > 0 {
			victim = task(i)
		}
	}

	if victim == "" {
		d.fail("no task that lasts is on worker %s", d.workers[bad].id)
	}

	grey.Store(trouble)
	d.logf("worker %s fails all that it starts: %t", d.workers[bad].id, trouble)
	d.workers[bad].failRuns(func(t string) bool { return trouble || t == victim })
	time.Sleep(greyTime)
	grey.Store(false)

	end := time.Now()
	d.logf("worker %s is sound", d.workers[bad].id)

	var waits, roomSince time.Time

	for time.Since(end) < 20*time.Second {
		time.Sleep(10 * time.Millisecond)

		now := time.Now()

		if d.workerOf(victim) != nil {
			lastEnd := d.lastEnd(victim)
			d.logf("task %s runs again, %.1f s after its last run and %.1f s after the worker was sound", victim, now.Sub(lastEnd).Seconds(), now.Sub(end).Seconds())

			return false
		}

		// No other worker may run it, as each has a task of the step.
		if d.workers[bad].freeCPU(d) < 2*lastingCPU {
			roomSince = time.Time{}

			continue
		}

		if roomSince.IsZero() {
			roomSince = now
		}

		waits = d.lastEnd(victim)
		if now.Sub(waits) >= 9*time.Second && now.Sub(end) >= 7*time.Second && now.Sub(roomSince) >= 3*time.Second {
			d.logf("LOST: task %s is to last and hasn't run for %.1f s; worker %s has been sound for %.1f s and has had room for it twice over for %.1f s",
				victim, now.Sub(waits).Seconds(), d.workers[bad].id, now.Sub(end).Seconds(), now.Sub(roomSince).Seconds())
			d.await(20*time.Second, "the task to run again", func() bool { return d.workerOf(victim) != nil })
			d.logf("it runs again %.1f s after its last run", time.Since(waits).Seconds())

			return true
		}
	}

	d.fail("the check has no result")

	return false
}
