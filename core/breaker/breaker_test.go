package breaker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBreaker checks that the breaker opens at the second failure in a row, keeps
// the time of that, and closes at a success.
func TestBreaker(t *testing.T) {
	var b Breaker

	assert.Assert(t, !b.Report(0, false))

	_, open := b.Open()
	assert.Assert(t, !open, "open after a single failure")

	assert.Assert(t, b.Report(time.Second, false))
	assert.Assert(t, !b.Report(2*time.Second, false))

	since, open := b.Open()
	assert.Assert(t, open)
	assert.Equal(t, since, time.Second)

	assert.Assert(t, b.Report(3*time.Second, true))

	_, open = b.Open()
	assert.Assert(t, !open)
}
