package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/io/table"

	"go.uber.org/zap"
)

// memberLease is how long an entry's row is valid after its last renewal.
const memberLease = 10 * time.Second

// member is another entry, as its row describes it.
type member struct {
	version int64
	body    table.Entry
	// seen is when this version was first seen, by this entry's clock.
	seen time.Time
	// cancel ends the link to the member.
	cancel context.CancelFunc
}

func memberKey(name string) table.Key {
	return table.Key{
		Partition: table.PartitionEntry,
		Sort:      name,
	}
}

// maintainMembers renews this entry's row and updates the members from the rows of
// the others. While the table does not answer, the members stay as they are.
func (e *Entry) maintainMembers(ctx context.Context) {
	rows, err := e.table.All(ctx, table.PartitionEntry)
	if err != nil {
		if ctx.Err() == nil {
			e.log.Warn("MembersUnreadable", zap.Error(err))
		}

		return
	}

	ownVersion := int64(0)
	now := time.Now()

	for _, row := range rows {
		if row.Key.Sort == e.settings.Entry.Name {
			ownVersion = row.Version

			continue
		}

		if err := e.applyMemberRow(ctx, now, row); err != nil {
			e.log.Error("MemberUnreadable", zap.Error(err))
		}
	}

	if !e.draining.Load() {
		e.renewOwnMember(ctx, ownVersion)
	}

	e.removeExpiredMembers(ctx, now, rows)
}

// applyMemberRow adds or updates a member. A member that is new or has another
// address is dialled.
func (e *Entry) applyMemberRow(ctx context.Context, now time.Time, row table.Row) error {
	e.memberMu.Lock()
	defer e.memberMu.Unlock()

	m, ok := e.members[row.Key.Sort]
	if ok && m.version == row.Version {
		return nil
	}

	var body table.Entry
	if err := json.Unmarshal(row.Body, &body); err != nil {
		return fmt.Errorf("decode member %s: %w", row.Key.Sort, err)
	}

	if ok && m.body.PeerAddress != body.PeerAddress {
		m.cancel()

		ok = false
	}

	if !ok {
		m = &member{cancel: e.dialMember(ctx, body)}
		e.members[row.Key.Sort] = m
	}

	m.version = row.Version
	m.body = body
	m.seen = now

	return nil
}

// removeExpiredMembers removes the members whose rows are gone or were not renewed
// within their lease, and deletes the rows of the latter.
func (e *Entry) removeExpiredMembers(ctx context.Context, now time.Time, rows []table.Row) {
	present := map[string]bool{}
	for _, row := range rows {
		present[row.Key.Sort] = true
	}

	e.memberMu.Lock()

	var stale []table.Write

	for name, m := range e.members {
		expired := now.Sub(m.seen) > m.body.Lease
		if present[name] && !expired {
			continue
		}

		m.cancel()
		delete(e.members, name)

		if present[name] {
			stale = append(stale, table.Write{
				Key:    memberKey(name),
				Action: table.ActionDelete,
				Expect: m.version,
			})
		}
	}
	e.memberMu.Unlock()

	for _, w := range stale {
		if err := e.table.Commit(ctx, []table.Write{w}); err != nil {
			// The row was renewed, or another entry deleted it first.
			e.log.Info("MemberNotRemoved", zap.String("Member", w.Key.Sort), zap.Error(err))
		}
	}
}

func (e *Entry) renewOwnMember(ctx context.Context, version int64) {
	w, err := table.PutJSON(memberKey(e.settings.Entry.Name), version, table.Entry{
		Name:        e.settings.Entry.Name,
		DataCentre:  e.settings.Entry.DataCentre,
		PeerAddress: e.settings.Entry.AdvertisedAddress.String(),
		Lease:       memberLease,
	})
	if err != nil {
		e.log.Error("MemberNotRenewed", zap.Error(err))

		return
	}

	if err := e.table.Commit(ctx, []table.Write{w}); err != nil {
		e.log.Warn("MemberNotRenewed", zap.Error(err))
	}
}

func (e *Entry) removeOwnMember(ctx context.Context) {
	rows, err := e.table.Get(ctx, []table.Key{memberKey(e.settings.Entry.Name)})
	if err != nil || len(rows) == 0 {
		return
	}

	err = e.table.Commit(ctx, []table.Write{{
		Key:    rows[0].Key,
		Action: table.ActionDelete,
		Expect: rows[0].Version,
	}})
	if err != nil {
		e.log.Warn("MemberNotRemoved", zap.Error(err))
	}
}

// entryAddresses returns the addresses of this entry and of the other members.
func (e *Entry) entryAddresses() []string {
	e.memberMu.Lock()
	defer e.memberMu.Unlock()

	list := []string{e.settings.Entry.AdvertisedAddress.String()}
	for _, m := range e.members {
		list = append(list, m.body.PeerAddress)
	}

	return list
}

// dialMember keeps a link to another entry, over which that entry sends changed
// resources. The returned function ends the link.
func (e *Entry) dialMember(ctx context.Context, m table.Entry) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)

	address, err := netip.ParseAddrPort(m.PeerAddress)
	if err != nil {
		e.log.Error("MemberAddressInvalid", zap.String("Member", m.Name), zap.Error(err))

		return cancel
	}

	l := &peer.Link{
		Address: address,
		TLS:     e.tls,
		Hello: func() *peerpb.Hello {
			return &peerpb.Hello{
				Name:       e.settings.Entry.Name,
				Role:       peer.RoleEntry,
				DataCentre: e.settings.Entry.DataCentre,
			}
		},
		OnOpen:  func(*peer.Session) {},
		OnClose: func(*peer.Session) {},
		OnFrame: func(_ *peer.Session, f *peerpb.Frame) { e.onMemberFrame(f) },
		OnError: func(err error) {
			e.log.Info("MemberLinkFailed", zap.String("Member", m.Name), zap.Error(err))
		},
	}

	go l.Run(ctx)

	return cancel
}

func (e *Entry) onMemberFrame(f *peerpb.Frame) {
	if f.GetNews() == nil {
		return
	}

	list, err := peer.DecodeNews(f.GetNews())
	if err != nil {
		e.log.Error("ResourcesNotDecoded", zap.Error(err))

		return
	}

	e.mergeResources(list)
	e.catalogReadOnce.Do(func() { close(e.catalogRead) })
}
