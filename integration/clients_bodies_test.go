package integration_test

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"
)

const (
	callerPort       = ":8080"
	announcementPort = ":8082"
	// callerBodyBytes is the largest body of a caller, and announcementBytes that of an
	// announcement.
	callerBodyBytes   = 262_144
	announcementBytes = 4 << 20
	// crowdBodies is the number of callers of a crowd: 125 MB of bodies.
	crowdBodies = 500
	// crowdAnnouncements is the number of clients of a crowd at an agent: 160 MB of bodies.
	crowdAnnouncements = 40
	// completeEvery is how many clients there are to each that sends its body to the end.
	completeEvery = 10
	// smallChunk is the size of very small chunks, in bytes.
	smallChunk = 16
	// pieces is the number of pieces of a body that is sent piece by piece, with pieceGap
	// between two.
	pieces   = 16
	pieceGap = 50 * time.Millisecond
)

// bodyCrowd describes how the clients of a crowd send large bodies.
type bodyCrowd struct {
	// chunk is the size of a chunk in bytes, or 0 for a body with a Content-Length.
	chunk int
	// gap is the time between two of pieces parts of a body, 0 to send it whole.
	gap time.Duration
}

// bodyCrowds has the crowds of each address: chunked bodies in large and in very small chunks,
// and bodies of legal size, whole and piece by piece.
var bodyCrowds = map[string]bodyCrowd{
	"LargeChunks": {chunk: 64 << 10},
	"SmallChunks": {chunk: smallChunk},
	"Whole":       {},
	"Pieces":      {gap: pieceGap},
}

// request returns a request of a head, which has the first lines, and a body.
func (b bodyCrowd) request(head string, body []byte) []byte {
	var out bytes.Buffer

	out.WriteString(head)

	if b.chunk == 0 {
		fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n", len(body))
		out.Write(body)

		return out.Bytes()
	}

	out.WriteString("Transfer-Encoding: chunked\r\n\r\n")

	for len(body) > 0 {
		n := min(b.chunk, len(body))
		fmt.Fprintf(&out, "%x\r\n", n)
		out.Write(body[:n])
		out.WriteString("\r\n")
		body = body[n:]
	}

	return out.Bytes()
}

// send sends a request of client i. Most clients stop just short of its end.
func (b bodyCrowd) send(i int, c net.Conn, request []byte) error {
	if i%completeEvery != 0 {
		// A chunk's last bytes end its line.
		request = request[:len(request)-3]
	} else if b.chunk > 0 {
		request = append(request[:len(request):len(request)], "0\r\n\r\n"...)
	}

	if b.gap == 0 {
		_, err := c.Write(request)

		return err
	}

	for n := len(request)/pieces + 1; len(request) > 0; request = request[min(n, len(request)):] {
		if _, err := c.Write(request[:min(n, len(request))]); err != nil {
			return err
		}

		time.Sleep(b.gap)
	}

	return nil
}

// padded returns a JSON text with spaces after it.
func padded(text string, size int) []byte {
	return append([]byte(text), bytes.Repeat([]byte(" "), size-len(text))...)
}

// TestClientsCallerBodies checks that an entry stays within its memory when many callers send
// large bodies and stop short of their ends: it held all of them.
func TestClientsCallerBodies(t *testing.T) {
	for name, b := range bodyCrowds {
		t.Run(name, func(t *testing.T) {
			body := padded(`{"spec":"s","steps":[{"count":1,"cpu":100}]}`, callerBodyBytes)

			crowdedEntry(t, callerPort, crowdBodies, func(i int, c net.Conn) error {
				head := fmt.Sprintf("POST %s%016x HTTP/1.1\r\nHost: %s\r\nTimeout-Ms: 3000\r\n", hostedPrefix, i, hostedHost)

				return b.send(i, c, b.request(head, body))
			})
		})
	}
}

// TestClientsManySteps checks that an entry stays within its memory when many callers send
// bodies with very many tiny steps: each took many times its size when it was decoded.
func TestClientsManySteps(t *testing.T) {
	const clients = 25

	body := append([]byte(`{"spec":"s","steps":[{}`), bytes.Repeat([]byte(",{}"), callerBodyBytes/3-10)...)
	body = append(body, "]}"...)

	crowdedEntry(t, callerPort, clients, func(i int, c net.Conn) error {
		head := fmt.Sprintf("POST %s%016x HTTP/1.1\r\nHost: %s\r\nTimeout-Ms: 3000\r\n", hostedPrefix, i, hostedHost)
		_, err := c.Write(bodyCrowd{}.request(head, body))

		return err
	})
}

// TestClientsAnnouncements checks the same of an agent and announcements as
// TestClientsCallerBodies of an entry and callers' bodies.
func TestClientsAnnouncements(t *testing.T) {
	for name, b := range bodyCrowds {
		t.Run(name, func(t *testing.T) {
			body := padded(`{"service":"none","zone":"lannion","state":"ready","capacity":{},"seq":1}`, announcementBytes)

			crowdedAgent(t, announcementPort, crowdAnnouncements, func(i int, c net.Conn) error {
				return b.send(i, c, b.request("PUT "+announcementPath+" HTTP/1.1\r\nHost: agent\r\n", body))
			})
		})
	}
}

// TestClientsManyLabels checks that an agent stays within its memory when clients send
// announcements with very many labels: each took many times its size when it was decoded.
func TestClientsManyLabels(t *testing.T) {
	const clients = 8

	body := append([]byte(`{"service":"none","zone":"lannion","state":"ready","capacity":{},"seq":1,"labels":[""`),
		bytes.Repeat([]byte(`,""`), announcementBytes/3-100)...)
	body = append(body, "]}"...)

	crowdedAgent(t, announcementPort, clients, func(_ int, c net.Conn) error {
		_, err := c.Write(bodyCrowd{}.request("PUT "+announcementPath+" HTTP/1.1\r\nHost: agent\r\n", body))

		return err
	})
}
