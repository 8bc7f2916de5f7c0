package configcheck

import (
	"fmt"
	"strconv"
	"time"

	"trefoildeck/core/config"
)

// value is a field of an entry, as text.
type value struct {
	field Field
	text  string
}

// identity is what entries of two configurations are matched by. ordinal tells those of one name
// apart.
type identity struct {
	kind    Kind
	name    string
	ordinal int
}

// item is an entry with its fields, apart from its name.
type item struct {
	identity
	values []value
}

func (i item) label() string {
	l := string(i.kind)
	if i.name != "" {
		l += " " + plain(i.name)
	}

	return "[" + l + "]"
}

// Differences returns how next differs from inForce, a line for each entry that was added ("+") or
// removed ("-") and for each field that was changed ("~"). Entries are matched by name. names has
// the names of the fields; times are in milliseconds, as in a file.
func Differences(inForce, next *config.Configuration, names Names) []string {
	var lines []string

	before, after := items(inForce), items(next)
	old, kept := byIdentity(before), byIdentity(after)

	for _, b := range before {
		if _, ok := kept[b.identity]; !ok {
			lines = append(lines, "- "+b.describe(names))
		}
	}

	for _, a := range after {
		b, ok := old[a.identity]
		if !ok {
			lines = append(lines, "+ "+a.describe(names))

			continue
		}

		for i, v := range a.values {
			if was := b.values[i].text; was != v.text {
				lines = append(lines, fmt.Sprintf("~ %s %s: %s, was %s", a.label(), names.of(v.field), v.text, was))
			}
		}
	}

	return lines
}

func (n Names) of(f Field) string {
	if s, ok := n[f]; ok {
		return s
	}

	return string(f)
}

func (i item) describe(names Names) string {
	s := i.label()
	for _, v := range i.values {
		s += " " + names.of(v.field) + "=" + v.text
	}

	return s
}

func byIdentity(list []item) map[identity]item {
	m := make(map[identity]item, len(list))
	for _, i := range list {
		m[i.identity] = i
	}

	return m
}

// items returns the entries of a configuration: the configuration itself, its routes and services,
// and the limits.
func items(c *config.Configuration) []item {
	var list []item

	seen := map[identity]int{}
	add := func(kind Kind, name string, values []value) {
		i := identity{
			kind: kind,
			name: name,
		}
		seen[i]++
		i.ordinal = seen[i]
		list = append(list, item{
			identity: i,
			values:   values,
		})
	}

	add(kindConfiguration, "", []value{{FieldVersion, strconv.FormatInt(c.Version, 10)}})

	for _, q := range c.Queues {
		add(KindRoute, q.Name, routeValues(q))
	}

	for _, s := range c.Services {
		add(KindService, s.Name, []value{
			{FieldAdmissionCheck, strconv.FormatBool(s.AdmissionCheck)},
			{FieldStandby, strconv.FormatBool(s.Standby)},
		})
	}

	add(KindLimits, "", []value{
		{FieldMaxHeaderBytes, strconv.Itoa(c.Limits.HeaderBytes)},
		{FieldMaxBodyBytes, strconv.FormatInt(c.Limits.BodyBytes, 10)},
		{FieldHeaderTimeout, milliseconds(c.Limits.HeaderTimeout)},
		{FieldIdleTimeout, milliseconds(c.Limits.IdleTimeout)},
	})

	return list
}

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

func routeValues(q config.Queue) []value {
	return []value{
		{FieldHost, strconv.Quote(q.Host)},
		{FieldPathPrefix, strconv.Quote(q.Prefix)},
		{FieldService, strconv.Quote(q.Service)},
		{FieldPriority, strconv.Itoa(q.Priority)},
		{FieldMaxAttempts, strconv.Itoa(q.MaxAttempts)},
		{FieldStretch, strconv.FormatFloat(q.Stretch, 'g', -1, 64)},
		{FieldTargetLatency, milliseconds(q.TargetLatency)},
		{FieldTimeout, milliseconds(q.Timeout)},
	}
}
