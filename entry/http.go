package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"trefoildeck/core/resource"
	"trefoildeck/core/routing"
	"trefoildeck/io/admin"
	"trefoildeck/io/caller"
	"trefoildeck/io/operator"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"
)

// Limits of the HTTP connections of callers and operators.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// metricSet holds the entry's metrics.
type metricSet struct {
	set           *metrics.Set
	tickSeconds   *metrics.Summary
	commitSeconds *metrics.Summary
	rowsWritten   *metrics.Counter
}

func newMetrics(e *Entry) *metricSet {
	set := metrics.NewSet()
	set.NewGauge("trefoildeck_entry_sessions", func() float64 { return float64(e.sessions.count()) })
	set.NewGauge("trefoildeck_entry_shards_held", func() float64 { return float64(e.heldShards()) })
	set.NewGauge("trefoildeck_entry_revision", func() float64 { return float64(e.catalog.Head()) })

	counts := map[string]func() int64{
		"placed":      func() int64 { return e.schedulerStats().Placed },
		"finished":    func() int64 { return e.schedulerStats().Finished },
		"evicted":     func() int64 { return e.schedulerStats().Evicted },
		"resumed":     func() int64 { return e.schedulerStats().Resumed },
		"lost":        func() int64 { return e.schedulerStats().Lost },
		"conflicts":   func() int64 { return e.schedulerStats().Conflicts },
		"throttled":   func() int64 { return e.schedulerStats().Throttled },
		"quarantined": func() int64 { return e.schedulerStats().Quarantined },
	}
	for name, count := range counts {
		set.NewGauge(fmt.Sprintf("trefoildeck_scheduler_%s", name), func() float64 { return float64(count()) })
	}

	return &metricSet{
		set:           set,
		tickSeconds:   set.NewSummary("trefoildeck_scheduler_tick_seconds"),
		commitSeconds: set.NewSummary("trefoildeck_table_commit_seconds"),
		rowsWritten:   set.NewCounter("trefoildeck_table_rows_written_total"),
	}
}

func (m *metricSet) countRequest(service string, o routing.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`trefoildeck_entry_requests_total{service=%q,outcome=%q}`, service, o)).Inc()
}

func (e *Entry) heldShards() int {
	e.mu.Lock()
	defer e.mu.Unlock()

	n := 0

	for _, l := range e.leases {
		if l.held {
			n++
		}
	}

	return n
}

// serveHTTP serves callers and operators until ctx ends, then waits for the
// requests in progress.
func (e *Entry) serveHTTP(ctx context.Context) error {
	drain := e.settings.Entry.DrainTime
	group, ctx := errgroup.WithContext(ctx)

	group.Go(func() error {
		return admin.Run(ctx, e.settings.Entry.CallerAddress, &http.Server{
			Handler:           e.callerHandler(),
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		}, drain)
	})

	group.Go(func() error {
		// Watches have no end of their own and would hold up the shutdown, so they
		// are cancelled with ctx.
		return admin.Run(ctx, e.settings.Entry.OperatorAddress, &http.Server{
			Handler:           cancelWatches(ctx, e.operatorHandler()),
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		}, drain)
	})

	if err := group.Wait(); err != nil {
		return fmt.Errorf("serve HTTP: %w", err)
	}

	return nil
}

// cancelWatches cancels watches when ctx ends; other requests run on.
func cancelWatches(ctx context.Context, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/watch" {
			watchCtx, cancel := context.WithCancel(r.Context())
			defer cancel()

			stop := context.AfterFunc(ctx, cancel)
			defer stop()

			r = r.WithContext(watchCtx)
		}

		h.ServeHTTP(w, r)
	})
}

func (e *Entry) callerHandler() http.Handler {
	return &caller.Handler{
		Routes:  e.routes,
		Log:     e.log,
		Service: e.service,
		Call:    e.call,
		Claim:   e.claim,
		Count:   e.metrics.countRequest,
	}
}

func (e *Entry) service(name string) (*resource.Service, bool) {
	r, ok := e.catalog.Get(resource.ID{
		Kind: resource.KindService,
		Name: name,
	})
	if !ok {
		return nil, false
	}

	s, ok := r.Spec.(*resource.Service)

	return s, ok
}

func (e *Entry) operatorHandler() http.Handler {
	tokens := map[string]string{}
	for _, o := range e.settings.Operators {
		tokens[o.TokenSHA256] = o.Name
	}

	return &operator.Handler{
		Log:    e.log,
		Tokens: tokens,
		Apply:  e.apply,
		Views:  e.views,
		Audit:  e.audit,
	}
}

func (e *Entry) serveAdmin(ctx context.Context) error {
	s := admin.Server{
		Address: e.settings.Entry.AdminAddress,
		Metrics: e.metrics.set,
		Ready:   e.ready,
	}

	return s.Serve(ctx)
}

// ready reports whether the load balancer should send requests to this entry.
func (e *Entry) ready() bool {
	select {
	case <-e.catalogRead:
		return !e.draining.Load() && (e.endpointsConnected() || time.Since(e.started) > maxStartupWait)
	default:
		return false
	}
}

// endpointsConnected reports whether every declared service has an endpoint that
// takes requests and no further agents are connecting.
func (e *Entry) endpointsConnected() bool {
	for _, r := range e.catalog.List(resource.KindService) {
		if !e.routes.Available(r.ID.Name) {
			return false
		}
	}

	return e.sessions.sinceLastAdded() > agentQuietTime
}
