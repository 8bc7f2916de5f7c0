package coordinator

import (
	"context"

	core "trefoildeck/core/intake"
	"trefoildeck/io/admin"
	"trefoildeck/io/intake"
)

// guard returns a guard with limits for the listener called name.
func (c *Coordinator) guard(name string, l core.Limits) *intake.Guard {
	return intake.New(intake.Options{
		Name:   name,
		Limits: l,
		Log:    c.log,
		Meter:  c.meter,
	})
}

// callerGuard returns a guard for callers, whose headers and idle connections the configuration
// in force limits.
func (c *Coordinator) callerGuard() *intake.Guard {
	return intake.New(intake.Options{
		Name:   "Callers",
		Limits: c.settings.CallerLimits(intake.DescriptorLimit()),
		InForce: func() intake.Header {
			p := c.configuration.Load()
			if p == nil {
				return intake.Header{}
			}

			return intake.Header{
				Bytes: p.Limits.HeaderBytes,
				Time:  p.Limits.HeaderTimeout,
				Idle:  p.Limits.IdleTimeout,
			}
		},
		Log:   c.log,
		Meter: c.meter,
	})
}

// serveMetrics serves the metrics, if there is an address for them.
func (c *Coordinator) serveMetrics(ctx context.Context) error {
	a := c.settings.Node.MetricsAddress
	if !a.IsValid() {
		return nil
	}

	return c.guard("Metrics", c.settings.CheckLimits()).Serve(ctx, a, admin.MetricsServer(c.meter.Set), 0)
}
