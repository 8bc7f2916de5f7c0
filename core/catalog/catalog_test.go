package catalog_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"trefoildeck/core/catalog"
	"trefoildeck/core/resource"
)

func id(kind resource.Kind, name string) resource.ID {
	return resource.ID{
		Kind: kind,
		Name: name,
	}
}

func value(text string) *resource.Configuration {
	return &resource.Configuration{Values: map[string]string{"K": text}}
}

func TestPlan(t *testing.T) {
	team := id(resource.KindTeam, "t")
	job := id(resource.KindJob, "j")
	spec := &resource.Job{
		Team:       "t",
		Tasks:      1,
		MilliCores: 1,
		MemoryMB:   1,
		RunTime:    1e9,
	}
	other := *spec
	other.Tasks = 2

	cases := map[string]struct {
		change  catalog.Change
		err     error
		changes int
	}{
		"same again":        {catalog.Change{ID: team, Spec: &resource.Team{}, IfRevision: catalog.AnyRevision}, nil, 0},
		"changed":           {catalog.Change{ID: team, Spec: &resource.Team{MemoryMB: 1}, IfRevision: 1}, nil, 1},
		"other revision":    {catalog.Change{ID: team, Spec: &resource.Team{MemoryMB: 1}, IfRevision: 2}, catalog.ErrRevision, 0},
		"must be new":       {catalog.Change{ID: team, Spec: &resource.Team{}}, catalog.ErrRevision, 0},
		"job is immutable":  {catalog.Change{ID: job, Spec: &other, IfRevision: catalog.AnyRevision}, catalog.ErrImmutable, 0},
		"referred to":       {catalog.Change{ID: team, Delete: true, IfRevision: catalog.AnyRevision}, catalog.ErrReferenced, 0},
		"deleted":           {catalog.Change{ID: job, Delete: true, IfRevision: catalog.AnyRevision}, nil, 1},
		"nothing to delete": {catalog.Change{ID: id(resource.KindTeam, "x"), Delete: true, IfRevision: catalog.AnyRevision}, catalog.ErrNotFound, 0},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			k := catalog.New()
			k.Merge([]resource.Resource{{ID: team, Revision: 1, Spec: &resource.Team{}}, {ID: job, Revision: 1, Spec: spec}})
			k.SetHead(1)

			p, err := k.Plan([]catalog.Change{c.change})
			assert.Assert(t, errors.Is(err, c.err), "%v", err)
			assert.Equal(t, len(p.After), c.changes)
			assert.Equal(t, p.Revision, int64(2))
		})
	}
}

// TestNeverReverts brings news in any order, some of it twice.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := catalog.New()
		name := id(resource.KindConfiguration, "c")
		highest := int64(0)

		for range rapid.IntRange(1, 50).Draw(t, "news") {
			r := resource.Resource{
				ID:       name,
				Revision: int64(rapid.IntRange(1, 20).Draw(t, "revision")),
				Deleted:  rapid.Bool().Draw(t, "deleted"),
			}
			if !r.Deleted {
				r.Spec = value("v")
			}

			changed := k.Merge([]resource.Resource{r})
			if (len(changed) == 1) != (r.Revision > highest) {
				t.Fatalf("revision %d after %d: %v", r.Revision, highest, changed)
			}

			highest = max(highest, r.Revision)

			if got, ok := k.Get(name); ok && got.Revision != highest {
				t.Fatalf("at %d, not %d", got.Revision, highest)
			}
		}
	})
}
