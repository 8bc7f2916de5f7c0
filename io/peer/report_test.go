package peer

import (
	"fmt"
	"strings"
	"testing"

	"trefoildeck/core/gate"
	"trefoildeck/core/interference"
	"trefoildeck/core/job"
	"trefoildeck/core/resource"
	"trefoildeck/io/peer/peerpb"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// TestReportFits checks that a report arrives as a whole however many runs and ends it has: in one
// frame above the limit, it ended each session of a sidecar with its leader.
func TestReportFits(t *testing.T) {
	tests := map[string]struct{ runs, ends, checkpointBytes int }{
		"Empty":           {0, 0, 0},
		"Few":             {3, 2, 20},
		"ManyRuns":        {10_000, 0, 100},
		"ManyEnds":        {0, 500, 10_000},
		"LongCheckpoints": {20, 20, 200_000},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := gate.New()
			g.Announced = true
			g.Worker.Incarnation = gate.Incarnation{
				ID:   "i-1",
				Born: 5,
			}

			var (
				runs   []TaskRun
				ends   []gate.EndEvent
				joiner ReportJoiner
				joined *peerpb.WorkerReport
			)

			for i := range c.runs {
				runs = append(runs, TaskRun{
					Task: job.TaskID{
						Job:   "00000000000000aa",
						Index: i,
					},
					State: &gate.RunState{
						Attempt: 1,
						Run:     gate.Run{Checkpoint: strings.Repeat("c", c.checkpointBytes)},
					},
				})
			}

			for i := range c.ends {
				ends = append(ends, gate.EndEvent{
					End: gate.End{
						Number: int64(i + 1),
						Task: job.TaskID{
							Job:   "00000000000000bb",
							Index: i,
						},
						Attempt:    1,
						Reason:     gate.Done,
						Checkpoint: strings.Repeat("c", c.checkpointBytes),
					},
					Incarnation: g.Worker.Incarnation,
				})
			}

			for _, m := range EncodeReport(true, g, runs, ends) {
				assert.Assert(t, joined == nil, "the report was complete before its last message")
				f := &peerpb.Frame{Body: &peerpb.Frame_WorkerReport{WorkerReport: m}}
				assert.Assert(t, proto.Size(f) <= MaxFrame, "%d bytes", proto.Size(f))

				joined = joiner.Add(m)
			}

			r, err := DecodeReport("dc1", joined)
			assert.NilError(t, err)
			assert.Assert(t, r.Full && r.Described)
			assert.Equal(t, len(r.Runs), c.runs)
			assert.DeepEqual(t, r.Ends, ends)

			for i, run := range r.Runs {
				assert.Equal(t, run.Task, runs[i].Task)
				assert.Equal(t, run.Checkpoint, runs[i].State.Run.Checkpoint)
			}
		})
	}
}

// TestEstimatesFit checks that the estimates of many pairs of images arrive: a new session is sent
// all of them, and ended if they exceeded a frame.
func TestEstimatesFit(t *testing.T) {
	estimates := map[interference.Pair]interference.Estimate{}

	for i := range 30_000 {
		estimates[interference.Pair{
			Filling: fmt.Sprintf("an image that fills %d", i),
			Serving: fmt.Sprintf("an image that serves %d", i),
		}] = interference.Estimate{
			Factor: float64(i),
			Weight: 1,
		}
	}

	received := map[interference.Pair]interference.Estimate{}

	for _, m := range EncodeEstimates(estimates) {
		f := &peerpb.Frame{Body: &peerpb.Frame_Estimates{Estimates: m}}
		assert.Assert(t, proto.Size(f) <= MaxFrame, "%d bytes", proto.Size(f))

		for p, e := range DecodeEstimates(m) {
			received[p] = e
		}
	}

	assert.DeepEqual(t, received, estimates)
}

// TestNewsFits checks that all resources reach a peer, however large they are together: in one frame
// above the limit, they ended each session, which began with them.
func TestNewsFits(t *testing.T) {
	var list []resource.Resource

	for i := range 300 {
		list = append(list, resource.Resource{
			ID: resource.ID{
				Kind: resource.KindConfiguration,
				Name: fmt.Sprint(i),
			},
			Revision: int64(i + 1),
			Spec:     &resource.Configuration{Values: map[string]string{"Text": strings.Repeat("x", 10*i*(i%90))}},
			Deleted:  false,
		})
	}

	messages, err := EncodeNews(list)
	assert.NilError(t, err)

	var received []resource.Resource

	for _, m := range messages {
		f := &peerpb.Frame{Body: &peerpb.Frame_News{News: m}}
		assert.Assert(t, proto.Size(f) <= MaxFrame, "%d bytes", proto.Size(f))

		part, err := DecodeNews(m)
		assert.NilError(t, err)

		received = append(received, part...)
	}

	assert.DeepEqual(t, received, list)
}
