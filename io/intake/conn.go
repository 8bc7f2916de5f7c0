package intake

import (
	"net"
	"os"
	"sync"
	"time"

	core "trefoildeck/core/intake"
)

// writeTime bounds the time in which a client takes a part of its answer.
const writeTime = 10 * time.Second

// Conn is a connection that a guard watches over.
type Conn struct {
	net.Conn
	guard  *Guard
	client *core.Client

	mu sync.Mutex
	// ended means that reads fail, so that the request that is read is answered.
	ended  bool
	closed bool
}

// terminate ends the client. The gate calls it while the guard is locked.
func (c *Conn) terminate(r core.Reason, answer bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.ended && !c.closed {
		what := "Closed"
		if answer {
			what = "Refused"
		}

		c.guard.record(what, r, c.RemoteAddr())
	}

	if c.ended = true; !answer {
		c.closed = true
		_ = c.Conn.Close()

		return
	}

	// Setting a deadline fails only if the connection is closed.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Read implements net.Conn. It fails as if its deadline had passed once the client is ended.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.guard.receive(c, p[:n]) {
		return n, err
	}

	c.guard.refuseHeader(c)

	return 0, os.ErrDeadlineExceeded
}

// Write implements net.Conn. It fails if the client doesn't take what is written within writeTime.
func (c *Conn) Write(p []byte) (int, error) {
	// Setting a deadline fails only if the connection is closed.
	_ = c.SetWriteDeadline(time.Now().Add(writeTime))

	// A peer that reads too slowly is its session's concern.
	if !c.guard.answersHTTP {
		return c.Conn.Write(p)
	}

	c.guard.update(c, c.guard.gate.BeginWrite)

	n, err := c.Conn.Write(p)

	c.guard.update(c, func(_ time.Duration, o *core.Client) { c.guard.gate.EndWrite(o) })

	return n, err
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}

	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn. It has no effect once the client is ended.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.ended {
		return nil
	}

	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends the sending side, so that a client can read the answer to a request that it has
// not sent to the end.
func (c *Conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}

	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()

	c.guard.mu.Lock()
	c.guard.gate.Close(c.client)
	c.guard.mu.Unlock()

	return c.Conn.Close()
}
