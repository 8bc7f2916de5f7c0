package peer

import (
	"fmt"

	"trefoildeck/core/fleet"
	"trefoildeck/core/gate"
	"trefoildeck/core/interference"
	"trefoildeck/core/job"
	"trefoildeck/io/peer/peerpb"

	"google.golang.org/protobuf/proto"
)

// EncodeReport encodes the state of a worker's gate, with the given runs and ends,
// which may be nil, as several messages if they don't fit into one. full says that they
// are all runs and all unrecorded ends.
func EncodeReport(full bool, g *gate.Gate, runs []TaskRun, events []gate.EndEvent) []*peerpb.WorkerReport {
	p := reportPacker{
		full: full,
		gate: g,
	}
	p.add()

	for _, e := range events {
		end := &peerpb.EndReport{
			Number:     e.Number,
			Task:       e.Task.String(),
			Attempt:    int64(e.Attempt),
			How:        string(e.Reason),
			Checkpoint: e.Checkpoint,
			WorkerID:   e.Incarnation.ID,
			Born:       e.Incarnation.Born,
			Reason:     string(e.Refusal),
		}
		m := p.message(itemSize(proto.Size(end)))
		m.Ends = append(m.Ends, end)
	}

	for _, r := range runs {
		run := &peerpb.RunReport{
			Task:       r.Task.String(),
			Attempt:    int64(r.State.Attempt),
			Checkpoint: r.checkpoint(),
			Percent:    int64(r.State.Run.ProgressPercent),
			Figure:     r.State.Run.Measurement,
			Confirmed:  r.State.Phase == gate.Confirmed,
			Pace:       int64(r.State.PacePercent),
			Stalled:    r.Stalled,
			OrderKnown: r.State.OrderKnown,
		}
		m := p.message(itemSize(proto.Size(run)))
		m.Runs = append(m.Runs, run)
	}

	return p.messages
}

// reportPacker packs the runs and ends of a report into messages of at most maxPackedBytes, and
// the description of the worker into each of them.
type reportPacker struct {
	full     bool
	gate     *gate.Gate
	messages []*peerpb.WorkerReport
	// size is the size of the items in the last message.
	size int
}

func (p *reportPacker) add() {
	g := p.gate
	p.size = 0
	p.messages = append(p.messages, &peerpb.WorkerReport{
		Full:        p.full,
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
	})
}

// message returns the message for an item of a size, in bytes: the last one, or a new one if that
// is full.
func (p *reportPacker) message(size int) *peerpb.WorkerReport {
	if p.size > 0 && p.size+size > maxPackedBytes {
		p.messages[len(p.messages)-1].More = true
		p.add()
	}

	p.size += size

	return p.messages[len(p.messages)-1]
}

// ReportJoiner joins the messages of a report. What a report says holds only as a whole: a refused
// start and the run because of which it was refused may be in two messages.
type ReportJoiner struct {
	before *peerpb.WorkerReport
}

// Add adds a message. It returns the report once it is complete, otherwise nil.
func (j *ReportJoiner) Add(m *peerpb.WorkerReport) *peerpb.WorkerReport {
	if j.before != nil {
		m.Ends = append(j.before.GetEnds(), m.GetEnds()...)
		m.Runs = append(j.before.GetRuns(), m.GetRuns()...)
		j.before = nil
	}

	if m.GetMore() {
		j.before = m

		return nil
	}

	return m
}

// TaskRun is a run of a task on a gate's worker.
type TaskRun struct {
	Task  job.TaskID
	State *gate.RunState
	// Stalled says that the run makes no progress although its pace allows it.
	Stalled bool
	// CheckpointKnown says that the leader has the run's checkpoint, which is left out.
	CheckpointKnown bool
}

// checkpoint returns the checkpoint to be reported. The leader keeps the one that it has if it is
// empty.
func (r TaskRun) checkpoint() string {
	if r.CheckpointKnown {
		return ""
	}

	return r.State.Run.Checkpoint
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

// EncodeEstimates encodes interference estimates of pairs of images, as several messages if they
// don't fit into one.
func EncodeEstimates(estimates map[interference.Pair]interference.Estimate) []*peerpb.Estimates {
	var list []*peerpb.Estimate

	for p, e := range estimates {
		list = append(list, &peerpb.Estimate{
			Filling: p.Filling,
			Serving: p.Serving,
			Factor:  float32(e.Factor),
			Weight:  float32(e.Weight),
		})
	}

	var messages []*peerpb.Estimates
	for _, l := range pack(list) {
		messages = append(messages, &peerpb.Estimates{List: l})
	}

	return messages
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
