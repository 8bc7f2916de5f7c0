package settings

import (
	"time"

	"trefoildeck/core/intake"
	"trefoildeck/core/resource"
)

// LimitsSection is the section [Limits]: what clients may hold of the process. What is 0 is derived
// from Node.MemoryMB and from the limit of descriptors.
type LimitsSection struct {
	// Descriptors is the maximum number of open descriptors of the process, or 0 for the
	// process's own limit, which applies in any case.
	Descriptors int64
	// Connections is the maximum number of open connections of callers or announcements.
	Connections int64
	// CheckConnections is the maximum number of open connections at each of the addresses for
	// readiness checks and metrics, and PeerConnections at the address for peers.
	CheckConnections int64
	PeerConnections  int64
	// RequestMemoryMB is the memory that headers and bodies of callers or announcements may
	// take.
	RequestMemoryMB int64
	// Bodies and BodiesPerAddress are the maximum numbers of bodies that are read at a time, in
	// all and of one client address.
	Bodies           int64
	BodiesPerAddress int64
	// HeaderTime is the maximum time for a header, and IdleTime that between two requests. For
	// callers, those of the configuration take precedence.
	HeaderTime time.Duration
	IdleTime   time.Duration
	// BodyTime is the maximum time for a body. One that has taken longer than BodyGrace must
	// have had at least BodyBytesPerSecond on average.
	BodyTime           time.Duration
	BodyGrace          time.Duration
	BodyBytesPerSecond int64
}

// Defaults of [Limits], and what they are derived from.
const (
	defaultCheckConnections = 64
	// defaultPeerConnections is several times the sessions that one process accepts: one of the
	// leader, and those of its predecessors that have not ended yet.
	defaultPeerConnections = 32
	defaultHeaderTime      = 3 * time.Second
	defaultIdleTime        = 15 * time.Second
	// defaultBodyGrace is the time for which callers wait.
	defaultBodyGrace          = 3 * time.Second
	defaultBodyTime           = 6 * time.Second
	defaultBodyBytesPerSecond = 16 << 10

	// reservedDescriptors is for files and for what the process itself opens: the log, polls,
	// listeners, and calls to the store and the worker.
	reservedDescriptors = 400
	// connectionBytes is the memory of a connection: 24 kB in the process, where 3,000 connections
	// with requests took 18 to 20 kB each, and 24 kB that the kernel has received and that are
	// not read.
	connectionBytes = 48 << 10
	// connectionsPercent is the share of the memory that connections of callers may take.
	connectionsPercent = 40
	// callersPercent and announcementsPercent are the shares of the memory that headers and
	// bodies may take. An announcement may be 16 times as large as a caller's body, and the rest
	// of an agent is smaller.
	callersPercent       = 15
	announcementsPercent = 30
	// minRequestMemoryMB is enough for one body of 262,144 bytes.
	minRequestMemoryMB = 2
	// peerBytes is the memory of what a peer sends first: its session's windows and the frame,
	// and checkBytes that of the headers of a check.
	peerBytes  = 4 << 20
	checkBytes = 2 << 20

	// minConnections are allowed however few descriptors there are.
	minConnections = 16
	maxConnections = 1 << 20
)

func defaultLimits() LimitsSection {
	return LimitsSection{
		CheckConnections:   defaultCheckConnections,
		PeerConnections:    defaultPeerConnections,
		HeaderTime:         defaultHeaderTime,
		IdleTime:           defaultIdleTime,
		BodyTime:           defaultBodyTime,
		BodyGrace:          defaultBodyGrace,
		BodyBytesPerSecond: defaultBodyBytesPerSecond,
	}
}

func (l *LimitsSection) check(p *resource.Problems, memoryMB int64) {
	c := checker{p: p}

	p.Section = sectionLimits
	c.number("Descriptors", l.Descriptors, 0, maxAmount)
	c.number("Connections", l.Connections, 0, maxConnections)
	c.number("CheckConnections", l.CheckConnections, 1, maxConnections)
	c.number("PeerConnections", l.PeerConnections, 1, maxConnections)
	c.number("Bodies", l.Bodies, 0, maxConnections)
	c.number("BodiesPerAddress", l.BodiesPerAddress, 0, maxConnections)
	c.number("BodyBytesPerSecond", l.BodyBytesPerSecond, 0, maxAmount)
	c.duration("HeaderTime", l.HeaderTime, time.Millisecond)
	c.duration("IdleTime", l.IdleTime, time.Millisecond)
	c.duration("BodyTime", l.BodyTime, time.Millisecond)
	c.duration("BodyGrace", l.BodyGrace, 0)

	if l.RequestMemoryMB != 0 {
		c.number("RequestMemoryMB", l.RequestMemoryMB, minRequestMemoryMB, max(minRequestMemoryMB, memoryMB))
	}
}

// CallerLimits returns the limits on callers, given how many descriptors the process may open.
func (n *Node) CallerLimits(descriptors int64) intake.Limits {
	return n.limits(descriptors, callersPercent)
}

// AnnouncementLimits returns the limits on the clients that send announcements, given how many
// descriptors the process may open.
func (n *Node) AnnouncementLimits(descriptors int64) intake.Limits {
	l := n.limits(descriptors, announcementsPercent)

	// One worker announces itself.
	if n.Limits.Connections == 0 {
		l.Connections = min(l.Connections, int(n.Limits.CheckConnections))
	}

	return l
}

// CheckLimits returns the limits on the clients of a listener for readiness checks or metrics.
func (n *Node) CheckLimits() intake.Limits {
	return n.withTimes(intake.Limits{
		Connections:      int(n.Limits.CheckConnections),
		Bytes:            checkBytes,
		Bodies:           int(n.Limits.CheckConnections),
		BodiesPerAddress: int(n.Limits.CheckConnections),
	})
}

// PeerLimits returns the limits on the clients of the listener for peers.
func (n *Node) PeerLimits() intake.Limits {
	return n.withTimes(intake.Limits{
		Connections: int(n.Limits.PeerConnections),
		Bytes:       peerBytes,
	})
}

func (n *Node) limits(descriptors, percent int64) intake.Limits {
	if n.Limits.Descriptors > 0 {
		descriptors = min(descriptors, n.Limits.Descriptors)
	}

	// Half of the descriptors are left to sessions with other processes.
	descriptors = (descriptors - reservedDescriptors - n.Limits.PeerConnections - 2*n.Limits.CheckConnections) / 2
	memory := n.Node.MemoryMB << 20

	connections := orDefault(n.Limits.Connections, memory*connectionsPercent/100/connectionBytes)
	connections = min(connections, max(minConnections, descriptors))
	bodies := min(connections, orDefault(n.Limits.Bodies, connections))

	return n.withTimes(intake.Limits{
		Connections: int(connections),
		Bytes:       orDefault(n.Limits.RequestMemoryMB<<20, max(minRequestMemoryMB<<20, memory*percent/100)),
		Bodies:      int(bodies),
		// A quarter is left to other addresses.
		BodiesPerAddress: int(orDefault(n.Limits.BodiesPerAddress, max(1, bodies*3/4))),
	})
}

func orDefault(v, otherwise int64) int64 {
	if v != 0 {
		return v
	}

	return otherwise
}

func (n *Node) withTimes(l intake.Limits) intake.Limits {
	l.HeaderTime = n.Limits.HeaderTime
	l.IdleTime = n.Limits.IdleTime
	l.BodyTime = n.Limits.BodyTime
	l.BodyGrace = n.Limits.BodyGrace
	l.BodyRate = n.Limits.BodyBytesPerSecond

	return l
}
