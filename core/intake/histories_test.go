package intake

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestHistories checks with random histories that the gate's counts agree with its clients, and
// that no bound is exceeded.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := Limits{
			Connections:      rapid.IntRange(1, 20).Draw(r, "connections"),
			Bytes:            rapid.Int64Range(1, 256*kB).Draw(r, "bytes"),
			Bodies:           rapid.IntRange(1, 20).Draw(r, "bodies"),
			BodiesPerAddress: rapid.IntRange(1, 20).Draw(r, "per address"),
			HeaderTime:       time.Second,
			IdleTime:         time.Second,
			BodyTime:         2 * time.Second,
			BodyGrace:        time.Second,
			BodyRate:         kB,
		}
		g := New(l)
		now := time.Duration(0)

		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(r, "ms")) * time.Millisecond
			step(r, g, now)
			checkGate(r, g)
		}
	})
}

// step does one random thing to a gate.
func step(r *rapid.T, g *Gate, now time.Duration) {
	kind := rapid.IntRange(0, 11).Draw(r, "kind")
	if kind == 0 || len(g.clients) == 0 {
		open(g, now, []netip.Addr{here, there}[rapid.IntRange(0, 1).Draw(r, "address")])

		return
	}

	c := g.clients[rapid.IntRange(0, len(g.clients)-1).Draw(r, "client")]
	n := rapid.IntRange(0, 64*kB).Draw(r, "bytes")

	switch kind {
	case 1, 2:
		g.Receive(now, c, n, n/10)
	case 3, 4:
		if c.phase != readingBody {
			g.BeginBody(now, c)
		}
	case 5:
		g.Hold(now, c, int64(n))
	case 6:
		g.EndBody(now, c, int64(n))
	case 7:
		g.Handle(now, c)
	case 8:
		g.Idle(now, c)
	case 9:
		g.Close(c)
	case 10:
		g.Refuse(now, c)
	default:
		g.Sweep(now)
	}
}

func checkGate(r *rapid.T, g *Gate) {
	var (
		held         int64
		bodies, ends int
	)

	from := map[netip.Addr]int{}

	for i, c := range g.clients {
		held += c.held

		if c.index != i {
			r.Fatalf("client %d has index %d", i, c.index)
		}

		switch c.phase {
		case readingBody:
			bodies++
			from[c.address]++
		case ending:
			ends++
		default:
		}
	}

	if held != g.held || bodies != g.bodies || ends != g.ending || fmt.Sprint(from) != fmt.Sprint(g.bodiesFrom) {
		r.Fatalf("%d bytes, %d bodies, %d ending, %v; counted %d, %d, %d, %v", held, bodies, ends, from, g.held, g.bodies, g.ending, g.bodiesFrom)
	}

	if held > g.limits.Bytes || bodies > g.limits.Bodies || len(g.clients)-ends > g.limits.Connections {
		r.Fatalf("%d bytes, %d bodies, %d connections of %+v", held, bodies, len(g.clients), g.limits)
	}
}
