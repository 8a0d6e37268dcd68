package admit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/errs"
)

// newSlowGate returns a gate to a target that has had the given slowness for a second.
func newSlowGate(slowness float64, change ...func(*Gate)) *Gate {
	g := NewGate(2, WithDeclaredSlots(), WithSlownessMeasurement())
	g.serviceTimes["k"] = serviceTime{mean: 100 * ms, updatedAt: start}
	for d := -time.Second; d <= 0; d += 20 * ms {
		g.RecordSlowness(slowness, at(d))
	}
	for _, c := range change {
		c(g)
	}
	return g
}

// TestPersistentlySlowTarget guards against calls that run on a persistently slow target while another one is fast, and
// against redirecting calls from a target that is as slow as all others, or less than minRedirectSpeedup times slower.
func TestPersistentlySlowTarget(t *testing.T) {
	withMinOtherSlowness := func(slowness float64) func(*Arrival) { return func(a *Arrival) { a.MinOtherSlowness = slowness } }
	cold := func(g *Gate) { g.SetColdUntil(at(time.Second)) }
	for _, test := range []struct {
		name string
		gate *Gate
		call Arrival
		want Decision
	}{
		{"others are fast", newSlowGate(5), newArrival(1, withHoldUntil(50*ms), withMinOtherSlowness(1)), Refuse{errs.TargetSlow, minRetryAfter}},
		{"others are as slow", newSlowGate(5), newArrival(1, withHoldUntil(50*ms), withMinOtherSlowness(5)), Start{}},
		{"others are only twice as fast", newSlowGate(2), newArrival(1, withHoldUntil(50*ms), withMinOtherSlowness(1)), Start{}},
		{"others are fast, short call", newSlowGate(5), newArrival(1, withHoldUntil(50*ms), withMinOtherSlowness(1), func(a *Arrival) { a.Route, a.UsualLatency = "short", 4*ms }), Start{}},
		{"others are fast, service time unknown", newSlowGate(5), newArrival(1, withHoldUntil(50*ms), withMinOtherSlowness(1), func(a *Arrival) { a.Route = "new" }), Refuse{errs.TargetSlow, minRetryAfter}},
		{"no other target", newSlowGate(5), newArrival(1, withHoldUntil(50*ms)), Start{}},
		{"no redirect allowed", newSlowGate(5), newArrival(1, withMinOtherSlowness(1)), Start{}},
		{"just started, possibly together with the others", newSlowGate(3, cold), newArrival(1, withHoldUntil(50*ms), withMinOtherSlowness(1)), Start{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, test.gate.Admit(test.call, start), qt.DeepEquals, test.want)
		})
	}
}

// TestExpectedSlowDuration guards against reporting that a persistently slow target will be slow for only 100 ms,
// after which other daemons would send calls to it again.
func TestExpectedSlowDuration(t *testing.T) {
	newGateAfterSlowPeriods := func(length time.Duration) *Gate {
		g := NewGate(2, WithDeclaredSlots(), WithSlownessMeasurement())
		now := at(-100 * length)
		for range 50 {
			g.RecordSlowness(1, now)
			g.RecordSlowness(5, now.Add(length))
			now = now.Add(2 * length)
		}
		g.RecordSlowness(1, start)
		g.RecordSlowness(5, start)
		return g
	}
	for _, test := range []struct {
		name        string
		gate        *Gate
		least, most time.Duration
	}{
		{"reports no slowness", NewGate(2), 0, 0},
		{"fast", newMeasuredGate(1), 0, 0},
		{"first slow period", newMeasuredGate(5), shortSlowPeriod, shortSlowPeriod},
		{"after short slow periods", newGateAfterSlowPeriods(20 * ms), shortSlowPeriod, shortSlowPeriod},
		{"after long slow periods", newGateAfterSlowPeriods(400 * ms), 350 * ms, 450 * ms},
		{"persistently slow", newSlowGate(5), minBaselineSpan, minBaselineSpan},
		{"cold", newSlowGate(3, func(g *Gate) { g.SetColdUntil(at(time.Second)) }), 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := test.gate.ExpectedSlowDuration(start)
			qt.Assert(t, got >= test.least && got <= test.most, qt.IsTrue, qt.Commentf("%s", got))
		})
	}
}
