package routing_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"trefoildeck/core/routing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func table(n int) *routing.Table {
	t := routing.New("A", 1)

	for i := range n {
		t.Announce(start.Add(-time.Hour), routing.Announcement{
			Service:    "s",
			Endpoint:   fmt.Sprintf("e%d", i),
			DataCentre: place(i % dataCentres),
			Slots:      slots,
			RoundTrip:  trip(0, i%dataCentres),
		})
	}

	return t
}

// TestChoose checks with random histories that a choice is always of an
// endpoint that takes requests, and that none is filled beyond its bound.
func TestChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 6

		tab := table(n)
		now := start
		gone := map[string]bool{}
		out := map[string]bool{}
		flying := map[string][]routing.Choice{}

		t.Repeat(map[string]func(*rapid.T){
			"choose": func(t *rapid.T) {
				c, err := tab.Choose(now, "s", nil)
				if err != nil {
					return
				}

				if gone[c.Endpoint] || out[c.DataCentre] {
					t.Fatalf("chose %s in %s", c.Endpoint, c.DataCentre)
				}

				flying[c.Endpoint] = append(flying[c.Endpoint], c)
				if len(flying[c.Endpoint]) > 2*slots {
					t.Fatalf("%d requests at %s", len(flying[c.Endpoint]), c.Endpoint)
				}
			},
			"done": func(t *rapid.T) {
				for name, list := range flying {
					if len(list) > 0 {
						tab.Done(now, list[0], routing.Result{
							Kind:    routing.ResultKind(rapid.IntRange(0, 3).Draw(t, "verdict")),
							Latency: time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond,
						})
						flying[name] = list[1:]

						return
					}
				}
			},
			"withdraw": func(t *rapid.T) {
				name := fmt.Sprintf("e%d", rapid.IntRange(0, n-1).Draw(t, "endpoint"))
				tab.Withdraw("s", name)

				gone[name] = true
				flying[name] = nil
			},
			"announce": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "endpoint")
				tab.Announce(now, routing.Announcement{
					Service:    "s",
					Endpoint:   fmt.Sprintf("e%d", i),
					DataCentre: place(i % dataCentres),
					Slots:      slots,
				})
				delete(gone, fmt.Sprintf("e%d", i))
			},
			"out": func(t *rapid.T) {
				name := place(rapid.IntRange(0, dataCentres-1).Draw(t, "data centre"))
				out[name] = rapid.Bool().Draw(t, "out")
				tab.SetOut(now, name, out[name])
			},
			"silent": func(t *rapid.T) {
				name := fmt.Sprintf("e%d", rapid.IntRange(0, n-1).Draw(t, "endpoint"))
				tab.SetSilent("s", name, rapid.Bool().Draw(t, "silent"))
			},
			"tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				tab.Tick(now)
			},
		})
	})
}

// TestLocalFirst keeps requests in the entry's data centre until it is busy.
func TestLocalFirst(t *testing.T) {
	tab := table(9)

	for range 3 * slots / 2 {
		c, err := tab.Choose(start, "s", nil)
		assert.NilError(t, err)
		assert.Equal(t, c.DataCentre, "A")
	}

	spilled := false

	for range 5 * slots {
		c, err := tab.Choose(start, "s", nil)
		assert.NilError(t, err)

		spilled = spilled || c.DataCentre != "A"
	}

	assert.Assert(t, spilled)
}

// TestFull sheds once every endpoint is full, and never waits.
func TestFull(t *testing.T) {
	tab := table(3)

	c, err := tab.Choose(start, "s", nil)
	assert.NilError(t, err)
	tab.Done(start, c, routing.Result{Latency: time.Millisecond})

	for range 3*slots*2 + 1 {
		if _, err := tab.Choose(start, "s", nil); err != nil {
			assert.Assert(t, errors.Is(err, routing.ErrOverloaded))

			return
		}
	}

	t.Fatal("took more than twice the slots")
}

// TestReturn lets an endpoint that failed rest, and come back by probes.
func TestReturn(t *testing.T) {
	tab := table(4)
	now := start
	broken := true
	share := func(requests int) int {
		n := 0

		for range requests {
			c, err := tab.Choose(now, "s", nil)
			assert.NilError(t, err)

			v := routing.ResultSuccess
			if c.Endpoint == "e0" {
				n++

				if broken {
					v = routing.ResultFailure
				}
			}

			now = now.Add(10 * time.Millisecond)
			tab.Done(now, c, routing.Result{
				Kind:    v,
				Latency: 10 * time.Millisecond,
			})
			tab.Tick(now)
		}

		return n
	}

	share(50)
	assert.Assert(t, share(500) < 20, "a broken endpoint kept its share")

	broken = false
	now = now.Add(time.Minute)

	share(100)

	for _, s := range tab.Status() {
		assert.Equal(t, s.State, "Active", s.Endpoint)
	}
}

// TestBudget bounds retries when everything fails.
func TestBudget(t *testing.T) {
	tab := table(4)
	taken := 0

	for range 1000 {
		if tab.TakeRetryToken("s") {
			taken++
		}
	}

	assert.Assert(t, taken <= 20, "%d retries without a success", taken)
}

// BenchmarkChoose shows the cost of a choice as endpoints grow.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 1000, 17_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tab := table(n)
			b.ReportAllocs()

			for b.Loop() {
				c, err := tab.Choose(start, "s", nil)
				if err != nil {
					b.Fatal(err)
				}

				tab.Done(start, c, routing.Result{Latency: time.Millisecond})
			}
		})
	}
}
