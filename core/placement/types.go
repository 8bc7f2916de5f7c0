package placement

import (
	"fmt"
	"time"
)

// AttemptID identifies one attempt of one task of a job. Task counts from 0,
// Attempt from 1.
type AttemptID struct {
	Job     string
	Task    int
	Attempt int
}

// String returns "job/task/attempt".
func (a AttemptID) String() string {
	return fmt.Sprintf("%s/%d/%d", a.Job, a.Task, a.Attempt)
}

// TaskID identifies a task of a job.
type TaskID struct {
	Job  string
	Task int
}

// Size is an amount of resources: processor time in thousandths of a core, memory
// in megabytes and whole accelerators.
type Size struct {
	MilliCores   int64
	MemoryMB     int64
	Accelerators int64
}

// Add returns s plus o.
func (s Size) Add(o Size) Size {
	return Size{
		MilliCores:   s.MilliCores + o.MilliCores,
		MemoryMB:     s.MemoryMB + o.MemoryMB,
		Accelerators: s.Accelerators + o.Accelerators,
	}
}

// Sub returns s minus o; resources may become negative.
func (s Size) Sub(o Size) Size {
	return Size{
		MilliCores:   s.MilliCores - o.MilliCores,
		MemoryMB:     s.MemoryMB - o.MemoryMB,
		Accelerators: s.Accelerators - o.Accelerators,
	}
}

// subClamped returns s minus o with no resource below zero.
func (s Size) subClamped(o Size) Size {
	d := s.Sub(o)

	return Size{
		MilliCores:   max(d.MilliCores, 0),
		MemoryMB:     max(d.MemoryMB, 0),
		Accelerators: max(d.Accelerators, 0),
	}
}

// Fits reports whether s is within o in every resource.
func (s Size) Fits(o Size) bool {
	return s.MilliCores <= o.MilliCores && s.MemoryMB <= o.MemoryMB && s.Accelerators <= o.Accelerators
}

// Phase is the state of an attempt or task.
type Phase string

// The phases. The table records Pending, Assigned, Finished, Failed and
// Cancelled. A worker's runtime reports Running, Finished, Failed, Stopped and
// Lapsed.
const (
	PhasePending   Phase = "Pending"
	PhaseAssigned  Phase = "Assigned"
	PhaseRunning   Phase = "Running"
	PhaseFinished  Phase = "Finished"
	PhaseFailed    Phase = "Failed"
	PhaseCancelled Phase = "Cancelled"
	PhaseStopped   Phase = "Stopped"
	PhaseLapsed    Phase = "Lapsed"
)

// Ended reports whether the phase is one that a recorded task never leaves.
func (p Phase) Ended() bool {
	return p == PhaseFinished || p == PhaseFailed || p == PhaseCancelled
}

// Task is the recorded state of one task.
type Task struct {
	Phase   Phase
	Attempt int
	// Worker, DataCentre and BootID identify the worker that the attempt is
	// assigned to, and its incarnation. They are empty unless Phase is Assigned.
	Worker     string `json:",omitempty"`
	DataCentre string `json:",omitempty"`
	BootID     string `json:",omitempty"`
	// Size is the amount committed on the worker for the attempt.
	Size Size `json:",omitzero"`
	// Checkpoint names the object to resume from; empty starts from the
	// beginning.
	Checkpoint string `json:",omitempty"`
	// Failures counts the attempts that failed, not those stopped or lapsed.
	Failures int `json:",omitempty"`
	// FailedOn lists the workers on which attempts failed.
	FailedOn []string `json:",omitempty"`
	Reason   string   `json:",omitempty"`
}

// SegmentSize is the maximum number of tasks in a segment.
const SegmentSize = 100

// Segment is the recorded state of consecutive tasks of a job, one row in the
// table. Segment n holds the tasks from n*SegmentSize on.
type Segment struct {
	Job    string
	Number int
	Tasks  []Task
	// Version is the row's version, not part of its body.
	Version int64 `json:"-"`
}

// Key returns the key of the segment's row.
func (s *Segment) Key() SegmentKey {
	return SegmentKey{
		Job:    s.Job,
		Number: s.Number,
	}
}

// SegmentKey identifies a segment.
type SegmentKey struct {
	Job    string
	Number int
}

// Worker is the recorded state of a worker, stored in a Page. BootID identifies the
// worker's incarnation.
type Worker struct {
	Name     string
	Rack     string
	BootID   string
	Capacity Size
	// Reserved is set aside for the service endpoint on the same machine.
	Reserved Size
	// Committed maps each attempt that may be running on the worker, in the form
	// of AttemptID.String, to its size.
	Committed map[string]Size
}

// Free returns the capacity that is neither reserved nor committed.
func (w *Worker) Free() Size {
	free := w.Capacity.Sub(w.Reserved)
	for _, s := range w.Committed {
		free = free.Sub(s)
	}

	return free
}

// PageSize is the maximum number of workers in a page.
const PageSize = 128

// Page is the recorded state of up to PageSize workers of a data centre, one row
// in the table. Workers share a row so that the starts and ends of a tick need
// few writes.
type Page struct {
	DataCentre string
	Number     int
	Workers    map[string]*Worker
	// Version is the row's version, not part of its body.
	Version int64 `json:"-"`
}

// PageKey identifies a page.
type PageKey struct {
	DataCentre string
	Number     int
}

// Key returns the key of the page's row.
func (p *Page) Key() PageKey {
	return PageKey{
		DataCentre: p.DataCentre,
		Number:     p.Number,
	}
}

// JobSpec is the part of a job's declaration that placement needs. Key is unique
// among all jobs ever declared, Name is not.
type JobSpec struct {
	Key         string
	Name        string
	Team        string
	Tasks       int
	Size        Size
	RunTime     time.Duration
	Urgent      bool
	DataCentres []string
	Command     string
	Cancelled   bool
}
