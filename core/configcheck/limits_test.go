package configcheck

import (
	"testing"
	"time"

	"trefoildeck/core/config"
)

// TestContradictions checks that limits that can't both be kept are reported.
func TestContradictions(t *testing.T) {
	runCases(t, map[string]caseOf{
		"TargetAboveTimeout": {
			change:   first(func(q *config.Queue) { q.TargetLatency = 4 * time.Second }),
			problems: []string{"[route plain] TargetLatencyMS: found 4000, above the time-out; allowed: less than the time-out of 3000"},
		},
		"TargetIsTimeout": {
			change:   first(func(q *config.Queue) { q.TargetLatency = 3 * time.Second }),
			problems: []string{"[route plain] TargetLatencyMS: found 3000, which leaves nothing of the time-out for a job's own work"},
		},
		"AlwaysLate": {
			change:   first(func(q *config.Queue) { q.TargetLatency, q.Stretch = 0, 1 }),
			warnings: []string{"[route plain] TargetLatencyMS: found 0 with a stretch of 1"},
		},
		"HeaderAboveIdle": {
			change:   func(s *Source, _ *Context) { s.Configuration.Limits.HeaderTimeout = 16 * time.Second },
			problems: []string{"[limits] HeaderTimeoutMS: found a header time-out of 16000 above an idle time-out of 15000"},
		},
		"HeaderAboveDefaultIdle": {
			change:   limits(func(l *config.Limits, _ *Process) { l.HeaderTimeout, l.IdleTimeout = 16*time.Second, 0 }),
			problems: []string{"[limits] HeaderTimeoutMS: found a header time-out of 16000 above an idle time-out of 15000"},
		},
		"IdleBelowDefaultHeader": {
			change:   limits(func(l *config.Limits, _ *Process) { l.HeaderTimeout, l.IdleTimeout = 0, 2*time.Second }),
			problems: []string{"[limits] IdleTimeoutMS: found a header time-out of 3000 above an idle time-out of 2000; allowed: at least HeaderTime of entry.ini"},
		},
		"BodyAboveRow": {
			change:   limits(func(_ *config.Limits, p *Process) { p.RowBytes = 262143 }),
			warnings: []string{"[limits] MaxBodyBytes: found 262144; allowed: up to 262143, a row of the store"},
		},
		"DefaultBodyAboveRow": {
			change: limits(func(l *config.Limits, p *Process) {
				l.BodyBytes = 0
				p.RowBytes = 64 << 10
			}),
			warnings: []string{"[limits] MaxBodyBytes: found no limit, for which 262144 applies; allowed: up to 65536"},
		},
		"BodyAboveMemory": {
			change:   limits(func(l *config.Limits, p *Process) { l.BodyBytes, p.BodyBytes = 600<<10, 512<<10 }),
			problems: []string{"[limits] MaxBodyBytes: found 614400; allowed: up to 524288, for which there is memory"},
		},
		"HeaderAboveProcess": {
			change:   limits(func(l *config.Limits, _ *Process) { l.HeaderBytes = 64<<10 + 1 }),
			problems: []string{"[limits] MaxHeaderBytes: found 65537; allowed: up to 65536"},
		},
	})
}
