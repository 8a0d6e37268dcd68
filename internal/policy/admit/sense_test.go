package admit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// sensed returns a gate to a target with two slots that knows its slowness and how long calls of the kind "k" run.
func sensed(slowness float64) *Gate {
	g := NewGate(2, WithFixedSlots(), WithSensor())
	g.costs["k"] = cost{work: 100 * ms, at: start}
	g.Sense(1, at(-10*ms))
	if slowness > 0 {
		g.Sense(slowness, start)
	}
	return g
}

// timed returns an arrival with an aim of 500 ms and a deadline of 2 s after the start.
func timed(id call.ID, change ...func(*Arrival)) Arrival {
	a := Arrival{Call: id, Rank: ident.Normal, Kind: "k", Aim: at(500 * ms), Deadline: at(2 * time.Second)}
	for _, c := range change {
		c(&a)
	}
	return a
}

func holdUntil(d time.Duration) func(*Arrival) { return func(a *Arrival) { a.HoldUntil = at(d) } }

func returned(a *Arrival) { a.Returned = true }

func final(a *Arrival) { a.Final = true }

func aim(d time.Duration) func(*Arrival) { return func(a *Arrival) { a.Aim = at(d) } }

func deadline(d time.Duration) func(*Arrival) { return func(a *Arrival) { a.Deadline = at(d) } }

// full occupies both slots.
func full(g *Gate) *Gate {
	g.inFlight = 2
	return g
}

// Guards against calls that start in a slow spell or behind others although another target could run them, and
// against calls that are turned away although they can be run in time.
func TestArriveWithAim(t *testing.T) {
	tests := []struct {
		name string
		gate *Gate
		call Arrival
		want Decision
	}{
		{"fast target", sensed(1), timed(1), Start{}},
		{"slow target, may go elsewhere", sensed(5), timed(1, holdUntil(0)), Refuse{errs.TargetSlow, shortestRetry}},
		{"slow target, may wait a little", sensed(5), timed(1, holdUntil(50*ms)), Wait{}},
		{"slow target, nowhere else to go", sensed(5), timed(1), Wait{}},
		{"slow target, short call", sensed(1.6), func() Arrival { a := timed(1, holdUntil(0)); a.Kind = "short"; a.Usual = 10 * ms; return a }(), Start{}},
		{"full, may go elsewhere", full(sensed(1)), timed(1, holdUntil(0)), Refuse{errs.Overloaded, shortestRetry}},
		{"full, can make its aim", full(sensed(1)), timed(1), Wait{}},
		{"full, would miss its aim", full(sensed(1)), timed(1, aim(120*ms)), Refuse{errs.Overloaded, shortestRetry}},
		{"full, late", full(sensed(1)), timed(1, aim(-time.Second)), Refuse{errs.Overloaded, shortestRetry}},
		{"full, late, has come back", full(sensed(1)), timed(1, aim(-time.Second), returned), Wait{}},
		{"full, cannot come back", full(sensed(1)), timed(1, aim(120*ms), final), Wait{}},
		{"cannot end in time, may go elsewhere", full(sensed(1)), timed(1, deadline(50*ms), holdUntil(0)), Refuse{Kind: errs.TargetSlow}},
		{"cannot end in time", full(sensed(1)), timed(1, deadline(50*ms)), Refuse{Kind: errs.DeadlineExceeded}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.gate.sample(100*ms, 1, 1)
			qt.Assert(t, test.gate.Arrive(test.call, start), qt.DeepEquals, test.want)
		})
	}
}

// Guards against calls that start without a word on the target's speed, that wait for it for long, or for which
// the target is asked more often than it may be.
func TestMeasurement(t *testing.T) {
	g := sensed(1)
	now := at(100 * ms)
	qt.Assert(t, g.Arrive(timed(1, holdUntil(100*ms)), now), qt.Equals, Wait{})
	qt.Assert(t, g.Steps(now), qt.DeepEquals, []Step{Measure{}})
	qt.Assert(t, g.Steps(now.Add(ms)), qt.HasLen, 0)
	next, ok := g.Next(now)
	qt.Assert(t, ok && next.Equal(now.Add(measureTimeout)), qt.IsTrue)
	// Without an answer a call that may go elsewhere is given back, and another starts.
	qt.Assert(t, g.Steps(now.Add(measureTimeout)), qt.DeepEquals, []Step{Drop{1, errs.TargetSlow, shortestRetry}})
	g = sensed(1)
	g.Arrive(timed(1), now)
	g.Steps(now)
	qt.Assert(t, g.Steps(now.Add(measureTimeout)), qt.DeepEquals, []Step{Dispatch{1}})
	// An answer decides.
	g = sensed(1)
	g.Arrive(timed(1, holdUntil(100*ms)), now)
	g.Arrive(timed(2), now)
	g.Steps(now)
	g.Sense(5, now.Add(ms))
	qt.Assert(t, g.Steps(now.Add(ms)), qt.DeepEquals, []Step{Drop{1, errs.TargetSlow, shortestRetry}})
	g.Sense(1, now.Add(90*ms))
	qt.Assert(t, g.Steps(now.Add(90*ms)), qt.DeepEquals, []Step{Dispatch{2}})
	asks := 0
	g = sensed(1)
	for d := time.Duration(0); d < 10*time.Second; d += ms {
		if g.sensor.ask(at(d)) {
			asks++
		}
		g.sensor.asked = time.Time{}
	}
	qt.Assert(t, asks <= 10*measureRate+measureBurst, qt.IsTrue, qt.Commentf("%d in 10 s", asks))
}

// Guards against a cold or slow target that is taken for one in a spell, and against spells that are taken for
// the usual speed of the target.
func TestFloor(t *testing.T) {
	type told struct {
		after    time.Duration
		slowness float64
	}
	for _, test := range []struct {
		name  string
		cold  bool
		told  []told
		floor float64
		slow  bool
	}{
		{"usual speed", false, []told{{0, 1}}, 1, false},
		{"a spell", false, []told{{0, 1}, {100 * ms, 5}}, 1, true},
		{"two spells in a row", false, []told{{0, 5}, {150 * ms, 5}, {300 * ms, 5}}, 1, true},
		{"slow for long", false, []told{{0, 12}, {400 * ms, 12}, {800 * ms, 12}}, 12, false},
		{"a spell on top of it", false, []told{{0, 2}, {400 * ms, 2}, {800 * ms, 2}, {900 * ms, 10}}, 2, true},
		{"fast again", false, []told{{0, 12}, {400 * ms, 12}, {800 * ms, 12}, {900 * ms, 1}}, 1, false},
		{"cold", true, []told{{0, 2}}, 2, false},
		{"cold, and in a spell", true, []told{{0, 10}}, coldFloor, true},
		{"cold, after the spell", true, []told{{0, 10}, {50 * ms, 2}}, 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewGate(2, WithSensor())
			if test.cold {
				g.SetCold(at(3 * time.Second))
			}
			for _, s := range test.told {
				g.Sense(s.slowness, at(s.after))
			}
			qt.Assert(t, g.sensor.floor, qt.Equals, test.floor)
			qt.Assert(t, g.sensor.slow(), qt.Equals, test.slow)
		})
	}
}

// Guards against calls that cannot make their aim in the place of those that can, and against lookups behind the
// calls that wait for them.
func TestOrder(t *testing.T) {
	short := func(a *Arrival) { a.Kind = "short" }
	deferred := func(a *Arrival) { a.Rank = ident.Deferred }
	tests := []struct {
		name  string
		calls []Arrival
		want  []call.ID
	}{
		{"in order of arrival", []Arrival{timed(1), timed(2)}, []call.ID{1, 2}},
		{"one that has missed its aim goes last", []Arrival{timed(1, aim(50*ms), returned), timed(2)}, []call.ID{2, 1}},
		{"the higher rank", []Arrival{timed(1, deferred), timed(2)}, []call.ID{2, 1}},
		{"the shorter call", []Arrival{timed(1), timed(2, short)}, []call.ID{2, 1}},
		{"a late call of a higher rank goes last", []Arrival{timed(1, aim(50*ms), returned), timed(2, deferred)}, []call.ID{2, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := sensed(1)
			g.costs["short"] = cost{work: 20 * ms, at: start}
			full(g)
			for _, a := range test.calls {
				qt.Assert(t, g.Arrive(a, start), qt.Equals, Wait{})
			}
			var got []call.ID
			for range test.calls {
				g.Done(Failed, Run{}, at(ms))
				for _, s := range g.Steps(at(ms)) {
					got = append(got, s.(Dispatch).Call)
				}
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// Guards against a limit that leaves slots free where they cost nothing, or uses those above which the target slows down.
func TestKnee(t *testing.T) {
	for _, test := range []struct {
		name    string
		stretch float64 // of calls with more than four fifths of the slots in use
		samples int
		want    int
	}{
		{"not known yet", 1.7, kneeSamples - 1, 10},
		{"no knee", 1, 50, 10},
		{"a slight one", 1.2, 50, 10},
		{"a knee", 1.7, 50, 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			k := newKnee(10)
			for range test.samples {
				k.sample(100*ms, 1, 5)
				k.sample(100*ms, test.stretch, 10)
			}
			qt.Assert(t, k.current(), qt.Equals, test.want)
		})
	}
}

// Guards against a Retry-After that brings callers back into the overload that they were refused for.
func TestRetryAfterGrowsWithTheOverload(t *testing.T) {
	g := full(sensed(1))
	g.sample(100*ms, 1, 1)
	g.Arrive(timed(1), start)
	for _, test := range []struct {
		after time.Duration
		least time.Duration
	}{{ms, shortestRetry}, {300 * ms, 300 * ms}} {
		d := g.Arrive(timed(2, aim(-time.Second)), at(test.after))
		r, ok := d.(Refuse)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, r.RetryAfter >= test.least, qt.IsTrue, qt.Commentf("%s after %s", r.RetryAfter, test.after))
	}
}
