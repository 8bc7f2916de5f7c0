package peer_test

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"gotest.tools/v3/assert"
)

// TestHello checks that OnHello is called for a Hello of usual size, and that a connection whose first
// frame is larger than any Hello, or isn't one, ends with ErrNoHello: anyone could make the process
// take 1 MiB.
func TestHello(t *testing.T) {
	tests := map[string]struct {
		frame *peerpb.Frame
		hello bool
	}{
		"Usual":    {&peerpb.Frame{Body: &peerpb.Frame_Hello{Hello: &peerpb.Hello{Name: "a"}}}, true},
		"TooLarge": {&peerpb.Frame{Body: &peerpb.Frame_Hello{Hello: &peerpb.Hello{Name: string(bytes.Repeat([]byte("a"), 70_000))}}}, false},
		"Other":    {&peerpb.Frame{Body: &peerpb.Frame_Ping{Ping: &peerpb.Ping{}}}, false},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			failed, hello := make(chan error, 1), make(chan net.Conn, 1)
			address := serve(t, &peer.Server{
				OnOpen:  func(*peer.Session) error { return nil },
				OnFrame: func(*peer.Session, *peerpb.Frame) {},
				OnClose: func(*peer.Session) {},
				OnHello: func(c net.Conn) { hello <- c },
				OnError: func(_ string, err error) { failed <- err },
			})

			stream, _ := openStream(t, address.String())
			// The server closes the connection when it has read the size of a large frame.
			_, _ = protodelim.MarshalTo(stream, c.frame)

			select {
			case <-hello:
				assert.Assert(t, c.hello, "the frame is taken for a Hello")
			case err := <-failed:
				assert.Assert(t, !c.hello)
				assert.ErrorIs(t, err, peer.ErrNoHello)
			}
		})
	}
}

// TestMaxStreams checks that a server resets the streams that a peer opens above MaxStreams: each may
// fill a window of 256 kB.
func TestMaxStreams(t *testing.T) {
	address := serve(t, &peer.Server{
		OnOpen:     func(*peer.Session) error { return nil },
		OnFrame:    func(*peer.Session, *peerpb.Frame) {},
		OnClose:    func(*peer.Session) {},
		OnError:    func(string, error) {},
		MaxStreams: 1,
	})

	control, mux := openStream(t, address.String())
	_, err := protodelim.MarshalTo(control, &peerpb.Frame{Body: &peerpb.Frame_Hello{Hello: &peerpb.Hello{Name: "a"}}})
	assert.NilError(t, err)

	reset := make(chan error, 10)

	for range cap(reset) {
		s, err := mux.OpenStream()
		assert.NilError(t, err)

		go func() {
			_ = s.SetReadDeadline(time.Now().Add(2 * time.Second))
			_, err := s.Read(make([]byte, 1))
			reset <- err
		}()
	}

	kept := 0

	for range cap(reset) {
		if err := <-reset; err == yamux.ErrTimeout {
			kept++
		}
	}

	assert.Assert(t, kept <= 1, "%d streams are kept", kept)
}

// openStream opens a session to an address, and its first stream.
func openStream(t *testing.T, address string) (*yamux.Stream, *yamux.Session) {
	t.Helper()

	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)

	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard

	mux, err := yamux.Client(conn, config)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = mux.Close() })

	stream, err := mux.OpenStream()
	assert.NilError(t, err)

	return stream, mux
}
