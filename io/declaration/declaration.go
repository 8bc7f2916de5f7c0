// Package declaration reads INI files with declared resources or with the settings
// of the programs. It is strict: unknown sections and keys, values that do not parse
// and duplicates are problems, and all of them are reported together.
//
// # Usage
//
// Resources are sections named by kind and name:
//
//	[Service booking]
//	LatencyTarget = 80ms
//
//	var p resource.Problems
//	list := declaration.Read("booking.ini", data, &p)
//	if err := p.Err(); err != nil {
//		return err
//	}
package declaration

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"sort"
	"strings"

	"trefoildeck/core/resource"

	"gopkg.in/ini.v1"
)

// MaxBytes is the size of the largest file that is parsed.
const MaxBytes = 4 << 20

// Section is one INI section with its keys.
type Section struct {
	Name string
	Keys []Key
}

// Key is one key and the text of its value.
type Key struct {
	Name  string
	Value string
}

// Sections parses INI text. Duplicate sections and keys are added to p.
func Sections(file string, data []byte, p *resource.Problems) []Section {
	p.File = file
	p.Section = ""

	if len(data) > MaxBytes {
		p.Add("", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("up to %d bytes", MaxBytes))

		return nil
	}

	parsed, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		SkipUnrecognizableLines:    false,
		IgnoreContinuation:         true,
		IgnoreInlineComment:        true,
		KeyValueDelimiters:         "=",
	}, data)
	if err != nil {
		p.Add("", fmt.Sprintf("text that is not INI (%v)", err), "[Section] and Key = value lines")

		return nil
	}

	var sections []Section

	seen := map[string]bool{}

	for _, s := range parsed.Sections() {
		section := readSection(s, p)
		if section.Name == ini.DefaultSection && len(section.Keys) == 0 {
			continue
		}

		if seen[section.Name] {
			p.Add("", "the section twice", "once")
		}

		seen[section.Name] = true

		sections = append(sections, section)
	}

	return sections
}

func readSection(s *ini.Section, p *resource.Problems) Section {
	p.Section = s.Name()
	section := Section{Name: strings.Join(strings.Fields(s.Name()), " ")}

	for _, k := range s.Keys() {
		values := k.ValueWithShadows()
		if len(values) > 1 {
			p.Add(k.Name(), "the key twice", "once")
		}

		section.Keys = append(section.Keys, Key{
			Name:  k.Name(),
			Value: k.Value(),
		})
	}

	return section
}

// Read returns the resources that a file declares. Problems are added to p.
func Read(file string, data []byte, p *resource.Problems) []resource.Resource {
	var list []resource.Resource

	for _, s := range Sections(file, data, p) {
		p.Section = s.Name

		r, ok := readResource(s, p)
		if ok {
			list = append(list, r)
		}
	}

	return list
}

func readResource(s Section, p *resource.Problems) (resource.Resource, bool) {
	kind, name, _ := strings.Cut(s.Name, " ")
	id := resource.ID{
		Kind: resource.Kind(kind),
		Name: name,
	}
	p.Section = id.String()

	spec, err := resource.NewSpec(id.Kind)
	if err != nil || id.Kind == resource.KindOutage {
		p.Add("", fmt.Sprintf("kind %q", kind), declarableKinds())

		return resource.Resource{}, false
	}

	if c, ok := spec.(*resource.Configuration); ok {
		c.Values = keyValues(s.Keys)
	} else {
		Assign(s.Keys, spec, p)
	}

	return resource.Resource{
		ID:   id,
		Spec: spec,
	}, true
}

func keyValues(keys []Key) map[string]string {
	m := make(map[string]string, len(keys))
	for _, k := range keys {
		m[k.Name] = k.Value
	}

	return m
}

func declarableKinds() string {
	var names []string

	for _, k := range resource.Kinds() {
		if k != resource.KindOutage {
			names = append(names, string(k))
		}
	}

	return "[Kind name] with a kind of " + strings.Join(names, ", ")
}

// Assign sets the fields of the struct that target points to from the keys of the
// same names. Unknown keys and invalid values are added to p.
func Assign(keys []Key, target any, p *resource.Problems) {
	v := reflect.ValueOf(target).Elem()

	for _, k := range keys {
		f := v.FieldByName(k.Name)
		if !f.IsValid() {
			p.Add(k.Name, "an unknown key", strings.Join(fieldNames(v.Type()), ", "))

			continue
		}

		if allowed := parse(k.Value, f); allowed != "" {
			p.Add(k.Name, fmt.Sprintf("%q", k.Value), allowed)
		}
	}
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		names = append(names, t.Field(i).Name)
	}

	return names
}

// ReadPaths reads the resources that files declare. A directory stands for all *.ini
// files below it, in the order of their paths. Problems are added to p; the error says
// that a path could not be read.
func ReadPaths(paths []string, p *resource.Problems) ([]resource.Resource, error) {
	var list []resource.Resource

	for _, path := range paths {
		files, err := expand(path)
		if err != nil {
			return nil, fmt.Errorf("find declarations: %w", err)
		}

		for _, f := range files {
			data, err := os.ReadFile(f)
			if err != nil {
				return nil, fmt.Errorf("read declaration: %w", err)
			}

			list = append(list, Read(f, data, p)...)
		}
	}

	p.File = ""

	return list, nil
}

func expand(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("stat path: %w", err)
	}

	if !info.IsDir() {
		return []string{path}, nil
	}

	var files []string

	err = filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && filepath.Ext(name) == ".ini" {
			files = append(files, name)
		}

		return err
	})
	if err != nil {
		return nil, fmt.Errorf("walk directory: %w", err)
	}

	sort.Strings(files)

	return files, nil
}
