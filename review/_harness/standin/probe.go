package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	probeWorkers = 7
	// greyTime is within the for_s of srv_grey (errors) in the site file, 6.5 s. One worker of
	// seven, 14%, is grey at a time; kinds gives share .15.
	greyTime = 5 * time.Second
	// greys is how often a worker is grey: each twice, one three times.
	greys = 15
	// greyFailure is the time after which a grey worker fails a run.
	greyFailure = 600 * time.Millisecond
	// cancelShare and cancelWithin are the figures of give_up in the site file.
	cancelShare  = 0.4
	cancelWithin = 900 * time.Millisecond
	jobPeriod    = 220 * time.Millisecond
	workTime     = 1700 * time.Millisecond
	// The lasting tasks of the end take 44% of the processors of seven workers, one a worker.
	endTasks, endMilliCores, endMemoryMB = 6, 33000, 50000
	calmBefore                           = 4 * time.Second
	endObserved                          = 16 * time.Second
)

// runProbe lets one worker after the other fail all that it starts for some seconds, while clients
// cancel part of their jobs shortly after they were accepted. Then all is calm, and a lasting job
// comes.
func runProbe(rec *recorder, d *deployment, trouble bool) bool {
	var grey atomic.Pointer[worker]

	plan := func(w *worker, _ int, task string) course {
		switch {
		case task[:4] == "ffff":
			return course{}
		case grey.Load() == w:
			return course{after: greyFailure, how: "failed"}
		default:
			return course{after: workTime, how: "done"}
		}
	}

	for range 2 {
		d.addEntry()
	}

	for range probeWorkers {
		d.addWorker(plan)
	}

	d.startAll()

	c := newClient(d, hostBatch, prefixBatch)
	d.awaitServing(c)

	var (
		wg        sync.WaitGroup
		cancels   atomic.Bool
		done      = make(chan struct{})
		random    = rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
		cancelled int
	)

	cancels.Store(trouble)

	// Jobs of two tasks, until the end.
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(jobPeriod):
			}

			id := fmt.Sprintf("%016x", 0xa0000+n)
			cancel := cancels.Load() && random.Float64() < cancelShare
			after := time.Duration(random.Int64N(int64(cancelWithin)))

			if cancel {
				cancelled++
			}

			wg.Go(func() {
				if !c.submit(id, batchJob("o", 2, 1000, 1000, false)) || !cancel {
					return
				}

				time.Sleep(after)

				status, _ := c.call(0, http.MethodDelete, id, nil)
				rec.log("client: DELETE %s: %d", id, status)
			})
		}
	})

	for i := range greys {
		w := d.workers[i%probeWorkers]

		if trouble {
			rec.log("platform: %s fails all that it starts for %s", w.id, greyTime)
			grey.Store(w)
		}

		time.Sleep(greyTime)
		grey.Store(nil)
	}

	cancels.Store(false)
	time.Sleep(calmBefore)
	rec.log("platform: all is calm")

	ledger := newClient(d, hostLasting, prefixLasting)
	id := "ffff00000000b001"
	job := map[string]any{"spec": "ledger", "steps": []map[string]any{{
		"count": endTasks, "cpu": endMilliCores, "mem_mb": endMemoryMB, "estimate_ms": 500, "long_running": true,
	}}}

	if !ledger.submit(id, job) {
		cannotRun("the lasting job was not accepted")
	}

	worst, last := map[string]time.Duration{}, map[string]time.Time{}
	for k := range endTasks {
		last[fmt.Sprintf("%s.0.0.%d", id, k)] = time.Now()
	}

	startsBefore := map[string]int{}
	for _, w := range d.workers {
		w.mu.Lock()
		startsBefore[w.id] = w.starts
		w.mu.Unlock()
	}

	for began := time.Now(); time.Since(began) < endObserved; time.Sleep(100 * time.Millisecond) {
		for _, w := range d.workers {
			for t := range w.running() {
				if _, ok := last[t]; ok {
					last[t] = time.Now()
				}
			}
		}

		if !d.underHalf() {
			for t := range last {
				last[t] = time.Now()
			}
		}

		for t, at := range last {
			worst[t] = max(worst[t], time.Since(at))
		}
	}

	close(done)
	wg.Wait()

	unused := 0

	for _, w := range d.workers {
		w.mu.Lock()
		n := w.starts - startsBefore[w.id]
		w.mu.Unlock()
		rec.say("%s was sent %d starts in the last %s", w.id, n, endObserved)

		if n == 0 {
			unused++
		}
	}

	idle := 0

	for t, i := range worst {
		if i >= graceAfterRun+idleLimit {
			rec.log("LOST: task %s was not running for %s", t, i.Round(time.Millisecond))

			idle++
		}
	}

	rec.say("%d jobs were cancelled; %d of %d workers were sent nothing; %d of the %d lasting tasks were not running for %s or longer",
		cancelled, unused, probeWorkers, idle, endTasks, graceAfterRun+idleLimit)

	return idle > 0
}
