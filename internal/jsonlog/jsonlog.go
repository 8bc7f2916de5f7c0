// Package jsonlog writes structured logs as JSON lines and never blocks the
// process: lines wait in a bounded queue, and lines that do not fit or exceed the
// rate limit are dropped and counted.
//
// # Usage
//
//	log, flush := jsonlog.New(os.Stdout, zapcore.InfoLevel)
//	defer flush()
package jsonlog

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// queueLines is how many lines may wait for a slow reader: about 150 kB at
	// 300 bytes a line.
	queueLines = 512
	// linesPerSecond and burstLines limit the processor time spent on logs: a
	// line takes about 10 µs.
	linesPerSecond = 400
	burstLines     = 800
	// flushTime bounds the wait for queued lines when the process exits.
	flushTime = 200 * time.Millisecond
)

// writer queues lines for the goroutine that writes them, and counts the lines it
// drops.
type writer struct {
	queue   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	// closing is closed when no more lines are written than those queued. The queue
	// itself is never closed, since goroutines that end late may still log.
	closing chan struct{}
	done    chan struct{}
	// last logs without the queue and the rate limit.
	last *zap.Logger
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (w *writer) Write(line []byte) (int, error) {
	if !w.limit.Allow() {
		w.dropped.Add(1)

		return len(line), nil
	}

	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}

	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *writer) Sync() error { return nil }

func (w *writer) writeQueued(out io.Writer) {
	defer close(w.done)

	for {
		// A failure to write the log can't be reported anywhere.
		select {
		case line := <-w.queue:
			_, _ = out.Write(line)
		case <-w.closing:
			w.writeLast(out)

			return
		}
	}
}

// writeLast writes the lines that are still queued, and the number of those dropped.
func (w *writer) writeLast(out io.Writer) {
	for len(w.queue) > 0 {
		_, _ = out.Write(<-w.queue)
	}

	if n := w.dropped.Load(); n > 0 {
		w.last.Warn("LinesDropped", zap.Int64("Count", n))
	}
}

// Error returns a field with an error's text, without the stack trace that some
// errors carry. For a nil error it returns a field that is left out.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}

	return zap.String("Error", err.Error())
}

// New returns a logger that writes to out, and a function that flushes the queue when
// the process ends. Lines that are logged after it may be lost.
func New(out io.Writer, level zapcore.Level) (*zap.Logger, func()) {
	c := zap.NewProductionEncoderConfig()
	c.TimeKey = "Time"
	c.LevelKey = "Level"
	c.MessageKey = "Event"
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder := zapcore.NewJSONEncoder(c)

	w := &writer{
		queue:   make(chan []byte, queueLines),
		limit:   rate.NewLimiter(linesPerSecond, burstLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
		last:    zap.New(zapcore.NewCore(encoder, zapcore.AddSync(out), level)),
	}

	go w.writeQueued(out)

	return zap.New(zapcore.NewCore(encoder, w, level)), func() {
		close(w.closing)

		select {
		case <-w.done:
		case <-time.After(flushTime):
		}
	}
}
