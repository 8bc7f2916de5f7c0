// Package intake decides which clients' connections, headers and bodies a listener takes in,
// so that no client makes the process exceed its memory or its descriptors.
//
// It handles this load: crowds of clients that send headers and bodies of any size, in chunks
// of any size, whole or piece by piece, and stop short of their ends with the connection open.
// When something is short, the clients that make the least progress lose their place first, so
// that a crowd that has stopped doesn't keep out clients that send.
//
// # Usage
//
// The owner of the connections reports what happens on them:
//
//	c := g.Open(now, address, terminate)  // nil: refuse the connection
//	ok := g.Receive(now, c, n, lines)     // false: refuse the request, close the connection
//	reason := g.BeginBody(now, c)         // not "": refuse the request
//	g.Refuse(now, c)                      // before the answer to a request that isn't run
//	ok = g.Hold(now, c, n)                // before a buffer is allocated; false: refuse
//	ok = g.EndBody(now, c, n)             // before the body is decoded; false: refuse
//	g.Idle(now, c)                        // the request was answered
//	g.Close(c)
//	g.Sweep(now)                          // every 250 ms
package intake

import (
	"net/netip"
	"time"
)

// Reason says why a client was refused or its connection ended.
type Reason string

// Reasons of a refusal or an end.
const (
	// ReasonConnections says that too many connections are open.
	ReasonConnections Reason = "Connections"
	// ReasonMemory says that headers and bodies take all the memory that they may.
	ReasonMemory Reason = "Memory"
	// ReasonBodies says that too many bodies are being read, and ReasonAddress that too many
	// of the client's address are.
	ReasonBodies  Reason = "Bodies"
	ReasonAddress Reason = "Address"
	// ReasonHeaderBytes says that a header is larger than the limit in force.
	ReasonHeaderBytes Reason = "HeaderBytes"
	// ReasonHeaderTime, ReasonBodyTime and ReasonIdleTime say that a header, a body or the
	// next request has taken too long, and ReasonBodyRate that a body comes too slowly.
	ReasonHeaderTime Reason = "HeaderTime"
	ReasonBodyTime   Reason = "BodyTime"
	ReasonBodyRate   Reason = "BodyRate"
	ReasonIdleTime   Reason = "IdleTime"
	// ReasonClosed says that the connection is closed already.
	ReasonClosed Reason = "Closed"
)

// Limits bounds what the clients of one listener hold.
type Limits struct {
	// Connections is the maximum number of open connections.
	Connections int
	// Bytes is the memory that headers and bodies may take, in bytes.
	Bytes int64
	// Bodies and BodiesPerAddress are the maximum numbers of bodies that are read at a time,
	// in all and of one client address.
	Bodies, BodiesPerAddress int
	// HeaderTime and IdleTime are the maximum times for a header and between two requests.
	HeaderTime, IdleTime time.Duration
	// BodyTime is the maximum time for a body.
	BodyTime time.Duration
	// BodyGrace is the time after which a body must have had an average rate of at least
	// BodyRate, in bytes a second.
	BodyGrace time.Duration
	BodyRate  int64
}

// LargestBody returns a bound of the bodies for which there is memory, in bytes. A larger one is
// refused even if it is the only one.
func (l Limits) LargestBody() int64 { return l.Bytes * largePercent / 100 }

const (
	// newcomerBytes is how many bytes a client counts as having sent when its connection opens
	// and when a body begins.
	newcomerBytes = 32 << 10
	// rateTime is the time constant in which progress is forgotten. A body of 262,144 bytes
	// that takes 3 s progresses by 87 kB a second.
	rateTime = 250 * time.Millisecond
	// maxRate is the progress of a newcomer and the most that counts, in bytes a second: a
	// client that stops counts as stalled after at most 0.35 s, however much it sent before.
	maxRate = float64(newcomerBytes) / 0.25
	// stalledRate is the progress below which a client may lose its place to another. 780
	// clients above it take 200 Mbit/s, the most that a machine has.
	stalledRate = maxRate / 4
	// provenTime is the time after which a client that makes progress did not only send at its
	// beginning: as long as it takes from maxRate to stalledRate.
	provenTime = 350 * time.Millisecond
	// smallBytes is the largest memory of a small request: a text of 4,000 bytes and 100 steps
	// take less.
	smallBytes = 32 << 10
	// largePercent is the share of the memory that large requests may take. Small ones use the
	// rest even if large ones take all of theirs.
	largePercent = 75
	// lineBytes is the memory of a header's line beside its text. Measured with 600 headers of
	// 2,700 lines: 56 bytes.
	lineBytes = 64
	// smallFactor and largeFactor are the memory of a request by the size of its body, from its
	// end to the answer: the body, its copy in one piece, the decoded job and its row. A row
	// may have six bytes for one of the body.
	smallFactor = 4
	largeFactor = 8
	// endingTime is how long an ended client has to read its answer.
	endingTime = 2 * time.Second
	// scanPause is the time in which no further client is looked for that may lose its place
	// after none was found.
	scanPause = 20 * time.Millisecond
	// batchPart is the part of what is bounded that is made free at a time, so that the search
	// is rarely repeated.
	batchPart = 32
)

type phase int

// Phases of a connection.
const (
	opened phase = iota
	readingHeader
	readingBody
	// handling is the time from the end of a request to the end of its answer.
	handling
	idle
	// ending is the time from the decision to end the client to the end of its connection.
	ending
	closed
)

// Client is the client of one connection.
type Client struct {
	terminate func(r Reason, answer bool)
	address   netip.Addr
	index     int
	phase     phase
	// since is when the phase began, and received has the bytes received in it.
	since    time.Duration
	received int64
	// rate is the recent progress in bytes a second, as of ratedAt.
	rate    float64
	ratedAt time.Duration
	// held is the memory of the client's request, in bytes.
	held int64
	// refused means that the request is refused by its header, and its body is discarded.
	refused bool
	// writing is whether a part of the answer is being written, since writingSince.
	writing      bool
	writingSince time.Duration
	reason       Reason
}

// Reason returns why the client was ended, "" if it wasn't.
func (c *Client) Reason() Reason { return c.reason }

// Gate decides for the clients of one listener. It is not safe for concurrent use.
type Gate struct {
	limits  Limits
	clients []*Client
	held    int64
	bodies  int
	// bodiesFrom has the bodies that are read by client address.
	bodiesFrom map[netip.Addr]int
	ending     int
	// scanAfter is when a client that may lose its place is looked for again, by what is short. For
	// ReasonAddress, it applies to the address of the last search.
	scanAfter      map[Reason]time.Duration
	scannedAddress netip.Addr
}

// New returns a gate without clients.
func New(l Limits) *Gate {
	return &Gate{
		limits:     l,
		bodiesFrom: map[netip.Addr]int{},
		scanAfter:  map[Reason]time.Duration{},
	}
}

// SetTimes changes the maximum times for a header and between two requests.
func (g *Gate) SetTimes(header, idle time.Duration) {
	g.limits.HeaderTime, g.limits.IdleTime = header, idle
}

// Usage returns the number of open connections and the memory of headers and bodies, in bytes.
func (g *Gate) Usage() (connections int, bytes int64) { return len(g.clients), g.held }

// Open adds the client of a new connection, or returns nil if it must be refused. The gate calls
// terminate, which must not call the gate, to end the client: if answer is true, the request whose
// body is being read is to be refused with an answer, otherwise the connection is to be closed at
// once. Calls are repeated until the owner calls Close.
func (g *Gate) Open(now time.Duration, a netip.Addr, terminate func(r Reason, answer bool)) *Client {
	if len(g.clients)-g.ending >= g.limits.Connections && !g.makeRoom(now, ReasonConnections, 1, nil) {
		return nil
	}

	if len(g.clients) >= g.limits.Connections+g.endingLimit() {
		return nil
	}

	c := &Client{
		terminate: terminate,
		address:   a,
		index:     len(g.clients),
		since:     now,
		rate:      maxRate,
		ratedAt:   now,
	}
	g.clients = append(g.clients, c)

	return c
}

// endingLimit is the number of ended clients that may still read their answer.
func (g *Gate) endingLimit() int { return max(8, g.limits.Connections/8) }

// Close removes a client whose connection is closed. It may be called more than once, and other calls
// for the client, which have no effect, may follow: a connection can be closed while it is read.
func (g *Gate) Close(c *Client) {
	if c.index < 0 {
		return
	}

	g.setPhase(c.since, c, closed)

	last := len(g.clients) - 1
	g.clients[c.index] = g.clients[last]
	g.clients[c.index].index = c.index
	g.clients[last] = nil
	g.clients = g.clients[:last]
	c.index = -1
}

// setPhase begins a phase. What a client holds is free once it is idle, ended or closed.
func (g *Gate) setPhase(now time.Duration, c *Client, p phase) {
	switch c.phase {
	case readingBody:
		g.bodies--

		if g.bodiesFrom[c.address]--; g.bodiesFrom[c.address] == 0 {
			delete(g.bodiesFrom, c.address)
		}
	case ending:
		g.ending--
	default:
	}

	c.phase, c.since, c.received, c.refused = p, now, 0, false

	switch p {
	case readingBody:
		g.bodies++
		g.bodiesFrom[c.address]++
		c.rate, c.ratedAt = maxRate, now
	case ending:
		g.ending++
		g.release(c)
	case idle, closed:
		g.release(c)
	default:
	}
}

func (g *Gate) release(c *Client) {
	g.held -= c.held
	c.held = 0
}

// Receive records that n bytes with a number of line ends arrived. It returns false if they are
// part of a header for which there is no memory.
func (g *Gate) Receive(now time.Duration, c *Client, n, lines int) bool {
	switch c.phase {
	case idle:
		g.setPhase(now, c, readingHeader)
	case opened:
		// The time for the first header runs from the opening of the connection.
		c.phase = readingHeader
	case handling, ending, closed:
		return true
	default:
	}

	c.received += int64(n)
	c.rate = min(maxRate, c.rateAt(now)+float64(n)/rateTime.Seconds())
	c.ratedAt = now

	return c.phase != readingHeader || c.refused || g.Hold(now, c, int64(n)+int64(lines)*lineBytes)
}

// Refuse records that a request whose header was read is refused with an answer. What still arrives of
// the request is discarded, and takes no memory. The header does until the connection is closed, for
// which its time goes on.
func (g *Gate) Refuse(now time.Duration, c *Client) {
	// A request that arrived together with the one before it began unnoticed.
	if c.phase == idle {
		g.setPhase(now, c, readingHeader)
	}

	c.refused = true
}

// BeginBody begins to read the body of a request whose header was read. It returns why the
// request must be refused, "" if it needn't.
func (g *Gate) BeginBody(now time.Duration, c *Client) Reason {
	switch {
	case c.phase == closed:
		return ReasonClosed
	case c.phase == ending:
		return c.reason
	case g.bodies >= g.limits.Bodies && !g.makeRoom(now, ReasonBodies, 1, nil):
		return ReasonBodies
	case g.bodiesFrom[c.address] >= g.limits.BodiesPerAddress && !g.makeRoomAt(now, c.address):
		return ReasonAddress
	}

	g.setPhase(now, c, readingBody)

	return ""
}

// Hold records that the request of a client takes n more bytes of memory. It returns false if
// they aren't there.
func (g *Gate) Hold(now time.Duration, c *Client, n int64) bool {
	if c.phase >= ending {
		return false
	}

	limit := g.limits.Bytes
	if c.held+n > smallBytes {
		limit = g.limits.LargestBody()
	}

	if short := g.held + n - limit; short > 0 && !g.makeRoom(now, ReasonMemory, short, c) {
		return false
	}

	// The client itself may have been the one that made the least progress.
	if c.phase == ending {
		return false
	}

	c.held += n
	g.held += n

	return true
}

// EndBody begins to handle a request whose body of n bytes was read. It returns false if there is
// no memory to decode it. A request that takes half of all memory is handled alone.
func (g *Gate) EndBody(now time.Duration, c *Client, n int64) bool {
	factor := int64(smallFactor)
	if smallFactor*n > smallBytes {
		factor = largeFactor
	}

	more := min(factor*n, g.limits.Bytes/2) - c.held
	if more > 0 && !g.Hold(now, c, more) || c.phase >= ending {
		return false
	}

	g.setPhase(now, c, handling)

	return true
}

// Handle begins to handle a request without a body, or a session with a peer. Their time isn't
// bounded.
func (g *Gate) Handle(now time.Duration, c *Client) {
	if c.phase < ending {
		g.setPhase(now, c, handling)
	}
}

// BeginWrite records that a part of an answer is about to be written, and EndWrite that it was.
// Between them the client may lose its place if it doesn't read.
func (g *Gate) BeginWrite(now time.Duration, c *Client) {
	c.writing, c.writingSince = true, now
}

// EndWrite is the counterpart of BeginWrite.
func (g *Gate) EndWrite(c *Client) { c.writing = false }

// Idle records that the request of a client was answered.
func (g *Gate) Idle(now time.Duration, c *Client) {
	if c.phase < ending {
		g.setPhase(now, c, idle)
	}
}
