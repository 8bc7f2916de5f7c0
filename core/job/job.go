// Package job defines the jobs that callers submit: their steps and tasks, their
// validation, and the record that is stored of an accepted job.
//
// # Usage
//
//	if err := job.Check(spec); err != nil { … }
//	id, err := job.ParseTaskID("5c0e7a21d94b36f8.0.1.17")
package job

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Limits of a job.
const (
	// IDLength is the number of hexadecimal digits in a job ID.
	IDLength = 16
	// MaxSpecBytes is the maximum size of the text of a spec.
	MaxSpecBytes = 4000
	// MaxSteps and MaxTasks bound the scheduler memory that one job takes.
	MaxSteps = 100
	MaxTasks = 10_000
	// MaxRunTime is the longest estimate that counts, so that sums of estimates don't overflow.
	MaxRunTime = 30 * 24 * time.Hour
)

// ErrInvalid is wrapped by the errors for an invalid spec and an invalid task ID.
var ErrInvalid = eris.New("invalid job")

// Size is an amount of worker resources: those a task needs, or those a worker
// has.
type Size struct {
	MilliCores   int64
	MemoryMB     int64
	Accelerators int64
}

// Add returns the sum of two sizes.
func (s Size) Add(o Size) Size {
	return Size{
		MilliCores:   s.MilliCores + o.MilliCores,
		MemoryMB:     s.MemoryMB + o.MemoryMB,
		Accelerators: s.Accelerators + o.Accelerators,
	}
}

// Sub returns the difference of two sizes.
func (s Size) Sub(o Size) Size {
	return Size{
		MilliCores:   s.MilliCores - o.MilliCores,
		MemoryMB:     s.MemoryMB - o.MemoryMB,
		Accelerators: s.Accelerators - o.Accelerators,
	}
}

// CanFit reports whether s is large enough for o in every resource.
func (s Size) CanFit(o Size) bool {
	return o.MilliCores <= s.MilliCores && o.MemoryMB <= s.MemoryMB && o.Accelerators <= s.Accelerators
}

// Step is a group of identical tasks.
type Step struct {
	Count int
	Size  Size
	// Estimate is the approximate run time of one task.
	Estimate time.Duration `json:",omitempty"`
	// After lists the indexes of the steps that must be complete before this one
	// starts. They are lower than the index of this step.
	After         []int  `json:",omitempty"`
	Checkpointing bool   `json:",omitempty"`
	Gang          bool   `json:",omitempty"`
	SameRack      bool   `json:",omitempty"`
	Requires      string `json:",omitempty"`
	DataRack      string `json:",omitempty"`
	// AntiAffinity is the maximum number of tasks of the step on one worker; 0
	// means no limit.
	AntiAffinity int  `json:",omitempty"`
	Speculative  bool `json:",omitempty"`
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool   `json:",omitempty"`
	Image       string `json:",omitempty"`
	// TargetLatency is the target for the tail latency that the users of a
	// long-running task see. A task that has one is called a serving task.
	TargetLatency time.Duration `json:",omitempty"`
	// Fills means that the tasks use only the processor time that other tasks
	// leave idle. They are called filling tasks.
	Fills bool `json:",omitempty"`
	// MayMiss is the maximum number of long-running tasks that the scheduler may
	// have stopped at a time. The scheduler does not enforce it.
	MayMiss int `json:",omitempty"`
}

// RunTime returns the estimated run time of one task, which is neither negative nor above
// MaxRunTime.
func (s *Step) RunTime() time.Duration { return min(max(s.Estimate, 0), MaxRunTime) }

// Spec is a job as a caller submits it.
type Spec struct {
	Text  string
	Steps []Step
	// Repeat is the number of occurrences, the first at StartAt and each further one
	// Interval after the one before; 0 means a single occurrence that starts at once.
	Repeat   int           `json:",omitempty"`
	StartAt  time.Time     `json:",omitzero"`
	Interval time.Duration `json:",omitempty"`
}

// Record is an accepted job as stored, with the settings that its queue had at
// the time of acceptance.
type Record struct {
	ID            string `json:"-"`
	Queue         string
	Service       string
	Priority      int
	MaxAttempts   int
	Stretch       float64
	TargetLatency time.Duration
	// Accepted is the time of acceptance on the store's monotonic clock, 0 if unknown.
	Accepted time.Duration
	Spec     Spec
}

// Objective returns the time from acceptance after which the job is late.
func (r *Record) Objective() time.Duration {
	return time.Duration(float64(r.Spec.CriticalPath())*r.Stretch) + r.TargetLatency
}

// Lasting reports whether the job runs until it is cancelled, or at set times, so that its result
// is useful at any time.
func (r *Record) Lasting() bool {
	return r.Spec.Repeat > 0 || slices.ContainsFunc(r.Spec.Steps, func(s Step) bool { return s.LongRunning })
}

// State is the state of a job as callers see it.
type State string

// States of a job.
const (
	Queued    State = "Queued"
	Running   State = "Running"
	Succeeded State = "Succeeded"
	Failed    State = "Failed"
	Cancelled State = "Cancelled"
)

// Final reports whether a job in state s has ended, so that its state no longer
// changes.
func (s State) Final() bool {
	return s == Succeeded || s == Failed || s == Cancelled
}

// TaskID identifies one task of one occurrence of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the ID as JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID parses the form that String returns. Its errors wrap ErrInvalid.
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

// ValidID reports whether id has the form of a job ID: IDLength hexadecimal
// digits.
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

// Check validates a spec. Its errors wrap ErrInvalid.
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
		// Steps depend only on earlier ones, so there are no cycles.
		if a < 0 || a >= i {
			return fmt.Errorf("step %d: after step %d, which is not an earlier one: %w", i, a, ErrInvalid)
		}
	}

	return nil
}

// CriticalPath returns the estimated run time of the longest chain of dependent
// steps. The spec must be valid.
func (s Spec) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(s.Steps))

	var longest time.Duration

	for i, p := range s.Steps {
		var begin time.Duration
		for _, a := range p.After {
			begin = max(begin, ends[a])
		}

		ends[i] = begin + p.RunTime()
		longest = max(longest, ends[i])
	}

	return longest
}

// PathsFrom returns, for each step, the estimated time from its start to the end of the longest
// chain of dependent steps that begins with it. The spec must be valid.
func (s Spec) PathsFrom() []time.Duration {
	paths := make([]time.Duration, len(s.Steps))

	// Steps depend only on earlier ones, so that a step is complete when its turn comes.
	for i := len(s.Steps) - 1; i >= 0; i-- {
		paths[i] += s.Steps[i].RunTime()

		for _, a := range s.Steps[i].After {
			paths[a] = max(paths[a], paths[i])
		}
	}

	return paths
}
