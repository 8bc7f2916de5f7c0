package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"trefoildeck/core/catalog"
	"trefoildeck/core/resource"
	"trefoildeck/io/table"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	maxBodyBytes  = 8 << 20
	watchInterval = 250 * time.Millisecond
)

// Errors of a request.
var (
	errBadETag  = eris.New("allowed is the entity tag of a resource")
	errNotFound = eris.New("no such resource")
	errTooLarge = eris.New("the body is larger than 8 MiB")
)

// Handler serves the requests of operators.
type Handler struct {
	Log *zap.Logger
	// Tokens maps the hexadecimal SHA-256 hash of a token to its operator's name.
	Tokens map[string]string
	// Apply applies all changes of a set or none. A dry run only returns the
	// results.
	Apply func(ctx context.Context, operator string, changes []catalog.Change, dryRun bool) ([]Result, error)
	// Views returns one resource, all of a kind if id has no name, or all declared
	// ones if id is empty.
	Views func(ctx context.Context, id resource.ID) ([]View, error)
	// Audit returns the audit records of a resource, or of all if id is empty.
	Audit func(ctx context.Context, id resource.ID) ([]table.Audit, error)
}

// call is a request of an authenticated operator.
type call struct {
	http.ResponseWriter
	request  *http.Request
	operator string
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	operator, ok := h.authenticate(r)
	if !ok {
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeJSON(w, http.StatusUnauthorized, Failure{Error: "a known token is required: Authorization: Bearer TOKEN"})

		return
	}

	c := &call{
		ResponseWriter: w,
		request:        r,
		operator:       operator,
	}

	mux := http.NewServeMux()
	mux.HandleFunc("GET /resources/{kind}", func(http.ResponseWriter, *http.Request) { h.list(c) })
	mux.HandleFunc("GET /resources/{kind}/{name}", func(_ http.ResponseWriter, r *http.Request) { h.get(c, pathID(r)) })
	mux.HandleFunc("PUT /resources/{kind}/{name}", func(_ http.ResponseWriter, r *http.Request) { h.put(c, pathID(r)) })
	mux.HandleFunc("DELETE /resources/{kind}/{name}", func(_ http.ResponseWriter, r *http.Request) { h.remove(c, pathID(r)) })
	mux.HandleFunc("POST /apply", func(http.ResponseWriter, *http.Request) { h.applySet(c) })
	mux.HandleFunc("GET /watch", func(http.ResponseWriter, *http.Request) { h.watch(c) })
	mux.HandleFunc("GET /audit", func(http.ResponseWriter, *http.Request) { h.audit(c) })
	mux.ServeHTTP(w, r)
}

func (h *Handler) authenticate(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}

	sum := sha256.Sum256([]byte(token))
	hash := hex.EncodeToString(sum[:])

	for known, operator := range h.Tokens {
		if subtle.ConstantTimeCompare([]byte(hash), []byte(known)) == 1 {
			return operator, true
		}
	}

	return "", false
}

func pathID(r *http.Request) resource.ID {
	return resource.ID{
		Kind: resource.Kind(r.PathValue("kind")),
		Name: r.PathValue("name"),
	}
}

func queryID(r *http.Request) resource.ID {
	return resource.ID{
		Kind: resource.Kind(r.URL.Query().Get("Kind")),
		Name: r.URL.Query().Get("Name"),
	}
}

func (h *Handler) list(c *call) {
	views, err := h.Views(c.request.Context(), resource.ID{Kind: resource.Kind(c.request.PathValue("kind"))})
	if err != nil {
		h.fail(c, err)

		return
	}

	writeJSON(c, http.StatusOK, views)
}

func (h *Handler) get(c *call, id resource.ID) {
	views, err := h.Views(c.request.Context(), id)
	if err == nil && len(views) == 0 {
		err = fmt.Errorf("%s: %w", id, errNotFound)
	}

	if err != nil {
		h.fail(c, err)

		return
	}

	c.Header().Set("ETag", table.FormatETag(views[0].Revision))
	writeJSON(c, http.StatusOK, views[0])
}

func (h *Handler) put(c *call, id resource.ID) {
	body, err := readBody(c)
	if err != nil {
		h.fail(c, err)

		return
	}

	spec, err := decodeSpec(id, body)
	if err != nil {
		h.fail(c, err)

		return
	}

	h.change(c, catalog.Change{
		ID:   id,
		Spec: spec,
	})
}

func (h *Handler) remove(c *call, id resource.ID) {
	h.change(c, catalog.Change{
		ID:     id,
		Delete: true,
	})
}

func (h *Handler) change(c *call, ch catalog.Change) {
	revision, err := requiredRevision(c.request)
	if err != nil {
		h.fail(c, err)

		return
	}

	ch.IfRevision = revision

	results, err := h.Apply(c.request.Context(), c.operator, []catalog.Change{ch}, dryRun(c.request))
	if err != nil {
		h.fail(c, err)

		return
	}

	if results[0].Revision > 0 {
		c.Header().Set("ETag", table.FormatETag(results[0].Revision))
	}

	writeJSON(c, http.StatusOK, results[0])
}

func dryRun(r *http.Request) bool {
	return r.URL.Query().Get("DryRun") == "true"
}

// requiredRevision returns the revision that the resource must be at, by the
// request's If-Match or If-None-Match header; catalog.AnyRevision without one.
func requiredRevision(r *http.Request) (int64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}

	tag := r.Header.Get("If-Match")
	if tag == "" || tag == "*" {
		return catalog.AnyRevision, nil
	}

	text, err := strconv.Unquote(tag)
	if err != nil {
		return 0, fmt.Errorf("If-Match %s: %w", tag, errBadETag)
	}

	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision < 0 {
		return 0, fmt.Errorf("If-Match %s: %w", tag, errBadETag)
	}

	return revision, nil
}

func (h *Handler) applySet(c *call) {
	body, err := readBody(c)
	if err != nil {
		h.fail(c, err)

		return
	}

	var declared []Declared
	if err := decodeStrict(body, &declared); err != nil {
		h.fail(c, err)

		return
	}

	changes := make([]catalog.Change, 0, len(declared))

	for _, d := range declared {
		id := resource.ID{
			Kind: d.Kind,
			Name: d.Name,
		}

		spec, err := decodeSpec(id, d.Spec)
		if err != nil {
			h.fail(c, err)

			return
		}

		changes = append(changes, catalog.Change{
			ID:         id,
			Spec:       spec,
			IfRevision: catalog.AnyRevision,
		})
	}

	results, err := h.Apply(c.request.Context(), c.operator, changes, dryRun(c.request))
	if err != nil {
		h.fail(c, err)

		return
	}

	writeJSON(c, http.StatusOK, results)
}

// watch sends all resources, then each one whenever its view has changed.
func (h *Handler) watch(c *call) {
	ctx := c.request.Context()
	sent := map[string][]byte{}
	control := http.NewResponseController(c.ResponseWriter)
	ticker := time.NewTicker(watchInterval)

	defer ticker.Stop()

	c.Header().Set("Content-Type", "application/x-ndjson")

	for {
		views, err := h.Views(ctx, queryID(c.request))
		if err != nil {
			h.Log.Warn("WatchFailed", zap.Error(err))

			return
		}

		if !sendChanged(c, views, sent) || control.Flush() != nil {
			return
		}

		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func sendChanged(w io.Writer, views []View, sent map[string][]byte) bool {
	present := map[string]bool{}

	for _, v := range views {
		name := string(v.Kind) + " " + v.Name
		present[name] = true

		line, err := json.Marshal(v)
		if err != nil || bytes.Equal(line, sent[name]) {
			continue
		}

		sent[name] = line

		if _, err := w.Write(append(bytes.Clone(line), '\n')); err != nil {
			return false
		}
	}

	for name := range sent {
		if present[name] {
			continue
		}

		delete(sent, name)

		kind, rest, _ := strings.Cut(name, " ")
		if _, err := fmt.Fprintf(w, "{\"Kind\":%q,\"Name\":%q,\"Deleted\":true}\n", kind, rest); err != nil {
			return false
		}
	}

	return true
}

func (h *Handler) audit(c *call) {
	list, err := h.Audit(c.request.Context(), queryID(c.request))
	if err != nil {
		h.fail(c, err)

		return
	}

	writeJSON(c, http.StatusOK, list)
}

// fail answers with an error and its HTTP status.
func (h *Handler) fail(c *call, err error) {
	status := http.StatusServiceUnavailable

	var problems *resource.Problems

	switch {
	case errors.As(err, &problems), errors.Is(err, resource.ErrUnknownKind), errors.Is(err, errBadETag),
		errors.Is(err, errBadBody), errors.Is(err, catalog.ErrChangedTwice):
		status = http.StatusBadRequest
	case errors.Is(err, errTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, catalog.ErrNotFound), errors.Is(err, errNotFound):
		status = http.StatusNotFound
	case errors.Is(err, catalog.ErrRevision):
		status = http.StatusPreconditionFailed
	case errors.Is(err, catalog.ErrReferenced), errors.Is(err, catalog.ErrImmutable):
		status = http.StatusConflict
	}

	h.Log.Info("OperatorRequestFailed", zap.String("Operator", c.operator), zap.String("Path", c.request.URL.Path), zap.Int("Status", status), zap.Error(err))
	writeJSON(c, status, Failure{Error: err.Error()})
}

var errBadBody = eris.New("the body is not as it should be")

func readBody(c *call) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c, c.request.Body, maxBodyBytes))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return nil, fmt.Errorf("read body: %w", errTooLarge)
		}

		return nil, fmt.Errorf("read body: %w: %w", errBadBody, err)
	}

	return body, nil
}

// decodeStrict decodes JSON and rejects unknown fields.
func decodeStrict(body []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()

	if err := d.Decode(into); err != nil {
		return fmt.Errorf("decode body: %w: %w", errBadBody, err)
	}

	return nil
}

func decodeSpec(id resource.ID, body []byte) (resource.Spec, error) {
	spec, err := resource.NewSpec(id.Kind)
	if err != nil {
		return nil, fmt.Errorf("decode %s: %w", id, err)
	}

	if err := decodeStrict(body, spec); err != nil {
		return nil, fmt.Errorf("decode %s: %w", id, err)
	}

	return spec, nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)

	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	// A write fails only if the client has disconnected.
	_ = e.Encode(body)
}
