// Package gate does the admission control for one worker. A worker obeys whoever has
// the highest fencing token and doesn't necessarily check its own capacity (see
// config.Service.AdmissionCheck), so the sidecar beside it decides what may start
// there. The gate tracks what runs, what may run after an unanswered order, which
// ends are not yet recorded, and until when leases may be extended.
//
// An attempt is one try to run a task. While it is on a worker, or may be, it is
// called a run.
//
// # Usage
//
//	g := gate.New()
//	g.HandleAnnouncement(now, announcement)
//	if g.Admit(now, order) == gate.Admitted { … }
//	events := g.HandleListing(sent, now, token, listing)
package gate

import (
	"time"

	"trefoildeck/core/job"
)

// Incarnation identifies one lifetime of a worker's process. A worker may restart
// under the same ID, and then differs in Born.
type Incarnation struct {
	ID string
	// Born is the start time in Unix milliseconds.
	Born int64
}

// Announcement is a worker's description of itself.
type Announcement struct {
	Incarnation
	Service  string
	Zone     string
	Draining bool
	// Remaining is the minimum time that a draining worker keeps running.
	Remaining time.Duration
	Capacity  job.Size
	Labels    []string
	// Sequence increases with each announcement of an incarnation.
	Sequence int64
}

// Run is an attempt that a worker lists as running.
type Run struct {
	Task       job.TaskID
	Attempt    int
	Checkpoint string
	// ProgressPercent is the completed part of the task; for a long-running task,
	// 100 means that it is serving.
	ProgressPercent int
	// Measurement is the tail latency in milliseconds of a task with a latency
	// target, and the processor use in millicores of any other task.
	Measurement int64
	// PacePercent is the speed limit that was ordered for the run, as a percentage
	// of its full speed, or UnknownPace. The worker does not list it.
	PacePercent int
	// Stalled reports that the run makes no progress although its pace allows it.
	// The worker does not list it; see RunState.Stalled.
	Stalled bool
	// OrderKnown reports whether the sidecar has the run's order, and so its size. The
	// worker does not list it.
	OrderKnown bool
	// Confirmed reports whether the worker runs the attempt; otherwise its start is in
	// flight or in doubt. The worker does not list it.
	Confirmed bool
}

// EndReason is the way in which a run ended.
type EndReason string

// End reasons.
const (
	Done    EndReason = "Done"
	Failed  EndReason = "Failed"
	Stopped EndReason = "Stopped"
	// Lapsed means that the lease was not extended in time.
	Lapsed EndReason = "Lapsed"
	// Broken means that another member of the task's gang ended.
	Broken EndReason = "Broken"
	// Alone means that the other members of the gang did not start in time.
	Alone EndReason = "Alone"
	// Lost means that the worker's incarnation is gone.
	Lost EndReason = "Lost"
	// NotRun means that the start order is known to have had no effect.
	NotRun EndReason = "NotRun"
)

// Refusal is the reason why a start order was not carried out.
type Refusal string

// Refusals of the gate, and RejectedByWorker for one of the worker itself.
const (
	// Admitted means that there is no refusal.
	Admitted       Refusal = ""
	WorkerUnknown  Refusal = "WorkerUnknown"
	WorkerSilent   Refusal = "WorkerSilent"
	WorkerDraining Refusal = "WorkerDraining"
	// WorkerReplaced means that the order was for another incarnation.
	WorkerReplaced Refusal = "WorkerReplaced"
	NoLeader       Refusal = "NoLeader"
	NoRoom         Refusal = "NoRoom"
	// SizesUnknown means that the worker runs tasks of which the gate has no order.
	SizesUnknown Refusal = "SizesUnknown"
	// TaskPresent means that the worker runs, or may run, an attempt of the task.
	TaskPresent      Refusal = "TaskPresent"
	RejectedByWorker Refusal = "RejectedByWorker"
)

// End is the end of a run. Number counts the ends of an incarnation from 1; it is
// 0 for an end that the worker did not list.
type End struct {
	Number     int64
	Task       job.TaskID
	Attempt    int
	Reason     EndReason
	Checkpoint string
	// Refusal is set if Reason is NotRun and the order was refused.
	Refusal Refusal
}

// Listing is a worker's answer to a lease extension: its clock, its runs, and the
// ends that were not yet acknowledged.
type Listing struct {
	Incarnation
	Clock   time.Duration
	Running []Run
	Ended   []End
	// Malformed describes the entries that could not be decoded. The others are served.
	Malformed []string
	// UnreadableRuns is the number of runs among them. UnreadableEnds has the numbers of the
	// ends among them, in order, or a lower bound of a number that can't be read.
	UnreadableRuns int
	UnreadableEnds []int64
	// Truncated reports that there may be further ends, which the worker lists once these
	// are acknowledged.
	Truncated bool
}

// complete reports whether a run that isn't listed has ended: in an incomplete listing, it
// may be among the entries that are missing.
func (l Listing) complete() bool { return !l.Truncated && len(l.Malformed) == 0 }

// StartOrder is an order to start an attempt.
type StartOrder struct {
	Task       job.TaskID
	Attempt    int
	Text       string
	Checkpoint string
	Size       job.Size
	// Fills marks a filling task, which uses idle processor time: the processor time
	// in Size does not count against the worker's capacity.
	Fills bool
	// Target is the latency target of a long-running task.
	Target time.Duration
	// Image is the name of the program image that the task runs.
	Image string
	// Estimate is the approximate run time of the task at full speed, 0 if unknown.
	Estimate time.Duration
}
