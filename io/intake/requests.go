package intake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	core "trefoildeck/core/intake"

	"github.com/rotisserie/eris"
)

// Errors of ReadBody. Any other error is that of the connection.
var (
	// ErrTooLarge says that a body is larger than allowed.
	ErrTooLarge = eris.New("the body is too large")
	// ErrTooSlow says that a body took too long or came too slowly.
	ErrTooSlow = eris.New("the body comes too slowly")
	// ErrBusy says that there is no room for the body.
	ErrBusy = eris.New("too many clients send at once")
)

const (
	// MaxHeaderBytes is the largest header that is read, in bytes. A lower limit in force
	// applies to the header's lines.
	MaxHeaderBytes = 64 << 10
	// longestTime bounds the times for a header and between requests that may be in force.
	longestTime = time.Hour
	// firstBlock is the size of the first buffer of a body and maxBlock that of the largest, in
	// bytes.
	firstBlock = 4 << 10
	maxBlock   = 64 << 10
)

type contextKey struct{}

// protect makes the guard watch over the requests of a server whose listener is the guard's. The
// times for headers and between requests are the guard's.
func (g *Guard) protect(s *http.Server) {
	g.answersHTTP = true
	s.MaxHeaderBytes = MaxHeaderBytes
	s.ReadHeaderTimeout = longestTime
	s.IdleTimeout = longestTime

	s.Handler = g.protectHandler(s.Handler)
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := c.(*Conn); ok && state == http.StateIdle {
			g.update(own, g.gate.Idle)
		}
	}
}

// Establish ends the time-out for a connection's first message. Connections that are not the
// guard's are ignored.
func (g *Guard) Establish(c net.Conn) {
	if own, ok := c.(*Conn); ok {
		g.update(own, g.gate.Handle)
	}
}

func (g *Guard) update(c *Conn, f func(time.Duration, *core.Client)) {
	g.mu.Lock()
	defer g.mu.Unlock()

	f(g.now(), c.client)
}

func (g *Guard) protectHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)

			return
		}

		if limit := g.InForce().Bytes; limit > 0 && headerBytes(r) > limit {
			g.refuse(c)
			g.record("Refused", core.ReasonHeaderBytes, c.RemoteAddr())
			setRefused(w.Header(), false)
			http.Error(w, "the header is too large", http.StatusRequestHeaderFieldsTooLarge)

			return
		}

		if r.ContentLength == 0 {
			g.update(c, g.gate.Handle)
		} else if reason := g.beginBody(c); reason != "" {
			g.refuse(c)
			g.record("Refused", reason, c.RemoteAddr())
			Refuse(w, ErrBusy)

			return
		}

		next.ServeHTTP(w, r)
	})
}

// refuse records that a request is refused, before the answer: the server reads the rest of the
// request to be rid of it.
func (g *Guard) refuse(c *Conn) { g.update(c, g.gate.Refuse) }

func connOf(r *http.Request) *Conn {
	c, ok := r.Context().Value(contextKey{}).(*Conn)
	if !ok {
		return nil
	}

	return c
}

// headerBytes returns the size of a request's first line and of the lines of its header.
func headerBytes(r *http.Request) int {
	// "POST / HTTP/1.1\r\n", "Host: x\r\n" and the empty line.
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n") + len("Host: \r\n") + len(r.Host) + len("\r\n")

	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(": ") + len(v) + len("\r\n")
		}
	}

	return n
}

func (g *Guard) beginBody(c *Conn) core.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.gate.BeginBody(g.now(), c.client)
}

// ReadBody reads the body of a request, of at most limit bytes. On a connection that a guard
// watches over, it takes memory only as bytes arrive, and gives up the body if it comes too slowly
// or if there is no room.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	}

	c := connOf(r)
	size := limit

	if r.ContentLength >= 0 {
		size = r.ContentLength
	}

	body, err := readBlocks(http.MaxBytesReader(w, r.Body, limit), size, c.hold)

	var tooLarge *http.MaxBytesError

	switch {
	case errors.As(err, &tooLarge):
		return nil, ErrTooLarge
	case err != nil:
		return nil, c.endError(err)
	case !c.endBody(len(body)):
		return nil, c.endError(ErrBusy)
	}

	return body, nil
}

// readBlocks reads up to the end of r, which is expected after size bytes. It calls hold before it
// takes memory, and returns ErrBusy if there is none.
func readBlocks(r io.Reader, size int64, hold func(int) bool) ([]byte, error) {
	var (
		full  [][]byte
		block []byte
		total int64
	)

	for {
		if len(block) == cap(block) {
			if block != nil {
				full = append(full, block)
			}

			// One more byte than expected shows the end.
			n := min(max(firstBlock, total), maxBlock, size-total+1)
			if n = max(n, 1); !hold(int(n)) {
				return nil, ErrBusy
			}

			block = make([]byte, 0, n)
		}

		n, err := r.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		total += int64(n)

		switch {
		case errors.Is(err, io.EOF):
			if len(full) == 0 {
				return block, nil
			}

			return bytes.Join(append(full, block), nil), nil
		case err != nil:
			return nil, err
		}
	}
}

// hold records that the request of a connection takes n more bytes. Without a connection there is no
// bound.
func (c *Conn) hold(n int) bool {
	if c == nil {
		return true
	}

	c.guard.mu.Lock()
	ok := c.guard.gate.Hold(c.guard.now(), c.client, int64(n))
	reason := c.client.Reason()
	c.guard.mu.Unlock()

	// What ended the client is recorded already.
	if !ok && reason == "" {
		c.guard.record("Refused", core.ReasonMemory, c.RemoteAddr())
	}

	return ok
}

// endBody records that a body of n bytes was read. It returns false if there is no memory to
// decode it.
func (c *Conn) endBody(n int) bool {
	if c == nil {
		return true
	}

	c.guard.mu.Lock()
	ok := c.guard.gate.EndBody(c.guard.now(), c.client, int64(n))
	reason := c.client.Reason()
	c.guard.mu.Unlock()

	if !ok && reason == "" {
		c.guard.record("Refused", core.ReasonMemory, c.RemoteAddr())
	}

	return ok
}

// endError returns the error for a body that was given up: the reason why the client was ended,
// if it was, or err.
func (c *Conn) endError(err error) error {
	if c == nil {
		return err
	}

	c.guard.mu.Lock()
	reason := c.client.Reason()
	c.guard.mu.Unlock()

	switch reason {
	case "":
		return err
	case core.ReasonBodyTime, core.ReasonBodyRate:
		return ErrTooSlow
	default:
		return ErrBusy
	}
}

// Refuse answers a request whose body could not be read, with an error of ReadBody. The request
// has had no effect.
func Refuse(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrTooLarge):
		setRefused(w.Header(), false)
		http.Error(w, ErrTooLarge.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrTooSlow):
		setRefused(w.Header(), false)
		http.Error(w, ErrTooSlow.Error(), http.StatusRequestTimeout)
	case errors.Is(err, ErrBusy):
		setRefused(w.Header(), true)
		http.Error(w, ErrBusy.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, "the body can't be read", http.StatusBadRequest)
	}
}

// refuseHeader answers a request for whose header there is no memory.
func (g *Guard) refuseHeader(c *Conn) {
	g.mu.Lock()
	reason := c.client.Reason()
	g.mu.Unlock()

	// The client itself may have been ended to make room, which is recorded already.
	if reason != "" {
		return
	}

	g.record("Refused", core.ReasonMemory, c.RemoteAddr())

	if g.answersHTTP {
		// The connection is closed in any case.
		_, _ = io.WriteString(c, refusal)
	}
}
