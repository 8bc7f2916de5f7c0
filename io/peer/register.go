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

// Bounds of the delay between attempts to register, which doubles each time.
const (
	minRegisterDelay = 100 * time.Millisecond
	maxRegisterDelay = time.Second
)

// Register writes the process's own row, with retries until it is written or ctx
// ends.
func Register(ctx context.Context, store *rows.Store, n Node, log *zap.Logger) error {
	row, err := n.Row()
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}

	delay := minRegisterDelay

	for {
		_, err := store.Commit(ctx, rows.Transaction{Set: []rows.Row{row}})
		if err == nil {
			log.Info("Registered", zap.String("Node", n.Name), zap.String("Boot", n.Boot))

			return nil
		}

		log.Warn("RegistrationFailed", jsonlog.Error(err))

		select {
		case <-ctx.Done():
			// A process that shuts down needs no row.
			return nil
		case <-time.After(delay/2 + rand.N(delay)):
		}

		delay = min(2*delay, maxRegisterDelay)
	}
}
