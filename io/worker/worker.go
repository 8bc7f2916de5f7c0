// Package worker is the client of a worker's runtime: the platform's process that
// runs tasks under leases, and can checkpoint, throttle or stop them.
//
// Leases and permits are timed by the runtime's own clock. A client reads Uptime,
// then requests the lease or permit, and passes Uptime plus the granted duration to
// the runtime, so that a delay at any point only shortens the grant. BootID is the
// id of the runtime's incarnation: it changes whenever the runtime restarts, and none
// of the runtime's state survives a restart.
//
// # Usage
//
//	w := worker.Dial(address)
//	status, err := w.Status(ctx)
//	err = w.Start(ctx, id, worker.Start{BootID: status.BootID, StartBefore: status.Uptime + validity})
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"trefoildeck/core/placement"

	"github.com/rotisserie/eris"
)

// Limits of one call.
const (
	callTimeout    = 3 * time.Second
	maxAnswerBytes = 64 << 20
)

// ErrRefused says that the runtime rejected a call and did nothing.
var ErrRefused = eris.New("the worker's runtime refused")

// Status is the state of a runtime.
type Status struct {
	BootID string
	Uptime time.Duration
	Tasks  []TaskStatus
}

// TaskStatus is the state of an attempt. The runtime also lists ended attempts,
// until they are stopped. Progress is from 0 to 1.
type TaskStatus struct {
	ID             placement.AttemptID
	Phase          placement.Phase
	Reason         string
	Progress       float64
	UsedMilliCores int64
	UsedMemoryMB   int64
}

// Start describes an attempt to start. StartBefore and LeaseUntil are uptimes: the
// latest start, and the end of the worker's lease.
type Start struct {
	BootID      string
	StartBefore time.Duration
	LeaseUntil  time.Duration
	Command     string
	Size        placement.Size
	RunTime     time.Duration
	Checkpoint  []byte
}

// Lease extends the lease under which the worker runs its tasks. Until is an uptime.
type Lease struct {
	BootID string
	Until  time.Duration
}

// Throttle limits an attempt to a percentage of its processor time.
type Throttle struct {
	BootID  string
	Percent int64
}

// Client is a client of one runtime.
type Client struct {
	// Status returns the runtime's state and its attempts.
	Status func(ctx context.Context) (Status, error)
	// Start starts an attempt. It is idempotent for an attempt and an incarnation of
	// the runtime.
	Start func(ctx context.Context, id placement.AttemptID, s Start) error
	// Renew extends the worker's lease.
	Renew func(ctx context.Context, l Lease) error
	// Throttle limits the processor time of an attempt.
	Throttle func(ctx context.Context, id placement.AttemptID, t Throttle) error
	// Checkpoint pauses an attempt and returns its state. The attempt stays paused.
	Checkpoint func(ctx context.Context, id placement.AttemptID) ([]byte, error)
	// Stop stops an attempt, or prevents its start if it is not known; either way
	// it is then listed as stopped. Stopping an ended attempt removes it from the
	// list.
	Stop func(ctx context.Context, id placement.AttemptID) error
}

// Dial returns a client of the runtime at an address.
func Dial(a netip.AddrPort) *Client {
	h := &httpClient{
		base:   "http://" + a.String(),
		client: &http.Client{Timeout: callTimeout},
	}

	return &Client{
		Status:     h.status,
		Start:      h.start,
		Renew:      h.renew,
		Throttle:   h.throttle,
		Checkpoint: h.checkpoint,
		Stop:       h.stop,
	}
}

type httpClient struct {
	base   string
	client *http.Client
}

func (h *httpClient) status(ctx context.Context) (Status, error) {
	var s Status

	data, err := h.call(ctx, http.MethodGet, "/worker", nil)
	if err != nil {
		return s, err
	}

	if err := json.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("decode worker status: %w", err)
	}

	return s, nil
}

func (h *httpClient) start(ctx context.Context, id placement.AttemptID, s Start) error {
	_, err := h.call(ctx, http.MethodPut, taskPath(id), s)

	return err
}

func (h *httpClient) renew(ctx context.Context, l Lease) error {
	_, err := h.call(ctx, http.MethodPost, "/lease", l)

	return err
}

func (h *httpClient) throttle(ctx context.Context, id placement.AttemptID, t Throttle) error {
	_, err := h.call(ctx, http.MethodPost, taskPath(id)+"/throttle", t)

	return err
}

func (h *httpClient) checkpoint(ctx context.Context, id placement.AttemptID) ([]byte, error) {
	return h.call(ctx, http.MethodPost, taskPath(id)+"/checkpoint", nil)
}

func (h *httpClient) stop(ctx context.Context, id placement.AttemptID) error {
	_, err := h.call(ctx, http.MethodDelete, taskPath(id), nil)

	return err
}

func taskPath(id placement.AttemptID) string {
	return fmt.Sprintf("/tasks/%s/%d/%d", id.Job, id.Task, id.Attempt)
}

func (h *httpClient) call(ctx context.Context, method, path string, body any) ([]byte, error) {
	var reader io.Reader

	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", path, err)
		}

		reader = bytes.NewReader(data)
	}

	req, err := http.NewRequestWithContext(ctx, method, h.base+path, reader)
	if err != nil {
		return nil, fmt.Errorf("build %s: %w", path, err)
	}

	res, err := h.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call runtime: %w", err)
	}
	defer res.Body.Close()

	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("read runtime answer: %w", err)
	}

	if res.StatusCode == http.StatusConflict || res.StatusCode == http.StatusNotFound {
		return nil, fmt.Errorf("%s %s: %s: %w", method, path, bytes.TrimSpace(data), ErrRefused)
	}

	if res.StatusCode >= http.StatusBadRequest {
		return nil, eris.Errorf("%s %s: status %d: %s", method, path, res.StatusCode, bytes.TrimSpace(data))
	}

	return data, nil
}
