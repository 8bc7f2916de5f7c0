// Package catalog holds one process's copy of the declared resources and checks
// changes to them. It does no I/O.
//
// All committed changes are totally ordered by revision. They may arrive from the
// table or from other entries, late, twice or out of order: a resource, or its
// deletion, is only ever replaced by one of a higher revision.
//
// # Usage
//
//	c := catalog.New()
//	changed := c.Merge(received)
//	plan, err := c.Plan(changes)
//	// commit plan.After at revision plan.Revision, then c.Merge(plan.After)
//
// A Catalog is safe for concurrent use.
package catalog

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"trefoildeck/core/resource"

	"github.com/rotisserie/eris"
)

// Errors of Plan.
var (
	// ErrRevision is returned if a resource is not at the IfRevision of its change.
	ErrRevision = eris.New("the resource is at another revision")
	// ErrNotFound is returned if the resource to be deleted does not exist.
	ErrNotFound = eris.New("no such resource")
	// ErrReferenced is returned if other resources refer to one to be deleted.
	ErrReferenced = eris.New("other resources refer to it")
	// ErrChangedTwice is returned if a set deletes a resource and changes it too, or deletes
	// it twice.
	ErrChangedTwice = eris.New("the set changes it twice")
	// ErrImmutable is returned if the specification of an existing job is changed.
	ErrImmutable = eris.New("an accepted job can't be changed: delete it, or declare one of another name")
)

// AnyRevision is the IfRevision of a change that applies at any revision.
const AnyRevision = -1

// Change is a change of one resource that an operator requests.
type Change struct {
	ID     resource.ID
	Spec   resource.Spec
	Delete bool
	// IfRevision is the revision that the resource must be at, zero if it must not
	// exist, or AnyRevision.
	IfRevision int64
}

// Plan is the effect of a set of changes.
type Plan struct {
	// Revision is the revision of all changes of the set.
	Revision int64
	// Before and After have the resources that change, in the same order. In
	// Before, a resource that never existed has revision zero, and one that was
	// deleted is marked Deleted.
	Before []resource.Resource
	After  []resource.Resource
}

// Catalog holds resources by ID, deleted ones included.
type Catalog struct {
	mu        sync.RWMutex
	head      int64
	resources map[resource.ID]resource.Resource
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{resources: map[resource.ID]resource.Resource{}}
}

// Merge stores the resources that are newer than the catalog's and returns them.
func (c *Catalog) Merge(list []resource.Resource) []resource.Resource {
	c.mu.Lock()
	defer c.mu.Unlock()

	var changed []resource.Resource

	for _, r := range list {
		if r.Revision <= c.resources[r.ID].Revision {
			continue
		}

		c.resources[r.ID] = r
		changed = append(changed, r)
	}

	return changed
}

// SetHead records that every change up to a revision is merged.
func (c *Catalog) SetHead(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.head = max(c.head, revision)
}

// Head returns the revision up to which every change is merged.
func (c *Catalog) Head() int64 {
	c.mu.RLock()
	defer c.mu.RUnlock()

	return c.head
}

// Get returns a resource, and false if it does not exist or is deleted.
func (c *Catalog) Get(id resource.ID) (resource.Resource, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()

	return c.get(id)
}

func (c *Catalog) get(id resource.ID) (resource.Resource, bool) {
	r, ok := c.resources[id]

	return r, ok && !r.Deleted
}

// List returns the existing resources of a kind, or of all kinds if kind is empty,
// sorted by kind and name.
func (c *Catalog) List(kind resource.Kind) []resource.Resource {
	c.mu.RLock()
	defer c.mu.RUnlock()

	var list []resource.Resource

	for id, r := range c.resources {
		if !r.Deleted && (kind == "" || id.Kind == kind) {
			list = append(list, r)
		}
	}

	slices.SortFunc(list, func(a, b resource.Resource) int { return strings.Compare(a.ID.String(), b.ID.String()) })

	return list
}

// Plan checks a set of changes and returns their effect, without the changes that
// alter nothing. It stores nothing. Its error is a *resource.Problems, or wraps
// one of the errors above.
func (c *Catalog) Plan(changes []Change) (Plan, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()

	p := Plan{Revision: c.head + 1}

	if err := c.check(changes); err != nil {
		return p, err
	}

	for _, ch := range changes {
		before, exists := c.get(ch.ID)

		if err := checkChange(ch, before, exists); err != nil {
			return p, err
		}

		if !ch.Delete && exists && resource.Equal(before.Spec, ch.Spec) {
			continue
		}

		p.Before = append(p.Before, before)
		p.After = append(p.After, resource.Resource{
			ID:       ch.ID,
			Revision: p.Revision,
			Spec:     ch.Spec,
			Deleted:  ch.Delete,
		})
	}

	return p, nil
}

// check checks the declared resources of a set together, and that no remaining
// resource refers to a deleted one.
func (c *Catalog) check(changes []Change) error {
	var (
		declared []resource.Resource
		problems resource.Problems
	)

	deleted, listed := map[resource.ID]bool{}, map[resource.ID]bool{}

	for _, ch := range changes {
		if listed[ch.ID] && (ch.Delete || deleted[ch.ID]) {
			return fmt.Errorf("%s: %w", ch.ID, ErrChangedTwice)
		}

		listed[ch.ID] = true

		if ch.Delete {
			deleted[ch.ID] = true

			continue
		}

		declared = append(declared, resource.Resource{
			ID:   ch.ID,
			Spec: ch.Spec,
		})
	}

	exists := func(id resource.ID) bool {
		_, ok := c.get(id)

		return ok && !deleted[id]
	}

	resource.CheckSet(declared, exists, &problems)

	if err := problems.Err(); err != nil {
		return err
	}

	for id := range deleted {
		if err := c.checkReferrers(id, deleted); err != nil {
			return err
		}
	}

	return nil
}

func (c *Catalog) checkReferrers(id resource.ID, deleted map[resource.ID]bool) error {
	all := make([]resource.Resource, 0, len(c.resources))
	for _, r := range c.resources {
		all = append(all, r)
	}

	for _, ref := range resource.Referrers(id, all) {
		if !deleted[ref] {
			return fmt.Errorf("delete %s: %s refers to it: %w", id, ref, ErrReferenced)
		}
	}

	return nil
}

func checkChange(ch Change, before resource.Resource, exists bool) error {
	current := int64(0)
	if exists {
		current = before.Revision
	}

	if ch.IfRevision != AnyRevision && ch.IfRevision != current {
		return fmt.Errorf("%s was changed against revision %d, but is at %d: %w", ch.ID, ch.IfRevision, current, ErrRevision)
	}

	if ch.Delete && !exists {
		return fmt.Errorf("delete %s: %w", ch.ID, ErrNotFound)
	}

	if !ch.Delete && exists && ch.ID.Kind == resource.KindJob && !resource.Equal(before.Spec, ch.Spec) {
		return fmt.Errorf("change %s: %w", ch.ID, ErrImmutable)
	}

	return nil
}
