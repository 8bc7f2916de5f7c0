// Package configcheck checks a configuration before it is sent to the processes: what they would
// take otherwise than it was meant, routes that can never match, and limits that contradict each
// other. It also tells how a configuration differs from the version in force.
//
// It handles mistakes of an operator, who edits a configuration while jobs are running: the
// processes accept each one that can be decoded, at once.
//
// # Usage
//
//	s := platform.ReadConfiguration(file, data)
//	report := configcheck.Check(s, configcheck.Context{InForce: inForce})
//	if err := report.Problems.Err(); err != nil {
//		return err
//	}
package configcheck

import (
	"fmt"
	"strconv"
	"time"

	"trefoildeck/core/config"
	"trefoildeck/core/resource"
)

// Kind is the kind of an entry of a configuration.
type Kind string

// Kinds of entries. The fields of the configuration itself have none.
const (
	KindRoute   Kind = "route"
	KindService Kind = "service"
	KindLimits  Kind = "limits"

	// kindConfiguration names the configuration itself, whose Entry has no kind.
	kindConfiguration Kind = "configuration"
)

// Entry is a part of a configuration: the configuration itself, its limits, or the route or service
// with an index.
type Entry struct {
	Kind  Kind
	Index int
}

// Field is a field of an entry. Its name in a file is in Source.Names.
type Field string

// Fields of the entries.
const (
	FieldVersion        Field = "Version"
	FieldRoutes         Field = "Routes"
	FieldServices       Field = "Services"
	FieldName           Field = "Name"
	FieldHost           Field = "Host"
	FieldPathPrefix     Field = "PathPrefix"
	FieldService        Field = "Service"
	FieldPriority       Field = "Priority"
	FieldMaxAttempts    Field = "MaxAttempts"
	FieldStretch        Field = "Stretch"
	FieldTargetLatency  Field = "TargetLatencyMS"
	FieldTimeout        Field = "TimeoutMS"
	FieldAdmissionCheck Field = "AdmissionCheck"
	FieldStandby        Field = "Standby"
	FieldMaxHeaderBytes Field = "MaxHeaderBytes"
	FieldMaxBodyBytes   Field = "MaxBodyBytes"
	FieldHeaderTimeout  Field = "HeaderTimeoutMS"
	FieldIdleTimeout    Field = "IdleTimeoutMS"
)

// Fields returns the fields that are reported.
func Fields() []Field {
	return []Field{
		FieldVersion, FieldRoutes, FieldServices, FieldName, FieldHost, FieldPathPrefix, FieldService, FieldPriority,
		FieldMaxAttempts, FieldStretch, FieldTargetLatency, FieldTimeout, FieldAdmissionCheck, FieldStandby,
		FieldMaxHeaderBytes, FieldMaxBodyBytes, FieldHeaderTimeout, FieldIdleTimeout,
	}
}

// Names has the names of fields in a file.
type Names map[Field]string

// Defect is what the decoder found in one field of a file.
type Defect struct {
	Entry Entry
	// Field is the field's name in the file. It is empty if the entry itself is meant.
	Field string
	// Found and Allowed are those of resource.Problem.
	Found   string
	Allowed string
	// Warning means that the processes take the field as it was meant, or have a default.
	Warning bool
}

// Source is a configuration that was read from a file.
type Source struct {
	File string
	// Configuration has what could be decoded. It is nil if the file has no configuration.
	Configuration *config.Configuration
	Defects       []Defect
	Names         Names
}

// Context is what a configuration is compared with, apart from itself.
type Context struct {
	// InForce is the version in force, or nil. InForceFile names it.
	InForce     *config.Configuration
	InForceFile string
	// Process has the limits of a process, or nil.
	Process *Process
}

// Process has the limits of a process by its settings.
type Process struct {
	// File names the settings.
	File string
	// RowBytes is the largest value of a row of the store that is written, in bytes.
	RowBytes int64
	// HeaderBytes is the largest header of a caller that is read, and BodyBytes the largest body
	// for which there is memory, in bytes. They are 0 if the process serves no callers.
	HeaderBytes int
	BodyBytes   int64
	// DefaultBodyBytes is the limit on bodies if the configuration has none.
	DefaultBodyBytes int64
	// HeaderTime and IdleTime apply if the configuration has no time-outs. They are 0 if the
	// process serves no callers.
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// Report is the result of a check. Problems must be mended; warnings needn't be.
type Report struct {
	Problems resource.Problems
	Warnings resource.Problems
}

// checker adds to a report what is wrong with one entry after another.
type checker struct {
	source  Source
	context Context
	report  Report
	entry   Entry
	// defects has those of the source by entry, and unread the fields of which the value is
	// not known because of them.
	defects map[Entry][]Defect
	unread  map[Entry]map[string]bool
	// named has the numbers of entries by kind and name.
	named map[Kind]map[string]int
}

// Check returns all problems of a configuration, in the order of its entries.
func Check(s Source, with Context) Report {
	c := &checker{
		source:  s,
		context: with,
		defects: map[Entry][]Defect{},
		unread:  map[Entry]map[string]bool{},
		named:   countNames(s.Configuration),
	}

	for _, d := range s.Defects {
		c.defects[d.Entry] = append(c.defects[d.Entry], d)

		if c.unread[d.Entry] == nil {
			c.unread[d.Entry] = map[string]bool{}
		}

		if !d.Warning {
			c.unread[d.Entry][d.Field] = true
		}
	}

	c.checkVersion()

	if s.Configuration != nil {
		c.checkRoutes()
		c.checkServices()
		c.checkLimits()
	}

	// A list that the file has twice may have had more entries the first time.
	for _, d := range s.Defects {
		c.enter(d.Entry)
	}

	return c.report
}

// enter begins with an entry. It adds what the decoder found there.
func (c *checker) enter(e Entry) {
	c.entry = e

	for _, d := range c.defects[e] {
		c.add(d.Warning, d.Field, d.Found, d.Allowed)
	}

	delete(c.defects, e)
}

// reads reports whether the value of a field of the present entry is known.
func (c *checker) reads(f Field) bool {
	unread := c.unread[c.entry]

	return !unread[""] && !unread[c.name(f)]
}

func (c *checker) name(f Field) string { return c.source.Names.of(f) }

// fail adds a problem of a field whose value is known, and warn a warning.
func (c *checker) fail(f Field, found, allowed string) { c.addKnown(false, f, found, allowed) }
func (c *checker) warn(f Field, found, allowed string) { c.addKnown(true, f, found, allowed) }

func (c *checker) addKnown(warning bool, f Field, found, allowed string) {
	if c.reads(f) {
		c.add(warning, c.name(f), found, allowed)
	}
}

func (c *checker) add(warning bool, field, found, allowed string) {
	p := &c.report.Problems
	if warning {
		p = &c.report.Warnings
	}

	p.File = c.source.File
	p.Section = c.section(c.entry)
	p.Add(field, found, allowed)
}

// number adds a problem if a number is not between low and high.
func (c *checker) number(f Field, v, low, high int64) {
	if v < low || v > high {
		c.fail(f, fmt.Sprint(v), fmt.Sprintf("%d to %d", low, high))
	}
}

// checkVersion checks the fields of the configuration itself.
func (c *checker) checkVersion() {
	c.enter(Entry{})

	s := c.source.Configuration
	if s == nil {
		return
	}

	if s.Version < 0 {
		c.fail(FieldVersion, fmt.Sprint(s.Version), "0 or more")
	}

	if p := c.context.InForce; p != nil && s.Version <= p.Version {
		c.fail(FieldVersion, fmt.Sprint(s.Version),
			fmt.Sprintf("a version above %d, the one in %s", p.Version, c.context.InForceFile))
	}

	if len(s.Queues) == 0 {
		c.warn(FieldRoutes, "an empty list", "routes, without which no job can be submitted")
	}
}

// section names an entry in a problem: a route or service by its name, or by its number from 1 if
// it has none. Entries of one name get both.
func (c *checker) section(e Entry) string {
	s := c.source.Configuration
	name := ""

	switch {
	case e.Kind == "":
		return string(kindConfiguration)
	case e.Kind == KindLimits:
		return string(e.Kind)
	case s == nil:
	case e.Kind == KindRoute && e.Index < len(s.Queues):
		name = s.Queues[e.Index].Name
	case e.Kind == KindService && e.Index < len(s.Services):
		name = s.Services[e.Index].Name
	}

	switch {
	case name == "":
		return fmt.Sprintf("%s number %d", e.Kind, e.Index+1)
	case c.named[e.Kind][name] > 1:
		return fmt.Sprintf("%s %s, number %d", e.Kind, plain(name), e.Index+1)
	default:
		return string(e.Kind) + " " + plain(name)
	}
}

// countNames returns the numbers of routes and services by name.
func countNames(s *config.Configuration) map[Kind]map[string]int {
	n := map[Kind]map[string]int{
		KindRoute:   {},
		KindService: {},
	}

	if s == nil {
		return n
	}

	for _, q := range s.Queues {
		n[KindRoute][q.Name]++
	}

	for _, v := range s.Services {
		n[KindService][v.Name]++
	}

	return n
}

// plain returns a name, quoted if it doesn't consist of visible ASCII characters.
func plain(name string) string {
	for _, r := range name {
		if r <= ' ' || r > '~' || r == ']' {
			return strconv.QuoteToASCII(name)
		}
	}

	return name
}
