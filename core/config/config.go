// Package config has the operator's configuration in force: the queues that
// callers hand jobs in to, and the services whose workers run them.
//
// # Usage
//
//	q, rest, ok := configuration.Match(host, path)
package config

import (
	"strings"
	"time"
)

// Queue takes the jobs of one route.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Service names the workers that run the queue's tasks.
	Service string
	// Priority 0 comes first.
	Priority int
	// MaxAttempts is the number of failed attempts of a task that fail its job.
	MaxAttempts int
	// Stretch and TargetLatency set when a job is late: Stretch times its longest
	// chain of work, and TargetLatency more.
	Stretch       float64
	TargetLatency time.Duration
}

// Service is a pool of workers.
type Service struct {
	Name string
	// AdmissionCheck says that the workers reject tasks that do not fit; without it
	// they start every task they are told to.
	AdmissionCheck bool
	// Standby means that the pool's machines are off.
	Standby bool
}

// Limits bound callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version, complete.
type Configuration struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Limits   Limits
}

// Match returns the queue with the longest prefix of a path on a host, and the
// rest of the path.
func (c *Configuration) Match(host, path string) (Queue, string, bool) {
	var (
		best  Queue
		found bool
	)

	for _, q := range c.Queues {
		if !strings.EqualFold(q.Host, host) || !strings.HasPrefix(path, q.Prefix) {
			continue
		}

		if !found || len(q.Prefix) > len(best.Prefix) {
			best, found = q, true
		}
	}

	return best, strings.TrimPrefix(path, best.Prefix), found
}

// Queue returns a queue by name.
func (c *Configuration) Queue(name string) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}

	return Queue{}, false
}
