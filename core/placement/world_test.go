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

// world runs schedulers, agents and stand-ins in virtual time. Everything that
// a scheduler or agent says can come late; schedulers pause, race and lose
// answers; workers reboot and fall silent. What may never happen is judged from
// the runtimes' own records and from the table.
type world struct {
	t          *testing.T
	random     *rand.Rand
	table      *standin.Table
	direct     *table.Table
	workers    []*fakeWorker
	schedulers []*fakeScheduler
	specs      map[string]placement.JobSpec
	// deleted has the jobs that were deleted.
	deleted map[string]bool
	out     map[string]time.Time
	outages []outage
	queue   []delayed
	// forgotten has the finished attempts that nobody could record.
	forgotten map[placement.AttemptID]bool
	// doubled has the tasks that finished more than once, by judge.
	doubled []placement.TaskID
	// report adds to what an agent says, if set.
	report func(*fakeWorker, *placement.Report)
	// periodic runs every period.
	periodic func()
	period   time.Duration
	ranAt    time.Time
	// down says that the table is down: no lease is renewed.
	down   bool
	faults faults
}

// faults are the chances of faults for each step of a scheduler or worker.
type faults struct {
	pause  float64
	silent float64
	reboot float64
	lose   float64
	// freeze is the chance that a step of a start is held up for long.
	freeze float64
	// maxDelay bounds how late a message comes.
	maxDelay time.Duration
}

// outage is a time in which a data centre was out.
type outage struct {
	dataCentre string
	from, to   time.Time
}

// outLimit is how soon nothing may start in a data centre that is out.
const outLimit = 3 * time.Second

type delayed struct {
	at  time.Time
	run func()
}

// fakeWorker is a worker's runtime and the agent beside it.
type fakeWorker struct {
	name        string
	dataCentre  string
	runtime     *standin.Runtime
	client      *worker.Client
	silentUntil time.Time
	lease       map[string]time.Duration
	tokens      map[*fakeScheduler]uint64
	saved       map[placement.AttemptID]string
	// looks has when the agent looked at its runtime to report, leases when each
	// lease was renewed and until when.
	looks  []time.Time
	leases []grant
}

// grant is the renewal of a worker's lease.
type grant struct {
	at, until time.Time
}

// unheard reports whether a worker's lease ran out before its agent looked at it
// after a moment, so that nobody could hear in time of what ended then.
func (k *fakeWorker) unheard(ended time.Time) bool {
	i := slices.IndexFunc(k.looks, func(t time.Time) bool { return !t.Before(ended) })
	if i < 0 {
		return true
	}

	return !slices.ContainsFunc(k.leases, func(g grant) bool {
		return g.at.Before(k.looks[i]) && !g.until.Before(k.looks[i])
	})
}

// fakeScheduler is an entry's scheduler with its leases.
type fakeScheduler struct {
	core        *placement.Scheduler
	validUntil  map[string]time.Time
	pausedUntil time.Time
}

const (
	step       = 50 * time.Millisecond
	taskLease  = 6 * time.Second
	shardLease = 3 * time.Second
	permitTime = 2 * time.Second
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
		t:       t,
		random:  rand.New(rand.NewPCG(seed, seed)),
		table:   standin.NewTable(),
		specs:   map[string]placement.JobSpec{},
		deleted: map[string]bool{},
		out:     map[string]time.Time{},
		faults:  f,
	}
	w.direct = w.table.Client()

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
		name:       name,
		dataCentre: dataCentre,
		runtime:    r,
		client:     r.Client(),
		lease:      map[string]time.Duration{},
		tokens:     map[*fakeScheduler]uint64{},
		saved:      map[placement.AttemptID]string{},
	})
}

func (w *world) declare(spec placement.JobSpec) {
	w.specs[spec.Key] = spec
	for _, s := range w.schedulers {
		s.core.SetJob(time.Now(), spec, nil)
	}
}

// remove deletes a job. Schedulers learn of it late, and one that is lost is
// replaced by one that never heard of the job.
func (w *world) remove(key string) {
	w.deleted[key] = true

	for _, s := range w.schedulers {
		w.later(func() { s.core.CancelJob(key) })
	}
}

// replaceScheduler loses one and starts a new one in its place.
func (w *world) replaceScheduler(n int, seed uint64) {
	s := w.newScheduler(seed)

	for _, key := range slices.Sorted(maps.Keys(w.specs)) {
		if !w.deleted[key] {
			s.core.SetJob(time.Now(), w.specs[key], nil)
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

// later runs a function after a random delay.
func (w *world) later(run func()) {
	d := time.Duration(0)
	if w.faults.maxDelay > 0 {
		d = time.Duration(w.random.Int64N(int64(w.faults.maxDelay)))
	}

	w.queue = append(w.queue, delayed{
		at:  time.Now().Add(d),
		run: run,
	})
}

// frozen runs a step of a start, now and then long after it should.
func (w *world) frozen(run func()) {
	if !w.chance(w.faults.freeze) {
		w.later(run)

		return
	}

	w.queue = append(w.queue, delayed{
		at:  time.Now().Add(time.Duration(w.random.Int64N(int64(4 * taskLease)))),
		run: run,
	})
}

func (w *world) deliver() {
	queue := w.queue
	w.queue = nil

	for _, d := range queue {
		if d.at.After(time.Now()) {
			w.queue = append(w.queue, d)

			continue
		}

		d.run()
	}
}

// every runs a function periodically from now on.
func (w *world) every(period time.Duration, run func()) {
	w.period = period
	w.periodic = run
}

func (w *world) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(step)
		w.deliver()

		if w.periodic != nil && time.Since(w.ranAt) >= w.period {
			w.ranAt = time.Now()
			w.periodic()
		}

		for _, s := range w.schedulers {
			w.stepScheduler(s)
		}

		for _, k := range w.workers {
			w.stepWorker(k)
		}

		w.checkPages()
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

	w.keepLeases(s)

	c := s.core.Tick(now)
	for _, b := range c.Batches {
		w.later(func() { w.commit(s, b) })
	}

	for _, st := range c.Starts {
		w.frozen(func() { w.start(s, st) })
	}

	for _, st := range c.Stops {
		w.later(func() { w.stop(st) })
	}

	for _, th := range c.Throttles {
		w.later(func() { w.throttle(th) })
	}

	for _, a := range c.EndAcks {
		w.later(func() { w.forget(a) })
	}
}

// keepLeases follows the rules of package entry: a holder counts its lease from
// before the write; others take it once it has surely lapsed.
func (w *world) keepLeases(s *fakeScheduler) {
	now := time.Now()

	for n := range 3 {
		d := fmt.Sprintf("dc%d", n)
		epoch, held := s.core.Holds(d)

		switch {
		case held && !now.Before(s.validUntil[d]):
			s.core.ReleaseShard(d)
		case w.down:
		case held && w.epoch(d) == epoch:
			s.validUntil[d] = now.Add(shardLease)
		case !held && w.lapsed(d) && w.chance(0.05):
			w.take(s, d)
		}
	}
}

func (w *world) epoch(d string) int64 {
	rows, err := w.direct.Get(context.Background(), []table.Key{table.EpochKey(d)})
	if err != nil || len(rows) == 0 {
		return 0
	}

	return rows[0].Version
}

func (w *world) lapsed(d string) bool {
	for _, s := range w.schedulers {
		if time.Now().Before(s.validUntil[d]) {
			return false
		}
	}

	return true
}

func (w *world) take(s *fakeScheduler, d string) {
	epoch := w.epoch(d) + 1

	assert.NilError(w.t, w.direct.Commit(context.Background(), []table.Write{{
		Key:     table.EpochKey(d),
		Expect:  epoch - 1,
		Version: epoch,
	}}))

	now := time.Now()
	s.validUntil[d] = now.Add(shardLease)

	for _, key := range slices.Sorted(maps.Keys(w.specs)) {
		if !w.deleted[key] {
			s.core.SetJob(now, w.specs[key], w.segments(key))
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

	if err := w.direct.Commit(context.Background(), writes); err != nil {
		result = placement.ResultRejected
	}

	if w.chance(w.faults.lose) {
		result = placement.ResultUnknown
	}

	s.core.ApplyResult(time.Now(), b, result)

	if result != placement.ResultWritten {
		w.later(func() { w.reload(s, b.DataCentre) })
	}
}

func (w *world) get(k table.Key) (table.Row, bool) {
	rows, err := w.direct.Get(context.Background(), []table.Key{k})
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

		if w.down {
			w.later(func() { w.reload(s, d) })

			return
		}

		if row, ok := w.get(table.PageRowKey(p.Key())); ok {
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

		if row, ok := w.get(table.SegmentRowKey(k)); ok {
			c, err = table.ReadSegment(row)
			assert.NilError(w.t, err)
		}

		segments = append(segments, c)
	}

	s.core.ApplyReloaded(time.Now(), d, pages, segments)
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

	// A heartbeat comes every fifth step or so.
	if w.chance(0.8) {
		return
	}

	status := w.status(k)
	k.looks = append(k.looks, now)

	for _, s := range w.schedulers {
		echo := k.tokens[s]
		w.later(func() { w.heartbeat(s, k, status, echo) })
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
		w.later(func() { w.heartbeat(s, k, status, echo) })

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
				Checkpoint: k.saved[t.ID],
			})
		}
	}

	if w.report != nil {
		w.report(k, &report)
	}

	accepted := s.core.Heartbeat(now, report)
	w.later(func() { k.tokens[s] = max(k.tokens[s], accepted.Token) })

	if !accepted.Renewed {
		return
	}

	until := status.Uptime + taskLease

	w.later(func() {
		k.leases = append(k.leases, grant{
			at:    time.Now(),
			until: time.Now().Add(until - w.status(k).Uptime),
		})
		k.lease[status.BootID] = max(k.lease[status.BootID], until)
		// A runtime that refuses has rebooted.
		_ = k.client.Renew(context.Background(), worker.Lease{
			BootID: status.BootID,
			Until:  until,
		})
	})
}

func (w *world) find(name string) *fakeWorker {
	for _, k := range w.workers {
		if k.name == name {
			return k
		}
	}

	return nil
}

// start follows the agent: the clock is read, a permit asked for, and the
// runtime judges whether it is still fresh.
func (w *world) start(s *fakeScheduler, st placement.Start) {
	k := w.find(st.Worker)
	status := w.status(k)

	w.frozen(func() {
		epoch, held := s.core.Holds(k.dataCentre)
		if time.Now().Before(s.pausedUntil) || !held || w.epoch(k.dataCentre) != epoch || !w.out[k.dataCentre].IsZero() {
			return
		}

		if ok, _ := s.core.Permit(k.name, st.ID); !ok {
			return
		}

		w.frozen(func() {
			// A refusal shows in the next heartbeat.
			_ = k.client.Start(context.Background(), st.ID, worker.Start{
				BootID:      st.BootID,
				StartBefore: status.Uptime + permitTime,
				LeaseUntil:  k.lease[status.BootID],
				Command:     st.Command,
				Size:        st.Size,
				RunTime:     st.RunTime,
				Checkpoint:  []byte(st.Checkpoint),
			})
		})
	})
}

func (w *world) stop(st placement.Stop) {
	k := w.find(st.Worker)
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
			k.saved[st.ID] = string(data)
		}
	}

	assert.NilError(w.t, k.client.Stop(context.Background(), st.ID))
}

func (w *world) throttle(th placement.Throttle) {
	k := w.find(th.Worker)
	// The attempt may have ended.
	_ = k.client.Throttle(context.Background(), th.ID, worker.Throttle{
		BootID:  w.status(k).BootID,
		Percent: int64(th.Percent),
	})
}

func (w *world) forget(a placement.EndAck) {
	k := w.find(a.Worker)

	for _, t := range w.status(k).Tasks {
		if t.ID == a.ID && t.Phase != placement.PhaseRunning {
			assert.NilError(w.t, k.client.Stop(context.Background(), a.ID))
		}
	}
}

// setOut takes the data centre dc1 out or brings it back.
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
		w.later(func() { s.core.SetDataCentre(time.Now(), d, out) })
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
