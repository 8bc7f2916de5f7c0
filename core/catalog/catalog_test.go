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

func configuration(value string) *resource.Configuration {
	return &resource.Configuration{Values: map[string]string{"K": value}}
}

// TestPlan checks the number of changes and the error of a plan for one change to
// a catalog with a team and a job of that team.
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
	changedSpec := *spec
	changedSpec.Tasks = 2

	cases := map[string]struct {
		change  catalog.Change
		err     error
		changes int
	}{
		"same again":        {catalog.Change{ID: team, Spec: &resource.Team{}, IfRevision: catalog.AnyRevision}, nil, 0},
		"changed":           {catalog.Change{ID: team, Spec: &resource.Team{MemoryMB: 1}, IfRevision: 1}, nil, 1},
		"other revision":    {catalog.Change{ID: team, Spec: &resource.Team{MemoryMB: 1}, IfRevision: 2}, catalog.ErrRevision, 0},
		"must be new":       {catalog.Change{ID: team, Spec: &resource.Team{}}, catalog.ErrRevision, 0},
		"job is immutable":  {catalog.Change{ID: job, Spec: &changedSpec, IfRevision: catalog.AnyRevision}, catalog.ErrImmutable, 0},
		"referred to":       {catalog.Change{ID: team, Delete: true, IfRevision: catalog.AnyRevision}, catalog.ErrReferenced, 0},
		"deleted":           {catalog.Change{ID: job, Delete: true, IfRevision: catalog.AnyRevision}, nil, 1},
		"nothing to delete": {catalog.Change{ID: id(resource.KindTeam, "x"), Delete: true, IfRevision: catalog.AnyRevision}, catalog.ErrNotFound, 0},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := catalog.New()
			c.Merge([]resource.Resource{{ID: team, Revision: 1, Spec: &resource.Team{}}, {ID: job, Revision: 1, Spec: spec}})
			c.SetHead(1)

			p, err := c.Plan([]catalog.Change{tc.change})
			assert.Assert(t, errors.Is(err, tc.err), "%v", err)
			assert.Equal(t, len(p.After), tc.changes)
			assert.Equal(t, p.Revision, int64(2))
		})
	}
}

// TestChangedTwice checks that a set that deletes a resource and changes it too is
// rejected, in either order: its rows would contradict each other.
func TestChangedTwice(t *testing.T) {
	team := id(resource.KindTeam, "t")
	declare := catalog.Change{
		ID:         team,
		Spec:       &resource.Team{MemoryMB: 1},
		IfRevision: catalog.AnyRevision,
	}
	remove := catalog.Change{
		ID:         team,
		Delete:     true,
		IfRevision: catalog.AnyRevision,
	}

	tests := map[string][]catalog.Change{
		"DeclareFirst": {declare, remove},
		"DeleteFirst":  {remove, declare},
		"DeleteTwice":  {remove, remove},
	}

	for name, set := range tests {
		t.Run(name, func(t *testing.T) {
			c := catalog.New()
			c.Merge([]resource.Resource{{ID: team, Revision: 1, Spec: &resource.Team{}}})

			_, err := c.Plan(set)
			assert.ErrorIs(t, err, catalog.ErrChangedTwice)
		})
	}
}

// TestNeverReverts merges revisions in random order, some of them twice: the
// catalog must keep the highest, also if it is a deletion.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := catalog.New()
		configurationID := id(resource.KindConfiguration, "c")
		highest := int64(0)

		for range rapid.IntRange(1, 50).Draw(t, "merges") {
			r := resource.Resource{
				ID:       configurationID,
				Revision: int64(rapid.IntRange(1, 20).Draw(t, "revision")),
				Deleted:  rapid.Bool().Draw(t, "deleted"),
			}
			if !r.Deleted {
				r.Spec = configuration("v")
			}

			changed := c.Merge([]resource.Resource{r})
			if (len(changed) == 1) != (r.Revision > highest) {
				t.Fatalf("revision %d after %d changed %v", r.Revision, highest, changed)
			}

			highest = max(highest, r.Revision)

			if got, ok := c.Get(configurationID); ok && got.Revision != highest {
				t.Fatalf("revision %d instead of %d", got.Revision, highest)
			}
		}
	})
}
