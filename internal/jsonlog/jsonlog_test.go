package jsonlog

import (
	"bytes"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
)

// TestLogAfterFlush checks that a goroutine that ends late may log after the flush.
func TestLogAfterFlush(t *testing.T) {
	var b bytes.Buffer

	log, flush := New(&b, zapcore.InfoLevel)
	log.Info("Stopped")
	flush()
	log.Info("NodeLost")

	assert.Assert(t, strings.Contains(b.String(), `"Event":"Stopped"`), b.String())
}

// TestLinesDropped checks that the number of lines above the rate limit is logged at
// the end, although the limit is still reached then.
func TestLinesDropped(t *testing.T) {
	var b bytes.Buffer

	log, flush := New(&b, zapcore.InfoLevel)

	for range burstLines + 3*linesPerSecond {
		log.Info("Line", zap.Int("Number", 1))
	}

	flush()
	assert.Assert(t, strings.Contains(b.String(), `"Event":"LinesDropped"`))
}
