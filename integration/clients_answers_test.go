package integration_test

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
)

// TestClientsEscapedText checks that an entry stays within its memory when many callers send bodies
// whose text takes six times its size in a row of the store.
func TestClientsEscapedText(t *testing.T) {
	const clients = 60

	text := `{"spec":"s","steps":[{"count":1,"cpu":100,"image":"%s"}]}`
	body := fmt.Appendf(nil, text, strings.Repeat("<", callerBodyBytes-len(text)))

	crowdedEntry(t, callerPort, clients, func(i int, c net.Conn) error {
		head := fmt.Sprintf("POST %s%016x HTTP/1.1\r\nHost: %s\r\nTimeout-Ms: 3000\r\n", hostedPrefix, i, hostedHost)
		_, err := c.Write(bodyCrowd{}.request(head, body))

		return err
	})
}

// TestClientsLargeHeaders checks that an entry stays within its memory when many callers send whole
// headers of legal size with very many lines, and no bodies.
func TestClientsLargeHeaders(t *testing.T) {
	const (
		clients     = 600
		headerBytes = 16_000
	)

	header := fmt.Appendf(nil, "POST %s%016x HTTP/1.1\r\nHost: %s\r\nContent-Length: 100\r\n", hostedPrefix, 1, hostedHost)
	for i := 0; len(header) < headerBytes; i++ {
		header = fmt.Appendf(header, "%x:\r\n", i)
	}

	header = append(header, "\r\n"...)

	crowdedEntry(t, callerPort, clients, func(_ int, c net.Conn) error {
		_, err := c.Write(header)

		return err
	})
}

// TestClientsUnreadAnswers checks that a process stays within its memory when many clients send
// requests one after the other and read no answer.
func TestClientsUnreadAnswers(t *testing.T) {
	const (
		clients  = 600
		requests = 3000
	)

	paths := map[string]string{
		"Callers":       hostedPrefix,
		"EntryMetrics":  "/metrics",
		"AgentMetrics":  "/metrics",
		"Announcements": announcementPath,
		"Ready":         "/",
	}

	for name, a := range crowdedAddresses() {
		t.Run(name, func(t *testing.T) {
			one := fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", paths[name], hostedHost)
			all := bytes.Repeat(one, requests)

			a.run(t, a.port, clients, func(_ int, c net.Conn) error {
				if err := c.(*net.TCPConn).SetReadBuffer(1 << 10); err != nil {
					return err
				}

				// The writer would wait for as long as nothing reads.
				go func() { _, _ = c.Write(all) }()

				return nil
			})
		})
	}
}
