package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"trefoildeck/internal/jsonlog"
	"trefoildeck/io/rows"

	"go.uber.org/zap"
)

// Pauses between tries to register; they double.
const (
	minRegisterDelay = 100 * time.Millisecond
	maxRegisterDelay  = time.Second
)

// Register writes a process's own row, trying again until it is written.
func Register(ctx context.Context, store *rows.Store, n Node, log *zap.Logger) error {
	row, err := n.Row()
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}

	pause := minRegisterDelay

	for {
		_, err := store.Commit(ctx, rows.Transaction{Set: []rows.Row{row}})
		if err == nil {
			log.Info("Registered", zap.String("Node", n.Name), zap.String("Boot", n.Boot))

			return nil
		}

		log.Warn("RegistrationFailed", jsonlog.Cause(err))

		select {
		case <-ctx.Done():
			// A process that ends needs no row.
			return nil
		case <-time.After(pause/2 + rand.N(pause)):
		}

		pause = min(2*pause, maxRegisterDelay)
	}
}
