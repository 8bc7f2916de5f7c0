// Package quantile tracks a quantile of a stream in constant space.
//
// # Usage
//
//	q := quantile.New(0.95, quantile.Fine, 50*time.Millisecond)
//	q.Add(latency)
//	delay := q.Value()
//
// Each value above the estimate multiplies the estimate by 1+step*share, and each
// other value multiplies it by 1-step*(1-share), so that it converges to the value
// that the given share of values is below (Robbins-Monro stochastic approximation).
package quantile

import "time"

// Steps of a tracker, as fractions of the estimate. With the coarse step the
// estimate follows a change within a dozen values, with the fine step it varies
// less.
const (
	Fine   = 0.05
	Coarse = 0.3
)

// Bounds of the estimate.
const (
	minValue = 100 * time.Microsecond
	maxValue = 10 * time.Minute
)

// Tracker estimates one quantile. It is not safe for concurrent use.
type Tracker struct {
	share float64
	step  float64
	value time.Duration
}

// New returns a tracker of a quantile: the value below which a share of all values
// lies, where share is between 0 and 1. The initial estimate is first, and step is
// usually Fine or Coarse.
func New(share, step float64, first time.Duration) Tracker {
	return Tracker{
		share: share,
		step:  step,
		value: first,
	}
}

// Add updates the estimate with a value.
func (t *Tracker) Add(d time.Duration) {
	move := float64(t.value) * t.step
	if d > t.value {
		t.value += time.Duration(move * t.share)
	} else {
		t.value -= time.Duration(move * (1 - t.share))
	}

	t.value = min(max(t.value, minValue), maxValue)
}

// Value returns the current estimate.
func (t *Tracker) Value() time.Duration {
	return t.value
}
