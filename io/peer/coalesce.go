package peer

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// Layout of a yamux header: version (1 byte), type (1), flags (2), stream id (4),
// length (4).
const (
	muxHeaderSize   = 12
	muxTypeOffset   = 1
	muxLengthOffset = 8
	muxDataType     = 0
)

// coalescer joins the header that yamux writes for a data frame with the data that
// it writes next, so that a frame takes one system call, and one TLS record,
// instead of two. It needs no lock because yamux writes from a single goroutine.
type coalescer struct {
	net.Conn
	// buffer holds a data frame's header until its data is written.
	buffer []byte
	// control is the stream whose reads end when the connection is closed.
	control atomic.Pointer[yamux.Stream]
}

func newCoalescer(c net.Conn) *coalescer {
	return &coalescer{
		Conn:   c,
		buffer: make([]byte, 0, ChunkSize+muxHeaderSize),
	}
}

// Close implements io.Closer. yamux calls it when it has shut a session down and before it
// closes the session's streams, for which it waits until the reader of the connection has
// ended. Until then, a read of a stream without a deadline doesn't wait but loops, and with
// one core nothing else runs until it is preempted.
func (c *coalescer) Close() error {
	if s := c.control.Load(); s != nil {
		endReads(s)
	}

	return c.Conn.Close()
}

// endReadsAtClose makes Close end the reads of a stream.
func (c *coalescer) endReadsAtClose(mux *yamux.Session, control *yamux.Stream) {
	c.control.Store(control)

	if mux.IsClosed() {
		endReads(control)
	}
}

func endReads(s *yamux.Stream) {
	// Setting a deadline never fails.
	_ = s.SetReadDeadline(time.Unix(1, 0))
}

// Write implements io.Writer.
func (c *coalescer) Write(p []byte) (int, error) {
	if len(c.buffer) == 0 && isDataHeader(p) {
		c.buffer = append(c.buffer, p...)

		return len(p), nil
	}

	if len(c.buffer) == 0 {
		return c.Conn.Write(p)
	}

	c.buffer = append(c.buffer, p...)
	_, err := c.Conn.Write(c.buffer)
	c.buffer = c.buffer[:0]

	if err != nil {
		return 0, err
	}

	return len(p), nil
}

// isDataHeader reports whether p is the header of a frame with data.
func isDataHeader(p []byte) bool {
	return len(p) == muxHeaderSize && p[muxTypeOffset] == muxDataType && binary.BigEndian.Uint32(p[muxLengthOffset:]) > 0
}
