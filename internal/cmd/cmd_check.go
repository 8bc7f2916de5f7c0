package cmd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"trefoildeck/core/resource"
	"trefoildeck/io/declaration"
	"trefoildeck/settings"
)

// `trefoildeck check FILE|DIR…`
func cmdCheck() *command {
	return &command{
		name:     "check",
		synopsis: "Check settings and declarations without contacting an entry.",
		usage:    "check FILE|DIR…",
		run: func(_ context.Context, args []string, out io.Writer) error {
			if len(args) == 0 {
				return fmt.Errorf("FILE or DIR expected: %w", errUsage)
			}

			var (
				declared []string
				failures []error
			)

			for _, f := range args {
				known, err := checkSettings(f)
				failures = append(failures, err)

				if !known {
					declared = append(declared, f)
				}
			}

			failures = append(failures, checkDeclarations(declared))

			if err := errors.Join(failures...); err != nil {
				return err
			}

			fmt.Fprintln(out, "ok")

			return nil
		},
	}
}

// checkSettings checks a settings file. It returns false for a directory or a file
// of another kind.
func checkSettings(file string) (bool, error) {
	info, err := os.Stat(file)
	if err != nil {
		return true, fmt.Errorf("check file: %w", err)
	}

	if info.IsDir() {
		return false, nil
	}

	data, err := os.ReadFile(file)
	if err != nil {
		return true, fmt.Errorf("check file: %w", err)
	}

	switch {
	case bytes.Contains(data, []byte("[Entry]")):
		_, err = settings.ParseEntry(file, data)
	case bytes.Contains(data, []byte("[Agent]")):
		_, err = settings.ParseAgent(file, data)
	case bytes.Contains(data, []byte("[Node]")):
		err = checkNode(file, data)
	default:
		return false, nil
	}

	return true, err
}

// checkNode checks the settings of trefoildeck-node: those of an agent, which has a worker,
// or of an entry.
func checkNode(file string, data []byte) error {
	n, err := settings.ParseNode(file, data)
	if err != nil {
		return err
	}

	if bytes.Contains(data, []byte("[Worker]")) {
		return n.CheckAgent(file)
	}

	return n.CheckEntry(file)
}

// checkDeclarations checks declarations as one set, without any resources that an
// entry already has.
func checkDeclarations(paths []string) error {
	if len(paths) == 0 {
		return nil
	}

	var p resource.Problems

	list, err := declaration.ReadPaths(paths, &p)
	if err != nil {
		return fmt.Errorf("check declarations: %w", err)
	}

	resource.CheckSet(list, func(resource.ID) bool { return false }, &p)

	return p.Err()
}
