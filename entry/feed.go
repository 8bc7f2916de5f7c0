package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"trefoildeck/core/catalog"
	"trefoildeck/core/resource"
	"trefoildeck/io/operator"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/io/table"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	feedPage = 500
	// maxChanges is the number of changes in one transaction: each takes a
	// resource row and an audit row, and all share the head row.
	maxChanges = (table.MaxTransaction - 1) / 2
	// applyTime bounds the tries of one change set.
	applyTime  = 8 * time.Second
	retryPause = 20 * time.Millisecond
)

// errLostRace says that other changes kept coming first.
var errLostRace = eris.New("other changes came first, again and again")

// pollFeed takes in the changes that were accepted since the last poll.
func (e *Entry) pollFeed(ctx context.Context) {
	if err := e.readFeed(ctx); err != nil && ctx.Err() == nil {
		e.log.Warn("FeedUnreadable", zap.Error(err))
	}
}

// readFeed brings the catalog up to date.
func (e *Entry) readFeed(ctx context.Context) error {
	e.feedMu.Lock()
	defer e.feedMu.Unlock()

	if !e.loaded {
		if err := e.loadCatalog(ctx); err != nil {
			return err
		}
	}

	for {
		rows, err := e.table.Query(ctx, table.PartitionAudit, e.cursor, feedPage)
		if err != nil {
			return fmt.Errorf("read feed: %w", err)
		}

		if len(rows) == 0 {
			break
		}

		if err := e.takeIn(rows); err != nil {
			return err
		}

		e.cursor = rows[len(rows)-1].Key.Sort
	}

	e.catalog.SetHead(e.feedHead)

	return nil
}

// loadCatalog reads the resources as they are. What changes meanwhile comes
// with the feed, which is read from the head as it was before.
func (e *Entry) loadCatalog(ctx context.Context) error {
	heads, err := e.table.Get(ctx, []table.Key{table.HeadKey()})
	if err != nil {
		return fmt.Errorf("read head: %w", err)
	}

	head := int64(0)
	if len(heads) == 1 {
		head = heads[0].Version
	}

	rows, err := e.table.All(ctx, table.PartitionResource)
	if err != nil {
		return fmt.Errorf("read resources: %w", err)
	}

	var list []resource.Resource

	for _, row := range rows {
		r, err := table.ReadResource(row)
		if err != nil {
			return err
		}

		list = append(list, r)
	}

	e.accept(list)
	e.feedHead = head
	e.cursor = table.AuditAfter(head)
	e.loaded = true
	e.fedOnce.Do(func() { close(e.fed) })

	return nil
}

func (e *Entry) takeIn(rows []table.Row) error {
	var list []resource.Resource

	for _, row := range rows {
		a, err := table.ReadAudit(row)
		if err != nil {
			return err
		}

		r, err := a.Resource()
		if err != nil {
			return err
		}

		e.recent.add(a.ChangeID)
		e.feedHead = a.Revision
		list = append(list, r)
	}

	e.accept(list)

	return nil
}

// accept takes resources in and tells everyone concerned.
func (e *Entry) accept(list []resource.Resource) {
	changed := e.catalog.Merge(list)
	if len(changed) == 0 {
		return
	}

	for _, r := range changed {
		e.log.Info("ResourceAccepted", zap.Stringer("Resource", r.ID), zap.Int64("Revision", r.Revision), zap.Bool("Deleted", r.Deleted))
		e.inform(r)
	}

	e.broadcast(changed)
	e.force.changed(changed)
}

// inform tells routing and placement of a resource.
func (e *Entry) inform(r resource.Resource) {
	now := time.Now()

	e.mu.Lock()
	defer e.mu.Unlock()

	switch r.ID.Kind {
	case resource.KindDataCentre:
		// One that was deleted is drained as if it were out.
		_, out := e.catalog.Get(outageOf(r.ID.Name))
		e.scheduler.SetDataCentre(now, r.ID.Name, out || r.Deleted)
		e.routes.SetOut(now, r.ID.Name, out || r.Deleted)
	case resource.KindOutage:
		e.scheduler.SetDataCentre(now, r.ID.Name, !r.Deleted)
		e.routes.SetOut(now, r.ID.Name, !r.Deleted)
	case resource.KindTeam:
		if t, ok := r.Spec.(*resource.Team); ok {
			e.scheduler.SetTeam(r.ID.Name, sizeOf(t.MilliCores, t.MemoryMB, t.Accelerators))
		}
	case resource.KindService:
		if s, ok := r.Spec.(*resource.Service); ok {
			e.scheduler.SetService(r.ID.Name, s.LatencyTarget)
		}
	case resource.KindJob:
		e.informJob(now, r)
	case resource.KindConfiguration:
	}
}

func dataCentreOf(name string) resource.ID {
	return resource.ID{
		Kind: resource.KindDataCentre,
		Name: name,
	}
}

func outageOf(dataCentre string) resource.ID {
	return resource.ID{
		Kind: resource.KindOutage,
		Name: dataCentre,
	}
}

// broadcast passes news to the sessions that need them: agents need
// configurations, other entries everything.
func (e *Entry) broadcast(changed []resource.Resource) {
	var configurations []resource.Resource

	for _, r := range changed {
		if r.ID.Kind == resource.KindConfiguration {
			configurations = append(configurations, r)
		}
	}

	e.sendNews(e.sessions.ofRole(peer.RoleEntry), changed)
	e.sendNews(e.sessions.ofRole(peer.RoleAgent), configurations)
}

func (e *Entry) sendNews(sessions []*peer.Session, list []resource.Resource) {
	if len(list) == 0 || len(sessions) == 0 {
		return
	}

	news, err := peer.EncodeNews(list)
	if err != nil {
		e.log.Error("NewsNotSent", zap.Error(err))

		return
	}

	for _, s := range sessions {
		// A session that fails gets everything when it opens again.
		_ = s.Send(&peerpb.Frame{Body: &peerpb.Frame_News{News: news}})
	}
}

// apply accepts a set of changes of an operator, or none of them.
func (e *Entry) apply(ctx context.Context, who string, changes []catalog.Change, dryRun bool) ([]operator.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTime)
	defer cancel()

	if err := e.readFeed(ctx); err != nil {
		return nil, fmt.Errorf("bring up to date: %w", err)
	}

	plan, err := e.catalog.Plan(changes)
	if err != nil {
		return nil, err
	}

	if dryRun {
		return results(changes, plan.Before, plan.After), nil
	}

	var before, after []resource.Resource

	for first := 0; first < len(plan.After); first += maxChanges {
		part := changesOf(changes, plan.After[first:min(first+maxChanges, len(plan.After))])

		accepted, err := e.applyPart(ctx, who, part)
		if err != nil {
			return nil, err
		}

		before = append(before, accepted.Before...)
		after = append(after, accepted.After...)
	}

	return results(changes, before, after), nil
}

// changesOf returns the changes to the resources of a part, in its order.
func changesOf(changes []catalog.Change, part []resource.Resource) []catalog.Change {
	byID := map[resource.ID]catalog.Change{}
	for _, c := range changes {
		byID[c.ID] = c
	}

	list := make([]catalog.Change, 0, len(part))
	for _, r := range part {
		list = append(list, byID[r.ID])
	}

	return list
}

// applyPart commits one transaction, planning it anew whenever another change
// came first.
func (e *Entry) applyPart(ctx context.Context, who string, changes []catalog.Change) (catalog.Plan, error) {
	id := uuid.NewString()

	for ctx.Err() == nil {
		plan, err := e.catalog.Plan(changes)
		if err != nil {
			return plan, err
		}

		if len(plan.After) == 0 {
			return plan, nil
		}

		writes, err := writesOf(plan, who, id)
		if err != nil {
			return plan, err
		}

		err = e.table.Commit(ctx, writes)
		if err == nil {
			e.accept(plan.After)

			return plan, nil
		}

		settled, feedErr := e.settled(ctx, id)
		if settled {
			return plan, nil
		}

		if feedErr != nil || !errors.Is(err, table.ErrConflict) {
			return plan, fmt.Errorf("commit change: %w", err)
		}

		time.Sleep(retryPause)
	}

	return catalog.Plan{}, fmt.Errorf("commit change: %w", errLostRace)
}

// settled looks for a change set in the feed, where its commit had no answer
// or lost a race.
func (e *Entry) settled(ctx context.Context, id string) (bool, error) {
	if err := e.readFeed(ctx); err != nil {
		return false, err
	}

	return e.recent.has(id), nil
}

// recentSize is the number of change sets that are remembered.
const recentSize = 1024

// recentChanges remembers the last change sets read from the feed.
type recentChanges struct {
	mu   sync.Mutex
	ids  map[string]bool
	ring []string
	next int
}

func newRecentChanges() *recentChanges {
	return &recentChanges{
		ids:  map[string]bool{},
		ring: make([]string, recentSize),
	}
}

func (r *recentChanges) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.ids[id] {
		return
	}

	delete(r.ids, r.ring[r.next])
	r.ring[r.next] = id
	r.ids[id] = true
	r.next = (r.next + 1) % recentSize
}

func (r *recentChanges) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.ids[id]
}

func writesOf(plan catalog.Plan, who, id string) ([]table.Write, error) {
	writes := []table.Write{{
		Key:     table.HeadKey(),
		Expect:  plan.Revision - 1,
		Version: plan.Revision,
		Body:    []byte("{}"),
	}}

	for i, after := range plan.After {
		before := plan.Before[i]

		audit := table.Audit{
			Revision: plan.Revision,
			ChangeID: id,
			Operator: who,
			Time:     time.Now().UTC(),
			Kind:     after.ID.Kind,
			Name:     after.ID.Name,
			Deleted:  after.Deleted,
		}

		change := table.Write{
			Key:     table.ResourceKey(after.ID),
			Action:  table.ActionDelete,
			Expect:  before.Revision,
			Version: plan.Revision,
		}

		if before.Spec != nil {
			from, err := resource.Encode(before.Spec)
			if err != nil {
				return nil, err
			}

			audit.From = from
		} else {
			change.Expect = 0
		}

		if !after.Deleted {
			to, err := resource.Encode(after.Spec)
			if err != nil {
				return nil, err
			}

			audit.To = to
			change.Action = table.ActionPut
			change.Body = to
		}

		body, err := json.Marshal(audit)
		if err != nil {
			return nil, fmt.Errorf("encode audit record: %w", err)
		}

		writes = append(writes, change, table.Write{
			Key:     table.AuditKey(plan.Revision, i),
			Version: 1,
			Body:    body,
		})
	}

	return writes, nil
}

// results says for each change what it came to.
func results(changes []catalog.Change, before, after []resource.Resource) []operator.Result {
	done := map[resource.ID]operator.Result{}

	for i, r := range after {
		action := operator.ActionChanged

		switch {
		case r.Deleted:
			action = operator.ActionDeleted
		case before[i].Spec == nil:
			action = operator.ActionCreated
		}

		done[r.ID] = operator.Result{
			Kind:     r.ID.Kind,
			Name:     r.ID.Name,
			Action:   action,
			Revision: r.Revision,
			From:     before[i].Spec,
			To:       r.Spec,
		}
	}

	list := make([]operator.Result, 0, len(changes))

	for _, c := range changes {
		r, ok := done[c.ID]
		if !ok {
			r = operator.Result{
				Kind:   c.ID.Kind,
				Name:   c.ID.Name,
				Action: operator.ActionUnchanged,
			}
		}

		list = append(list, r)
	}

	return list
}

// audit returns the audit records of a resource, or of all where the kind is
// empty, oldest first.
func (e *Entry) audit(ctx context.Context, id resource.ID) ([]table.Audit, error) {
	rows, err := e.table.All(ctx, table.PartitionAudit)
	if err != nil {
		return nil, fmt.Errorf("read audit trail: %w", err)
	}

	var list []table.Audit

	for _, row := range rows {
		a, err := table.ReadAudit(row)
		if err != nil {
			return nil, err
		}

		if id.Kind == "" || a.Kind == id.Kind && (id.Name == "" || a.Name == id.Name) {
			list = append(list, a)
		}
	}

	return list, nil
}
