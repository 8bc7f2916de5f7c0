package intake

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"
)

// rateAt returns the progress of the client at a time, in bytes a second.
func (c *Client) rateAt(now time.Duration) float64 {
	if c.phase == handling {
		return 0
	}

	return c.rate * math.Exp(-float64(now-c.ratedAt)/float64(rateTime))
}

// stalled is a client that may lose its place, and its progress.
type stalled struct {
	client *Client
	rate   float64
}

// mayStall reports whether the client is one that is read from, or that doesn't read its answer.
func (c *Client) mayStall(now time.Duration) bool {
	return c.phase <= readingBody || c.phase == handling && c.writing && now-c.writingSince > rateTime
}

// stalledClients returns the clients that make little progress and meet a condition, those with the
// least progress first.
func (g *Gate) stalledClients(now time.Duration, meets func(*Client) bool) []stalled {
	var list []stalled

	for _, c := range g.clients {
		if !c.mayStall(now) || !meets(c) {
			continue
		}

		if rate := c.rateAt(now); rate < stalledRate {
			list = append(list, stalled{
				client: c,
				rate:   rate,
			})
		}
	}

	slices.SortFunc(list, func(a, b stalled) int {
		return cmp.Or(cmp.Compare(a.rate, b.rate), cmp.Compare(a.client.since, b.client.since))
	})

	return list
}

// idleClients returns the clients between two requests, those that wait for longest first.
func (g *Gate) idleClients() []stalled {
	var list []stalled

	for _, c := range g.clients {
		if c.phase == idle {
			list = append(list, stalled{client: c})
		}
	}

	slices.SortFunc(list, func(a, b stalled) int { return cmp.Compare(a.client.since, b.client.since) })

	return list
}

// isProven reports whether the client has sent a body for longer than one that has stopped counts as
// making progress.
func (c *Client) isProven(now time.Duration) bool {
	return c.phase == readingBody && now-c.since > provenTime && c.rateAt(now) >= stalledRate
}

// newcomers returns the clients that have begun a body and are not proven, those with the least
// progress first.
func (g *Gate) newcomers(now time.Duration) []stalled {
	var list []stalled

	for _, c := range g.clients {
		if rate := c.rateAt(now); c.phase == readingBody && now-c.since <= provenTime && rate >= stalledRate {
			list = append(list, stalled{
				client: c,
				rate:   rate,
			})
		}
	}

	slices.SortFunc(list, func(a, b stalled) int { return cmp.Compare(a.rate, b.rate) })

	return list
}

// makeRoom ends clients until there is room for as much as is short for the reason, and for a
// batch more. It returns false, and ends none, if that can't be reached. For a client that has
// proved that it sends, unless it is nil, those that have not give way too.
func (g *Gate) makeRoom(now time.Duration, r Reason, short int64, c *Client) bool {
	proven := c != nil && c.isProven(now)
	if now < g.scanAfter[r] && !proven {
		return false
	}

	meets, size, limit := g.shortage(r)
	list := g.stalledClients(now, meets)

	if r == ReasonConnections {
		list = append(list, g.idleClients()...)
	}

	batch := len(list)

	if proven {
		list = append(list, g.newcomers(now)...)
	}

	var sum int64
	for _, s := range list {
		sum += size(s.client)
	}

	if sum < short {
		g.scanAfter[r] = now + scanPause

		return false
	}

	sum = 0

	for i, s := range list {
		if sum >= short && (i >= batch || sum >= limit/batchPart) {
			break
		}

		sum += size(s.client)
		g.end(now, s.client, r)
	}

	return true
}

// shortage returns which clients hold what is short for a reason, how much a client holds of it,
// and how much there is.
func (g *Gate) shortage(r Reason) (meets func(*Client) bool, size func(*Client) int64, limit int64) {
	one := func(*Client) int64 { return 1 }

	switch r {
	case ReasonMemory:
		return func(c *Client) bool { return c.held > 0 }, func(c *Client) int64 { return c.held }, g.limits.Bytes
	case ReasonBodies:
		return func(c *Client) bool { return c.phase == readingBody }, one, int64(g.limits.Bodies)
	default:
		return func(*Client) bool { return true }, one, int64(g.limits.Connections)
	}
}

// makeRoomAt ends a batch of the bodies of an address that make the least progress. It returns false if
// none makes little.
func (g *Gate) makeRoomAt(now time.Duration, a netip.Addr) bool {
	if a == g.scannedAddress && now < g.scanAfter[ReasonAddress] {
		return false
	}

	list := g.stalledClients(now, func(c *Client) bool { return c.phase == readingBody && c.address == a })
	if len(list) == 0 {
		g.scannedAddress, g.scanAfter[ReasonAddress] = a, now+scanPause

		return false
	}

	for _, s := range list[:min(len(list), max(1, g.limits.BodiesPerAddress/batchPart))] {
		g.end(now, s.client, ReasonAddress)
	}

	return true
}

// end ends a client. Only a request whose body is read can be answered.
func (g *Gate) end(now time.Duration, c *Client, r Reason) {
	answer := c.phase == readingBody && g.ending < g.endingLimit()
	c.reason = r
	g.setPhase(now, c, ending)
	c.terminate(r, answer)
}

// Sweep ends the clients whose time is over or that send too slowly.
func (g *Gate) Sweep(now time.Duration) {
	for _, c := range g.clients {
		if c.phase == ending {
			if now-c.since > endingTime {
				c.terminate(c.reason, false)
			}

			continue
		}

		if r := g.overdue(now, c); r != "" {
			g.end(now, c, r)
		}
	}
}

// overdue returns why a client's time is over, "" if it isn't.
func (g *Gate) overdue(now time.Duration, c *Client) Reason {
	took := now - c.since

	switch c.phase {
	case opened, readingHeader:
		if took > g.limits.HeaderTime {
			return ReasonHeaderTime
		}
	case readingBody:
		if took > g.limits.BodyTime {
			return ReasonBodyTime
		}

		if took > g.limits.BodyGrace && float64(c.received) < float64(g.limits.BodyRate)*took.Seconds() {
			return ReasonBodyRate
		}
	case idle:
		if took > g.limits.IdleTime {
			return ReasonIdleTime
		}
	default:
	}

	return ""
}
