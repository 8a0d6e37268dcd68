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

// TestHoldUntil guards against calls that wait at a slow target although another could start them, and against calls
// that leave their data centre although they have time to wait.
func TestHoldUntil(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name      string
		placement place.Placement
		want      time.Time
	}{
		{"another data centre", place.Placement{SoftDeadline: now.Add(500 * ms), UsualLatency: 200 * ms}, now},
		{"own data centre, with spare time", place.Placement{SoftDeadline: now.Add(500 * ms), UsualLatency: 200 * ms, SameDataCentre: true}, now.Add(105 * ms)},
		{"own data centre, cannot meet its soft deadline", place.Placement{SoftDeadline: now.Add(100 * ms), UsualLatency: 200 * ms, SameDataCentre: true}, now},
		{"own data centre, without a soft deadline", place.Placement{UsualLatency: 200 * ms, SameDataCentre: true}, now},
		{"no target could start it at once", place.Placement{SoftDeadline: now.Add(500 * ms), MayQueue: true}, time.Time{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, place.HoldUntil(test.placement, now).Equal(test.want), qt.IsTrue)
		})
	}
}

// TestRedirectable guards against redirecting a call that may have reached a target, or that must not be run at all.
func TestRedirectable(t *testing.T) {
	for _, kind := range errs.Kinds() {
		outcome := errs.ResponseFor(kind).Outcome
		if place.Redirectable(kind) {
			qt.Check(t, outcome, qt.Equals, errs.NotRun, qt.Commentf("%s", kind))
		}
	}
	for _, kind := range []errs.Kind{errs.Quarantined, errs.DeadlineExceeded, errs.BadRequest, errs.TargetFailed} {
		qt.Check(t, place.Redirectable(kind), qt.IsFalse, qt.Commentf("%s", kind))
	}
}

// TestCallerCannotRetry guards against an early refusal of calls that targets make themselves, and against queueing
// calls whose callers could retry.
func TestCallerCannotRetry(t *testing.T) {
	for _, test := range []struct {
		name             string
		allowed, timeout time.Duration
		want             bool
	}{
		{"a lookup", 500 * ms, 500 * ms, true},
		{"a lookup with less time, since its parent call is late", 300 * ms, 500 * ms, true},
		{"a caller with time for two attempts", 2 * time.Second, time.Second, false},
		{"no limit", 0, time.Second, false},
		{"no timeout", time.Second, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, place.CallerCannotRetry(test.allowed, test.timeout), qt.Equals, test.want)
		})
	}
}

// TestRefusedRequests guards against retries that are not recognized or are mistaken for others, and against unbounded
// memory.
func TestRefusedRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	refused := call.Request{Route: "r", Method: "POST", URI: "/a?b", Body: []byte("body")}
	for _, test := range []struct {
		name    string
		request call.Request
		after   time.Duration
		want    bool
	}{
		{"the same request", refused, time.Second, true},
		{"after its caller has given up", refused, 2 * time.Second, false},
		{"another path", call.Request{Route: "r", Method: "POST", URI: "/a", Body: []byte("body")}, time.Second, false},
		{"another body", call.Request{Route: "r", Method: "POST", URI: "/a?b", Body: []byte("bodY")}, time.Second, false},
		{"another route", call.Request{Route: "q", Method: "POST", URI: "/a?b", Body: []byte("body")}, time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := place.NewRefusedRequests()
			r.Add(&refused, now, now.Add(2*time.Second), now)
			first, ok := r.FirstSent(&test.request, now.Add(test.after))
			qt.Assert(t, ok, qt.Equals, test.want)
			qt.Assert(t, !ok || first.Equal(now), qt.IsTrue)
		})
	}
}

// TestRetryAfter guards against a Retry-After that exceeds the time the caller waits, and against callers that all
// retry at the same time.
func TestRetryAfter(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, test := range []struct {
		name             string
		delay, remaining time.Duration
		least, longest   time.Duration
	}{
		{"capacity soon", 100 * ms, 2 * time.Second, 70 * ms, 100 * ms},
		{"capacity only after the caller gives up", 5 * time.Second, 3 * time.Second, 700 * ms, time.Second},
		{"no time left", time.Second, 0, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			delays := map[time.Duration]bool{}
			for range 50 {
				d := place.RetryAfter(test.delay, test.remaining, random)
				qt.Assert(t, d >= test.least && d <= test.longest, qt.IsTrue, qt.Commentf("%s", d))
				delays[d] = true
			}
			qt.Assert(t, len(delays) > 40 || test.longest == 0, qt.IsTrue)
		})
	}
}
