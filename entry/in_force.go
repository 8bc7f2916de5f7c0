package entry

import (
	"sync"
	"time"

	"trefoildeck/core/resource"

	"go.uber.org/zap"
)

// InForceRevision is the lowest revision of a configuration among the agents of a
// data centre, and when this entry first saw that all of them had reached it.
type InForceRevision struct {
	Revision int64
	Since    time.Time
}

// inForceTable holds the revision of each configuration that is in force, by
// configuration and data centre. pending has the configurations whose latest
// revision is not in force in every data centre yet.
type inForceTable struct {
	mu        sync.Mutex
	revisions map[string]map[string]InForceRevision
	pending   map[string]bool
}

func newInForceTable() *inForceTable {
	return &inForceTable{
		revisions: map[string]map[string]InForceRevision{},
		pending:   map[string]bool{},
	}
}

func (f *inForceTable) markPending(list []resource.Resource) {
	f.mu.Lock()
	defer f.mu.Unlock()

	for _, r := range list {
		if r.ID.Kind == resource.KindConfiguration {
			f.pending[r.ID.Name] = true
		}
	}
}

func (f *inForceTable) get(configuration string) map[string]InForceRevision {
	f.mu.Lock()
	defer f.mu.Unlock()

	revisions := map[string]InForceRevision{}
	for name, i := range f.revisions[configuration] {
		revisions[name] = i
	}

	return revisions
}

// updateInForce checks in which data centres the pending configurations have come
// into force.
func (e *Entry) updateInForce(now time.Time) {
	e.inForce.mu.Lock()
	defer e.inForce.mu.Unlock()

	for name := range e.inForce.pending {
		r, ok := e.catalog.Get(resource.ID{
			Kind: resource.KindConfiguration,
			Name: name,
		})
		if !ok {
			delete(e.inForce.pending, name)
			delete(e.inForce.revisions, name)

			continue
		}

		if e.updateInForceRevisions(now, r) {
			delete(e.inForce.pending, name)
		}
	}
}

// updateInForceRevisions records in which data centres a configuration is in
// force. It returns whether its latest revision is in force in all of them.
func (e *Entry) updateInForceRevisions(now time.Time, r resource.Resource) bool {
	everywhere := true

	if e.inForce.revisions[r.ID.Name] == nil {
		e.inForce.revisions[r.ID.Name] = map[string]InForceRevision{}
	}

	for _, d := range e.catalog.List(resource.KindDataCentre) {
		lowest, found := e.sessions.lowestHeldRevision(d.ID.Name, r.ID.Name)
		if !found || lowest < r.Revision {
			everywhere = false

			continue
		}

		if e.inForce.revisions[r.ID.Name][d.ID.Name].Revision < lowest {
			e.inForce.revisions[r.ID.Name][d.ID.Name] = InForceRevision{
				Revision: lowest,
				Since:    now.UTC(),
			}
			e.log.Info("ConfigurationInForce", zap.String("Name", r.ID.Name), zap.String("DataCentre", d.ID.Name), zap.Int64("Revision", lowest))
		}
	}

	return everywhere
}
