package routing

import (
	"time"

	"trefoildeck/core/quantile"
)

// The budget of retries and hedges, as a share of answered requests.
const (
	tokensPerSuccess = 0.1
	maxTokens        = 20
	initialTokens    = 10
	// maxLossTokens allows more where copies were lost: what was on broken
	// connections comes all at once.
	maxLossTokens = 512
	hedgeQuantile = 0.95
	minHedgeDelay = time.Millisecond
	maxHedgeDelay = 10 * time.Second
	// initialHedgeDelay is the delay before anything was learnt.
	initialHedgeDelay = 50 * time.Millisecond
)

// budget bounds the extra load of retries and hedges. Only successes earn
// tokens, so it runs dry when everything fails.
type budget struct {
	tokens     float64
	lossTokens float64
	latency    quantile.Tracker
}

func newBudget() budget {
	return budget{
		tokens:     initialTokens,
		lossTokens: maxLossTokens,
		latency:    quantile.New(hedgeQuantile, quantile.Fine, initialHedgeDelay),
	}
}

func (b *budget) record(r Result) {
	if r.Kind != ResultSuccess {
		return
	}

	b.tokens = min(b.tokens+tokensPerSuccess, maxTokens)
	b.lossTokens = min(b.lossTokens+tokensPerSuccess, maxLossTokens)
	b.latency.Add(r.Latency)
}

func (b *budget) takeToken() bool {
	if b.tokens < 1 {
		return false
	}

	b.tokens--

	return true
}

// takeLossToken is take for a copy that replaces a lost one.
func (b *budget) takeLossToken() bool {
	if b.lossTokens < 1 {
		return false
	}

	b.lossTokens--

	return true
}

func (b *budget) hedgeDelay() time.Duration {
	return min(max(b.latency.Value(), minHedgeDelay), maxHedgeDelay)
}
