package intake

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	kB       = 1 << 10
	bodySize = 256 * kB
)

var (
	here  = netip.MustParseAddr("10.0.0.1")
	there = netip.MustParseAddr("10.0.0.2")
)

func testLimits() Limits {
	return Limits{
		Connections:      400,
		Bytes:            10 << 20,
		Bodies:           400,
		BodiesPerAddress: 300,
		HeaderTime:       3 * time.Second,
		IdleTime:         15 * time.Second,
		BodyTime:         6 * time.Second,
		BodyGrace:        3 * time.Second,
		BodyRate:         16 * kB,
	}
}

// client is a client of a test, with what the gate told its owner.
type client struct {
	*Client
	ended    bool
	answered bool
}

// open opens a connection, and returns nil if it is refused.
func open(g *Gate, now time.Duration, a netip.Addr) *client {
	var c client

	c.Client = g.Open(now, a, func(_ Reason, answer bool) {
		c.ended, c.answered = true, answer
	})
	if c.Client == nil {
		return nil
	}

	return &c
}

// begin opens a connection, and sends the header and n bytes of a body. It reports whether all
// was taken.
func begin(g *Gate, now time.Duration, a netip.Addr, n int64) (*client, bool) {
	c := open(g, now, a)
	if c == nil || !g.Receive(now, c.Client, 200, 8) || g.BeginBody(now, c.Client) != "" {
		return c, false
	}

	return c, send(g, now, c, n)
}

// send sends n bytes of a body.
func send(g *Gate, now time.Duration, c *client, n int64) bool {
	return g.Receive(now, c.Client, int(n), 0) && g.Hold(now, c.Client, n)
}

// TestStalledCrowd replays many bodies that stop just short of their ends: memory stays within
// its bound, and the bodies that are sent a second later are taken.
func TestStalledCrowd(t *testing.T) {
	g := New(testLimits())

	for range 1000 {
		_, _ = begin(g, 0, here, bodySize-1)

		_, held := g.Usage()
		assert.Assert(t, held <= g.limits.Bytes)
	}

	for i := range 20 {
		now := time.Second + time.Duration(i)*time.Millisecond
		c, ok := begin(g, now, here, bodySize)
		assert.Assert(t, ok, "body %d", i)
		assert.Assert(t, g.EndBody(now, c.Client, bodySize))
		g.Idle(now, c.Client)
		g.Close(c.Client)
	}
}

// TestSlowLink replays a body of the largest size that takes 3 s beside a crowd that takes all
// places again and again: the crowd loses them, the slow client doesn't.
func TestSlowLink(t *testing.T) {
	const (
		piece = 1400
		pause = 16 * time.Millisecond
	)

	g := New(testLimits())
	slow, ok := begin(g, 0, here, piece)
	assert.Assert(t, ok)

	var crowd []*client

	for sent, now := piece, pause; sent < bodySize; sent, now = sent+piece, now+pause {
		for range 40 {
			if c, _ := begin(g, now, there, bodySize-1); c != nil {
				crowd = append(crowd, c)
			}
		}

		crowd = slices.DeleteFunc(crowd, func(c *client) bool {
			if c.ended {
				g.Close(c.Client)
			}

			return c.ended
		})

		assert.Assert(t, send(g, now, slow, piece), "after %d bytes", sent)
		g.Sweep(now)
		assert.Assert(t, !slow.ended)
	}
}

// TestOrdinaryCrowd replays 300 small requests that arrive at once through one address, more than
// ever do, while a crowd holds what large bodies may take: none is refused.
func TestOrdinaryCrowd(t *testing.T) {
	g := New(testLimits())

	for range 80 {
		_, _ = begin(g, 0, there, bodySize-1)
	}

	for i := range 300 {
		now := time.Duration(i) * 10 * time.Microsecond
		c, ok := begin(g, now, here, 2*kB)
		assert.Assert(t, ok && g.EndBody(now, c.Client, 2*kB), "request %d", i)
	}
}

// TestManyCancellations checks that connections without bodies that are as many as allowed are
// never ended while they are handled, whatever others want.
func TestManyCancellations(t *testing.T) {
	g := New(testLimits())

	var all []*client

	for range g.limits.Connections {
		c := open(g, 0, here)
		assert.Assert(t, g.Receive(0, c.Client, 200, 8))
		g.Handle(0, c.Client)

		all = append(all, c)
	}

	for now := time.Duration(0); now < time.Hour; now += time.Minute {
		g.Sweep(now)
		assert.Assert(t, open(g, now, there) == nil)
	}

	for _, c := range all {
		assert.Assert(t, !c.ended)
	}
}

// TestUnreadAnswers checks that a client that doesn't read its answer loses its place to another.
func TestUnreadAnswers(t *testing.T) {
	l := testLimits()
	l.Connections = 1
	g := New(l)

	c := open(g, 0, here)
	g.Handle(0, c.Client)
	g.BeginWrite(0, c.Client)
	assert.Assert(t, open(g, 100*time.Millisecond, there) == nil)
	assert.Assert(t, open(g, time.Second, there) != nil)
	assert.Assert(t, c.ended && !c.answered)
}

// TestConnections checks which connection makes room for another.
func TestConnections(t *testing.T) {
	tests := map[string]struct {
		prepare func(g *Gate, c *Client)
		ended   bool
	}{
		"Silent": {func(*Gate, *Client) {}, true},
		"Header": {func(g *Gate, c *Client) { g.Receive(0, c, 10, 1) }, true},
		"Body":   {func(g *Gate, c *Client) { g.BeginBody(0, c) }, true},
		"Idle":   {func(g *Gate, c *Client) { g.Idle(0, c) }, true},
		"Sends":  {func(g *Gate, c *Client) { g.BeginBody(0, c); g.Receive(time.Second, c, 10*kB, 0) }, false},
		"Served": {func(g *Gate, c *Client) { g.Handle(0, c) }, false},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			l := testLimits()
			l.Connections = 1
			g := New(l)
			first := open(g, 0, here)

			c.prepare(g, first.Client)
			assert.Equal(t, open(g, time.Second, there) != nil, c.ended)
			assert.Equal(t, first.ended, c.ended)
		})
	}
}

// TestTimes checks when a client's time is over, and that only a request whose body is read is
// answered then.
func TestTimes(t *testing.T) {
	tests := map[string]struct {
		prepare  func(g *Gate, c *Client)
		at       time.Duration
		want     Reason
		answered bool
	}{
		"Silent":      {func(*Gate, *Client) {}, 3100 * time.Millisecond, ReasonHeaderTime, false},
		"Header":      {func(g *Gate, c *Client) { g.Receive(2*time.Second, c, 10, 1) }, 3100 * time.Millisecond, ReasonHeaderTime, false},
		"HeaderInUse": {func(g *Gate, c *Client) { g.Receive(0, c, 10, 1) }, 2900 * time.Millisecond, "", false},
		"NextHeader": {
			func(g *Gate, c *Client) {
				g.Idle(time.Second, c)
				g.Receive(10*time.Second, c, 10, 1)
			}, 12 * time.Second, "", false,
		},
		"Idle":       {func(g *Gate, c *Client) { g.Idle(0, c) }, 16 * time.Second, ReasonIdleTime, false},
		"NotIdleYet": {func(g *Gate, c *Client) { g.Idle(0, c) }, 14 * time.Second, "", false},
		"BodyRate":   {func(g *Gate, c *Client) { g.BeginBody(0, c); g.Receive(0, c, 10*kB, 0) }, 3100 * time.Millisecond, ReasonBodyRate, true},
		"BodyGrace":  {func(g *Gate, c *Client) { g.BeginBody(0, c) }, 2900 * time.Millisecond, "", false},
		"BodySent":   {func(g *Gate, c *Client) { g.BeginBody(0, c); g.Receive(0, c, bodySize, 0) }, 5 * time.Second, "", false},
		"BodyTime":   {func(g *Gate, c *Client) { g.BeginBody(0, c); g.Receive(0, c, bodySize, 0) }, 6100 * time.Millisecond, ReasonBodyTime, true},
		"Held":       {func(g *Gate, c *Client) { g.BeginBody(0, c); g.EndBody(0, c, 10) }, time.Hour, "", false},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := New(testLimits())
			one := open(g, 0, here)
			c.prepare(g, one.Client)
			g.Sweep(c.at)

			assert.Equal(t, one.Reason(), c.want)
			assert.Equal(t, one.ended, c.want != "")
			assert.Equal(t, one.answered, c.answered)
		})
	}
}

// TestAddress checks that one address can't take all places for bodies, and that its own bodies
// that stand still make room for it.
func TestAddress(t *testing.T) {
	l := testLimits()
	l.Bodies, l.BodiesPerAddress = 4, 3
	g := New(l)

	for range 3 {
		_, ok := begin(g, 0, here, 0)
		assert.Assert(t, ok)
	}

	c := open(g, 0, here)
	assert.Equal(t, g.BeginBody(0, c.Client), ReasonAddress)

	_, ok := begin(g, 0, there, 0)
	assert.Assert(t, ok)

	c = open(g, 0, netip.MustParseAddr("10.0.0.3"))
	assert.Equal(t, g.BeginBody(0, c.Client), ReasonBodies)

	_, ok = begin(g, time.Second, here, 0)
	assert.Assert(t, ok)
}

// TestAddressSearch guards against a search through all clients for each body above the limit of an address:
// a search ends a batch of clients, and one without success is not repeated for the same address at once.
func TestAddressSearch(t *testing.T) {
	l := testLimits()
	l.BodiesPerAddress = 3 * batchPart
	g := New(l)

	var all []*client

	for range l.BodiesPerAddress {
		c, ok := begin(g, 0, here, 0)
		assert.Assert(t, ok)

		all = append(all, c)
	}

	const beforeStall = provenTime - 10*time.Millisecond

	c := open(g, 0, here)
	assert.Equal(t, g.BeginBody(beforeStall, c.Client), ReasonAddress)
	assert.Equal(t, g.BeginBody(beforeStall+scanPause-1, c.Client), ReasonAddress)
	assert.Equal(t, g.BeginBody(beforeStall+scanPause, c.Client), Reason(""))

	ended := 0

	for _, c := range all {
		if c.ended {
			ended++
		}
	}

	assert.Equal(t, ended, 3)
}

// TestEndedTwice checks that a client that doesn't read its refusal is closed, and that only some
// are answered at a time.
func TestEndedTwice(t *testing.T) {
	g := New(testLimits())

	var all []*client

	for range 300 {
		c, _ := begin(g, 0, here, 0)
		all = append(all, c)
	}

	g.Sweep(4 * time.Second)

	answered := 0

	for _, c := range all {
		if assert.Check(t, c.ended); c.answered {
			answered++
		}
	}

	assert.Equal(t, answered, g.endingLimit())

	g.Sweep(4*time.Second + endingTime + time.Millisecond)

	for _, c := range all {
		assert.Assert(t, !c.answered)
		g.Close(c.Client)
		g.Close(c.Client)
	}

	connections, held := g.Usage()
	assert.Equal(t, connections, 0)
	assert.Equal(t, held, int64(0))
}

// TestLargestBodyAlone checks that one body that takes all that a body may is decoded, though it
// takes several times its size.
func TestLargestBodyAlone(t *testing.T) {
	l := testLimits()
	l.Bytes = 2 << 20
	g := New(l)

	c, ok := begin(g, 0, here, bodySize)
	assert.Assert(t, ok)
	assert.Assert(t, g.EndBody(0, c.Client, bodySize))
}

// TestAfterClose guards against memory that is charged to a client whose connection is closed, and that
// nobody gives back: a session with a peer reads on while another goroutine closes its connection.
func TestAfterClose(t *testing.T) {
	calls := map[string]func(g *Gate, c *Client){
		"Receive":   func(g *Gate, c *Client) { g.Receive(0, c, kB, 10) },
		"Hold":      func(g *Gate, c *Client) { g.Hold(0, c, kB) },
		"BeginBody": func(g *Gate, c *Client) { g.BeginBody(0, c) },
		"EndBody":   func(g *Gate, c *Client) { g.EndBody(0, c, kB) },
		"Handle":    func(g *Gate, c *Client) { g.Handle(0, c); g.Receive(0, c, kB, 10) },
		"Idle":      func(g *Gate, c *Client) { g.Idle(0, c); g.Receive(0, c, kB, 10) },
	}

	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			g := New(testLimits())
			c := open(g, 0, here)
			g.Close(c.Client)
			call(g, c.Client)

			connections, held := g.Usage()
			assert.Equal(t, connections, 0)
			assert.Equal(t, held, int64(0))
			assert.Equal(t, g.bodies, 0)
			assert.Equal(t, len(g.bodiesFrom), 0)
		})
	}
}
