package main

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/([a-z_.0-9]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// lookup returns the field at a path, or nil.
func lookup(fields any, path string) any {
	for _, k := range strings.Split(path, ".") {
		switch f := fields.(type) {
		case map[string]any:
			fields = f[k]
		case []any:
			i, err := strconv.Atoi(k)
			if err != nil || i >= len(f) {
				return nil
			}

			fields = f[i]
		default:
			return nil
		}
	}

	return fields
}

// render fills in a template of settings, as far as the project's own one uses the platform's syntax.
func render(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		if v := lookup(fields, m[1]); v == nil || v == false || v == "" {
			return ""
		}

		return m[2]
	})

	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		v := lookup(fields, s[2:len(s)-2])
		if v == nil {
			return ""
		}

		return fmt.Sprint(v)
	})
}
