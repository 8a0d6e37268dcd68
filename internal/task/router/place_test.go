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

// TestBounces guards against inner calls that are refused in a large service although they could wait, which fails the
// calls that they serve, and against calls whose caller can come back that are passed from target to target.
func TestBounces(t *testing.T) {
	for _, test := range []struct {
		name    string
		targets int
		allowed time.Duration
		sends   int
		// pressed says that the last send may wait for as long as the call has.
		pressed bool
	}{
		{"few targets", 3, time.Minute, 4, true},
		{"few targets, an inner call", 3, time.Second, 4, true},
		{"many targets", 12, time.Minute, place.MaxBounces + 1, false},
		{"many targets, an inner call", 12, time.Second, place.MaxBounces + 2, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(test.targets, WithoutKeys(), WithProfile(route.Near))
			reply := mail.NewBox[Answer](1)
			b.receive(Submit{ID: call.NextID(), Reply: reply, Request: call.Request{
				Service: "s", Method: http.MethodGet, Deadline: b.clock.now.Add(test.allowed), Aim: b.clock.now.Add(test.allowed / 2),
			}})
			sends := 0
			var last link.Send
			for m := b.sent(); m != nil; m = b.sent() {
				last = m.(link.Send)
				sends++
				b.result(last, call.Refused{Kind: errs.Overloaded, RetryAfter: time.Second}, true)
			}
			qt.Assert(t, sends, qt.Equals, test.sends)
			qt.Assert(t, last.Request.HoldUntil.IsZero(), qt.Equals, test.pressed)
			refused, ok := outcome(reply).(call.Refused)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, refused.Kind, qt.Equals, errs.Overloaded)
		})
	}
}
