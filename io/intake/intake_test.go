package intake

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	core "trefoildeck/core/intake"
	"trefoildeck/internal/metering"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
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

// TestRefused checks the answers to requests that exceed a limit, and that none of them is run.
func TestRefused(t *testing.T) {
	many := strings.Repeat("x", 100_000)

	tests := map[string]struct {
		request string
		change  func(*core.Limits)
		status  int
		retry   string
	}{
		"Stalled":      {post(bodyLimit, "x"), nil, http.StatusRequestTimeout, ""},
		"StalledLater": {post(bodyLimit, many), nil, http.StatusRequestTimeout, ""},
		"StalledChunk": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", nil, http.StatusRequestTimeout, ""},
		"TooLarge":     {post(bodyLimit+1, "x"), nil, http.StatusRequestEntityTooLarge, ""},
		"ChunkTooLarge": {
			"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("186a0\r\n"+many+"\r\n", 3),
			nil, http.StatusRequestEntityTooLarge, "",
		},
		"Memory":        {post(len(many), many), func(l *core.Limits) { l.Bytes = 64 << 10 }, http.StatusServiceUnavailable, "1"},
		"NoBodies":      {post(1, "x"), func(l *core.Limits) { l.Bodies = 0 }, http.StatusServiceUnavailable, "1"},
		"NoConnections": {post(1, "x"), func(l *core.Limits) { l.Connections = -100 }, http.StatusServiceUnavailable, "1"},
		"HeaderMemory":  {"POST / HTTP/1.1\r\nName: " + many[:5000], func(l *core.Limits) { l.Bytes = 2000 }, http.StatusServiceUnavailable, "1"},
		"HeaderInForce": {"POST / HTTP/1.1\r\nHost: a\r\nName: " + many[:20_000] + "\r\n\r\n", nil, http.StatusRequestHeaderFieldsTooLarge, ""},
		"HeaderAtAll":   {"POST / HTTP/1.1\r\nHost: a\r\nName: " + many, nil, http.StatusRequestHeaderFieldsTooLarge, ""},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := testLimits()
				if c.change != nil {
					c.change(&l)
				}

				s := newServer(t, l, func() Header { return Header{Bytes: 16_384} }, 0)
				conn := s.dial()
				send(conn, c.request)

				status, header := answer(conn)
				assert.Equal(t, status, c.status)
				assert.Equal(t, header.Get("Retry-After"), c.retry)
				assert.Equal(t, len(s.ran), 0)

				_ = conn.Close()

				time.Sleep(time.Minute)
				assertEmpty(t, s.guard)
			})
		})
	}
}

// assertEmpty checks that a guard has no clients and holds nothing.
func assertEmpty(t *testing.T, g *Guard) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()

	connections, held := g.gate.Usage()
	assert.Equal(t, connections, 0)
	assert.Equal(t, held, int64(0))
}

// TestBodies checks that bodies of all sizes around those of the buffers are read as they were sent,
// one after the other on a connection, with a Content-Length or in chunks.
func TestBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, testLimits(), nil, 0)
		conn := s.dial()

		var want []string

		for _, n := range []int{0, 1, firstBlock - 1, firstBlock, firstBlock + 1, 2 * firstBlock, 3*firstBlock + 7, maxBlock, maxBlock + 1, bodyLimit} {
			body := make([]byte, n)
			for i := range body {
				body[i] = byte('a' + i%23)
			}

			want = append(want, string(body), string(body))

			send(conn, post(n, string(body)))

			status, _ := answer(conn)
			assert.Equal(t, status, http.StatusOK)

			chunks := ""
			if n > 0 {
				chunks = fmt.Sprintf("%x\r\n%s\r\n", n, body)
			}

			send(conn, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"+chunks+"0\r\n\r\n")

			status, _ = answer(conn)
			assert.Equal(t, status, http.StatusOK, "%d bytes in chunks", n)
		}

		assert.DeepEqual(t, s.ran, want)
		_ = conn.Close()
		synctest.Wait()
		assertEmpty(t, s.guard)
	})
}

// TestSlowBody checks that a body of the largest size that takes 2.9 s is run.
func TestSlowBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pieces = 29

		s := newServer(t, testLimits(), nil, 0)
		conn := s.dial()

		go func() {
			_, _ = io.WriteString(conn, post(pieces*9000, ""))

			for range pieces {
				time.Sleep(100 * time.Millisecond)

				_, _ = io.WriteString(conn, strings.Repeat("x", 9000))
			}
		}()

		status, _ := answer(conn)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, len(s.ran), 1)
	})
}

// TestHeld checks that a request whose body was read is answered however long it takes.
func TestHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, testLimits(), nil, 10*time.Minute)
		conn := s.dial()
		send(conn, post(1, "x"))

		status, _ := answer(conn)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, len(s.ran), 1)
	})
}

// TestTimesInForce checks that connections are closed when the times of the configuration in force
// are over, without an answer.
func TestTimesInForce(t *testing.T) {
	tests := map[string]struct {
		sent  []string
		after time.Duration
	}{
		"Silent": {nil, time.Second},
		"Header": {[]string{"POST / HTTP"}, time.Second},
		"Idle":   {[]string{post(1, "x")}, 5 * time.Second},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newServer(t, testLimits(), func() Header { return Header{Time: time.Second, Idle: 5 * time.Second} }, 0)
				conn := s.dial()
				began := time.Now()

				for _, text := range c.sent {
					send(conn, text)
				}

				if name == "Idle" {
					status, _ := answer(conn)
					assert.Equal(t, status, http.StatusOK)
				}

				status, _ := answer(conn)
				assert.Equal(t, status, 0)

				took := time.Since(began)
				assert.Assert(t, took > c.after && took < c.after+2*sweepPeriod, "%s", took)
			})
		})
	}
}

// TestUnreadAnswer checks that a client that doesn't read its answer is closed.
func TestUnreadAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, testLimits(), nil, 0)
		conn := s.dial()
		send(conn, post(1, "x"))
		time.Sleep(writeTime + time.Second)
		synctest.Wait()
		assertEmpty(t, s.guard)
	})
}

// TestStalledMakeRoom checks that clients that stop short of the ends of their bodies lose their
// places to one that sends, and that they are told so.
func TestStalledMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLimits()
		l.Bytes = 1 << 20
		s := newServer(t, l, nil, 0)

		var stalled []net.Conn

		for range 10 {
			c := s.dial()
			send(c, post(bodyLimit, strings.Repeat("x", bodyLimit-1)))

			stalled = append(stalled, c)

			time.Sleep(time.Millisecond)
		}

		time.Sleep(time.Second)

		conn := s.dial()
		send(conn, post(bodyLimit, strings.Repeat("x", bodyLimit)))

		status, _ := answer(conn)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, len(s.ran), 1)

		refused := 0

		for _, c := range stalled {
			if status, header := answer(c); status == http.StatusServiceUnavailable {
				assert.Equal(t, header.Get("Retry-After"), "1")

				refused++
			}
		}

		assert.Assert(t, refused > 0)
		assert.Equal(t, len(s.ran), 1)
	})
}

// TestDescriptorsShort checks that a listener goes on when connections can't be accepted for want of
// descriptors, which ended the process at the address for peers.
func TestDescriptorsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Options{
			Name:   "Test",
			Limits: testLimits(),
			Log:    zap.NewNop(),
			Meter:  metering.New(),
		})
		inner := &pipeListener{
			conns:    make(chan net.Conn, 1),
			done:     make(chan struct{}),
			failures: []error{&net.OpError{Err: syscall.EMFILE}, &net.OpError{Err: syscall.ECONNABORTED}},
		}
		l := listener{
			Listener: inner,
			guard:    g,
		}

		ours, theirs := net.Pipe()
		defer ours.Close()

		inner.conns <- theirs

		c, err := l.Accept()
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
		assert.NilError(t, l.Close())

		_, err = l.Accept()
		assert.Assert(t, errors.Is(err, net.ErrClosed))
	})
}

// TestListen checks over the loopback network that a request is answered, that a connection above
// the limit gets a refusal, and that the limits of the socket don't keep the listener from working.
func TestListen(t *testing.T) {
	l := testLimits()
	l.Connections = 1
	g := New(Options{
		Name:   "Test",
		Limits: l,
		Log:    zap.NewNop(),
		Meter:  metering.New(),
	})

	inner, err := g.listen(t.Context(), "127.0.0.1:0", limitReceiveBuffer)
	assert.NilError(t, err)

	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(w, r, bodyLimit); err != nil {
			Refuse(w, err)
		}
	})}
	g.protect(s)

	go func() { _ = s.Serve(inner) }()
	defer func() { _ = s.Close() }()

	first, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)

	defer first.Close()

	send(first, post(bodyLimit, strings.Repeat("x", bodyLimit)))

	status, _ := answer(first)
	assert.Equal(t, status, http.StatusOK)

	send(first, post(2, "x"))
	time.Sleep(50 * time.Millisecond)

	second, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)

	defer second.Close()

	send(second, post(1, "x"))

	status, header := answer(second)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, header.Get("Retry-After"), "1")

	var metrics bytes.Buffer
	g.Meter.Set.WritePrometheus(&metrics)
	assert.Assert(t, strings.Contains(metrics.String(), `trefoildeck_intake_total{listener="Test",what="Refused",reason="Connections"} 1`), metrics.String())
}

// BenchmarkRequest measures an ordinary request over the loopback network, with and without a guard
// beside as many clients as an entry of 284 MB admits.
func BenchmarkRequest(b *testing.B) {
	body := strings.Repeat("x", 2000)

	for _, protected := range []bool{false, true} {
		b.Run(fmt.Sprintf("Protected=%t", protected), func(b *testing.B) {
			l := testLimits()
			l.Connections = 2500
			g := New(Options{
				Name:   "Test",
				Limits: l,
				Log:    zap.NewNop(),
				Meter:  metering.New(),
			})

			var c net.ListenConfig

			inner, err := c.Listen(context.Background(), "tcp", "127.0.0.1:0")
			assert.NilError(b, err)

			s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := ReadBody(w, r, bodyLimit); err != nil {
					Refuse(w, err)
				}
			})}

			if protected {
				g.protect(s)

				inner = &listener{
					Listener: inner,
					guard:    g,
				}
			}

			go func() { _ = s.Serve(inner) }()
			defer func() { _ = s.Close() }()

			url := "http://" + inner.Addr().String()

			for b.Loop() {
				a, err := http.Post(url, "", strings.NewReader(body))
				assert.NilError(b, err)

				_, _ = io.Copy(io.Discard, a.Body)
				_ = a.Body.Close()
			}
		})
	}
}

// BenchmarkGuard measures only what the guard adds to a request on a connection that is kept open.
func BenchmarkGuard(b *testing.B) {
	l := testLimits()
	l.Connections = 2500
	g := New(Options{
		Name:   "Test",
		Limits: l,
		Log:    zap.NewNop(),
		Meter:  metering.New(),
	})

	ours, theirs := net.Pipe()
	defer ours.Close()

	c := g.admit(theirs)
	received := make([]byte, 2300)

	for b.Loop() {
		g.receive(c, received)

		if g.beginBody(c) != "" || !c.hold(2000) || !c.endBody(2000) {
			b.Fatal("refused")
		}

		g.update(c, g.gate.BeginWrite)
		g.update(c, func(_ time.Duration, o *core.Client) { g.gate.EndWrite(o) })
		g.update(c, g.gate.Idle)
	}
}
