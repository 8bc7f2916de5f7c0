package coordinator

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"
	"trefoildeck/io/rows"

	"gotest.tools/v3/assert"
)

// addRelayPeers adds processes that record the calls that they are asked to make.
func addRelayPeers(c *Coordinator, calls map[string]int, names ...string) map[string]*relayPeer {
	for _, name := range names {
		c.relayPeers[name] = &relayPeer{
			session: &peer.Session{},
			send: func(*peerpb.Frame) error {
				calls[name]++

				return nil
			},
		}
	}

	return c.relayPeers
}

// TestRelayTurns checks that relayed calls go to all other processes in turn, that one
// that can't be reached costs no call, and that a call fails at once without any.
func TestRelayTurns(t *testing.T) {
	const names = 4

	c, calls := newTestCoordinator(&rows.Store{}), map[string]int{}
	peers := addRelayPeers(c, calls, "front-2", "front-3", "front-4", "front-5")

	for range 2 * names {
		_, sent := c.sendStoreCall(&peerpb.StoreCall{})
		assert.Assert(t, sent)
	}

	for name, n := range calls {
		assert.Equal(t, n, 2, name)
	}

	for _, p := range peers {
		p.send = func(*peerpb.Frame) error { return net.ErrClosed }
	}

	began := time.Now()
	_, err := c.relay(t.Context(), &peerpb.StoreCall{}, time.Hour)
	assert.ErrorIs(t, err, rows.ErrRefused)
	assert.Assert(t, time.Since(began) < time.Minute)
}

// TestRelayEnds checks that a relayed call fails as unknown when the session of the process
// that makes it ends, without waiting out its limit, and that other calls go on.
func TestRelayEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, calls := newTestCoordinator(&rows.Store{}), map[string]int{}
		peers := addRelayPeers(c, calls, "front-2", "front-3")

		errs := make(chan error, len(peers))
		for range peers {
			go func() {
				_, err := c.relay(t.Context(), &peerpb.StoreCall{}, relayTimeout)
				errs <- err
			}()
		}

		synctest.Wait()

		began := time.Now()
		c.dropRelayPeer(peers["front-2"].session)
		assert.ErrorIs(t, <-errs, rows.ErrUnknown)
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, len(c.relayPeers), 1)

		assert.ErrorIs(t, <-errs, rows.ErrUnknown)
		assert.Equal(t, time.Since(began), relayTimeout)
	})
}
