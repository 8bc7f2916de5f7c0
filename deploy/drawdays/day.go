package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// trouble is an entry of a day. Fields of 0 or "" are left out; the bench's verb kinds
// describes them.
type trouble struct {
	kind     string
	on       string
	how      string
	count    int
	at       float64
	share    float64
	strength float64
	duration float64
	gap      float64
	// planned marks an entry that stands under plan.
	planned bool
}

// day is the troubles of a day in the order in which they were drawn.
type day []trouble

const (
	// troubleSpan is the time in seconds within which the troubles of a round begin.
	troubleSpan = 1.2
	// roundPause is the shortest time in seconds between the starts of two rounds: the
	// system has recovered from the first.
	roundPause = 9.0
	// firstRound and lastRound are the bounds in seconds of the starts of rounds.
	firstRound = 4.0
	lastRound  = 28.0
	// minTroubles and maxTroubles are the number of troubles in a round.
	minTroubles = 3
	maxTroubles = 6
)

// drawDay draws two or three rounds. Each has an agent's restart and lost orders, the
// pair that leaves runs in doubt, and up to four further troubles.
func drawDay(seed uint64, answersLost bool) day {
	r := rand.New(rand.NewPCG(seed, 0))

	var d day

	for start := firstRound + 4*r.Float64(); start < lastRound; start += roundPause + 4*r.Float64() {
		d = append(d, drawRound(r, start, answersLost)...)
	}

	return d
}

func drawRound(r *rand.Rand, start float64, answersLost bool) day {
	d := day{drawFrom(r, agents), drawFrom(r, orders)}
	if answersLost && r.IntN(2) == 0 {
		d[1] = drawFrom(r, answers)
	}

	for range minTroubles - len(d) + r.IntN(maxTroubles-minTroubles+1) {
		d = append(d, drawFrom(r, drawGroup(r)))
	}

	for i := range d {
		d[i].at = start + troubleSpan*r.Float64()
	}

	return d
}

// text returns the day in the format of deploy/days, its entries in the order in which
// they begin.
func (d day) text(name string) string {
	sorted := slices.SortedFunc(slices.Values(d), func(a, b trouble) int {
		if a.at < b.at {
			return -1
		}

		return 1
	})

	var b strings.Builder

	fmt.Fprintf(&b, "name = %q\nslot = \"trouble\"\n", name)

	for _, list := range []struct {
		key     string
		planned bool
	}{{"plan", true}, {"faults", false}} {
		fmt.Fprintf(&b, "%s = [\n", list.key)

		for _, t := range sorted {
			if t.planned == list.planned {
				fmt.Fprintf(&b, "  %s,\n", t.text())
			}
		}

		b.WriteString("]\n")
	}

	return b.String()
}

func (t trouble) text() string {
	fields := []string{fmt.Sprintf("at = %.2f", t.at), fmt.Sprintf("kind = %q", t.kind)}

	for _, f := range []struct{ key, value string }{{"on", t.on}, {"how", t.how}} {
		if f.value != "" {
			fields = append(fields, fmt.Sprintf("%s = %q", f.key, f.value))
		}
	}

	if t.count > 0 {
		fields = append(fields, fmt.Sprintf("count = %d", t.count))
	}

	for _, f := range []struct {
		key   string
		value float64
	}{{"share", t.share}, {"x", t.strength}, {"for_s", t.duration}, {"gap_s", t.gap}} {
		if f.value > 0 {
			fields = append(fields, fmt.Sprintf("%s = %.2f", f.key, f.value))
		}
	}

	return "{ " + strings.Join(fields, ", ") + " }"
}
