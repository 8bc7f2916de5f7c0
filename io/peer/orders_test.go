package peer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"trefoildeck/core/fleet"
	"trefoildeck/core/gate"
	"trefoildeck/core/job"
	"trefoildeck/io/peer/peerpb"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// sendAndDecode checks that each message of orders fits in a frame, and returns the orders that
// the sidecar decodes from them.
func sendAndDecode(t *testing.T, o *fleet.Orders) fleet.Orders {
	t.Helper()

	received := fleet.Orders{Incarnation: o.Incarnation}

	for _, m := range EncodeOrders(o) {
		f := &peerpb.Frame{Body: &peerpb.Frame_Orders{Orders: m}}
		assert.Assert(t, proto.Size(f) <= MaxFrame, "%d bytes", proto.Size(f))

		part, err := DecodeOrders(m)
		assert.NilError(t, err)
		assert.Equal(t, part.Incarnation, o.Incarnation)

		received.Starts = append(received.Starts, part.Starts...)
		received.Stops = append(received.Stops, part.Stops...)
		received.Adopted = append(received.Adopted, part.Adopted...)
	}

	return received
}

// TestStartsFit checks that the starts of one scheduling pass arrive however many they are and
// however long their texts: in one frame above the limit, they ended the session, after which
// the same starts were sent again.
func TestStartsFit(t *testing.T) {
	const starts = 700

	long := strings.Repeat("x", job.MaxSpecBytes)

	tests := map[string]func(i int) gate.StartOrder{
		"OneJob": func(int) gate.StartOrder { return gate.StartOrder{Text: long} },
		"ManyJobs": func(i int) gate.StartOrder {
			return gate.StartOrder{
				Text:  fmt.Sprint(i) + long,
				Image: fmt.Sprint(i),
			}
		},
		"Checkpoints": func(i int) gate.StartOrder {
			return gate.StartOrder{
				Text:       "text",
				Checkpoint: fmt.Sprint(i) + long,
				Image:      "text",
			}
		},
		"Images": func(i int) gate.StartOrder { return gate.StartOrder{Image: strings.Repeat(fmt.Sprint(i%10), 60_000)} },
		"Empty":  func(int) gate.StartOrder { return gate.StartOrder{} },
	}

	for name, start := range tests {
		t.Run(name, func(t *testing.T) {
			o := &fleet.Orders{Incarnation: gate.Incarnation{ID: "i-1"}}

			for i := range starts {
				s := start(i)
				s.Task = job.TaskID{
					Job:   "00000000000000aa",
					Index: i,
				}
				s.Attempt = 1
				s.Estimate = time.Second
				o.Starts = append(o.Starts, s)
				o.Stops = append(o.Stops, fleet.Stop{
					Task:    s.Task,
					Attempt: 1,
				})
			}

			o.Adopted = o.Starts
			assert.DeepEqual(t, sendAndDecode(t, o), *o)
		})
	}
}

// TestTextMissing checks that orders without one of their texts are not carried out with another.
func TestTextMissing(t *testing.T) {
	_, err := DecodeOrders(&peerpb.Orders{
		Starts: []*peerpb.StartOrder{{
			Task: "00000000000000aa.0.0.0",
			Text: 2,
		}},
		Texts: []string{"text"},
	})
	assert.ErrorIs(t, err, errNoText)
}

// TestAdoptedOrdersFit checks that the orders of all runs that a sidecar found on its worker fit in
// frames. A larger frame ended the session, in each session anew.
func TestAdoptedOrdersFit(t *testing.T) {
	const runs = 300

	f := fleet.New(2)
	task := job.TaskID{Job: "00000000000000aa"}
	report := fleet.Report{
		Full:        true,
		Described:   true,
		Incarnation: gate.Incarnation{ID: "i-1"},
	}

	for task.Index = range runs {
		report.Runs = append(report.Runs, gate.Run{
			Task:      task,
			Attempt:   1,
			Confirmed: true,
		})
	}

	assert.NilError(t, f.Load(0, 0, job.Record{
		ID: task.Job,
		Spec: job.Spec{
			Text:  strings.Repeat("x", job.MaxSpecBytes),
			Steps: []job.Step{{Count: runs}},
		},
	}, nil, false))
	f.Report(0, "side-1", report)

	o := f.Schedule(0, time.Time{})["side-1"]
	assert.Equal(t, len(o.Adopted), runs)
	assert.DeepEqual(t, sendAndDecode(t, o).Adopted, o.Adopted)
}
