package warm_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/policy/warm"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// send sends as many requests as the limiter allows at a time, at most n, and returns their number.
func send(l *warm.Limiter, n int, now time.Time) int {
	sent := l.Available(n, now)
	for range sent {
		l.RecordSend(now)
	}
	return sent
}

// TestSource guards against sending without limit to a target that may be cold, and against limiting a warm one.
func TestSource(t *testing.T) {
	for _, test := range []struct {
		name   string
		rate   float64
		record func(l *warm.Limiter)
		// now is when the state is looked at.
		now       time.Duration
		source    warm.Source
		untilWarm time.Duration
		available int
	}{
		{"no rate", 0, func(l *warm.Limiter) { l.RecordStart(at(0)); l.RecordHealth(time.Second, at(0)) }, ms, warm.HealthResponse, 0, 100},
		{"nothing known", 14, func(*warm.Limiter) {}, ms, warm.Assumed, 2999 * ms, 0},
		{"nothing known for a second", 14, func(*warm.Limiter) {}, time.Second, warm.Assumed, 2 * time.Second, 2},
		{"health check without a result", 14, func(l *warm.Limiter) { l.RecordNoHealth(at(3 * time.Second)) }, 3 * time.Second, warm.Assumed, 0, 100},
		{"warm by its health response", 14, func(l *warm.Limiter) { l.RecordHealth(0, at(0)) }, ms, warm.HealthResponse, 0, 100},
		{"cold by its health response, earlier requests unknown", 14, func(l *warm.Limiter) { l.RecordHealth(2*time.Second, at(0)) }, ms, warm.HealthResponse, 1999 * ms, 0},
		{"old health response", 14, func(l *warm.Limiter) { l.RecordHealth(0, at(0)) }, time.Second, warm.HealthResponse, 0, 2},
		{"cold by its entry", 14, func(l *warm.Limiter) { l.RecordEntry(at(9*time.Second), at(0)) }, time.Second, warm.Entry, 8 * time.Second, 2},
		{"entry of a process that may be gone", 14, func(l *warm.Limiter) { l.RecordEntry(time.Time{}, at(0)) }, ms, warm.Assumed, 2999 * ms, 0},
		{"the same entry again", 14, func(l *warm.Limiter) {
			l.RecordEntry(at(5*time.Second), at(0))
			l.RecordHealth(0, at(500*ms))
			l.RecordEntry(at(5*time.Second), at(600*ms))
		}, 700 * ms, warm.HealthResponse, 0, 100},
		{"started", 14, func(l *warm.Limiter) { l.RecordHealth(0, at(0)); l.RecordStart(at(5 * time.Second)) }, 5 * time.Second, warm.ObservedStart, 3 * time.Second, 2},
		{"cold again", 14, func(l *warm.Limiter) { l.RecordHealth(0, at(0)); l.RecordHealth(time.Second, at(9*time.Second)) }, 9 * time.Second, warm.HealthResponse, time.Second, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := warm.New()
			l.SetService(test.rate, 3*time.Second, true, at(0))
			test.record(l)
			qt.Check(t, l.Source(), qt.Equals, test.source)
			qt.Check(t, l.UntilWarm(at(test.now)), qt.Equals, test.untilWarm)
			qt.Check(t, l.Available(100, at(test.now)), qt.Equals, test.available)
		})
	}
}

// TestWindow guards against more requests in any second than the rate, however they are spread, against using less than
// the rate, and against wrong times for those that wait.
func TestWindow(t *testing.T) {
	for _, test := range []struct {
		name string
		rate float64
		// interval is the time between two bursts of as many requests as are allowed.
		interval time.Duration
		// most is the number of requests in the busiest second, and total the number in 20 s.
		most, total int
	}{
		{"rate of the timetables", 14, ms, 14, 280},
		{"rate that is no whole number", 14.9, ms, 14, 280},
		{"bursts", 14, 300 * ms, 8, 134},
		{"one per second", 1, 10 * ms, 1, 20},
		{"less than one per second", 0.5, 10 * ms, 1, 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := warm.New()
			l.SetService(test.rate, time.Hour, true, at(-time.Second))
			l.RecordStart(at(0))
			var sent []time.Time
			for now := at(0); now.Before(at(20 * time.Second)); now = now.Add(test.interval) {
				for range send(l, 100, now) {
					sent = append(sent, now)
				}
				qt.Assert(t, l.MayStart(l.StartTime(0, now)), qt.IsTrue)
			}
			most := 0
			for i := range sent {
				n := 0
				for _, other := range sent[i:] {
					if other.Sub(sent[i]) < time.Second {
						n++
					}
				}
				most = max(most, n)
			}
			qt.Check(t, most, qt.Equals, test.most)
			qt.Check(t, len(sent), qt.Equals, test.total)
		})
	}
}

// TestChecks guards against health checks in quick succession, against none, and against limiting a target for long that
// does not answer them.
func TestChecks(t *testing.T) {
	l := warm.New()
	qt.Assert(t, l.RequestCheck(at(0)), qt.IsFalse)
	l.SetService(14, 3*time.Second, true, at(0))
	qt.Assert(t, l.RequestCheck(at(0)), qt.IsTrue)
	qt.Assert(t, l.RequestCheck(at(500*ms)), qt.IsFalse)
	l.RecordHealth(0, at(600*ms))
	qt.Assert(t, l.RequestCheck(at(1500*ms)), qt.IsFalse)
	qt.Assert(t, l.RequestCheck(at(1600*ms)), qt.IsTrue)
	qt.Assert(t, l.Limited(at(1699*ms)), qt.IsTrue)
	qt.Assert(t, l.Limited(at(1700*ms)), qt.IsFalse)
	l.RecordStart(at(1800 * ms))
	qt.Assert(t, l.RequestCheck(at(1800*ms)), qt.IsTrue)
	l.Recheck()
	qt.Assert(t, l.RequestCheck(at(1900*ms)), qt.IsFalse)
	qt.Assert(t, l.RequestCheck(at(2*time.Second)), qt.IsTrue)
	l.SetService(14, 3*time.Second, false, at(1800*ms))
	qt.Assert(t, l.RequestCheck(at(9*time.Second)), qt.IsFalse)
	qt.Assert(t, l.Limited(at(9*time.Second)), qt.IsFalse)
}

// TestCrash guards against blaming requests for a crash that the rate has caused, and against excusing one that has
// another cause.
func TestCrash(t *testing.T) {
	for _, test := range []struct {
		name            string
		sent            int
		untilWarm       time.Duration
		overload, bound bool
	}{
		{"cold, at its rate", 14, time.Second, false, false},
		{"cold, at the limit", 21, time.Second, false, false},
		{"cold, above the limit", 22, time.Second, true, false},
		{"cold, at the bound", 29, time.Second, true, false},
		{"cold, above the bound", 30, time.Second, true, true},
		{"warm", 30, 0, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := warm.New(warm.WithBound(1.5, 8))
			l.SetService(14, 3*time.Second, true, at(0))
			l.RecordHealth(0, at(0))
			l.RecordSend(at(0))
			for range test.sent {
				l.RecordSend(at(time.Second))
			}
			l.RecordHealth(test.untilWarm, at(1500*ms))
			qt.Check(t, l.ColdOverload(at(1900*ms)), qt.Equals, test.overload)
			qt.Check(t, l.BoundExceeded(at(1900*ms)), qt.Equals, test.bound)
		})
	}
}
