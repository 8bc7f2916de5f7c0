package main

import (
	"fmt"
	"time"
)

// cases has a function for each case, which returns whether a rule was broken.
var cases = map[string]func(d *deployment, trouble bool) bool{
	"attempts": attempts,
	"held":     heldBack,
	"rests":    rests,
	"removed":  removed,
}

// newWorkers returns workers of kind a, three a rack. plan returns the plan of the runs of each.
func newWorkers(n, cpu, memory int, plan func(w *worker) func(string, int) (time.Duration, string)) []*worker {
	var list []*worker

	for i := range n {
		w := &worker{
			id:     fmt.Sprintf("i-%c7f3", 'a'+i),
			cpu:    cpu,
			memory: memory,
			zone:   "lannion",
			labels: []string{"a", fmt.Sprintf("r1-%d", 1+i/3)},
		}
		w.plan = plan(w)
		list = append(list, w)
	}

	return list
}
