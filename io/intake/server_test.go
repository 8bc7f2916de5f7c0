package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	core "trefoildeck/core/intake"
	"trefoildeck/internal/metering"

	"go.uber.org/zap"
)

// bodyLimit is the largest body that the tests' handler reads.
const bodyLimit = 262_144

func testLimits() core.Limits {
	return core.Limits{
		Connections:      20,
		Bytes:            10 << 20,
		Bodies:           20,
		BodiesPerAddress: 20,
		HeaderTime:       3 * time.Second,
		IdleTime:         15 * time.Second,
		BodyTime:         6 * time.Second,
		BodyGrace:        3 * time.Second,
		BodyRate:         16 << 10,
	}
}

// pipeListener accepts the connections that dial opens, which need no network, so that time can
// be simulated.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	// failures are returned before the first connection.
	failures []error
}

func (l *pipeListener) Accept() (net.Conn, error) {
	if len(l.failures) > 0 {
		err := l.failures[0]
		l.failures = l.failures[1:]

		return nil, err
	}

	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })

	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// server is a protected server of a test.
type server struct {
	t        *testing.T
	guard    *Guard
	listener *pipeListener
	// ran has the bodies of the requests that were run.
	mu  sync.Mutex
	ran []string
}

// newServer starts a server that runs a request if its body can be read, for as long as work says.
func newServer(t *testing.T, l core.Limits, inForce func() Header, work time.Duration) *server {
	t.Helper()

	began := time.Now()
	s := &server{
		t: t,
		guard: New(Options{
			Name:    "Test",
			Limits:  l,
			InForce: inForce,
			Log:     zap.NewNop(),
			Meter:   metering.New(),
		}),
		listener: &pipeListener{
			conns: make(chan net.Conn),
			done:  make(chan struct{}),
		},
	}
	s.guard.now = func() time.Duration { return time.Since(began) }

	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, bodyLimit)
		if err != nil {
			Refuse(w, err)

			return
		}

		select {
		case <-time.After(work):
		case <-r.Context().Done():
		}

		s.mu.Lock()
		s.ran = append(s.ran, string(body))
		s.mu.Unlock()
	})}
	s.guard.protect(server)

	go func() {
		_ = server.Serve(&listener{
			Listener: s.listener,
			guard:    s.guard,
		})
	}()

	t.Cleanup(func() { _ = server.Close() })

	return s
}

func (s *server) dial() net.Conn {
	ours, theirs := net.Pipe()
	s.listener.conns <- theirs
	s.t.Cleanup(func() { _ = ours.Close() })

	return ours
}

// send writes a text, which the server may stop reading.
func send(c net.Conn, text string) {
	go func() { _, _ = io.WriteString(c, text) }()
}

// answer returns the status of an answer and its header, 0 if the connection is closed without one.
func answer(c net.Conn) (int, http.Header) {
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil
	}
	defer a.Body.Close()

	_, _ = io.Copy(io.Discard, a.Body)

	return a.StatusCode, a.Header
}

// post returns a request with a Content-Length and a body.
func post(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, body)
}
