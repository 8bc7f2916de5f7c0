package entry

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

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
