package admission

import (
	"sync"
	"time"

	"trefoildeck/core/quantile"
)

// What is reported of an endpoint's latency.
const (
	reportedShare = 0.95
	firstLatency  = 10 * time.Millisecond
	// latencyFresh is how long a latency is reported after the last answer.
	latencyFresh = 5 * time.Second
)

// LatencyTracker tracks a high quantile of an endpoint's answers.
type LatencyTracker struct {
	mu      sync.Mutex
	tracker quantile.Tracker
	last    time.Time
}

// NewLatencyTracker returns a tracker without answers.
func NewLatencyTracker() *LatencyTracker {
	return &LatencyTracker{tracker: quantile.New(reportedShare, quantile.Fine, firstLatency)}
}

// Add takes in the latency of one answer.
func (l *LatencyTracker) Add(now time.Time, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.tracker.Add(d)
	l.last = now
}

// Value returns the quantile, or zero where there were no answers of late.
func (l *LatencyTracker) Value(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()

	if now.Sub(l.last) > latencyFresh {
		return 0
	}

	return l.tracker.Value()
}
