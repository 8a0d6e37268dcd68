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

// The verdict of a run must not depend on chance. -rapid.seed overrides the seed.
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

// serve runs calls one after the other on a target with a latency.
func serve(t *Table, target ident.Target, n int, latency time.Duration, now time.Time) time.Time {
	for range n {
		id := call.NextID()
		t.Sent(target, id, 0, now)
		now = now.Add(latency)
		t.Finished(target, id, Served{Latency: latency, Load: call.Load{Limit: 10, Incarnation: ident.Incarnation{1}}}, now)
	}
	return now
}

// shares returns the part of 2,000 picks that each target gets, with a number of calls in flight.
func shares(t *Table, inFlight int, now time.Time) map[ident.Target]float64 {
	got := map[ident.Target]float64{}
	var sent []ident.Target
	for i := range 2000 {
		target, _ := t.Pick(now, nil)
		got[target] += 1. / 2000
		t.Sent(target, call.ID(i), 0, now)
		if sent = append(sent, target); i >= inFlight {
			t.Finished(sent[i-inFlight], call.ID(i-inFlight), Cancelled{}, now)
		}
	}
	return got
}

// TestShares guards against a target that gets far more or less work than its state justifies.
func TestShares(t *testing.T) {
	ms := time.Millisecond
	tests := []struct {
		name   string
		change func(table *Table, now time.Time) time.Time
		target ident.Target
		least  float64
		most   float64
	}{
		{"equal targets share", func(_ *Table, now time.Time) time.Time { return now }, "t1", .2, .5},
		{"an old call in flight makes a straggler within 40 ms", func(table *Table, now time.Time) time.Time {
			table.Sent("t1", call.NextID(), 0, now)
			return now.Add(40 * ms)
		}, "t1", 0, .01},
		{"a young call in flight does not", func(table *Table, now time.Time) time.Time {
			table.Sent("t1", call.NextID(), 0, now)
			return now.Add(3 * ms)
		}, "t1", .05, .5},
		{"slow answers make a straggler", func(table *Table, now time.Time) time.Time {
			return serve(table, "t1", 8, 60*ms, now)
		}, "t1", 0, .01},
		{"a straggler that is unused for long is tried again", func(table *Table, now time.Time) time.Time {
			return serve(table, "t1", 8, 60*ms, now).Add(5 * latencyDecay)
		}, "t1", .2, .5},
		{"others' load on a target counts", func(table *Table, now time.Time) time.Time {
			table.Heard("t1", call.Load{Limit: 10, InFlight: 9, Incarnation: ident.Incarnation{1}}, now)
			return now
		}, "t1", 0, .01},
		{"an old report counts no more", func(table *Table, now time.Time) time.Time {
			table.Heard("t1", call.Load{Limit: 10, InFlight: 9, Incarnation: ident.Incarnation{1}}, now)
			return now.Add(time.Second)
		}, "t1", .2, .5},
		{"a restarted target starts slowly", func(table *Table, now time.Time) time.Time {
			table.Heard("t1", call.Load{Limit: 10, Incarnation: ident.Incarnation{2}}, now)
			return now
		}, "t1", 0, .01},
		{"and has its share after the ramp", func(table *Table, now time.Time) time.Time {
			table.Heard("t1", call.Load{Limit: 10, Incarnation: ident.Incarnation{2}}, now)
			return now.Add(slowStart)
		}, "t1", .2, .5},
		{"a failing target is ejected", func(table *Table, now time.Time) time.Time {
			for range ejectAfter {
				table.Finished("t1", 1, Failed{}, now)
			}
			return now
		}, "t1", 0, 0},
		{"a target that is down is left out", func(table *Table, now time.Time) time.Time {
			table.SetDown("vm1", true, now)
			return now
		}, "t1", 0, 0},
		{"a target that refuses connections by its last report is left out", func(table *Table, now time.Time) time.Time {
			table.Heard("t1", call.Load{Limit: 10, Incarnation: ident.Incarnation{1}, Down: true}, now)
			return now.Add(time.Second)
		}, "t1", 0, 0},
		{"and starts slowly when it accepts them again", func(table *Table, now time.Time) time.Time {
			table.Heard("t1", call.Load{Limit: 10, Incarnation: ident.Incarnation{1}, Down: true}, now)
			now = now.Add(time.Second)
			table.Heard("t1", call.Load{Limit: 10, Incarnation: ident.Incarnation{1}}, now)
			return now
		}, "t1", 0, .01},
		{"all targets that refuse connections are all used", func(table *Table, now time.Time) time.Time {
			for _, c := range targets(3) {
				table.Heard(c.Target, call.Load{Limit: 10, Incarnation: ident.Incarnation{1}, Down: true}, now)
			}
			return now
		}, "t1", .2, .5},
		{"all targets down are all used", func(table *Table, now time.Time) time.Time {
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
			got := shares(table, 6, now)[test.target]
			qt.Assert(t, got >= test.least && got <= test.most, qt.IsTrue, qt.Commentf("share %v", got))
		})
	}
}

// TestDataCentre guards against calls that travel without need and against a full own data
// centre that keeps its calls while others are idle.
func TestDataCentre(t *testing.T) {
	for _, test := range []struct {
		name     string
		inFlight int
		least    float64
		most     float64
	}{
		{"idle own data centre keeps its calls", 0, .99, 1.01},
		{"full own data centre lets them go", 10, 0, .01},
	} {
		t.Run(test.name, func(t *testing.T) {
			table, now := newTable(targets(9), WithProfile(Cost)), start
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
				table.Heard(c.Target, load, now)
			}
			got := shares(table, 1, now)
			own := got["t0"] + got["t3"] + got["t6"]
			qt.Assert(t, own >= test.least && own <= test.most, qt.IsTrue, qt.Commentf("share %v", own))
		})
	}
}

// TestCandidateCap guards against state that grows with the service, against the loss of the own target,
// against a service that is lost with one data centre or region although others have targets of it, and
// against calls to other regions while the own one has targets.
func TestCandidateCap(t *testing.T) {
	tests := []struct {
		name    string
		targets int            // one of each data centre in turn
		regions []ident.Region // of the data centres
		total   int
		own     int // of the own data centre
		near    int // of other data centres of the own region
	}{
		{"few targets", 9, []ident.Region{"", "", ""}, 9, 3, 0},
		{"few in the own data centre", 27, []ident.Region{"", "", ""}, candidateCap, 9, 0},
		{"many in the own data centre", 50, []ident.Region{"", "", ""}, candidateCap, candidateCap - remoteCandidates, 0},
		{"many in all regions", 80, []ident.Region{"a", "a", "b", "b"}, candidateCap, candidateCap - remoteCandidates, remoteCandidates / 2},
		{"few in the own data centre, many in the region", 18, []ident.Region{"a", "a", "b"}, candidateCap, 6, 6},
		{"one region", 50, []ident.Region{"a", "a"}, candidateCap, candidateCap - remoteCandidates, remoteCandidates},
		{"no other data centre of the region", 50, []ident.Region{"a", "b"}, candidateCap, candidateCap - remoteCandidates, 0},
		{"one data centre", 50, []ident.Region{"a"}, candidateCap, candidateCap, 0},
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
			own, near := 0, 0
			for _, s := range table.states {
				switch {
				case s.DataCentre == "dc0":
					own++
				case s.Region != "" && s.Region == test.regions[0]:
					near++
				}
			}
			qt.Assert(t, []int{own, near}, qt.DeepEquals, []int{test.own, test.near})
		})
	}
}

// TestProbe guards against probes of candidates that calls find out about, and against a target that is
// never found again.
func TestProbe(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(table *Table)
		probes int
	}{
		{"silent", func(*Table) {}, 0},
		{"down", func(table *Table) { table.SetDown("vm1", true, start) }, 7},
		{"refuses connections", func(table *Table) {
			table.Heard("t1", call.Load{Limit: 10, Incarnation: ident.Incarnation{1}, Down: true}, start)
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
				table.Called(now)
				if target, ok := table.Probe(now); ok {
					qt.Assert(t, target, qt.Equals, ident.Target("t1"))
					probes++
				}
			}
			qt.Assert(t, probes, qt.Equals, test.probes, qt.Commentf("30 s have 7 intervals of 0.25 s that double up to 8 s"))
		})
	}
}

// TestProbeBudget guards against probes above the budget, for any order of calls, pauses, silence and shifts.
func TestProbeBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		profile := rapid.SampledFrom([]Profile{Tail, Cost}).Draw(t, "profile")
		table, now := newTable(targets(rapid.IntRange(1, 8).Draw(t, "targets")), WithProfile(profile)), start
		table.Called(now)
		calls, probes, latest := 1, 0, now
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(-100, 5000).Draw(t, "ms")) * time.Millisecond)
			case 1:
				n := rapid.IntRange(1, 100).Draw(t, "calls")
				for range n {
					table.Called(now)
				}
				calls += n
			case 2:
				table.Discard()
			default:
				if _, ok := table.Probe(now); ok {
					probes++
				}
			}
			if float64(probes) > float64(calls)*profile.probesPerCall() {
				t.Fatalf("%d probes for %d calls", probes, calls)
			}
			if now.After(latest) {
				latest = now
			}
			if d := latest.Sub(start).Seconds(); float64(probes*probeBytes) > d*profile.probeRate()*(1+1e-9) {
				t.Fatalf("%d probes in %v s", probes, d)
			}
		}
	})
}

// TestTable guards against more ejections than the cap allows, and against a pick of a withdrawn
// or draining target, for any order of events.
func TestTable(t *testing.T) {
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
				table.Finished(c.Target, 1, Served{Latency: time.Millisecond}, now)
			default:
				table.Finished(c.Target, 1, Failed{}, now)
			}
			check(t, table, now, present, drained)
		}
	})
}

func check(t *rapid.T, table *Table, now time.Time, present, drained map[ident.Target]bool) {
	usable := 0
	for target, ok := range present {
		if ok && !drained[target] {
			usable++
		}
	}
	target, ok := table.Pick(now, nil)
	if ok != (usable > 0) {
		t.Fatalf("pick %v with %d usable targets", ok, usable)
	}
	if ok && (!present[target] || drained[target]) {
		t.Fatalf("picked %s, which takes no new work", target)
	}
	n := len(table.states)
	limit := n / 3
	if n == 2 {
		limit = 1
	}
	if table.ejectedAt(now) > limit {
		t.Fatalf("%d of %d targets are ejected", table.ejectedAt(now), n)
	}
}
