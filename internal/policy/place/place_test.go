package place_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/policy/place"
)

// Guards against calls that wait beside a slow target although another could start them, and against calls that
// leave their data centre although they have time.
func TestHold(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name string
		call place.Call
		want time.Time
	}{
		{"far away", place.Call{Aim: now.Add(500 * ms), Cost: 200 * ms}, now},
		{"near, with time to spare", place.Call{Aim: now.Add(500 * ms), Cost: 200 * ms, Near: true}, now.Add(105 * ms)},
		{"near, late", place.Call{Aim: now.Add(100 * ms), Cost: 200 * ms, Near: true}, now},
		{"near, without an aim", place.Call{Cost: 200 * ms, Near: true}, now},
		{"nowhere else to go", place.Call{Aim: now.Add(500 * ms), Pressed: true}, time.Time{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, place.Hold(test.call, now).Equal(test.want), qt.IsTrue)
		})
	}
}

// Guards against a call that is sent to another target although it may have reached one, or may not run anywhere.
func TestBounces(t *testing.T) {
	for _, kind := range errs.Kinds() {
		outcome := errs.AnswerTo(kind).Outcome
		if place.Bounces(kind) {
			qt.Check(t, outcome, qt.Equals, errs.NotRun, qt.Commentf("%s", kind))
		}
	}
	for _, kind := range []errs.Kind{errs.Quarantined, errs.DeadlineExceeded, errs.BadRequest, errs.TargetFailed} {
		qt.Check(t, place.Bounces(kind), qt.IsFalse, qt.Commentf("%s", kind))
	}
}

// Guards against inner calls that are refused early, and against callers that could come back and are kept waiting.
func TestFinal(t *testing.T) {
	for _, test := range []struct {
		name             string
		allowed, timeout time.Duration
		want             bool
	}{
		{"a lookup", 500 * ms, 500 * ms, true},
		{"a lookup that its parent has delayed", 300 * ms, 500 * ms, true},
		{"a caller with time for two tries", 2 * time.Second, time.Second, false},
		{"no limit", 0, time.Second, false},
		{"no timeout", time.Second, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, place.Final(test.allowed, test.timeout), qt.Equals, test.want)
		})
	}
}

// Guards against callers that return unrecognised, that are mixed up, or that fill the memory.
func TestReturns(t *testing.T) {
	now := time.Unix(1000, 0)
	refused := call.Request{Route: "r", Method: "POST", URI: "/a?b", Body: []byte("body")}
	for _, test := range []struct {
		name    string
		request call.Request
		after   time.Duration
		want    bool
	}{
		{"the same request", refused, time.Second, true},
		{"after its caller gave up", refused, 2 * time.Second, false},
		{"another path", call.Request{Route: "r", Method: "POST", URI: "/a", Body: []byte("body")}, time.Second, false},
		{"another body", call.Request{Route: "r", Method: "POST", URI: "/a?b", Body: []byte("bodY")}, time.Second, false},
		{"another route", call.Request{Route: "q", Method: "POST", URI: "/a?b", Body: []byte("body")}, time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := place.NewReturns()
			r.Refused(&refused, now, now.Add(2*time.Second), now)
			first, ok := r.First(&test.request, now.Add(test.after))
			qt.Assert(t, ok, qt.Equals, test.want)
			qt.Assert(t, !ok || first.Equal(now), qt.IsTrue)
		})
	}
}

// Guards against a Retry-After that the caller does not wait for, and against callers that come back together.
func TestRetryAfter(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, test := range []struct {
		name           string
		room, left     time.Duration
		least, longest time.Duration
	}{
		{"room soon", 100 * ms, 2 * time.Second, 70 * ms, 100 * ms},
		{"room later than the caller waits", 5 * time.Second, 3 * time.Second, 700 * ms, time.Second},
		{"no time left", time.Second, 0, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			seen := map[time.Duration]bool{}
			for range 50 {
				d := place.RetryAfter(test.room, test.left, random)
				qt.Assert(t, d >= test.least && d <= test.longest, qt.IsTrue, qt.Commentf("%s", d))
				seen[d] = true
			}
			qt.Assert(t, len(seen) > 40 || test.longest == 0, qt.IsTrue)
		})
	}
}
