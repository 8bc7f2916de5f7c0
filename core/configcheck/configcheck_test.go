package configcheck

import (
	"strings"
	"testing"
	"time"

	"trefoildeck/core/config"

	"gotest.tools/v3/assert"
)

const inForceFile = "in-force.json"

// newSource returns a configuration without problems and warnings.
func newSource() Source {
	return Source{
		File: "next.json",
		Configuration: &config.Configuration{
			Version: 4,
			Queues:  []config.Queue{newQueue("plain", "/plain/"), newQueue("filling", "/filling/")},
			Services: []config.Service{
				{Name: "orders"},
				{
					Name:    "reserve",
					Standby: true,
				},
			},
			Limits: config.Limits{
				HeaderBytes:   16384,
				BodyBytes:     262144,
				HeaderTimeout: 3 * time.Second,
				IdleTimeout:   15 * time.Second,
			},
		},
		Names: Names{
			FieldPathPrefix:  "prefix",
			FieldMaxAttempts: "attempts",
		},
	}
}

func newQueue(name, prefix string) config.Queue {
	return config.Queue{
		Name:          name,
		Host:          "jobs.example",
		Prefix:        prefix,
		Service:       "orders",
		MaxAttempts:   3,
		Stretch:       1.5,
		TargetLatency: 250 * time.Millisecond,
		Timeout:       3 * time.Second,
	}
}

func newProcess() *Process {
	return &Process{
		File:             "entry.ini",
		RowBytes:         640 << 10,
		HeaderBytes:      64 << 10,
		BodyBytes:        2 << 20,
		DefaultBodyBytes: 262144,
		HeaderTime:       3 * time.Second,
		IdleTime:         15 * time.Second,
	}
}

// caseOf is a change of newSource, and the beginnings of all problems and warnings that it leads to.
type caseOf struct {
	change   func(*Source, *Context)
	problems []string
	warnings []string
}

// first returns a change of the first route.
func first(f func(*config.Queue)) func(*Source, *Context) {
	return func(s *Source, _ *Context) { f(&s.Configuration.Queues[0]) }
}

// second returns a change of the second route.
func second(f func(*config.Queue)) func(*Source, *Context) {
	return func(s *Source, _ *Context) { f(&s.Configuration.Queues[1]) }
}

// limits returns a change of the limits, which are compared with those of a process.
func limits(f func(*config.Limits, *Process)) func(*Source, *Context) {
	return func(s *Source, c *Context) {
		c.Process = newProcess()
		f(&s.Configuration.Limits, c.Process)
	}
}

func runCases(t *testing.T, cases map[string]caseOf) {
	t.Helper()

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var with Context

			s := newSource()
			c.change(&s, &with)

			r := Check(s, with)
			assertLines(t, r.Problems.Error(), c.problems)
			assertLines(t, r.Warnings.Error(), c.warnings)
		})
	}
}

// assertLines checks that text has a line for each beginning, and no other.
func assertLines(t *testing.T, text string, beginnings []string) {
	t.Helper()

	var lines []string
	if text != "" {
		lines = strings.Split(text, "\n")
	}

	assert.Equal(t, len(lines), len(beginnings), "%s", text)

	for i, b := range beginnings {
		want := "next.json: " + b
		assert.Assert(t, strings.HasPrefix(lines[i], want), "got %q, want %q", lines[i], want)
	}
}

// TestClean checks that ordinary configurations have neither problems nor warnings. False reports
// would keep a valid configuration from being sent.
func TestClean(t *testing.T) {
	runCases(t, map[string]caseOf{
		"AsItIs":        {change: func(*Source, *Context) {}},
		"Process":       {change: limits(func(*config.Limits, *Process) {})},
		"HigherVersion": {change: func(_ *Source, c *Context) { c.InForce = &config.Configuration{Version: 3} }},
		"RootPrefix":    {change: first(func(q *config.Queue) { q.Prefix = "/" })},
		"LongerPrefix":  {change: second(func(q *config.Queue) { q.Prefix = "/plain/more/" })},
		"OtherHost":     {change: second(func(q *config.Queue) { q.Prefix, q.Host = "/plain/", "more.example" })},
		"IPv4":          {change: first(func(q *config.Queue) { q.Host = "10.1.0.3" })},
		"IPv6":          {change: first(func(q *config.Queue) { q.Host = "::1" })},
		"NoTimeout":     {change: first(func(q *config.Queue) { q.Timeout, q.TargetLatency = 0, time.Hour })},
		"NoLimits":      {change: limits(func(l *config.Limits, _ *Process) { *l = config.Limits{} })},
		"EqualTimes":    {change: limits(func(l *config.Limits, _ *Process) { l.IdleTimeout = l.HeaderTimeout })},
		"Agent": {change: limits(func(l *config.Limits, p *Process) {
			l.HeaderBytes = 1 << 20
			*p = Process{RowBytes: p.RowBytes}
		})},
	})
}

// TestInvalid checks that each value that the processes accept and that can't be meant is reported,
// with the entry and the field.
func TestInvalid(t *testing.T) {
	runCases(t, map[string]caseOf{
		"NegativeVersion": {
			change:   func(s *Source, _ *Context) { s.Configuration.Version = -1 },
			problems: []string{"[configuration] Version: found -1"},
		},
		"SameVersion": {
			change: func(_ *Source, c *Context) {
				c.InForce = &config.Configuration{Version: 4}
				c.InForceFile = inForceFile
			},
			problems: []string{"[configuration] Version: found 4; allowed: a version above 4, the one in " + inForceFile},
		},
		"LowerVersion": {
			change:   func(_ *Source, c *Context) { c.InForce = &config.Configuration{Version: 9} },
			problems: []string{"[configuration] Version: found 4; allowed: a version above 9"},
		},
		"NoName": {
			change:   first(func(q *config.Queue) { q.Name = "" }),
			problems: []string{`[route number 1] Name: found ""`},
		},
		"SameName": {
			change:   second(func(q *config.Queue) { q.Name = "plain" }),
			problems: []string{"[route plain, number 2] Name: found the name of number 1"},
		},
		"NoServiceName": {
			change:   func(s *Source, _ *Context) { s.Configuration.Services[1].Name = "" },
			problems: []string{`[service number 2] Name: found ""`},
		},
		"SameServiceName": {
			change:   func(s *Source, _ *Context) { s.Configuration.Services[1].Name = "orders" },
			problems: []string{"[service orders, number 2] Name: found the name of number 1"},
		},
		"NameOnTwoLines": {
			change:   first(func(q *config.Queue) { q.Name, q.Stretch = "a\n]", 0 }),
			problems: []string{`[route "a\n]"] Stretch: found 0`},
		},
		"NegativePriority": {
			change:   first(func(q *config.Queue) { q.Priority = -1 }),
			problems: []string{"[route plain] Priority: found -1; allowed: 0 to 100"},
		},
		"LargePriority": {
			change:   first(func(q *config.Queue) { q.Priority = 101 }),
			problems: []string{"[route plain] Priority: found 101"},
		},
		"NoAttempts": {
			change:   second(func(q *config.Queue) { q.MaxAttempts = 0 }),
			problems: []string{"[route filling] attempts: found 0; allowed: 1 to 100"},
		},
		"ManyAttempts": {
			change:   second(func(q *config.Queue) { q.MaxAttempts = 101 }),
			problems: []string{"[route filling] attempts: found 101"},
		},
		"SmallStretch": {
			change:   first(func(q *config.Queue) { q.Stretch = 0.99 }),
			problems: []string{"[route plain] Stretch: found 0.99; allowed: 1 to 100"},
		},
		"LargeStretch": {
			change:   first(func(q *config.Queue) { q.Stretch = 150 }),
			problems: []string{"[route plain] Stretch: found 150"},
		},
		"NegativeTarget": {
			change:   first(func(q *config.Queue) { q.TargetLatency = -time.Millisecond }),
			problems: []string{"[route plain] TargetLatencyMS: found -1"},
		},
		"LongTarget": {
			change:   first(func(q *config.Queue) { q.Timeout, q.TargetLatency = 0, 25*time.Hour }),
			problems: []string{"[route plain] TargetLatencyMS: found 90000000"},
		},
		"NegativeTimeout": {
			change:   first(func(q *config.Queue) { q.Timeout = -time.Second }),
			problems: []string{"[route plain] TimeoutMS: found -1000"},
		},
		"NoService": {
			change:   first(func(q *config.Queue) { q.Service = "" }),
			problems: []string{`[route plain] Service: found ""`},
		},
		"UnknownService": {
			change:   first(func(q *config.Queue) { q.Service = "order" }),
			problems: []string{`[route plain] Service: found "order", which does not exist`},
		},
		"NoLeadingSlash": {
			change:   first(func(q *config.Queue) { q.Prefix = "plain/" }),
			problems: []string{`[route plain] prefix: found "plain/"`},
		},
		"NoTrailingSlash": {
			change:   first(func(q *config.Queue) { q.Prefix = "/plain" }),
			problems: []string{`[route plain] prefix: found "/plain"`},
		},
		"EmptyPrefix": {
			change:   first(func(q *config.Queue) { q.Prefix = "" }),
			problems: []string{`[route plain] prefix: found ""`},
		},
		"NegativeLimits": {
			change: func(s *Source, _ *Context) {
				s.Configuration.Limits = config.Limits{
					HeaderBytes:   -1,
					BodyBytes:     -2,
					HeaderTimeout: -3 * time.Millisecond,
					IdleTimeout:   -4 * time.Millisecond,
				}
			},
			problems: []string{
				"[limits] MaxHeaderBytes: found -1", "[limits] MaxBodyBytes: found -2",
				"[limits] HeaderTimeoutMS: found -3", "[limits] IdleTimeoutMS: found -4",
			},
		},
		"LongIdleTimeout": {
			change:   limits(func(l *config.Limits, _ *Process) { l.IdleTimeout = 2 * time.Hour }),
			problems: []string{"[limits] IdleTimeoutMS: found 7200000; allowed: 0 to 3600000"},
		},
	})
}

// TestDefects checks that what the decoder found is reported with its entry, and that nothing else
// is derived from a value that could not be read.
func TestDefects(t *testing.T) {
	runCases(t, map[string]caseOf{
		"NotJSON": {
			change: func(s *Source, _ *Context) {
				s.Configuration = nil
				s.Defects = []Defect{{Found: "text that is not JSON"}}
			},
			problems: []string{"[configuration]: found text that is not JSON"},
		},
		"Value": {
			change: func(s *Source, _ *Context) {
				s.Configuration.Queues[1].MaxAttempts = 0
				s.Configuration.Queues[1].Priority = -1
				s.Defects = []Defect{{
					Entry: Entry{KindRoute, 1},
					Field: "attempts",
					Found: "nothing",
				}}
			},
			problems: []string{"[route filling] attempts: found nothing", "[route filling] Priority: found -1"},
		},
		"Entry": {
			change: func(s *Source, _ *Context) {
				s.Configuration.Queues[0] = config.Queue{}
				s.Defects = []Defect{{
					Entry: Entry{KindRoute, 0},
					Found: "5",
				}}
			},
			problems: []string{"[route number 1]: found 5"},
		},
		"ServiceName": {
			change: func(s *Source, _ *Context) {
				s.Configuration.Services[0].Name = ""
				s.Defects = []Defect{{
					Entry: Entry{KindService, 0},
					Field: "Name",
					Found: "5",
				}}
			},
			problems: []string{"[service number 1] Name: found 5"},
		},
		"Services": {
			change: func(s *Source, _ *Context) {
				s.Configuration.Services = nil
				s.Defects = []Defect{{
					Field: "Services",
					Found: "5",
				}}
			},
			problems: []string{"[configuration] Services: found 5"},
		},
		"Standby": {
			change: func(s *Source, _ *Context) {
				s.Configuration.Queues[0].Service = "reserve"
				s.Defects = []Defect{{
					Entry: Entry{KindService, 1},
					Field: "Standby",
					Found: "the field twice",
				}}
			},
			problems: []string{"[service reserve] Standby: found the field twice"},
		},
		"Default": {
			change: func(s *Source, c *Context) {
				c.Process = newProcess()
				c.Process.RowBytes = 64 << 10
				s.Configuration.Limits.BodyBytes = 0
				s.Defects = []Defect{{
					Entry:   Entry{Kind: KindLimits},
					Field:   "MaxBodyBytes",
					Found:   "nothing",
					Warning: true,
				}}
			},
			warnings: []string{"[limits] MaxBodyBytes: found nothing", "[limits] MaxBodyBytes: found no limit, for which 262144 applies"},
		},
		"OutOfRange": {
			change: func(s *Source, _ *Context) {
				s.Defects = []Defect{{
					Entry: Entry{KindRoute, 7},
					Field: "Host",
					Found: "5",
				}}
			},
			problems: []string{"[route number 8] Host: found 5"},
		},
	})
}
