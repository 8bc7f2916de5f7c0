// Command drawdays draws days with several troubles within a second of each other, which
// days of one or two kinds of trouble do not cover.
//
// # Usage
//
//	go run ./deploy/drawdays [-answers-lost] DIRECTORY FIRST COUNT
//
// It writes DIRECTORY/drawn-SEED.toml for COUNT seeds from FIRST, each a day for the users'
// bench as in deploy/days. A seed always draws the same day. -answers-lost also draws lost
// answers of workers, which not every site plays. deploy/hunt-drawn draws and plays days.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
)

const usage = "usage: drawdays [-answers-lost] DIRECTORY FIRST COUNT"

func main() {
	answersLost := flag.Bool("answers-lost", false, "also draw lost answers of workers")
	flag.Usage = func() {
		fmt.Fprintln(os.Stderr, usage)
		flag.PrintDefaults()
	}
	flag.Parse()

	if err := run(flag.Args(), *answersLost); err != nil {
		fmt.Fprintln(os.Stderr, "drawdays:", err)
		os.Exit(1)
	}
}

func run(args []string, answersLost bool) error {
	if len(args) != 3 {
		return errors.New(usage)
	}

	first, err := strconv.ParseUint(args[1], 10, 32)
	if err != nil {
		return fmt.Errorf("FIRST: %w", err)
	}

	count, err := strconv.ParseUint(args[2], 10, 16)
	if err != nil {
		return fmt.Errorf("COUNT: %w", err)
	}

	if err := os.MkdirAll(args[0], 0o755); err != nil {
		return fmt.Errorf("directory: %w", err)
	}

	for seed := first; seed < first+count; seed++ {
		name := fmt.Sprintf("drawn-%d", seed)
		text := drawDay(seed, answersLost).text(name)

		if err := os.WriteFile(filepath.Join(args[0], name+".toml"), []byte(text), 0o644); err != nil {
			return fmt.Errorf("day: %w", err)
		}
	}

	return nil
}
