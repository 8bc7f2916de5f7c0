package peer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"trefoildeck/internal/guard"
	"trefoildeck/io/peer/peerpb"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// ErrQueueFull says that the send queue is full because the peer reads too slowly.
// The session ends.
var ErrQueueFull = eris.New("the peer reads too slowly")

// ErrFrameTooLarge says that a frame was not sent since the peer would end the session at it.
var ErrFrameTooLarge = eris.New("the frame is too large")

// Session is a session with a peer, on either side of the connection.
type Session struct {
	// Hello is the first message of the side that dialled.
	Hello *peerpb.Hello
	// Remote is the address of the other side.
	Remote string

	mux     *yamux.Session
	control net.Conn
	reader  *bufio.Reader
	queue   chan *peerpb.Frame

	// lastFrameAt is when the last frame was received, in Unix nanoseconds.
	lastFrameAt atomic.Int64
	closeOnce   sync.Once

	idleMu sync.Mutex
	idle   []*callStream
	closed chan struct{}
}

func newSession(mux *yamux.Session, control net.Conn) *Session {
	s := &Session{
		Remote:  mux.RemoteAddr().String(),
		mux:     mux,
		control: control,
		reader:  bufio.NewReaderSize(control, bufferBytes),
		queue:   make(chan *peerpb.Frame, sendQueueFrames),
		closed:  make(chan struct{}),
	}
	s.lastFrameAt.Store(time.Now().UnixNano())

	return s
}

// Silence is the time since the last frame from the peer.
func (s *Session) Silence() time.Duration {
	return time.Duration(time.Now().UnixNano() - s.lastFrameAt.Load())
}

// Send queues a frame. It never blocks: if the queue is full, the session ends and
// the error is ErrQueueFull. A frame above MaxFrame is not sent, and the error is
// ErrFrameTooLarge.
func (s *Session) Send(f *peerpb.Frame) error {
	if n := proto.Size(f); n > MaxFrame {
		return fmt.Errorf("send frame of %d bytes, at most %d: %w", n, MaxFrame, ErrFrameTooLarge)
	}

	select {
	case <-s.closed:
		return fmt.Errorf("send frame: %w", net.ErrClosed)
	default:
	}

	select {
	case s.queue <- f:
		return nil
	default:
		s.Close()

		return fmt.Errorf("send frame: %w", ErrQueueFull)
	}
}

// Close ends the session at once.
func (s *Session) Close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		// A session that fails to close is of no further use.
		_ = s.mux.Close()
	})
}

// Done is closed once the session has ended.
func (s *Session) Done() <-chan struct{} {
	return s.closed
}

// RoundTripTime measures the round-trip time to the peer.
func (s *Session) RoundTripTime() (time.Duration, error) {
	d, err := s.mux.Ping()
	if err != nil {
		return 0, fmt.Errorf("ping peer: %w", err)
	}

	return d, nil
}

// run writes queued frames and passes received ones to onFrame until the session
// ends.
func (s *Session) run(ctx context.Context, onFrame func(*Session, *peerpb.Frame)) error {
	defer s.Close()

	stop := context.AfterFunc(ctx, s.Close)
	defer stop()

	go s.writeFrames()

	for {
		var f peerpb.Frame
		if err := readMessage(s.reader, &f); err != nil {
			return err
		}

		s.lastFrameAt.Store(time.Now().UnixNano())

		err := guard.Call(func() error {
			onFrame(s, &f)

			return nil
		})
		if err != nil {
			return fmt.Errorf("handle frame: %w", err)
		}
	}
}

func (s *Session) writeFrames() {
	defer s.Close()

	w := bufio.NewWriterSize(s.control, bufferBytes)

	for {
		select {
		case <-s.closed:
			return
		case f := <-s.queue:
			if s.writeBatch(w, f) != nil {
				return
			}
		}
	}
}

// writeBatch writes a frame and all others that are queued, then flushes once.
func (s *Session) writeBatch(w *bufio.Writer, f *peerpb.Frame) error {
	for {
		if err := writeMessage(w, f); err != nil {
			return err
		}

		select {
		case f = <-s.queue:
		default:
			if err := w.Flush(); err != nil {
				return fmt.Errorf("flush frames: %w", err)
			}

			return nil
		}
	}
}
