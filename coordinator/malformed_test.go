package coordinator

import (
	"encoding/json"
	"testing"

	"trefoildeck/core/fleet"
	"trefoildeck/core/gate"
	"trefoildeck/core/job"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/io/rows"
	"trefoildeck/standin/emulator"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// TestMalformedJobRows checks that a leader passes over rows that no entry would have
// written, loads the others and schedules them. Each later leader would read the row too.
func TestMalformedJobRows(t *testing.T) {
	good := `{"Spec":{"Steps":[{"Count":1}]}}`

	tests := map[string]struct {
		key, value string
	}{
		"NegativeCount": {"00000000000000c1", `{"Spec":{"Steps":[{"Count":-1}]}}`},
		"Endless":       {"00000000000000c2", `{"Spec":{"Steps":[{"Count":1}],"Repeat":1000000000000}}`},
		"NoStep":        {"00000000000000c3", `{"Spec":{}}`},
		"LaterStep":     {"00000000000000c4", `{"Spec":{"Steps":[{"Count":1,"After":[7]}]}}`},
		"NotJSON":       {"00000000000000c5", `{`},
		"ShortKey":      {"c6", good},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			l := newTestLeader(t, emulator.NewRowStore())
			list := []rows.Row{
				{Key: c.key, Value: []byte(c.value)},
				{Key: "00000000000000d1", Value: []byte(good)},
			}

			l.loadJobs(list, nil)

			for _, r := range list {
				l.applyJobRow(r)
			}

			l.pass()

			assert.Equal(t, l.answerQuery(&peerpb.Query{Job: c.key}).GetKnown(), false)
			assert.Equal(t, l.answerQuery(&peerpb.Query{Job: "00000000000000d1"}).GetKnown(), true)
		})
	}
}

// FuzzFrames passes frames of a node to a leader and runs a scheduling pass after each. No
// frame may make the leader panic.
func FuzzFrames(f *testing.F) {
	incarnation := gate.Incarnation{
		ID:   "i-1",
		Born: 5,
	}
	g := gate.New()
	g.Worker.Incarnation = incarnation

	task := job.TaskID{Job: jobID}

	frames := []*peerpb.Frame{
		{Body: &peerpb.Frame_WorkerReport{WorkerReport: peer.EncodeReport(true, g, nil, []gate.EndEvent{{
			End: gate.End{
				Number:  3,
				Task:    task,
				Attempt: 1,
				Reason:  gate.Done,
			},
			Incarnation: incarnation,
		}})[0]}},
		{Body: &peerpb.Frame_WorkerReport{WorkerReport: &peerpb.WorkerReport{
			Full:     true,
			WorkerID: "i-1",
			Runs: []*peerpb.RunReport{{
				Task:    task.String(),
				Attempt: 2,
			}},
		}}},
		{Body: &peerpb.Frame_Query{Query: &peerpb.Query{Job: jobID}}},
		{Body: &peerpb.Frame_Ping{Ping: &peerpb.Ping{Number: 1}}},
		{Body: &peerpb.Frame_Estimates{Estimates: &peerpb.Estimates{List: []*peerpb.Estimate{{Filling: "a", Serving: "b"}}}}},
		{Body: &peerpb.Frame_Written{Written: &peerpb.StoreRow{Key: jobID, Value: []byte(`{"Spec":{"Steps":[{"Count":1}]}}`)}}},
	}

	for _, m := range frames {
		data, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(data)
	}

	f.Fuzz(func(t *testing.T, data []byte) {
		var m peerpb.Frame
		if proto.Unmarshal(data, &m) != nil {
			return
		}

		l := newTestLeader(t, emulator.NewRowStore())
		n := &nodeLink{
			node: peer.Node{
				Name: "side-1",
				Role: peer.RoleAgent,
			},
			log: l.c.log,
		}
		l.nodes["side-1"] = n

		switch b := m.GetBody().(type) {
		case *peerpb.Frame_Written:
			l.applyJobRow(peer.DecodeWrittenRow(b.Written))
		case *peerpb.Frame_Query:
			l.answerQuery(b.Query)
		case *peerpb.Frame_StoreCall:
			peer.ServeStoreCall(t.Context(), l.c.directStore, b.StoreCall)
		default:
			l.handleFrame(n, nil, &m)
		}

		l.pass()
	})
}

// FuzzRows passes rows of the store to a leader, in each table that it reads. No row may
// make the leader panic.
func FuzzRows(f *testing.F) {
	record, err := json.Marshal(job.Record{
		Queue: "r-1",
		Spec:  job.Spec{Steps: []job.Step{{Count: 2}, {Count: 1, After: []int{0}}}},
	})
	assert.NilError(f, err)

	f.Add("00000000000000d1", record, []byte(`{"State":"Running"}`))
	f.Add("00000000000000d1", record, []byte(`{"Done":"AQ==","Notes":[{"Task":1,"Checkpoint":"c"},{"Task":9}]}`))
	f.Add("00000000000000d1/s9", record, []byte(`{"Done":"AQ=="}`))
	f.Add("00000000000000d1/t-1", record, []byte(`{"Notes":[{"Task":-1}]}`))
	f.Add("term", []byte(`{"Term":3}`), []byte(`{`))

	f.Fuzz(func(t *testing.T, key string, value, progress []byte) {
		l := newTestLeader(t, emulator.NewRowStore())
		r := rows.Row{
			Key:   key,
			Value: value,
		}

		l.loadJobs([]rows.Row{r}, map[string][]fleet.StoredRow{fleet.JobOfRow(key): {{
			Key:   key,
			Value: progress,
		}}})
		l.applyJobRow(r)
		l.c.applyOperatorRow(r)
		// Only panics are failures.
		_, _ = peer.DecodeNode(r)

		l.fleet.Report(l.c.now(), "side-1", fleet.Report{
			Full:  true,
			Ready: true,
		})
		l.pass()
		l.answerQuery(&peerpb.Query{Job: key})
	})
}
