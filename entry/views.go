package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"trefoildeck/core/placement"
	"trefoildeck/core/resource"
	"trefoildeck/core/routing"
	"trefoildeck/io/operator"
	"trefoildeck/io/peer"
)

// Kinds that are observed only and can't be declared.
const (
	kindWorker   resource.Kind = "Worker"
	kindEndpoint resource.Kind = "Endpoint"
	kindEntry    resource.Kind = "Entry"
)

// views returns one resource with its observed state, all of a kind if id has no
// name, or all declared ones if id is empty.
func (e *Entry) views(ctx context.Context, id resource.ID) ([]operator.View, error) {
	switch id.Kind {
	case kindWorker, kindEndpoint, kindEntry:
		return e.observedViews(id)
	case "":
	default:
		if _, err := resource.NewSpec(id.Kind); err != nil {
			return nil, fmt.Errorf("list resources: %w", err)
		}
	}

	var views []operator.View

	for _, r := range e.catalog.List(id.Kind) {
		if id.Name != "" && r.ID.Name != id.Name {
			continue
		}

		v, err := e.view(ctx, r, id.Name != "")
		if err != nil {
			return nil, err
		}

		views = append(views, v)
	}

	return views, nil
}

// view returns one resource. The state of a job that another entry schedules is
// read from the table only if the job was asked for by name.
func (e *Entry) view(ctx context.Context, r resource.Resource, byName bool) (operator.View, error) {
	v := operator.View{
		Kind:     r.ID.Kind,
		Name:     r.ID.Name,
		Revision: r.Revision,
	}

	spec, err := resource.Encode(r.Spec)
	if err != nil {
		return v, fmt.Errorf("show %s: %w", r.ID, err)
	}

	v.Spec = spec

	status, err := e.status(ctx, r, byName)
	if err != nil {
		return v, err
	}

	if status == nil {
		return v, nil
	}

	v.Status, err = json.Marshal(status)
	if err != nil {
		return v, fmt.Errorf("show status of %s: %w", r.ID, err)
	}

	return v, nil
}

func (e *Entry) status(ctx context.Context, r resource.Resource, byName bool) (any, error) {
	switch s := r.Spec.(type) {
	case *resource.Job:
		return e.jobStatus(ctx, r, s, byName)
	case *resource.DataCentre:
		return e.dataCentreStatus(r.ID.Name), nil
	case *resource.Service:
		return e.serviceStatus(r.ID.Name), nil
	case *resource.Configuration:
		return configurationStatus{InForce: e.inForce.get(r.ID.Name)}, nil
	case *resource.Team:
		e.mu.Lock()
		defer e.mu.Unlock()

		return teamStatus{Used: e.scheduler.TeamUsage(r.ID.Name)}, nil
	default:
		return nil, nil
	}
}

type configurationStatus struct {
	InForce map[string]InForceRevision
}

type teamStatus struct {
	Used placement.Size
}

// jobView is the status of a job and its tasks.
type jobView struct {
	placement.JobStatus
	Tasks []placement.Task `json:",omitempty"`
}

func (e *Entry) jobStatus(ctx context.Context, r resource.Resource, j *resource.Job, byName bool) (any, error) {
	key := jobKey(r.ID.Name, r.Revision)

	e.mu.Lock()
	status, ok := e.scheduler.Status(key)
	tasks := e.scheduler.Tasks(key)
	holdsShard := e.holdsShard()
	e.mu.Unlock()

	if ok && holdsShard || !byName {
		if !byName {
			tasks = nil
		}

		return jobView{
			JobStatus: status,
			Tasks:     tasks,
		}, nil
	}

	segments, err := e.jobSegments(ctx, key)
	if err != nil {
		return nil, err
	}

	var recorded []placement.Task
	for _, s := range segments {
		recorded = append(recorded, s.Tasks...)
	}

	return jobView{
		JobStatus: placement.StatusOf(jobSpec(r, j), segments),
		Tasks:     recorded,
	}, nil
}

// holdsShard reports whether this entry holds any shard. The caller must hold mu.
func (e *Entry) holdsShard() bool {
	for _, l := range e.leases {
		if l.held {
			return true
		}
	}

	return false
}

type dataCentreStatus struct {
	Out bool
	// Holder is the entry that schedules the data centre.
	Holder string
	Agents int
}

func (e *Entry) dataCentreStatus(name string) dataCentreStatus {
	_, out := e.catalog.Get(outageID(name))
	agents := 0

	for _, s := range e.sessions.ofRole(peer.RoleAgent) {
		if s.Hello.GetDataCentre() == name {
			agents++
		}
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	return dataCentreStatus{
		Out:    out,
		Holder: e.holders[name],
		Agents: agents,
	}
}

type serviceStatus struct {
	Endpoints int
	Slots     int
	InUse     int
	States    map[string]int
}

func (e *Entry) serviceStatus(name string) serviceStatus {
	s := serviceStatus{States: map[string]int{}}

	for _, p := range e.routes.Status() {
		if p.Service != name {
			continue
		}

		s.Endpoints++
		s.Slots += p.Slots
		s.InUse += p.Load
		s.States[p.State]++
	}

	return s
}

// observedViews returns one or all resources of a kind that is observed only, sorted
// by name.
func (e *Entry) observedViews(id resource.ID) ([]operator.View, error) {
	statuses := map[string]any{}

	switch id.Kind {
	case kindWorker:
		e.mu.Lock()
		for _, w := range e.scheduler.Workers(time.Now()) {
			statuses[w.Name] = w
		}
		e.mu.Unlock()
	case kindEndpoint:
		for _, p := range e.routes.Status() {
			statuses[p.Endpoint] = endpointView(p)
		}
	default:
		e.memberMu.Lock()
		statuses[e.settings.Entry.Name] = entryView{
			DataCentre: e.settings.Entry.DataCentre,
			Address:    e.settings.Entry.AdvertisedAddress.String(),
		}

		for name, m := range e.members {
			statuses[name] = entryView{
				DataCentre: m.body.DataCentre,
				Address:    m.body.PeerAddress,
			}
		}
		e.memberMu.Unlock()
	}

	var views []operator.View

	for name, s := range statuses {
		if id.Name != "" && id.Name != name {
			continue
		}

		status, err := json.Marshal(s)
		if err != nil {
			return nil, fmt.Errorf("show %s %s: %w", id.Kind, name, err)
		}

		views = append(views, operator.View{
			Kind:   id.Kind,
			Name:   name,
			Status: status,
		})
	}

	slices.SortFunc(views, func(a, b operator.View) int { return cmp.Compare(a.Name, b.Name) })

	return views, nil
}

type entryView struct {
	DataCentre string
	Address    string
}

type endpointStatus struct {
	Service    string
	DataCentre string
	State      string
	Slots      int
	Load       int
	Latency    string
}

func endpointView(p routing.Status) endpointStatus {
	return endpointStatus{
		Service:    p.Service,
		DataCentre: p.DataCentre,
		State:      p.State,
		Slots:      p.Slots,
		Load:       p.Load,
		Latency:    strings.TrimSpace(p.Latency.Round(100 * time.Microsecond).String()),
	}
}
