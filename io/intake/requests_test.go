package intake

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	core "trefoildeck/core/intake"

	"gotest.tools/v3/assert"
)

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

// TestRefusedBody guards against a refusal that is not counted, and against memory that is charged for the
// rest of a request that was refused, which the server reads to be rid of it: a crowd that sends on would
// keep other clients from the memory.
func TestRefusedBody(t *testing.T) {
	noBodies := func(l *core.Limits) { l.Bodies = 0 }

	tests := map[string]struct {
		// before is a request that arrives together with the one that is refused.
		before, header string
		change         func(*core.Limits)
		status         int
	}{
		"NoBodies":  {"", "", noBodies, http.StatusServiceUnavailable},
		"Pipelined": {post(0, ""), "", noBodies, http.StatusServiceUnavailable},
		"Header":    {"", "Name: " + strings.Repeat("x", 20_000) + "\r\n", nil, http.StatusRequestHeaderFieldsTooLarge},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const (
					pieces = 20
					piece  = 10_000
				)

				l := testLimits()
				if c.change != nil {
					c.change(&l)
				}

				s := newServer(t, l, func() Header { return Header{Bytes: 16_384} }, 0)
				conn := s.dial()
				send(conn, c.before+fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\n%sContent-Length: %d\r\n\r\n", c.header, pieces*piece+1))

				if c.before != "" {
					status, _ := answer(conn)
					assert.Equal(t, status, http.StatusOK)
				}

				status, _ := answer(conn)
				assert.Equal(t, status, c.status)

				for range pieces {
					_, _ = io.WriteString(conn, strings.Repeat("x\n", piece/2))
				}

				synctest.Wait()
				s.guard.mu.Lock()
				_, held := s.guard.gate.Usage()
				s.guard.mu.Unlock()
				assert.Assert(t, held <= 30_000, "%d bytes are held", held)
				assert.Assert(t, held >= int64(len(c.header)), "%d bytes are held, and the header is still there", held)

				var metrics bytes.Buffer

				s.guard.Meter.Set.WritePrometheus(&metrics)
				assert.Assert(t, strings.Contains(metrics.String(), `what="Refused"`), metrics.String())

				time.Sleep(time.Minute)
				assertEmpty(t, s.guard)
			})
		})
	}
}

// TestEndedOnce guards against a client that is counted and logged twice, as closed and as refused, because
// its own header was the one that made room.
func TestEndedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLimits()
		l.Bytes = 15_000
		s := newServer(t, l, nil, 0)
		conn := s.dial()

		send(conn, "POST / HTTP/1.1\r\nName: "+strings.Repeat("x", 14_000))
		time.Sleep(time.Second)
		send(conn, strings.Repeat("x", 2000))

		status, _ := answer(conn)
		assert.Equal(t, status, 0)

		var metrics bytes.Buffer

		s.guard.Meter.Set.WritePrometheus(&metrics)
		assert.Assert(t, strings.Contains(metrics.String(), `what="Closed",reason="Memory"} 1`), metrics.String())
		assert.Assert(t, !strings.Contains(metrics.String(), `what="Refused"`), metrics.String())
	})
}
