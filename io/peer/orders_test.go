package peer

import (
	"strings"
	"testing"
	"time"

	"trefoildeck/core/fleet"
	"trefoildeck/core/gate"
	"trefoildeck/core/job"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// TestAdoptedOrdersFit checks that the orders of all runs that a sidecar found on its worker fit in
// one frame. A larger frame ended the session, in each session anew.
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
	assert.Assert(t, proto.Size(EncodeOrders(o)) < MaxFrame, "%d bytes", proto.Size(EncodeOrders(o)))
}
