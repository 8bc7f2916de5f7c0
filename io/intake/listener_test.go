package intake

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"

	"trefoildeck/internal/metering"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

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

	// A request that is being handled keeps its connection, however slow the machine is.
	handling, release := make(chan struct{}), make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, bodyLimit)
		if err != nil {
			Refuse(w, err)

			return
		}

		if len(body) == 1 {
			close(handling)
			<-release
		}
	})}
	g.protect(s)

	go func() { _ = s.Serve(inner) }()
	defer func() { _ = s.Close() }()
	defer close(release)

	first, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)

	defer first.Close()

	send(first, post(bodyLimit, strings.Repeat("x", bodyLimit)))

	status, _ := answer(first)
	assert.Equal(t, status, http.StatusOK)

	send(first, post(1, "x"))
	<-handling

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
