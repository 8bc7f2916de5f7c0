package main

import (
	"fmt"
	"time"
)

const (
	// lastingJobs and lastingTasks give 110 runs to each of three workers and take two fifths
	// of their processors.
	lastingJobs, lastingTasks = 30, 11
	lastingMilliCores         = 250
	lastingMemoryMB           = 300
	// failEach makes one of 34 runs fail, 2.9%. The error_share of stock-ledger is 0.03.
	failEach  = 34
	failAfter = 2 * time.Second
	// graceAfterRun and idleLimit are the 6 s and the 3 s of LOST.
	graceAfterRun = 6 * time.Second
	idleLimit     = 3 * time.Second
	// observed is how long the deployment is observed.
	observed = 45 * time.Second
)

func lastingJob(tasks int) map[string]any {
	return map[string]any{"spec": "ledger", "steps": []map[string]any{{
		"count": tasks, "cpu": lastingMilliCores, "mem_mb": lastingMemoryMB, "estimate_ms": 500, "long_running": true,
	}}}
}

// runLasting hands in lasting jobs alone, of whose runs a few fail.
func runLasting(rec *recorder, d *deployment, trouble bool) bool {
	plan := func(_ *worker, n int, _ string) course {
		if trouble && n%failEach == 0 {
			return course{after: failAfter, how: "failed"}
		}

		return course{}
	}

	for range 2 {
		d.addEntry()
	}

	for range 3 {
		d.addWorker(plan)
	}

	d.startAll()

	c := newClient(d, hostLasting, prefixLasting)
	d.awaitServing(c)

	tasks := map[string]time.Time{}
	accepted := func(id string, n int) {
		if !c.submit(id, lastingJob(n)) {
			cannotRun("job %s was not accepted", id)
		}

		for k := range n {
			tasks[fmt.Sprintf("%s.0.0.%d", id, k)] = time.Now()
		}
	}

	for i := range lastingJobs {
		accepted(fmt.Sprintf("%016x", 0xa000+i), lastingTasks)
	}

	late := fmt.Sprintf("%016x", 0xb000)
	worst := map[string]time.Duration{}
	submitted := false

	for began := time.Now(); time.Since(began) < observed; time.Sleep(100 * time.Millisecond) {
		if !submitted && time.Since(began) > 15*time.Second {
			// One more job, when all has been calm for long.
			submitted = true

			accepted(late, 3)
		}

		for _, w := range d.workers {
			for t := range w.running() {
				tasks[t] = time.Now()
			}
		}

		if !d.underHalf() {
			for t := range tasks {
				tasks[t] = time.Now()
			}
		}

		for t, at := range tasks {
			worst[t] = max(worst[t], time.Since(at))
		}
	}

	// Without a disruption all the time is calm. The tasks that are to run take 43% of the
	// workers' processors and 13% of their memory, so there is room for each of them many times.
	broken, lateIdle := 0, 0

	for t, d := range worst {
		if d < graceAfterRun+idleLimit {
			continue
		}

		broken++

		rec.log("LOST: task %s was not running for %s", t, d.Round(time.Millisecond))

		if t[:16] == late {
			lateIdle++
		}
	}

	rec.say("%d of %d lasting tasks were not running for %s or longer; %d of the 3 tasks of the job handed in last never ran; its state is %q",
		broken, len(tasks), graceAfterRun+idleLimit, lateIdle, c.state(late))

	return broken > 0
}
