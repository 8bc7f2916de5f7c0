package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"trefoildeck/core/fleet"
	"trefoildeck/internal/jsonlog"
	"trefoildeck/io/peer"
	"trefoildeck/io/rows"

	"go.uber.org/zap"
)

const (
	// absentKey is the key of the row of leadTable that lists the absent sidecars.
	absentKey = "absent"
	// absencePeriod is the time between two checks for absent sidecars.
	absencePeriod = time.Second
	// maxAbsences bounds the sidecars in the row, which is bounded by maxAbsenceBytes as well.
	maxAbsences = 500
	// returnTime is the time that a sidecar which is back has to open another session and report, until it
	// is listed as absent again.
	returnTime = fleet.MaxLeaseTime
)

// loadAbsences reads the rows of absent sidecars and of the previous leader's handover. It is called once
// this leader's term is stored, after which no earlier leader can write them.
func (l *leader) loadAbsences(ctx context.Context) error {
	p, err := l.readAll(ctx, leadTable, leadPart)
	if err != nil {
		return fmt.Errorf("read absences: %w", err)
	}

	absences := fleet.NewAbsences(nil, 0)

	var handedOver map[string]time.Duration

	for _, r := range p.Rows {
		if r.Key == handoverKey {
			handedOver = l.readHandover(r, p.Clock)
		}

		if r.Key != absentKey {
			continue
		}

		var absent []string
		if err := json.Unmarshal(r.Value, &absent); err != nil {
			l.c.log.Error("AbsencesUnreadable", zap.Int64("Row", r.Version), jsonlog.Error(err))

			// A part of it may have been decoded.
			absent = nil
		}

		absences = fleet.NewAbsences(absent, r.Version)
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	l.absences, l.handedOver = absences, handedOver

	return nil
}

// watchAbsences keeps the row of absent sidecars up to date until ctx is done or another leader has
// a later term.
func (l *leader) watchAbsences(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := l.storeAbsences(ctx); errors.Is(err, peer.ErrSuperseded) {
			return err
		} else if err != nil {
			l.c.log.Warn("AbsencesNotStored", jsonlog.Error(err))
		}

		select {
		case <-ctx.Done():
		case <-l.absenceEnded:
		case <-time.After(absencePeriod):
		}
	}

	return nil
}

// storeAbsences writes the absent sidecars if they have changed. Those that are back then open
// another session, which begins with a full report.
func (l *leader) storeAbsences(ctx context.Context) error {
	if !l.holdsLease() {
		return nil
	}

	l.mu.Lock()
	absent, known := l.absentNodes()
	version := l.absences.Version
	write := known && l.absences.BeginWrite(absent)
	l.mu.Unlock()

	if !write {
		return nil
	}

	version, err := l.commitAbsences(ctx, absent, version)
	if err != nil {
		return err
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	l.absences.FinishWrite(absent, version)
	l.c.log.Info("AbsencesStored", zap.Int64("Term", l.term), zap.Int("Nodes", len(absent)))

	for _, n := range l.nodes {
		if n.session != nil && n.held && !l.absences.MayList(n.node.Name) {
			n.returningUntil = l.c.now() + returnTime
			n.session.Close()
		}
	}

	return nil
}

// maxAbsenceBytes is the largest size of the row. The store may count a value as it is sent, in base64.
func (l *leader) maxAbsenceBytes() int { return l.c.settings.Store.RowLimit() / 4 * 3 }

// absentNodes returns the names of the absent sidecars that have no session, as many as fit into the row,
// and false while the nodes are not known. The caller holds l.mu.
func (l *leader) absentNodes() ([]string, bool) {
	now := l.c.now()

	listed, known := l.fleet.Absent(now)
	if !known {
		return nil, false
	}

	var absent []string

	// The brackets of the list.
	size := 2

	for _, name := range listed {
		n := l.nodes[name]
		if n == nil || n.session != nil || now < n.returningUntil {
			continue
		}

		encoded, err := json.Marshal(name)
		// One more for the comma.
		size += len(encoded) + 1

		if err != nil || len(absent) == maxAbsences || size > l.maxAbsenceBytes() {
			break
		}

		absent = append(absent, name)
	}

	return absent, true
}

// commitAbsences writes the row on the condition that no later term has begun and that the row has
// the given version. It returns its new version. On a conflict with an earlier write of this leader,
// whose answer was lost, it reads the row again.
func (l *leader) commitAbsences(ctx context.Context, absent []string, version int64) (int64, error) {
	value, err := json.Marshal(absent)
	if err != nil {
		return 0, fmt.Errorf("encode absences: %w", err)
	}

	l.leaseMu.Lock()
	term := l.lease.termVersion
	l.leaseMu.Unlock()

	stamp, err := l.c.store.Commit(ctx, rows.Transaction{
		Part: leadPart,
		Expect: []rows.Expectation{
			{
				Table:   leadTable,
				Key:     termKey,
				Version: term,
			},
			{
				Table:   leadTable,
				Key:     absentKey,
				Version: version,
			},
		},
		Set: []rows.Row{{
			Table: leadTable,
			Key:   absentKey,
			Value: value,
		}},
	})
	if err == nil {
		return stamp.Version, nil
	}

	var c *rows.Conflict
	if !errors.As(err, &c) {
		return 0, fmt.Errorf("write absences: %w", err)
	}

	for _, r := range c.Rows {
		if r.Table == leadTable && r.Key == termKey && r.Version != term {
			return 0, fmt.Errorf("write absences: %w", errors.Join(peer.ErrSuperseded, err))
		}
	}

	return 0, errors.Join(fmt.Errorf("write absences: %w", err), l.loadAbsences(ctx))
}
