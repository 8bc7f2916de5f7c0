package entry

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"trefoildeck/core/catalog"
	"trefoildeck/core/placement"
	"trefoildeck/core/resource"
	"trefoildeck/io/table"
	"trefoildeck/settings"
	"trefoildeck/standin"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

const (
	testTaskLease  = 20 * time.Second
	testShardLease = 6 * time.Second
)

// newTestEntry returns an entry that is not running.
func newTestEntry(t *testing.T, name string, c *table.Table) *Entry {
	t.Helper()

	e, err := New(settings.Entry{Entry: settings.EntrySection{
		Name:       name,
		TaskLease:  testTaskLease,
		ShardLease: testShardLease,
	}}, c, zap.NewNop())
	assert.NilError(t, err)

	return e
}

// shardRow returns the version and the body of a shard's lease row.
func shardRow(t *testing.T, c *table.Table, dataCentre string) (int64, table.Shard) {
	t.Helper()

	rows, err := c.Get(t.Context(), []table.Key{table.ShardKey(dataCentre)})
	assert.NilError(t, err)

	var body table.Shard
	if len(rows) == 0 {
		return 0, body
	}

	assert.NilError(t, json.Unmarshal(rows[0].Body, &body))

	return rows[0].Version, body
}

// TestRenewedDuringSlowRead checks that a lease that its holder renewed while another entry
// read the row is not taken before that renewal has lapsed.
func TestRenewedDuringSlowRead(t *testing.T) {
	const dataCentre = "lannion"

	direct := standin.NewTable().Client()
	slow := *direct
	// The metrics of the first entry start a goroutine that never ends.
	holder := newTestEntry(t, "entry-0", direct)
	other := newTestEntry(t, "entry-1", &slow)

	synctest.Test(t, func(t *testing.T) {
		holder.leases[dataCentre] = &lease{}
		holder.maintainLeases(t.Context())

		_, held := holder.scheduler.Holds(dataCentre)
		assert.Assert(t, held)

		slow.Query = func(ctx context.Context, partition, after string, limit int32) ([]table.Row, error) {
			if partition == table.PartitionShard && after == "" {
				time.Sleep(testShardLease + takeoverMargin + time.Second)
				holder.renewLease(ctx, dataCentre, *holder.leases[dataCentre], holder.scheduler.Summary(dataCentre))
			}

			return direct.Query(ctx, partition, after, limit)
		}

		other.maintainLeases(t.Context())

		version, body := shardRow(t, direct, dataCentre)
		assert.Equal(t, version, int64(2))
		assert.Equal(t, body.Holder, "entry-0")

		time.Sleep(testShardLease + takeoverMargin + time.Second)

		other.table = direct
		other.maintainLeases(t.Context())

		_, body = shardRow(t, direct, dataCentre)
		assert.Equal(t, body.Holder, "entry-1")
	})
}

// applyChange commits a change of one resource.
func applyChange(t *testing.T, e *Entry, c catalog.Change) {
	t.Helper()

	c.IfRevision = catalog.AnyRevision
	_, err := e.apply(t.Context(), "tester", []catalog.Change{c}, false)
	assert.NilError(t, err)
}

// putFinished records that all tasks of a job with one segment have finished.
func putFinished(t *testing.T, c *table.Table, key string, tasks int) {
	t.Helper()

	body := placement.Segment{Job: key}
	for range tasks {
		body.Tasks = append(body.Tasks, placement.Task{
			Phase:   placement.PhaseFinished,
			Attempt: 1,
		})
	}

	w, err := table.PutJSON(table.SegmentRowKey(body.Key()), 0, body)
	assert.NilError(t, err)
	assert.NilError(t, c.Commit(t.Context(), []table.Write{w}))
}

// TestJobDeletedDuringTake checks that a job that is deleted, and whose rows are removed,
// while an entry reads the rows for a shard does not run again.
func TestJobDeletedDuringTake(t *testing.T) {
	const tasks = 3

	direct := standin.NewTable().Client()
	hooked := *direct
	e := newTestEntry(t, "entry-0", &hooked)
	id := resource.ID{
		Kind: resource.KindJob,
		Name: "mix",
	}

	synctest.Test(t, func(t *testing.T) {
		applyChange(t, e, catalog.Change{
			ID:   dataCentreID("lannion"),
			Spec: &resource.DataCentre{Region: "test"},
		})
		applyChange(t, e, catalog.Change{
			ID: resource.ID{
				Kind: resource.KindTeam,
				Name: "mixing",
			},
			Spec: &resource.Team{},
		})
		applyChange(t, e, catalog.Change{
			ID: id,
			Spec: &resource.Job{
				Team:       "mixing",
				Tasks:      tasks,
				MilliCores: 1000,
				MemoryMB:   1000,
				RunTime:    time.Second,
				Command:    "run",
			},
		})

		key := e.scheduler.JobKeys("mix")[0]
		putFinished(t, direct, key, tasks)
		e.maintainLeases(t.Context())

		applyChange(t, e, catalog.Change{
			ID:   dataCentreID("pontivy"),
			Spec: &resource.DataCentre{Region: "test"},
		})

		deleted := false
		hooked.Query = func(ctx context.Context, partition, after string, limit int32) ([]table.Row, error) {
			if partition == table.SegmentPartition(key) && !deleted {
				deleted = true

				applyChange(t, e, catalog.Change{
					ID:     id,
					Delete: true,
				})

				for range 3 {
					e.schedule(ctx)
					time.Sleep(commitInterval)
				}
			}

			return direct.Query(ctx, partition, after, limit)
		}

		e.maintainLeases(t.Context())

		_, held := e.scheduler.Holds("pontivy")
		assert.Assert(t, held && deleted)

		for range 3 {
			e.scheduler.Heartbeat(time.Now(), placement.Report{
				Worker:     "pontivy-0",
				DataCentre: "pontivy",
				BootID:     "boot",
				Capacity:   sizeOf(8000, 8000, 0),
			})
			e.schedule(t.Context())
			time.Sleep(commitInterval)
		}

		status, known := e.scheduler.Status(key)
		assert.Equal(t, status.Assigned, 0)
		assert.Equal(t, known, false)
	})
}
