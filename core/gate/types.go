// Package gate is the authority for one worker. The worker obeys whoever has
// the highest fencing token and guards no capacity, so that the process beside
// it decides what may start there: the gate knows what runs, what may run after
// an unanswered order, what has ended and is not yet recorded, and until when
// leases may be extended.
//
// # Usage
//
//	g := gate.New()
//	g.Announce(now, announcement)
//	if refusal := g.Admit(now, order); refusal == "" { … }
//	g.Listed(now, listing)
package gate

import (
	"time"

	"trefoildeck/core/job"
)

// Incarnation is one life of a worker. A worker may start again under its id.
type Incarnation struct {
	ID string
	// Born is the time of its start in milliseconds since 1970.
	Born int64
}

// Announcement is what a worker says of itself.
type Announcement struct {
	Incarnation
	Service  string
	Zone     string
	Draining bool
	// Remaining is the least time that a draining worker goes on for.
	Remaining time.Duration
	Capacity  job.Size
	Labels    []string
	// Sequence rises with each announcement of an incarnation.
	Sequence int64
}

// Run is a task that a worker lists as running.
type Run struct {
	Task       job.TaskID
	Attempt    int
	Checkpoint string
	// ProgressPercent is how much of the task is done; for a long-running task, 100
	// means that it is at work.
	ProgressPercent int
	// Measurement is the tail latency in milliseconds of a task with a target, else
	// the processor use in thousandths of a core.
	Measurement int64
	// PacePercent is the share of its speed that a run was told, in percent. The worker
	// does not list it.
	PacePercent int
	// Stalled says that the run makes no progress though it may. The gate finds
	// that out.
	Stalled bool
}

// EndReason says how a run ended.
type EndReason string

// The ways in which a run ends.
const (
	Done    EndReason = "Done"
	Failed  EndReason = "Failed"
	Stopped EndReason = "Stopped"
	// Lapsed means that the lease was not extended in time.
	Lapsed EndReason = "Lapsed"
	// Broken means that another member of the gang ended.
	Broken EndReason = "Broken"
	// Alone means that the others of the gang did not come in time.
	Alone EndReason = "Alone"
	// Lost means that the worker's incarnation is gone.
	Lost EndReason = "Lost"
	// NotRun means that an order surely had no effect.
	NotRun EndReason = "NotRun"
)

// End is the end of a run. Number counts an incarnation's ends from 1.
type End struct {
	Number     int64
	Task       job.TaskID
	Attempt    int
	Reason     EndReason
	Checkpoint string
}

// Listing is a worker's answer to an extension of its leases.
type Listing struct {
	Incarnation
	Clock   time.Duration
	Running []Run
	Ended   []End
}

// StartOrder is a start to be carried out.
type StartOrder struct {
	Task       job.TaskID
	Attempt    int
	Text       string
	Checkpoint string
	Size       job.Size
	// Fills means that the size's processor time is not counted.
	Fills bool
	// Target is the latency target of a long-running task.
	Target time.Duration
	// Image names what the task runs.
	Image string
}
