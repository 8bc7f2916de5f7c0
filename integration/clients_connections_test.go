package integration_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"

	"trefoildeck/io/peer"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protowire"
)

// peerPort is the port for sessions between the processes.
const peerPort = ":7720"

// crowdedAddress is an address of an entry or an agent.
type crowdedAddress struct {
	run  func(t *testing.T, port string, clients int, attack func(i int, c net.Conn) error)
	port string
}

// crowdedAddresses returns all addresses of both programs that speak HTTP.
func crowdedAddresses() map[string]crowdedAddress {
	return map[string]crowdedAddress{
		"Callers":       {crowdedEntry, callerPort},
		"Ready":         {crowdedEntry, ":8081"},
		"EntryMetrics":  {crowdedEntry, ":9464"},
		"Announcements": {crowdedAgent, announcementPort},
		"AgentMetrics":  {crowdedAgent, ":9464"},
	}
}

// TestClientsConnections checks that the descriptors of a process stay under their bound when
// many clients open connections and send no more than a part of a header: all were kept open.
func TestClientsConnections(t *testing.T) {
	for name, a := range crowdedAddresses() {
		t.Run(name, func(t *testing.T) {
			a.run(t, a.port, crowdConnections, func(_ int, c net.Conn) error {
				_, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n"))

				return err
			})
		})
	}
}

// TestClientsSilentPeers checks the same of the addresses for peers and connections on which
// nothing is sent.
func TestClientsSilentPeers(t *testing.T) {
	tests := map[string]crowdedAddress{
		"Entry": {crowdedEntry, peerPort},
		"Agent": {crowdedAgent, peerPort},
	}

	for name, a := range tests {
		t.Run(name, func(t *testing.T) {
			a.run(t, a.port, crowdConnections, func(int, net.Conn) error { return nil })
		})
	}
}

// TestClientsHeaders checks that a process stays within its memory when many clients send large
// headers without an end: up to 1 MB of each was held.
func TestClientsHeaders(t *testing.T) {
	const (
		clients     = 200
		headerBytes = 900_000
	)

	header := append([]byte("GET /metrics HTTP/1.1\r\nHost: a\r\n"), bytes.Repeat([]byte("Name: value\r\n"), headerBytes/13)...)

	for name, a := range crowdedAddresses() {
		t.Run(name, func(t *testing.T) {
			a.run(t, a.port, clients, func(_ int, c net.Conn) error {
				_, err := c.Write(header)

				return err
			})
		})
	}
}

// TestClientsHeaderLines checks that an entry stays within its memory when many callers send
// headers of legal size that have very many lines and no end: each took many times its size.
func TestClientsHeaderLines(t *testing.T) {
	const (
		clients     = 600
		headerBytes = 16_000
	)

	header := []byte("GET / HTTP/1.1\r\nHost: a\r\n")
	for i := 0; len(header) < headerBytes; i++ {
		header = fmt.Appendf(header, "%x:\r\n", i)
	}

	crowdedEntry(t, callerPort, clients, func(_ int, c net.Conn) error {
		_, err := c.Write(header)

		return err
	})
}

// TestClientsFrames checks that a process stays within its memory when many peers announce a
// first frame of the largest size and stop short of its end: all of each was held.
func TestClientsFrames(t *testing.T) {
	const clients = 150

	frame := append(protowire.AppendVarint(nil, peer.MaxFrame), make([]byte, peer.MaxFrame-1)...)

	tests := map[string]crowdedAddress{
		"Entry": {crowdedEntry, peerPort},
		"Agent": {crowdedAgent, peerPort},
	}

	for name, a := range tests {
		t.Run(name, func(t *testing.T) {
			a.run(t, a.port, clients, func(_ int, c net.Conn) error {
				config := yamux.DefaultConfig()
				config.LogOutput = io.Discard

				// The session reads from the connection until it is closed.
				mux, err := yamux.Client(c, config)
				if err != nil {
					return err
				}

				control, err := mux.OpenStream()
				if err != nil {
					return err
				}

				_, err = control.Write(frame)
				if err != nil {
					return err
				}

				<-mux.CloseChan()

				return net.ErrClosed
			})
		})
	}
}
