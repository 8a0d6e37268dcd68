package router

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/policy/ledger"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/wire/codec"
)

// Guards against issuing keys owned by a target that refuses connections: no other target may run calls with these
// keys, so their callers would wait for its restart.
func TestKeyOfDownTarget(t *testing.T) {
	down := call.Load{Incarnation: testIncarnation, Down: true}
	for _, test := range []struct {
		name      string
		report    func(h *harness)
		requested ident.Target // whose load the router may request when it issues the key
	}{
		{"its daemon reports it", func(h *harness) { h.receive(TargetReported{"t1", down}) }, ""},
		{"its daemon refuses a call", func(h *harness) {
			h.submit(http.MethodPost, ledger.NewKey("t1", testIncarnation, 1).String(), "")
			send := h.nextSent().(link.Send)
			h.handleResult(call.Result{Attempt: send.ID, Outcome: call.Refused{Kind: errs.TargetDown}, Load: down})
		}, ""},
		{"its daemon answers a probe", func(h *harness) { h.receive(loadReport{"t1", down}) }, ""},
		{"its daemon answers the load request for the key", func(*harness) {}, "t1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(2)
			h.table("s")
			h.receive(TargetReported{"t0", call.Load{Incarnation: testIncarnation}})
			test.report(h)
			for range 50 {
				reply := mail.NewBox[IssuedKey](1)
				h.receive(IssueKey{Service: "s", Reply: reply})
				if m, ok := h.nextSent().(link.Exchange); ok {
					qt.Assert(t, m.Message, qt.DeepEquals, codec.Message(codec.LoadRequest{Target: test.requested}))
					h.receive(loadReport{test.requested, down})
				}
				key, err := ledger.ParseKey((<-reply.C()).Key)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, key.Target, qt.Equals, ident.Target("t0"))
			}
			// Without another target, keys of a target that is down are issued, since it may be up when they are used.
			h.receive(ReleaseChanged{testRelease(2)})
			h.receive(TargetReported{"t0", down})
			h.receive(TargetReported{"t1", down})
			reply := mail.NewBox[IssuedKey](1)
			h.receive(IssueKey{Service: "s", Reply: reply})
			qt.Assert(t, (<-reply.C()).Kind, qt.Equals, errs.Kind(""))
		})
	}
}
