package configcheck

import (
	"testing"
	"time"

	"trefoildeck/core/config"

	"gotest.tools/v3/assert"
)

// TestDifferences checks that each difference between two versions is named: an operator who sees
// one too few sends what they didn't mean.
func TestDifferences(t *testing.T) {
	cases := map[string]struct {
		change func(*config.Configuration)
		want   []string
	}{
		"None": {func(*config.Configuration) {}, nil},
		"Version": {
			func(c *config.Configuration) { c.Version = 5 },
			[]string{"~ [configuration] Version: 5, was 4"},
		},
		"RouteAdded": {
			func(c *config.Configuration) { c.Queues = append(c.Queues, newQueue("late", "/late/")) },
			[]string{`+ [route late] Host="jobs.example" prefix="/late/" Service="orders" Priority=0 attempts=3 Stretch=1.5 TargetLatencyMS=250 TimeoutMS=3000`},
		},
		"RouteRemoved": {
			func(c *config.Configuration) { c.Queues = c.Queues[1:] },
			[]string{`- [route plain] Host="jobs.example" prefix="/plain/" Service="orders" Priority=0 attempts=3 Stretch=1.5 TargetLatencyMS=250 TimeoutMS=3000`},
		},
		"RouteMoved": {
			func(c *config.Configuration) { c.Queues[0], c.Queues[1] = c.Queues[1], c.Queues[0] },
			nil,
		},
		"RouteChanged": {
			func(c *config.Configuration) {
				c.Queues[0] = config.Queue{
					Name:          "plain",
					Host:          "more.example",
					Prefix:        "/more/",
					Service:       "reserve",
					Priority:      2,
					MaxAttempts:   4,
					Stretch:       2,
					TargetLatency: time.Second,
					Timeout:       4 * time.Second,
				}
			},
			[]string{
				`~ [route plain] Host: "more.example", was "jobs.example"`,
				`~ [route plain] prefix: "/more/", was "/plain/"`,
				`~ [route plain] Service: "reserve", was "orders"`,
				"~ [route plain] Priority: 2, was 0",
				"~ [route plain] attempts: 4, was 3",
				"~ [route plain] Stretch: 2, was 1.5",
				"~ [route plain] TargetLatencyMS: 1000, was 250",
				"~ [route plain] TimeoutMS: 4000, was 3000",
			},
		},
		"SameNameAgain": {
			func(c *config.Configuration) { c.Queues[1].Name = "plain" },
			[]string{
				`- [route filling] Host="jobs.example" prefix="/filling/" Service="orders" Priority=0 attempts=3 Stretch=1.5 TargetLatencyMS=250 TimeoutMS=3000`,
				`+ [route plain] Host="jobs.example" prefix="/filling/" Service="orders" Priority=0 attempts=3 Stretch=1.5 TargetLatencyMS=250 TimeoutMS=3000`,
			},
		},
		"ServiceAdded": {
			func(c *config.Configuration) { c.Services = append(c.Services, config.Service{Name: "more"}) },
			[]string{"+ [service more] AdmissionCheck=false Standby=false"},
		},
		"ServiceRemoved": {
			func(c *config.Configuration) { c.Services = c.Services[:1] },
			[]string{"- [service reserve] AdmissionCheck=false Standby=true"},
		},
		"ServiceChanged": {
			func(c *config.Configuration) { c.Services[1].AdmissionCheck, c.Services[1].Standby = true, false },
			[]string{"~ [service reserve] AdmissionCheck: true, was false", "~ [service reserve] Standby: false, was true"},
		},
		"Limits": {
			func(c *config.Configuration) { c.Limits = config.Limits{HeaderBytes: 1} },
			[]string{
				"~ [limits] MaxHeaderBytes: 1, was 16384",
				"~ [limits] MaxBodyBytes: 0, was 262144",
				"~ [limits] HeaderTimeoutMS: 0, was 3000",
				"~ [limits] IdleTimeoutMS: 0, was 15000",
			},
		},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inForce, next := newSource(), newSource()
			c.change(next.Configuration)
			assert.DeepEqual(t, Differences(inForce.Configuration, next.Configuration, next.Names), c.want)
		})
	}
}
