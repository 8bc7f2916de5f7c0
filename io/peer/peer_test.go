package peer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"trefoildeck/internal/guard"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"

	"github.com/hashicorp/yamux"
	"gotest.tools/v3/assert"
)

// pair is an accepted session whose dialling side serves requests, and the errors
// of the accepting side.
type pair struct {
	session *peer.Session
	errors  chan error
}

func connect(t *testing.T, onRequest func(context.Context, *peer.RequestStream)) *pair {
	t.Helper()

	p := &pair{errors: make(chan error, 16)}
	opened := make(chan *peer.Session, 1)
	server := &peer.Server{
		OnOpen: func(s *peer.Session) error {
			opened <- s

			return nil
		},
		OnFrame: func(*peer.Session, *peerpb.Frame) {},
		OnClose: func(*peer.Session) {},
		OnError: func(_ string, err error) { p.errors <- err },
	}

	address := serve(t, server)
	link := &peer.Link{
		Address:   address,
		Hello:     func() *peerpb.Hello { return &peerpb.Hello{Name: "a", Role: peer.RoleAgent} },
		OnOpen:    func(*peer.Session) {},
		OnFrame:   func(*peer.Session, *peerpb.Frame) {},
		OnClose:   func(*peer.Session) {},
		OnError:   func(error) {},
		OnRequest: onRequest,
	}

	go link.Run(t.Context())

	p.session = <-opened

	return p
}

func serve(t *testing.T, s *peer.Server) netip.AddrPort {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	done := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())

	go func() { done <- s.Serve(ctx, l) }()

	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})

	return netip.MustParseAddrPort(l.Addr().String())
}

func request(id string, data []byte, last bool) *peerpb.RequestHead {
	return &peerpb.RequestHead{
		ID:      id,
		Timeout: int64(time.Second),
		Data:    data,
		Last:    last,
	}
}

// TestFrameTooLarge checks that a frame that the peer would refuse is not sent, and that the
// session goes on: it ended, with all that was under way.
func TestFrameTooLarge(t *testing.T) {
	received := make(chan *peerpb.Frame, 1)
	opened := make(chan *peer.Session, 1)
	failed := make(chan error, 1)
	address := serve(t, &peer.Server{
		OnOpen:  func(*peer.Session) error { return nil },
		OnFrame: func(_ *peer.Session, f *peerpb.Frame) { received <- f },
		OnClose: func(*peer.Session) {},
		OnError: func(_ string, err error) { failed <- err },
	})
	link := &peer.Link{
		Address: address,
		Hello:   func() *peerpb.Hello { return &peerpb.Hello{Name: "a", Role: peer.RoleAgent} },
		OnOpen:  func(s *peer.Session) { opened <- s },
		OnFrame: func(*peer.Session, *peerpb.Frame) {},
		OnClose: func(*peer.Session) {},
		OnError: func(err error) { failed <- err },
	}

	go link.Run(t.Context())

	s := <-opened
	row := func(size int) *peerpb.Frame {
		return &peerpb.Frame{Body: &peerpb.Frame_Written{Written: &peerpb.StoreRow{Value: make([]byte, size)}}}
	}

	assert.ErrorIs(t, s.Send(row(peer.MaxFrame)), peer.ErrFrameTooLarge)
	assert.NilError(t, s.Send(row(1)))

	select {
	case f := <-received:
		assert.Equal(t, len(f.GetWritten().GetValue()), 1)
	case err := <-failed:
		t.Fatalf("the session ended: %v", err)
	}
}

// TestCall sends bodies of several sizes to a peer that echoes them, and checks
// that they return complete and in order.
func TestCall(t *testing.T) {
	p := connect(t, func(_ context.Context, r *peer.RequestStream) {
		defer r.Close()

		head, err := r.ReadHead()
		if err != nil || r.Answer(&peerpb.AnswerHead{ID: head.GetID(), Outcome: peer.OutcomeAnswered}) != nil {
			return
		}

		_ = r.SendBody(r.Body())
	})

	for _, size := range []int{0, 1, peer.ChunkSize - 1, peer.ChunkSize, 5*peer.ChunkSize + 3, 3 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			body := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]

			answer, err := p.session.Call(t.Context(), request("r", nil, false), bytes.NewReader(body))
			assert.NilError(t, err)

			got, err := io.ReadAll(answer.Body)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, body))
			assert.NilError(t, answer.Body.Close())
		})
	}
}

// TestFailedCalls checks the error of a call when the agent doesn't answer, answers
// another request or sends a truncated body.
func TestFailedCalls(t *testing.T) {
	cases := map[string]struct {
		serve func(*peer.RequestStream)
		// err is the error of the call, bodyErr that of reading the body.
		err     error
		bodyErr error
	}{
		"no answer": {
			serve: func(*peer.RequestStream) {},
			err:   peer.ErrAnswerLost,
		},
		"answer to another request": {
			serve: func(r *peer.RequestStream) { _ = r.Answer(&peerpb.AnswerHead{ID: "another"}) },
			err:   peer.ErrAnswerLost,
		},
		"truncated body": {
			serve: func(r *peer.RequestStream) {
				_ = r.Answer(&peerpb.AnswerHead{ID: "r", Data: []byte("half")})
			},
			bodyErr: peer.ErrTruncated,
		},
		"failing body": {
			serve: func(r *peer.RequestStream) {
				_ = r.Answer(&peerpb.AnswerHead{ID: "r"})
				_ = r.SendBody(io.MultiReader(strings.NewReader("half"), failing{}))
			},
			bodyErr: peer.ErrTruncated,
		},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := connect(t, func(_ context.Context, r *peer.RequestStream) {
				defer r.Close()

				if _, err := r.ReadHead(); err == nil {
					c.serve(r)
				}
			})

			answer, err := p.session.Call(t.Context(), request("r", nil, true), nil)
			assert.Assert(t, errors.Is(err, c.err), "%v", err)

			if err != nil {
				return
			}

			_, err = io.ReadAll(answer.Body)
			assert.Assert(t, errors.Is(err, c.bodyErr), "%v", err)
		})
	}
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestTruncatedRequest checks that a request with a truncated body never looks
// complete to the agent.
func TestTruncatedRequest(t *testing.T) {
	seen := make(chan error, 1)
	p := connect(t, func(_ context.Context, r *peer.RequestStream) {
		defer r.Close()

		if _, err := r.ReadHead(); err != nil {
			return
		}

		_, err := io.ReadAll(r.Body())
		seen <- err
	})

	_, err := p.session.Call(t.Context(), request("r", []byte("ha"), false), io.MultiReader(strings.NewReader("lf"), failing{}))
	assert.Assert(t, errors.Is(err, peer.ErrAnswerLost))
	assert.Assert(t, errors.Is(<-seen, peer.ErrTruncated))
}

// TestMalformedSessions checks that a connection on which no valid session is
// opened ends with an error, and that the server keeps accepting connections.
func TestMalformedSessions(t *testing.T) {
	cases := map[string][]byte{
		"nothing":     {},
		"text":        []byte("GET / HTTP/1.1\r\n\r\n"),
		"zeros":       make([]byte, 4096),
		"large frame": {0, 0, 0, 1, 0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff},
		"bad type":    {0, 9, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0},
	}

	failed := make(chan error, 16)
	address := serve(t, &peer.Server{
		OnOpen:  func(*peer.Session) error { return nil },
		OnFrame: func(*peer.Session, *peerpb.Frame) {},
		OnClose: func(*peer.Session) {},
		OnError: func(_ string, err error) { failed <- err },
	})

	for name, data := range cases {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", address.String())
			assert.NilError(t, err)

			_, err = c.Write(data)
			assert.NilError(t, err)
			assert.NilError(t, c.Close())
			assert.Assert(t, <-failed != nil)
		})
	}
}

// TestPanickingHandlers checks that a panic in the handler of a frame or of a request ends
// only the session or the stream that it came from, with an error that has the panic.
func TestPanickingHandlers(t *testing.T) {
	answered := make(chan error, 1)
	p := connect(t, func(_ context.Context, r *peer.RequestStream) {
		head, err := r.ReadHead()
		if err != nil {
			return
		}

		if head.GetID() == "bad" {
			panic("bad request")
		}

		answered <- r.Answer(&peerpb.AnswerHead{ID: head.GetID(), Last: true})
	})

	_, err := p.session.Call(t.Context(), request("bad", nil, true), nil)
	assert.ErrorIs(t, err, peer.ErrAnswerLost)

	_, err = p.session.Call(t.Context(), request("good", nil, true), nil)
	assert.NilError(t, err)
	// The caller may have the answer before the handler knows that it is sent.
	assert.NilError(t, <-answered)

	opened, failed := make(chan *peer.Session, 2), make(chan error, 1)
	address := serve(t, &peer.Server{
		OnOpen: func(s *peer.Session) error {
			opened <- s

			return nil
		},
		OnFrame: func(s *peer.Session, _ *peerpb.Frame) { panic("bad frame of " + s.Hello.GetName()) },
		OnClose: func(*peer.Session) {},
		OnError: func(_ string, err error) { failed <- err },
	})

	sessions := make(chan *peer.Session, 2)

	for _, name := range []string{"a", "b"} {
		link := &peer.Link{
			Address: address,
			Hello:   func() *peerpb.Hello { return &peerpb.Hello{Name: name} },
			OnOpen:  func(s *peer.Session) { sessions <- s },
			OnFrame: func(*peer.Session, *peerpb.Frame) {},
			OnClose: func(*peer.Session) {},
			OnError: func(error) {},
		}

		go link.Run(t.Context())
	}

	accepted := map[string]*peer.Session{}
	for range cap(opened) {
		one := <-opened
		accepted[one.Hello.GetName()] = one
	}

	bad, good := <-sessions, <-sessions
	assert.NilError(t, bad.Send(&peerpb.Frame{Body: &peerpb.Frame_Ping{Ping: &peerpb.Ping{}}}))

	err = <-failed
	assert.ErrorIs(t, err, guard.ErrPanic)
	assert.ErrorContains(t, err, "bad frame of "+bad.Hello.GetName())
	<-bad.Done()

	select {
	case <-accepted[good.Hello.GetName()].Done():
		t.Fatal("the other session ended too")
	default:
	}
}

// FuzzControl writes bytes to the control stream of a session and closes it. It
// checks that the server ends the session with an error, whatever the bytes are.
func FuzzControl(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{2, 0x0a, 0x00})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Add([]byte("\x05\x0a\x03\x0a\x01a\x04\x1a\x02\x08\x01"))

	f.Fuzz(func(t *testing.T, data []byte) {
		failed := make(chan error, 1)
		server := &peer.Server{
			OnOpen:  func(*peer.Session) error { return nil },
			OnFrame: func(*peer.Session, *peerpb.Frame) {},
			OnClose: func(*peer.Session) {},
			OnError: func(_ string, err error) { failed <- err },
		}
		address := serve(t, server)

		conn, err := net.Dial("tcp", address.String())
		assert.NilError(t, err)

		config := yamux.DefaultConfig()
		config.LogOutput = io.Discard

		mux, err := yamux.Client(conn, config)
		assert.NilError(t, err)

		stream, err := mux.OpenStream()
		assert.NilError(t, err)

		// These may fail: the server closes the connection as soon as it reads
		// something invalid.
		_, _ = stream.Write(data)
		_ = stream.Close()
		_ = mux.Close()

		assert.Assert(t, <-failed != nil)
	})
}
