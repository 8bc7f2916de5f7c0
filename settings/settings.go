// Package settings holds the settings of the programs and checks them in full
// before a program starts: every problem is reported at once, with file,
// section and key.
//
// # Usage
//
//	s, err := settings.LoadEntry("entry.ini")
//
// Secrets are read from files that the settings name, so that they are never
// part of the settings and never logged.
package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"trefoildeck/core/resource"
	"trefoildeck/io/declaration"
)

// Entry has the settings of an entry.
type Entry struct {
	Entry     EntrySection
	Table     TableSection
	TLS       TLSSection
	Operators []Operator
}

// EntrySection is the section [Entry].
type EntrySection struct {
	// Name is unique among the entries.
	Name            string
	DataCentre      string
	CallerAddress   netip.AddrPort
	OperatorAddress netip.AddrPort
	PeerAddress     netip.AddrPort
	// AdvertisedAddress is the address at which agents and other entries reach
	// PeerAddress. The default is PeerAddress.
	AdvertisedAddress netip.AddrPort
	AdminAddress      netip.AddrPort
	// TaskLease is how long a worker's runtime keeps tasks running when no entry
	// renews their lease.
	TaskLease time.Duration
	// ShardLease is how long an entry schedules a data centre without renewing its
	// lease.
	ShardLease time.Duration
	// KeyRate bounds the idempotency keys recorded per second.
	KeyRate int64
	// DrainTime is the maximum duration of a graceful shutdown.
	DrainTime time.Duration
}

// TableSection is the section [Table].
type TableSection struct {
	URL           string
	Region        string
	Name          string
	AccessKey     string
	SecretKeyFile string
}

// ObjectsSection is the section [Objects].
type ObjectsSection struct {
	URL           string
	Region        string
	Bucket        string
	AccessKey     string
	SecretKeyFile string
}

// TLSSection is the section [TLS], for the sessions between trefoildeck's processes.
type TLSSection struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
	// AllowPlaintext allows sessions without TLS on addresses other than loopback.
	AllowPlaintext bool
}

// Operator is one of the sections [Operator name].
type Operator struct {
	Name string
	// TokenSHA256 is the SHA-256 of the operator's token in lower-case hexadecimal.
	TokenSHA256 string
}

// Agent has the settings of an agent.
type Agent struct {
	Agent    AgentSection
	Endpoint EndpointSection
	Worker   WorkerSection
	Objects  ObjectsSection
	TLS      TLSSection
}

// AgentSection is the section [Agent].
type AgentSection struct {
	// Name is unique among the agents.
	Name       string
	DataCentre string
	// EntryAddresses are the entries to dial first. They announce the others.
	EntryAddresses []netip.AddrPort
	AdminAddress   netip.AddrPort
	DrainTime      time.Duration
}

// EndpointSection is the section [Endpoint]: the service endpoint beside the agent, or
// none if Service is empty.
type EndpointSection struct {
	Service string
	Address netip.AddrPort
	// Slots is the maximum number of concurrent requests.
	Slots int64
}

// WorkerSection is the section [Worker]: the worker beside the agent, or none if Name
// is empty.
type WorkerSection struct {
	Name string
	Rack string
	// Address is that of the worker's runtime.
	Address      netip.AddrPort
	MilliCores   int64
	MemoryMB     int64
	Accelerators int64
}

// Names of sections.
const (
	sectionEntry  = "Entry"
	sectionTable  = "Table"
	sectionAgent  = "Agent"
	sectionNode   = "Node"
	sectionWorker = "Worker"
	sectionTLS    = "TLS"
	sectionLimits = "Limits"
)

// Defaults and limits.
const (
	defaultTaskLease  = 20 * time.Second
	defaultShardLease = 6 * time.Second
	defaultDrainTime  = 30 * time.Second
	defaultKeyRate    = 100
	defaultSlots      = 8
	minLease          = 2 * time.Second
	maxDuration       = time.Hour
	maxSlots          = 10_000
	maxKeyRate        = 10_000
	maxAmount         = 1 << 40
)

// LoadEntry reads and checks the settings of an entry.
func LoadEntry(file string) (Entry, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Entry{}, fmt.Errorf("read settings: %w", err)
	}

	return ParseEntry(file, data)
}

// ParseEntry reads and checks the settings of an entry; file names them in
// errors.
func ParseEntry(file string, data []byte) (Entry, error) {
	e := Entry{Entry: EntrySection{
		TaskLease:  defaultTaskLease,
		ShardLease: defaultShardLease,
		KeyRate:    defaultKeyRate,
		DrainTime:  defaultDrainTime,
	}}

	var p resource.Problems

	for _, s := range declaration.Sections(file, data, &p) {
		p.Section = s.Name

		switch name, operator, _ := strings.Cut(s.Name, " "); name {
		case sectionEntry:
			declaration.Assign(s.Keys, &e.Entry, &p)
		case sectionTable:
			declaration.Assign(s.Keys, &e.Table, &p)
		case sectionTLS:
			declaration.Assign(s.Keys, &e.TLS, &p)
		case "Operator":
			e.Operators = append(e.Operators, readOperator(operator, s.Keys, &p))
		default:
			p.Add("", "an unknown section", "[Entry], [Table], [TLS], [Operator name]")
		}
	}

	e.check(&p)

	return e, p.Err()
}

func readOperator(name string, keys []declaration.Key, p *resource.Problems) Operator {
	var fields struct{ TokenSHA256 string }

	declaration.Assign(keys, &fields, p)

	if sum, err := hex.DecodeString(fields.TokenSHA256); err != nil || len(sum) != 32 {
		p.Add("TokenSHA256", fmt.Sprintf("%d characters", len(fields.TokenSHA256)), "the SHA-256 of the token as 64 hexadecimal digits")
	}

	if name == "" {
		p.Add("", "no name", "[Operator name]")
	}

	return Operator{
		Name:        name,
		TokenSHA256: strings.ToLower(fields.TokenSHA256),
	}
}

func (e *Entry) check(p *resource.Problems) {
	p.Section = sectionEntry
	c := checker{p: p}
	c.name("Name", e.Entry.Name)
	c.name("DataCentre", e.Entry.DataCentre)
	c.address("CallerAddress", e.Entry.CallerAddress)
	c.address("OperatorAddress", e.Entry.OperatorAddress)
	c.address("PeerAddress", e.Entry.PeerAddress)
	c.address("AdminAddress", e.Entry.AdminAddress)
	c.duration("TaskLease", e.Entry.TaskLease, minLease)
	c.duration("ShardLease", e.Entry.ShardLease, minLease)
	c.duration("DrainTime", e.Entry.DrainTime, 0)
	c.number("KeyRate", e.Entry.KeyRate, 1, maxKeyRate)

	if !e.Entry.AdvertisedAddress.IsValid() {
		e.Entry.AdvertisedAddress = e.Entry.PeerAddress
	}

	if e.Entry.AdvertisedAddress.Addr().IsUnspecified() {
		p.Add("AdvertisedAddress", e.Entry.AdvertisedAddress.String(), "an address that others can dial")
	}

	p.Section = sectionTable
	c.required("Name", e.Table.Name)
	c.required("Region", e.Table.Region)
	c.required("SecretKeyFile", e.Table.SecretKeyFile)
	e.TLS.check(p, e.Entry.PeerAddress)
}

// LoadAgent reads and checks the settings of an agent.
func LoadAgent(file string) (Agent, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Agent{}, fmt.Errorf("read settings: %w", err)
	}

	return ParseAgent(file, data)
}

// ParseAgent reads and checks the settings of an agent; file names them in
// errors.
func ParseAgent(file string, data []byte) (Agent, error) {
	a := Agent{
		Agent:    AgentSection{DrainTime: defaultDrainTime},
		Endpoint: EndpointSection{Slots: defaultSlots},
	}

	targets := map[string]any{
		sectionAgent:  &a.Agent,
		"Endpoint":    &a.Endpoint,
		sectionWorker: &a.Worker,
		"Objects":     &a.Objects,
		sectionTLS:    &a.TLS,
	}

	var p resource.Problems

	for _, s := range declaration.Sections(file, data, &p) {
		p.Section = s.Name

		target, ok := targets[s.Name]
		if !ok {
			p.Add("", "an unknown section", "[Agent], [Endpoint], [Worker], [Objects], [TLS]")

			continue
		}

		declaration.Assign(s.Keys, target, &p)
	}

	a.check(&p)

	return a, p.Err()
}

func (a *Agent) check(p *resource.Problems) {
	p.Section = sectionAgent
	c := checker{p: p}
	c.name("Name", a.Agent.Name)
	c.name("DataCentre", a.Agent.DataCentre)
	c.address("AdminAddress", a.Agent.AdminAddress)
	c.duration("DrainTime", a.Agent.DrainTime, 0)

	if len(a.Agent.EntryAddresses) == 0 {
		p.Add("EntryAddresses", "nothing", "at least one address of an entry")
	}

	if a.Endpoint.Service == "" && a.Worker.Name == "" {
		p.Add("", "neither [Endpoint] Service nor [Worker] Name", "one or both")
	}

	if a.Endpoint.Service != "" {
		p.Section = "Endpoint"
		c.name("Service", a.Endpoint.Service)
		c.address("Address", a.Endpoint.Address)
		c.number("Slots", a.Endpoint.Slots, 1, maxSlots)
	}

	if a.Worker.Name != "" {
		a.checkWorker(c)
	}

	for _, address := range a.Agent.EntryAddresses {
		a.TLS.check(p, address)
	}
}

func (a *Agent) checkWorker(c checker) {
	c.p.Section = sectionWorker
	c.name("Name", a.Worker.Name)
	c.address("Address", a.Worker.Address)
	c.number("MilliCores", a.Worker.MilliCores, 1, maxAmount)
	c.number("MemoryMB", a.Worker.MemoryMB, 1, maxAmount)
	c.number("Accelerators", a.Worker.Accelerators, 0, maxAmount)

	c.p.Section = "Objects"
	c.required("Bucket", a.Objects.Bucket)
	c.required("Region", a.Objects.Region)
	c.required("SecretKeyFile", a.Objects.SecretKeyFile)
}

// check requires TLS for the address a, unless it is a loopback address or AllowPlaintext
// is set. It also requires all or none of the three files.
func (t *TLSSection) check(p *resource.Problems, a netip.AddrPort) {
	p.Section = sectionTLS
	files := []string{t.CertificateFile, t.KeyFile, t.AuthorityFile}

	if !slices.Contains(files, "") {
		return
	}

	if slices.ContainsFunc(files, func(f string) bool { return f != "" }) {
		p.Add("CertificateFile", "only some of CertificateFile, KeyFile and AuthorityFile", "all or none")
	}

	if a.IsValid() && !a.Addr().IsLoopback() && !t.AllowPlaintext {
		p.Add("CertificateFile", fmt.Sprintf("no certificate, for the address %s", a), "a certificate, or AllowPlaintext = true")
	}
}

// checker adds the problems of the current section to p.
type checker struct {
	p *resource.Problems
}

func (c checker) required(key, v string) {
	if v == "" {
		c.p.Add(key, "nothing", "a value is required")
	}
}

func (c checker) name(key, v string) {
	id := resource.ID{
		Kind: resource.KindDataCentre,
		Name: v,
	}
	if err := id.Check(); err != nil {
		c.p.Add(key, fmt.Sprintf("%q", v), resource.ErrBadName.Error())
	}
}

func (c checker) address(key string, a netip.AddrPort) {
	if !a.IsValid() {
		c.p.Add(key, "nothing", "an IP address and port such as 127.0.0.1:7400")
	}
}

func (c checker) duration(key string, v, low time.Duration) {
	if v < low || v > maxDuration {
		c.p.Add(key, v.String(), fmt.Sprintf("%s to %s", low, maxDuration))
	}
}

func (c checker) number(key string, v, low, high int64) {
	if v < low || v > high {
		c.p.Add(key, fmt.Sprint(v), fmt.Sprintf("%d to %d", low, high))
	}
}
