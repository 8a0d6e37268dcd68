package demo

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/bench/report"
)

// Guards against a demo that succeeds although a guarantee was violated.
func TestCheckGuarantees(t *testing.T) {
	good := func() report.Run {
		return report.Run{Loads: []report.Load{
			{Service: "bookings", Calls: 3, Answered: 2, Refused: map[string]int{"Busy": 1}},
			{Service: "reports", Calls: 2, Answered: 1, Unknown: map[string]int{"TargetFailed": 1}},
		}}
	}
	for _, test := range []struct {
		name                string
		change              func(*report.Run)
		runsAfterWithdrawal int
		broken              int
	}{
		{"all kept", func(*report.Run) {}, 0, 0},
		{"second run", func(r *report.Run) { r.SecondRuns = 1 }, 0, 1},
		{"false refusal", func(r *report.Run) { r.FalseRefusals = 1 }, 0, 1},
		{"foreign answer", func(r *report.Run) { r.Foreign = 1 }, 0, 1},
		{"call without an outcome", func(r *report.Run) { r.Loads[0].Calls++ }, 0, 1},
		{"run after the withdrawal", func(*report.Run) {}, 1, 1},
		{"unknown booking", func(r *report.Run) { r.Loads[0].Calls++; r.Loads[0].Unknown = map[string]int{"PeerLost": 1} }, 0, 1},
		{"two at once", func(r *report.Run) { r.SecondRuns, r.Foreign = 1, 1 }, 0, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := good()
			test.change(&r)
			var out bytes.Buffer
			err := checkGuarantees(&out, r, test.runsAfterWithdrawal)
			c.Assert(err != nil, qt.Equals, test.broken > 0)
			c.Assert(strings.Count(out.String(), "BROKEN"), qt.Equals, test.broken)
		})
	}
}
