package main

import (
	"fmt"
	"net/http"
	"time"
)

// caseRefused submits a job to an entry whose store connections lose their answers, as one attempt with
// a short timeout, and checks that it doesn't run if it was rejected.
func caseRefused(record string, trouble bool) (int, error) {
	d, err := newDeployment(record, 2)
	if err != nil {
		return 0, err
	}
	defer d.close()

	for i := range 3 {
		if err := d.addEntry(i); err != nil {
			return 0, err
		}
	}

	if err := d.ready(); err != nil {
		return 0, err
	}

	leader := d.leader()
	if leader < 0 {
		return 0, fmt.Errorf("no leader")
	}

	entry := (leader + 1) % len(d.entries)
	d.log("leader %s, the client's entry %s", d.entries[leader].name, d.entries[entry].name)
	time.Sleep(2 * time.Second)

	if trouble {
		d.log("the store's answers to %s are lost", d.entries[entry].name)
		d.entries[entry].store.deaf.Store(true)
	}

	id := newID()
	status, _ := d.call(entry, http.MethodPost, id, simpleJob(3), 1300*time.Millisecond)

	time.Sleep(1500 * time.Millisecond)
	d.entries[entry].store.deaf.Store(false)
	d.log("the store answers everyone")
	time.Sleep(6 * time.Second)

	events := d.cluster.job(id)
	d.log("the only attempt to hand in job %s was answered by %d; its tasks had %d starts and ends", id, status, len(events))

	if (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && len(events) > 0 {
		return broken, nil
	}

	if !trouble && (status != http.StatusOK || len(events) == 0) {
		return 0, fmt.Errorf("the job did not run without trouble")
	}

	return held, nil
}
