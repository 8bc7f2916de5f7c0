// Package endpoint is the HTTP client of the service endpoint beside an agent.
//
// # Usage
//
//	c := endpoint.Dial(address, slots)
//	answer, err := c.Do(ctx, request)
//	if errors.Is(err, endpoint.ErrNotRun) {
//		// no connection: the endpoint did not run the request
//	}
package endpoint

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNotRun says that the endpoint did not run the request.
var ErrNotRun = eris.New("the endpoint could not be reached")

// ErrAnswerLost says that the endpoint may have run the request.
var ErrAnswerLost = eris.New("the endpoint did not answer")

const (
	dialTimeout = time.Second
	idleTimeout = time.Minute
)

// Request is a request to the endpoint. Reading Body returns an error if the body
// is truncated.
type Request struct {
	Method        string
	Target        string
	Header        http.Header
	ContentLength int64
	Body          io.ReadCloser
}

// Client is a client of one endpoint.
type Client struct {
	base      string
	transport *http.Transport
}

// Dial returns a client of the endpoint at an address. It connects on first
// use and keeps up to slots idle connections.
func Dial(a netip.AddrPort, slots int) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}

	return &Client{
		base: "http://" + a.String(),
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: slots,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}
}

// opaqueBody hides the type of a body from net/http, which would retry a request
// whose body it knows to be empty.
type opaqueBody struct {
	io.ReadCloser
}

// Do sends a request and returns the answer once its headers are received. An error
// is ErrNotRun or ErrAnswerLost.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, error) {
	var connected atomic.Bool

	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})

	req, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.Target, opaqueBody{ReadCloser: r.Body})
	if err != nil {
		return nil, fmt.Errorf("build request: %w: %w", ErrNotRun, err)
	}

	req.Header = r.Header
	req.ContentLength = r.ContentLength

	res, err := c.transport.RoundTrip(req)
	if err == nil {
		return res, nil
	}

	if !connected.Load() {
		return nil, fmt.Errorf("reach endpoint: %w: %w", ErrNotRun, err)
	}

	return nil, fmt.Errorf("call endpoint: %w: %w", ErrAnswerLost, err)
}
