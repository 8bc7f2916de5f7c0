package intake

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	core "trefoildeck/core/intake"
	"trefoildeck/internal/metering"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

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
