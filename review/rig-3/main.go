// Command rig-3 runs the scripts of the third review. Each verb starts the programs of the deploy file as separate processes on
// loopback, with stand-ins of clients, workers and the platform, and exits with 1 if a rule was broken, with 0 if it held and
// with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

// cases are the scripts by their verb. The second argument tells whether the disruption takes place.
var cases = map[string]func(r *record, withTrouble bool) error{
	"late-orders":  lateOrders,
	"evacuation":   lateWithdrawal,
	"shared-part":  sharedPart,
	"deadly-body":  deadlyBody,
	"deadly-dark":  deadlySilence,
	"other-writer": otherWriter,
	"version-zero": versionZero,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-3 CASE RECORD")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	err = cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case r.broken() > 0:
		r.note("%d breaches", r.broken())
		fmt.Println("broken:", r.broken())
		return exitBroken
	}
	r.note("held")
	fmt.Println("held")
	return exitHeld
}
