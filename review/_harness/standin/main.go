// Program harness runs the cases of the review that can't be put as a day: it starts the
// programs of the deploy file as separate processes on loopback addresses, with stand-ins for
// the store, the workers, the clients and the platform.
//
// # Usage
//
//	harness CASE FOLDER
//
// It writes record.txt to the folder. It exits with 1 if the rule was broken, 0 if it held and 2
// if the case couldn't run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases returns whether the rule was broken.
var cases = map[string]func(rec *recorder, d *deployment, trouble bool) bool{
	"lasting": runLasting,
	"large":   runLarge,
	"saved":   runSaved,
	"probe":   runProbe,
	"long":    runLong,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(2)
	}

	trouble := os.Getenv("TROUBLE") != "0"
	rec := newRecorder(os.Args[2])
	rec.say("case %s, trouble %t", os.Args[1], trouble)

	d := newDeployment(rec, queues)

	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)

	go func() {
		<-stop
		d.stop()
		os.Exit(2)
	}()

	broken := cases[os.Args[1]](rec, d, trouble)
	d.stop()

	if broken {
		rec.say("the rule was broken")
		os.Exit(1)
	}

	rec.say("the rule held")
}

const (
	hostLasting, prefixLasting = "ledger.example", "/ledger/"
	hostBatch, prefixBatch     = "batch.example", "/batch/"
)

// queues are the routes of the configuration, with the figures of armor-balise.
var queues = []map[string]any{
	queue("stock-ledger", hostLasting, prefixLasting, 0, 4, 2.2),
	queue("mix-batch", hostBatch, prefixBatch, 2, maxAttempts, 2),
}
