package placement_test

import (
	"testing"
	"time"

	"trefoildeck/core/placement"

	"gotest.tools/v3/assert"
)

// shardBench drives a scheduler without a table: the test decides what is written and when
// an answer arrives.
type shardBench struct {
	t    *testing.T
	core *placement.Scheduler
	now  time.Time
}

// newShardBench returns a scheduler with a job that has tasks of the size of a worker.
func newShardBench(t *testing.T, tasks int) *shardBench {
	t.Helper()

	b := &shardBench{
		t:    t,
		now:  time.Now(),
		core: placement.New(placement.Options{TaskLease: taskLease}),
	}
	b.core.SetJob(job("mix", tasks, capacity().MilliCores, time.Minute), nil)

	return b
}

// page returns a page with one worker, which is named like its data centre.
func page(dataCentre string, version int64, committed ...placement.AttemptID) *placement.Page {
	w := &placement.Worker{
		Name:      dataCentre,
		BootID:    "boot",
		Capacity:  capacity(),
		Committed: map[string]placement.Size{},
	}
	for _, id := range committed {
		w.Committed[id.String()] = capacity()
	}

	return &placement.Page{
		DataCentre: dataCentre,
		Workers:    map[string]*placement.Worker{dataCentre: w},
		Version:    version,
	}
}

func (b *shardBench) take(epoch int64, p *placement.Page) {
	b.core.SetDataCentre(b.now, p.DataCentre, false)
	b.core.TakeShard(b.now, p.DataCentre, epoch, []*placement.Page{p})
	b.core.Heartbeat(b.now, placement.Report{
		Worker:     p.DataCentre,
		DataCentre: p.DataCentre,
		BootID:     "boot",
		Capacity:   capacity(),
	})
}

// tick returns the commands of the next tick.
func (b *shardBench) tick() placement.Commands {
	b.now = b.now.Add(step)

	return b.core.Tick(b.now)
}

// batch returns the only batch of the next tick.
func (b *shardBench) batch() *placement.Batch {
	b.t.Helper()

	list := b.tick().Batches
	assert.Equal(b.t, len(list), 1)

	return list[0]
}

func (b *shardBench) end(id placement.AttemptID, worker string, p placement.Phase) {
	b.core.ReportEnd(worker, placement.End{
		ID:    id,
		Phase: p,
	})
}

func attempt(task, number int) placement.AttemptID {
	return placement.AttemptID{
		Job:     "mix@1",
		Task:    task,
		Attempt: number,
	}
}

// segmentKey is the key of the first segment of the job.
func segmentKey() placement.SegmentKey { return placement.SegmentKey{Job: "mix@1"} }

// TestReloadBeforeLaterWrite checks that a row that was read for one shard before a batch of
// another shard changed it does not permit an attempt whose end that batch recorded.
func TestReloadBeforeLaterWrite(t *testing.T) {
	b := newShardBench(t, 2)
	b.take(1, page("dc0", 1))
	b.take(1, page("dc1", 1))

	b.core.ApplyResult(b.batch(), placement.ResultWritten)

	placed := b.batch()
	b.core.ApplyResult(placed, placement.ResultWritten)
	assert.Equal(t, b.core.Tasks("mix@1")[1].Worker, "dc1")

	b.end(attempt(0, 1), "dc0", placement.PhaseFinished)
	b.core.ApplyResult(b.batch(), placement.ResultRejected)
	b.core.StaleRows("dc0")

	read := placed.Segments[segmentKey()]

	b.end(attempt(1, 1), "dc1", placement.PhaseStopped)
	b.core.ApplyResult(b.batch(), placement.ResultWritten)

	b.core.ApplyReloaded("dc0", []*placement.Page{page("dc0", 2, attempt(0, 1))}, []*placement.Segment{read})

	permitted, _ := b.core.Permit(b.now, "dc1", attempt(1, 1))
	assert.Equal(t, permitted, false)
}

// TestReloadOfFormerHold checks that rows that were read before a shard was taken again don't
// replace those read since: an end must not be acknowledged that isn't recorded.
func TestReloadOfFormerHold(t *testing.T) {
	b := newShardBench(t, 1)
	b.take(1, page("dc0", 1))

	placed := b.batch()
	b.core.ApplyResult(placed, placement.ResultUnknown)
	b.core.StaleRows("dc0")
	b.core.ReleaseShard("dc0")

	// The batch was written after the rows were read.
	written := *placed.Segments[segmentKey()]
	written.Version = 1

	b.core.SetJob(job("mix", 1, capacity().MilliCores, time.Minute), []*placement.Segment{&written})
	b.take(2, page("dc0", 2, attempt(0, 1)))
	b.core.ApplyReloaded("dc0", []*placement.Page{page("dc0", 1)}, []*placement.Segment{{Job: "mix@1"}})

	b.end(attempt(0, 1), "dc0", placement.PhaseFinished)

	recorded := b.batch()
	assert.Equal(t, recorded.Segments[segmentKey()].Tasks[0].Phase, placement.PhaseFinished)

	// The read of the former hold ends while a batch is in flight.
	b.core.ApplyReloaded("dc0", nil, nil)
	b.end(attempt(0, 1), "dc0", placement.PhaseFinished)

	c := b.tick()
	assert.Equal(t, len(c.Batches), 0)
	assert.Equal(t, len(c.EndAcks), 0)

	b.core.ApplyResult(recorded, placement.ResultWritten)
	assert.DeepEqual(t, b.tick().EndAcks, []placement.EndAck{{
		Worker: "dc0",
		ID:     attempt(0, 1),
	}})
}

// TestLateResult checks that the result of a batch does not replace a row that was read after
// a later write of it.
func TestLateResult(t *testing.T) {
	b := newShardBench(t, 2)
	b.take(1, page("dc0", 1))

	placed := b.batch()
	later := *placed.Segments[segmentKey()]
	later.Version = 2
	later.Tasks = append([]placement.Task(nil), later.Tasks...)
	later.Tasks[1].Phase = placement.PhaseFinished

	// Another shard is taken, for which the rows of all jobs are read.
	b.core.SetJob(job("mix", 2, capacity().MilliCores, time.Minute), []*placement.Segment{&later})
	b.core.ApplyResult(placed, placement.ResultWritten)

	assert.Equal(t, b.core.Tasks("mix@1")[1].Phase, placement.PhaseFinished)
}

// TestReportedAfterLapse checks that the end that a worker reports is recorded, with its
// checkpoint, if its attempt counts as lapsed and that is not recorded yet.
func TestReportedAfterLapse(t *testing.T) {
	tests := map[string]struct {
		end  placement.End
		want placement.Phase
	}{
		"Finished": {placement.End{Phase: placement.PhaseFinished}, placement.PhaseFinished},
		"Lapsed":   {placement.End{Phase: placement.PhaseLapsed, Checkpoint: "saved"}, placement.PhasePending},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			b := newShardBench(t, 1)
			b.take(1, page("dc0", 1))

			placed := b.batch()
			b.core.ApplyResult(placed, placement.ResultWritten)

			b.now = b.now.Add(2 * taskLease)
			b.core.ApplyResult(b.batch(), placement.ResultUnknown)
			assert.Equal(t, b.core.Stats().Lost, int64(1))

			c.end.ID = attempt(0, 1)
			b.core.ReportEnd("dc0", c.end)

			// The batch was not written.
			read := *placed.Segments[segmentKey()]
			b.core.ApplyReloaded("dc0", []*placement.Page{page("dc0", 2, c.end.ID)}, []*placement.Segment{&read})

			task := b.batch().Segments[segmentKey()].Tasks[0]
			assert.Equal(t, task.Phase, c.want)
			assert.Equal(t, task.Checkpoint, c.end.Checkpoint)
		})
	}
}
