// Package resource holds the declared resources: their kinds, typed
// specifications, references and checks. It does no I/O.
//
// # Usage
//
// A Spec is decoded from a declaration (package io/declaration) or from its
// JSON form (Decode). CheckSet finds everything wrong with a set of resources
// given what already exists:
//
//	problems := resource.CheckSet(declared, existing)
//	if len(problems) > 0 {
//		return problems // nothing of the set is applied
//	}
//
// A resource's Revision is the position of its last change in the total order
// of all accepted changes, so a higher revision is always newer.
package resource

import (
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"time"

	"github.com/rotisserie/eris"
)

// Kind names a kind of declared resource.
type Kind string

// The kinds. An Outage named like a data centre takes it out of service.
const (
	KindDataCentre    Kind = "DataCentre"
	KindService       Kind = "Service"
	KindTeam          Kind = "Team"
	KindJob           Kind = "Job"
	KindConfiguration Kind = "Configuration"
	KindOutage        Kind = "Outage"
)

// Kinds lists every kind, referenced kinds before those that refer to them.
func Kinds() []Kind {
	return []Kind{KindDataCentre, KindTeam, KindService, KindConfiguration, KindJob, KindOutage}
}

// ErrUnknownKind is returned for a kind that does not exist.
var ErrUnknownKind = eris.New("unknown kind")

// ErrBadName is returned for a name outside the allowed form.
var ErrBadName = eris.New("names have 1 to 63 lower-case letters, digits and dashes, and start with a letter")

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// ID names one resource.
type ID struct {
	Kind Kind
	Name string
}

// String returns "Kind name".
func (i ID) String() string {
	return string(i.Kind) + " " + i.Name
}

// Check reports whether the kind exists and the name is well formed.
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
	// References lists the resources that must exist.
	References() []ID
}

// Resource is an accepted resource. A Deleted one has no Spec.
type Resource struct {
	ID       ID
	Revision int64
	Spec     Spec
	Deleted  bool
}

// NewSpec returns an empty specification of a kind with its defaults.
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

// Equal reports whether two specifications declare the same.
func Equal(a, b Spec) bool {
	return reflect.DeepEqual(a, b)
}

const (
	defaultServiceTimeout = 2 * time.Second
	defaultLatencyTarget  = 100 * time.Millisecond
	defaultMaxBodyBytes   = 16 << 20
)
