package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"trefoildeck/io/peer/peerpb"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
)

// ErrNoHello says that a connection ended before a Hello, or with another first frame.
var ErrNoHello = eris.New("no Hello")

// Server accepts sessions from peers.
type Server struct {
	// TLS is nil for plaintext.
	TLS *tls.Config
	// OnOpen is called with each session after its Hello. An error ends the
	// session.
	OnOpen func(*Session) error
	// OnFrame is called with each further frame, in order.
	OnFrame func(*Session, *peerpb.Frame)
	// OnClose is called once for each session that OnOpen accepted.
	OnClose func(*Session)
	// OnHello is called with each connection whose Hello has arrived. It may be nil.
	OnHello func(net.Conn)
	// MaxStreams bounds the streams that a peer opens and that are not accepted, and those that
	// are being opened to it; 0 for yamux's default.
	MaxStreams int
	// OnError is called with the error that ended a connection.
	OnError func(remote string, err error)
}

// Serve accepts sessions until ctx ends, then closes them all.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	var wg sync.WaitGroup
	defer wg.Wait()

	stop := context.AfterFunc(ctx, func() {
		// Accept returns net.ErrClosed after this.
		_ = l.Close()
	})
	defer stop()

	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}

		if err != nil {
			return fmt.Errorf("accept peer: %w", err)
		}

		wg.Go(func() {
			if err := s.serve(ctx, conn); err != nil && ctx.Err() == nil {
				s.OnError(conn.RemoteAddr().String(), err)
			}
		})
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) error {
	defer conn.Close()

	secured, err := s.handshake(ctx, conn)
	if err != nil {
		return err
	}

	joined := newCoalescer(secured)

	config := yamuxConfig()
	if s.MaxStreams > 0 {
		config.AcceptBacklog = s.MaxStreams
	}

	mux, err := yamux.Server(joined, config)
	if err != nil {
		return fmt.Errorf("start session: %w", err)
	}
	defer mux.Close()

	session, err := accept(ctx, mux, joined)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoHello, err)
	}

	if s.OnHello != nil {
		s.OnHello(conn)
	}

	if err := s.OnOpen(session); err != nil {
		return fmt.Errorf("open session: %w", err)
	}
	defer s.OnClose(session)

	return session.run(ctx, s.OnFrame)
}

func (s *Server) handshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if s.TLS == nil {
		return conn, nil
	}

	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()

	t := tls.Server(conn, s.TLS)
	if err := t.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("TLS handshake with peer: %w", err)
	}

	return t, nil
}

// accept waits for the control stream and the Hello on it.
func accept(ctx context.Context, mux *yamux.Session, conn *coalescer) (*Session, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()

	control, err := mux.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, fmt.Errorf("accept control stream: %w", err)
	}

	session := newSession(mux, control)

	if err := control.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, fmt.Errorf("set deadline: %w", err)
	}

	var f peerpb.Frame
	if err := readBounded(session.reader, &f, maxHello); err != nil {
		return nil, fmt.Errorf("read hello: %w", err)
	}

	if f.GetHello() == nil {
		return nil, eris.New("another frame")
	}

	session.Hello = f.GetHello()

	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("clear deadline: %w", err)
	}

	conn.endReadsAtClose(mux, control)

	return session, nil
}
