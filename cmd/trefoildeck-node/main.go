// Command trefoildeck-node runs trefoildeck's processes on the users' platform.
// It is a separate binary, so that the dependencies of trefoildeck's operator
// commands and table client cost these processes no memory. See docs/PLATFORM.md.
package main

import (
	"os"

	"trefoildeck/internal/nodecmd"
)

func main() {
	os.Exit(nodecmd.Main(os.Args[1:]))
}
