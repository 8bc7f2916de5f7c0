package interference

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

// TestObserve checks that a learner finds the factors although the serving task's own
// load varies and the latencies are noisy.
func TestObserve(t *testing.T) {
	truth := map[string]float64{
		"Heavy":  10,
		"Light":  0,
		"Middle": 3,
	}
	r := rand.New(rand.NewPCG(1, 2))
	l := New()

	for i := range 200 {
		s := Sample{
			At:      time.Duration(i) * 500 * time.Millisecond,
			Filling: map[string]float64{},
		}
		fall := 0.0

		for f, k := range truth {
			share := float64(r.IntN(3)) * 0.1
			if share > 0 {
				s.Filling[f] = share
			}

			fall += k * share
		}

		// Speed is 6 without any load. The load has a period of 20 s, the latencies a
		// noise of 5%.
		load := 0.3 * (1 + 0.5*math.Sin(float64(i)*math.Pi/20))
		s.Serving = map[job.TaskID]Reading{{Job: "a"}: {
			Image: "Orders",
			Ratio: (0.95 + 0.1*r.Float64()) / (6*(1-load) - fall),
		}}
		l.Observe(s)
	}

	for f, k := range truth {
		got := l.Factor(f, "Orders")
		assert.Assert(t, math.Abs(got-k) < 1.5, "%s: %f", f, got)
	}
}

// TestPool checks that the evidence of several learners adds up, that an estimate with
// more evidence outweighs others, and that a learner does not count its own evidence
// twice when it gets the pooled estimates back.
func TestPool(t *testing.T) {
	p := NewPool()
	pair := Pair{
		Filling: "a",
		Serving: "b",
	}
	p.Put("n1", map[Pair]Estimate{pair: {
		Factor: 10,
		Weight: 0.03,
	}})
	p.Put("n2", map[Pair]Estimate{pair: {
		Factor: 2,
		Weight: 0.001,
	}})

	assert.Assert(t, p.Factor("a", "b") > 9)
	assert.Equal(t, p.Factor("a", "c"), PriorFactor)

	l := New()
	l.add(pair, Estimate{
		Factor: 20,
		Weight: 0.01,
	})
	p.Put("n3", l.Changed())
	l.SetPooled(p.All())

	assert.Assert(t, math.Abs(l.Factor("a", "b")-p.Factor("a", "b")) < 1e-9)

	l.Resend()
	p.Put("n3", l.Changed())
	assert.Assert(t, math.Abs(l.Factor("a", "b")-p.Factor("a", "b")) < 1e-9)
}

// TestChanges checks that a pool returns a pair again only if its factor or its evidence
// has changed by much since, and that small changes add up.
func TestChanges(t *testing.T) {
	pair := Pair{
		Filling: "a",
		Serving: "b",
	}
	put := func(p *Pool, factor, weight float64) int {
		p.Put("n1", map[Pair]Estimate{pair: {
			Factor: factor,
			Weight: weight,
		}})

		return len(p.Changes())
	}

	tests := map[string]struct {
		factor, weight float64
		changes        int
	}{
		"Same":         {10, 5, 0},
		"Little":       {10.1, 5.2, 0},
		"OtherFactor":  {10.5, 5, 1},
		"MoreEvidence": {10, 10.1, 1},
		"LessEvidence": {10, 2.4, 1},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPool()
			assert.Equal(t, put(p, 10, 5), 1)
			assert.Equal(t, len(p.Changes()), 0)
			assert.Equal(t, put(p, c.factor, c.weight), c.changes)
		})
	}

	p, changes := NewPool(), 0
	for factor := 10.0; factor < 11; factor += 0.05 {
		changes += put(p, factor, 5)
	}

	assert.Assert(t, changes > 3 && changes < 8, "%d changes", changes)
}
