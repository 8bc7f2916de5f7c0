// Package jsonlog writes structured logs as JSON lines without ever blocking
// the process: lines wait in a bounded queue, and what does not fit is dropped
// and counted.
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
	// queueLines is how many lines may wait for a slow reader: with lines of
	// some 300 bytes about 150 kB.
	queueLines = 512
	// linesPerSecond and burstLines bound the processor time that logs take: a
	// line costs about 10 us.
	linesPerSecond = 400
	burstLines     = 800
	// flushTime bounds the wait for the last lines at the end of a process.
	flushTime = 200 * time.Millisecond
)

// writer queues lines for a goroutine that writes them.
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

func (w *writer) run(out io.Writer) {
	defer close(w.done)

	for line := range w.queue {
		// Nobody can be told that the log can't be written.
		_, _ = out.Write(line)
	}
}

// Error is the field of an error, without the stack that some errors carry.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}

	return zap.String("Error", err.Error())
}

// New returns a log on out, and a function that writes what is queued. Log
// nothing after it.
func New(out io.Writer, level zapcore.Level) (*zap.Logger, func()) {
	w := &writer{
		queue: make(chan []byte, queueLines),
		limit: rate.NewLimiter(linesPerSecond, burstLines),
		done:  make(chan struct{}),
	}

	go w.run(out)

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
