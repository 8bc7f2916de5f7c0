package main

import (
	"fmt"
	"time"
)

const (
	// longTime is the run time of a long task: 1% of it takes 3 s.
	longTime = 300 * time.Second
	// The jobs take 38% of the processors of three workers.
	longJobs, longTasks          = 24, 1
	longMilliCores, longMemoryMB = 3000, 4000
	longObserved                 = 60 * time.Second
)

// runLong hands in jobs of long tasks. Without trouble, the tasks take 1.7 s.
func runLong(rec *recorder, d *deployment, trouble bool) bool {
	after := workTime
	if trouble {
		after = longTime
	}

	starts := map[string]int{}
	plan := func(_ *worker, _ int, _ string) course { return course{after: after, how: "done"} }

	for range 2 {
		d.addEntry()
	}

	for range 3 {
		d.addWorker(plan)
	}

	d.startAll()

	c := newClient(d, hostBatch, prefixBatch)
	d.awaitServing(c)

	watched := map[string]*idleWatch{}
	states := map[string]string{}

	for i := range longJobs {
		id := fmt.Sprintf("%016x", 0xa000+i)

		job := map[string]any{"spec": "tracings", "steps": []map[string]any{{
			"count": longTasks, "cpu": longMilliCores, "mem_mb": longMemoryMB, "estimate_ms": after.Milliseconds(),
		}}}
		if !c.submit(id, job) {
			cannotRun("job %s was not accepted", id)
		}

		watched[id] = &idleWatch{since: time.Now()}
	}

	seen := map[string]int{}
	least := longJobs * longTasks

	for began := time.Now(); time.Since(began) < longObserved; time.Sleep(100 * time.Millisecond) {
		running := 0

		for _, w := range d.workers {
			for t, attempt := range w.running() {
				running++

				if seen[t] != attempt {
					seen[t] = attempt
					starts[t]++
				}
			}
		}

		for id, w := range watched {
			if states[id] != "succeeded" {
				w.observe(d, id)
			}
		}

		if time.Since(began) > 3*time.Second {
			least = min(least, running)
		}

		if time.Since(began).Milliseconds()%1000 < 100 {
			for id := range watched {
				states[id] = c.state(id)
			}

			rec.log("%d tasks run; client: states %v", running, states)
		}
	}

	broken, most := 0, 0

	for _, n := range starts {
		most = max(most, n)
	}

	for id, w := range watched {
		s := c.state(id)
		rec.say("job %s: state %q, nothing running for up to %s", id, s, w.worst.Round(100*time.Millisecond))

		if w.worst > idleLimit && s != "succeeded" {
			broken++
		}
	}

	rec.say("of %d tasks, %d ran at the least; one was started up to %d times; %d of %d jobs had nothing running for more than %s",
		longJobs*longTasks, least, most, broken, longJobs, idleLimit)

	return broken > 0
}
