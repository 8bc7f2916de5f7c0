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
func addRelayPeers(c *Coordinator, calls map[string]int, names ...string) map[string]*peer.Session {
	sessions := map[string]*peer.Session{}

	for _, name := range names {
		sessions[name] = &peer.Session{}
		c.relayPeers[sessions[name]] = relayPeer{
			name: name,
			send: func(*peerpb.Frame) error {
				calls[name]++

				return nil
			},
		}
	}

	return sessions
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

	for name, s := range peers {
		c.relayPeers[s] = relayPeer{
			name: name,
			send: func(*peerpb.Frame) error { return net.ErrClosed },
		}
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
		c.dropRelayPeer(peers["front-2"])
		assert.ErrorIs(t, <-errs, rows.ErrUnknown)
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, len(c.relayPeers), 1)

		assert.ErrorIs(t, <-errs, rows.ErrUnknown)
		assert.Equal(t, time.Since(began), relayTimeout)
	})
}

// TestRelayPeerTwice checks that a process stays available for relayed calls when one of
// two sessions with it ends: a leader that has lost its lease may still dial its successor.
func TestRelayPeerTwice(t *testing.T) {
	c := newTestCoordinator(&rows.Store{})
	fromLeader, toLeader := &peer.Session{}, &peer.Session{}

	c.addRelayPeer(fromLeader, "front-3")
	c.addRelayPeer(toLeader, "front-3")
	c.dropRelayPeer(toLeader)
	assert.Equal(t, len(c.relayPeers), 1)

	c.dropRelayPeer(fromLeader)
	assert.Equal(t, len(c.relayPeers), 0)
}
