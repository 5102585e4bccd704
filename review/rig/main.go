package rig

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a script.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// ErrBroken is wrapped by the error of a case whose rule was broken.
var ErrBroken = errors.New("the rule was broken")

// HasTrouble reports whether the disruption takes place.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a case and ends the process with the exit code of a script. The folder of the case and the root of the repository
// are the arguments of the program.
func Main(controls, entries int, run func(*Rig) error) {
	os.Exit(execute(controls, entries, run))
}

func execute(controls, entries int, run func(*Rig) error) int {
	if len(os.Args) != 3 {
		fmt.Println("usage: CASE-FOLDER REPOSITORY")
		return notRun
	}
	record, err := NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer record.Close()
	r, err := New(os.Args[2], record, controls, entries)
	if err != nil {
		fmt.Println("not run:", err)
		return notRun
	}
	defer r.Close()
	err = run(r)
	switch {
	case err == nil:
		record.Printf("result: the rule held")
		fmt.Println("the rule held")
		return ruleHeld
	case errors.Is(err, ErrBroken):
		record.Printf("result: %v", err)
		fmt.Println(err)
		return ruleBroken
	default:
		record.Printf("result: not run: %v", err)
		fmt.Println("not run:", err)
		return notRun
	}
}
