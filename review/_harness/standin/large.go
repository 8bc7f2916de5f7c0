package main

import (
	"fmt"
	"strings"
	"time"
)

// batchJob is a job of one step. Its tasks take 1.7 s, as those of mix-batch do on average.
func batchJob(text string, count, milliCores, memoryMB int, checkpointing bool) map[string]any {
	step := map[string]any{"count": count, "cpu": milliCores, "mem_mb": memoryMB, "estimate_ms": 1700}
	if checkpointing {
		step["checkpointing"] = true
	}

	return map[string]any{"spec": text, "steps": []map[string]any{step}}
}

// idleWatch observes how long a job has had nothing running while a task of it has not ended
// done and under half of the workers' capacity is in use. All workers are sound throughout. A
// job of one step has its tasks' turn come at once.
type idleWatch struct {
	since time.Time
	worst time.Duration
}

func (i *idleWatch) observe(d *deployment, id string) {
	running, done := 0, 0

	for _, w := range d.workers {
		w.mu.Lock()

		for t := range w.runs {
			if strings.HasPrefix(t, id) {
				running++
			}
		}

		done += w.doneOf[id]
		w.mu.Unlock()
	}

	if running > 0 || done >= d.size(id).tasks || !d.underHalf() {
		i.since = time.Now()
	}

	i.worst = max(i.worst, time.Since(i.since))
}

const (
	// specBytes is the largest spec that PROTOCOL.md allows, and shortSpec an ordinary one.
	specBytes, shortSpec = 4000, 250
	largeTasks           = 700
	largeMilliCores      = 80
	largeMemoryMB        = 150
)

// runLarge hands in an ordinary job, then a large one, then ordinary ones. Without trouble, the
// spec of the large job is short.
func runLarge(rec *recorder, d *deployment, trouble bool) bool {
	plan := func(*worker, int, string) course { return course{after: 1700 * time.Millisecond, how: "done"} }

	for range 2 {
		d.addEntry()
	}

	for range 2 {
		d.addWorker(plan)
	}

	d.startAll()

	c := newClient(d, hostBatch, prefixBatch)
	d.awaitServing(c)

	size := shortSpec
	if trouble {
		size = specBytes
	}

	ordinary := batchJob(strings.Repeat("o", shortSpec), 8, 1000, 1000, false)
	submit := func(id string, job map[string]any) {
		if !c.submit(id, job) {
			cannotRun("job %s was not accepted", id)
		}
	}

	first := fmt.Sprintf("%016x", 0xa001)
	submit(first, ordinary)

	for began := time.Now(); c.state(first) != "succeeded"; time.Sleep(100 * time.Millisecond) {
		if time.Since(began) > 15*time.Second {
			cannotRun("an ordinary job before the large one doesn't succeed")
		}
	}

	rec.say("the ordinary job %s has succeeded", first)

	large := fmt.Sprintf("%016x", 0xb001)
	submit(large, batchJob(strings.Repeat("l", size), largeTasks, largeMilliCores, largeMemoryMB, false))

	watched := map[string]*idleWatch{large: {since: time.Now()}}
	ids := []string{large}
	states := map[string]string{}

	for began := time.Now(); time.Since(began) < 45*time.Second; time.Sleep(100 * time.Millisecond) {
		if n := len(ids); n < 5 && time.Since(began) > time.Duration(5*n)*time.Second {
			// A job that isn't accepted is owed nothing.
			id := fmt.Sprintf("%016x", 0xc000+n)
			ids = append(ids, id)

			if c.submit(id, ordinary) {
				watched[id] = &idleWatch{since: time.Now()}
			}
		}

		for id, w := range watched {
			if states[id] != "succeeded" {
				w.observe(d, id)
			}
		}

		if time.Since(began).Milliseconds()%1000 < 100 {
			for _, id := range ids {
				states[id] = c.state(id)
			}

			rec.log("client: states %v", states)
		}
	}

	// The large job asks for 44% of the processors and 21% of the memory, and all workers are idle
	// while it has nothing running.
	broken := false

	for _, id := range ids {
		if watched[id] == nil {
			rec.say("job %s: not accepted", id)

			continue
		}

		idle := watched[id].worst
		rec.say("job %s: state %q, nothing running for up to %s", id, c.state(id), idle.Round(100*time.Millisecond))

		broken = broken || (idle > idleLimit && c.state(id) != "succeeded")
	}

	return broken
}
