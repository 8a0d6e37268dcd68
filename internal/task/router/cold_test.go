package router

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/route"
	"jacinthcross/internal/task/link"
)

// Guards against trying cold and full targets one after the other for each call, against refusing a call that can wait
// for room or is more important than the refused ones, and against a Retry-After that does not fit.
func TestAllTargetsColdAndFull(t *testing.T) {
	const targets = 12
	const room = 300 * time.Millisecond
	for _, test := range []struct {
		name     string
		coldRate float64
		rank     ident.Rank
		aim      time.Duration
		sends    int
		mayQueue bool
	}{
		{"refused at once", 14, ident.Normal, 100 * time.Millisecond, 0, false},
		{"waits for room", 14, ident.Normal, time.Second, 1, true},
		{"more important than those refused", 14, ident.Urgent, 100 * time.Millisecond, 7, false},
		{"no limit while cold", 0, ident.Normal, 100 * time.Millisecond, 7, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(targets, WithoutInternalKeys(), WithProfile(route.ProfileNear))
			r := testRelease(targets)
			r.Services["s"] = note.Service{Name: "s", Timeout: 10 * time.Second, ColdRate: test.coldRate}
			h.receive(ReleaseChanged{r})
			submit := func(rank ident.Rank, aim time.Duration) (refused call.Outcome, sent []link.Send) {
				reply := mail.NewBox[Answer](1)
				now := h.clock.now
				h.receive(Submit{ID: call.NextID(), Reply: reply, Request: call.Request{
					Service: "s", Method: http.MethodGet, Rank: rank, Deadline: now.Add(time.Minute), SoftDeadline: now.Add(aim),
				}})
				for m := h.nextSent(); m != nil; m = h.nextSent() {
					s := m.(link.Send)
					sent = append(sent, s)
					load := call.Load{Incarnation: testIncarnation, Limit: 10, UntilWarm: time.Second}
					h.handleResult(call.Result{Attempt: s.ID, Load: load, Outcome: call.Refused{Kind: errs.TargetCold, RetryAfter: room}})
				}
				return takeOutcome(reply), sent
			}
			for range 4 {
				submit(ident.Normal, 100*time.Millisecond) // until all targets have refused a call
			}
			outcome, sent := submit(test.rank, test.aim)
			qt.Assert(t, sent, qt.HasLen, test.sends)
			qt.Assert(t, len(sent) > 0 && sent[len(sent)-1].Request.HoldUntil.IsZero(), qt.Equals, test.mayQueue)
			refused, ok := outcome.(call.Refused)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, refused.Kind, qt.Equals, errs.TargetCold)
			qt.Assert(t, refused.RetryAfter, qt.Equals, room)
		})
	}
}
