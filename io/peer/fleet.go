package peer

import (
	"fmt"

	"trefoildeck/core/fleet"
	"trefoildeck/core/gate"
	"trefoildeck/core/interference"
	"trefoildeck/core/job"
	"trefoildeck/io/peer/peerpb"
)

// EncodeReport encodes the state of a worker's gate, with the given runs and ends,
// which may be nil. full says that they are all runs and all unrecorded ends.
func EncodeReport(full bool, g *gate.Gate, runs []TaskRun, events []gate.EndEvent) *peerpb.WorkerReport {
	m := &peerpb.WorkerReport{
		Full:        full,
		Described:   g.Announced,
		Known:       g.Announced,
		WorkerID:    g.Worker.ID,
		Born:        g.Worker.Born,
		Ready:       g.Ready(),
		Draining:    g.Worker.Draining,
		RemainingMS: g.Worker.Remaining.Milliseconds(),
		Service:     g.Worker.Service,
		Capacity:    encodeSize(g.Worker.Capacity),
		Labels:      g.Worker.Labels,
	}

	for _, r := range runs {
		m.Runs = append(m.Runs, &peerpb.RunReport{
			Task:       r.Task.String(),
			Attempt:    int64(r.State.Attempt),
			Checkpoint: r.State.Run.Checkpoint,
			Percent:    int64(r.State.Run.ProgressPercent),
			Figure:     r.State.Run.Measurement,
			Confirmed:  r.State.Phase == gate.Confirmed,
			Pace:       int64(r.State.PacePercent),
			Stalled:    r.Stalled,
			OrderKnown: r.State.OrderKnown,
		})
	}

	for _, e := range events {
		m.Ends = append(m.Ends, &peerpb.EndReport{
			Number:     e.Number,
			Task:       e.Task.String(),
			Attempt:    int64(e.Attempt),
			How:        string(e.Reason),
			Checkpoint: e.Checkpoint,
			WorkerID:   e.Incarnation.ID,
			Born:       e.Incarnation.Born,
			Reason:     string(e.Refusal),
		})
	}

	return m
}

// TaskRun is a run of a task on a gate's worker.
type TaskRun struct {
	Task  job.TaskID
	State *gate.RunState
	// Stalled says that the run makes no progress although its pace allows it.
	Stalled bool
}

// DecodeReport decodes a report from a node in dataCentre.
func DecodeReport(dataCentre string, m *peerpb.WorkerReport) (fleet.Report, error) {
	r := fleet.Report{
		Full:       m.GetFull(),
		DataCentre: dataCentre,
		Described:  m.GetDescribed(),
		Incarnation: gate.Incarnation{
			ID:   m.GetWorkerID(),
			Born: m.GetBorn(),
		},
		Ready:    m.GetReady(),
		Service:  m.GetService(),
		Capacity: decodeSize(m.GetCapacity()),
		Labels:   m.GetLabels(),
	}

	for _, w := range m.GetRuns() {
		id, err := job.ParseTaskID(w.GetTask())
		if err != nil {
			return fleet.Report{}, fmt.Errorf("decode run: %w", err)
		}

		r.Runs = append(r.Runs, gate.Run{
			Task:            id,
			Attempt:         int(w.GetAttempt()),
			Checkpoint:      w.GetCheckpoint(),
			ProgressPercent: int(w.GetPercent()),
			Measurement:     w.GetFigure(),
			PacePercent:     int(w.GetPace()),
			Stalled:         w.GetStalled(),
			OrderKnown:      w.GetOrderKnown(),
			Confirmed:       w.GetConfirmed(),
		})
	}

	for _, e := range m.GetEnds() {
		id, err := job.ParseTaskID(e.GetTask())
		if err != nil {
			return fleet.Report{}, fmt.Errorf("decode end: %w", err)
		}

		r.Ends = append(r.Ends, gate.EndEvent{
			End: gate.End{
				Number:     e.GetNumber(),
				Task:       id,
				Attempt:    int(e.GetAttempt()),
				Reason:     gate.EndReason(e.GetHow()),
				Checkpoint: e.GetCheckpoint(),
				Refusal:    gate.Refusal(e.GetReason()),
			},
			Incarnation: gate.Incarnation{
				ID:   e.GetWorkerID(),
				Born: e.GetBorn(),
			},
		})
	}

	return r, nil
}

func encodeSize(s job.Size) *peerpb.TaskSize {
	return &peerpb.TaskSize{
		MilliCores:   s.MilliCores,
		MemoryMB:     s.MemoryMB,
		Accelerators: s.Accelerators,
	}
}

func decodeSize(m *peerpb.TaskSize) job.Size {
	return job.Size{
		MilliCores:   m.GetMilliCores(),
		MemoryMB:     m.GetMemoryMB(),
		Accelerators: m.GetAccelerators(),
	}
}

// EncodeEstimates encodes interference estimates of pairs of images.
func EncodeEstimates(estimates map[interference.Pair]interference.Estimate) *peerpb.Estimates {
	m := &peerpb.Estimates{}

	for p, e := range estimates {
		m.List = append(m.List, &peerpb.Estimate{
			Filling: p.Filling,
			Serving: p.Serving,
			Factor:  float32(e.Factor),
			Weight:  float32(e.Weight),
		})
	}

	return m
}

// DecodeEstimates decodes interference estimates of pairs of images.
func DecodeEstimates(m *peerpb.Estimates) map[interference.Pair]interference.Estimate {
	estimates := make(map[interference.Pair]interference.Estimate, len(m.GetList()))

	for _, e := range m.GetList() {
		estimates[interference.Pair{
			Filling: e.GetFilling(),
			Serving: e.GetServing(),
		}] = interference.Estimate{
			Factor: float64(e.GetFactor()),
			Weight: float64(e.GetWeight()),
		}
	}

	return estimates
}
