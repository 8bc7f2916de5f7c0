// Command rig3 runs the cases of the third review that are scripts. Each case starts the programs of
// the deploy file as separate processes on loopback addresses, with stand-ins for the platform's store,
// the workers and the clients, and exits with 1 if a rule was broken, 0 if it held and 2 if it couldn't run.
//
//	rig3 CASE FOLDER
//
// With TROUBLE=0 in the environment, the disruption of the case is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	statusHeld        = 0
	statusBroken      = 1
	statusNotRunnable = 2
)

// errNotRunnable is the panic of a case that can't run.
type errNotRunnable string

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// logf writes a line with the time since the begin of the case.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()

	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func main() { os.Exit(run()) }

func run() (status int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")

		return statusNotRunnable
	}

	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return statusNotRunnable
	}
	defer file.Close()

	r := &record{
		file:  file,
		began: time.Now(),
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.logf("case %s, trouble %t", os.Args[1], trouble)

	d := newDeployment(r)
	defer d.stop()

	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)

	go func() {
		r.logf("%s", <-interrupted)
		d.stop()
		os.Exit(statusNotRunnable)
	}()

	defer func() {
		switch p := recover().(type) {
		case nil:
		case errNotRunnable:
			r.logf("can't run: %s", string(p))

			status = statusNotRunnable
		default:
			panic(p)
		}

		r.logf("exit status %d", status)
		fmt.Println("exit status", status)
	}()

	if cases[os.Args[1]](d, trouble) {
		return statusBroken
	}

	return statusHeld
}
