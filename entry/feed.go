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
	"trefoildeck/internal/guard"
	"trefoildeck/io/operator"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/io/table"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	feedPageSize = 500
	// maxChangesPerTransaction follows from the table's limit: each change
	// writes a resource row and an audit row, and all share the head row.
	maxChangesPerTransaction = (table.MaxTransaction - 1) / 2
	// applyTimeout bounds all attempts to commit one change set.
	applyTimeout       = 8 * time.Second
	conflictRetryDelay = 20 * time.Millisecond
)

// errTooManyConflicts says that concurrent changes were committed first until
// applyTimeout had passed.
var errTooManyConflicts = eris.New("other changes came first, again and again")

// pollFeed reads the changes that were committed since the last poll.
func (e *Entry) pollFeed(ctx context.Context) {
	if err := e.readFeed(ctx); err != nil && ctx.Err() == nil {
		e.log.Warn("FeedUnreadable", zap.Error(err))
	}
}

// readFeed brings the catalog up to date with the audit rows of the table, which
// serve as a change feed.
func (e *Entry) readFeed(ctx context.Context) error {
	e.feedMu.Lock()
	defer e.feedMu.Unlock()

	if !e.loaded {
		if err := e.loadCatalog(ctx); err != nil {
			return err
		}
	}

	for {
		rows, err := e.table.Query(ctx, table.PartitionAudit, e.cursor, feedPageSize)
		if err != nil {
			return fmt.Errorf("read feed: %w", err)
		}

		if len(rows) == 0 {
			break
		}

		if err := e.mergeAuditRows(rows); err != nil {
			return err
		}

		e.cursor = rows[len(rows)-1].Key.Sort
	}

	e.catalog.SetHead(e.feedHead)

	return nil
}

// loadCatalog reads all resources. The feed is then read from the revision that
// was the head before, so that changes made in the meantime are not missed.
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

	e.mergeResources(list)
	e.feedHead = head
	e.cursor = table.AuditAfter(head)
	e.loaded = true
	e.catalogReadOnce.Do(func() { close(e.catalogRead) })

	return nil
}

func (e *Entry) mergeAuditRows(rows []table.Row) error {
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

		e.recentChangeSets.add(a.ChangeID)
		e.feedHead = a.Revision
		list = append(list, r)
	}

	e.mergeResources(list)

	return nil
}

// mergeResources merges resources into the catalog, applies those that changed
// to routing and scheduling, and sends them to the sessions.
func (e *Entry) mergeResources(list []resource.Resource) {
	changed := e.catalog.Merge(list)
	if len(changed) == 0 {
		return
	}

	for _, r := range changed {
		e.log.Info("ResourceAccepted", zap.Stringer("Resource", r.ID), zap.Int64("Revision", r.Revision), zap.Bool("Deleted", r.Deleted))

		err := guard.Call(func() error {
			e.applyResource(r)

			return nil
		})
		if err != nil {
			e.log.Error("ResourceNotApplied", zap.Stringer("Resource", r.ID), zap.Error(err))
		}
	}

	e.broadcast(changed)
	e.inForce.markPending(changed)
}

// applyResource applies a changed resource to routing and scheduling.
func (e *Entry) applyResource(r resource.Resource) {
	now := time.Now()

	e.mu.Lock()
	defer e.mu.Unlock()

	switch r.ID.Kind {
	case resource.KindDataCentre:
		e.applyDataCentre(now, r.ID.Name)
	case resource.KindOutage:
		e.applyDataCentre(now, r.ID.Name)
	case resource.KindTeam:
		if t, ok := r.Spec.(*resource.Team); ok {
			e.scheduler.SetTeam(r.ID.Name, sizeOf(t.MilliCores, t.MemoryMB, t.Accelerators))
		}
	case resource.KindService:
		if s, ok := r.Spec.(*resource.Service); ok {
			e.scheduler.SetService(r.ID.Name, s.LatencyTarget)
		}
	case resource.KindJob:
		e.applyJob(r)
	case resource.KindConfiguration:
	}
}

// applyDataCentre tells routing and scheduling whether a data centre is out. One that is
// not declared is drained like one that is out, also if its outage was deleted with it.
func (e *Entry) applyDataCentre(now time.Time, name string) {
	_, outage := e.catalog.Get(outageID(name))
	_, declared := e.catalog.Get(dataCentreID(name))

	e.scheduler.SetDataCentre(now, name, outage || !declared)
	e.routes.SetOut(now, name, outage || !declared)
}

func dataCentreID(name string) resource.ID {
	return resource.ID{
		Kind: resource.KindDataCentre,
		Name: name,
	}
}

func outageID(dataCentre string) resource.ID {
	return resource.ID{
		Kind: resource.KindOutage,
		Name: dataCentre,
	}
}

// broadcast sends changed resources to the sessions: configurations to agents,
// all of them to other entries.
func (e *Entry) broadcast(changed []resource.Resource) {
	var configurations []resource.Resource

	for _, r := range changed {
		if r.ID.Kind == resource.KindConfiguration {
			configurations = append(configurations, r)
		}
	}

	e.sendResources(e.sessions.ofRole(peer.RoleEntry), changed)
	e.sendResources(e.sessions.ofRole(peer.RoleAgent), configurations)
}

func (e *Entry) sendResources(sessions []*peer.Session, list []resource.Resource) {
	if len(list) == 0 || len(sessions) == 0 {
		return
	}

	news, err := peer.EncodeNews(list)
	if err != nil {
		e.log.Error("ResourcesNotEncoded", zap.Error(err))

		return
	}

	for _, s := range sessions {
		for _, n := range news {
			// A session that fails is sent all resources when it is opened again.
			err := s.Send(&peerpb.Frame{Body: &peerpb.Frame_News{News: n}})
			if errors.Is(err, peer.ErrFrameTooLarge) {
				e.log.Error("ResourcesNotSent", zap.Error(err))
			}
		}
	}
}

// apply commits a set of changes of an operator. A set of up to
// maxChangesPerTransaction changes is applied as a whole or not at all; of a larger one
// the error says how many were applied.
func (e *Entry) apply(ctx context.Context, operatorName string, changes []catalog.Change, dryRun bool) ([]operator.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
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

	for first := 0; first < len(plan.After); first += maxChangesPerTransaction {
		part := changesOf(changes, plan.After[first:min(first+maxChangesPerTransaction, len(plan.After))])

		committed, err := e.commitChanges(ctx, operatorName, part)
		if err != nil && first > 0 {
			return nil, fmt.Errorf("the first %d of %d changes are applied, the others not: %w", first, len(plan.After), err)
		}

		if err != nil {
			return nil, err
		}

		before = append(before, committed.Before...)
		after = append(after, committed.After...)
	}

	return results(changes, before, after), nil
}

// changesOf returns the changes to the resources in part, in the order of part.
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

// commitChanges commits one transaction. It plans the changes again whenever a
// concurrent change was committed first.
func (e *Entry) commitChanges(ctx context.Context, operatorName string, changes []catalog.Change) (catalog.Plan, error) {
	changeID := uuid.NewString()

	for ctx.Err() == nil {
		plan, err := e.catalog.Plan(changes)
		if err != nil {
			return plan, err
		}

		if len(plan.After) == 0 {
			return plan, nil
		}

		writes, err := changeSetWrites(plan, operatorName, changeID)
		if err != nil {
			return plan, err
		}

		err = e.table.Commit(ctx, writes)
		if err == nil {
			e.mergeResources(plan.After)

			return plan, nil
		}

		committed, feedErr := e.feedHasChangeSet(ctx, changeID)
		if committed {
			return plan, nil
		}

		if feedErr != nil || !errors.Is(err, table.ErrConflict) {
			return plan, fmt.Errorf("commit change: %w", err)
		}

		time.Sleep(conflictRetryDelay)
	}

	return catalog.Plan{}, fmt.Errorf("commit change: %w", errTooManyConflicts)
}

// feedHasChangeSet reports whether a change set is in the feed. It settles a
// commit that had no answer or that conflicted with another one.
func (e *Entry) feedHasChangeSet(ctx context.Context, id string) (bool, error) {
	if err := e.readFeed(ctx); err != nil {
		return false, err
	}

	return e.recentChangeSets.has(id), nil
}

// maxRecentChangeSets is the number of change sets in a changeSetCache.
const maxRecentChangeSets = 1024

// changeSetCache holds the IDs of the last change sets read from the feed.
type changeSetCache struct {
	mu   sync.Mutex
	ids  map[string]bool
	ring []string
	next int
}

func newChangeSetCache() *changeSetCache {
	return &changeSetCache{
		ids:  map[string]bool{},
		ring: make([]string, maxRecentChangeSets),
	}
}

func (r *changeSetCache) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.ids[id] {
		return
	}

	delete(r.ids, r.ring[r.next])
	r.ring[r.next] = id
	r.ids[id] = true
	r.next = (r.next + 1) % maxRecentChangeSets
}

func (r *changeSetCache) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.ids[id]
}

func changeSetWrites(plan catalog.Plan, operatorName, id string) ([]table.Write, error) {
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
			Operator: operatorName,
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

// results returns the result of each change, in the order of changes.
func results(changes []catalog.Change, before, after []resource.Resource) []operator.Result {
	changed := map[resource.ID]operator.Result{}

	for i, r := range after {
		action := operator.ActionChanged

		switch {
		case r.Deleted:
			action = operator.ActionDeleted
		case before[i].Spec == nil:
			action = operator.ActionCreated
		}

		changed[r.ID] = operator.Result{
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
		r, ok := changed[c.ID]
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

// audit returns the audit records of a resource, oldest first. An empty name
// selects all resources of a kind, an empty kind all resources.
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
