// Package resource defines the declared resources: their kinds, typed
// specifications, references and checks. It does no I/O.
//
// # Usage
//
// A Spec is decoded from a declaration (package io/declaration) or from its
// JSON form (Decode). CheckSet finds all problems of a set of resources, given
// which others exist:
//
//	var problems resource.Problems
//	resource.CheckSet(declared, exists, &problems)
//	if err := problems.Err(); err != nil {
//		return err // nothing of the set is applied
//	}
//
// A resource's Revision is the position of its last change in the total order
// of all committed changes, so a higher revision is always newer.
package resource

import (
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"time"

	"github.com/rotisserie/eris"
)

// Kind is the name of a kind of declared resource.
type Kind string

// The kinds. An Outage takes the data centre of the same name out of service.
const (
	KindDataCentre    Kind = "DataCentre"
	KindService       Kind = "Service"
	KindTeam          Kind = "Team"
	KindJob           Kind = "Job"
	KindConfiguration Kind = "Configuration"
	KindOutage        Kind = "Outage"
)

// Kinds returns every kind, referenced kinds before those that refer to them.
func Kinds() []Kind {
	return []Kind{KindDataCentre, KindTeam, KindService, KindConfiguration, KindJob, KindOutage}
}

// ErrUnknownKind is returned for a kind that does not exist.
var ErrUnknownKind = eris.New("unknown kind")

// ErrBadName is returned for a name that does not have the required form.
var ErrBadName = eris.New("names have 1 to 63 lower-case letters, digits and dashes, and start with a letter")

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// ID identifies one resource.
type ID struct {
	Kind Kind
	Name string
}

// String returns "Kind name".
func (i ID) String() string {
	return string(i.Kind) + " " + i.Name
}

// Check returns an error that wraps ErrUnknownKind or ErrBadName if the kind does
// not exist or the name is malformed.
func (i ID) Check() error {
	if _, err := NewSpec(i.Kind); err != nil {
		return err
	}

	if !namePattern.MatchString(i.Name) {
		return fmt.Errorf("check name %q: %w", i.Name, ErrBadName)
	}

	return nil
}

// Spec is the declared part of a resource.
type Spec interface {
	// Check adds a problem for each value that is out of range.
	Check(p *Problems)
	// References returns the resources that must exist.
	References() []ID
}

// Resource is a resource as committed. A Deleted one has no Spec.
type Resource struct {
	ID       ID
	Revision int64
	Spec     Spec
	Deleted  bool
}

// NewSpec returns a specification of a kind with its default values, or an error
// that wraps ErrUnknownKind.
func NewSpec(k Kind) (Spec, error) {
	switch k {
	case KindDataCentre:
		return &DataCentre{}, nil
	case KindService:
		return &Service{Timeout: defaultServiceTimeout, LatencyTarget: defaultLatencyTarget, MaxBodyBytes: defaultMaxBodyBytes}, nil
	case KindTeam:
		return &Team{}, nil
	case KindJob:
		return &Job{Tasks: 1}, nil
	case KindConfiguration:
		return &Configuration{}, nil
	case KindOutage:
		return &Outage{}, nil
	default:
		return nil, fmt.Errorf("kind %q: %w", k, ErrUnknownKind)
	}
}

// Decode reads a specification from its JSON form.
func Decode(k Kind, data []byte) (Spec, error) {
	spec, err := NewSpec(k)
	if err != nil {
		return nil, err
	}

	if err := json.Unmarshal(data, spec); err != nil {
		return nil, fmt.Errorf("decode %s: %w", k, err)
	}

	return spec, nil
}

// Encode returns the JSON form of a specification.
func Encode(s Spec) ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode specification: %w", err)
	}

	return data, nil
}

// Equal reports whether two specifications have the same values.
func Equal(a, b Spec) bool {
	return reflect.DeepEqual(a, b)
}

// Defaults of a Service.
const (
	defaultServiceTimeout = 2 * time.Second
	defaultLatencyTarget  = 100 * time.Millisecond
	defaultMaxBodyBytes   = 16 << 20
)
