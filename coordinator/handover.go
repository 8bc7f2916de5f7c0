package coordinator

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"trefoildeck/core/lease"
	"trefoildeck/internal/jsonlog"
	"trefoildeck/io/rows"

	"go.uber.org/zap"
)

// handoverKey is the key of the row of leadTable in which a leader that resigns tells the next one
// for how long it has to wait for sidecars that were out of contact.
const handoverKey = "handover"

// handover is the content of the row.
type handover struct {
	// Term is that of the leader that resigned. The row holds for the next term only: a leader in
	// between may have been in contact with the sidecars and not have written it.
	Term int64
	// LeaseEnds has the reading of the store's clock at which all leases on a sidecar's worker have
	// ended, 0 if there are none. A sidecar that it doesn't have is awaited in full.
	LeaseEnds map[string]time.Duration
}

// handoverRow returns the row for a leader that acts no more, and false if there is nothing to tell.
func (l *leader) handoverRow() (rows.Row, bool) {
	l.mu.Lock()
	now := l.c.now()
	left, _ := l.fleet.LeasesLeft(now)
	l.mu.Unlock()

	h := handover{
		Term:      l.term,
		LeaseEnds: map[string]time.Duration{},
	}

	for _, name := range slices.Sorted(maps.Keys(left)) {
		if left[name] > 0 {
			h.LeaseEnds[name] = l.c.storeClockAt(now + left[name])
		} else {
			h.LeaseEnds[name] = 0
		}
	}

	value, err := l.encodeHandover(h)
	if err != nil {
		l.c.log.Error("HandoverNotEncoded", jsonlog.Error(err))
	}

	return rows.Row{
		Table: leadTable,
		Key:   handoverKey,
		Value: value,
	}, err == nil && len(h.LeaseEnds) > 0
}

// encodeHandover encodes as many sidecars as fit into the row.
func (l *leader) encodeHandover(h handover) ([]byte, error) {
	names := slices.Sorted(maps.Keys(h.LeaseEnds))
	names = names[:min(len(names), maxAbsences)]

	for {
		fitting := handover{
			Term:      h.Term,
			LeaseEnds: map[string]time.Duration{},
		}

		for _, n := range names {
			fitting.LeaseEnds[n] = h.LeaseEnds[n]
		}

		value, err := json.Marshal(fitting)
		if err != nil || len(value) <= l.maxAbsenceBytes() {
			return value, err
		}

		names = names[:len(names)/2]
	}
}

// readHandover returns the local times at which leases on sidecars have ended, from the row of the leader
// before this one. reading is the store's clock when the row was read, no later than now.
func (l *leader) readHandover(r rows.Row, reading time.Duration) map[string]time.Duration {
	var h handover
	if err := json.Unmarshal(r.Value, &h); err != nil {
		l.c.log.Error("HandoverUnreadable", zap.Int64("Row", r.Version), jsonlog.Error(err))

		return nil
	}

	if h.Term != l.term-1 {
		return nil
	}

	now := l.c.now()
	ends := make(map[string]time.Duration, len(h.LeaseEnds))

	for name, end := range h.LeaseEnds {
		ends[name] = now + lease.Wait(reading, end)
	}

	l.c.log.Info("HandoverRead", zap.Int64("Term", l.term), zap.Int("Nodes", len(ends)))

	return ends
}
