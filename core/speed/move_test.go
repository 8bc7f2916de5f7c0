package speed_test

import (
	"testing"
	"time"

	"trefoildeck/core/speed"

	"gotest.tools/v3/assert"
)

// TestGain checks which runs on a worker that is 8 times slower are moved. A move that costs more
// than it gains makes the job later: a stop takes 0.9 s and the work since the last checkpoint is
// lost.
func TestGain(t *testing.T) {
	tests := map[string]struct {
		move speed.Move
		pays bool
	}{
		"JustStarted": {speed.Move{
			Done:     0.05,
			Speed:    0.125,
			Duration: time.Second,
		}, true},
		"NearlyDone": {speed.Move{
			Done:     0.9,
			Speed:    0.125,
			Duration: time.Second,
		}, false},
		"Short": {speed.Move{
			Done:     0.1,
			Speed:    0.125,
			Duration: 150 * time.Millisecond,
		}, false},
		"Checkpoint": {speed.Move{
			Done:     0.5,
			Saved:    0.4,
			Speed:    0.125,
			Duration: 3 * time.Second,
		}, true},
		"NoCheckpoint": {speed.Move{
			Done:     0.7,
			Speed:    0.125,
			Duration: 3 * time.Second,
		}, false},
		// The worker will be faster again before the task would have been repeated.
		"Long": {speed.Move{
			Done:     0.3,
			Speed:    0.125,
			Duration: 20 * time.Second,
		}, false},
		"LongWithCheckpoint": {speed.Move{
			Done:     0.3,
			Saved:    0.28,
			Speed:    0.125,
			Duration: 20 * time.Second,
		}, true},
		"Stopped": {speed.Move{
			Duration: time.Second,
		}, true},
		"Sound": {speed.Move{
			Saved:    0.5,
			Done:     0.5,
			Speed:    1,
			Duration: 3 * time.Second,
		}, false},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			gain, pays := c.move.Gain()
			assert.Equal(t, pays, c.pays, "gain %v", gain)
		})
	}
}
