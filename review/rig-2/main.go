// The rig of the second review. It runs one case: it starts the programs of the project as separate processes on loopback
// addresses, with stand-ins for clients, workers and the operator, brings a disruption about, and tells whether a rule was
// broken. With TROUBLE=0 it leaves the disruption out. With FENCE=1 the case "maps" has workers that check fencing tokens.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// The results of a case, which are the exit codes of the rig.
const (
	kept    outcome = 0
	broken  outcome = 1
	invalid outcome = 2
)

// outcome is the result of a case.
type outcome int

// cases holds the cases by name.
var cases = map[string]func(r *record, hasTrouble bool) (outcome, error){
	"deadly":     deadlyCase,
	"evacuation": evacuationCase,
	"founding":   foundingCase,
	"maps":       mapsCase,
}

func main() {
	// The processes end with the thread that started them.
	runtime.LockOSThread()
	os.Exit(int(runCase()))
}

func runCase() outcome {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE RECORD")
		return invalid
	}
	r, err := openRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return invalid
	}
	defer r.close()
	result, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.add("the case could not run: %v", err)
	}
	r.add("result %d", result)
	return result
}
