package peer

import (
	"encoding/binary"
	"net"
)

// Fields of a yamux header: version, type, flags (2), stream (4), length (4).
const (
	muxHeaderSize = 12
	muxTypeOffset     = 1
	muxLengthOffset   = 8
	muxDataType   = 0
)

// coalescer joins the header that yamux writes for a data frame with the data
// that it writes next, so that a frame takes one system call, and one record
// with TLS, in place of two. Yamux writes from one goroutine.
type coalescer struct {
	net.Conn
	header []byte
}

func newCoalescer(c net.Conn) *coalescer {
	return &coalescer{
		Conn: c,
		header: make([]byte, 0, ChunkSize+muxHeaderSize),
	}
}

// Write implements io.Writer.
func (c *coalescer) Write(p []byte) (int, error) {
	if len(c.header) == 0 && isDataHeader(p) {
		c.header = append(c.header, p...)

		return len(p), nil
	}

	if len(c.header) == 0 {
		return c.Conn.Write(p)
	}

	c.header = append(c.header, p...)
	_, err := c.Conn.Write(c.header)
	c.header = c.header[:0]

	if err != nil {
		return 0, err
	}

	return len(p), nil
}

// isDataHeader reports whether data follows what is written.
func isDataHeader(p []byte) bool {
	return len(p) == muxHeaderSize && p[muxTypeOffset] == muxDataType && binary.BigEndian.Uint32(p[muxLengthOffset:]) > 0
}
