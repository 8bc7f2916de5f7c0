package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	savingTasks      = 2400
	savingMilliCores = 30
	savingMemoryMB   = 50
)

// runSaved hands in an ordinary job, then one with many tasks that save checkpoints, then ordinary
// ones. Without trouble, the tasks of the large job save none.
func runSaved(rec *recorder, d *deployment, trouble bool) bool {
	large := fmt.Sprintf("%016x", 0xb001)

	plan := func(_ *worker, _ int, task string) course {
		c := course{after: 1700 * time.Millisecond, how: "done", checkpoint: trouble}

		if strings.HasPrefix(task, large) {
			// 3 to 6 s.
			k, _ := strconv.Atoi(task[strings.LastIndexByte(task, '.')+1:])
			c.after = 3*time.Second + time.Duration(k*3000/savingTasks)*time.Millisecond
		}

		return c
	}

	for range 2 {
		d.addEntry()
	}

	for range 2 {
		d.addWorker(plan)
	}

	d.startAll()

	c := newClient(d, hostBatch, prefixBatch)
	d.awaitServing(c)

	ordinary := batchJob("o", 8, 1000, 1000, trouble)
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
	submit(large, batchJob("l", savingTasks, savingMilliCores, savingMemoryMB, trouble))

	watched := map[string]*idleWatch{large: {since: time.Now()}}
	ids := []string{large}
	states := map[string]string{}

	for began := time.Now(); time.Since(began) < 60*time.Second; time.Sleep(100 * time.Millisecond) {
		if n := len(ids); n < 5 && time.Since(began) > time.Duration(6*n)*time.Second {
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

			done, runs := 0, 0

			for _, w := range d.workers {
				w.mu.Lock()
				done += w.doneOf[large]
				runs += len(w.runs)
				w.mu.Unlock()
			}

			rec.log("client: states %v; %d tasks of the large job have ended done, %d tasks run", states, done, runs)
		}
	}

	broken := false

	for _, id := range ids {
		if watched[id] == nil {
			rec.say("job %s: not accepted", id)

			continue
		}

		idle := watched[id].worst
		s := c.state(id)
		rec.say("job %s: state %q, nothing running for up to %s", id, s, idle.Round(100*time.Millisecond))

		broken = broken || (idle > idleLimit && s != "succeeded")
	}

	return broken
}
