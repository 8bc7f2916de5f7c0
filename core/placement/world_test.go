package placement_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"trefoildeck/core/placement"
	"trefoildeck/io/table"
	"trefoildeck/io/worker"
	"trefoildeck/standin"

	"gotest.tools/v3/assert"
)

// world simulates schedulers, agents, worker runtimes and the table in virtual
// time. Every message can be delayed; schedulers pause, compete for shards and
// lose commit results; workers reboot and fall silent. Invariants are checked
// against the runtimes' event records and the table, not against the schedulers'
// state.
type world struct {
	t           *testing.T
	random      *rand.Rand
	table       *standin.Table
	tableClient *table.Table
	workers     []*fakeWorker
	schedulers  []*fakeScheduler
	specs       map[string]placement.JobSpec
	// deletedJobs holds the keys of deleted jobs.
	deletedJobs map[string]bool
	// out maps each data centre that is out to the beginning of the outage;
	// outages holds those that are over.
	out          map[string]time.Time
	outages      []outage
	delayedCalls []delayedCall
	// unrecorded holds the attempts that finished but whose end the runtime forgot
	// before anyone could record it.
	unrecorded map[placement.AttemptID]bool
	// finishedTwice holds the tasks of which checkRuns found more than one success
	// that could be reported.
	finishedTwice []placement.TaskID
	// addToReport, if set, completes each report before it is delivered.
	addToReport func(*fakeWorker, *placement.Report)
	// periodic is called every period.
	periodic      func()
	period        time.Duration
	periodicRanAt time.Time
	// tableDown says that the table is unreachable, so no shard lease is renewed.
	tableDown bool
	faults    faults
}

// faults are the probabilities of faults: pause, silent and reboot per simulation
// step of a scheduler or worker, loseResult per commit.
type faults struct {
	pause      float64
	silent     float64
	reboot     float64
	loseResult float64
	// freeze is the probability that a stage of a start is delayed by up to four
	// task leases.
	freeze float64
	// maxDelay is the maximum delay of a message.
	maxDelay time.Duration
}

// outage is a period in which a data centre was out.
type outage struct {
	dataCentre string
	from, to   time.Time
}

// outageGrace is how long after the beginning of an outage attempts may still
// start.
const outageGrace = 3 * time.Second

// delayedCall is a call that runs at the first step at or after a time.
type delayedCall struct {
	at  time.Time
	run func()
}

// fakeWorker is a worker's runtime with its agent.
type fakeWorker struct {
	name        string
	dataCentre  string
	runtime     *standin.Runtime
	client      *worker.Client
	silentUntil time.Time
	// leaseUntil is the end of the lease on the runtime's clock, by BootID.
	leaseUntil map[string]time.Duration
	// tokens holds the highest token received from each scheduler.
	tokens      map[*fakeScheduler]uint64
	checkpoints map[placement.AttemptID]string
	// statusReadAt holds the times at which the agent read the runtime's status
	// for a report.
	statusReadAt []time.Time
	renewals     []renewal
}

// renewal is a renewal of a worker's lease.
type renewal struct {
	at, until time.Time
}

// endUnreported reports whether a worker had no valid lease when its agent first
// read the status after a task ended, so that the end could not be reported in
// time.
func (k *fakeWorker) endUnreported(ended time.Time) bool {
	i := slices.IndexFunc(k.statusReadAt, func(t time.Time) bool { return !t.Before(ended) })
	if i < 0 {
		return true
	}

	return !slices.ContainsFunc(k.renewals, func(r renewal) bool {
		return r.at.Before(k.statusReadAt[i]) && !r.until.Before(k.statusReadAt[i])
	})
}

// fakeScheduler is a scheduler with the shard leases of its entry.
type fakeScheduler struct {
	core        *placement.Scheduler
	validUntil  map[string]time.Time
	pausedUntil time.Time
}

const (
	step           = 50 * time.Millisecond
	taskLease      = 6 * time.Second
	shardLease     = 3 * time.Second
	permitValidity = 2 * time.Second
)

func capacity() placement.Size {
	return placement.Size{
		MilliCores: 8000,
		MemoryMB:   16000,
	}
}

func newWorld(t *testing.T, seed uint64, dataCentres, workers, schedulers int, f faults) *world {
	t.Helper()

	w := &world{
		t:           t,
		random:      rand.New(rand.NewPCG(seed, seed)),
		table:       standin.NewTable(),
		specs:       map[string]placement.JobSpec{},
		deletedJobs: map[string]bool{},
		out:         map[string]time.Time{},
		faults:      f,
	}
	w.tableClient = w.table.Client()

	for d := range dataCentres {
		for n := range workers {
			w.addWorker(fmt.Sprintf("dc%d-%d", d, n), fmt.Sprintf("dc%d", d))
		}
	}

	for n := range schedulers {
		w.schedulers = append(w.schedulers, w.newScheduler(seed+uint64(n)))
	}

	return w
}

func (w *world) addWorker(name, dataCentre string) {
	r := standin.NewRuntime(name)
	w.workers = append(w.workers, &fakeWorker{
		name:        name,
		dataCentre:  dataCentre,
		runtime:     r,
		client:      r.Client(),
		leaseUntil:  map[string]time.Duration{},
		tokens:      map[*fakeScheduler]uint64{},
		checkpoints: map[placement.AttemptID]string{},
	})
}

func (w *world) declare(spec placement.JobSpec) {
	w.specs[spec.Key] = spec
	for _, s := range w.schedulers {
		s.core.SetJob(spec, nil)
	}
}

// deleteJob deletes a job. Schedulers learn of it after a delay. A scheduler that
// replaceScheduler starts later never knows the job.
func (w *world) deleteJob(key string) {
	w.deletedJobs[key] = true

	for _, s := range w.schedulers {
		w.delay(func() { s.core.CancelJob(key) })
	}
}

// replaceScheduler stops scheduler n and adds a new one.
func (w *world) replaceScheduler(n int, seed uint64) {
	s := w.newScheduler(seed)

	for _, key := range slices.Sorted(maps.Keys(w.specs)) {
		if !w.deletedJobs[key] {
			s.core.SetJob(w.specs[key], nil)
		}
	}

	w.schedulers[n].pausedUntil = time.Now().Add(time.Hour)
	w.schedulers = append(w.schedulers, s)
}

func (w *world) newScheduler(seed uint64) *fakeScheduler {
	s := &fakeScheduler{
		validUntil: map[string]time.Time{},
		core: placement.New(placement.Options{
			TaskLease:      taskLease,
			CommitInterval: 100 * time.Millisecond,
			Seed:           seed,
		}),
	}

	for d := range 3 {
		s.core.SetDataCentre(time.Now(), fmt.Sprintf("dc%d", d), false)
	}

	return s
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

// delay runs a function after a random delay of at most faults.maxDelay.
func (w *world) delay(run func()) {
	d := time.Duration(0)
	if w.faults.maxDelay > 0 {
		d = time.Duration(w.random.Int64N(int64(w.faults.maxDelay)))
	}

	w.delayedCalls = append(w.delayedCalls, delayedCall{
		at:  time.Now().Add(d),
		run: run,
	})
}

// delayStart runs a stage of a start after a random delay. With the probability
// faults.freeze, the delay is up to four task leases long.
func (w *world) delayStart(run func()) {
	if !w.chance(w.faults.freeze) {
		w.delay(run)

		return
	}

	w.delayedCalls = append(w.delayedCalls, delayedCall{
		at:  time.Now().Add(time.Duration(w.random.Int64N(int64(4 * taskLease)))),
		run: run,
	})
}

// runDelayed runs the delayed calls that are due.
func (w *world) runDelayed() {
	queue := w.delayedCalls
	w.delayedCalls = nil

	for _, d := range queue {
		if d.at.After(time.Now()) {
			w.delayedCalls = append(w.delayedCalls, d)

			continue
		}

		d.run()
	}
}

// every calls a function periodically from now on.
func (w *world) every(period time.Duration, run func()) {
	w.period = period
	w.periodic = run
}

// run advances the simulation by a duration.
func (w *world) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(step)
		w.runDelayed()

		if w.periodic != nil && time.Since(w.periodicRanAt) >= w.period {
			w.periodicRanAt = time.Now()
			w.periodic()
		}

		for _, s := range w.schedulers {
			w.stepScheduler(s)
		}

		for _, k := range w.workers {
			w.stepWorker(k)
		}

		w.checkCommitments()
	}
}

func (w *world) stepScheduler(s *fakeScheduler) {
	now := time.Now()
	if now.Before(s.pausedUntil) {
		return
	}

	if w.chance(w.faults.pause) {
		s.pausedUntil = now.Add(time.Duration(w.random.Int64N(int64(4 * shardLease))))

		return
	}

	w.renewShards(s)

	c := s.core.Tick(now)
	for _, b := range c.Batches {
		w.delay(func() { w.commit(s, b) })
	}

	for _, st := range c.Starts {
		w.delayStart(func() { w.startAttempt(s, st) })
	}

	for _, st := range c.Stops {
		w.delay(func() { w.stopAttempt(st) })
	}

	for _, th := range c.Throttles {
		w.delay(func() { w.throttleAttempt(th) })
	}

	for _, a := range c.EndAcks {
		w.delay(func() { w.acknowledgeEnd(a) })
	}
}

// renewShards follows the rules of package entry: a holder counts its lease from
// before the write, and others take the shard only once the lease has certainly
// lapsed.
func (w *world) renewShards(s *fakeScheduler) {
	now := time.Now()

	for n := range 3 {
		d := fmt.Sprintf("dc%d", n)
		epoch, held := s.core.Holds(d)

		switch {
		case held && !now.Before(s.validUntil[d]):
			s.core.ReleaseShard(d)
		case w.tableDown:
		case held && w.epoch(d) == epoch:
			s.validUntil[d] = now.Add(shardLease)
		case !held && w.shardLapsed(d) && w.chance(0.05):
			w.takeShard(s, d)
		}
	}
}

func (w *world) epoch(d string) int64 {
	rows, err := w.tableClient.Get(context.Background(), []table.Key{table.EpochKey(d)})
	if err != nil || len(rows) == 0 {
		return 0
	}

	return rows[0].Version
}

func (w *world) shardLapsed(d string) bool {
	for _, s := range w.schedulers {
		if time.Now().Before(s.validUntil[d]) {
			return false
		}
	}

	return true
}

func (w *world) takeShard(s *fakeScheduler, d string) {
	epoch := w.epoch(d) + 1

	assert.NilError(w.t, w.tableClient.Commit(context.Background(), []table.Write{{
		Key:     table.EpochKey(d),
		Expect:  epoch - 1,
		Version: epoch,
	}}))

	now := time.Now()
	s.validUntil[d] = now.Add(shardLease)

	for _, key := range slices.Sorted(maps.Keys(w.specs)) {
		if !w.deletedJobs[key] {
			s.core.SetJob(w.specs[key], w.segments(key))
		}
	}

	var pages []*placement.Page

	for _, row := range w.table.Rows(table.PagePartition(d)) {
		p, err := table.ReadPage(row)
		assert.NilError(w.t, err)

		pages = append(pages, p)
	}

	s.core.TakeShard(now, d, epoch, pages)
}

func (w *world) segments(key string) []*placement.Segment {
	var list []*placement.Segment

	for _, row := range w.table.Rows(table.SegmentPartition(key)) {
		c, err := table.ReadSegment(row)
		assert.NilError(w.t, err)

		list = append(list, c)
	}

	return list
}

func (w *world) commit(s *fakeScheduler, b *placement.Batch) {
	writes, err := table.BatchWrites(b)
	assert.NilError(w.t, err)

	result := placement.ResultWritten

	if err := w.tableClient.Commit(context.Background(), writes); err != nil {
		result = placement.ResultRejected
	}

	if w.chance(w.faults.loseResult) {
		result = placement.ResultUnknown
	}

	s.core.ApplyResult(b, result)

	if result != placement.ResultWritten {
		w.delay(func() { w.reload(s, b.DataCentre) })
	}
}

func (w *world) getRow(k table.Key) (table.Row, bool) {
	rows, err := w.tableClient.Get(context.Background(), []table.Key{k})
	assert.NilError(w.t, err)

	if len(rows) == 0 {
		return table.Row{}, false
	}

	return rows[0], true
}

func (w *world) reload(s *fakeScheduler, d string) {
	numbers, keys := s.core.StaleRows(d)

	var (
		pages    []*placement.Page
		segments []*placement.Segment
		err      error
	)

	for _, n := range numbers {
		p := &placement.Page{
			DataCentre: d,
			Number:     n,
		}

		if w.tableDown {
			w.delay(func() { w.reload(s, d) })

			return
		}

		if row, ok := w.getRow(table.PageRowKey(p.Key())); ok {
			p, err = table.ReadPage(row)
			assert.NilError(w.t, err)
		}

		pages = append(pages, p)
	}

	for _, k := range keys {
		c := &placement.Segment{
			Job:    k.Job,
			Number: k.Number,
		}

		if row, ok := w.getRow(table.SegmentRowKey(k)); ok {
			c, err = table.ReadSegment(row)
			assert.NilError(w.t, err)
		}

		segments = append(segments, c)
	}

	s.core.ApplyReloaded(d, pages, segments)
}

func (w *world) stepWorker(k *fakeWorker) {
	now := time.Now()

	if w.chance(w.faults.reboot) {
		k.runtime.Reboot()
	}

	if now.Before(k.silentUntil) {
		return
	}

	if w.chance(w.faults.silent) {
		k.silentUntil = now.Add(time.Duration(w.random.Int64N(int64(3 * taskLease))))

		return
	}

	// A worker sends a heartbeat every five steps on average.
	if w.chance(0.8) {
		return
	}

	status := w.status(k)
	k.statusReadAt = append(k.statusReadAt, now)

	for _, s := range w.schedulers {
		echo := k.tokens[s]
		w.delay(func() { w.heartbeat(s, k, status, echo) })
	}
}

func (w *world) status(k *fakeWorker) worker.Status {
	status, err := k.client.Status(context.Background())
	assert.NilError(w.t, err)

	return status
}

func (w *world) heartbeat(s *fakeScheduler, k *fakeWorker, status worker.Status, echo uint64) {
	now := time.Now()
	if now.Before(s.pausedUntil) {
		w.delay(func() { w.heartbeat(s, k, status, echo) })

		return
	}

	if !now.Before(s.validUntil[k.dataCentre]) {
		s.core.ReleaseShard(k.dataCentre)
	}

	report := placement.Report{
		Worker:     k.name,
		DataCentre: k.dataCentre,
		BootID:     status.BootID,
		Capacity:   capacity(),
		Echo:       echo,
	}

	for _, t := range status.Tasks {
		report.Tasks = append(report.Tasks, placement.AttemptReport{
			ID:    t.ID,
			Phase: t.Phase,
			Used: placement.Size{
				MilliCores: t.UsedMilliCores,
				MemoryMB:   t.UsedMemoryMB,
			},
		})

		if t.Phase != placement.PhaseRunning {
			s.core.ReportEnd(k.name, placement.End{
				ID:         t.ID,
				Phase:      t.Phase,
				Checkpoint: k.checkpoints[t.ID],
			})
		}
	}

	if w.addToReport != nil {
		w.addToReport(k, &report)
	}

	reply := s.core.Heartbeat(now, report)
	w.delay(func() { k.tokens[s] = max(k.tokens[s], reply.Token) })

	if !reply.Renewed {
		return
	}

	until := status.Uptime + taskLease

	w.delay(func() {
		k.renewals = append(k.renewals, renewal{
			at:    time.Now(),
			until: time.Now().Add(until - w.status(k).Uptime),
		})
		k.leaseUntil[status.BootID] = max(k.leaseUntil[status.BootID], until)
		// The runtime refuses the renewal if it has a new incarnation.
		_ = k.client.Renew(context.Background(), worker.Lease{
			BootID: status.BootID,
			Until:  until,
		})
	})
}

func (w *world) worker(name string) *fakeWorker {
	for _, k := range w.workers {
		if k.name == name {
			return k
		}
	}

	return nil
}

// startAttempt follows the agent: it reads the runtime's clock, then asks for a
// permit, and the runtime rejects the start if the permit is no longer valid.
func (w *world) startAttempt(s *fakeScheduler, st placement.Start) {
	k := w.worker(st.Worker)
	status := w.status(k)

	w.delayStart(func() {
		epoch, held := s.core.Holds(k.dataCentre)
		if time.Now().Before(s.pausedUntil) || !held || w.epoch(k.dataCentre) != epoch || !w.out[k.dataCentre].IsZero() {
			return
		}

		if ok, _ := s.core.Permit(time.Now(), k.name, st.ID); !ok {
			return
		}

		w.delayStart(func() {
			// If the runtime refuses, the next heartbeat doesn't list the attempt.
			_ = k.client.Start(context.Background(), st.ID, worker.Start{
				BootID:      st.BootID,
				StartBefore: status.Uptime + permitValidity,
				LeaseUntil:  k.leaseUntil[status.BootID],
				Command:     st.Command,
				Size:        st.Size,
				RunTime:     st.RunTime,
				Checkpoint:  []byte(st.Checkpoint),
			})
		})
	})
}

func (w *world) stopAttempt(st placement.Stop) {
	k := w.worker(st.Worker)
	if time.Now().Before(k.silentUntil) {
		return
	}

	for _, t := range w.status(k).Tasks {
		if t.ID == st.ID && t.Phase != placement.PhaseRunning {
			return
		}
	}

	if st.Checkpoint {
		if data, err := k.client.Checkpoint(context.Background(), st.ID); err == nil {
			k.checkpoints[st.ID] = string(data)
		}
	}

	assert.NilError(w.t, k.client.Stop(context.Background(), st.ID))
}

func (w *world) throttleAttempt(th placement.Throttle) {
	k := w.worker(th.Worker)
	// The attempt may have ended, which is no error.
	_ = k.client.Throttle(context.Background(), th.ID, worker.Throttle{
		BootID:  w.status(k).BootID,
		Percent: int64(th.Percent),
	})
}

func (w *world) acknowledgeEnd(a placement.EndAck) {
	k := w.worker(a.Worker)

	for _, t := range w.status(k).Tasks {
		if t.ID == a.ID && t.Phase != placement.PhaseRunning {
			assert.NilError(w.t, k.client.Stop(context.Background(), a.ID))
		}
	}
}

// setOut takes the data centre dc1 out of service or brings it back.
func (w *world) setOut(out bool) {
	const d = "dc1"

	if out {
		w.out[d] = time.Now()
	} else {
		w.outages = append(w.outages, outage{
			dataCentre: d,
			from:       w.out[d],
			to:         time.Now(),
		})
		delete(w.out, d)
	}

	for _, s := range w.schedulers {
		w.delay(func() { s.core.SetDataCentre(time.Now(), d, out) })
	}
}

func job(name string, tasks int, milliCores int64, runTime time.Duration) placement.JobSpec {
	return placement.JobSpec{
		Key:     name + "@1",
		Name:    name,
		Team:    "mixing",
		Tasks:   tasks,
		RunTime: runTime,
		Command: "run",
		Size: placement.Size{
			MilliCores: milliCores,
			MemoryMB:   100,
		},
	}
}
