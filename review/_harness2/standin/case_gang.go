package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// caseGang submits a gang that lasts and a step that lasts without being a gang. With the trouble, the runs
// of both end by themselves after 3 s. It checks that the gang is started again, as the other one is.
func caseGang(record string, trouble bool) (int, error) {
	d, err := newDeployment(record, 3)
	if err != nil {
		return 0, err
	}
	defer d.close()

	gang, other := newID(), newID()
	simple := d.cluster.plan
	d.cluster.plan = func(task string, attempt int) plan {
		var p plan

		switch {
		case strings.HasPrefix(task, gang):
			p.gang = 3
		case !strings.HasPrefix(task, other):
			return simple(task, attempt)
		}

		if trouble {
			p.work, p.end = 3*time.Second, "done"
		}

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

	const step = `{"spec":"spec","steps":[{"count":3,"cpu":500,"mem_mb":256,"estimate_ms":500,"long_running":true%s}]}`

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
