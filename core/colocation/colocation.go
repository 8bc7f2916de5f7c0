// Package colocation decides which workers filling tasks should leave to other filling images, and
// which serving tasks should run beside each other.
//
// A filling task uses the processor time that the serving tasks of its worker leave idle, and slows
// some of their images so much that it can't run beside them. The load that this package answers is one
// in which few images make up much of the filling work, and each of them slows serving tasks on most
// workers: its tasks wait, while the few workers that suit them are full of tasks of images that could
// run anywhere, and other workers are idle.
//
//   - A price for each worker and filling image: how scarce the worker is for other images.
//   - For a serving task, what share of the filling work a worker can no longer run beside it.
//   - The serving tasks whose moves would free workers for filling work that has none.
//
// The package does no I/O and reads no clock. Work is in cores: the sizes of the tasks that run, or
// would if there were room.
//
// # Usage
//
//	var p colocation.Planner
//	p.Update(now, demands, workers, effect) // workers as at the last update
//	score -= p.Price(worker, image)         // of a worker for a filling task
//	share := p.NewlyBlocked(images, image)  // by a serving task on a worker
//	for _, c := range p.Candidates() { … }  // serving tasks to be moved
package colocation

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"
)

const (
	// maxImages is the number of filling images that are considered, those with the most work
	// first. Sets of them are bit masks.
	maxImages = 64
	// unknownBlocks is the assumed probability that a pair of images without evidence can't run
	// together: about a third of the pairs on the users' deployments can't.
	unknownBlocks = 0.35
	// demandMemory is the time constant with which the work of an image is forgotten. Serving tasks
	// run for a minute or more, so that the images of the last seconds shape their placement.
	demandMemory = 15 * time.Second
	// minRecent is the smoothed work, in cores, below which an image without present work is forgotten.
	minRecent = 0.01
	// maxPressure bounds the pressure of an image, so that one that suits no worker doesn't outweigh
	// all else.
	maxPressure = 4.0
	// minGain is the least number of cores for waiting work that the move of one serving task
	// must free. A move takes the task out of service for about 1.5 s.
	minGain = 2.0
)

// Demand is the filling work of an image, in cores.
type Demand struct {
	Image string
	// Waiting is the work that has no worker, or waits on one at a low pace.
	Waiting float64
	Running float64
}

// Effect is what is known of a filling image beside a serving image.
type Effect int

// Effects of a filling image on a serving image.
const (
	Unknown Effect = iota
	// Harmless means that the serving tasks are not slowed noticeably.
	Harmless
	// Harmful means that they are slowed, so that the filling tasks are paced down.
	Harmful
)

// Worker is a worker on which filling tasks may be placed.
type Worker struct {
	// Serving has the number of its serving tasks by image.
	Serving map[string]int
	// Free is the idle processor time that no task has taken, and Idle all that serving and plain
	// tasks leave, in cores.
	Free, Idle float64
}

// Candidate is a worker on which one serving image keeps filling work from running that has no other
// worker.
type Candidate struct {
	// Worker is the index in the list of Update.
	Worker int
	Image  string
	// Gain is the work that could run, in cores for each serving task to be moved.
	Gain float64
}

// mask is a set of filling images.
type mask uint64

// images is the set of all filling images that a serving image, or a worker, blocks or may block.
type images struct{ blocked, unknown mask }

func (i images) union(o images) images {
	return images{
		blocked: i.blocked | o.blocked,
		unknown: i.unknown | o.unknown,
	}
}

// probability returns that with which an image can't run.
func (i images) probability(image mask) float64 {
	switch {
	case i.blocked&image != 0:
		return 1
	case i.unknown&image != 0:
		return unknownBlocks
	default:
		return 0
	}
}

// Planner has the state of the last update. Its zero value knows nothing, and prices and shares are 0.
// It is not safe for concurrent use.
type Planner struct {
	updated time.Duration
	// recent is the filling work by image, smoothed over demandMemory. It has the images of demands.
	recent map[string]float64

	index map[string]int
	// demands has the images that are considered: those with the most present work, then those with
	// recent work.
	demands []Demand
	// room is the free processor time on the workers that suit an image, and pressure how scarce
	// it is.
	room, pressure []float64
	effects        map[string]images
	effect         func(filling, serving string) Effect
	workers        []workerState
}

// workerState is a worker as of the last update.
type workerState struct {
	Worker
	// usable has the filling images that can run there, and first and second are those of them
	// with the highest pressure, or -1.
	usable        mask
	first, second int
}

// Update replaces what is known of the demands and the workers. effect must stay valid until the next
// update.
func (p *Planner) Update(now time.Duration, demands []Demand, workers []Worker, effect func(filling, serving string) Effect) {
	p.demands = slices.Clone(demands)
	slices.SortFunc(p.demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Waiting+b.Running, a.Waiting+a.Running), cmp.Compare(a.Image, b.Image))
	})
	p.demands = p.demands[:min(len(p.demands), maxImages)]
	p.remember(now)

	p.effect = effect
	p.effects = map[string]images{}
	p.index = make(map[string]int, len(p.demands))

	for i, d := range p.demands {
		p.index[d.Image] = i
	}

	p.addWorkers(workers)
	p.rank()
}

// remember updates the smoothed work of the images that are considered, and adds those without present
// work to them. Of these, it forgets the smallest.
func (p *Planner) remember(now time.Duration) {
	if p.recent == nil {
		p.recent = map[string]float64{}
	}

	share := min(1, max(0, float64(now-p.updated)/float64(demandMemory)))
	p.updated = now

	for i := range p.recent {
		p.recent[i] *= 1 - share
	}

	past := maps.Clone(p.recent)

	for _, d := range p.demands {
		p.recent[d.Image] += share * (d.Waiting + d.Running)
		delete(past, d.Image)
	}

	names := slices.SortedFunc(maps.Keys(past), func(a, b string) int {
		return cmp.Or(cmp.Compare(past[b], past[a]), cmp.Compare(a, b))
	})

	for _, i := range names {
		if past[i] < minRecent || len(p.demands) == maxImages {
			delete(p.recent, i)
		} else {
			p.demands = append(p.demands, Demand{Image: i})
		}
	}
}

// addWorkers determines which images each worker suits, and the room for each image.
func (p *Planner) addWorkers(workers []Worker) {
	all := ^mask(0)
	if n := len(p.demands); n < maxImages {
		all = 1<<n - 1
	}

	p.workers = slices.Grow(p.workers[:0], len(workers))
	p.room = make([]float64, len(p.demands))

	for _, w := range workers {
		var on images
		for s := range w.Serving {
			on = on.union(p.effectsOf(s))
		}

		s := workerState{
			Worker: w,
			usable: all &^ (on.blocked | on.unknown),
		}
		p.workers = append(p.workers, s)

		for m := s.usable; m != 0; m &= m - 1 {
			p.room[bits.TrailingZeros64(uint64(m))] += max(0, w.Free)
		}
	}
}

// rank determines the pressure of each image, and the images with the highest one on each worker.
func (p *Planner) rank() {
	p.pressure = make([]float64, len(p.demands))
	for i, d := range p.demands {
		p.pressure[i] = min(maxPressure, d.Waiting/max(1, p.room[i]))
	}

	for i := range p.workers {
		w := &p.workers[i]
		w.first, w.second = -1, -1

		for m := w.usable; m != 0; m &= m - 1 {
			n := bits.TrailingZeros64(uint64(m))

			switch {
			case w.first < 0 || p.pressure[n] > p.pressure[w.first]:
				w.first, w.second = n, w.first
			case w.second < 0 || p.pressure[n] > p.pressure[w.second]:
				w.second = n
			}
		}
	}
}

// effectsOf returns the filling images that a serving image blocks or may block.
func (p *Planner) effectsOf(serving string) images {
	i, ok := p.effects[serving]
	if ok || p.effect == nil {
		return i
	}

	for n, d := range p.demands {
		switch p.effect(d.Image, serving) {
		case Harmful:
			i.blocked |= 1 << n
		case Unknown:
			i.unknown |= 1 << n
		case Harmless:
		}
	}

	p.effects[serving] = i

	return i
}

// Price returns by how much the pressure of another filling image that a worker suits exceeds that of
// the given one: 0 if the worker is not scarce, at most maxPressure. worker is an index in the list of
// the last update.
func (p *Planner) Price(worker int, image string) float64 {
	if worker < 0 || worker >= len(p.workers) {
		return 0
	}

	w := &p.workers[worker]
	own, other := 0.0, w.first

	if n, ok := p.index[image]; ok {
		own = p.pressure[n]

		if n == w.first {
			other = w.second
		}
	}

	if other < 0 {
		return 0
	}

	return max(0, p.pressure[other]-own)
}

// NewlyBlocked returns the share of the recent filling work that can't run on a worker any more if a
// serving task of an image is added to serving tasks of other images.
func (p *Planner) NewlyBlocked(serving map[string]int, image string) float64 {
	if serving[image] > 0 {
		return 0
	}

	var before images

	for s := range serving {
		before = before.union(p.effectsOf(s))
	}

	added := p.effectsOf(image)
	total, blocked := 0.0, 0.0

	for n, d := range p.demands {
		recent := p.recent[d.Image]
		total += recent
		blocked += recent * max(0, added.probability(1<<n)-before.probability(1<<n))
	}

	if total == 0 {
		return 0
	}

	return blocked / total
}

// Candidates returns the moves that free most work for each serving task, of at least minGain cores, at
// most one for each worker.
func (p *Planner) Candidates() []Candidate {
	var unmet mask

	for n, d := range p.demands {
		if d.Waiting > p.room[n] {
			unmet |= 1 << n
		}
	}

	if unmet == 0 {
		return nil
	}

	var list []Candidate

	for i := range p.workers {
		if c, ok := p.candidate(i, unmet); ok {
			list = append(list, c)
		}
	}

	slices.SortStableFunc(list, func(a, b Candidate) int { return cmp.Compare(b.Gain, a.Gain) })

	return list
}

// candidate returns the best move on a worker, and whether it frees enough.
func (p *Planner) candidate(worker int, unmet mask) (Candidate, bool) {
	var best Candidate

	w := &p.workers[worker]

	for s, count := range w.Serving {
		var others images

		for o := range w.Serving {
			if o != s {
				others = others.union(p.effectsOf(o))
			}
		}

		freed := unmet & p.effectsOf(s).blocked &^ (others.blocked | others.unknown)
		work := 0.0

		for m := freed; m != 0; m &= m - 1 {
			n := bits.TrailingZeros64(uint64(m))
			work += p.demands[n].Waiting - p.room[n]
		}

		gain := min(work, w.Idle) / float64(count)
		if gain > best.Gain || (gain == best.Gain && s < best.Image) {
			best = Candidate{
				Worker: worker,
				Image:  s,
				Gain:   gain,
			}
		}
	}

	return best, best.Gain >= minGain
}
