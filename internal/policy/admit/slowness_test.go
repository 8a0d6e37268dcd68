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

// newMeasuredGate returns a gate to a target with two slots whose slowness has been measured and whose service
// time for the route "k" is known. With a slowness of 0 the last measurement is 10 ms old.
func newMeasuredGate(slowness float64) *Gate {
	g := NewGate(2, WithDeclaredSlots(), WithSlownessMeasurement())
	g.serviceTimes["k"] = serviceTime{mean: 100 * ms, updatedAt: start}
	g.RecordSlowness(1, at(-10*ms))
	if slowness > 0 {
		g.RecordSlowness(slowness, start)
	}
	return g
}

// newArrival returns a call with a soft deadline of 500 ms and a deadline of 2 s, with changes applied.
func newArrival(id call.ID, change ...func(*Arrival)) Arrival {
	a := Arrival{Call: id, Rank: ident.Normal, Route: "k", SoftDeadline: at(500 * ms), Deadline: at(2 * time.Second)}
	for _, c := range change {
		c(&a)
	}
	return a
}

func withHoldUntil(d time.Duration) func(*Arrival) { return func(a *Arrival) { a.HoldUntil = at(d) } }

func retriedByCaller(a *Arrival) { a.RetriedByCaller = true }

func callerCannotRetry(a *Arrival) { a.CallerCannotRetry = true }

func withSoftDeadline(d time.Duration) func(*Arrival) {
	return func(a *Arrival) { a.SoftDeadline = at(d) }
}

func withDeadline(d time.Duration) func(*Arrival) { return func(a *Arrival) { a.Deadline = at(d) } }

// withSlotsInUse marks both slots as in use.
func withSlotsInUse(g *Gate) *Gate {
	g.inFlight = 2
	return g
}

// TestAdmitWithSoftDeadline guards against calls that start in a slow period or queue behind others although another
// target could run them, and against calls refused although they could meet their deadline.
func TestAdmitWithSoftDeadline(t *testing.T) {
	tests := []struct {
		name string
		gate *Gate
		call Arrival
		want Decision
	}{
		{"fast target", newMeasuredGate(1), newArrival(1), Start{}},
		{"slow target, redirect allowed at once", newMeasuredGate(5), newArrival(1, withHoldUntil(0)), Refuse{errs.TargetSlow, minRetryAfter}},
		{"slow target, redirect allowed after 50 ms", newMeasuredGate(5), newArrival(1, withHoldUntil(50*ms)), Wait{}},
		{"slow target, no redirect", newMeasuredGate(5), newArrival(1), Wait{}},
		{"slow target, short call", newMeasuredGate(1.6), func() Arrival {
			a := newArrival(1, withHoldUntil(0))
			a.Route = "short"
			a.UsualLatency = 10 * ms
			return a
		}(), Start{}},
		{"full, redirect allowed at once", withSlotsInUse(newMeasuredGate(1)), newArrival(1, withHoldUntil(0)), Refuse{errs.Overloaded, minRetryAfter}},
		{"full, can meet its soft deadline", withSlotsInUse(newMeasuredGate(1)), newArrival(1), Wait{}},
		{"full, would miss its soft deadline", withSlotsInUse(newMeasuredGate(1)), newArrival(1, withSoftDeadline(120*ms)), Refuse{errs.Overloaded, minRetryAfter}},
		{"full, has missed its soft deadline", withSlotsInUse(newMeasuredGate(1)), newArrival(1, withSoftDeadline(-time.Second)), Refuse{errs.Overloaded, minRetryAfter}},
		{"full, has missed its soft deadline, retried", withSlotsInUse(newMeasuredGate(1)), newArrival(1, withSoftDeadline(-time.Second), retriedByCaller), Wait{}},
		{"full, cannot retry", withSlotsInUse(newMeasuredGate(1)), newArrival(1, withSoftDeadline(120*ms), callerCannotRetry), Wait{}},
		{"cannot end in time, redirect allowed", withSlotsInUse(newMeasuredGate(1)), newArrival(1, withDeadline(50*ms), withHoldUntil(0)), Refuse{Kind: errs.TargetSlow}},
		{"cannot end in time", withSlotsInUse(newMeasuredGate(1)), newArrival(1, withDeadline(50*ms)), Refuse{Kind: errs.DeadlineExceeded}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.gate.addSample(100*ms, 1, 1)
			qt.Assert(t, test.gate.Admit(test.call, start), qt.DeepEquals, test.want)
		})
	}
}

// TestMeasurement guards against calls that start without a measurement of the target's slowness or wait too long for
// it, and against more measurements than the platform allows.
func TestMeasurement(t *testing.T) {
	g := newMeasuredGate(1)
	now := at(100 * ms)
	qt.Assert(t, g.Admit(newArrival(1, withHoldUntil(100*ms)), now), qt.Equals, Wait{})
	qt.Assert(t, g.Actions(now), qt.DeepEquals, []Action{Measure{}})
	qt.Assert(t, g.Actions(now.Add(ms)), qt.HasLen, 0)
	next, ok := g.NextActionAt(now)
	qt.Assert(t, ok && next.Equal(now.Add(measureTimeout)), qt.IsTrue)
	// Without an answer, a call that may be redirected is dropped, and any other starts.
	qt.Assert(t, g.Actions(now.Add(measureTimeout)), qt.DeepEquals, []Action{Drop{1, errs.TargetSlow, minRetryAfter}})
	g = newMeasuredGate(1)
	g.Admit(newArrival(1), now)
	g.Actions(now)
	qt.Assert(t, g.Actions(now.Add(measureTimeout)), qt.DeepEquals, []Action{Dispatch{1}})
	// With an answer, the slowness decides.
	g = newMeasuredGate(1)
	g.Admit(newArrival(1, withHoldUntil(100*ms)), now)
	g.Admit(newArrival(2), now)
	g.Actions(now)
	g.RecordSlowness(5, now.Add(ms))
	qt.Assert(t, g.Actions(now.Add(ms)), qt.DeepEquals, []Action{Drop{1, errs.TargetSlow, minRetryAfter}})
	g.RecordSlowness(1, now.Add(90*ms))
	qt.Assert(t, g.Actions(now.Add(90*ms)), qt.DeepEquals, []Action{Dispatch{2}})
	requests := 0
	g = newMeasuredGate(1)
	for d := time.Duration(0); d < 10*time.Second; d += ms {
		if g.tracker.tryRequestMeasurement(at(d)) {
			requests++
		}
		g.tracker.requestedAt = time.Time{}
	}
	qt.Assert(t, requests <= 10*measureRate+measureBurst, qt.IsTrue, qt.Commentf("%d measurements in 10 s", requests))
}

// TestBaseline guards against mistaking a cold or persistently slow target for a target in a short slow period, and
// against taking the slowness of a short slow period as the baseline.
func TestBaseline(t *testing.T) {
	type measured struct {
		after    time.Duration
		slowness float64
	}
	for _, test := range []struct {
		name     string
		cold     bool
		measured []measured
		baseline float64
		slow     bool
	}{
		{"normal speed", false, []measured{{0, 1}}, 1, false},
		{"a slow period", false, []measured{{0, 1}, {100 * ms, 5}}, 1, true},
		{"consecutive slow periods", false, []measured{{0, 5}, {150 * ms, 5}, {300 * ms, 5}}, 1, true},
		{"persistently slow", false, []measured{{0, 12}, {400 * ms, 12}, {800 * ms, 12}}, 12, false},
		{"a slow period of a persistently slow target", false, []measured{{0, 2}, {400 * ms, 2}, {800 * ms, 2}, {900 * ms, 10}}, 2, true},
		{"fast again", false, []measured{{0, 12}, {400 * ms, 12}, {800 * ms, 12}, {900 * ms, 1}}, 1, false},
		{"cold", true, []measured{{0, 2}}, 2, false},
		{"cold, in a slow period", true, []measured{{0, 10}}, maxColdBaseline, true},
		{"cold, after a slow period", true, []measured{{0, 10}, {50 * ms, 2}}, 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewGate(2, WithSlownessMeasurement())
			if test.cold {
				g.SetColdUntil(at(3 * time.Second))
			}
			for _, s := range test.measured {
				g.RecordSlowness(s.slowness, at(s.after))
			}
			qt.Assert(t, g.tracker.baseline, qt.Equals, test.baseline)
			qt.Assert(t, g.tracker.slow(), qt.Equals, test.slow)
		})
	}
}

// TestQueueOrder guards against calls that cannot meet their soft deadline being served before those that can, and
// against short lookups queued behind the longer calls that depend on them.
func TestQueueOrder(t *testing.T) {
	short := func(a *Arrival) { a.Route = "short" }
	deferred := func(a *Arrival) { a.Rank = ident.Deferred }
	tests := []struct {
		name  string
		calls []Arrival
		want  []call.ID
	}{
		{"in order of arrival", []Arrival{newArrival(1), newArrival(2)}, []call.ID{1, 2}},
		{"a call that has missed its soft deadline goes last", []Arrival{newArrival(1, withSoftDeadline(50*ms), retriedByCaller), newArrival(2)}, []call.ID{2, 1}},
		{"the higher rank first", []Arrival{newArrival(1, deferred), newArrival(2)}, []call.ID{2, 1}},
		{"the shorter call first", []Arrival{newArrival(1), newArrival(2, short)}, []call.ID{2, 1}},
		{"a call that has missed its soft deadline goes last despite its higher rank", []Arrival{newArrival(1, withSoftDeadline(50*ms), retriedByCaller), newArrival(2, deferred)}, []call.ID{2, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newMeasuredGate(1)
			g.serviceTimes["short"] = serviceTime{mean: 20 * ms, updatedAt: start}
			withSlotsInUse(g)
			for _, a := range test.calls {
				qt.Assert(t, g.Admit(a, start), qt.Equals, Wait{})
			}
			var got []call.ID
			for range test.calls {
				g.Done(Failed, FinishedCall{}, at(ms))
				for _, s := range g.Actions(at(ms)) {
					got = append(got, s.(Dispatch).Call)
				}
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// TestKneeLimiter guards against a limit that leaves slots free on a target that does not slow down when nearly full,
// or uses all slots on a target that does.
func TestKneeLimiter(t *testing.T) {
	for _, test := range []struct {
		name             string
		relativeDuration float64 // of calls with more than four fifths of the slots in use
		samples          int
		want             int
	}{
		{"too few samples", 1.7, minKneeSamples - 1, 10},
		{"no slowdown", 1, 50, 10},
		{"a slight slowdown", 1.2, 50, 10},
		{"a marked slowdown", 1.7, 50, 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			k := newKneeLimiter(10)
			for range test.samples {
				k.addSample(100*ms, 1, 5)
				k.addSample(100*ms, test.relativeDuration, 10)
			}
			qt.Assert(t, k.current(), qt.Equals, test.want)
		})
	}
}

// TestRetryAfterGrowsDuringOverload guards against a Retry-After so short that refused callers retry while the
// overload still lasts.
func TestRetryAfterGrowsDuringOverload(t *testing.T) {
	g := withSlotsInUse(newMeasuredGate(1))
	g.addSample(100*ms, 1, 1)
	g.Admit(newArrival(1), start)
	for _, test := range []struct {
		after time.Duration
		least time.Duration
	}{{ms, minRetryAfter}, {300 * ms, 300 * ms}} {
		d := g.Admit(newArrival(2, withSoftDeadline(-time.Second)), at(test.after))
		r, ok := d.(Refuse)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, r.RetryAfter >= test.least, qt.IsTrue, qt.Commentf("Retry-After of %s after %s of overload", r.RetryAfter, test.after))
	}
}
