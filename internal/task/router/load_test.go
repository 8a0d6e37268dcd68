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

// TestKeyOfDownTarget guards against keys of a target that refuses connections: no other target may run their
// calls, so that the callers wait for its restart.
func TestKeyOfDownTarget(t *testing.T) {
	down := call.Load{Incarnation: self, Down: true}
	for _, test := range []struct {
		name  string
		learn func(b *bench)
		again ident.Target // that the router may ask when it issues the key
	}{
		{"its daemon reports it", func(b *bench) { b.receive(TargetReported{"t1", down}) }, ""},
		{"its daemon refuses a call", func(b *bench) {
			b.submit(http.MethodPost, ledger.NewKey("t1", self, 1).String(), "")
			send := b.sent().(link.Send)
			b.finish(call.Result{Attempt: send.ID, Outcome: call.Refused{Kind: errs.TargetDown}, Load: down})
		}, ""},
		{"its daemon answers a probe", func(b *bench) { b.receive(loadKnown{"t1", down}) }, ""},
		{"its daemon answers the question for the key", func(*bench) {}, "t1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(2)
			b.table("s")
			b.receive(TargetReported{"t0", call.Load{Incarnation: self}})
			test.learn(b)
			for range 50 {
				reply := mail.NewBox[Issued](1)
				b.receive(IssueKey{Service: "s", Reply: reply})
				if m, ok := b.sent().(link.Exchange); ok {
					qt.Assert(t, m.Message, qt.DeepEquals, codec.Message(codec.LoadRequest{Target: test.again}))
					b.receive(loadKnown{test.again, down})
				}
				key, err := ledger.ParseKey((<-reply.C()).Key)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, key.Target, qt.Equals, ident.Target("t0"))
			}
			// Without another target its keys are worth having: it may be back when they are used.
			b.receive(ReleaseChanged{release(2)})
			b.receive(TargetReported{"t0", down})
			b.receive(TargetReported{"t1", down})
			reply := mail.NewBox[Issued](1)
			b.receive(IssueKey{Service: "s", Reply: reply})
			qt.Assert(t, (<-reply.C()).Kind, qt.Equals, errs.Kind(""))
		})
	}
}
