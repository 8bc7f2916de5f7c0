package sidecar

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/settings"
	"trefoildeck/standin/emulator"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// FuzzOrders passes frames of a leader to a sidecar whose worker lists a run and an end. None
// may make it panic.
func FuzzOrders(f *testing.F) {
	task := job.TaskID{Job: "00000000000000aa"}
	order := &peerpb.StartOrder{
		Task:    task.String(),
		Attempt: 1,
		Size:    &peerpb.TaskSize{MilliCores: 1},
	}

	for _, m := range []*peerpb.Frame{
		{Body: &peerpb.Frame_Orders{Orders: &peerpb.Orders{
			WorkerID: "i-1",
			Adopted:  []*peerpb.StartOrder{order},
			Stops:    []*peerpb.StopOrder{{Task: task.String(), Attempt: 1}},
		}}},
		{Body: &peerpb.Frame_Recorded{Recorded: &peerpb.Recorded{WorkerID: "i-1", Number: 3}}},
		{Body: &peerpb.Frame_Estimates{Estimates: &peerpb.Estimates{List: []*peerpb.Estimate{{Filling: "a", Serving: "b"}}}}},
		{Body: &peerpb.Frame_Pong{Pong: &peerpb.Pong{Number: 1}}},
	} {
		data, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(data)
	}

	f.Fuzz(func(_ *testing.T, frame []byte) {
		var m peerpb.Frame
		if proto.Unmarshal(frame, &m) != nil {
			return
		}

		// Starts and stops are goroutines that call the worker, so that orders are decoded
		// and adopted, but not carried out.
		if o := m.GetOrders(); o != nil {
			o.Starts, o.Stops = nil, nil
		}

		s := New(settings.Node{}, emulator.NewRowStore().Store(), zap.NewNop())
		s.handleAnnouncement(gate.Announcement{Incarnation: gate.Incarnation{ID: "i-1"}})

		s.gate.RaiseToken(0)
		s.gate.HandleListing(0, 0, s.gate.Token, gate.Listing{
			Incarnation: gate.Incarnation{ID: "i-1"},
			Running: []gate.Run{{
				Task:    task,
				Attempt: 1,
			}},
			Ended: []gate.End{{
				Number:  7,
				Task:    task,
				Attempt: 2,
				Reason:  gate.Done,
			}},
		})

		s.handleFrame(nil, &m)

		s.learner.Observe(s.gate.Sample(0))
		s.gate.Pace(s.gate.Sample(0), s.learner)
		s.sendFullReport(nil)
		s.sendStatus()
	})
}

// TestUnreadableRunReported checks that a leader learns at once that nothing can be started
// beside a run that can't be decoded, and that the full report waits until there is none.
func TestUnreadableRunReported(t *testing.T) {
	running := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := fmt.Fprintf(w, `{"clock_ms":1000,"born":5,"running":[%s],"finished":[]}`, running)
		assert.Check(t, err)
	}))
	defer server.Close()

	s := newTestSidecar(t, server)
	s.handleAnnouncement(gate.Announcement{
		Incarnation: gate.Incarnation{
			ID:   "i-1",
			Born: 5,
		},
		Sequence: 1,
	})
	s.listOnce(t.Context())
	s.listOnce(t.Context())

	reports := connectLeader(t, s, 1)
	r := <-reports
	assert.Assert(t, r.GetFull() && r.GetReady())

	running = `["x",1,"",0,0]`
	s.listOnce(t.Context())

	r = <-reports
	assert.Assert(t, !r.GetFull() && !r.GetReady())

	running = ""
	s.listOnce(t.Context())

	r = <-reports
	assert.Assert(t, r.GetFull() && r.GetReady())
}

// TestLongCheckpoints checks that a run with a checkpoint that no frame can have is reported without
// it, and all others are. The listing was given up, and a report with the run ended the session: either
// way, runs that went on were started elsewhere.
func TestLongCheckpoints(t *testing.T) {
	const (
		runs       = 30
		checkpoint = 200_000
		long       = 2_000_000
	)

	var running []string
	for i := range runs {
		running = append(running, fmt.Sprintf(`["00000000000000aa.0.0.%d",1,"%s",40,0]`, i, strings.Repeat("c", checkpoint)))
	}

	running = append(running, fmt.Sprintf(`["00000000000000aa.0.0.%d",1,"%s",40,0]`, runs, strings.Repeat("c", long)))

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := fmt.Fprintf(w, `{"clock_ms":1000,"born":5,"running":[%s],"finished":[]}`, strings.Join(running, ","))
		assert.Check(t, err)
	}))
	defer server.Close()

	s := newTestSidecar(t, server)
	s.handleAnnouncement(gate.Announcement{
		Incarnation: gate.Incarnation{
			ID:   "i-1",
			Born: 5,
		},
		Sequence: 1,
	})

	for range 3 {
		s.listOnce(t.Context())
	}

	assert.Assert(t, s.gate.Synced)

	var (
		joiner  peer.ReportJoiner
		report  *peerpb.WorkerReport
		reports = connectLeader(t, s, 1)
	)

	for report == nil {
		report = joiner.Add(<-reports)
	}

	assert.Assert(t, report.GetFull())
	assert.Equal(t, len(report.GetRuns()), runs+1)

	dropped := 0

	for _, r := range report.GetRuns() {
		if r.GetCheckpoint() == "" {
			dropped++
		} else {
			assert.Equal(t, len(r.GetCheckpoint()), checkpoint)
		}
	}

	assert.Equal(t, dropped, 1)
}
