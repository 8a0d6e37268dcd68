package route

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
)

var start = time.Unix(1000, 0)

// A fixed seed makes runs reproducible. -rapid.seed overrides it.
func init() { flag.Set("rapid.seed", "1") }

func targets(n int) []Candidate {
	var candidates []Candidate
	for i := range n {
		candidates = append(candidates, Candidate{
			Target: ident.Target(fmt.Sprintf("t%d", i)), VM: ident.VM(fmt.Sprintf("vm%d", i)),
			DataCentre: ident.DataCentre(fmt.Sprintf("dc%d", i%3)), Slots: 10,
		})
	}
	return candidates
}

func newTable(candidates []Candidate, options ...Option) *Table {
	t := NewTable("vm0", "dc0", append(options, WithRandom(rand.New(rand.NewPCG(1, 2))))...)
	t.SetCandidates(candidates, start)
	return t
}

// serve runs n sequential calls on a target with the given latency and returns the time after them.
func serve(t *Table, target ident.Target, n int, latency time.Duration, now time.Time) time.Time {
	for range n {
		id := call.NextID()
		t.RecordAttempt(target, id, 0, now)
		now = now.Add(latency)
		t.RecordResult(target, id, Served{Latency: latency, Load: call.Load{Limit: 10, Incarnation: ident.Incarnation{1}}}, now)
	}
	return now
}

// pickShares returns the fraction of 2,000 picks that each target gets while inFlight calls are in flight.
func pickShares(t *Table, inFlight int, now time.Time) map[ident.Target]float64 {
	got := map[ident.Target]float64{}
	var sent []ident.Target
	for i := range 2000 {
		target, _ := t.Pick(now, nil)
		got[target] += 1. / 2000
		t.RecordAttempt(target, call.ID(i), 0, now)
		if sent = append(sent, target); i >= inFlight {
			t.RecordResult(sent[i-inFlight], call.ID(i-inFlight), Cancelled{}, now)
		}
	}
	return got
}

// TestPickShares guards against targets that get far more or fewer calls than their state justifies.
func TestPickShares(t *testing.T) {
	ms := time.Millisecond
	tests := []struct {
		name   string
		change func(table *Table, now time.Time) time.Time
		target ident.Target
		least  float64
		most   float64
	}{
		{"equal targets get equal shares", func(_ *Table, now time.Time) time.Time { return now }, "t1", .2, .5},
		{"a call in flight for 40 ms marks a straggler", func(table *Table, now time.Time) time.Time {
			table.RecordAttempt("t1", call.NextID(), 0, now)
			return now.Add(40 * ms)
		}, "t1", 0, .01},
		{"a call in flight for 3 ms does not", func(table *Table, now time.Time) time.Time {
			table.RecordAttempt("t1", call.NextID(), 0, now)
			return now.Add(3 * ms)
		}, "t1", .05, .5},
		{"slow answers mark a straggler", func(table *Table, now time.Time) time.Time {
			return serve(table, "t1", 8, 60*ms, now)
		}, "t1", 0, .01},
		{"a straggler is tried again after a long time unused", func(table *Table, now time.Time) time.Time {
			return serve(table, "t1", 8, 60*ms, now).Add(5 * latencyDecay)
		}, "t1", .2, .5},
		{"load from other daemons counts", func(table *Table, now time.Time) time.Time {
			table.UpdateLoad("t1", call.Load{Limit: 10, InFlight: 9, Incarnation: ident.Incarnation{1}}, now)
			return now
		}, "t1", 0, .01},
		{"an old load report no longer counts", func(table *Table, now time.Time) time.Time {
			table.UpdateLoad("t1", call.Load{Limit: 10, InFlight: 9, Incarnation: ident.Incarnation{1}}, now)
			return now.Add(time.Second)
		}, "t1", .2, .5},
		{"a restarted target goes through slow start", func(table *Table, now time.Time) time.Time {
			table.UpdateLoad("t1", call.Load{Limit: 10, Incarnation: ident.Incarnation{2}}, now)
			return now
		}, "t1", 0, .01},
		{"a restarted target has its full share after slow start", func(table *Table, now time.Time) time.Time {
			table.UpdateLoad("t1", call.Load{Limit: 10, Incarnation: ident.Incarnation{2}}, now)
			return now.Add(slowStartWindow)
		}, "t1", .2, .5},
		{"a failing target is ejected", func(table *Table, now time.Time) time.Time {
			for range failuresToEject {
				table.RecordResult("t1", 1, Failed{}, now)
			}
			return now
		}, "t1", 0, 0},
		{"a target on an unreachable VM is not picked", func(table *Table, now time.Time) time.Time {
			table.SetDown("vm1", true, now)
			return now
		}, "t1", 0, 0},
		{"a target reported as down is not picked", func(table *Table, now time.Time) time.Time {
			table.UpdateLoad("t1", call.Load{Limit: 10, Incarnation: ident.Incarnation{1}, Down: true}, now)
			return now.Add(time.Second)
		}, "t1", 0, 0},
		{"a target reported as up again goes through slow start", func(table *Table, now time.Time) time.Time {
			table.UpdateLoad("t1", call.Load{Limit: 10, Incarnation: ident.Incarnation{1}, Down: true}, now)
			now = now.Add(time.Second)
			table.UpdateLoad("t1", call.Load{Limit: 10, Incarnation: ident.Incarnation{1}}, now)
			return now
		}, "t1", 0, .01},
		{"all targets reported as down: all are used", func(table *Table, now time.Time) time.Time {
			for _, c := range targets(3) {
				table.UpdateLoad(c.Target, call.Load{Limit: 10, Incarnation: ident.Incarnation{1}, Down: true}, now)
			}
			return now
		}, "t1", .2, .5},
		{"all VMs unreachable: all targets are used", func(table *Table, now time.Time) time.Time {
			for _, c := range targets(3) {
				table.SetDown(c.VM, true, now)
			}
			return now
		}, "t1", .2, .5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table, now := newTable(targets(3)), start
			for _, c := range targets(3) {
				now = serve(table, c.Target, 40, 4*ms, now)
			}
			now = test.change(table, now)
			got := pickShares(table, 6, now)[test.target]
			qt.Assert(t, got >= test.least && got <= test.most, qt.IsTrue, qt.Commentf("share %v", got))
		})
	}
}

// TestLocalDataCentre guards against calls that leave the data centre while its targets are idle, and against
// calls that stay there while its targets are full and others are idle.
func TestLocalDataCentre(t *testing.T) {
	for _, test := range []struct {
		name     string
		inFlight int
		least    float64
		most     float64
	}{
		{"idle local data centre keeps calls", 0, .99, 1.01},
		{"full local data centre sends calls elsewhere", 10, 0, .01},
	} {
		t.Run(test.name, func(t *testing.T) {
			table, now := newTable(targets(9), WithProfile(ProfileCost)), start
			for _, c := range targets(9) {
				latency := 8 * time.Millisecond
				if c.DataCentre != "dc0" {
					latency = 11 * time.Millisecond
				}
				now = serve(table, c.Target, 40, latency, now)
			}
			for _, c := range targets(9) {
				load := call.Load{Limit: 10, Incarnation: ident.Incarnation{1}}
				if c.DataCentre == "dc0" {
					load.InFlight = test.inFlight
				}
				table.UpdateLoad(c.Target, load, now)
			}
			got := pickShares(table, 1, now)
			local := got["t0"] + got["t3"] + got["t6"]
			qt.Assert(t, local >= test.least && local <= test.most, qt.IsTrue, qt.Commentf("share %v", local))
		})
	}
}

// TestLimitCandidates guards against state that grows with the size of the service, against a candidate set without
// the target on the daemon's VM, against an outage when one data centre or region fails although others have
// targets, and against calls to other regions while the local region has targets.
func TestLimitCandidates(t *testing.T) {
	tests := []struct {
		name       string
		targets    int            // spread round-robin over the data centres
		regions    []ident.Region // region of each data centre
		total      int
		local      int // candidates in the local data centre
		sameRegion int // candidates in other data centres of the local region
	}{
		{"few targets", 9, []ident.Region{"", "", ""}, 9, 3, 0},
		{"few in the local data centre", 27, []ident.Region{"", "", ""}, maxCandidates, 9, 0},
		{"many in the local data centre", 50, []ident.Region{"", "", ""}, maxCandidates, maxCandidates - minRemoteCandidates, 0},
		{"many in all regions", 80, []ident.Region{"a", "a", "b", "b"}, maxCandidates, maxCandidates - minRemoteCandidates, minRemoteCandidates - minRemoteCandidates/2},
		{"few in the local data centre, many in the region", 18, []ident.Region{"a", "a", "b"}, maxCandidates, 6, 6},
		{"one region", 50, []ident.Region{"a", "a"}, maxCandidates, maxCandidates - minRemoteCandidates, minRemoteCandidates},
		{"no other data centre of the region", 50, []ident.Region{"a", "b"}, maxCandidates, maxCandidates - minRemoteCandidates, 0},
		{"one data centre", 50, []ident.Region{"a"}, maxCandidates, maxCandidates, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			candidates := targets(test.targets)
			for i := range candidates {
				centre := i % len(test.regions)
				candidates[i].DataCentre, candidates[i].Region = ident.DataCentre(fmt.Sprintf("dc%d", centre)), test.regions[centre]
			}
			table := newTable(candidates, WithRegion(test.regions[0]))
			qt.Assert(t, table.states, qt.HasLen, test.total)
			qt.Assert(t, table.states[0].Target, qt.Equals, ident.Target("t0"))
			local, sameRegion := 0, 0
			for _, s := range table.states {
				switch {
				case s.DataCentre == "dc0":
					local++
				case s.Region != "" && s.Region == test.regions[0]:
					sameRegion++
				}
			}
			qt.Assert(t, []int{local, sameRegion}, qt.DeepEquals, []int{test.local, test.sameRegion})
		})
	}
}

// TestProbe guards against probes of candidates that receive calls anyway, and against a target that is
// never probed again after it was down or draining.
func TestProbe(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(table *Table)
		probes int
	}{
		{"no report since the first", func(*Table) {}, 0},
		{"down", func(table *Table) { table.SetDown("vm1", true, start) }, 7},
		{"reported as down", func(table *Table) {
			table.UpdateLoad("t1", call.Load{Limit: 10, Incarnation: ident.Incarnation{1}, Down: true}, start)
		}, 7},
		{"draining", func(table *Table) { table.SetDraining("vm1") }, 7},
	} {
		t.Run(test.name, func(t *testing.T) {
			table, probes := newTable(targets(3)), 0
			for _, c := range targets(3) {
				serve(table, c.Target, 1, time.Millisecond, start)
			}
			test.change(table)
			for i := range 3000 {
				now := start.Add(time.Duration(i) * 10 * time.Millisecond)
				table.RecordCall(now)
				if target, ok := table.NextProbe(now); ok {
					qt.Assert(t, target, qt.Equals, ident.Target("t1"))
					probes++
				}
			}
			qt.Assert(t, probes, qt.Equals, test.probes, qt.Commentf("30 s contain 7 probe intervals, which double from 0.25 s up to 8 s"))
		})
	}
}

// TestProbeBudget guards against probes beyond the budget, for any sequence of calls, process pauses, idle
// periods and clock changes.
func TestProbeBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		profile := rapid.SampledFrom([]Profile{ProfileTail, ProfileCost}).Draw(t, "profile")
		table, now := newTable(targets(rapid.IntRange(1, 8).Draw(t, "targets")), WithProfile(profile)), start
		table.RecordCall(now)
		calls, probes, latest := 1, 0, now
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(-100, 5000).Draw(t, "ms")) * time.Millisecond)
			case 1:
				n := rapid.IntRange(1, 100).Draw(t, "calls")
				for range n {
					table.RecordCall(now)
				}
				calls += n
			case 2:
				table.ClearTransientState()
			default:
				if _, ok := table.NextProbe(now); ok {
					probes++
				}
			}
			if float64(probes) > float64(calls)*profile.probesPerCall() {
				t.Fatalf("%d probes for %d calls", probes, calls)
			}
			if now.After(latest) {
				latest = now
			}
			if d := latest.Sub(start).Seconds(); float64(probes*maxProbeBytes) > d*profile.probeBytesPerSecond()*(1+1e-9) {
				t.Fatalf("%d probes in %v s", probes, d)
			}
		}
	})
}

// TestTableInvariants guards against more ejections than allowed, and against picks of withdrawn or draining
// targets, for any sequence of events.
func TestTableInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := targets(rapid.IntRange(1, 9).Draw(t, "targets"))
		table, now := newTable(all), start
		present, drained := map[ident.Target]bool{}, map[ident.Target]bool{}
		for _, c := range all {
			present[c.Target] = true
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			c := rapid.SampledFrom(all).Draw(t, "target")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			case 1:
				table.SetDraining(c.VM)
				drained[c.Target] = present[c.Target]
			case 2:
				table.SetDown(c.VM, rapid.Bool().Draw(t, "down"), now)
				drained[c.Target] = drained[c.Target] && table.find(c.Target) != nil && table.find(c.Target).draining
			case 3:
				present[c.Target] = !present[c.Target]
				drained[c.Target] = false
				var candidates []Candidate
				for _, c := range all {
					if present[c.Target] {
						candidates = append(candidates, c)
					}
				}
				table.SetCandidates(candidates, now)
			case 4:
				table.RecordResult(c.Target, 1, Served{Latency: time.Millisecond}, now)
			default:
				table.RecordResult(c.Target, 1, Failed{}, now)
			}
			checkInvariants(t, table, now, present, drained)
		}
	})
}

func checkInvariants(t *rapid.T, table *Table, now time.Time, present, drained map[ident.Target]bool) {
	usable := 0
	for target, ok := range present {
		if ok && !drained[target] {
			usable++
		}
	}
	target, ok := table.Pick(now, nil)
	if ok != (usable > 0) {
		t.Fatalf("Pick found a target: %v, with %d usable targets", ok, usable)
	}
	if ok && (!present[target] || drained[target]) {
		t.Fatalf("picked withdrawn or draining target %s", target)
	}
	candidates := len(table.states)
	limit := candidates / 3
	if candidates == 2 {
		limit = 1
	}
	if table.ejectedCount(now) > limit {
		t.Fatalf("%d of %d targets are ejected, more than allowed", table.ejectedCount(now), candidates)
	}
}
