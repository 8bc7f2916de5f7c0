// Command standin2 runs the scripts of this review: it starts the processes of a small deployment, with
// stand-ins of the store, the workers, the platform and the clients.
//
//	standin2 CASE RECORD with|without
//
// The last word says whether the case has its disruption.
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

	if len(os.Args) != 4 || cases[os.Args[1]] == nil || (os.Args[3] != "with" && os.Args[3] != "without") {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD with|without")
		os.Exit(invalid)
	}

	status, err := cases[os.Args[1]](os.Args[2], os.Args[3] == "with")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(invalid)
	}

	fmt.Println([]string{"the rule held", "the rule was broken"}[status])
	os.Exit(status)
}
