// Package operator is the HTTP interface for operators: its handler and its client.
//
// # Usage
//
//	c := operator.Client{URL: "http://127.0.0.1:7401", Token: token}
//	results, err := c.Apply(ctx, list, false)
//
// The interface:
//
//	GET    /resources/{Kind}             list
//	GET    /resources/{Kind}/{Name}      get one, with ETag
//	PUT    /resources/{Kind}/{Name}      create or change; If-Match, If-None-Match: *
//	DELETE /resources/{Kind}/{Name}      delete; If-Match
//	POST   /apply?DryRun=true            apply a set of declarations, all or none of up to 49
//	GET    /watch?Kind=…&Name=…          stream state changes, a JSON line each
//	GET    /audit?Kind=…&Name=…          list the audit trail
package operator

import (
	"encoding/json"
	"fmt"

	"trefoildeck/core/resource"
)

// Action is the effect of a change on its resource.
type Action string

// The actions.
const (
	ActionCreated   Action = "Created"
	ActionChanged   Action = "Changed"
	ActionDeleted   Action = "Deleted"
	ActionUnchanged Action = "Unchanged"
)

// Result is the result of one change of a set. From and To are the specs before and
// after it.
type Result struct {
	Kind     resource.Kind
	Name     string
	Action   Action
	Revision int64         `json:",omitempty"`
	From     resource.Spec `json:",omitempty"`
	To       resource.Spec `json:",omitempty"`
}

// ResultView is a Result as the client decodes it.
type ResultView struct {
	Kind     resource.Kind
	Name     string
	Action   Action
	Revision int64
	From     json.RawMessage `json:",omitempty"`
	To       json.RawMessage `json:",omitempty"`
}

// View is a resource as operators see it: Spec is its declared state, Status its
// observed state.
type View struct {
	Kind     resource.Kind
	Name     string
	Revision int64           `json:",omitempty"`
	Spec     json.RawMessage `json:",omitempty"`
	Status   json.RawMessage `json:",omitempty"`
}

// Declared is one declared resource of a set.
type Declared struct {
	Kind resource.Kind
	Name string
	Spec json.RawMessage
}

// Failure is the body of an error answer.
type Failure struct {
	Error string
}

// encodeDeclared encodes a resource for a set.
func encodeDeclared(r resource.Resource) (Declared, error) {
	spec, err := resource.Encode(r.Spec)
	if err != nil {
		return Declared{}, fmt.Errorf("encode %s: %w", r.ID, err)
	}

	return Declared{
		Kind: r.ID.Kind,
		Name: r.ID.Name,
		Spec: spec,
	}, nil
}
