package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"time"

	"trefoildeck/core/backlog"
	"trefoildeck/core/fleet"
	"trefoildeck/core/resource"
	"trefoildeck/io/declaration"
)

// Node has the settings of a process on the users' platform, which generates them from
// a template.
type Node struct {
	Node   NodeSection
	Store  StoreSection
	Worker NodeWorkerSection
	Bounds BoundsSection
	Limits LimitsSection
	// Scheduling is for entries, one of which is the leader. Agents only use what
	// ReportsProgress says.
	Scheduling SchedulingSection
}

// NodeSection is the section [Node].
type NodeSection struct {
	// Name is the name of the machine.
	Name       string
	DataCentre string
	IP         netip.Addr
	// CallerAddress and ReadyAddress are set for entries, which serve callers.
	CallerAddress netip.AddrPort
	ReadyAddress  netip.AddrPort
	// AnnouncementAddress is set for agents: the worker beside the agent sends its
	// announcements to it.
	AnnouncementAddress netip.AddrPort
	// MetricsAddress serves the metrics, which are not served if it is not set.
	MetricsAddress netip.AddrPort
	// PeerPort is the port for sessions between trefoildeck's processes, the same on
	// all machines.
	PeerPort int64
	// MemoryMB is the memory limit of the process.
	MemoryMB int64
	// ProcessorShare is the fraction of a core that the process may use; 0 if unknown.
	ProcessorShare float64
}

// StoreSection is the section [Store].
type StoreSection struct {
	Address netip.AddrPort
	// RowBytes is the largest value of a row that the store accepts, in bytes, or 0 for
	// fleet.DefaultRowBytes.
	RowBytes int64
}

const (
	minRowBytes = 1 << 10
	// maxUsedRowBytes bounds the rows that are written, since a call of the store takes 1 MB, and
	// base64 adds a third.
	maxUsedRowBytes = 640 << 10
)

// RowLimit returns the largest value of a row that is written, in bytes.
func (s StoreSection) RowLimit() int {
	if s.RowBytes == 0 {
		return fleet.DefaultRowBytes
	}

	return int(min(s.RowBytes, maxUsedRowBytes))
}

// NodeWorkerSection is the section [Worker]: the worker beside an agent.
type NodeWorkerSection struct {
	Address netip.AddrPort
	Service string
}

// BoundsSection is the section [Bounds].
type BoundsSection struct {
	// DrainGrace is the time between SIGTERM and SIGKILL.
	DrainGrace time.Duration
}

// SchedulingSection is the section [Scheduling], which may be left out. Its keys enable parts of
// the scheduler.
type SchedulingSection struct {
	// Order is the order of waiting jobs within a priority.
	Order backlog.Policy
	// Admission means that submissions are refused whose results would be useless. It requires the
	// order backlog.Fair, in which the work ahead of a job is known.
	Admission bool
	// Preemption means that less urgent tasks are stopped to make room for those of priority 0.
	Preemption bool
	// LookAhead enables reservations for tasks that no worker has room for.
	LookAhead bool
	// Colocation makes the leader place filling and serving tasks by which images disturb each
	// other, and move them.
	Colocation bool
	// SlowWorkers makes the leader learn the speeds of workers, and use slow ones last.
	SlowWorkers bool
	// RackWaits makes tasks wait for the rack of their data if it has room in time.
	RackWaits bool
	// RemoteFactor is how many times as long a task takes outside the rack of its data, or 0 for
	// defaultRemoteFactor.
	RemoteFactor float64
	// CheckpointInterval is the time after which a new checkpoint of a running task is stored, or 0 if
	// checkpoints are stored only when runs end.
	CheckpointInterval time.Duration
}

// ReportsProgress reports whether an agent reports the progress of runs once a second.
func (s SchedulingSection) ReportsProgress() bool { return s.LookAhead || s.SlowWorkers || s.RackWaits }

const (
	defaultRemoteFactor = 1.5
	maxRemoteFactor     = 100
	// minCheckpointInterval keeps a job from having its rows written for each report of an agent.
	minCheckpointInterval = 500 * time.Millisecond
)

// RemoteRunFactor returns how many times as long a task takes outside the rack of its data.
func (s SchedulingSection) RemoteRunFactor() float64 {
	return cmp.Or(s.RemoteFactor, defaultRemoteFactor)
}

// LoadNode reads and checks the settings of a process on the platform. CheckEntry and
// CheckAgent check what one of the roles requires in addition.
func LoadNode(file string) (Node, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Node{}, fmt.Errorf("read settings: %w", err)
	}

	return ParseNode(file, data)
}

// ParseNode reads and checks the settings of a process on the platform; file names them
// in errors.
func ParseNode(file string, data []byte) (Node, error) {
	var p resource.Problems

	n := Node{
		Limits:     defaultLimits(),
		Scheduling: SchedulingSection{Order: backlog.ByDeadline},
	}

	targets := map[string]any{
		sectionNode:       &n.Node,
		"Store":           &n.Store,
		sectionWorker:     &n.Worker,
		"Bounds":          &n.Bounds,
		sectionLimits:     &n.Limits,
		sectionScheduling: &n.Scheduling,
	}

	for _, s := range declaration.Sections(file, data, &p) {
		p.Section = s.Name

		target, ok := targets[s.Name]
		if !ok {
			p.Add("", "an unknown section", "[Node], [Store], [Worker], [Bounds], [Limits], [Scheduling]")

			continue
		}

		declaration.Assign(s.Keys, target, &p)
	}

	n.check(&p)

	return n, p.Err()
}

const (
	sectionScheduling = "Scheduling"
	maxPort           = 65535
)

func (n *Node) check(p *resource.Problems) {
	c := checker{p: p}

	p.Section = sectionNode
	c.required("Name", n.Node.Name)
	c.required("DataCentre", n.Node.DataCentre)
	c.number("PeerPort", n.Node.PeerPort, 1, maxPort)
	c.number("MemoryMB", n.Node.MemoryMB, 1, maxAmount)

	if n.Node.ProcessorShare < 0 {
		p.Add("ProcessorShare", "a negative number", "a part of a core such as 0.25")
	}

	if !n.Node.IP.IsValid() {
		p.Add("IP", "nothing", "an IP address")
	}

	p.Section = "Store"
	c.address("Address", n.Store.Address)

	if n.Store.RowBytes != 0 {
		c.number("RowBytes", n.Store.RowBytes, minRowBytes, maxAmount)
	}

	p.Section = "Bounds"
	c.duration("DrainGrace", n.Bounds.DrainGrace, time.Second)

	n.Limits.check(p, n.Node.MemoryMB)
	n.Scheduling.check(p)
}

func (s *SchedulingSection) check(p *resource.Problems) {
	p.Section = sectionScheduling

	if s.Order != backlog.ByDeadline && s.Order != backlog.Fair {
		p.Add("Order", fmt.Sprintf("%q", s.Order), fmt.Sprintf("%s or %s", backlog.ByDeadline, backlog.Fair))
	}

	if s.Admission && s.Order != backlog.Fair {
		p.Add("Admission", "true without Order = "+string(backlog.Fair), "false, or Order = "+string(backlog.Fair))
	}

	if f := s.RemoteRunFactor(); !(f >= 1 && f <= maxRemoteFactor) {
		p.Add("RemoteFactor", fmt.Sprint(f), fmt.Sprintf("1 to %d", maxRemoteFactor))
	}

	if i := s.CheckpointInterval; i != 0 && i < minCheckpointInterval {
		p.Add("CheckpointInterval", i.String(), fmt.Sprintf("0, or at least %s", minCheckpointInterval))
	}
}

// CheckEntry returns an error for each setting that an entry requires and n lacks.
func (n *Node) CheckEntry(file string) error {
	p := resource.Problems{File: file}
	c := checker{p: &p}

	p.Section = sectionNode
	c.address("CallerAddress", n.Node.CallerAddress)
	c.address("ReadyAddress", n.Node.ReadyAddress)

	return p.Err()
}

// CheckAgent returns an error for each setting that an agent requires and n lacks.
func (n *Node) CheckAgent(file string) error {
	p := resource.Problems{File: file}
	c := checker{p: &p}

	p.Section = sectionNode
	c.address("AnnouncementAddress", n.Node.AnnouncementAddress)

	p.Section = sectionWorker
	c.address("Address", n.Worker.Address)
	c.required("Service", n.Worker.Service)

	return p.Err()
}
