// Command trefoildeck schedules latency-critical services and batch tasks on
// shared workers. See README.md.
package main

import (
	_ "embed"
	"os"

	"trefoildeck/internal/cmd"
)

//go:embed version.txt
var version string

func main() {
	os.Exit(cmd.Main(version, os.Args[1:]))
}
