package resource

import "time"

// Limits of declared values. maxTextBytes is for one text, maxValues is the number
// of values of a Configuration.
const (
	maxTasks        = 2000
	maxMilliCores   = 1_000_000
	maxMemoryMB     = 100_000_000
	maxAccelerators = 1000
	maxDuration     = 30 * 24 * time.Hour
	maxTimeout      = 10 * time.Minute
	maxBodyBytes    = 1 << 30
	maxTextBytes    = 4096
	maxValues       = 256
)

// DataCentre is a failure domain that operators can take out of service and bring
// back.
type DataCentre struct {
	Region string
}

// Check implements Spec.
func (d *DataCentre) Check(p *Problems) {
	p.text("Region", d.Region)
}

// References implements Spec.
func (d *DataCentre) References() []ID { return nil }

// Service is a latency-critical service that callers reach through entries.
type Service struct {
	// LatencyTarget is the time within which 99% of requests should be answered.
	LatencyTarget time.Duration
	// Timeout applies to a request whose caller sets no timeout.
	Timeout time.Duration
	// MaxBodyBytes is the limit on the body of a request.
	MaxBodyBytes int64
	// MilliCores and MemoryMB are reserved for each endpoint on its worker.
	MilliCores int64
	MemoryMB   int64
}

// Check implements Spec.
func (s *Service) Check(p *Problems) {
	p.duration("LatencyTarget", s.LatencyTarget, time.Millisecond, maxTimeout)
	p.duration("Timeout", s.Timeout, time.Millisecond, maxTimeout)
	p.number("MaxBodyBytes", s.MaxBodyBytes, 0, maxBodyBytes)
	p.number("MilliCores", s.MilliCores, 0, maxMilliCores)
	p.number("MemoryMB", s.MemoryMB, 0, maxMemoryMB)
}

// References implements Spec.
func (s *Service) References() []ID { return nil }

// Team owns jobs and has a quota of each resource, where zero is no limit.
type Team struct {
	MilliCores   int64
	MemoryMB     int64
	Accelerators int64
}

// Check implements Spec.
func (t *Team) Check(p *Problems) {
	p.number("MilliCores", t.MilliCores, 0, maxMilliCores*maxTasks)
	p.number("MemoryMB", t.MemoryMB, 0, maxMemoryMB)
	p.number("Accelerators", t.Accelerators, 0, maxAccelerators*maxTasks)
}

// References implements Spec.
func (t *Team) References() []ID { return nil }

// Job is a batch of identical tasks, each of which is to complete once.
type Job struct {
	Team string
	// Tasks is the number of tasks.
	Tasks int64
	// MilliCores, MemoryMB and Accelerators are what one task needs of a worker.
	MilliCores   int64
	MemoryMB     int64
	Accelerators int64
	// RunTime is the expected run time of one task.
	RunTime time.Duration
	// Urgent jobs start before others and may preempt them.
	Urgent bool
	// DataCentres are those where tasks may run; none means all.
	DataCentres []string
	// Command is passed to the worker's runtime unchanged.
	Command string
}

// Check implements Spec.
func (j *Job) Check(p *Problems) {
	p.required("Team", j.Team)
	p.number("Tasks", j.Tasks, 1, maxTasks)
	p.number("MilliCores", j.MilliCores, 1, maxMilliCores)
	p.number("MemoryMB", j.MemoryMB, 1, maxMemoryMB)
	p.number("Accelerators", j.Accelerators, 0, maxAccelerators)
	p.duration("RunTime", j.RunTime, time.Millisecond, maxDuration)
	p.text("Command", j.Command)
}

// References implements Spec.
func (j *Job) References() []ID {
	ids := []ID{{Kind: KindTeam, Name: j.Team}}
	for _, d := range j.DataCentres {
		ids = append(ids, ID{Kind: KindDataCentre, Name: d})
	}

	return ids
}

// Configuration is a set of values that is distributed to every data centre.
type Configuration struct {
	Values map[string]string
}

// Check implements Spec.
func (c *Configuration) Check(p *Problems) {
	p.number("number of values", int64(len(c.Values)), 0, maxValues)

	for k, v := range c.Values {
		p.text(k, v)
	}
}

// References implements Spec.
func (c *Configuration) References() []ID { return nil }

// Outage takes the data centre of the same name out of service.
type Outage struct {
	Reason string
}

// Check implements Spec.
func (o *Outage) Check(p *Problems) {
	p.text("Reason", o.Reason)
}

// References implements Spec. CheckReferences adds the data centre, which has the
// name of the outage.
func (o *Outage) References() []ID { return nil }
