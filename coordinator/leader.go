package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"trefoildeck/core/fleet"
	"trefoildeck/core/job"
	"trefoildeck/core/lease"
	"trefoildeck/internal/guard"
	"trefoildeck/internal/jsonlog"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/io/rows"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	// leaderRetryPause is the delay before the leader repeats a call to the store
	// that failed or whose outcome is unknown.
	leaderRetryPause = 100 * time.Millisecond
	// loadReads is the number of parts of the jobs that are read at the same time, with up
	// to 20 ms of network latency each.
	loadReads = 16
	// scheduleDelay batches reports into one scheduling pass: at 400 reports a
	// second, a pass for each would take 5% of a core (BenchmarkSchedule). It delays
	// the start of each task.
	scheduleDelay = 5 * time.Millisecond
	// resignTimeout limits the release of the lease. Until it ends, the other processes
	// keep their sessions with this one and take no lease.
	resignTimeout = time.Second
	// yieldCheckPeriod is the period of the check for a stronger process.
	yieldCheckPeriod = time.Second
)

var (
	errLeaseExpired = eris.New("lease expired")
	errResigned     = eris.New("resigned")
	errYielded      = eris.New("resigned in favour of a stronger process")
)

// leader schedules all jobs during one term of this process.
type leader struct {
	c    *Coordinator
	term int64

	mu    sync.Mutex
	fleet *fleet.Fleet
	nodes map[string]*nodeLink
	// versions holds the version of each job's progress row, which each write expects.
	// A write whose answer was lost may be applied seconds later; the expected version
	// keeps it from overwriting a later write.
	versions map[string]int64
	// reloading means that jobs are being read again, so that not all are known.
	reloading bool
	// rejections has the rows that the store rejects.
	rejections rejections
	// absences is the row of absent sidecars.
	absences fleet.Absences
	// handedOver has the local times at which leases have ended on sidecars that were out of contact
	// with the previous leader.
	handedOver map[string]time.Duration
	// repeats limits the log lines about checkpoints that can't be stored, and about admission.
	repeats jsonlog.Repeats

	// kept has the jobs whose rows are to be removed, in the order of their times.
	kept []keptJob

	leaseMu sync.Mutex
	lease   leaseState
	// resigned is set before the lease is released.
	resigned bool

	// committing is a channel used as a mutex for writing changes: up to which number a
	// worker may forget its ends depends on all earlier writes.
	committing chan struct{}

	// wake requests a scheduling pass.
	wake chan struct{}
	// flush requests a write of changes.
	flush chan struct{}
	// absenceEnded requests a write of the absent sidecars, since one of them has connected.
	absenceEnded chan struct{}
}

func newLeader(c *Coordinator, term int64, ls leaseState) *leader {
	f := fleet.New(term)
	f.RowBytes = c.settings.Store.RowLimit()
	enableScheduling(f, c.settings.Scheduling)

	return &leader{
		c:     c,
		term:  term,
		fleet: f,
		nodes: map[string]*nodeLink{},

		versions:   map[string]int64{},
		rejections: rejections{rows: map[string]rejection{}},
		lease:      ls,
		wake:       make(chan struct{}, 1),
		flush:      make(chan struct{}, 1),

		committing: make(chan struct{}, 1),

		absenceEnded: make(chan struct{}, 1),
	}
}

// holdsLease reports whether the lease is still valid and not being released, so that the
// leader may act.
func (l *leader) holdsLease() bool { return !l.resigns() && l.leaseValid() }

func (l *leader) resigns() bool {
	l.leaseMu.Lock()
	defer l.leaseMu.Unlock()

	return l.resigned
}

func (l *leader) leaseValid() bool {
	l.leaseMu.Lock()
	expiry := l.lease.record.Expiry
	l.leaseMu.Unlock()

	return l.c.leaseHolds(expiry)
}

// lead runs the leader until the lease is lost or given up, and returns the reason.
// When ctx is done, it resigns.
func (l *leader) lead(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	group, work := errgroup.WithContext(work)

	group.Go(func() error { return l.renew(work) })
	group.Go(func() error { return guard.Call(func() error { return l.run(work, group) }) })
	group.Go(func() error {
		select {
		case <-work.Done():
			return nil
		case <-ctx.Done():
			return l.resign(work)
		}
	})

	err := group.Wait()

	l.c.mu.Lock()
	l.c.localLeader = nil
	l.c.mu.Unlock()

	return err
}

// run loads all jobs, then schedules them.
func (l *leader) run(ctx context.Context, group *errgroup.Group) error {
	after, err := l.load(ctx)
	if err != nil {
		return err
	}

	if err := l.loadAbsences(ctx); err != nil {
		return err
	}

	l.applyOperatorState()
	l.c.mu.Lock()
	l.c.localLeader = l
	l.c.mu.Unlock()

	group.Go(func() error { return l.watchNodes(ctx) })
	group.Go(func() error { return l.watchJobs(ctx, after) })
	group.Go(func() error { return l.persistChanges(ctx) })
	group.Go(func() error { return l.watchAbsences(ctx) })
	group.Go(func() error { return l.removeExpired(ctx) })
	group.Go(func() error { return l.broadcastEstimates(ctx) })
	group.Go(func() error { return l.broadcastBacklog(ctx) })
	group.Go(func() error { return l.yieldToStronger(ctx) })

	return l.schedule(ctx)
}

// renew extends the lease until it expires, is being released, or another leader is found.
func (l *leader) renew(ctx context.Context) error {
	wait := lease.RenewInterval

	for sleep(ctx, wait); ctx.Err() == nil && !l.resigns(); sleep(ctx, wait) {
		l.leaseMu.Lock()
		ls := l.lease
		l.leaseMu.Unlock()

		now, _ := l.c.storeNow()
		ls.record.Expiry = now + lease.Duration

		n, err := l.c.putLease(ctx, ls, false)

		switch {
		case err == nil:
			l.leaseMu.Lock()
			l.lease = n
			l.leaseMu.Unlock()

			wait = lease.RenewInterval

			continue
		case errors.Is(err, rows.ErrUnknown):
			// The store may be slow and renew the lease in the meantime.
			l.c.log.Warn("LeaseNotRenewed", zap.Int64("Term", l.term), jsonlog.Error(err))
			sleep(ctx, leaderRetryPause)

			fallthrough
		case errors.Is(err, rows.ErrConflict):
			if err := l.rereadLease(ctx); err != nil {
				return err
			}
		default:
			l.c.log.Warn("LeaseNotRenewed", zap.Int64("Term", l.term), jsonlog.Error(err))
		}

		if !l.leaseValid() && !l.resigns() {
			return errLeaseExpired
		}

		wait = leaderRetryPause
	}

	return nil
}

// rereadLease determines whether a renewal whose answer was lost took place, or whether
// a conflict comes from such a renewal or from another leader. If the store can't be
// read, the leader continues until its lease expires.
func (l *leader) rereadLease(ctx context.Context) error {
	ls, err := l.c.readLease(ctx)

	switch {
	case err != nil:
		l.c.log.Warn("LeaseUnreadable", jsonlog.Error(err))
	case ls.record.Term != l.term || ls.record.Boot != l.c.node.Boot:
		return fmt.Errorf("term %d of %s: %w", ls.record.Term, ls.record.Holder, peer.ErrSuperseded)
	default:
		l.leaseMu.Lock()
		l.lease = ls
		l.leaseMu.Unlock()
	}

	return nil
}

// yieldToStronger resigns once a stronger process has been connected for
// lease.YieldAfter, at most once per lease.MinYieldInterval.
func (l *leader) yieldToStronger(ctx context.Context) error {
	for sleep(ctx, yieldCheckPeriod); ctx.Err() == nil; sleep(ctx, yieldCheckPeriod) {
		now := l.c.now()

		l.c.mu.Lock()
		recently := l.c.yieldedAt > 0 && now-l.c.yieldedAt < lease.MinYieldInterval
		l.c.mu.Unlock()

		n := l.strongerNode(now)
		if n == "" || recently {
			continue
		}

		l.c.mu.Lock()
		l.c.yieldedAt = now
		l.c.mu.Unlock()
		l.c.log.Info("LeaseYielded", zap.Int64("Term", l.term), zap.String("To", n))

		return errors.Join(errYielded, l.resign(ctx))
	}

	return nil
}

// strongerNode returns the name of a stronger process that has been connected for
// lease.YieldAfter, or "".
func (l *leader) strongerNode(now time.Duration) string {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, n := range l.nodes {
		if n.node.Role == peer.RoleEntry && n.session != nil && now-n.opened > lease.YieldAfter &&
			lease.Stronger(n.node.ProcessorShare, l.c.node.ProcessorShare) {
			return n.node.Name
		}
	}

	return ""
}

// resign writes pending changes once more, then releases the lease. The answer to that may
// come long after another leader has begun, so this one acts no more.
func (l *leader) resign(ctx context.Context) error {
	if _, err := l.commitChanges(ctx); err != nil {
		l.c.log.Warn("ProgressNotWritten", jsonlog.Error(err))
	}

	l.leaseMu.Lock()
	l.resigned = true
	l.leaseMu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()

	for !l.release(ctx) && ctx.Err() == nil {
		sleep(ctx, leaderRetryPause)
	}

	return errResigned
}

// release tries to release the lease, and hands over to the next leader. It reports whether another try
// can't change anything. The lease may have been renewed, or released, by a write whose answer was lost.
func (l *leader) release(ctx context.Context) bool {
	l.leaseMu.Lock()
	ls := l.lease
	l.leaseMu.Unlock()

	ls.record.Expiry = 0

	var more []rows.Row
	if r, ok := l.handoverRow(); ok {
		more = append(more, r)
	}

	_, err := l.c.putLease(ctx, ls, false, more...)
	if err == nil {
		return true
	}

	l.c.log.Warn("ResignationFailed", zap.Int64("Term", l.term), jsonlog.Error(err))

	if err := l.rereadLease(ctx); err != nil {
		return true
	}

	l.leaseMu.Lock()
	defer l.leaseMu.Unlock()

	return l.lease.record.Expiry == 0
}

// load reads all jobs and their progress. It returns the version after which the
// feed of jobs has to be read.
func (l *leader) load(ctx context.Context) (int64, error) {
	began := l.c.now()

	progress := map[string][]fleet.StoredRow{}

	p, err := l.readAll(ctx, progressTable, leadPart)
	if err != nil {
		return 0, err
	}

	for _, r := range p.Rows {
		id := fleet.JobOfRow(r.Key)
		progress[id] = append(progress[id], fleet.StoredRow{
			Key:   r.Key,
			Value: r.Value,
		})
		l.setVersion(r.Key, r.Version)
	}

	count := len(progress)

	after, n, err := l.loadParts(ctx, progress)
	if err != nil {
		return 0, err
	}

	l.mu.Lock()
	l.keepOver()

	// The rows of these jobs were removed by a leader that got no further.
	for id := range progress {
		l.keep(id)
	}
	l.mu.Unlock()

	l.c.log.Info("JobsLoaded", zap.Int64("Term", l.term), zap.Int("Rows", n), zap.Int("Progress", count),
		zap.Int64("Version", after), zap.Duration("Took", l.c.now()-began))

	return after, nil
}

// loadParts reads the parts of the jobs at the same time and adds their jobs to the fleet.
// It returns the lowest version of the parts, from which the feed continues, and the number
// of rows.
func (l *leader) loadParts(ctx context.Context, progress map[string][]fleet.StoredRow) (after int64, n int, err error) {
	var mu sync.Mutex

	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(loadReads)

	for i := range jobParts {
		group.Go(func() error {
			p, err := l.readAll(ctx, jobTable, partName(i))
			if err != nil {
				return err
			}

			l.loadJobs(p.Rows, progress)

			mu.Lock()
			defer mu.Unlock()

			if after == 0 || p.Version < after {
				after = p.Version
			}

			n += len(p.Rows)

			return nil
		})
	}

	return after, n, group.Wait()
}

// readAll reads all rows of a part and retries until ctx is done.
func (l *leader) readAll(ctx context.Context, table, part string) (rows.Page, error) {
	for {
		p, err := l.c.store.All(ctx, table, part)
		if err == nil || ctx.Err() != nil {
			return p, err
		}

		l.c.log.Warn("LoadFailed", zap.String("Table", table), zap.String("Part", part), jsonlog.Error(err))
		sleep(ctx, leaderRetryPause)
	}
}

// loadJobs adds the jobs of one part to the fleet. progress maps job IDs to the rows of
// their progress, which are taken out of it.
func (l *leader) loadJobs(list []rows.Row, progress map[string][]fleet.StoredRow) {
	cancelled := map[string]bool{}

	for _, r := range list {
		if id, ok := strings.CutSuffix(r.Key, cancelSuffix); ok {
			cancelled[id] = true
		}
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	for _, r := range list {
		if strings.HasSuffix(r.Key, cancelSuffix) {
			continue
		}

		if isRefusal(r.Value) {
			l.keepRefusal(r)

			continue
		}

		stored := progress[r.Key]
		delete(progress, r.Key)

		if s, over := fleet.OverState(stored); over {
			l.fleet.AddOver(r.Key, s)
			delete(l.versions, r.Key)

			continue
		}

		record, age, err := l.decodeJob(r)
		if err == nil {
			err = l.fleet.Load(l.c.now(), age, record, stored, cancelled[r.Key])
		}

		if err != nil {
			l.c.log.Error("JobUnreadable", zap.String("Job", r.Key), zap.Int64("Row", r.Version), jsonlog.Error(err))
		}
	}
}

// decodeJob returns a job's record and the time since its acceptance, 0 if unknown.
func (l *leader) decodeJob(r rows.Row) (job.Record, time.Duration, error) {
	var record job.Record
	if err := json.Unmarshal(r.Value, &record); err != nil {
		return job.Record{}, 0, fmt.Errorf("decode job: %w", err)
	}

	record.ID = r.Key

	// A spec that no entry would have accepted must not stop one leader after the other.
	if !job.ValidID(record.ID) {
		return job.Record{}, 0, fmt.Errorf("decode job: id %q: %w", record.ID, job.ErrInvalid)
	}

	if err := job.Check(record.Spec); err != nil {
		return job.Record{}, 0, fmt.Errorf("decode job: %w", err)
	}

	if record.Accepted == 0 {
		return record, 0, nil
	}

	now, _ := l.c.storeNow()

	return record, max(0, now-record.Accepted), nil
}

// watchJobs applies accepted jobs and cancellations from the feed, starting after the
// version that load returned.
func (l *leader) watchJobs(ctx context.Context, after int64) error {
	first := true

	return l.c.watchTable(ctx, jobTable, func(ctx context.Context) (int64, error) {
		if first {
			first = false

			return after, nil
		}

		defer notify(l.wake)

		l.setReloading(true)
		defer l.setReloading(false)

		return l.load(ctx)
	}, l.applyJobRow)
}

func (l *leader) setReloading(reloading bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.reloading = reloading
}

// applyJobRow adds or cancels a job. Rows may come twice: from the feed and from the
// coordinator that wrote them. A refusal, which may be replaced by a job, is passed over.
func (l *leader) applyJobRow(r rows.Row) {
	if r.Deleted {
		return
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	if isRefusal(r.Value) {
		l.keepRefusal(r)

		return
	}

	defer notify(l.wake)

	if id, ok := strings.CutSuffix(r.Key, cancelSuffix); ok {
		if l.fleet.Cancel(id) {
			l.c.log.Info("CancellationSeen", zap.String("Job", id), zap.Int64("Row", r.Version))
			notify(l.flush)
		}

		return
	}

	record, age, err := l.decodeJob(r)
	if err != nil {
		l.c.log.Error("JobUnreadable", zap.String("Job", r.Key), zap.Int64("Row", r.Version), jsonlog.Error(err))

		return
	}

	if l.fleet.Add(l.c.now(), age, record) {
		l.c.log.Info("JobSeen", zap.String("Job", r.Key), zap.Int64("Row", r.Version), zap.Duration("Age", age))
	}
}

// applyOperatorState passes the configuration and the data centres that are out of
// service to the fleet.
func (l *leader) applyOperatorState() {
	l.c.mu.Lock()
	out := maps.Clone(l.c.out)
	l.c.mu.Unlock()

	l.mu.Lock()
	l.fleet.Configuration = l.c.configuration.Load()
	l.fleet.Out = out
	l.mu.Unlock()

	notify(l.wake)
}

// schedule runs a scheduling pass after each change and whenever the fleet asks for
// one.
func (l *leader) schedule(ctx context.Context) error {
	timer := time.NewTimer(lease.Duration)
	defer timer.Stop()

	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.wake:
			sleep(ctx, scheduleDelay)
		case <-timer.C:
		}

		if wait := l.pass(); wait > 0 {
			timer.Reset(wait)
		}
	}
}

// pass runs a scheduling pass if the lease is valid. It returns the time until the next
// one, or 0 if only a change requires one.
func (l *leader) pass() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()

	// Checked here, since the wait for l.mu may outlast the lease.
	if !l.holdsLease() {
		// renew decides whether the lease is lost.
		return lease.RenewInterval
	}

	now := l.c.now()
	l.dispatch(l.fleet.Schedule(now, time.Now()))
	l.logBeliefs()

	if l.fleet.Changed() {
		notify(l.flush)
	}

	if next := l.fleet.NextWake(now); next > 0 {
		return next - now
	}

	return 0
}

// logBeliefs logs what the last pass found out about workers and runs. The caller holds
// l.mu.
func (l *leader) logBeliefs() {
	for _, r := range l.fleet.Quarantines() {
		l.c.log.Warn("WorkerRests", zap.String("Worker", r.Node), zap.Int("Failures", r.Failures), zap.Duration("For", r.Duration))
	}

	for _, r := range l.fleet.Losses() {
		l.c.log.Warn("RunGivenUp", zap.String("Job", r.Task.Job), zap.Stringer("Task", r.Task), zap.Int("Attempt", r.Attempt),
			zap.String("How", string(r.Reason)), zap.String("Node", r.Node), zap.Duration("ContactAge", r.ContactAge))
	}

	if nodes := l.fleet.Unawaited(); len(nodes) > 0 {
		l.c.log.Warn("ReportsMissing", zap.Int64("Term", l.term), zap.Strings("Nodes", nodes))
	}

	for _, p := range l.fleet.Preemptions() {
		l.c.meter.Count("tasks_preempted_total")
		l.c.log.Info("TaskPreempted", zap.String("Job", p.Task.Job), zap.Stringer("Task", p.Task), zap.Int("Attempt", p.Attempt),
			zap.String("Node", p.Node), zap.String("For", p.For), zap.Int64("LostWork", p.LostWork))
	}

	l.logSpeeds()
	l.logServingMoves()
	l.logCheckpointWrites()

	for _, s := range l.fleet.Stalls() {
		l.c.log.Warn("TaskStalled", zap.String("Job", s.Task.Job), zap.Stringer("Task", s.Task), zap.String("Node", s.Node))
	}

	l.logReservations()
}

// dispatch sends orders to the nodes. The caller holds l.mu.
func (l *leader) dispatch(orders map[string]*fleet.Orders) {
	for node, o := range orders {
		l.c.meter.Add(len(o.Starts), "tasks_placed_total")
		l.c.meter.Add(len(o.Stops), "stops_ordered_total")

		for i, s := range o.Starts {
			l.c.log.Info("TaskPlaced", zap.String("Job", s.Task.Job), zap.Stringer("Task", s.Task),
				zap.Int("Attempt", s.Attempt), zap.String("Node", node), zap.Int64("Term", l.term),
				zap.Int64("MilliCoresLeft", o.Placements[i].FreeMilliCores), zap.Duration("ReadingAge", o.Placements[i].ReadingAge))
		}

		for _, s := range o.Stops {
			l.c.log.Info("TaskStopOrdered", zap.String("Job", s.Task.Job), zap.Stringer("Task", s.Task),
				zap.Int("Attempt", s.Attempt), zap.String("Node", node))
		}

		n := l.nodes[node]
		if n == nil {
			continue
		}

		for _, m := range peer.EncodeOrders(o) {
			n.send(&peerpb.Frame{Body: &peerpb.Frame_Orders{Orders: m}})
		}
	}
}

// answerQuery answers a coordinator's query for a job's state, or for the number of
// pending jobs of a queue if it names no job.
func (l *leader) answerQuery(q *peerpb.Query) *peerpb.QueryAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()

	a := &peerpb.QueryAnswer{Number: q.GetNumber()}

	if q.GetJob() == "" {
		a.Known = true
		a.Count = int64(l.fleet.Pending(q.GetQueue()))

		return a
	}

	s, ok := l.fleet.State(q.GetJob())
	a.Known = ok
	a.State = string(s)

	return a
}
