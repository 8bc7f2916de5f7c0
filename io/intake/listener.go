package intake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	core "trefoildeck/core/intake"
	"trefoildeck/io/admin"
)

const (
	// receiveBuffer is the receive buffer that is requested for each HTTP connection, in bytes. The
	// kernel keeps up to 24 kB of unread bytes with it, and 128 kB by default, which count
	// against the memory of the process. 24 kB a round trip of 40 ms are 0.6 MB a second.
	receiveBuffer = 16 << 10
	// backlogEighths is the number of connections that are not accepted yet, in eighths of those
	// that may be open. With connections that take 40% of the memory, the unread bytes of these
	// take 12%.
	backlogEighths = 5
	minBacklog     = 64
	// acceptPause is the delay after a connection could not be accepted for want of descriptors.
	acceptPause = 5 * time.Millisecond
	// lingerTime bounds the time for which a refused connection is kept open, and lingerBytes
	// what is read from it: closing it with unread bytes would destroy the answer.
	lingerTime  = 250 * time.Millisecond
	lingerBytes = 64 << 10
	// usualDescriptors is the limit of descriptors if it can't be read.
	usualDescriptors = 1024
)

// retryAfterSeconds is the delay after which a refused client should retry: the shortest in
// whole seconds, which HTTP requires.
const retryAfterSeconds = "1"

// refusal is the answer on a connection that is refused before a request is read.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + retryAfterSeconds +
	"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// DescriptorLimit returns how many descriptors the process may have open.
func DescriptorLimit() int64 {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return usualDescriptors
	}

	return int64(min(l.Cur, math.MaxInt32))
}

// listener accepts the connections that the guard admits.
type listener struct {
	net.Listener
	guard *Guard
}

// Listen returns a listener at an address, whose connections the guard watches over.
func (g *Guard) Listen(ctx context.Context, address string) (net.Listener, error) {
	return g.listen(ctx, address, func(uintptr) {})
}

// listen returns a listener whose socket was prepared.
func (g *Guard) listen(ctx context.Context, address string, prepare func(socket uintptr)) (net.Listener, error) {
	c := net.ListenConfig{
		Control: func(_, _ string, raw syscall.RawConn) error { return raw.Control(prepare) },
	}

	l, err := c.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}

	if t, ok := l.(*net.TCPListener); ok {
		g.limitBacklog(t)
	}

	return &listener{
		Listener: l,
		guard:    g,
	}, nil
}

// limitBacklog limits the connections that are not accepted yet, whose unread bytes count against
// the memory of the process.
func (g *Guard) limitBacklog(l *net.TCPListener) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}

	// Without it, the limit is the kernel's.
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.Listen(int(fd), max(minBacklog, g.Limits.Connections*backlogEighths/8))
	})
}

// limitReceiveBuffer limits the unread bytes of the connections of a listener.
func limitReceiveBuffer(socket uintptr) {
	// Without it, connections have the kernel's default.
	_ = syscall.SetsockoptInt(int(socket), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
}

// Serve protects an HTTP server and serves it at an address, as admin.Run does.
func (g *Guard) Serve(ctx context.Context, a netip.AddrPort, s *http.Server, drain time.Duration) error {
	l, err := g.listen(ctx, a.String(), limitReceiveBuffer)
	if err != nil {
		return err
	}

	g.protect(s)

	return admin.RunOn(ctx, l, s, drain)
}

// Accept implements net.Listener. It does not return while descriptors are short.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()

		switch {
		case err == nil:
			if c := l.guard.admit(conn); c != nil {
				return c, nil
			}
		case isTemporary(err):
			l.guard.record("Refused", core.ReasonConnections, l.Addr())
			time.Sleep(acceptPause)
		default:
			return nil, err
		}
	}
}

// isTemporary reports whether connections can be accepted again later.
func isTemporary(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}

	return false
}

// refuseConnection answers a connection that was not admitted, and closes it. If too many are
// being answered, it only closes it.
func (g *Guard) refuseConnection(conn net.Conn) {
	if !g.answersHTTP {
		_ = conn.Close()

		return
	}

	select {
	case g.lingering <- struct{}{}:
	default:
		_ = conn.Close()

		return
	}

	go func() {
		defer func() { <-g.lingering }()
		defer conn.Close()

		// A connection that can't be answered is closed all the same.
		_ = conn.SetDeadline(time.Now().Add(lingerTime))

		if _, err := io.WriteString(conn, refusal); err != nil {
			return
		}

		if c, ok := conn.(*net.TCPConn); ok && c.CloseWrite() == nil {
			_, _ = io.CopyN(io.Discard, conn, lingerBytes)
		}
	}()
}

// setRefused sets the headers of an answer to a refused request. The connection is closed, so
// that the rest of the request is not read.
func setRefused(h http.Header, retry bool) {
	h.Set("Connection", "close")

	if retry {
		h.Set("Retry-After", retryAfterSeconds)
	}
}
