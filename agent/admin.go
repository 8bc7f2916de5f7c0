package agent

import (
	"context"
	"encoding/json"
	"net/http"

	"trefoildeck/core/resource"
	"trefoildeck/io/admin"

	"github.com/VictoriaMetrics/metrics"
)

// metricSet holds the agent's metrics and its counters of requests by outcome.
type metricSet struct {
	set      *metrics.Set
	answered *metrics.Counter
	refused  *metrics.Counter
	unknown  *metrics.Counter
}

func newMetrics(a *Agent) *metricSet {
	set := metrics.NewSet()
	set.NewGauge("trefoildeck_agent_slots_in_use", func() float64 { return float64(a.limiter.Load().InUse) })
	set.NewGauge("trefoildeck_agent_requests_queued", func() float64 { return float64(a.limiter.Load().Queued) })
	set.NewGauge("trefoildeck_agent_entry_sessions", func() float64 { return float64(a.sessionCount()) })

	return &metricSet{
		set:      set,
		answered: set.NewCounter(`trefoildeck_agent_requests_total{outcome="Answered"}`),
		refused:  set.NewCounter(`trefoildeck_agent_requests_total{outcome="Refused"}`),
		unknown:  set.NewCounter(`trefoildeck_agent_requests_total{outcome="Unknown"}`),
	}
}

func (a *Agent) sessionCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()

	return len(a.sessions)
}

// serveAdmin serves health, readiness, metrics and the current configurations
// until ctx ends. The agent is ready while it has a session with an entry and is
// not draining.
func (a *Agent) serveAdmin(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /configurations/{name}", a.serveConfiguration)

	s := admin.Server{
		Address: a.settings.Agent.AdminAddress,
		Metrics: a.metrics.set,
		Ready:   func() bool { return a.sessionCount() > 0 && !a.limiter.Load().Leaving },
		Extra:   mux,
	}

	return s.Serve(ctx)
}

func (a *Agent) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	found, ok := a.catalog.Get(resource.ID{
		Kind: resource.KindConfiguration,
		Name: r.PathValue("name"),
	})
	if !ok {
		http.NotFound(w, r)

		return
	}

	w.Header().Set("Content-Type", "application/json")
	// An encoding error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(struct {
		Name     string
		Revision int64
		Spec     resource.Spec
	}{
		Name:     found.ID.Name,
		Revision: found.Revision,
		Spec:     found.Spec,
	})
}
