package sidecar

import (
	"context"
	"errors"

	core "trefoildeck/core/intake"
	"trefoildeck/internal/jsonlog"
	"trefoildeck/io/admin"
	"trefoildeck/io/intake"
	"trefoildeck/io/peer"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
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

// logPeerLost logs that a connection of a peer ended, or counts it if it was never a session: anyone
// may open such connections.
func (s *Sidecar) logPeerLost(remote string, err error) {
	if errors.Is(err, peer.ErrNoHello) {
		s.repeats.Log(s.log, zapcore.InfoLevel, "PeerLost", "NoHello", zap.String("Remote", remote), jsonlog.Error(err))

		return
	}

	s.log.Info("PeerLost", zap.String("Remote", remote), jsonlog.Error(err))
}
