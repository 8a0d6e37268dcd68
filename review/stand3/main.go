// Command stand3 plays the scenarios of the cases in review.
package main

import (
	"fmt"
	"os"
	"sort"
)

// A scenario returns whether the rule was broken.
type scenario func(r *record, binary string, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		var names []string
		for n := range scenarios {
			names = append(names, n)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: stand3 SCENARIO BINARY RECORD; scenarios:", names)
		os.Exit(2)
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("scenario %s, trouble %t", os.Args[1], trouble)
	broken, err := scenarios[os.Args[1]](r, os.Args[2], trouble)
	code := 0
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		code = 2
	case broken:
		r.printf("BROKEN")
		code = 1
	default:
		r.printf("held")
	}
	r.close()
	os.Exit(code)
}
