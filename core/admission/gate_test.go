package admission_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"trefoildeck/core/admission"
)

var start = time.Unix(1000, 0)

func ready(t *admission.Ticket) bool {
	select {
	case <-t.Ready:
		return true
	default:
		return false
	}
}

// TestGate checks with random histories that no more run than there are slots,
// that nobody who gave up gets one, and that no slot is lost.
func TestGate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 3

		g := admission.New(slots)
		now := start
		running := 0

		var waiting []*admission.Ticket

		settle := func() {
			kept := waiting[:0]

			for _, w := range waiting {
				if ready(w) {
					running++
				} else {
					kept = append(kept, w)
				}
			}

			waiting = kept

			if running > slots {
				t.Fatalf("%d run", running)
			}
		}

		t.Repeat(map[string]func(*rapid.T){
			"enter": func(*rapid.T) {
				if w, err := g.Acquire(now, now.Add(time.Second)); err == nil {
					waiting = append(waiting, w)
				}

				settle()
			},
			"leave": func(*rapid.T) {
				if running > 0 {
					running--
					g.Release(now)
				}

				settle()
			},
			"abandon": func(t *rapid.T) {
				if len(waiting) == 0 {
					return
				}

				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "ticket")
				if !g.Abandon(waiting[i]) {
					t.Fatal("a ticket without a slot was not given up")
				}

				waiting = append(waiting[:i], waiting[i+1:]...)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			},
		})

		for ; running > 0; running-- {
			g.Release(now.Add(time.Hour))
		}

		if load := g.Load(); load.InUse != 0 {
			t.Fatalf("%d slots are lost", load.InUse)
		}
	})
}

func TestRefusals(t *testing.T) {
	g := admission.New(1)

	_, err := g.Acquire(start, start)
	assert.Assert(t, errors.Is(err, admission.ErrDeadlinePassed))

	for range 3 {
		_, err = g.Acquire(start, start.Add(time.Second))
		assert.NilError(t, err)
	}

	_, err = g.Acquire(start, start.Add(time.Second))
	assert.Assert(t, errors.Is(err, admission.ErrFull))

	g.Close()

	_, err = g.Acquire(start, start.Add(time.Second))
	assert.Assert(t, errors.Is(err, admission.ErrLeaving))
}
