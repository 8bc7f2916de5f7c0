package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// freezeTime is the longest for_s of node_freeze in the site file of armor-balise.
	freezeTime = 3500 * time.Millisecond
	// cancelTime is cancel_ms.
	cancelTime = 3 * time.Second
)

// caseCancelled submits a job to an entry that freezes, cancels it at another entry once the client has
// waited in vain, and checks that no task starts later than cancelTime after the acknowledgement.
func caseCancelled(record string, trouble bool) (int, error) {
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

	first, second := (leader+1)%3, (leader+2)%3
	d.log("leader %s", d.entries[leader].name)
	time.Sleep(2 * time.Second)

	if trouble {
		d.signal(d.entries[first], syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() { d.signal(d.entries[first], syscall.SIGCONT) })
	}

	var (
		group sync.WaitGroup
		late  atomic.Int64
	)

	for range frozenJobs {
		group.Go(func() { late.Add(int64(d.cancelUnanswered(first, second))) })
		time.Sleep(100 * time.Millisecond)
	}

	group.Wait()
	d.log("%d tasks started later than %s after the acknowledgement of their job's cancelling", late.Load(), cancelTime)

	if late.Load() > 0 {
		return broken, nil
	}

	return held, nil
}

// frozenJobs is the number of jobs that are handed in to the entry that freezes.
const frozenJobs = 6

// cancelUnanswered hands in a job at one entry, waits a second for the answer, and cancels the job at
// another one. It returns the number of tasks that start too late.
func (d *deployment) cancelUnanswered(first, second int) int {
	const step = `{"count":2,"cpu":500,"mem_mb":256,"estimate_ms":500`

	id := newID()
	submitted, _ := d.call(first, http.MethodPost, id, `{"spec":"spec","steps":[`+step+`},`+step+`,"after":[0]},`+step+`,"after":[1]}]}`, time.Second)

	acknowledged, status := time.Duration(0), 0

	// Any answer but these is none.
	for range 20 {
		if status, _ = d.call(second, http.MethodDelete, id, "", 3*time.Second); status == http.StatusOK || status == http.StatusGone {
			acknowledged = d.now()

			break
		}
	}

	time.Sleep(10 * time.Second)
	d.call(second, http.MethodGet, id, "", 3*time.Second)

	late := 0

	for _, e := range d.cluster.job(id) {
		if e.what == "start" && acknowledged > 0 && e.at > acknowledged+cancelTime {
			late++
		}
	}

	d.log("job %s was handed in with answer %d, cancelled with answer %d at %.3f; %d tasks started later than %s after that",
		id, submitted, status, acknowledged.Seconds(), late, cancelTime)

	return late
}
