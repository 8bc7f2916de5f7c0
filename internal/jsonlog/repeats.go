package jsonlog

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// repeatPeriod is the time in which further lines of one cause are counted.
const repeatPeriod = time.Second

// Repeats logs the first line of each event and cause, and counts the further ones
// within repeatPeriod of it, which follow as one line with their number. It keeps the
// volume of logs bounded where one cause rejects many requests. It is safe for
// concurrent use.
type Repeats struct {
	mu     sync.Mutex
	counts map[repeatKey]int
}

type repeatKey struct {
	event, cause string
}

// Log logs an event with its cause and fields to l, or counts it.
func (r *Repeats) Log(l *zap.Logger, level zapcore.Level, event, cause string, fields ...zap.Field) {
	k := repeatKey{event, cause}

	r.mu.Lock()
	n, repeated := r.counts[k]

	if repeated {
		r.counts[k] = n + 1
		r.mu.Unlock()

		return
	}

	if r.counts == nil {
		r.counts = map[repeatKey]int{}
	}

	r.counts[k] = 0
	r.mu.Unlock()

	l.Log(level, event, append(fields, zap.String("Cause", cause))...)
	time.AfterFunc(repeatPeriod, func() { r.flush(l, level, k) })
}

// flush logs how often an event was repeated.
func (r *Repeats) flush(l *zap.Logger, level zapcore.Level, k repeatKey) {
	r.mu.Lock()
	n := r.counts[k]
	delete(r.counts, k)
	r.mu.Unlock()

	if n > 0 {
		l.Log(level, k.event, zap.String("Cause", k.cause), zap.Int("Repeated", n))
	}
}
