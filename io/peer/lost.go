package peer

import (
	"errors"

	"trefoildeck/internal/jsonlog"

	"go.uber.org/zap"
)

// LogLost returns a function for OnError that logs the end of a connection of a peer. Those that never
// were sessions are counted in repeats, since anyone may open such connections.
func LogLost(log *zap.Logger, repeats *jsonlog.Repeats) func(remote string, err error) {
	return func(remote string, err error) {
		if errors.Is(err, ErrNoHello) {
			repeats.Log(log, zap.InfoLevel, "PeerLost", "NoHello", zap.String("Remote", remote), jsonlog.Error(err))

			return
		}

		log.Info("PeerLost", zap.String("Remote", remote), jsonlog.Error(err))
	}
}
