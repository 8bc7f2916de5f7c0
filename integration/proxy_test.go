package integration_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// faultProxy is a fault-injecting TCP proxy to one address. Its streams are
// "upstream", from clients to that address, and "downstream", back to them.
type faultProxy struct {
	t     *testing.T
	proxy *toxiproxy.Proxy
	// cuts has the streams that are cut.
	cuts map[string]bool
}

// silence is a toxic that drops all data on the connections that were opened before
// Cutoff, without a reset, and passes the data of newer ones.
type silence struct {
	// Cutoff is a Unix time in nanoseconds.
	Cutoff int64
}

// connectionState is the state of a silence toxic for one connection.
type connectionState struct {
	openedAt time.Time
	// pending is data that was not passed on when the toxic was interrupted, or nil.
	pending *stream.StreamChunk
}

// NewState implements toxics.StatefulToxic.
func (s *silence) NewState() any {
	return &connectionState{openedAt: time.Now()}
}

// Pipe implements toxics.Toxic. It can be interrupted while it passes data on: nothing reads
// from a connection that is closed until the interruption is over.
func (s *silence) Pipe(stub *toxics.ToxicStub) {
	state, ok := stub.State.(*connectionState)
	if !ok {
		state = &connectionState{openedAt: time.Now()}
		stub.State = state
	}

	drop := state.openedAt.UnixNano() < s.Cutoff

	for {
		if state.pending != nil && !drop {
			select {
			case <-stub.Interrupt:
				return
			case stub.Output <- state.pending:
			}
		}

		state.pending = nil

		select {
		case <-stub.Interrupt:
			return
		case c := <-stub.Input:
			if c == nil {
				stub.Close()

				return
			}

			state.pending = c
		}
	}
}

// TestSilenceInterrupted checks that the toxic can be interrupted while nothing reads what
// it passes on, and that it passes the same data on afterwards.
func TestSilenceInterrupted(t *testing.T) {
	t.Parallel()

	input, output := make(chan *stream.StreamChunk, 1), make(chan *stream.StreamChunk)
	stub := toxics.NewToxicStub(input, output)
	stub.State = &connectionState{openedAt: time.Now()}

	interrupted := make(chan bool, 1)

	go stub.Run(&toxics.ToxicWrapper{Toxic: new(silence), Toxicity: 1})

	input <- &stream.StreamChunk{Data: []byte("a")}

	time.Sleep(50 * time.Millisecond)

	go func() { interrupted <- stub.InterruptToxic() }()

	select {
	case ok := <-interrupted:
		assert.Assert(t, ok)
	case <-time.After(5 * time.Second):
		t.Fatal("the toxic is not interrupted")
	}

	go stub.Run(&toxics.ToxicWrapper{Toxic: new(silence), Toxicity: 1})
	assert.Equal(t, string((<-output).Data), "a")
	close(input)
}

func newFaultProxy(t *testing.T, name, listen, upstream string) *faultProxy {
	t.Helper()

	toxics.Register("silence", new(silence))

	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	proxy := toxiproxy.NewProxy(server, name, listen, upstream)
	assert.NilError(t, proxy.Start())
	t.Cleanup(proxy.Stop)

	f := &faultProxy{
		t:     t,
		proxy: proxy,
		cuts:  map[string]bool{},
	}
	f.add("silence", "upstream", map[string]any{"Cutoff": 0})
	f.add("silence", "downstream", map[string]any{"Cutoff": 0})

	return f
}

func (f *faultProxy) add(kind, stream string, attributes map[string]any) {
	data, err := json.Marshal(map[string]any{
		"name":       kind + "_" + stream,
		"type":       kind,
		"stream":     stream,
		"attributes": attributes,
	})
	assert.NilError(f.t, err)

	_, err = f.proxy.Toxics.AddToxicJson(bytes.NewReader(data))
	assert.NilError(f.t, err)
}

func (f *faultProxy) remove(kind, stream string) {
	assert.NilError(f.t, f.proxy.Toxics.RemoveToxic(f.t.Context(), kind+"_"+stream))
}

// delay delays all data in both directions.
func (f *faultProxy) delay(d time.Duration) {
	for _, stream := range []string{"upstream", "downstream"} {
		f.add("latency", stream, map[string]any{"latency": d.Milliseconds()})
	}
}

// cut drops all data of a stream until heal is called.
func (f *faultProxy) cut(stream string) (heal func()) {
	f.add("timeout", stream, map[string]any{"timeout": 0})
	f.cuts[stream] = true

	return func() {
		f.remove("timeout", stream)
		delete(f.cuts, stream)
	}
}

// silenceOpenConnections drops all data on the connections that are open now,
// for good.
func (f *faultProxy) silenceOpenConnections() {
	for _, stream := range []string{"upstream", "downstream"} {
		data, err := json.Marshal(map[string]any{"attributes": map[string]any{"Cutoff": time.Now().UnixNano()}})
		assert.NilError(f.t, err)

		_, err = f.proxy.Toxics.UpdateToxicJson("silence_"+stream, bytes.NewReader(data))
		assert.NilError(f.t, err)
	}
}
