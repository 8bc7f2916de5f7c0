package peer

import (
	"fmt"
	"net/http"
	"time"

	"trefoildeck/core/placement"
	"trefoildeck/core/resource"
	"trefoildeck/io/peer/peerpb"
)

// Roles of a Hello. Sidecars have the role of an agent, coordinators that of an
// entry.
const (
	RoleAgent = "Agent"
	RoleEntry = "Entry"
)

// Outcomes of a request, in an AnswerHead and in the header to callers.
const (
	OutcomeAnswered = "Answered"
	OutcomeRefused  = "Refused"
	OutcomeUnknown  = "Unknown"
)

// attemptMessage is a message about an attempt of a task.
type attemptMessage interface {
	GetJob() string
	GetTask() int32
	GetAttempt() int32
}

// DecodeAttemptID returns the id of the attempt that a message is about.
func DecodeAttemptID(m attemptMessage) placement.AttemptID {
	return placement.AttemptID{
		Job:     m.GetJob(),
		Task:    int(m.GetTask()),
		Attempt: int(m.GetAttempt()),
	}
}

// EncodeNews encodes resources, as several messages if they don't fit into one.
func EncodeNews(list []resource.Resource) ([]*peerpb.News, error) {
	var encoded []*peerpb.Resource

	for _, r := range list {
		m := &peerpb.Resource{
			Kind:     string(r.ID.Kind),
			Name:     r.ID.Name,
			Revision: r.Revision,
			Deleted:  r.Deleted,
		}

		if !r.Deleted {
			spec, err := resource.Encode(r.Spec)
			if err != nil {
				return nil, fmt.Errorf("encode news: %w", err)
			}

			m.Spec = spec
		}

		encoded = append(encoded, m)
	}

	var messages []*peerpb.News
	for _, l := range pack(encoded) {
		messages = append(messages, &peerpb.News{Resources: l})
	}

	return messages, nil
}

// DecodeNews decodes the resources of a News message.
func DecodeNews(n *peerpb.News) ([]resource.Resource, error) {
	var list []resource.Resource

	for _, m := range n.GetResources() {
		r := resource.Resource{
			ID: resource.ID{
				Kind: resource.Kind(m.GetKind()),
				Name: m.GetName(),
			},
			Revision: m.GetRevision(),
			Deleted:  m.GetDeleted(),
		}

		if !r.Deleted {
			spec, err := resource.Decode(r.ID.Kind, m.GetSpec())
			if err != nil {
				return nil, fmt.Errorf("decode news: %w", err)
			}

			r.Spec = spec
		}

		list = append(list, r)
	}

	return list, nil
}

// DecodeHeartbeat decodes an agent's heartbeat as a report for placement.
func DecodeHeartbeat(hello *peerpb.Hello, h *peerpb.Heartbeat) placement.Report {
	w := hello.GetWorker()
	r := placement.Report{
		Worker:     w.GetName(),
		DataCentre: hello.GetDataCentre(),
		Rack:       w.GetRack(),
		BootID:     h.GetBootID(),
		Capacity: placement.Size{
			MilliCores:   w.GetMilliCores(),
			MemoryMB:     w.GetMemoryMB(),
			Accelerators: w.GetAccelerators(),
		},
		Service: hello.GetEndpoint().GetService(),
		Latency: time.Duration(h.GetLoad().GetLatency()),
		Echo:    h.GetEcho(),
	}

	for _, t := range h.GetTasks() {
		r.Tasks = append(r.Tasks, placement.AttemptReport{
			ID:       DecodeAttemptID(t),
			Phase:    placement.Phase(t.GetPhase()),
			Progress: t.GetProgress(),
			Used: placement.Size{
				MilliCores: t.GetUsedMilliCores(),
				MemoryMB:   t.GetUsedMemoryMB(),
			},
		})
	}

	return r
}

// EncodeHeaders encodes HTTP headers.
func EncodeHeaders(h http.Header) []*peerpb.Header {
	list := make([]*peerpb.Header, 0, len(h))

	for name, values := range h {
		for _, v := range values {
			list = append(list, &peerpb.Header{
				Name:  name,
				Value: v,
			})
		}
	}

	return list
}

// DecodeHeaders decodes HTTP headers.
func DecodeHeaders(list []*peerpb.Header) http.Header {
	h := make(http.Header, len(list))
	for _, m := range list {
		h.Add(m.GetName(), m.GetValue())
	}

	return h
}
