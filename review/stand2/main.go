// Command stand2 plays the cases of the second independent review: it starts daemons as separate processes, stands in for
// their store, upstreams and requesters, and checks what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxLength is the longest time that a case may take.
const maxLength = 115 * time.Second

// A play plays a case and reports whether the rule was broken. With trouble false it leaves the disruption out.
type play func(r *record, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"kept":   playKept,
	"memory": playMemory,
	"drain":  playDrain,
	"extra":  playExtra,
	"split":  playSplit,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(plays[os.Args[1]], os.Args[2]))
}

func runCase(p play, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	type result struct {
		broken bool
		err    error
	}
	ended := make(chan result, 1)
	go func() {
		broken, err := p(r, os.Getenv("TROUBLE") != "0")
		ended <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case e := <-ended:
		switch {
		case e.err != nil:
			r.log("the case could not run: %v", e.err)
			fmt.Fprintln(os.Stderr, e.err)
			return exitNotRun
		case e.broken:
			r.log("the rule was broken")
			return exitBroken
		}
		r.log("the rule held")
		return exitHeld
	case <-time.After(maxLength):
		r.log("the case took too long")
	case s := <-signals:
		r.log("the case was ended by a signal: %v", s)
	}
	children.killAll()
	return exitNotRun
}
