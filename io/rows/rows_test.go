package rows_test

import (
	"context"
	"fmt"
	"testing"

	"trefoildeck/io/rows"
	"trefoildeck/standin/emulator"

	"gotest.tools/v3/assert"
)

// TestAll checks that a feed that continues from the stamp of All misses no change that is
// made between two pages: rows that are added, changed or removed before or after the next
// page's first key.
func TestAll(t *testing.T) {
	const count = 1200

	memory := emulator.NewRowStore()
	row := func(key, value string) rows.Row {
		return rows.Row{
			Table: "t",
			Key:   key,
			Value: []byte(value),
		}
	}

	for i := range count {
		memory.Put(row(fmt.Sprintf("k%04d", i), "old"))
	}

	s := memory.Store()
	ranges := s.Range
	pages := 0
	s.Range = func(ctx context.Context, table, part, from, to string) (rows.Page, error) {
		p, err := ranges(ctx, table, part, from, to)
		assert.Assert(t, len(p.Rows) <= 500)

		if pages++; pages == 1 {
			for _, key := range []string{"k0001", "k0001a", "k0900", "k0900a"} {
				memory.Put(row(key, "new"))
			}

			_, err := memory.Commit(ctx, rows.Transaction{Remove: []rows.Row{row("k0002", ""), row("k0902", "")}})
			assert.NilError(t, err)
		}

		return p, err
	}

	p, err := s.All(t.Context(), "t", "")
	assert.NilError(t, err)
	assert.Equal(t, pages, 3)

	state := map[string]string{}
	apply := func(p rows.Page) {
		for _, r := range p.Rows {
			if state[r.Key] = string(r.Value); r.Deleted {
				delete(state, r.Key)
			}
		}
	}
	apply(p)

	p, err = s.Feed(t.Context(), "t", p.Version, 0)
	assert.NilError(t, err)
	apply(p)

	now := map[string]string{}
	for _, r := range memory.Rows("t") {
		now[r.Key] = string(r.Value)
	}

	assert.Equal(t, len(state), count)
	assert.DeepEqual(t, state, now)
}
