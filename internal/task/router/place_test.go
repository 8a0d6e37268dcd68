package router

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/policy/place"
	"jacinthcross/internal/policy/route"
	"jacinthcross/internal/task/link"
)

// Guards against refusing a call in a large service although it could queue and its caller cannot send it again. If
// that caller is a target that is serving another call, the other call fails, too. Also guards against redirecting a
// call to many targets although its caller can send it again later.
func TestRedirectedCalls(t *testing.T) {
	for _, test := range []struct {
		name    string
		targets int
		allowed time.Duration
		sends   int
		// mayQueue says that the last attempt may wait at its target until the deadline.
		mayQueue bool
	}{
		{"few targets", 3, time.Minute, 4, true},
		{"few targets, caller cannot retry", 3, time.Second, 4, true},
		{"many targets", 12, time.Minute, place.MaxRedirects + 1, false},
		{"many targets, caller cannot retry", 12, time.Second, place.MaxRedirects + 2, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(test.targets, WithoutInternalKeys(), WithProfile(route.ProfileNear))
			reply := mail.NewBox[Answer](1)
			h.receive(Submit{ID: call.NextID(), Reply: reply, Request: call.Request{
				Service: "s", Method: http.MethodGet, Deadline: h.clock.now.Add(test.allowed), SoftDeadline: h.clock.now.Add(test.allowed / 2),
			}})
			sends := 0
			var last link.Send
			for m := h.nextSent(); m != nil; m = h.nextSent() {
				last = m.(link.Send)
				sends++
				h.result(last, call.Refused{Kind: errs.Overloaded, RetryAfter: time.Second}, true)
			}
			qt.Assert(t, sends, qt.Equals, test.sends)
			qt.Assert(t, last.Request.HoldUntil.IsZero(), qt.Equals, test.mayQueue)
			refused, ok := takeOutcome(reply).(call.Refused)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, refused.Kind, qt.Equals, errs.Overloaded)
		})
	}
}
