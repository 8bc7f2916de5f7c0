package peer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"trefoildeck/io/peer/peerpb"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
)

// ErrQueueFull says that a peer reads too slowly; its session ends.
var ErrQueueFull = eris.New("the peer reads too slowly")

// Session is one session with a peer, on either side.
type Session struct {
	// Hello is what the dialling side said of itself.
	Hello *peerpb.Hello
	// Remote is the address of the other side.
	Remote string

	mux     *yamux.Session
	control net.Conn
	reader  *bufio.Reader
	queue   chan *peerpb.Frame

	// lastFrameAt is when the last frame came, in nanoseconds since 1970.
	lastFrameAt      atomic.Int64
	closeOnce sync.Once

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

// Silence is the time since the last frame of the peer.
func (s *Session) Silence() time.Duration {
	return time.Duration(time.Now().UnixNano() - s.lastFrameAt.Load())
}

// Send queues a frame. It never blocks: a session whose queue is full ends.
func (s *Session) Send(f *peerpb.Frame) error {
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
		// Nothing can be done about a session that fails to close.
		_ = s.mux.Close()
	})
}

// Done is closed once the session has ended.
func (s *Session) Done() <-chan struct{} {
	return s.closed
}

// RoundTripTime measures the time to the peer and back.
func (s *Session) RoundTripTime() (time.Duration, error) {
	d, err := s.mux.Ping()
	if err != nil {
		return 0, fmt.Errorf("ping peer: %w", err)
	}

	return d, nil
}

// run writes queued frames and hands received ones over until the session ends.
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
		onFrame(s, &f)
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

// writeBatch writes a frame and what else is queued, then flushes once.
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
