package integration_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
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

// TestRollingReplacement replaces every entry and agent under load: no request
// fails, no task is lost or doubled.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()

	d := start(t, sillasDelValle())
	d.declare(batch("reports", 12, 4*time.Second))

	l := d.startLoad(8)

	for _, p := range append(append([]*process(nil), d.entries...), d.agents[0], d.agents[1]) {
		time.Sleep(500 * time.Millisecond)
		p.shutDown()
		p.run()
		d.waitHTTP(p.admin, "/readyz")
	}

	time.Sleep(500 * time.Millisecond)
	l.end()
	d.untilFinished("reports", 12, 40*time.Second)

	for _, s := range l.results() {
		assert.Assert(t, s.err == nil && s.outcome == "Answered", "%s: %v, outcome %q, status %d", s.id, s.err, s.outcome, s.status)
	}

	d.judge(l)
}

// TestEntryKilled kills the entry that schedules, twice.
func TestEntryKilled(t *testing.T) {
	t.Parallel()

	d := start(t, balisageArmor())
	d.declare(batch("mix", 16, 5*time.Second))

	l := d.startLoad(4)

	for n := range 2 {
		time.Sleep(2 * time.Second)
		d.entries[n].kill()
		time.Sleep(2 * time.Second)
		d.entries[n].run()
		d.waitHTTP(d.entries[n].admin, "/readyz")
	}

	d.untilFinished("mix", 16, time.Minute)
	l.end()
	d.judge(l)
}

// TestEntryPaused stops the entry that schedules for longer than its leases
// last, and lets it go on.
func TestEntryPaused(t *testing.T) {
	t.Parallel()

	d := start(t, balisageArmor())
	d.declare(batch("mix", 16, 6*time.Second))

	l := d.startLoad(4)

	for n := range 2 {
		time.Sleep(2 * time.Second)
		d.entries[n].signal(syscall.SIGSTOP)
		time.Sleep(2*shardLease + 2*time.Second)
		d.entries[n].signal(syscall.SIGCONT)
	}

	d.untilFinished("mix", 16, time.Minute)
	l.end()
	d.judge(l)
}

// TestAgentKilled kills agents and pauses one: their tasks go on under their
// leases, or are taken up elsewhere once those have lapsed.
func TestAgentKilled(t *testing.T) {
	t.Parallel()

	d := start(t, sillasDelValle())
	d.declare(batch("reports", 24, 8*time.Second))

	l := d.startLoad(4)

	time.Sleep(2 * time.Second)
	d.agents[0].kill()
	d.agents[1].signal(syscall.SIGSTOP)
	d.agents[2].kill()
	time.Sleep(time.Second)
	d.agents[0].run()
	time.Sleep(2 * taskLease)
	d.agents[1].signal(syscall.SIGCONT)

	d.untilFinished("reports", 24, time.Minute)
	l.end()
	d.judge(l)
}

// TestWorkerReplaced reboots workers' runtimes while tasks run.
func TestWorkerReplaced(t *testing.T) {
	t.Parallel()

	d := start(t, sillasDelValle())
	d.declare(batch("reports", 24, 5*time.Second))

	for n := range 3 {
		time.Sleep(1500 * time.Millisecond)
		d.control1(http.MethodPost, "/runtimes/"+d.workers[n]+"/reboot", nil)
	}

	d.untilFinished("reports", 24, time.Minute)
	d.judge(nil)
}

// TestSilentConnections lets open connections go silent for good while new ones
// work. Idempotent requests are answered within their deadline all the same.
func TestSilentConnections(t *testing.T) {
	t.Parallel()

	d := start(t, sillasDelValle())
	d.declare()

	l := d.startLoad(8)

	time.Sleep(time.Second)

	silenced := time.Now()

	for _, e := range d.entries {
		e.peers.silenceOpen()
	}

	time.Sleep(5 * time.Second)
	l.end()

	// Found within 2 s: every request sent later than that is answered.
	failed, total := failures(l.results(), silenced.Add(2*time.Second))
	assert.Equal(t, failed, 0, "of %d", total)

	for _, s := range l.results() {
		if s.key == "" {
			assert.Assert(t, s.err == nil && s.outcome == "Answered", "%s began %s after the silence: %v, outcome %q", s.id, s.began.Sub(silenced), s.err, s.outcome)
		}
	}

	d.judge(l)
}

// TestSlowLinks runs with several milliseconds between processes and one entry
// cut off from its agents in one direction for a while.
func TestSlowLinks(t *testing.T) {
	t.Parallel()

	d := start(t, sillasDelValle())
	for _, e := range d.entries {
		e.peers.delay(5 * time.Millisecond)
		e.table.delay(5 * time.Millisecond)
	}

	d.declare(batch("reports", 12, 4*time.Second))

	l := d.startLoad(4)

	time.Sleep(time.Second)
	heal := d.entries[0].peers.cut("downstream")
	time.Sleep(4 * time.Second)
	heal()

	d.untilFinished("reports", 12, time.Minute)
	l.end()
	d.judge(l)
}

// TestTableDown takes the table away: services go on, keys are refused, no task
// starts; everything goes on when it is back.
func TestTableDown(t *testing.T) {
	t.Parallel()

	d := start(t, sillasDelValle())
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
	d.untilFinished("reports", 12, time.Minute)
	l.end()
	d.judge(l)
}

// TestLostAnswers lets the table write and lose its answers.
func TestLostAnswers(t *testing.T) {
	t.Parallel()

	d := start(t, sillasDelValle())
	d.declare()

	l := d.startLoad(4)

	d.tableFault(standin.Fault{LoseAnswers: true})

	_, err := d.operator(0).Apply(t.Context(), []resource.Resource{batch("reports", 12, 2*time.Second)}, false)
	assert.NilError(t, err, "a change that was written is settled by reading it back")

	time.Sleep(4 * time.Second)
	d.tableFault(standin.Fault{})
	d.untilFinished("reports", 12, time.Minute)
	l.end()
	d.judge(l)
}

// TestOutAndBack takes a data centre out under load and brings it back. Nothing
// starts there meanwhile, no idempotent request fails, and little work is lost.
func TestOutAndBack(t *testing.T) {
	t.Parallel()

	d := start(t, balisageArmor())
	d.declare(batch("mix", 40, 6*time.Second))

	l := d.startLoad(6)

	time.Sleep(2 * time.Second)

	place := "lannion"
	out := resource.ID{
		Kind: resource.KindOutage,
		Name: place,
	}
	_, err := d.operator(1).Put(t.Context(), out, &resource.Outage{Reason: "test"})
	assert.NilError(t, err)

	since := time.Now()

	time.Sleep(6 * time.Second)

	back := time.Now()

	_, err = d.operator(0).Delete(t.Context(), out)
	assert.NilError(t, err)

	d.untilFinished("mix", 40, time.Minute)
	l.end()

	failed, total := failures(l.results(), time.Time{})
	assert.Equal(t, failed, 0, "of %d", total)

	for _, e := range d.events() {
		started := e.Phase == placement.PhaseRunning && e.Time.After(since.Add(3*time.Second)) && e.Time.Before(back)
		assert.Assert(t, !started || !strings.HasPrefix(e.Worker, place), "%v started in a data centre that is out", e)
	}

	assert.Assert(t, lostWork(d.events()) <= 0.01*40, "%.2f tasks of work were lost", lostWork(d.events()))
	d.judge(l)
}

// lostWork is the work, in tasks, that was done and not taken up again.
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

// TestOperatorsRace lets two operators change one resource at a time: one wins,
// and the other learns what is there now.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()

	d := start(t, sillasDelValle())
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

// TestConfigurationWithoutTable cuts an entry off the table. What is accepted
// through the other is in force there within 3 s, and does not revert.
func TestConfigurationWithoutTable(t *testing.T) {
	t.Parallel()

	d := start(t, sillasDelValle())
	d.declare()

	// The entries must know each other first.
	d.until("the entries know each other", startTime, func() bool {
		list, err := d.operator(0).List(context.Background(), "Entry")
		other, err2 := d.operator(1).List(context.Background(), "Entry")

		return err == nil && err2 == nil && len(list) == 2 && len(other) == 2
	})

	heal := d.entries[1].table.cut("upstream")

	_, err := d.operator(0).Apply(t.Context(), []resource.Resource{
		declared(resource.KindConfiguration, "opening", &resource.Configuration{Values: map[string]string{"Sunday": "closed"}}),
	}, false)
	assert.NilError(t, err)

	d.until("in force at the entry without the table", 3*time.Second, func() bool {
		v, err := d.operator(1).Get(context.Background(), resource.ID{
			Kind: resource.KindConfiguration,
			Name: "opening",
		})

		return err == nil && strings.Count(string(v.Status), `"Revision"`) == len(d.shape.dataCentres)
	})

	heal()
	d.entries[0].kill()
	d.entries[0].run()
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

// TestCancellations deletes jobs in a wave: everything stops.
func TestCancellations(t *testing.T) {
	t.Parallel()

	const jobs = 20

	d := start(t, balisageArmor())

	var list []resource.Resource
	for n := range jobs {
		list = append(list, batch(fmt.Sprintf("mix-%d", n), 10, time.Minute))
	}

	d.declare(list...)

	d.until("tasks run", startTime, func() bool { return len(running(d.events())) > 20 })

	for n := range jobs {
		_, err := d.operator(n%2).Delete(t.Context(), list[n].ID)
		assert.NilError(t, err)
	}

	d.until("everything stopped", 10*time.Second, func() bool { return len(running(d.events())) == 0 })
	d.judge(nil)
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

// TestBadWorker lets one worker fail everything: it is quarantined, and no job
// is failed for it. A job that can never run fails at once with its reason.
func TestBadWorker(t *testing.T) {
	t.Parallel()

	d := start(t, sillasDelValle())
	d.control1(http.MethodPut, "/runtimes/"+d.workers[0]+"/fail", true)

	huge := batch("huge", 1, time.Second)
	huge.Spec.(*resource.Job).MilliCores = 64_000

	d.declare(batch("first", 12, time.Second), batch("second", 12, time.Second), huge)
	d.untilFinished("first", 12, 30*time.Second)
	d.untilFinished("second", 12, 30*time.Second)
	d.until("the huge job failed with a reason", 10*time.Second, func() bool {
		s, err := d.job(0, "huge")

		return err == nil && s.State == "Failed" && strings.Contains(s.Reason, "more than any worker has")
	})
	d.judge(nil)
}

// TestUrgent fills the workers and starts urgent work, within 3 s.
func TestUrgent(t *testing.T) {
	t.Parallel()

	d := start(t, sillasDelValle())
	d.declare(batch("filling", 100, 30*time.Second))
	d.until("the workers are full", 10*time.Second, func() bool { return len(running(d.events())) >= 80 })

	urgent := batch("recall", 4, time.Second)
	urgent.Spec.(*resource.Job).Urgent = true

	asked := time.Now()

	_, err := d.operator(0).Apply(t.Context(), []resource.Resource{urgent}, false)
	assert.NilError(t, err)

	d.until("urgent work started", 3*time.Second-time.Since(asked), func() bool {
		n := 0

		for _, e := range d.events() {
			if e.Phase == placement.PhaseRunning && strings.HasPrefix(e.ID.Job, "recall@") {
				n++
			}
		}

		return n == 4
	})
	d.untilFinished("recall", 4, 10*time.Second)
	d.judge(nil)
}

// TestObjectsSlow lets the object store hang while tasks are to be saved and an
// agent is replaced: the services do not notice, and no work is lost.
func TestObjectsSlow(t *testing.T) {
	t.Parallel()

	d := start(t, sillasDelValle())
	d.declare(batch("reports", 24, 6*time.Second))

	l := d.startLoad(4)

	time.Sleep(2 * time.Second)
	d.control1(http.MethodPut, "/objects/fault", standin.Fault{Delay: 20 * time.Second})

	hung := time.Now()
	id := resource.ID{
		Kind: resource.KindOutage,
		Name: "sinu",
	}

	_, err := d.operator(0).Put(t.Context(), id, &resource.Outage{Reason: "test"})
	assert.NilError(t, err)

	time.Sleep(4 * time.Second)

	failed, total := failures(l.results(), hung)
	assert.Equal(t, failed, 0, "of %d", total)

	d.control1(http.MethodPut, "/objects/fault", standin.Fault{})

	_, err = d.operator(0).Delete(t.Context(), id)
	assert.NilError(t, err)

	d.untilFinished("reports", 24, time.Minute)
	l.end()
	d.judge(l)
}
