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

func newTable(n int) *routing.Table {
	t := routing.New("A", 1)

	for i := range n {
		t.Announce(start.Add(-time.Hour), routing.Announcement{
			Service:    "s",
			Endpoint:   fmt.Sprintf("e%d", i),
			DataCentre: dataCentreName(i % dataCentres),
			Slots:      slots,
			RoundTrip:  roundTrip(0, i%dataCentres),
		})
	}

	return t
}

// TestChoose checks with random sequences of calls that no endpoint is chosen that
// is withdrawn or out, and that none gets more requests than twice its slots.
func TestChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 6

		tab := newTable(n)
		now := start
		gone := map[string]bool{}
		out := map[string]bool{}
		inFlight := map[string][]routing.Choice{}

		t.Repeat(map[string]func(*rapid.T){
			"choose": func(t *rapid.T) {
				c, err := tab.Choose(now, "s", nil)
				if err != nil {
					return
				}

				if gone[c.Endpoint] || out[c.DataCentre] {
					t.Fatalf("chose endpoint %s in %s, which takes no requests", c.Endpoint, c.DataCentre)
				}

				inFlight[c.Endpoint] = append(inFlight[c.Endpoint], c)
				if len(inFlight[c.Endpoint]) > 2*slots {
					t.Fatalf("%d requests in flight to %s", len(inFlight[c.Endpoint]), c.Endpoint)
				}
			},
			"done": func(t *rapid.T) {
				for name, list := range inFlight {
					if len(list) > 0 {
						tab.Done(now, list[0], routing.Result{
							Kind:    routing.ResultKind(rapid.IntRange(0, 3).Draw(t, "result")),
							Latency: time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond,
						})
						inFlight[name] = list[1:]

						return
					}
				}
			},
			"withdraw": func(t *rapid.T) {
				name := fmt.Sprintf("e%d", rapid.IntRange(0, n-1).Draw(t, "endpoint"))
				tab.Withdraw("s", name)

				gone[name] = true
				inFlight[name] = nil
			},
			"announce": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "endpoint")
				tab.Announce(now, routing.Announcement{
					Service:    "s",
					Endpoint:   fmt.Sprintf("e%d", i),
					DataCentre: dataCentreName(i % dataCentres),
					Slots:      slots,
				})
				delete(gone, fmt.Sprintf("e%d", i))
			},
			"out": func(t *rapid.T) {
				name := dataCentreName(rapid.IntRange(0, dataCentres-1).Draw(t, "data centre"))
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

// TestLocalFirst checks that requests stay in the entry's data centre until it is
// busy, and that some go to others then.
func TestLocalFirst(t *testing.T) {
	tab := newTable(9)

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

// TestFull checks that Choose returns ErrOverloaded once every endpoint has twice
// as many requests as slots.
func TestFull(t *testing.T) {
	tab := newTable(3)

	c, err := tab.Choose(start, "s", nil)
	assert.NilError(t, err)
	tab.Done(start, c, routing.Result{Latency: time.Millisecond})

	for range 3*slots*2 + 1 {
		if _, err := tab.Choose(start, "s", nil); err != nil {
			assert.Assert(t, errors.Is(err, routing.ErrOverloaded))

			return
		}
	}

	t.Fatal("chose endpoints beyond twice their slots")
}

// TestReturn checks that an endpoint that fails gets few requests, and that it
// returns to the state Active after its probation once it succeeds.
func TestReturn(t *testing.T) {
	tab := newTable(4)
	now := start
	broken := true
	sendRequests := func(requests int) int {
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

	sendRequests(50)
	assert.Assert(t, sendRequests(500) < 20, "a failing endpoint still gets many requests")

	broken = false
	now = now.Add(time.Minute)

	sendRequests(100)

	for _, s := range tab.Status() {
		assert.Equal(t, s.State, "Active", s.Endpoint)
	}
}

// TestInterruptedRest checks that an endpoint whose rest or probation is cut short by
// silence, an outage or a new session does not become Active by that.
func TestInterruptedRest(t *testing.T) {
	const (
		rest  = 100 * time.Millisecond
		later = 2 * time.Second
	)

	interruptions := map[string]func(*routing.Table, time.Time, bool){
		"Silence": func(tab *routing.Table, _ time.Time, on bool) { tab.SetSilent("s", "e0", on) },
		"Outage":  func(tab *routing.Table, now time.Time, on bool) { tab.SetOut(now, dataCentreName(0), on) },
		"Session": func(tab *routing.Table, now time.Time, on bool) {
			if on {
				tab.Withdraw("s", "e0")

				return
			}

			tab.Announce(now, routing.Announcement{
				Service:    "s",
				Endpoint:   "e0",
				DataCentre: dataCentreName(0),
				Slots:      slots,
			})
		},
	}
	tests := map[string]struct {
		after time.Duration
		want  string
	}{
		"Rest":      {rest, "Resting"},
		"Probation": {later, "Probation"},
	}

	for kind, set := range interruptions {
		for name, c := range tests {
			t.Run(kind+name, func(t *testing.T) {
				tab := newTable(4)
				restFirst(t, tab)

				now := start.Add(c.after)
				tab.Tick(now)
				assert.Equal(t, stateOf(tab, "e0"), c.want)

				set(tab, now, true)
				set(tab, now, false)
				assert.Equal(t, stateOf(tab, "e0"), c.want)

				tab.Tick(start.Add(later))
				assert.Equal(t, stateOf(tab, "e0"), "Probation")
			})
		}
	}
}

// restFirst makes the endpoint e0 rest from start.
func restFirst(t *testing.T, tab *routing.Table) {
	t.Helper()

	for range 1000 {
		c, err := tab.Choose(start, "s", nil)
		assert.NilError(t, err)

		kind := routing.ResultSuccess
		if c.Endpoint == "e0" {
			kind = routing.ResultFailure
		}

		tab.Done(start, c, routing.Result{
			Kind:    kind,
			Latency: 10 * time.Millisecond,
		})

		if stateOf(tab, "e0") == "Resting" {
			return
		}
	}

	t.Fatal("e0 does not rest")
}

func stateOf(tab *routing.Table, endpoint string) string {
	for _, s := range tab.Status() {
		if s.Endpoint == endpoint {
			return s.State
		}
	}

	return ""
}

// TestBudget checks the limit on retries while no request succeeds.
func TestBudget(t *testing.T) {
	tab := newTable(4)
	taken := 0

	for range 1000 {
		if tab.TakeRetryToken("s") {
			taken++
		}
	}

	assert.Assert(t, taken <= 20, "%d retries without a success", taken)
}

// BenchmarkChoose measures a choice among different numbers of endpoints.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 1000, 17_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tab := newTable(n)
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
