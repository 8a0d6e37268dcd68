package route

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
)

// TestCallsLeaveFullDataCentres guards against calls that stay in a data centre whose targets are full, since the last
// report of each of them is old, and against calls that cross data centres for nothing.
func TestCallsLeaveFullDataCentres(t *testing.T) {
	const large, small = 5000, 100
	for _, test := range []struct {
		name          string
		local, remote int // calls in flight in the last reports of the targets with six slots
		size          int
		reportAge     time.Duration
		want          ident.DataCentre
	}{
		{"both idle", 0, 0, small, time.Second, "dc0"},
		{"both half full", 3, 3, small, time.Second, "dc0"},
		{"both full", 6, 6, large, time.Second, "dc0"},
		{"local full", 6, 1, large, time.Second, "dc1"},
		{"local full, fresh reports", 6, 1, large, time.Millisecond, "dc1"},
		{"local busy, large calls", 4, 1, large, time.Second, "dc0"},
		{"local busy, small calls", 5, 1, small, time.Second, "dc1"},
		{"local full a while ago", 6, 1, large, time.Minute, "dc0"},
		{"local full, unknown size", 6, 1, UnknownSize, time.Second, "dc1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			candidates := targets(8)
			for i := range candidates {
				candidates[i].DataCentre, candidates[i].Slots = ident.DataCentre([]string{"dc0", "dc1"}[i%2]), 6
			}
			table := newTable(candidates, WithProfile(ProfileNear))
			for range 10 {
				for _, c := range candidates {
					inFlight := test.local
					if c.DataCentre != "dc0" {
						inFlight = test.remote
					}
					table.RecordResult(c.Target, 0, Served{Latency: 250 * time.Millisecond, Load: call.Load{InFlight: inFlight, Limit: 6, Incarnation: ident.Incarnation{1}}}, now)
				}
			}
			name, ok := table.PickFor(Call{Size: test.size}, now.Add(test.reportAge), nil)
			qt.Assert(t, ok, qt.IsTrue)
			for _, c := range candidates {
				if c.Target == name {
					qt.Assert(t, c.DataCentre, qt.Equals, test.want)
				}
			}
		})
	}
}

// TestRemoteCandidatesAreSpread guards against remote candidates that are all in one data centre, which may be full too.
func TestRemoteCandidatesAreSpread(t *testing.T) {
	for _, test := range []struct {
		name    string
		centres int
		want    int // data centres with a candidate, without the local one
	}{
		{"two", 2, 1},
		{"four", 4, 3},
		{"seven", 7, 6},
		{"twelve", 12, 11},
	} {
		t.Run(test.name, func(t *testing.T) {
			candidates := targets(30 * test.centres)
			for i := range candidates {
				candidates[i].DataCentre = ident.DataCentre(rune('a' + i%test.centres))
			}
			table := NewTable(candidates[0].VM, candidates[0].DataCentre)
			table.SetCandidates(candidates, time.Unix(1000, 0))
			remote := map[ident.DataCentre]bool{}
			for _, s := range table.states {
				remote[s.DataCentre] = remote[s.DataCentre] || s.DataCentre != candidates[0].DataCentre
			}
			delete(remote, candidates[0].DataCentre)
			qt.Assert(t, len(remote), qt.Equals, min(test.want, minRemoteCandidates))
		})
	}
}
