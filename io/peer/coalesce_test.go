package peer

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"gotest.tools/v3/assert"
)

// stuckConn is a connection whose reads end only when it is released, and not when it is
// closed.
type stuckConn struct {
	net.Conn
	release chan struct{}
}

func (c stuckConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		<-c.release
	}

	return n, err
}

// TestReadsEndAtClose checks that reads of the control stream end as soon as the session is
// closed, and don't loop until the reader of the connection has ended.
func TestReadsEndAtClose(t *testing.T) {
	ours, theirs := net.Pipe()
	stuck := stuckConn{
		Conn:    ours,
		release: make(chan struct{}),
	}
	joined := newCoalescer(stuck)

	go func() {
		// The pipe is closed by the test.
		_, _ = io.Copy(io.Discard, theirs)
	}()

	mux, err := yamux.Client(joined, yamuxConfig())
	assert.NilError(t, err)

	control, err := mux.OpenStream()
	assert.NilError(t, err)
	joined.endReadsAtClose(mux, control)

	s := newSession(mux, control)
	ended := make(chan error, 1)

	go func() {
		_, err := s.reader.ReadByte()
		ended <- err
	}()
	go s.Close()

	select {
	case err := <-ended:
		assert.Assert(t, err != nil)
	case <-time.After(5 * time.Second):
		t.Error("the read has not ended")
	}

	close(stuck.release)
	<-mux.CloseChan()
}
