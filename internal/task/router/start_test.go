package router

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
)

// Guards against refusing the callers of a daemon that has just started and will have its release within a moment, and
// against holding them while the store is away.
func TestCallsBeforeTheFirstRelease(t *testing.T) {
	for _, test := range []struct {
		name string
		// releaseAfter is when the release arrives, or 0 if it never does.
		releaseAfter time.Duration
		options      []Option
		refused      bool
	}{
		{"release in time", 300 * time.Millisecond, []Option{WithStartHold()}, false},
		{"no release", 0, []Option{WithStartHold()}, true},
		{"without a hold", 300 * time.Millisecond, nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(3)
			h.Task = newTask(Config{VM: "own", DataCentre: "dc", Inbox: mail.NewBox[Message](64), Local: h.toLocal, Dialer: h.toLinks},
				append([]Option{WithClock(h.clock)}, test.options...)...)
			reply := mail.NewBox[Answer](1)
			submit := func(reply *mail.Box[Answer]) {
				h.receive(Submit{ID: call.NextID(), Reply: reply, Request: call.Request{Service: "s", Method: http.MethodGet}})
			}
			submit(reply)
			if test.releaseAfter > 0 && len(test.options) > 0 {
				qt.Assert(t, takeOutcome(reply), qt.IsNil)
				h.clock.now = h.clock.now.Add(test.releaseAfter)
				// A release without services comes from a store that is still empty.
				h.receive(ReleaseChanged{note.NewRelease()})
				qt.Assert(t, h.nextSent(), qt.IsNil)
				h.receive(ReleaseChanged{testRelease(3)})
			} else {
				h.clock.now = h.clock.now.Add(maxStartHold)
				for _, w := range h.timers.PopDue(h.clock.now) {
					h.handleTimer(w)
				}
			}
			qt.Assert(t, h.nextSent() == nil, qt.Equals, test.refused)
			if test.refused {
				qt.Assert(t, takeOutcome(reply).(call.Refused).Kind, qt.Equals, errs.Unconfirmed)
				// The hold is over, so later calls are refused at once.
				late := mail.NewBox[Answer](1)
				submit(late)
				qt.Assert(t, takeOutcome(late).(call.Refused).Kind, qt.Equals, errs.Unconfirmed)
			}
		})
	}
}
