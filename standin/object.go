package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// maxObjectBytes bounds the size of a stored object.
const maxObjectBytes = 64 << 20

// Objects is an in-memory object store that serves PUT and GET of whole objects
// in the manner of S3.
type Objects struct {
	mu    sync.Mutex
	data  map[string][]byte
	fault Fault
}

// NewObjects returns an empty store.
func NewObjects() *Objects {
	return &Objects{data: map[string][]byte{}}
}

// SetFault sets the fault that applies to later requests.
func (o *Objects) SetFault(f Fault) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.fault = f
}

// ServeHTTP implements http.Handler.
func (o *Objects) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes))

	o.mu.Lock()
	delay := o.fault.Delay
	o.mu.Unlock()

	select {
	case <-time.After(delay):
	case <-r.Context().Done():
	}

	o.mu.Lock()
	defer o.mu.Unlock()

	if err != nil || o.fault.Down {
		panic(http.ErrAbortHandler)
	}

	switch r.Method {
	case http.MethodPut:
		o.data[r.URL.Path] = body
	case http.MethodGet:
		o.serveObject(w, r.URL.Path)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (o *Objects) serveObject(w http.ResponseWriter, path string) {
	data, ok := o.data[path]
	if !ok {
		w.Header().Set("Content-Type", "application/xml")
		w.WriteHeader(http.StatusNotFound)
		fmt.Fprint(w, "<Error><Code>NoSuchKey</Code><Message>no such key</Message></Error>")

		return
	}

	// The client reports a truncated response itself.
	_, _ = w.Write(data)
}
