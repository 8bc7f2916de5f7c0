package placement_test

import (
	"testing"
	"time"

	"trefoildeck/core/placement"
	"trefoildeck/io/table"

	"gotest.tools/v3/assert"
)

// TestMalformedAttempts checks that a scheduler survives messages about attempts of tasks
// that can't exist.
func TestMalformedAttempts(t *testing.T) {
	for _, task := range []int{-1, -150, 1 << 30} {
		s := placement.New(placement.Options{TaskLease: taskLease})
		now := time.Now()
		id := placement.AttemptID{
			Job:     "mix@1",
			Task:    task,
			Attempt: 1,
		}

		s.SetJob(job("mix", 150, 1000, time.Second), nil)
		s.TakeShard(now, "dc0", 1, []*placement.Page{{
			DataCentre: "dc0",
			Workers: map[string]*placement.Worker{"dc0-0": {
				Name:      "dc0-0",
				BootID:    "a",
				Capacity:  capacity(),
				Committed: map[string]placement.Size{id.String(): {}},
			}},
		}})
		s.Heartbeat(now, placement.Report{
			Worker:     "dc0-0",
			DataCentre: "dc0",
			BootID:     "a",
			Capacity:   capacity(),
			Tasks: []placement.AttemptReport{{
				ID:    id,
				Phase: placement.PhaseRunning,
			}},
		})
		s.ReportEnd("dc0-0", placement.End{
			ID:    id,
			Phase: placement.PhaseFinished,
		})

		ok, _ := s.Permit(now, "dc0-0", id)
		assert.Equal(t, ok, false)

		s.Tick(now)
	}
}

// FuzzRecords passes rows of the table to a scheduler. None may make it panic.
func FuzzRecords(f *testing.F) {
	f.Add([]byte(`{"DataCentre":"dc0","Number":0,"Workers":{"a":{"Name":"a","Committed":{"mix@1/0/1":{"MilliCores":1}}}}}`),
		[]byte(`{"Job":"mix@1","Number":0,"Tasks":[{"Phase":"Assigned","Worker":"a","Attempt":1,"DataCentre":"dc0"}]}`))
	f.Add([]byte(`{"DataCentre":"dc0","Workers":{"a":null}}`), []byte(`{"Job":"mix@1","Number":-1}`))

	f.Fuzz(func(_ *testing.T, page, segment []byte) {
		s := placement.New(placement.Options{TaskLease: taskLease})
		now := time.Now()
		s.SetDataCentre(now, "dc0", false)

		spec := job("mix", 3, 1000, time.Second)

		// Only panics are failures.
		c, err := table.ReadSegment(table.Row{
			Key: table.SegmentRowKey(placement.SegmentKey{
				Job: spec.Key,
			}),
			Body: segment,
		})
		if err == nil {
			s.SetJob(spec, []*placement.Segment{c})
		} else {
			s.SetJob(spec, nil)
		}

		p, err := table.ReadPage(table.Row{
			Key: table.PageRowKey(placement.PageKey{
				DataCentre: "dc0",
			}),
			Body: page,
		})
		if err != nil {
			return
		}

		s.TakeShard(now, "dc0", 1, []*placement.Page{p})

		for name := range p.Workers {
			s.Heartbeat(now, placement.Report{
				Worker:     name,
				DataCentre: "dc0",
				Capacity:   capacity(),
			})
		}

		s.CancelJob(spec.Key)

		for _, b := range s.Tick(now).Batches {
			s.ApplyResult(b, placement.ResultWritten)
		}

		s.Tick(now.Add(time.Minute))
	})
}
