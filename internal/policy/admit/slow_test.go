package admit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/errs"
)

// long returns a gate to a target that has been slow for a second without a break.
func long(slowness float64, change ...func(*Gate)) *Gate {
	g := NewGate(2, WithFixedSlots(), WithSensor())
	g.costs["k"] = cost{work: 100 * ms, at: start}
	for d := -time.Second; d <= 0; d += 20 * ms {
		g.Sense(slowness, at(d))
	}
	for _, c := range change {
		c(g)
	}
	return g
}

// Guards against calls that run on a target that is slow for long while another one is fast, and against calls that
// leave one because it is as slow as all others, or little slower.
func TestSlowForLong(t *testing.T) {
	elsewhere := func(slowness float64) func(*Arrival) { return func(a *Arrival) { a.Elsewhere = slowness } }
	cold := func(g *Gate) { g.SetCold(at(time.Second)) }
	for _, test := range []struct {
		name string
		gate *Gate
		call Arrival
		want Decision
	}{
		{"others are fast", long(5), timed(1, holdUntil(50*ms), elsewhere(1)), Refuse{errs.TargetSlow, shortestRetry}},
		{"others are as slow", long(5), timed(1, holdUntil(50*ms), elsewhere(5)), Start{}},
		{"others are little faster", long(2), timed(1, holdUntil(50*ms), elsewhere(1)), Start{}},
		{"others are fast, short call", long(5), timed(1, holdUntil(50*ms), elsewhere(1), func(a *Arrival) { a.Kind, a.Usual = "short", 4*ms }), Start{}},
		{"others are fast, call of unknown length", long(5), timed(1, holdUntil(50*ms), elsewhere(1), func(a *Arrival) { a.Kind = "new" }), Refuse{errs.TargetSlow, shortestRetry}},
		{"no other target", long(5), timed(1, holdUntil(50*ms)), Start{}},
		{"no other could start it", long(5), timed(1, elsewhere(1)), Start{}},
		{"just started, as the others may have been", long(3, cold), timed(1, holdUntil(50*ms), elsewhere(1)), Start{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, test.gate.Arrive(test.call, start), qt.DeepEquals, test.want)
		})
	}
}

// Guards against daemons that send calls to a slow target again after a tenth of a second, however long it is slow.
func TestSlowFor(t *testing.T) {
	spells := func(length time.Duration) *Gate {
		g := NewGate(2, WithFixedSlots(), WithSensor())
		now := at(-100 * length)
		for range 50 {
			g.Sense(1, now)
			g.Sense(5, now.Add(length))
			now = now.Add(2 * length)
		}
		g.Sense(1, start)
		g.Sense(5, start)
		return g
	}
	for _, test := range []struct {
		name        string
		gate        *Gate
		least, most time.Duration
	}{
		{"tells nothing", NewGate(2), 0, 0},
		{"fast", sensed(1), 0, 0},
		{"first spell", sensed(5), shortSpell, shortSpell},
		{"short spells before", spells(20 * ms), shortSpell, shortSpell},
		{"long spells before", spells(400 * ms), 350 * ms, 450 * ms},
		{"slow for long", long(5), floorSpan, floorSpan},
		{"slow since its start", long(3, func(g *Gate) { g.SetCold(at(time.Second)) }), 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := test.gate.SlowFor(start)
			qt.Assert(t, got >= test.least && got <= test.most, qt.IsTrue, qt.Commentf("%s", got))
		})
	}
}
