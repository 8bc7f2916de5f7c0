package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"trefoildeck/internal/guard"
	"trefoildeck/io/peer/peerpb"

	"github.com/hashicorp/yamux"
)

// Timeout and delays of dialling. A session that lasted longer than stableSession
// resets the delay to its minimum.
const (
	dialTimeout    = 2 * time.Second
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	stableSession  = 5 * time.Second
)

// Link keeps a session with a peer open and dials again whenever it ends.
type Link struct {
	Address netip.AddrPort
	// TLS is nil for plaintext.
	TLS *tls.Config
	// Hello returns the first message of a new session.
	Hello func() *peerpb.Hello
	// OnOpen is called with each new session.
	OnOpen func(*Session)
	// OnFrame is called with each frame, in order.
	OnFrame func(*Session, *peerpb.Frame)
	// OnClose is called when a session has ended.
	OnClose func(*Session)
	// OnRequest is called for each request, in the goroutine of its stream. If it
	// is nil, streams for requests are closed.
	OnRequest func(context.Context, *RequestStream)
	// OnError is called with the error that ended a session or prevented it.
	OnError func(error)
}

// Run keeps a session open until ctx ends.
func (l *Link) Run(ctx context.Context) {
	delay := minRedialDelay

	for ctx.Err() == nil {
		began := time.Now()

		if err := l.runSession(ctx); err != nil && ctx.Err() == nil {
			l.OnError(err)
		}

		if time.Since(began) > stableSession {
			delay = minRedialDelay
		}

		// Jitter prevents all processes that lost the same peer from dialling it at
		// the same time.
		jittered := delay/2 + rand.N(delay)
		delay = min(2*delay, maxRedialDelay)

		select {
		case <-ctx.Done():
		case <-time.After(jittered):
		}
	}
}

func (l *Link) runSession(ctx context.Context) error {
	conn, err := l.dial(ctx)
	if err != nil {
		return err
	}
	defer conn.Close()

	joined := newCoalescer(conn)

	mux, err := yamux.Client(joined, yamuxConfig())
	if err != nil {
		return fmt.Errorf("start session: %w", err)
	}
	defer mux.Close()

	control, err := mux.OpenStream()
	if err != nil {
		return fmt.Errorf("open control stream: %w", err)
	}

	joined.endReadsAtClose(mux, control)

	s := newSession(mux, control)
	s.Hello = l.Hello()

	if err := writeMessage(control, &peerpb.Frame{Body: &peerpb.Frame_Hello{Hello: s.Hello}}); err != nil {
		return fmt.Errorf("send hello: %w", err)
	}

	l.OnOpen(s)
	defer l.OnClose(s)

	go l.acceptStreams(ctx, mux)

	return s.run(ctx, l.OnFrame)
}

func (l *Link) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()

	var d net.Dialer

	conn, err := d.DialContext(ctx, "tcp", l.Address.String())
	if err != nil {
		return nil, fmt.Errorf("dial peer: %w", err)
	}

	if l.TLS == nil {
		return conn, nil
	}

	t := tls.Client(conn, l.TLS)
	if err := t.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(fmt.Errorf("TLS handshake with peer: %w", err), conn.Close())
	}

	return t, nil
}

// serveRequests serves the requests on a stream one after the other.
func (l *Link) serveRequests(ctx context.Context, stream *yamux.Stream) {
	r := &RequestStream{
		stream: stream,
		reader: bufio.NewReaderSize(stream, bufferBytes),
	}
	defer r.Close()

	for r.next() {
		err := guard.Call(func() error {
			l.OnRequest(ctx, r)

			return nil
		})
		if err != nil {
			l.OnError(fmt.Errorf("serve request: %w", err))

			return
		}
	}
}

func (l *Link) acceptStreams(ctx context.Context, mux *yamux.Session) {
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			return
		}

		if l.OnRequest == nil {
			// Only agents run requests.
			_ = stream.Close()

			continue
		}

		go l.serveRequests(ctx, stream)
	}
}
