package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
)

// newColdTable returns a table of n targets, of which the first warmTargets are warm and the others cold for 3 s.
func newColdTable(n, warmTargets int, coldRate float64, now time.Time) *Table {
	t := NewTable("own", "dc", WithProfile(ProfileNear), WithRandom(rand.New(rand.NewPCG(1, 1))))
	var candidates []Candidate
	for i := range n {
		name := fmt.Sprintf("t%d", i)
		candidates = append(candidates, Candidate{Target: ident.Target(name), VM: ident.VM(name), DataCentre: "dc", Slots: 18, ColdRate: coldRate})
	}
	t.SetCandidates(candidates, now)
	for i, c := range candidates {
		l := call.Load{Incarnation: ident.Incarnation{1}, Limit: 18}
		if i >= warmTargets {
			l.UntilWarm = 3 * time.Second
		}
		t.RecordAttempt(c.Target, 0, 0, now)
		t.RecordResult(c.Target, 0, Served{Latency: 70 * time.Millisecond, Load: l}, now)
	}
	return t
}

// TestColdTargetsGetTheirShare guards against calls to cold targets while warm ones have room, against overloading a few
// warm targets while cold ones have room, and against a change where cold targets have no limit.
func TestColdTargetsGetTheirShare(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name     string
		coldRate float64
		calls    int
		// leastCold and mostCold bound the calls in flight at the six cold targets.
		leastCold, mostCold int
	}{
		{"room at the two warm targets", 14, 30, 0, 0},
		{"warm targets full", 14, 60, 6, 18},
		{"no limit while cold", 0, 60, 42, 48},
	} {
		t.Run(test.name, func(t *testing.T) {
			table, cold := newColdTable(8, 2, test.coldRate, now), 0
			for i := range test.calls {
				name, ok := table.Pick(now, nil)
				qt.Assert(t, ok, qt.IsTrue)
				table.RecordAttempt(name, call.ID(i+1), 0, now)
				if name != "t0" && name != "t1" {
					cold++
				}
			}
			qt.Assert(t, cold >= test.leastCold && cold <= test.mostCold, qt.IsTrue, qt.Commentf("%d calls at cold targets", cold))
		})
	}
}

// TestNextColdRoom guards against trying targets that are known to be cold and full, against refusing a call that a target
// has room for, and against a refusal that outlasts the cold time.
func TestNextColdRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	const ms = time.Millisecond
	for _, test := range []struct {
		name     string
		warm     int
		coldRate float64
		rank     ident.Rank
		after    time.Duration
		excluded []ident.Target
		full     bool
		want     ColdRoom
	}{
		{"all full", 0, 14, ident.Normal, 0, nil, true, ColdRoom{"t1", now.Add(300 * ms)}},
		{"less important", 0, 14, ident.Deferred, 0, nil, true, ColdRoom{"t1", now.Add(300 * ms)}},
		{"more important", 0, 14, ident.Urgent, 0, nil, false, ColdRoom{}},
		{"one has room by now", 0, 14, ident.Normal, 300 * ms, nil, false, ColdRoom{}},
		{"the one with room is excluded", 0, 14, ident.Normal, 300 * ms, []ident.Target{"t1"}, true, ColdRoom{"t2", now.Add(400 * ms)}},
		{"one is warm", 1, 14, ident.Normal, 0, nil, false, ColdRoom{}},
		{"the warm one is excluded", 1, 14, ident.Normal, 0, []ident.Target{"t0"}, true, ColdRoom{"t1", now.Add(300 * ms)}},
		{"no limit while cold", 0, 0, ident.Normal, 0, nil, false, ColdRoom{}},
		{"warm again", 0, 14, ident.Normal, 3 * time.Second, nil, false, ColdRoom{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := newColdTable(3, test.warm, test.coldRate, now)
			for target, after := range map[ident.Target]time.Duration{"t0": 500 * ms, "t1": 300 * ms, "t2": 400 * ms} {
				table.RecordColdRefusal(target, ident.Normal, after, now)
			}
			got, full := table.NextColdRoom(test.rank, now.Add(test.after), test.excluded)
			qt.Check(t, full, qt.Equals, test.full)
			qt.Check(t, got, qt.Equals, test.want)
			name, ok := table.PickFor(Call{Size: UnknownSize, Rank: test.rank}, now.Add(test.after), test.excluded)
			qt.Check(t, ok, qt.IsTrue)
			qt.Check(t, test.after != 300*ms || test.full || name == "t1", qt.IsTrue, qt.Commentf("%s", name))
		})
	}
}
