// Package config holds the platform's configuration in force: the queues to which
// callers submit jobs, and the services whose workers run them.
//
// # Usage
//
//	q, rest, ok := configuration.Match(host, path)
package config

import (
	"strings"
	"time"
)

// Queue accepts the jobs submitted to one route: a host and a path prefix.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Service is the name of the service whose workers run the queue's tasks.
	Service string
	// Priority orders the queues; 0 is the highest.
	Priority int
	// MaxAttempts is the number of failed attempts of a task after which its job
	// fails.
	MaxAttempts int
	// Stretch and TargetLatency set the time after which a job is late: Stretch
	// times the length of its critical path, plus TargetLatency.
	Stretch       float64
	TargetLatency time.Duration
	// Timeout is how long the route's callers wait for an answer, or 0 if the configuration
	// doesn't say so. Jobs don't depend on it.
	Timeout time.Duration
}

// Service is a pool of workers, which announce its name.
type Service struct {
	Name string
	// AdmissionCheck means that the workers reject tasks that don't fit. Other
	// workers start every task that is sent to them.
	AdmissionCheck bool
	// Standby means that the pool's machines are switched off.
	Standby bool
}

// Limits are the limits on callers' HTTP requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one complete version of the configuration.
type Configuration struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Limits   Limits
}

// Match returns the queue of a host with the longest prefix of a path, and the
// rest of the path, and whether there is such a queue. Host names are compared
// without case.
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

// Queue returns the queue called name, and whether there is one.
func (c *Configuration) Queue(name string) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}

	return Queue{}, false
}
