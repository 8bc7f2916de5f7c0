package table_test

import (
	"errors"
	"net/http/httptest"
	"testing"

	"trefoildeck/io/table"
	"trefoildeck/standin"

	"gotest.tools/v3/assert"
)

func dial(t *testing.T) (*standin.Table, *table.Table) {
	t.Helper()

	s := standin.NewTable()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)

	return s, table.Dial(table.Options{
		URL:       server.URL,
		Region:    "local",
		Name:      "test",
		AccessKey: "key",
		SecretKey: "secret",
	})
}

func put(name string, expect int64, body string) table.Write {
	return table.Write{
		Key: table.Key{
			Partition: "P",
			Sort:      name,
		},
		Expect:  expect,
		Version: expect + 1,
		Body:    []byte(body),
	}
}

func TestCommit(t *testing.T) {
	check := put("a", 1, "")
	check.Action = table.ActionCheck

	remove := put("a", 1, "")
	remove.Action = table.ActionDelete

	cases := map[string]struct {
		writes []table.Write
		err    error
		rows   int
	}{
		"new row":          {[]table.Write{put("b", 0, "x")}, nil, 2},
		"next version":     {[]table.Write{put("a", 1, "x")}, nil, 1},
		"old version":      {[]table.Write{put("a", 7, "x")}, table.ErrConflict, 1},
		"exists":           {[]table.Write{put("a", 0, "x")}, table.ErrConflict, 1},
		"all or none":      {[]table.Write{put("b", 0, "x"), put("a", 0, "x")}, table.ErrConflict, 1},
		"check that holds": {[]table.Write{check, put("b", 0, "x")}, nil, 2},
		"deleted":          {[]table.Write{remove}, nil, 0},
		"too many writes":  {make([]table.Write, table.MaxTransaction+1), table.ErrUnknown, 1},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, d := dial(t)
			assert.NilError(t, d.Commit(t.Context(), []table.Write{put("a", 0, "first")}))

			assert.Assert(t, errors.Is(d.Commit(t.Context(), c.writes), c.err))
			assert.Equal(t, len(s.Rows("P")), c.rows)
		})
	}
}

// TestLostAnswer checks that a commit whose answer is lost is found to be committed
// by reading back, and that the row is written once.
func TestLostAnswer(t *testing.T) {
	s, d := dial(t)
	s.SetFault(standin.Fault{LoseAnswers: true})

	assert.NilError(t, d.Commit(t.Context(), []table.Write{put("a", 0, "x")}))
	assert.Equal(t, s.Rows("P")[0].Version, int64(1))

	// A commit that was rejected must not count as committed.
	assert.Assert(t, errors.Is(d.Commit(t.Context(), []table.Write{put("a", 0, "y")}), table.ErrConflict))
}

func TestDown(t *testing.T) {
	s, d := dial(t)
	s.SetFault(standin.Fault{Down: true})

	assert.Assert(t, errors.Is(d.Commit(t.Context(), []table.Write{put("a", 0, "x")}), table.ErrUnknown))

	_, err := d.Get(t.Context(), []table.Key{table.HeadKey()})
	assert.Assert(t, errors.Is(err, table.ErrUnavailable))

	_, err = d.All(t.Context(), "P")
	assert.Assert(t, errors.Is(err, table.ErrUnavailable))
}

// TestAll checks that a partition of several pages is read in order.
func TestAll(t *testing.T) {
	const rows = 1200

	s, d := dial(t)
	direct := s.Client()

	for n := range rows {
		assert.NilError(t, direct.Commit(t.Context(), []table.Write{put(table.AuditAfter(int64(n)), 0, "x")}))
	}

	list, err := d.All(t.Context(), "P")
	assert.NilError(t, err)
	assert.Equal(t, len(list), rows)
	assert.Equal(t, list[rows-1].Key.Sort, table.AuditAfter(rows-1))
}

// TestAuditOrder checks that a query after a revision starts with the audit rows of
// the next one.
func TestAuditOrder(t *testing.T) {
	after := table.AuditAfter(9)
	assert.Assert(t, table.AuditKey(9, 48).Sort < after)
	assert.Assert(t, table.AuditKey(10, 0).Sort > after)
}
