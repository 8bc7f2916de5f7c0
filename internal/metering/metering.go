// Package metering has the counters and histograms that a process on the platform
// serves on its metrics address.
//
// # Usage
//
//	m := metering.New()
//	m.Count("tasks_placed_total")
//	m.Observe(took, "requests", "kind", "Submit", "outcome", "Accepted")
package metering

import (
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// prefix is the prefix of all metric names.
const prefix = "trefoildeck_"

// Meter is a set of counters and histograms.
type Meter struct {
	Set *metrics.Set
}

// New returns a meter without metrics; each is created at its first use.
func New() *Meter {
	return &Meter{Set: metrics.NewSet()}
}

// Count adds one to a counter. Labels are given as pairs of name and value. Label
// values must be constants of the program and never text from callers, since each
// value is a series of its own.
func (m *Meter) Count(name string, labels ...string) {
	m.Set.GetOrCreateCounter(prefix + name + formatLabels(labels)).Inc()
}

// Add adds n to a counter.
func (m *Meter) Add(n int, name string, labels ...string) {
	m.Set.GetOrCreateCounter(prefix + name + formatLabels(labels)).Add(n)
}

// Gauge sets a value that may rise and fall.
func (m *Meter) Gauge(v float64, name string, labels ...string) {
	m.Set.GetOrCreateGauge(prefix+name+formatLabels(labels), nil).Set(v)
}

// Observe adds a duration to the histogram NAME_seconds and one to the counter
// NAME_total.
func (m *Meter) Observe(took time.Duration, name string, labels ...string) {
	all := formatLabels(labels)
	m.Set.GetOrCreateHistogram(prefix + name + "_seconds" + all).Update(took.Seconds())
	m.Set.GetOrCreateCounter(prefix + name + "_total" + all).Inc()
}

func formatLabels(labels []string) string {
	if len(labels) == 0 {
		return ""
	}

	var pairs []string
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}

	return "{" + strings.Join(pairs, ",") + "}"
}
