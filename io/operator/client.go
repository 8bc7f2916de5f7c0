package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"trefoildeck/core/resource"
	"trefoildeck/io/table"

	"github.com/rotisserie/eris"
)

// clientTimeout bounds a call that does not stream.
const clientTimeout = 30 * time.Second

// ErrRefused says that the entry answered a call with an error.
var ErrRefused = eris.New("the entry refused the request")

// ErrUnreachable says that a call got no answer: it may have taken effect or not.
var ErrUnreachable = eris.New("the entry could not be reached")

// Client calls an entry's operator interface.
type Client struct {
	// URL is the entry's base URL, such as http://127.0.0.1:7401.
	URL   string
	Token string
}

// Apply applies a set of declared resources: all or none of up to 49, and of more in parts
// of 49. A dry run only returns the results.
func (c *Client) Apply(ctx context.Context, list []resource.Resource, dryRun bool) ([]ResultView, error) {
	declared := make([]Declared, 0, len(list))

	for _, r := range list {
		d, err := encodeDeclared(r)
		if err != nil {
			return nil, err
		}

		declared = append(declared, d)
	}

	var out []ResultView

	err := c.call(ctx, http.MethodPost, fmt.Sprintf("/apply?DryRun=%t", dryRun), declared, &out)

	return out, err
}

// Put creates or changes one resource.
func (c *Client) Put(ctx context.Context, id resource.ID, spec resource.Spec) (ResultView, error) {
	var out ResultView

	err := c.call(ctx, http.MethodPut, resourcePath(id), spec, &out)

	return out, err
}

// PutIf creates or changes one resource if it is at revision; zero means that it
// must not exist.
func (c *Client) PutIf(ctx context.Context, id resource.ID, spec resource.Spec, revision int64) error {
	header := http.Header{"If-Match": {table.FormatETag(revision)}}

	res, err := c.send(ctx, http.MethodPut, resourcePath(id), spec, header)
	if err != nil {
		return err
	}

	return res.Body.Close()
}

// Delete deletes one resource.
func (c *Client) Delete(ctx context.Context, id resource.ID) (ResultView, error) {
	var out ResultView

	err := c.call(ctx, http.MethodDelete, resourcePath(id), nil, &out)

	return out, err
}

// Get returns one resource.
func (c *Client) Get(ctx context.Context, id resource.ID) (View, error) {
	var out View

	err := c.call(ctx, http.MethodGet, resourcePath(id), nil, &out)

	return out, err
}

// List returns the resources of a kind.
func (c *Client) List(ctx context.Context, kind resource.Kind) ([]View, error) {
	var out []View

	err := c.call(ctx, http.MethodGet, "/resources/"+url.PathEscape(string(kind)), nil, &out)

	return out, err
}

// Audit returns the audit trail of a resource, or of all if id is empty.
func (c *Client) Audit(ctx context.Context, id resource.ID) ([]table.Audit, error) {
	var out []table.Audit

	err := c.call(ctx, http.MethodGet, "/audit?"+resourceQuery(id), nil, &out)

	return out, err
}

// Watch copies the state changes of a resource, of a kind if id has no name, or of
// all declared resources if id is empty, to w until ctx ends. Each is a line of
// JSON.
func (c *Client) Watch(ctx context.Context, id resource.ID, w io.Writer) error {
	res, err := c.send(ctx, http.MethodGet, "/watch?"+resourceQuery(id), nil, nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()

	if _, err := io.Copy(w, res.Body); err != nil && ctx.Err() == nil {
		return fmt.Errorf("watch: %w", err)
	}

	return nil
}

func resourcePath(id resource.ID) string {
	return "/resources/" + url.PathEscape(string(id.Kind)) + "/" + url.PathEscape(id.Name)
}

func resourceQuery(id resource.ID) string {
	return url.Values{
		"Kind": {string(id.Kind)},
		"Name": {id.Name},
	}.Encode()
}

func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()

	res, err := c.send(ctx, method, path, body, nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()

	if err := json.NewDecoder(res.Body).Decode(into); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}

	return nil
}

func (c *Client) send(ctx context.Context, method, path string, body any, header http.Header) (*http.Response, error) {
	var reader io.Reader

	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode request: %w", err)
		}

		reader = bytes.NewReader(data)
	}

	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, reader)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}

	for name, values := range header {
		req.Header[name] = values
	}

	req.Header.Set("Authorization", "Bearer "+c.Token)

	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}

	if res.StatusCode < http.StatusBadRequest {
		return res, nil
	}
	defer res.Body.Close()

	var failure Failure
	if err := json.NewDecoder(res.Body).Decode(&failure); err != nil {
		return nil, fmt.Errorf("%w with status %d", ErrRefused, res.StatusCode)
	}

	return nil, fmt.Errorf("%w: %s", ErrRefused, failure.Error)
}
