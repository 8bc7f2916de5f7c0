package caller_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoildeck/core/resource"
	"trefoildeck/core/routing"
	"trefoildeck/io/caller"
	"trefoildeck/io/peer"
	"trefoildeck/io/peer/peerpb"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// reply is how a fake agent answers one attempt of a request.
type reply struct {
	outcome string
	status  int32
	body    io.Reader
	err     error
	// hang waits until the attempt is cancelled.
	hang bool
}

func answered(body string) reply {
	return reply{
		outcome: peer.OutcomeAnswered,
		status:  http.StatusOK,
		body:    strings.NewReader(body),
	}
}

// agents answers the attempts with its replies in turn, and repeats the last one.
type agents struct {
	mu      sync.Mutex
	replies []reply
	calls   []*peerpb.RequestHead
}

func (a *agents) call(ctx context.Context, _ string, head *peerpb.RequestHead, _ io.Reader) (*peer.Answer, error) {
	a.mu.Lock()
	a.calls = append(a.calls, head)
	r := a.replies[min(len(a.calls), len(a.replies))-1]
	a.mu.Unlock()

	if r.hang {
		<-ctx.Done()

		return nil, fmt.Errorf("hung: %w", peer.ErrAnswerLost)
	}

	if r.err != nil {
		return nil, r.err
	}

	if r.body == nil {
		r.body = strings.NewReader("")
	}

	return &peer.Answer{
		Head: &peerpb.AnswerHead{
			ID:            head.GetID(),
			Outcome:       r.outcome,
			Status:        r.status,
			ContentLength: -1,
		},
		Body: io.NopCloser(r.body),
	}, nil
}

func (a *agents) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()

	return len(a.calls)
}

func serve(t *testing.T, a *agents, change func(*caller.Handler)) *httptest.Server {
	t.Helper()

	routes := routing.New("lannion", 1)

	for n := range 4 {
		routes.Announce(time.Now().Add(-time.Hour), routing.Announcement{
			Service:    "booking",
			Endpoint:   fmt.Sprintf("agent-%d", n),
			DataCentre: "lannion",
			Slots:      8,
		})
	}

	h := &caller.Handler{
		Routes: routes,
		Log:    zap.NewNop(),
		Call:   a.call,
		Count:  func(string, routing.Outcome) {},
		Service: func(name string) (*resource.Service, bool) {
			return &resource.Service{
				Timeout:      time.Second,
				MaxBodyBytes: 1 << 20,
			}, name == "booking"
		},
	}
	if change != nil {
		change(h)
	}

	s := httptest.NewServer(h)
	t.Cleanup(s.Close)

	return s
}

func send(t *testing.T, method, url, body string, header http.Header) (*http.Response, string, error) {
	t.Helper()

	req, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)

	for name := range header {
		req.Header.Set(name, header.Get(name))
	}

	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)

	defer res.Body.Close()

	data, err := io.ReadAll(res.Body)

	return res, string(data), err
}

func TestOutcomes(t *testing.T) {
	lost := reply{err: fmt.Errorf("gone: %w", peer.ErrAnswerLost)}
	notSent := reply{err: fmt.Errorf("gone: %w", peer.ErrNotSent)}
	refused := reply{outcome: peer.OutcomeRefused}
	unknown := reply{outcome: peer.OutcomeUnknown}
	badGateway := reply{
		outcome: peer.OutcomeAnswered,
		status:  http.StatusBadGateway,
	}

	cases := map[string]struct {
		method   string
		replies  []reply
		outcome  string
		status   int
		attempts int
	}{
		"answered":                       {http.MethodPost, []reply{answered("a")}, "Answered", 200, 1},
		"refused, then answered":         {http.MethodPost, []reply{refused, answered("a")}, "Answered", 200, 2},
		"not sent, then answered":        {http.MethodPost, []reply{notSent, answered("a")}, "Answered", 200, 2},
		"refused by all":                 {http.MethodPost, []reply{refused}, "Refused", 503, 3},
		"lost post is not sent again":    {http.MethodPost, []reply{lost, answered("a")}, "Unknown", 502, 1},
		"unknown post is not sent again": {http.MethodPost, []reply{unknown, answered("a")}, "Unknown", 502, 1},
		"lost get is sent again":         {http.MethodGet, []reply{lost, answered("a")}, "Answered", 200, 2},
		"lost get, then refused":         {http.MethodGet, []reply{lost, refused}, "Unknown", 504, severalAttempts},
		"bad gateway, then answered":     {http.MethodGet, []reply{badGateway, answered("a")}, "Answered", 200, 2},
		"bad gateway of a post is final": {http.MethodPost, []reply{badGateway, answered("a")}, "Answered", 502, 1},
		"hung post":                      {http.MethodPost, []reply{{hang: true}}, "Unknown", 504, 1},
		"hung get is hedged":             {http.MethodGet, []reply{{hang: true}, answered("a")}, "Answered", 200, 2},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := &agents{replies: c.replies}
			s := serve(t, a, nil)

			res, _, err := send(t, c.method, s.URL+"/services/booking/x", "", nil)
			assert.NilError(t, err)
			assert.Equal(t, res.Header.Get(caller.HeaderOutcome), c.outcome)
			assert.Equal(t, res.StatusCode, c.status)
			assert.Assert(t, c.attempts == severalAttempts && a.count() > 1 || a.count() == c.attempts, "%d attempts", a.count())
		})
	}
}

// severalAttempts stands for more than one attempt.
const severalAttempts = -1

// TestTruncatedAnswer checks that the caller notices that an answer was truncated
// on its way from the endpoint.
func TestTruncatedAnswer(t *testing.T) {
	truncated := reply{
		outcome: peer.OutcomeAnswered,
		status:  http.StatusOK,
		body:    io.MultiReader(strings.NewReader("half"), failing{}),
	}
	s := serve(t, &agents{replies: []reply{truncated}}, nil)

	res, err := http.Post(s.URL+"/services/booking/x", "text/plain", nil)
	if err == nil {
		_, err = io.ReadAll(res.Body)
		assert.NilError(t, res.Body.Close())
	}

	assert.Assert(t, err != nil, "a truncated answer was passed on as complete")
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, peer.ErrTruncated }

func TestBadInput(t *testing.T) {
	cases := map[string]struct {
		path   string
		body   string
		header http.Header
		status int
	}{
		"unknown service":  {"/services/none/x", "", nil, http.StatusNotFound},
		"no service":       {"/other", "", nil, http.StatusNotFound},
		"bad timeout":      {"/services/booking/x", "", http.Header{caller.HeaderTimeout: {"soon"}}, http.StatusBadRequest},
		"negative timeout": {"/services/booking/x", "", http.Header{caller.HeaderTimeout: {"-1s"}}, http.StatusBadRequest},
		"large body":       {"/services/booking/x", strings.Repeat("x", 2<<20), nil, http.StatusRequestEntityTooLarge},
		"long key":         {"/services/booking/x", "", http.Header{caller.HeaderIdempotencyKey: {strings.Repeat("x", 300)}}, http.StatusBadRequest},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := &agents{replies: []reply{answered("a")}}
			s := serve(t, a, nil)

			res, _, err := send(t, http.MethodPost, s.URL+c.path, c.body, c.header)
			assert.NilError(t, err)
			assert.Equal(t, res.StatusCode, c.status)
			assert.Equal(t, res.Header.Get(caller.HeaderOutcome), "Refused")
			assert.Equal(t, a.count(), 0)
		})
	}
}

func TestKeys(t *testing.T) {
	cases := map[string]struct {
		claim    caller.Claim
		err      error
		outcome  string
		status   int
		attempts int
	}{
		"first":       {caller.Claim{Complete: func(caller.StoredAnswer) {}}, nil, "Answered", 200, 1},
		"repeat":      {caller.Claim{Stored: &caller.StoredAnswer{Status: 201}}, nil, "Answered", 201, 0},
		"pending":     {caller.Claim{}, caller.ErrKeyPending, "Unknown", 409, 0},
		"reused":      {caller.Claim{}, caller.ErrKeyReused, "Refused", 422, 0},
		"table down":  {caller.Claim{}, caller.ErrKeyUnavailable, "Refused", 503, 0},
		"other error": {caller.Claim{}, errors.New("bad row"), "Refused", 503, 0},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := &agents{replies: []reply{answered("a")}}
			s := serve(t, a, func(h *caller.Handler) {
				h.Claim = func(context.Context, string, string, string) (caller.Claim, error) { return c.claim, c.err }
			})

			res, _, err := send(t, http.MethodPost, s.URL+"/services/booking/x", "", http.Header{caller.HeaderIdempotencyKey: {"k"}})
			assert.NilError(t, err)
			assert.Equal(t, res.Header.Get(caller.HeaderOutcome), c.outcome)
			assert.Equal(t, res.StatusCode, c.status)
			assert.Equal(t, a.count(), c.attempts)
		})
	}
}

// TestKeyedBody checks that a request with a key runs only if its whole body was compared
// with that of the first request with the key.
func TestKeyedBody(t *testing.T) {
	tests := map[string]struct {
		bytes    int
		status   int
		attempts int
	}{
		"Whole":    {64<<10 - 1, http.StatusOK, 1},
		"TooLarge": {64<<10 + 1, http.StatusRequestEntityTooLarge, 0},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			a := &agents{replies: []reply{answered("a")}}
			s := serve(t, a, func(h *caller.Handler) {
				h.Claim = func(context.Context, string, string, string) (caller.Claim, error) {
					return caller.Claim{Complete: func(caller.StoredAnswer) {}}, nil
				}
			})

			res, _, err := send(t, http.MethodPost, s.URL+"/services/booking/x", strings.Repeat("x", c.bytes), http.Header{caller.HeaderIdempotencyKey: {"k"}})
			assert.NilError(t, err)
			assert.Equal(t, res.StatusCode, c.status)
			assert.Equal(t, a.count(), c.attempts)
		})
	}
}

// TestStreams sends a body that is too large to be buffered to the endpoint and
// back.
func TestStreams(t *testing.T) {
	const size = 900 << 10

	h := func(a *agents) func(*caller.Handler) {
		return func(h *caller.Handler) {
			h.Call = func(ctx context.Context, e string, head *peerpb.RequestHead, rest io.Reader) (*peer.Answer, error) {
				data, err := io.ReadAll(io.MultiReader(strings.NewReader(string(head.GetData())), rest))
				assert.NilError(t, err)

				a.replies = []reply{answered(string(data))}

				return a.call(ctx, e, head, rest)
			}
		}
	}
	s := serve(t, &agents{}, h(&agents{}))

	_, body, err := send(t, http.MethodPost, s.URL+"/services/booking/x", strings.Repeat("y", size), nil)
	assert.NilError(t, err)
	assert.Equal(t, len(body), size)
}
