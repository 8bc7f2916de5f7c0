package fleet

import (
	"slices"
	"time"

	"trefoildeck/core/job"
)

// maxUselessSizes bounds the sizes that are remembered. Deployments have up to some ten kinds of
// tasks that differ in their constraints.
const maxUselessSizes = 32

// uselessSize is a size for which a search found no reservation to be of use.
type uselessSize struct {
	constraints constraints
	need        job.Size
	// oneEnd means that the end of one run gives such a task its room, and so it does to
	// smaller ones. Otherwise no worker is expected to have room for it, nor for larger ones.
	oneEnd bool
	until  time.Duration
}

func (u *uselessSize) covers(now time.Duration, c constraints, need job.Size) bool {
	if now >= u.until || u.constraints != c {
		return false
	}

	if u.oneEnd {
		return u.need.CanFit(need)
	}

	return need.CanFit(u.need)
}

// uselessSizes has the sizes for which a search found no reservation to be of use lately. Without
// them, hundreds of small tasks that wait would use up the searches before a large one is reached.
type uselessSizes []uselessSize

// until returns the time until which no reservation is of use for a size, or 0.
func (l uselessSizes) until(now time.Duration, c constraints, need job.Size) time.Duration {
	for i := range l {
		if l[i].covers(now, c, need) {
			return l[i].until
		}
	}

	return 0
}

// add adds a size in place of the oldest one if there are too many.
func (l *uselessSizes) add(u uselessSize) {
	if len(*l) == maxUselessSizes {
		*l = slices.Delete(*l, 0, 1)
	}

	*l = append(*l, u)
}
