// Command stand runs one case of the review: daemon processes on stand-ins of the platform, with or without the
// disruption of the case. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// caseLimit is the time after which a case is given up.
const caseLimit = 110 * time.Second

// A caseFunc runs a case and reports whether the rule was broken.
type caseFunc func(f *fleet, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{
	"big-config":    runBigConfig,
	"foreign-entry": runForeignEntry,
	"late-report":   runLateReport,
	"planned-stop":  runPlannedStop,
}

func main() { os.Exit(runCase(os.Args[1:])) }

func runCase(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return exitCannotRun
	}
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer r.close()
	f, err := newFleet(r)
	if err != nil {
		r.add("cannot run: %v", err)
		return exitCannotRun
	}
	defer f.close()
	time.AfterFunc(caseLimit, func() {
		r.add("cannot run: the case takes longer than %s", caseLimit)
		f.close()
		r.close()
		os.Exit(exitCannotRun)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, disruption: %t", args[0], trouble)
	broken, err := cases[args[0]](f, trouble)
	switch {
	case err != nil:
		r.add("cannot run: %v", err)
		return exitCannotRun
	case broken:
		r.add("result: the rule was broken")
		return exitBroken
	}
	r.add("result: the rule held")
	return exitHeld
}
