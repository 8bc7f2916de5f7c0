package configcheck

import (
	"cmp"
	"fmt"
	"time"
)

// maxBytes bounds the limits on headers and bodies.
const maxBytes = 1 << 30

// maxWait bounds the time-outs for headers and idle connections: the processes apply none above it.
const maxWait = time.Hour

func (c *checker) checkLimits() {
	c.enter(Entry{Kind: KindLimits})

	l := c.source.Configuration.Limits
	c.number(FieldMaxHeaderBytes, int64(l.HeaderBytes), 0, maxBytes)
	c.number(FieldMaxBodyBytes, l.BodyBytes, 0, maxBytes)
	c.number(FieldHeaderTimeout, l.HeaderTimeout.Milliseconds(), 0, maxWait.Milliseconds())
	c.number(FieldIdleTimeout, l.IdleTimeout.Milliseconds(), 0, maxWait.Milliseconds())
	c.checkTimes(l.HeaderTimeout, l.IdleTimeout)
	c.checkSizes(l.HeaderBytes, l.BodyBytes)
}

// checkTimes compares the time-outs that are in force: 0 stands for that of the process, if it is
// known.
func (c *checker) checkTimes(header, idle time.Duration) {
	f, allowed := FieldHeaderTimeout, "up to the idle time-out"

	if p := c.context.Process; p != nil {
		if header == 0 && p.HeaderTime > 0 {
			f, allowed = FieldIdleTimeout, "at least HeaderTime of "+p.File
		}

		header, idle = cmp.Or(header, p.HeaderTime), cmp.Or(idle, p.IdleTime)
	}

	if header > 0 && idle > 0 && header > idle && c.reads(FieldHeaderTimeout) && c.reads(FieldIdleTimeout) {
		c.fail(f, fmt.Sprintf("a header time-out of %d above an idle time-out of %d", header.Milliseconds(), idle.Milliseconds()), allowed)
	}
}

// checkSizes compares the limits that are in force with those of a process: 0 stands for its own.
func (c *checker) checkSizes(header int, body int64) {
	p := c.context.Process
	if p == nil {
		return
	}

	if p.HeaderBytes > 0 && header > p.HeaderBytes {
		c.fail(FieldMaxHeaderBytes, fmt.Sprint(header), fmt.Sprintf("up to %d, the largest header that a process reads", p.HeaderBytes))
	}

	found := fmt.Sprint(body)
	if body == 0 {
		body = p.DefaultBodyBytes
		found = fmt.Sprintf("no limit, for which %d applies", body)
	}

	if body > p.RowBytes {
		// A body may be larger than what is stored of it, and one that isn't gets 413.
		c.warn(FieldMaxBodyBytes, found, fmt.Sprintf("up to %d, a row of the store by [Store] RowBytes of %s", p.RowBytes, p.File))
	}

	if p.BodyBytes > 0 && body > p.BodyBytes {
		c.fail(FieldMaxBodyBytes, found, fmt.Sprintf("up to %d, for which there is memory by [Limits] RequestMemoryMB of %s", p.BodyBytes, p.File))
	}
}
