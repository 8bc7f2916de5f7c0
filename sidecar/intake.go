package sidecar

import (
	"context"

	core "trefoildeck/core/intake"
	"trefoildeck/io/admin"
	"trefoildeck/io/intake"
)

// guard returns a guard with limits for the listener called name.
func (s *Sidecar) guard(name string, l core.Limits) *intake.Guard {
	return intake.New(intake.Options{
		Name:   name,
		Limits: l,
		Log:    s.log,
		Meter:  s.meter,
	})
}

// serveMetrics serves the metrics, if there is an address for them.
func (s *Sidecar) serveMetrics(ctx context.Context) error {
	a := s.settings.Node.MetricsAddress
	if !a.IsValid() {
		return nil
	}

	return s.guard("Metrics", s.settings.CheckLimits()).Serve(ctx, a, admin.MetricsServer(s.meter.Set), 0)
}
