package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// anonymousBytes returns the memory of a process, without the pages of its program file.
func anonymousBytes(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}

	for _, l := range strings.Split(string(b), "\n") {
		if f := strings.Fields(l); len(f) > 1 && f[0] == "RssAnon:" {
			n, _ := strconv.ParseInt(f[1], 10, 64)

			return n << 10
		}
	}

	return 0
}

// enforceMemory does what the platform does: it kills an entry that exceeds the memory of its machine,
// and starts it again.
func (d *deployment) enforceMemory(p *process, kills *atomic.Int64) {
	for {
		select {
		case <-d.stop:
			return
		case <-p.done:
			d.log("process %s has ended", p.name)
			time.Sleep(time.Second)

			select {
			case <-d.stop:
				return
			default:
			}

			if d.launch(p) != nil {
				return
			}
		case <-time.After(20 * time.Millisecond):
		}

		if n := anonymousBytes(p.command.Process.Pid); n > int64(d.memoryMB)<<20 {
			d.log("process %s takes %d MB, more than the %d of its machine", p.name, n>>20, d.memoryMB)
			kills.Add(1)
			d.signal(p, syscall.SIGKILL)
			<-p.done
		}
	}
}

const (
	// jobsPerSecond is the sum of the rates of the kinds of request on the sheet of armor-balise:
	// 6.95, 1.6 and 0.0499.
	jobsPerSecond = 8.6
	// recoveryTime is recovery_s and contact_ms, after which rules hold again after the processes are
	// back.
	recoveryTime = 15 * time.Second
	// startTime is finish_s and the 3 s for which a job may have nothing running.
	startTime = 17 * time.Second
)

// caseHistory kills all entries of a deployment and starts them again, when the store has the finished
// jobs of three hours, or of 34 s without the trouble. It checks that an accepted job runs afterwards.
func caseHistory(record string, trouble bool) (int, error) {
	d, err := newDeployment(record, 3)
	if err != nil {
		return 0, err
	}
	defer d.close()

	for i := range 2 {
		if err := d.addEntry(i); err != nil {
			return 0, err
		}
	}

	if err := d.ready(); err != nil {
		return 0, err
	}

	sample, err := d.runSample()
	if err != nil {
		return 0, err
	}

	for _, p := range d.entries {
		d.signal(p, syscall.SIGKILL)
		<-p.done
	}

	length := 34 * time.Second
	if trouble {
		length = 3 * time.Hour
	}

	n := int(length.Seconds() * jobsPerSecond)
	d.copyJobs(sample, n)
	d.log("the store has the rows of %d more jobs, all succeeded: %s at %.1f a second", n, length, jobsPerSecond)

	var kills [2]atomic.Int64

	for i, p := range d.entries {
		if err := d.launch(p); err != nil {
			return 0, err
		}

		go d.enforceMemory(p, &kills[i])
	}

	time.Sleep(recoveryTime)

	id := newID()

	accepted := false
	for k := 0; k < 20 && !accepted; k++ {
		status, _ := d.call(k%2, http.MethodPost, id, simpleJob(2), 3*time.Second)
		accepted = status == http.StatusOK

		time.Sleep(300 * time.Millisecond)
	}

	if !accepted {
		return 0, fmt.Errorf("no job is accepted")
	}

	time.Sleep(startTime)
	d.call(1, http.MethodGet, id, "", 3*time.Second)

	started := len(d.cluster.job(id))
	d.log("the accepted job has %d starts and ends %s later; the entries were killed %d and %d times for their memory",
		started, startTime, kills[0].Load(), kills[1].Load())

	if started == 0 {
		return broken, nil
	}

	return held, nil
}

// runSample runs jobs of the shape on the sheet, and returns their IDs.
func (d *deployment) runSample() ([]string, error) {
	var sample []string

	for range 20 {
		id := newID()
		if status, _ := d.call(0, http.MethodPost, id, sheetJob(), 3*time.Second); status != http.StatusOK {
			return nil, fmt.Errorf("a job of the sample is not accepted")
		}

		sample = append(sample, id)
	}

	time.Sleep(8 * time.Second)

	for _, id := range sample {
		if _, s := d.call(0, http.MethodGet, id, "", 3*time.Second); !strings.Contains(s, "succeeded") {
			return nil, fmt.Errorf("a job of the sample has not succeeded")
		}
	}

	return sample, nil
}

// sheetJob returns a job of two steps of 8 tasks, in about 250 bytes as on the sheet.
func sheetJob() string {
	return `{"spec":"` + strings.Repeat("s", 64) + `","steps":[{"count":8,"cpu":700,"mem_mb":256,"estimate_ms":600,"image":"im1"},` +
		`{"count":8,"cpu":700,"mem_mb":256,"estimate_ms":600,"after":[0],"image":"im1"}]}`
}

// copyJobs adds copies of all rows of finished jobs under other IDs.
func (d *deployment) copyJobs(sample []string, n int) {
	for i := range n {
		from, to := sample[i%len(sample)], newID()

		r, _ := d.store.get("job", partOf(from), from)
		r.Key, r.Part = to, partOf(to)
		d.store.put(r)

		if r, ok := d.store.get("progress", "lead", from); ok {
			r.Key = to
			d.store.put(r)
		}
	}
}

// partOf returns the part in which the system keeps a job.
func partOf(id string) string {
	n, _ := strconv.ParseUint(id[len(id)-2:], 16, 8)

	return fmt.Sprintf("jobs-%d", n%64)
}
