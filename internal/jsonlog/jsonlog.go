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
	done    chan struct{}
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

	for line := range w.queue {
		// A failure to write the log can't be reported anywhere.
		_, _ = out.Write(line)
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

// New returns a logger that writes to out, and a function that flushes and closes
// the queue. The logger must not be used after it.
func New(out io.Writer, level zapcore.Level) (*zap.Logger, func()) {
	w := &writer{
		queue: make(chan []byte, queueLines),
		limit: rate.NewLimiter(linesPerSecond, burstLines),
		done:  make(chan struct{}),
	}

	go w.writeQueued(out)

	c := zap.NewProductionEncoderConfig()
	c.TimeKey = "Time"
	c.LevelKey = "Level"
	c.MessageKey = "Event"
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder

	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), w, level)
	log := zap.New(core)

	return log, func() {
		if n := w.dropped.Load(); n > 0 {
			log.Warn("LinesDropped", zap.Int64("Count", n))
		}

		close(w.queue)

		select {
		case <-w.done:
		case <-time.After(flushTime):
		}
	}
}
