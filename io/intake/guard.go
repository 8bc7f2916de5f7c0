// Package intake applies the decisions of core/intake to listeners: it closes or refuses the
// connections and requests of clients that would make the process exceed its memory or its
// descriptors.
//
// # Usage
//
//	g := intake.New(intake.Options{Name: "Callers", Limits: limits, Log: log, Meter: meter})
//	err := g.Serve(ctx, address, server, drain)  // an http.Server
//
// or, for other protocols,
//
//	l, err := g.Listen(ctx, address)
//	g.Establish(conn)  // once the first message of a connection has arrived
//
// A handler reads bodies by ReadBody and answers its errors by Refuse:
//
//	body, err := intake.ReadBody(w, r, limit)
//	if err != nil {
//		intake.Refuse(w, err)
//		return
//	}
package intake

import (
	"bytes"
	"net"
	"net/netip"
	"sync"
	"time"

	core "trefoildeck/core/intake"
	"trefoildeck/internal/jsonlog"
	"trefoildeck/internal/metering"
	"trefoildeck/io/boottime"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// sweepPeriod is the time between two searches for clients whose time is over.
	sweepPeriod = 250 * time.Millisecond
	// maxLingering bounds the refused connections that are kept open for their answer.
	maxLingering = 32
)

// Header has the limits on headers and idle connections that may change while the process runs.
// What is 0 isn't limited by it.
type Header struct {
	// Bytes is the largest header, in bytes.
	Bytes      int
	Time, Idle time.Duration
}

// Options are the options of a guard.
type Options struct {
	// Name is the name of the listener in logs and counters.
	Name   string
	Limits core.Limits
	// InForce returns limits that take precedence over those in Limits. It may be nil.
	InForce func() Header
	Log     *zap.Logger
	Meter   *metering.Meter
}

// Guard watches over the clients of one listener. It is safe for concurrent use.
type Guard struct {
	Options
	now       func() time.Duration
	repeats   jsonlog.Repeats
	lingering chan struct{}
	// answersHTTP is whether a connection that is refused gets an answer.
	answersHTTP bool

	mu   sync.Mutex
	gate *core.Gate
	// sweeping is whether the next sweep is due.
	sweeping bool
}

// New returns a guard without clients.
func New(o Options) *Guard {
	if o.InForce == nil {
		o.InForce = func() Header { return Header{} }
	}

	return &Guard{
		Options:   o,
		now:       boottime.Now,
		gate:      core.New(o.Limits),
		lingering: make(chan struct{}, maxLingering),
	}
}

// admit returns the connection of a client, or nil if it was refused.
func (g *Guard) admit(conn net.Conn) *Conn {
	c := &Conn{
		Conn:  conn,
		guard: g,
	}

	g.mu.Lock()
	c.client = g.gate.Open(g.now(), addressOf(conn), c.terminate)
	g.startSweeping()
	g.mu.Unlock()

	if c.client == nil {
		g.record("Refused", core.ReasonConnections, conn.RemoteAddr())
		g.refuseConnection(conn)

		return nil
	}

	return c
}

func addressOf(conn net.Conn) netip.Addr {
	a, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		// Connections that are not TCP share one address.
		return netip.Addr{}
	}

	return a.Addr().Unmap()
}

// startSweeping makes the next sweep due unless it is. Without clients there are none.
func (g *Guard) startSweeping() {
	if !g.sweeping {
		g.sweeping = true

		time.AfterFunc(sweepPeriod, g.sweep)
	}
}

func (g *Guard) sweep() {
	f := g.InForce()

	g.mu.Lock()
	defer g.mu.Unlock()

	g.gate.SetTimes(orDefault(f.Time, g.Limits.HeaderTime), orDefault(f.Idle, g.Limits.IdleTime))
	g.gate.Sweep(g.now())

	connections, held := g.gate.Usage()
	g.Meter.Gauge(float64(connections), "intake_connections", "listener", g.Name)
	g.Meter.Gauge(float64(held), "intake_bytes", "listener", g.Name)

	g.sweeping = false

	if connections > 0 {
		g.startSweeping()
	}
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d > 0 {
		return d
	}

	return otherwise
}

// receive records that bytes arrived. It returns false if there is no memory for them.
func (g *Guard) receive(c *Conn, b []byte) bool {
	lines := bytes.Count(b, []byte{'\n'})

	g.mu.Lock()
	defer g.mu.Unlock()

	return g.gate.Receive(g.now(), c.client, len(b), lines)
}

// record counts and logs that a client was refused or closed.
func (g *Guard) record(what string, r core.Reason, from net.Addr) {
	g.Meter.Count("intake_total", "listener", g.Name, "what", what, "reason", string(r))

	// The end of idle connections is usual.
	if r != core.ReasonIdleTime {
		g.repeats.Log(g.Log, zapcore.WarnLevel, "Client"+what, g.Name+": "+string(r), zap.Stringer("Client", from))
	}
}
