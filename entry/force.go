package entry

import (
	"sync"
	"time"

	"trefoildeck/core/resource"

	"go.uber.org/zap"
)

// InForceRevision is the revision of a configuration that every agent of a data
// centre holds at least, and when this entry first saw that.
type InForceRevision struct {
	Revision int64
	Since    time.Time
}

// forceTable follows which configurations are in force where.
type forceTable struct {
	mu      sync.Mutex
	inForce map[string]map[string]InForceRevision
	pending map[string]bool
}

func newForceTable() *forceTable {
	return &forceTable{
		inForce: map[string]map[string]InForceRevision{},
		pending: map[string]bool{},
	}
}

func (f *forceTable) changed(list []resource.Resource) {
	f.mu.Lock()
	defer f.mu.Unlock()

	for _, r := range list {
		if r.ID.Kind == resource.KindConfiguration {
			f.pending[r.ID.Name] = true
		}
	}
}

func (f *forceTable) get(configuration string) map[string]InForceRevision {
	f.mu.Lock()
	defer f.mu.Unlock()

	out := map[string]InForceRevision{}
	for name, i := range f.inForce[configuration] {
		out[name] = i
	}

	return out
}

// checkForce looks where the configurations that changed have arrived.
func (e *Entry) checkForce(now time.Time) {
	e.force.mu.Lock()
	defer e.force.mu.Unlock()

	for name := range e.force.pending {
		r, ok := e.catalog.Get(resource.ID{
			Kind: resource.KindConfiguration,
			Name: name,
		})
		if !ok {
			delete(e.force.pending, name)
			delete(e.force.inForce, name)

			continue
		}

		if e.noteForce(now, r) {
			delete(e.force.pending, name)
		}
	}
}

// noteForce returns whether a configuration is in force everywhere.
func (e *Entry) noteForce(now time.Time, r resource.Resource) bool {
	all := true

	if e.force.inForce[r.ID.Name] == nil {
		e.force.inForce[r.ID.Name] = map[string]InForceRevision{}
	}

	for _, d := range e.catalog.List(resource.KindDataCentre) {
		lowest, found := e.sessions.lowestHeld(d.ID.Name, r.ID.Name)
		if !found || lowest < r.Revision {
			all = false

			continue
		}

		if e.force.inForce[r.ID.Name][d.ID.Name].Revision < lowest {
			e.force.inForce[r.ID.Name][d.ID.Name] = InForceRevision{
				Revision: lowest,
				Since:    now.UTC(),
			}
			e.log.Info("ConfigurationInForce", zap.String("Name", r.ID.Name), zap.String("DataCentre", d.ID.Name), zap.Int64("Revision", lowest))
		}
	}

	return all
}
