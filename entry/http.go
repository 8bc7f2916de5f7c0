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

// Limits of connections from outside.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// metricSet has the entry's metrics.
type metricSet struct {
	set    *metrics.Set
	tick   *metrics.Summary
	commit *metrics.Summary
	rows   *metrics.Counter
}

func newMetrics(e *Entry) *metricSet {
	set := metrics.NewSet()
	set.NewGauge("trefoildeck_entry_sessions", func() float64 { return float64(e.sessions.count()) })
	set.NewGauge("trefoildeck_entry_shards_held", func() float64 { return float64(e.heldShards()) })
	set.NewGauge("trefoildeck_entry_revision", func() float64 { return float64(e.catalog.Head()) })

	counts := map[string]func() int64{
		"placed":      func() int64 { return e.stats().Placed },
		"finished":    func() int64 { return e.stats().Finished },
		"evicted":     func() int64 { return e.stats().Evicted },
		"resumed":     func() int64 { return e.stats().Resumed },
		"lost":        func() int64 { return e.stats().Lost },
		"conflicts":   func() int64 { return e.stats().Conflicts },
		"throttled":   func() int64 { return e.stats().Throttled },
		"quarantined": func() int64 { return e.stats().Quarantined },
	}
	for name, count := range counts {
		set.NewGauge(fmt.Sprintf("trefoildeck_scheduler_%s", name), func() float64 { return float64(count()) })
	}

	return &metricSet{
		set:    set,
		tick:   set.NewSummary("trefoildeck_scheduler_tick_seconds"),
		commit: set.NewSummary("trefoildeck_table_commit_seconds"),
		rows:   set.NewCounter("trefoildeck_table_rows_written_total"),
	}
}

func (m *metricSet) outcome(service string, o routing.Outcome) {
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

// serveHTTP serves callers and operators until ctx ends, and then what is in
// progress.
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
		// Watches last for ever; they end with ctx.
		return admin.Run(ctx, e.settings.Entry.OperatorAddress, &http.Server{
			Handler:           untilDone(ctx, e.operatorHandler()),
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

// untilDone ends watches when ctx ends; other requests go on.
func untilDone(ctx context.Context, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/watch" {
			inner, cancel := context.WithCancel(r.Context())
			defer cancel()

			stop := context.AfterFunc(ctx, cancel)
			defer stop()

			r = r.WithContext(inner)
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
		Count:   e.metrics.outcome,
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

// ready reports whether the balancer should send requests here.
func (e *Entry) ready() bool {
	select {
	case <-e.fed:
		return !e.leaving.Load() && (e.settledIn() || time.Since(e.started) > maxSettleTime)
	default:
		return false
	}
}

// settledIn reports whether every declared service has endpoints here and no
// more agents are dialling.
func (e *Entry) settledIn() bool {
	for _, r := range e.catalog.List(resource.KindService) {
		if !e.routes.Available(r.ID.Name) {
			return false
		}
	}

	return e.sessions.quiet() > settledTime
}
