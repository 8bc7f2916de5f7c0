// Package job has the jobs that callers hand in: what they consist of, what
// makes one valid, and the record of one in the store.
//
// # Usage
//
//	if err := job.Check(spec); err != nil { … }
//	id, err := job.ParseTaskID("5c0e7a21d94b36f8.0.1.17")
package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Limits of a job.
const (
	// IDLength is the number of hexadecimal digits of a job's id.
	IDLength = 16
	// MaxSpecBytes is the size of a spec in bytes.
	MaxSpecBytes = 4000
	// MaxSteps and MaxTasks bound what one job asks of the scheduler's memory.
	MaxSteps = 100
	MaxTasks = 10_000
)

// ErrInvalid says that a job can't be accepted as it is.
var ErrInvalid = eris.New("invalid job")

// Size is what a task takes of a worker.
type Size struct {
	MilliCores   int64
	MemoryMB     int64
	Accelerators int64
}

// Plus returns the sum of two sizes.
func (s Size) Plus(o Size) Size {
	return Size{
		MilliCores:   s.MilliCores + o.MilliCores,
		MemoryMB:     s.MemoryMB + o.MemoryMB,
		Accelerators: s.Accelerators + o.Accelerators,
	}
}

// Minus returns the difference of two sizes.
func (s Size) Minus(o Size) Size {
	return Size{
		MilliCores:   s.MilliCores - o.MilliCores,
		MemoryMB:     s.MemoryMB - o.MemoryMB,
		Accelerators: s.Accelerators - o.Accelerators,
	}
}

// CanFit reports whether o fits into s.
func (s Size) CanFit(o Size) bool {
	return o.MilliCores <= s.MilliCores && o.MemoryMB <= s.MemoryMB && o.Accelerators <= s.Accelerators
}

// Step is a group of alike tasks.
type Step struct {
	Count int
	Size  Size
	// Estimate is a rough run time of one task.
	Estimate time.Duration `json:",omitempty"`
	// After has the numbers of the steps that must be done before.
	After         []int  `json:",omitempty"`
	Checkpointing bool   `json:",omitempty"`
	Gang          bool   `json:",omitempty"`
	SameRack      bool   `json:",omitempty"`
	Requires      string `json:",omitempty"`
	DataRack      string `json:",omitempty"`
	// AntiAffinity bounds the tasks of the step on one worker; 0 is no bound.
	AntiAffinity int  `json:",omitempty"`
	Speculative  bool `json:",omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool   `json:",omitempty"`
	Image       string `json:",omitempty"`
	// TargetLatency bounds the tail latency of a long-running task's own users.
	TargetLatency time.Duration `json:",omitempty"`
	// Fills means that the tasks take the processor time that others leave.
	Fills bool `json:",omitempty"`
	// MayMiss bounds the long-running tasks that may be away by our own doing.
	MayMiss int `json:",omitempty"`
}

// Spec is what a caller hands in.
type Spec struct {
	Text  string
	Steps []Step
	// Repeat is the number of occurrences; 0 means one, at once.
	Repeat   int           `json:",omitempty"`
	StartAt  time.Time     `json:",omitzero"`
	Interval time.Duration `json:",omitempty"`
}

// Record is an accepted job as stored, with the rules of its queue at that time.
type Record struct {
	ID            string `json:"-"`
	Queue         string
	Service       string
	Priority      int
	MaxAttempts   int
	Stretch       float64
	TargetLatency time.Duration
	// Accepted is a reading of the store's steady clock.
	Accepted time.Duration
	Spec     Spec
}

// State is what callers see of a job.
type State string

// States of a job.
const (
	Queued    State = "Queued"
	Running   State = "Running"
	Succeeded State = "Succeeded"
	Failed    State = "Failed"
	Cancelled State = "Cancelled"
)

// Final reports whether a state stays.
func (s State) Final() bool {
	return s == Succeeded || s == Failed || s == Cancelled
}

// TaskID names one task of one occurrence.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the id as JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID reads what String returns.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || !ValidID(parts[0]) {
		return TaskID{}, fmt.Errorf("task id %q: %w", s, ErrInvalid)
	}

	var numbers [3]int

	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task id %q: %w", s, ErrInvalid)
		}

		numbers[i] = n
	}

	return TaskID{
		Job:        parts[0],
		Occurrence: numbers[0],
		Step:       numbers[1],
		Index:      numbers[2],
	}, nil
}

// ValidID reports whether id can name a job.
func ValidID(id string) bool {
	if len(id) != IDLength {
		return false
	}

	for _, c := range id {
		if !strings.ContainsRune("0123456789abcdefABCDEF", c) {
			return false
		}
	}

	return true
}

// Check reports what keeps a spec from being accepted.
func Check(s Spec) error {
	if len(s.Text) > MaxSpecBytes {
		return fmt.Errorf("spec of %d bytes, at most %d: %w", len(s.Text), MaxSpecBytes, ErrInvalid)
	}

	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return fmt.Errorf("%d steps, 1 to %d: %w", len(s.Steps), MaxSteps, ErrInvalid)
	}

	if s.Repeat < 0 || s.Repeat > MaxTasks || s.Interval < 0 {
		return fmt.Errorf("%d occurrences, 0 to %d, each %s: %w", s.Repeat, MaxTasks, s.Interval, ErrInvalid)
	}

	total := 0

	for i, p := range s.Steps {
		if err := checkStep(i, p); err != nil {
			return err
		}

		if total += p.Count * max(1, s.Repeat); total > MaxTasks {
			return fmt.Errorf("more than %d tasks: %w", MaxTasks, ErrInvalid)
		}
	}

	return nil
}

func checkStep(i int, p Step) error {
	if p.Count <= 0 || p.Count > MaxTasks {
		return fmt.Errorf("step %d: %d tasks, 1 to %d: %w", i, p.Count, MaxTasks, ErrInvalid)
	}

	if p.Size.MilliCores < 0 || p.Size.MemoryMB < 0 || p.Size.Accelerators < 0 {
		return fmt.Errorf("step %d: negative size: %w", i, ErrInvalid)
	}

	for _, a := range p.After {
		// Only earlier steps: there can be no cycle.
		if a < 0 || a >= i {
			return fmt.Errorf("step %d: after step %d, which is not an earlier one: %w", i, a, ErrInvalid)
		}
	}

	return nil
}

// CriticalPath is the estimated run time of the longest chain of steps.
func (s Spec) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(s.Steps))

	var longest time.Duration

	for i, p := range s.Steps {
		var begin time.Duration
		for _, a := range p.After {
			begin = max(begin, ends[a])
		}

		ends[i] = begin + p.Estimate
		longest = max(longest, ends[i])
	}

	return longest
}
