package resource

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Problem is an invalid value in a declaration: where it is, what was found and
// what is allowed. File, Key and Allowed may be empty.
type Problem struct {
	File    string
	Section string
	Key     string
	Found   string
	Allowed string
}

// String returns "File: [Section] Key: found Found; allowed: Allowed".
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s: ", p.File)
	}

	fmt.Fprintf(&b, "[%s]", p.Section)

	if p.Key != "" {
		fmt.Fprintf(&b, " %s", p.Key)
	}

	fmt.Fprintf(&b, ": found %s", p.Found)

	if p.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", p.Allowed)
	}

	return b.String()
}

// Problems collects all problems of a declaration, so that an operator sees them
// at once. Add uses the current File and Section.
type Problems struct {
	File    string
	Section string
	List    []Problem
}

// Add adds a problem with a key of the current section.
func (p *Problems) Add(key, found, allowed string) {
	p.List = append(p.List, Problem{
		File:    p.File,
		Section: p.Section,
		Key:     key,
		Found:   found,
		Allowed: allowed,
	})
}

// Error implements error. It has one problem per line.
func (p *Problems) Error() string {
	lines := make([]string, 0, len(p.List))
	for _, q := range p.List {
		lines = append(lines, q.String())
	}

	return strings.Join(lines, "\n")
}

// Err returns p if there are problems and nil otherwise.
func (p *Problems) Err() error {
	if len(p.List) == 0 {
		return nil
	}

	return p
}

func (p *Problems) number(key string, v, low, high int64) {
	if v < low || v > high {
		p.Add(key, fmt.Sprint(v), fmt.Sprintf("%d to %d", low, high))
	}
}

func (p *Problems) duration(key string, v, low, high time.Duration) {
	if v < low || v > high {
		p.Add(key, v.String(), fmt.Sprintf("%s to %s", low, high))
	}
}

func (p *Problems) required(key, v string) {
	if v == "" {
		p.Add(key, "nothing", "a value is required")
	}
}

func (p *Problems) text(key, v string) {
	if len(v) > maxTextBytes {
		p.Add(key, fmt.Sprintf("%d bytes", len(v)), fmt.Sprintf("up to %d bytes", maxTextBytes))
	}
}

// CheckOne adds the problems of one resource's name and values.
func CheckOne(r Resource, p *Problems) {
	p.Section = r.ID.String()

	if err := r.ID.Check(); err != nil {
		p.Add("", fmt.Sprintf("name %q", r.ID.Name), err.Error())
	}

	r.Spec.Check(p)
}

// CheckReferences adds a problem for each resource that r refers to and that does
// not exist.
func CheckReferences(r Resource, exists func(ID) bool, p *Problems) {
	p.Section = r.ID.String()

	refs := r.Spec.References()
	if r.ID.Kind == KindOutage {
		refs = append(refs, ID{Kind: KindDataCentre, Name: r.ID.Name})
	}

	for _, id := range refs {
		if id.Name != "" && !exists(id) {
			p.Add(string(id.Kind), fmt.Sprintf("%q, which does not exist", id.Name), "a declared "+string(id.Kind))
		}
	}
}

// CheckSet adds the problems of a set of declared resources: of each by itself, of
// duplicates, and of references to resources that are neither declared nor exist.
func CheckSet(declared []Resource, exists func(ID) bool, p *Problems) {
	seen := map[ID]bool{}

	for _, r := range declared {
		if seen[r.ID] {
			p.Section = r.ID.String()
			p.Add("", "the resource twice", "once")
		}

		seen[r.ID] = true

		CheckOne(r, p)
	}

	known := func(id ID) bool { return seen[id] || exists(id) }
	for _, r := range declared {
		CheckReferences(r, known, p)
	}
}

// Referrers returns the IDs of the resources in all that refer to id, sorted by
// kind and name. Deleted ones are left out.
func Referrers(id ID, all []Resource) []ID {
	var found []ID

	for _, r := range all {
		if r.Deleted || r.Spec == nil {
			continue
		}

		outage := r.ID.Kind == KindOutage && id == ID{Kind: KindDataCentre, Name: r.ID.Name}
		if outage || slices.Contains(r.Spec.References(), id) {
			found = append(found, r.ID)
		}
	}

	slices.SortFunc(found, func(a, b ID) int { return strings.Compare(a.String(), b.String()) })

	return found
}
