package coordinator

import (
	"encoding/json"
	"fmt"
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
	names := l.namesToHandOver(left)
	l.mu.Unlock()

	ends := map[string]time.Duration{}

	for name, d := range left {
		ends[name] = 0
		if d > 0 {
			ends[name] = l.c.storeClockAt(now + d)
		}
	}

	value, err := l.encodeHandover(names, ends)
	if err != nil {
		l.c.log.Error("HandoverNotEncoded", jsonlog.Error(err))
	}

	return rows.Row{
		Table: leadTable,
		Key:   handoverKey,
		Value: value,
	}, err == nil && len(names) > 0
}

// namesToHandOver returns the names of at most maxAbsences sidecars. Those without a session come first: the next
// leader would wait for them. The caller holds l.mu.
func (l *leader) namesToHandOver(left map[string]time.Duration) []string {
	var connected, lost []string

	for _, name := range slices.Sorted(maps.Keys(left)) {
		if n := l.nodes[name]; n != nil && n.session != nil {
			connected = append(connected, name)
		} else {
			lost = append(lost, name)
		}
	}

	names := slices.Concat(lost, connected)

	return names[:min(len(names), maxAbsences)]
}

// encodeHandover encodes as many of the first sidecars as fit into the row.
func (l *leader) encodeHandover(names []string, ends map[string]time.Duration) ([]byte, error) {
	for {
		h := handover{
			Term:      l.term,
			LeaseEnds: map[string]time.Duration{},
		}

		for _, n := range names {
			h.LeaseEnds[n] = ends[n]
		}

		value, err := json.Marshal(h)
		if err != nil {
			return nil, fmt.Errorf("encode handover: %w", err)
		}

		if len(value) <= l.maxAbsenceBytes() || len(names) == 0 {
			return value, nil
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
