// Command standin2 runs the scripts of this review: it starts the processes of a small deployment, with
// stand-ins of the store, the workers, the platform and the clients.
//
//	standin2 CASE RECORD
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	held    = 0
	broken  = 1
	invalid = 2
)

func main() {
	cases := map[string]func(string, bool) (int, error){
		"refused":   caseRefused,
		"gang":      caseGang,
		"cancelled": caseCancelled,
		"history":   caseHistory,
	}

	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(invalid)
	}

	status, err := run(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(invalid)
	}

	fmt.Println([]string{"the rule held", "the rule was broken"}[status])
	os.Exit(status)
}
