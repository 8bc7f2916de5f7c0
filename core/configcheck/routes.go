package configcheck

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"trefoildeck/core/config"
)

// Bounds of the fields. They are far above what deployments use, and below what a slip of the keys
// gives.
const (
	maxPriority = 100
	maxAttempts = 100
	minStretch  = 1
	maxStretch  = 100
	// maxLatency bounds the target latency and the time-out of a route.
	maxLatency = 24 * time.Hour

	maxHostBytes  = 253
	maxLabelBytes = 63
)

func (c *checker) checkRoutes() {
	var (
		s     = c.source.Configuration
		named = map[string]int{}
		// byPrefix has the indexes of the routes before the present one by their prefix.
		byPrefix = map[string][]int{}
	)

	for i, q := range s.Queues {
		c.enter(Entry{
			Kind:  KindRoute,
			Index: i,
		})
		c.checkName(q.Name, i, named)
		c.checkAddress(q)
		c.checkMatch(q, byPrefix[q.Prefix])
		c.checkNumbers(q)
		c.checkObjective(q)
		c.checkServiceOf(q)

		if c.reads(FieldHost) && c.reads(FieldPathPrefix) {
			byPrefix[q.Prefix] = append(byPrefix[q.Prefix], i)
		}
	}
}

// checkName adds a problem if an entry has no name, or that of an entry before it.
func (c *checker) checkName(name string, i int, named map[string]int) {
	first, ok := named[name]

	switch {
	case name == "":
		c.fail(FieldName, `""`, "a name")
	case ok:
		c.fail(FieldName, fmt.Sprintf("the name of number %d", first+1), "a name of its own")
	default:
		named[name] = i
	}
}

func (c *checker) checkAddress(q config.Queue) {
	if !isHost(q.Host) {
		c.fail(FieldHost, fmt.Sprintf("%q", q.Host), "a name such as jobs.example or an IP address, without scheme, port, path or final dot")
	}

	if !strings.HasPrefix(q.Prefix, "/") || !strings.HasSuffix(q.Prefix, "/") {
		c.fail(FieldPathPrefix, fmt.Sprintf("%q", q.Prefix), "a path that begins and ends with a slash, such as /jobs/")
	}
}

// checkMatch adds a problem if one of the routes before, which have the same prefix, has the host
// of q: config.Match takes the first of equal prefixes.
func (c *checker) checkMatch(q config.Queue, before []int) {
	if !c.reads(FieldHost) {
		return
	}

	for _, i := range before {
		if strings.EqualFold(c.source.Configuration.Queues[i].Host, q.Host) {
			first := c.section(Entry{
				Kind:  KindRoute,
				Index: i,
			})
			c.fail(FieldPathPrefix, fmt.Sprintf("host and prefix of [%s], which matches first", first), "another host or prefix")

			return
		}
	}
}

func (c *checker) checkNumbers(q config.Queue) {
	c.number(FieldPriority, int64(q.Priority), 0, maxPriority)
	c.number(FieldMaxAttempts, int64(q.MaxAttempts), 1, maxAttempts)
	c.number(FieldTargetLatency, q.TargetLatency.Milliseconds(), 0, maxLatency.Milliseconds())
	c.number(FieldTimeout, q.Timeout.Milliseconds(), 0, maxLatency.Milliseconds())

	if !(q.Stretch >= minStretch && q.Stretch <= maxStretch) {
		c.fail(FieldStretch, fmt.Sprint(q.Stretch), fmt.Sprintf("%d to %d", minStretch, maxStretch))
	}
}

// checkObjective compares the target latency, which is the part of a job's objective that doesn't
// depend on its own work, with the time-out, and with what the rest leaves to the job's start.
func (c *checker) checkObjective(q config.Queue) {
	target, timeout := q.TargetLatency.Milliseconds(), q.Timeout.Milliseconds()

	switch {
	case timeout <= 0 || !c.reads(FieldTimeout):
	case target > timeout:
		c.fail(FieldTargetLatency, fmt.Sprintf("%d, above the time-out", target), fmt.Sprintf("less than the time-out of %d", timeout))
	case target == timeout:
		c.fail(FieldTargetLatency, fmt.Sprintf("%d, which leaves nothing of the time-out for a job's own work", target), fmt.Sprintf("less than the time-out of %d", timeout))
	}

	if q.Stretch == minStretch && target == 0 && c.reads(FieldStretch) {
		c.warn(FieldTargetLatency, "0 with a stretch of 1, so that each job is late", "more, for the start of a job's tasks")
	}
}

func (c *checker) checkServiceOf(q config.Queue) {
	s := c.source.Configuration

	for i, v := range s.Services {
		if v.Name != q.Service || v.Name == "" {
			continue
		}

		standby := Entry{
			Kind:  KindService,
			Index: i,
		}

		if v.Standby && !c.unread[standby][c.name(FieldStandby)] {
			c.fail(FieldService, fmt.Sprintf("%q, which is on standby", q.Service), "a service whose machines are on")
		}

		return
	}

	switch {
	case q.Service == "":
		c.fail(FieldService, `""`, "the name of a service")
	case c.namesKnown(KindService, len(s.Services), FieldServices, FieldName):
		c.fail(FieldService, fmt.Sprintf("%q, which does not exist", q.Service), "a service of this configuration")
	}
}

// namesKnown reports whether the n entries of a kind, and a field of each of them, could be read.
// list is the field that has the entries.
func (c *checker) namesKnown(kind Kind, n int, list, field Field) bool {
	if c.unread[Entry{}][c.name(list)] {
		return false
	}

	for i := range n {
		unread := c.unread[Entry{
			Kind:  kind,
			Index: i,
		}]
		if unread[""] || unread[c.name(field)] {
			return false
		}
	}

	return true
}

func (c *checker) checkServices() {
	var (
		s     = c.source.Configuration
		named = map[string]int{}
		used  = map[string]bool{}
	)

	for _, q := range s.Queues {
		used[q.Service] = true
	}

	known := c.namesKnown(KindRoute, len(s.Queues), FieldRoutes, FieldService)

	for i, v := range s.Services {
		c.enter(Entry{
			Kind:  KindService,
			Index: i,
		})
		c.checkName(v.Name, i, named)

		// Routes of a service on standby are problems, so that it should have none.
		if known && v.Name != "" && !used[v.Name] && !v.Standby {
			c.warn(FieldName, "a service that no route uses", "a service of a route, or one on standby")
		}
	}
}

// isHost reports whether the host of a request, without its port, can be h: a name in ASCII, or an
// IP address.
func isHost(h string) bool {
	address := h
	if strings.HasPrefix(h, "[") && strings.HasSuffix(h, "]") && strings.Contains(h, ":") {
		address = h[1 : len(h)-1]
	}

	if a, err := netip.ParseAddr(address); err == nil {
		return a.Zone() == ""
	}

	if len(h) > maxHostBytes {
		return false
	}

	labels := strings.Split(h, ".")
	for _, l := range labels {
		if !isLabel(l) {
			return false
		}
	}

	// A last label of digits makes it an IPv4 address, which would have been parsed.
	return strings.Trim(labels[len(labels)-1], "0123456789") != ""
}

func isLabel(l string) bool {
	if l == "" || len(l) > maxLabelBytes || strings.HasPrefix(l, "-") || strings.HasSuffix(l, "-") {
		return false
	}

	for _, r := range l {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !letter && (r < '0' || r > '9') && r != '-' && r != '_' {
			return false
		}
	}

	return true
}
