package colocation

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// effects returns what is known of pairs of images, a filling and a serving one. All other pairs are
// harmless.
func effects(harmful, unknown map[[2]string]bool) func(string, string) Effect {
	return func(filling, serving string) Effect {
		switch pair := [2]string{filling, serving}; {
		case harmful[pair]:
			return Harmful
		case unknown[pair]:
			return Unknown
		default:
			return Harmless
		}
	}
}

// twoKinds has eight workers with serving tasks that block the image "hot", and two that don't.
func twoKinds() ([]Worker, func(string, string) Effect) {
	workers := make([]Worker, 10)

	for i := range workers {
		workers[i] = Worker{
			Serving: map[string]int{"api": 5},
			Free:    16,
			Idle:    16,
		}
	}

	workers[3].Serving = map[string]int{"search": 5}
	workers[7].Serving = map[string]int{"search": 5}

	return workers, effects(map[[2]string]bool{{"hot", "api"}: true}, nil)
}

// TestPrice guards against tasks of an image that suits all workers on the only ones that suit another
// image, of which more tasks wait than these can run.
func TestPrice(t *testing.T) {
	workers, effect := twoKinds()

	tests := map[string]struct {
		hot    float64
		worker int
		image  string
		want   float64
	}{
		"Scarce":    {48, 3, "any", 1.5},
		"Own":       {48, 3, "hot", 0},
		"Unknown":   {48, 3, "other", 1.5},
		"Blocked":   {48, 0, "any", 0},
		"NoWaiting": {0, 3, "any", 0},
		"Bounded":   {1000, 3, "any", maxPressure},
		"NoWorker":  {48, 10, "any", 0},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var p Planner

			p.Update(time.Second, []Demand{{Image: "hot", Waiting: c.hot}, {Image: "any", Running: 90}}, workers, effect)
			assert.Equal(t, p.Price(c.worker, c.image), c.want)
		})
	}
}

// TestNewlyBlocked guards against serving tasks that are spread over workers where each kind of filling
// work is then blocked by one of them.
func TestNewlyBlocked(t *testing.T) {
	effect := effects(map[[2]string]bool{{"hot", "api"}: true, {"hot", "web"}: true, {"cold", "search"}: true},
		map[[2]string]bool{{"cold", "new"}: true})

	tests := map[string]struct {
		serving map[string]int
		image   string
		want    float64
	}{
		"Empty":        {nil, "api", 0.75},
		"SameImage":    {map[string]int{"api": 2}, "api", 0},
		"SameEffect":   {map[string]int{"web": 2}, "api", 0},
		"OtherEffect":  {map[string]int{"search": 1}, "api", 0.75},
		"SmallDemand":  {map[string]int{"api": 1}, "search", 0.25},
		"WithoutProof": {nil, "new", 0.25 * unknownBlocks},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var p Planner

			p.Update(time.Minute, []Demand{{Image: "hot", Waiting: 30}, {Image: "cold", Running: 10}}, nil, effect)
			assert.Equal(t, p.NewlyBlocked(c.serving, c.image), c.want)
		})
	}

	var p Planner
	assert.Equal(t, p.NewlyBlocked(nil, "api"), 0.0, "without any filling work")
}

// TestRecentWork guards against serving tasks that are placed as if there were no work of an image whose
// last tasks have just ended.
func TestRecentWork(t *testing.T) {
	effect := effects(map[[2]string]bool{{"hot", "api"}: true}, nil)

	var p Planner

	p.Update(time.Minute, []Demand{{Image: "hot", Waiting: 30}, {Image: "cold", Running: 10}}, nil, effect)
	p.Update(time.Minute+time.Second, []Demand{{Image: "cold", Running: 10}}, nil, effect)

	share := p.NewlyBlocked(nil, "api")
	assert.Assert(t, share > 0.7 && share < 0.75, "%g", share)
	assert.Equal(t, p.Price(0, "cold"), 0.0)

	// It is forgotten in the end.
	for now := 2 * time.Minute; now < 4*time.Minute; now += time.Second {
		p.Update(now, []Demand{{Image: "cold", Running: 10}}, nil, effect)
	}

	assert.Equal(t, p.NewlyBlocked(nil, "api"), 0.0)
	assert.Equal(t, len(p.recent), 1)
}

// TestWorkBesideManyImages guards against work that is left out for good because many images with little
// work came before: two jobs have up to 200.
func TestWorkBesideManyImages(t *testing.T) {
	effect := effects(map[[2]string]bool{{"hot", "api"}: true}, nil)

	var (
		p       Planner
		demands []Demand
	)

	for i := range 200 {
		demands = append(demands, Demand{
			Image:   fmt.Sprintf("small-%d", i),
			Waiting: 0.1,
		})
	}

	p.Update(time.Minute, demands, nil, effect)
	demands = append(demands, Demand{
		Image:   "hot",
		Waiting: 100,
	})

	for now := time.Minute; now < 2*time.Minute; now += 100 * time.Millisecond {
		p.Update(now, demands, nil, effect)
	}

	assert.Assert(t, p.NewlyBlocked(nil, "api") > 0.9, "%g", p.NewlyBlocked(nil, "api"))
}

// TestCandidates guards against filling work that waits although the move of one serving task would
// free a worker, and against moves that free nothing, too little, or work that has room elsewhere.
func TestCandidates(t *testing.T) {
	effect := effects(map[[2]string]bool{{"hot", "api"}: true, {"hot", "web"}: true}, map[[2]string]bool{{"hot", "new"}: true})

	tests := map[string]struct {
		serving map[string]int
		waiting float64
		free    float64
		want    []Candidate
	}{
		"OneOfFive":     {map[string]int{"api": 1, "search": 4}, 30, 0, []Candidate{{Worker: 0, Image: "api", Gain: 16}}},
		"TwoOfFive":     {map[string]int{"api": 2, "search": 3}, 30, 0, []Candidate{{Worker: 0, Image: "api", Gain: 8}}},
		"LittleWaiting": {map[string]int{"api": 1, "search": 4}, 3, 0, []Candidate{{Worker: 0, Image: "api", Gain: 3}}},
		"TooLittle":     {map[string]int{"api": 2, "search": 3}, 3, 0, nil},
		"StillBlocked":  {map[string]int{"api": 1, "web": 4}, 30, 0, nil},
		"MaybeBlocked":  {map[string]int{"api": 1, "new": 4}, 30, 0, nil},
		"RoomElsewhere": {map[string]int{"api": 1, "search": 4}, 30, 30, nil},
		"NothingWaits":  {map[string]int{"api": 1, "search": 4}, 0, 0, nil},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var p Planner

			p.Update(time.Second, []Demand{{Image: "hot", Waiting: c.waiting}}, []Worker{
				{Serving: c.serving, Free: 16, Idle: 16},
				{Serving: map[string]int{"search": 5}, Free: c.free, Idle: 16},
			}, effect)
			assert.DeepEqual(t, p.Candidates(), c.want)
		})
	}
}

// TestManyImages guards against an index beyond the images that are considered, and against memory
// that grows with the images that were ever seen.
func TestManyImages(t *testing.T) {
	var p Planner

	for round := range 20 {
		var demands []Demand
		for i := range 3 * maxImages {
			demands = append(demands, Demand{
				Image:   fmt.Sprintf("image-%d-%d", round, i),
				Waiting: float64(i) / 100,
			})
		}

		p.Update(time.Duration(round)*time.Second, demands, []Worker{{Free: 1}}, effects(nil, nil))
	}

	assert.Equal(t, len(p.demands), maxImages)
	assert.Assert(t, len(p.recent) <= 2*maxImages)
	assert.Equal(t, p.demands[0].Image, "image-19-191")
	assert.Assert(t, p.Price(0, "image-19-190") > 0)
}
