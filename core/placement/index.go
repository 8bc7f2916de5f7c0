package placement

import (
	"math/bits"
	"slices"
)

// bucketsPerDoubling is the number of buckets for each doubling of free
// processors.
const bucketsPerDoubling = 4

const bucketCount = 32 * bucketsPerDoubling

// class separates workers with free accelerators from the others, so that tasks
// that need no accelerator use such workers only when no other has room.
type class int

const (
	classPlain class = iota
	classAccelerated
	classCount
)

// index groups the workers of a shard by their free processors.
type index struct {
	buckets [classCount][bucketCount][]*workerInfo
}

// indexSlot is a worker's position in an index.
type indexSlot struct {
	in       bool
	class    class
	bucket   int
	position int
}

// bucketOf maps free processors to a bucket. It is monotonic: more free processors
// never give a lower bucket.
func bucketOf(milliCores int64) int {
	if milliCores < bucketsPerDoubling {
		return int(max(milliCores, 0))
	}

	octave := bits.Len64(uint64(milliCores)) - 1
	part := int(milliCores>>(octave-2)) & (bucketsPerDoubling - 1)

	return min(octave*bucketsPerDoubling+part, bucketCount-1)
}

func classOf(free Size) class {
	if free.Accelerators > 0 {
		return classAccelerated
	}

	return classPlain
}

// update moves a worker to the bucket for its current free resources.
func (x *index) update(r *workerInfo) {
	c, n := classOf(r.free), bucketOf(r.free.MilliCores)
	if r.slot.in && r.slot.class == c && r.slot.bucket == n {
		return
	}

	x.remove(r)

	list := x.buckets[c][n]
	r.slot = indexSlot{
		in:       true,
		class:    c,
		bucket:   n,
		position: len(list),
	}
	x.buckets[c][n] = append(list, r)
}

func (x *index) remove(r *workerInfo) {
	if !r.slot.in {
		return
	}

	list := x.buckets[r.slot.class][r.slot.bucket]
	last := list[len(list)-1]
	list[r.slot.position] = last
	last.slot.position = r.slot.position
	x.buckets[r.slot.class][r.slot.bucket] = slices.Delete(list, len(list)-1, len(list))
	r.slot = indexSlot{}
}

// all calls visit with every worker, in no particular order.
func (x *index) all(visit func(*workerInfo)) {
	for c := range x.buckets {
		for _, list := range x.buckets[c] {
			for _, r := range list {
				visit(r)
			}
		}
	}
}

// each calls visit with the workers that may have room for size, those with the
// fewest free processors first, until visit returns false. Iteration of a bucket
// begins at offset modulo its length, so that callers can spread load over
// workers of the same bucket.
func (x *index) each(size Size, offset int, visit func(*workerInfo) bool) {
	first := classPlain
	if size.Accelerators > 0 {
		first = classAccelerated
	}

	for c := first; c < classCount; c++ {
		for n := bucketOf(size.MilliCores); n < bucketCount; n++ {
			list := x.buckets[c][n]
			for i := range list {
				if !visit(list[(i+offset)%len(list)]) {
					return
				}
			}
		}
	}
}
