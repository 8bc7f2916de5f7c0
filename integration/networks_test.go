package integration_test

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Loopback networks 127.N.0.0/16 for hosted deployments, by N. Other tests use 127.0.0.1.
const (
	firstNetwork = 11
	lastNetwork  = 254
)

// networks has the loopback networks in use.
var networks = networkPool{used: map[int]bool{}}

// networkPool gives each deployment a loopback network of its own, in turn, so that one that
// has ended is used again last.
type networkPool struct {
	mu   sync.Mutex
	last int
	used map[int]bool
}

// take returns a network, or false if all are in use.
func (p *networkPool) take() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for range lastNetwork - firstNetwork + 1 {
		if p.last++; p.last < firstNetwork || p.last > lastNetwork {
			p.last = firstNetwork
		}

		if !p.used[p.last] {
			p.used[p.last] = true

			return p.last, true
		}
	}

	return 0, false
}

func (p *networkPool) release(network int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	delete(p.used, network)
}

// takeNetwork returns a loopback network for a deployment of a test, until the test ends.
func takeNetwork(t *testing.T) int {
	t.Helper()

	network, ok := networks.take()
	assert.Assert(t, ok, "all loopback networks are in use")
	t.Cleanup(func() { networks.release(network) })

	return network
}

// TestNetworksNotShared guards against two deployments on one loopback network: their processes
// took each other's ports.
func TestNetworksNotShared(t *testing.T) {
	const count = lastNetwork - firstNetwork + 1

	p := networkPool{used: map[int]bool{}}
	taken := map[int]bool{}

	for range count {
		n, ok := p.take()
		assert.Assert(t, ok && !taken[n] && n >= firstNetwork && n <= lastNetwork, "%d", n)
		taken[n] = true
	}

	_, ok := p.take()
	assert.Assert(t, !ok)

	p.release(firstNetwork + 3)

	n, ok := p.take()
	assert.Assert(t, ok)
	assert.Equal(t, n, firstNetwork+3)
}
