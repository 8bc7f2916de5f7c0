package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// calmJobs is the number of lasting jobs whose tasks don't end. With them, the 6 runs that end are 2.9% of 204:
// error_share of the site's lasting jobs is 0.03.
const calmJobs = 66

// caseGang submits a gang that lasts, a step that lasts without being a gang, and others. With the trouble, the
// first runs of the first two end by themselves after 3 s. It checks that the gang is started again, as the
// other one is.
func caseGang(record string, trouble bool) (int, error) {
	d, err := newDeployment(record, 3)
	if err != nil {
		return 0, err
	}
	defer d.close()

	gang, other := newID(), newID()

	var (
		mu    sync.Mutex
		began = map[string]bool{}
		calm  = map[string]bool{}
	)

	for range calmJobs {
		calm[newID()] = true
	}

	simple := d.cluster.plan
	d.cluster.plan = func(task string, attempt int) plan {
		var p plan

		switch {
		case strings.HasPrefix(task, gang):
			p.gang = 3
		case calm[task[:16]]:
			return p
		case !strings.HasPrefix(task, other):
			return simple(task, attempt)
		}

		mu.Lock()
		defer mu.Unlock()

		if trouble && !began[task] {
			p.work, p.end = 3*time.Second, "done"
		}

		began[task] = true

		return p
	}

	for i := range 2 {
		if err := d.addEntry(i); err != nil {
			return 0, err
		}
	}

	if err := d.ready(); err != nil {
		return 0, err
	}

	const step = `{"spec":"spec","steps":[{"count":3,"cpu":100,"mem_mb":64,"estimate_ms":500,"long_running":true%s}]}`

	for id := range calm {
		if status, _ := d.call(0, http.MethodPost, id, fmt.Sprintf(step, ""), 3*time.Second); status != http.StatusOK {
			return 0, fmt.Errorf("a job is not accepted")
		}
	}

	for id, flag := range map[string]string{gang: `,"gang":true`, other: ""} {
		if status, _ := d.call(0, http.MethodPost, id, fmt.Sprintf(step, flag), 3*time.Second); status != http.StatusOK {
			return 0, fmt.Errorf("a job is not accepted")
		}
	}

	time.Sleep(20 * time.Second)

	d.call(1, http.MethodGet, gang, "", 3*time.Second)
	d.call(1, http.MethodGet, other, "", 3*time.Second)

	running, last := d.lasting(gang)
	others, _ := d.lasting(other)
	d.log("%d tasks of the gang run, its last start or end was at %.3f; %d tasks of the other job run", running, last.Seconds(), others)

	if running == 0 && d.now()-last > lastingLimit {
		return broken, nil
	}

	return held, nil
}

// lastingLimit is the time in which a task that lasts has to run again: 6 s from its last run, and 3 s.
const lastingLimit = 9 * time.Second

// lasting returns the number of running tasks of a job, and the time of its last start or end.
func (d *deployment) lasting(id string) (running int, last time.Duration) {
	for _, e := range d.cluster.job(id) {
		last = e.at

		if e.what == "start" {
			running++
		} else {
			running--
		}
	}

	return running, last
}
