package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy passes connections on to an address. While deaf is set, it passes on what callers send and
// drops the answers, with the connections open; such a connection delivers nothing afterwards either.
type proxy struct {
	address string
	deaf    atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(listen, to string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}

	p := &proxy{address: l.Addr().String(), conns: map[net.Conn]bool{}}

	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}

			go p.pass(c, to)
		}
	}()

	return p, nil
}

func (p *proxy) pass(c net.Conn, to string) {
	defer c.Close()

	s, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer s.Close()

	go func() {
		// The caller's end ends the other side too.
		defer s.Close()

		b := make([]byte, 64<<10)

		for {
			n, err := c.Read(b)
			if n > 0 {
				if _, err := s.Write(b[:n]); err != nil {
					return
				}
			}

			if err != nil {
				return
			}
		}
	}()

	b := make([]byte, 64<<10)
	lost := false

	for {
		n, err := s.Read(b)
		lost = lost || (n > 0 && p.deaf.Load())

		if n > 0 && !lost {
			if _, err := c.Write(b[:n]); err != nil {
				return
			}
		}

		if err != nil {
			return
		}
	}
}
