package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"trefoildeck/core/resource"
	"trefoildeck/io/admin"
	"trefoildeck/io/declaration"

	"golang.org/x/sync/errgroup"
)

const (
	headerTimeout = 5 * time.Second
	drainTime     = time.Second
)

// Settings lists the stand-ins to serve and their listen addresses. A table,
// object store or control server without an address isn't served.
type Settings struct {
	ControlAddress netip.AddrPort
	TableAddress   netip.AddrPort
	ObjectsAddress netip.AddrPort
	Runtimes       map[string]netip.AddrPort
	Endpoints      map[string]EndpointSettings
}

// EndpointSettings has the listen address of an endpoint and the delay of its
// responses.
type EndpointSettings struct {
	Address netip.AddrPort
	Delay   time.Duration
}

// ParseSettings reads the sections [Standin], [Runtime name] and
// [Endpoint name].
func ParseSettings(file string, data []byte) (Settings, error) {
	var (
		p      resource.Problems
		global struct{ ControlAddress, TableAddress, ObjectsAddress netip.AddrPort }
	)

	s := Settings{
		Runtimes:  map[string]netip.AddrPort{},
		Endpoints: map[string]EndpointSettings{},
	}

	for _, section := range declaration.Sections(file, data, &p) {
		p.Section = section.Name

		switch kind, name, _ := strings.Cut(section.Name, " "); kind {
		case "Standin":
			declaration.Assign(section.Keys, &global, &p)
		case "Runtime":
			var r struct{ Address netip.AddrPort }

			declaration.Assign(section.Keys, &r, &p)
			s.Runtimes[name] = r.Address
		case "Endpoint":
			var e EndpointSettings

			declaration.Assign(section.Keys, &e, &p)
			s.Endpoints[name] = e
		default:
			p.Add("", "an unknown section", "[Standin], [Runtime name], [Endpoint name]")
		}
	}

	s.ControlAddress = global.ControlAddress
	s.TableAddress = global.TableAddress
	s.ObjectsAddress = global.ObjectsAddress

	return s, p.Err()
}

// Server serves a set of stand-ins, each at its own address.
type Server struct {
	Table     *Table
	Objects   *Objects
	Runtimes  map[string]*Runtime
	Endpoints map[string]*Endpoint
	settings  Settings
}

// NewServer returns a server with the stand-ins that s lists.
func NewServer(s Settings) *Server {
	server := &Server{
		Table:     NewTable(),
		Objects:   NewObjects(),
		Runtimes:  map[string]*Runtime{},
		Endpoints: map[string]*Endpoint{},
		settings:  s,
	}

	for name := range s.Runtimes {
		server.Runtimes[name] = NewRuntime(name)
	}

	for name, e := range s.Endpoints {
		server.Endpoints[name] = NewEndpoint(name, e.Delay)
	}

	return server
}

// Serve serves every stand-in until ctx is done.
func (s *Server) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)

	serve := func(a netip.AddrPort, h http.Handler) {
		if !a.IsValid() {
			return
		}

		group.Go(func() error {
			return admin.Run(ctx, a, &http.Server{
				Handler:           h,
				ReadHeaderTimeout: headerTimeout,
			}, drainTime)
		})
	}

	serve(s.settings.TableAddress, s.Table)
	serve(s.settings.ObjectsAddress, s.Objects)
	serve(s.settings.ControlAddress, s.control())

	for name, a := range s.settings.Runtimes {
		serve(a, s.Runtimes[name])
	}

	for name, e := range s.settings.Endpoints {
		serve(e.Address, s.Endpoints[name])
	}

	if err := group.Wait(); err != nil {
		return fmt.Errorf("serve stand-ins: %w", err)
	}

	return nil
}

// control returns the handler that injects faults into the stand-ins and returns
// what they recorded.
func (s *Server) control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /table/fault", func(w http.ResponseWriter, r *http.Request) {
		setFault(w, r, s.Table.SetFault)
	})
	mux.HandleFunc("PUT /objects/fault", func(w http.ResponseWriter, r *http.Request) {
		setFault(w, r, s.Objects.SetFault)
	})
	mux.HandleFunc("GET /table/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Table.Counts())
	})
	mux.HandleFunc("GET /table/rows/{partition}", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, s.Table.Rows(r.PathValue("partition")))
	})
	mux.HandleFunc("GET /runtimes/{name}/events", func(w http.ResponseWriter, r *http.Request) {
		if t := s.Runtimes[r.PathValue("name")]; t != nil {
			writeJSON(w, http.StatusOK, t.Events())
		}
	})
	mux.HandleFunc("POST /runtimes/{name}/reboot", func(_ http.ResponseWriter, r *http.Request) {
		if t := s.Runtimes[r.PathValue("name")]; t != nil {
			t.Reboot()
		}
	})
	mux.HandleFunc("PUT /runtimes/{name}/fail", func(w http.ResponseWriter, r *http.Request) {
		var fail bool
		if err := json.NewDecoder(r.Body).Decode(&fail); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)

			return
		}

		if t := s.Runtimes[r.PathValue("name")]; t != nil {
			t.SetFailAll(fail)
		}
	})
	mux.HandleFunc("GET /endpoints/{name}/runs", func(w http.ResponseWriter, r *http.Request) {
		if e := s.Endpoints[r.PathValue("name")]; e != nil {
			writeJSON(w, http.StatusOK, e.Requests())
		}
	})

	return mux
}

func setFault(w http.ResponseWriter, r *http.Request, set func(Fault)) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}

	set(f)
}
