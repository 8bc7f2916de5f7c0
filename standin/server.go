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

// Settings say which stand-ins to serve, and where.
type Settings struct {
	ControlAddress netip.AddrPort
	TableAddress   netip.AddrPort
	ObjectsAddress netip.AddrPort
	Runtimes       map[string]netip.AddrPort
	Endpoints      map[string]EndpointSettings
}

// EndpointSettings say how an endpoint behaves.
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

// Server is a set of stand-ins.
type Server struct {
	Table     *Table
	Objects   *Objects
	Runtimes  map[string]*Runtime
	Endpoints map[string]*Endpoint
	settings  Settings
}

// NewServer returns the stand-ins of settings.
func NewServer(s Settings) *Server {
	p := &Server{
		Table:     NewTable(),
		Objects:   NewObjects(),
		Runtimes:  map[string]*Runtime{},
		Endpoints: map[string]*Endpoint{},
		settings:  s,
	}

	for name := range s.Runtimes {
		p.Runtimes[name] = NewRuntime(name)
	}

	for name, e := range s.Endpoints {
		p.Endpoints[name] = NewEndpoint(name, e.Delay)
	}

	return p
}

// Serve serves every stand-in until ctx ends.
func (p *Server) Serve(ctx context.Context) error {
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

	serve(p.settings.TableAddress, p.Table)
	serve(p.settings.ObjectsAddress, p.Objects)
	serve(p.settings.ControlAddress, p.control())

	for name, a := range p.settings.Runtimes {
		serve(a, p.Runtimes[name])
	}

	for name, e := range p.settings.Endpoints {
		serve(e.Address, p.Endpoints[name])
	}

	if err := group.Wait(); err != nil {
		return fmt.Errorf("serve stand-ins: %w", err)
	}

	return nil
}

// control lets a person make stand-ins fail, and see what they saw.
func (p *Server) control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /table/fault", func(w http.ResponseWriter, r *http.Request) {
		setFault(w, r, p.Table.SetFault)
	})
	mux.HandleFunc("PUT /objects/fault", func(w http.ResponseWriter, r *http.Request) {
		setFault(w, r, p.Objects.SetFault)
	})
	mux.HandleFunc("GET /table/counts", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, p.Table.Counts())
	})
	mux.HandleFunc("GET /table/rows/{partition}", func(w http.ResponseWriter, r *http.Request) {
		answer(w, http.StatusOK, p.Table.Rows(r.PathValue("partition")))
	})
	mux.HandleFunc("GET /runtimes/{name}/events", func(w http.ResponseWriter, r *http.Request) {
		if t := p.Runtimes[r.PathValue("name")]; t != nil {
			answer(w, http.StatusOK, t.Events())
		}
	})
	mux.HandleFunc("POST /runtimes/{name}/reboot", func(_ http.ResponseWriter, r *http.Request) {
		if t := p.Runtimes[r.PathValue("name")]; t != nil {
			t.Reboot()
		}
	})
	mux.HandleFunc("PUT /runtimes/{name}/fail", func(w http.ResponseWriter, r *http.Request) {
		var fail bool
		if err := json.NewDecoder(r.Body).Decode(&fail); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)

			return
		}

		if t := p.Runtimes[r.PathValue("name")]; t != nil {
			t.SetFailAll(fail)
		}
	})
	mux.HandleFunc("GET /endpoints/{name}/runs", func(w http.ResponseWriter, r *http.Request) {
		if e := p.Endpoints[r.PathValue("name")]; e != nil {
			answer(w, http.StatusOK, e.Requests())
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
