package routing

import (
	"time"

	"trefoildeck/core/quantile"
)

// The budget of retries and hedges, as a share of answered requests.
const (
	retryShare    = 0.1
	maxTokens     = 20
	initialTokens = 10
	// maxLossTokens allows more where copies were lost: what was on broken
	// connections comes all at once.
	maxLossTokens = 512
	hedgeQuantile = 0.95
	minHedgeDelay = time.Millisecond
	maxHedgeDelay = 10 * time.Second
	// firstHedgeDelay is the delay before anything was learnt.
	firstHedgeDelay = 50 * time.Millisecond
)

// budget bounds the extra load of retries and hedges. Only successes earn
// tokens, so it runs dry when everything fails.
type budget struct {
	tokens  float64
	losses  float64
	latency quantile.Tracker
}

func newBudget() budget {
	return budget{
		tokens:  initialTokens,
		losses:  maxLossTokens,
		latency: quantile.New(hedgeQuantile, quantile.Fine, firstHedgeDelay),
	}
}

func (b *budget) learn(r Result) {
	if r.Kind != ResultSuccess {
		return
	}

	b.tokens = min(b.tokens+retryShare, maxTokens)
	b.losses = min(b.losses+retryShare, maxLossTokens)
	b.latency.Add(r.Latency)
}

func (b *budget) take() bool {
	if b.tokens < 1 {
		return false
	}

	b.tokens--

	return true
}

// takeLoss is take for a copy that replaces a lost one.
func (b *budget) takeLoss() bool {
	if b.losses < 1 {
		return false
	}

	b.losses--

	return true
}

func (b *budget) hedgeDelay() time.Duration {
	return min(max(b.latency.Value(), minHedgeDelay), maxHedgeDelay)
}
