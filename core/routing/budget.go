package routing

import (
	"time"

	"trefoildeck/core/quantile"
)

// The budget of retries and hedges.
const (
	// tokensPerSuccess limits retries and hedges to a tenth of the requests that
	// succeed.
	tokensPerSuccess = 0.1
	maxTokens        = 20
	initialTokens    = 10
	// maxLossTokens is the initial and the maximum number of tokens for retries of
	// lost attempts. It is higher than maxTokens because all attempts on a broken
	// connection are lost at once.
	maxLossTokens = 512
	// hedgeQuantile is the quantile of the latency after which a hedge is sent.
	hedgeQuantile = 0.95
	minHedgeDelay = time.Millisecond
	maxHedgeDelay = 10 * time.Second
	// initialHedgeDelay is the first estimate, before any success.
	initialHedgeDelay = 50 * time.Millisecond
)

// budget limits the extra load of retries and hedges by tokens. Only successes
// add tokens, so that retries stop when every request fails.
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

// record adds tokens for a success, and its latency to the hedge delay.
func (b *budget) record(r Result) {
	if r.Kind != ResultSuccess {
		return
	}

	b.tokens = min(b.tokens+tokensPerSuccess, maxTokens)
	b.lossTokens = min(b.lossTokens+tokensPerSuccess, maxLossTokens)
	b.latency.Add(r.Latency)
}

// takeToken takes a token for a retry or a hedge.
func (b *budget) takeToken() bool {
	if b.tokens < 1 {
		return false
	}

	b.tokens--

	return true
}

// takeLossToken takes a token for the retry of a lost attempt.
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
