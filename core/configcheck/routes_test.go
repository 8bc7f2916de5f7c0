package configcheck

import (
	"strings"
	"testing"

	"trefoildeck/core/config"

	"gotest.tools/v3/assert"
)

// TestHosts checks that a host with which no request can come is reported: the port is cut off
// before hosts are compared, and there are no wildcards.
func TestHosts(t *testing.T) {
	cases := map[string]struct {
		host string
		ok   bool
	}{
		"Name":         {"jobs.example", true},
		"Capitals":     {"Jobs.Example", true},
		"OneLabel":     {"localhost", true},
		"Digits":       {"1and1.example", true},
		"Underscore":   {"a_b.example", true},
		"Brackets":     {"[::1]", true},
		"Empty":        {"", false},
		"Port":         {"jobs.example:80", false},
		"IPv4Port":     {"10.1.0.3:80", false},
		"Scheme":       {"http://jobs.example", false},
		"Path":         {"jobs.example/a", false},
		"Wildcard":     {"*.example", false},
		"Space":        {"jobs example", false},
		"FinalDot":     {"jobs.example.", false},
		"EmptyLabel":   {"jobs..example", false},
		"Hyphen":       {"-jobs.example", false},
		"NotIPv4":      {"10.1.0.300", false},
		"IPv4Brackets": {"[10.1.0.3]", false},
		"Zone":         {"fe80::1%eth0", false},
		"NotASCII":     {"bücher.example", false},
		"LongLabel":    {strings.Repeat("a", 64) + ".example", false},
		"Long":         {strings.Repeat("a.", 127) + "a", false},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSource()
			s.Configuration.Queues[0].Host = c.host

			r := Check(s, Context{})
			assert.Equal(t, len(r.Problems.List) == 0, c.ok, "%s", r.Problems.Error())
		})
	}
}

// TestNeverMatches checks that entries of which no caller ever has the use are reported.
func TestNeverMatches(t *testing.T) {
	runCases(t, map[string]caseOf{
		"SameHostAndPrefix": {
			change:   second(func(q *config.Queue) { q.Prefix = "/plain/" }),
			problems: []string{"[route filling] prefix: found host and prefix of [route plain], which matches first"},
		},
		"HostInCapitals": {
			change:   second(func(q *config.Queue) { q.Prefix, q.Host = "/plain/", "JOBS.Example" }),
			problems: []string{"[route filling] prefix: found host and prefix of [route plain], which matches first"},
		},
		"Standby": {
			change:   second(func(q *config.Queue) { q.Service = "reserve" }),
			problems: []string{`[route filling] Service: found "reserve", which is on standby`},
		},
		"UnusedService": {
			change:   func(s *Source, _ *Context) { s.Configuration.Services[1].Standby = false },
			warnings: []string{"[service reserve] Name: found a service that no route uses"},
		},
		"NoRoutes": {
			change: func(s *Source, _ *Context) { s.Configuration.Queues = nil },
			warnings: []string{
				"[configuration] Routes: found an empty list",
				"[service orders] Name: found a service that no route uses",
			},
		},
	})
}

// TestFirstOfEqualPrefixes checks what TestNeverMatches goes by: the processes take the first of
// two routes with the same host and prefix.
func TestFirstOfEqualPrefixes(t *testing.T) {
	s := newSource()
	s.Configuration.Queues[1].Prefix = "/plain/"
	s.Configuration.Queues[1].Host = "JOBS.example"

	q, _, ok := s.Configuration.Match("jobs.EXAMPLE", "/plain/00000000000000aa")
	assert.Assert(t, ok)
	assert.Equal(t, q.Name, "plain")
}
