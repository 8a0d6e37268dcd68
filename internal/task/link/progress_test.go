package link

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against giving up a busy connection, and against waiting for a peer that does not answer although its kernel
// acknowledges bytes, or that sends without receiving.
func TestPingCheck(t *testing.T) {
	at := func(received, acknowledged int64, ping bool) Progress {
		return Progress{Received: received, Acknowledged: acknowledged, PingAcknowledged: ping}
	}
	for _, test := range []struct {
		name string
		// checks holds the progress at the end of each timeout, and busy is the number of checks that go on waiting.
		checks []Progress
		busy   int
	}{
		{"idle connection", []Progress{at(0, 12, true)}, 0},
		{"nothing is acknowledged", []Progress{at(0, 0, false)}, 0},
		{"ping behind an upload", []Progress{at(0, 1e5, false), at(0, 2e5, false), at(0, 3e5, false)}, 3},
		{"upload that stops", []Progress{at(0, 1e5, false), at(0, 1e5, false)}, 1},
		{"frozen peer whose kernel acknowledges", []Progress{at(0, 1e5, false), at(0, 2e5, true), at(0, 3e5, true)}, 2},
		{"upload that is acknowledged on the way", []Progress{at(0, 1e5, true), at(0, 2e5, true)}, 1},
		{"answer behind a download", []Progress{at(1e5, 12, true), at(2e5, 12, true)}, 2},
		{"peer that sends pings but does not receive", []Progress{at(100, 12, true)}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, busy := NewPingCheck(Progress{}), 0
			for _, p := range test.checks {
				if !c.IsBusy(p) {
					break
				}
				busy++
			}
			qt.Assert(t, busy, qt.Equals, test.busy)
		})
	}
}
