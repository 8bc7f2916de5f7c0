// Package admin serves the health checks and the metrics of a process.
//
// # Usage
//
//	s := admin.Server{Address: address, Metrics: set, Ready: ready}
//	err := s.Serve(ctx)
package admin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = time.Second
)

// Server serves /healthz, /readyz and /metrics.
type Server struct {
	Address netip.AddrPort
	Metrics *metrics.Set
	// Ready reports whether the process accepts new work.
	Ready func() bool
	// Extra serves all other paths. It may be nil.
	Extra http.Handler
}

// Serve serves until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		s.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})

	if s.Extra != nil {
		mux.Handle("/", s.Extra)
	}

	return Run(ctx, s.Address, &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
	}, shutdownTimeout)
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)

		return
	}

	fmt.Fprintln(w, "ready")
}

// MetricsServer returns a server of only the metrics of a process.
func MetricsServer(set *metrics.Set) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})

	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
	}
}

// Run listens at an address and serves HTTP as RunOn does.
func Run(ctx context.Context, a netip.AddrPort, server *http.Server, drain time.Duration) error {
	var c net.ListenConfig

	l, err := c.Listen(ctx, "tcp", a.String())
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}

	return RunOn(ctx, l, server, drain)
}

// RunOn serves HTTP on a listener until ctx ends, then shuts down gracefully: it waits
// up to drain for the requests in progress.
func RunOn(ctx context.Context, l net.Listener, server *http.Server, drain time.Duration) error {
	done := make(chan error, 1)

	go func() {
		<-ctx.Done()

		limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), drain)
		defer cancel()

		done <- server.Shutdown(limit)
	}()

	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}

	if err := <-done; err != nil {
		return fmt.Errorf("shut down: %w", err)
	}

	return nil
}
