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

// TestLimiter checks with random sequences of calls that no more requests run than
// there are slots, that an abandoned ticket gets none, and that no slot leaks.
func TestLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 3

		l := admission.New(slots)
		now := start
		running := 0

		var waiting []*admission.Ticket

		update := func() {
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
				t.Fatalf("%d requests run at once", running)
			}
		}

		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(*rapid.T) {
				if w, err := l.Acquire(now, now.Add(time.Second)); err == nil {
					waiting = append(waiting, w)
				}

				update()
			},
			"release": func(*rapid.T) {
				if running > 0 {
					running--
					l.Release(now)
				}

				update()
			},
			"abandon": func(t *rapid.T) {
				if len(waiting) == 0 {
					return
				}

				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "ticket")
				if !l.Abandon(waiting[i]) {
					t.Fatal("a ticket without a slot could not be abandoned")
				}

				waiting = append(waiting[:i], waiting[i+1:]...)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			},
		})

		for ; running > 0; running-- {
			l.Release(now.Add(time.Hour))
		}

		if load := l.Load(); load.InUse != 0 {
			t.Fatalf("%d slots leaked", load.InUse)
		}
	})
}

func TestRefusals(t *testing.T) {
	l := admission.New(1)

	_, err := l.Acquire(start, start)
	assert.Assert(t, errors.Is(err, admission.ErrDeadlinePassed))

	for range 3 {
		_, err = l.Acquire(start, start.Add(time.Second))
		assert.NilError(t, err)
	}

	_, err = l.Acquire(start, start.Add(time.Second))
	assert.Assert(t, errors.Is(err, admission.ErrFull))

	l.Close()

	_, err = l.Acquire(start, start.Add(time.Second))
	assert.Assert(t, errors.Is(err, admission.ErrLeaving))
}
