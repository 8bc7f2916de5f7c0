// Package peer is the protocol between the system's own processes: agents dial
// entries, entries dial each other, and the leader of the coordinators dials all
// sidecars and other coordinators (the nodes of trefoildeck-node). A session is a
// yamux session. Its first stream is the control stream, which carries Frames
// both ways. Each further stream is opened by the side that accepted the session
// and carries requests one after the other.
//
// # Usage
//
// The accepting side:
//
//	server := peer.Server{OnOpen: …, OnFrame: …, OnClose: …, OnError: …}
//	err := server.Serve(ctx, listener)
//
// The dialling side:
//
//	link := peer.Link{
//		Address: address, Hello: hello,
//		OnOpen: …, OnFrame: …, OnClose: …, OnRequest: …, OnError: …,
//	}
//	link.Run(ctx) // dials again until ctx ends
package peer

import (
	"bufio"
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Limits of a session.
const (
	// MaxFrame is the largest encoded message, in bytes.
	MaxFrame = 1 << 20
	// maxHello is the largest encoded Hello, in bytes: anyone may send one.
	maxHello = 64 << 10
	// ChunkSize is the size of one chunk of a body, in bytes.
	ChunkSize = 32 << 10
	// keepAliveInterval and writeTimeout bound how long a dead connection goes
	// unnoticed: a keep-alive probe that is not answered within writeTimeout ends
	// the session.
	keepAliveInterval = 500 * time.Millisecond
	writeTimeout      = time.Second
	// helloTimeout bounds the wait for the first message of a stream.
	helloTimeout = 3 * time.Second
	// closeTimeout bounds the wait for the other side to close a stream.
	closeTimeout = 30 * time.Second
	// sendQueueFrames is the capacity of a session's send queue.
	sendQueueFrames = 1024
	bufferBytes     = 4 << 10
)

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = true
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = closeTimeout
	c.StreamCloseTimeout = closeTimeout
	c.LogOutput = io.Discard

	return c
}

// readMessage reads one length-delimited message of bounded size.
func readMessage(r *bufio.Reader, m proto.Message) error { return readBounded(r, m, MaxFrame) }

// readBounded reads one length-delimited message of at most limit bytes.
func readBounded(r *bufio.Reader, m proto.Message, limit int64) error {
	options := protodelim.UnmarshalOptions{MaxSize: limit}
	if err := options.UnmarshalFrom(r, m); err != nil {
		return fmt.Errorf("read message: %w", err)
	}

	return nil
}

// writeMessage writes one length-delimited message with a single Write, so that on
// a stream it is a single yamux frame.
func writeMessage(w io.Writer, m proto.Message) error {
	size := proto.Size(m)
	buffer := make([]byte, 0, size+protowire.SizeVarint(uint64(size)))
	buffer = protowire.AppendVarint(buffer, uint64(size))

	buffer, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buffer, m)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}

	if _, err := w.Write(buffer); err != nil {
		return fmt.Errorf("write message: %w", err)
	}

	return nil
}
