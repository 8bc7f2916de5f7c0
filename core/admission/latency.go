package admission

import (
	"sync"
	"time"

	"trefoildeck/core/quantile"
)

// Reporting of an endpoint's latency.
const (
	reportedQuantile = 0.95
	initialLatency   = 10 * time.Millisecond
	// maxLatencyAge is how long a latency is reported after the last answer.
	maxLatencyAge = 5 * time.Second
)

// LatencyTracker estimates the 95th percentile of the latency of an endpoint's
// answers. It is safe for concurrent use.
type LatencyTracker struct {
	mu      sync.Mutex
	tracker quantile.Tracker
	lastAt  time.Time
}

// NewLatencyTracker returns a tracker that has seen no answer.
func NewLatencyTracker() *LatencyTracker {
	return &LatencyTracker{tracker: quantile.New(reportedQuantile, quantile.Fine, initialLatency)}
}

// Add records the latency of one answer.
func (l *LatencyTracker) Add(now time.Time, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.tracker.Add(d)
	l.lastAt = now
}

// Value returns the 95th percentile, or zero if the last answer is older than
// maxLatencyAge.
func (l *LatencyTracker) Value(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()

	if now.Sub(l.lastAt) > maxLatencyAge {
		return 0
	}

	return l.tracker.Value()
}
