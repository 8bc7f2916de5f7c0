package integration_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"trefoildeck/core/placement"
	"trefoildeck/core/resource"
	"trefoildeck/io/operator"
	"trefoildeck/standin"

	"gotest.tools/v3/assert"
)

// TestRollingReplacement shuts down and restarts every entry and two agents under
// load: no request fails, and no task is lost or runs twice.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()

	d := startDeployment(t, threeDataCentres())
	d.declare(batch("reports", 12, 4*time.Second))

	l := d.startLoad(8)

	for _, p := range append(append([]*process(nil), d.entries...), d.agents[0], d.agents[1]) {
		time.Sleep(500 * time.Millisecond)
		p.shutDown()
		p.start()
		d.waitHTTP(p.admin, "/readyz")
	}

	time.Sleep(500 * time.Millisecond)
	l.end()
	d.waitFinished("reports", 12, 40*time.Second)

	for _, s := range l.results() {
		assert.Assert(t, s.err == nil && s.outcome == "Answered", "%s: %v, outcome %q, status %d", s.id, s.err, s.outcome, s.status)
	}

	d.check(l)
}

// TestEntryKilled kills and restarts each entry in turn, among them the one that
// schedules.
func TestEntryKilled(t *testing.T) {
	t.Parallel()

	d := startDeployment(t, fourDataCentres())
	d.declare(batch("mix", 16, 5*time.Second))

	l := d.startLoad(4)

	for n := range 2 {
		time.Sleep(2 * time.Second)
		d.entries[n].kill()
		time.Sleep(2 * time.Second)
		d.entries[n].start()
		d.waitHTTP(d.entries[n].admin, "/readyz")
	}

	d.waitFinished("mix", 16, time.Minute)
	l.end()
	d.check(l)
}

// TestEntryPaused pauses each entry in turn for longer than its shard leases last.
// When the entry that schedules resumes, another one holds its leases.
func TestEntryPaused(t *testing.T) {
	t.Parallel()

	d := startDeployment(t, fourDataCentres())
	d.declare(batch("mix", 16, 6*time.Second))

	l := d.startLoad(4)

	for n := range 2 {
		time.Sleep(2 * time.Second)
		d.entries[n].signal(syscall.SIGSTOP)
		time.Sleep(2*shardLease + 2*time.Second)
		d.entries[n].signal(syscall.SIGCONT)
	}

	d.waitFinished("mix", 16, time.Minute)
	l.end()
	d.check(l)
}

// TestAgentKilled kills two agents, restarts one of them, and pauses a third for
// longer than its task lease. Their tasks continue under their leases, or are resumed
// on other workers once those have lapsed.
func TestAgentKilled(t *testing.T) {
	t.Parallel()

	d := startDeployment(t, threeDataCentres())
	d.declare(batch("reports", 24, 8*time.Second))

	l := d.startLoad(4)

	time.Sleep(2 * time.Second)
	d.agents[0].kill()
	d.agents[1].signal(syscall.SIGSTOP)
	d.agents[2].kill()
	time.Sleep(time.Second)
	d.agents[0].start()
	time.Sleep(2 * taskLease)
	d.agents[1].signal(syscall.SIGCONT)

	d.waitFinished("reports", 24, time.Minute)
	l.end()
	d.check(l)
}

// TestFinishedWhileSilent pauses an agent until the lease of its worker has run out, while
// tasks finish there. Nobody can hear of these ends in time: the tasks run again, but never
// twice at once.
func TestFinishedWhileSilent(t *testing.T) {
	t.Parallel()

	d := startDeployment(t, threeDataCentres())
	d.declare(batch("reports", 24, 2*time.Second))
	d.waitUntil("all tasks run", startTimeout, func() bool { return len(d.events()) >= 24 })

	worker := d.events()[0].Worker

	i := slices.IndexFunc(d.agents, func(p *process) bool { return p.name == worker })
	d.agents[i].signal(syscall.SIGSTOP)
	time.Sleep(2*taskLease + 2*time.Second)
	d.agents[i].signal(syscall.SIGCONT)

	d.waitFinished("reports", 24, time.Minute)
	d.check(nil)

	unheard := slices.ContainsFunc(d.events(), func(e standin.Event) bool { return e.Phase == standin.PhaseUnheard })
	assert.Assert(t, unheard, "no task finished on %s while its agent was paused", worker)
}

// TestWorkerReplaced reboots the runtimes of three workers while tasks run.
func TestWorkerReplaced(t *testing.T) {
	t.Parallel()

	d := startDeployment(t, threeDataCentres())
	d.declare(batch("reports", 24, 5*time.Second))

	for n := range 3 {
		time.Sleep(1500 * time.Millisecond)
		d.controlRequest(http.MethodPost, "/runtimes/"+d.workers[n]+"/reboot", nil)
	}

	d.waitFinished("reports", 24, time.Minute)
	d.check(nil)
}

// TestSilentConnections drops all data on open connections for good, without a
// reset, while new connections work. Idempotent requests are still answered within
// their deadline.
func TestSilentConnections(t *testing.T) {
	t.Parallel()

	d := startDeployment(t, threeDataCentres())
	d.declare()

	l := d.startLoad(8)

	time.Sleep(time.Second)

	silenced := time.Now()

	for _, e := range d.entries {
		e.peerProxy.silenceOpenConnections()
	}

	time.Sleep(5 * time.Second)
	l.end()

	// Silent connections are detected within 2 s: every request sent later is
	// answered.
	failed, total := failures(l.results(), silenced.Add(2*time.Second))
	assert.Equal(t, failed, 0, "of %d", total)

	for _, s := range l.results() {
		if s.key == "" {
			assert.Assert(t, s.err == nil && s.outcome == "Answered", "%s began %s after the connections went silent: %v, outcome %q", s.id, s.began.Sub(silenced), s.err, s.outcome)
		}
	}

	d.check(l)
}

// TestSlowLinks adds 5 ms of latency in each direction between processes, and drops
// the data from one entry to its agents and peers for 4 s.
func TestSlowLinks(t *testing.T) {
	t.Parallel()

	d := startDeployment(t, threeDataCentres())
	for _, e := range d.entries {
		e.peerProxy.delay(5 * time.Millisecond)
		e.tableProxy.delay(5 * time.Millisecond)
	}

	d.declare(batch("reports", 12, 4*time.Second))

	l := d.startLoad(4)

	time.Sleep(time.Second)
	heal := d.entries[0].peerProxy.cut("downstream")
	time.Sleep(4 * time.Second)
	heal()

	d.waitFinished("reports", 12, time.Minute)
	l.end()
	d.check(l)
}

// TestTableDown makes the table unavailable: requests without a key are answered,
// those with a key are refused, and no task starts from 3 s later on. All work
// continues when the table is back, first with slow responses.
func TestTableDown(t *testing.T) {
	t.Parallel()

	d := startDeployment(t, threeDataCentres())
	d.declare(batch("reports", 12, 3*time.Second))

	l := d.startLoad(4)

	time.Sleep(2 * time.Second)
	d.tableFault(standin.Fault{Down: true})

	down := time.Now()

	time.Sleep(2*taskLease + 2*time.Second)

	failed, total := failures(l.results(), down)
	assert.Equal(t, failed, 0, "of %d", total)

	for _, e := range d.events() {
		started := e.Phase == placement.PhaseRunning && e.Time.After(down.Add(3*time.Second))
		assert.Assert(t, !started, "%v started while the table was down", e)
	}

	d.tableFault(standin.Fault{Delay: 300 * time.Millisecond})
	time.Sleep(2 * time.Second)
	d.tableFault(standin.Fault{})
	d.waitFinished("reports", 12, time.Minute)
	l.end()
	d.check(l)
}

// TestLostAnswers drops the table's responses to writes that have taken effect.
func TestLostAnswers(t *testing.T) {
	t.Parallel()

	d := startDeployment(t, threeDataCentres())
	d.declare()

	l := d.startLoad(4)

	d.tableFault(standin.Fault{LoseAnswers: true})

	_, err := d.operator(0).Apply(t.Context(), []resource.Resource{batch("reports", 12, 2*time.Second)}, false)
	assert.NilError(t, err, "a change that was written is settled by reading it back")

	time.Sleep(4 * time.Second)
	d.tableFault(standin.Fault{})
	d.waitFinished("reports", 12, time.Minute)
	l.end()
	d.check(l)
}

// TestOutAndBack takes a data centre out under load and brings it back. No task
// starts there from 3 s after the outage began until it ends, no idempotent request
// fails, and at most 1 % of the work is lost.
func TestOutAndBack(t *testing.T) {
	t.Parallel()

	d := startDeployment(t, fourDataCentres())
	d.declare(batch("mix", 40, 6*time.Second))

	l := d.startLoad(6)

	time.Sleep(2 * time.Second)

	dataCentre := "lannion"
	out := resource.ID{
		Kind: resource.KindOutage,
		Name: dataCentre,
	}
	_, err := d.operator(1).Put(t.Context(), out, &resource.Outage{Reason: "test"})
	assert.NilError(t, err)

	since := time.Now()

	time.Sleep(6 * time.Second)

	back := time.Now()

	_, err = d.operator(0).Delete(t.Context(), out)
	assert.NilError(t, err)

	d.waitFinished("mix", 40, time.Minute)
	l.end()

	failed, total := failures(l.results(), time.Time{})
	assert.Equal(t, failed, 0, "of %d", total)

	for _, e := range d.events() {
		started := e.Phase == placement.PhaseRunning && e.Time.After(since.Add(3*time.Second)) && e.Time.Before(back)
		assert.Assert(t, !started || !strings.HasPrefix(e.Worker, dataCentre), "%v started in a data centre that is out", e)
	}

	assert.Assert(t, lostWork(d.events()) <= 0.01*40, "%.2f tasks of work were lost", lostWork(d.events()))
	d.check(l)
}

// lostWork returns the work, in tasks, that was done and then repeated because no
// attempt resumed from it.
func lostWork(events []standin.Event) float64 {
	done := map[placement.TaskID]float64{}

	for _, e := range events {
		task := placement.TaskID{
			Job:  e.ID.Job,
			Task: e.ID.Task,
		}

		if e.Phase == placement.PhaseRunning {
			done[task] -= e.From
		} else {
			done[task] += e.Progress
		}
	}

	lost := 0.0
	for _, work := range done {
		lost += max(0, work-1)
	}

	return lost
}

// TestOperatorsRace lets two operators change a resource concurrently from the same
// revision: one succeeds, and the error of the other has the current revision.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()

	d := startDeployment(t, threeDataCentres())
	d.declare()

	for round := range 5 {
		var (
			wg   sync.WaitGroup
			errs [2]error
		)

		id := resource.ID{
			Kind: resource.KindConfiguration,
			Name: "opening",
		}

		revision := int64(0)
		if v, err := d.operator(0).Get(t.Context(), id); err == nil {
			revision = v.Revision
		}

		for n := range errs {
			wg.Go(func() {
				errs[n] = d.operator(n).PutIf(t.Context(), id, &resource.Configuration{
					Values: map[string]string{"Saturday": fmt.Sprintf("%d-%d", round, n)},
				}, revision)
			})
		}

		wg.Wait()

		won := 0

		for _, err := range errs {
			if err == nil {
				won++

				continue
			}

			assert.Assert(t, errors.Is(err, operator.ErrRefused), "%v", err)
			assert.ErrorContains(t, err, "is at")
		}

		assert.Equal(t, won, 1, "round %d: %v", round, errs)
	}
}

// TestConfigurationWithoutTable cuts an entry off from the table. A configuration
// that the other entry accepts is in force there within 3 s, and isn't reverted when
// the other entry is killed and restarted.
func TestConfigurationWithoutTable(t *testing.T) {
	t.Parallel()

	d := startDeployment(t, threeDataCentres())
	d.declare()

	// An entry without the table gets the configuration from its peer.
	d.waitUntil("the entries know each other", startTimeout, func() bool {
		list, err := d.operator(0).List(context.Background(), "Entry")
		other, err2 := d.operator(1).List(context.Background(), "Entry")

		return err == nil && err2 == nil && len(list) == 2 && len(other) == 2
	})

	heal := d.entries[1].tableProxy.cut("upstream")

	_, err := d.operator(0).Apply(t.Context(), []resource.Resource{
		declared(resource.KindConfiguration, "opening", &resource.Configuration{Values: map[string]string{"Sunday": "closed"}}),
	}, false)
	assert.NilError(t, err)

	d.waitUntil("in force at the entry without the table", 3*time.Second, func() bool {
		v, err := d.operator(1).Get(context.Background(), resource.ID{
			Kind: resource.KindConfiguration,
			Name: "opening",
		})

		return err == nil && strings.Count(string(v.Status), `"Revision"`) == len(d.topology.dataCentres)
	})

	heal()
	d.entries[0].kill()
	d.entries[0].start()
	d.waitHTTP(d.entries[0].admin, "/readyz")

	for n := range d.entries {
		v, err := d.operator(n).Get(t.Context(), resource.ID{
			Kind: resource.KindConfiguration,
			Name: "opening",
		})
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(v.Spec), "closed"))
	}
}

// TestCancellations deletes many jobs one after the other: all their tasks stop
// within 10 s.
func TestCancellations(t *testing.T) {
	t.Parallel()

	const jobs = 20

	d := startDeployment(t, fourDataCentres())

	var list []resource.Resource
	for n := range jobs {
		list = append(list, batch(fmt.Sprintf("mix-%d", n), 10, time.Minute))
	}

	d.declare(list...)

	d.waitUntil("tasks run", startTimeout, func() bool { return len(running(d.events())) > 20 })

	for n := range jobs {
		_, err := d.operator(n%2).Delete(t.Context(), list[n].ID)
		assert.NilError(t, err)
	}

	d.waitUntil("everything stopped", 10*time.Second, func() bool { return len(running(d.events())) == 0 })
	d.check(nil)
}

func running(events []standin.Event) map[placement.AttemptID]bool {
	now := map[placement.AttemptID]bool{}

	for _, e := range events {
		if e.Phase == placement.PhaseRunning {
			now[e.ID] = true
		} else {
			delete(now, e.ID)
		}
	}

	return now
}

// TestBadWorker makes every task on one worker fail: the worker is quarantined, and
// no job fails because of it. A job that is larger than any worker fails at once with
// that reason.
func TestBadWorker(t *testing.T) {
	t.Parallel()

	d := startDeployment(t, threeDataCentres())
	d.controlRequest(http.MethodPut, "/runtimes/"+d.workers[0]+"/fail", true)

	huge := batch("huge", 1, time.Second)
	huge.Spec.(*resource.Job).MilliCores = 64_000

	d.declare(batch("first", 12, time.Second), batch("second", 12, time.Second), huge)
	d.waitFinished("first", 12, 30*time.Second)
	d.waitFinished("second", 12, 30*time.Second)
	d.waitUntil("the huge job failed with a reason", 10*time.Second, func() bool {
		s, err := d.job(0, "huge")

		return err == nil && s.State == "Failed" && strings.Contains(s.Reason, "more than any worker has")
	})
	d.check(nil)
}

// TestUrgent fills the workers and submits an urgent job: all its tasks start within
// 3 s.
func TestUrgent(t *testing.T) {
	t.Parallel()

	d := startDeployment(t, threeDataCentres())
	d.declare(batch("filling", 100, 30*time.Second))
	d.waitUntil("the workers are full", 10*time.Second, func() bool { return len(running(d.events())) >= 80 })

	urgent := batch("recall", 4, time.Second)
	urgent.Spec.(*resource.Job).Urgent = true

	asked := time.Now()

	_, err := d.operator(0).Apply(t.Context(), []resource.Resource{urgent}, false)
	assert.NilError(t, err)

	d.waitUntil("all urgent tasks started", 3*time.Second-time.Since(asked), func() bool {
		n := 0

		for _, e := range d.events() {
			if e.Phase == placement.PhaseRunning && strings.HasPrefix(e.ID.Job, "recall@") {
				n++
			}
		}

		return n == 4
	})
	d.waitFinished("recall", 4, 10*time.Second)
	d.check(nil)
}

// TestObjectsSlow delays the object store by 20 s while a data centre is taken out
// and its tasks are to be checkpointed: requests are answered all the while, and every
// task finishes.
func TestObjectsSlow(t *testing.T) {
	t.Parallel()

	d := startDeployment(t, threeDataCentres())
	d.declare(batch("reports", 24, 6*time.Second))

	l := d.startLoad(4)

	time.Sleep(2 * time.Second)
	d.controlRequest(http.MethodPut, "/objects/fault", standin.Fault{Delay: 20 * time.Second})

	slow := time.Now()
	id := resource.ID{
		Kind: resource.KindOutage,
		Name: "sinu",
	}

	_, err := d.operator(0).Put(t.Context(), id, &resource.Outage{Reason: "test"})
	assert.NilError(t, err)

	time.Sleep(4 * time.Second)

	failed, total := failures(l.results(), slow)
	assert.Equal(t, failed, 0, "of %d", total)

	d.controlRequest(http.MethodPut, "/objects/fault", standin.Fault{})

	_, err = d.operator(0).Delete(t.Context(), id)
	assert.NilError(t, err)

	d.waitFinished("reports", 24, time.Minute)
	l.end()
	d.check(l)
}
