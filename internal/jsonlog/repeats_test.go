package jsonlog

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
)

// TestRepeats checks that lines of one cause are counted after the first, and that each
// cause is logged.
func TestRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var (
			b bytes.Buffer
			r Repeats
		)

		log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "Event"}), zapcore.Lock(zapcore.AddSync(&b)), zap.InfoLevel))

		for range 500 {
			r.Log(log, zap.InfoLevel, "StartRefused", "NoRoom", zap.Int("Attempt", 1))
			r.Log(log, zap.InfoLevel, "StartRefused", "NoLeader")
			time.Sleep(time.Millisecond)
		}

		time.Sleep(2 * repeatPeriod)

		assert.DeepEqual(t, strings.Split(strings.TrimSpace(b.String()), "\n")[:2], []string{
			`{"Event":"StartRefused","Attempt":1,"Cause":"NoRoom"}`,
			`{"Event":"StartRefused","Cause":"NoLeader"}`,
		})
		assert.Equal(t, strings.Count(b.String(), `"Repeated":499`), 2)
		assert.Equal(t, strings.Count(b.String(), "\n"), 4)

		b.Reset()
		r.Log(log, zap.InfoLevel, "StartRefused", "NoRoom")
		time.Sleep(2 * repeatPeriod)
		assert.Equal(t, strings.Count(b.String(), "\n"), 1)
	})
}
