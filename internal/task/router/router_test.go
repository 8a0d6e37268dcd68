package router

import (
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/ledger"
	"jacinthcross/internal/policy/route"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/links"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/wire/codec"
)

// The verdict of a run must not depend on chance. -rapid.seed overrides the seed.
func init() { flag.Set("rapid.seed", "1") }

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// A bench drives a Task without its loop, so that each step is done when the call returns.
type bench struct {
	*Task
	clock *fakeClock
	out   *mail.Box[links.Message]
	in    *mail.Box[local.Message]
}

var self = ident.Incarnation{1}

func release(targets int) *note.Release {
	r := note.NewRelease()
	r.Services["s"] = note.Service{Name: "s", Rank: ident.Urgent, Timeout: 10 * time.Second, IdempotentMethods: []string{http.MethodGet}}
	for i := range targets {
		name := ident.Target(fmt.Sprintf("t%d", i))
		r.Targets[name] = note.Target{
			Name: name, Service: "s", VM: ident.VM("vm-" + name), DataCentre: "dc", Slots: 10,
			Daemon: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)),
		}
	}
	return r
}

func newBench(targets int, options ...Option) *bench {
	b := &bench{clock: &fakeClock{time.Unix(1000, 0)}, out: mail.NewBox[links.Message](4096), in: mail.NewBox[local.Message](4096)}
	b.Task = newTask(Config{VM: "own", DataCentre: "dc", Inbox: mail.NewBox[Message](64), Local: b.in, Links: b.out},
		append(options, WithClock(b.clock))...)
	b.receive(ReleaseChanged{release(targets)})
	// Earns the retries that the tests need.
	for range 50 {
		b.retries.Called(netip.Addr{})
	}
	return b
}

func (b *bench) submit(method, key, context string) (call.ID, *mail.Box[Answer]) {
	reply := mail.NewBox[Answer](1)
	id := call.NextID()
	b.receive(Submit{ID: id, Context: context, Reply: reply, Request: call.Request{Service: "s", Method: method, Key: key}})
	return id, reply
}

// sent returns the next message to a link, or nil.
func (b *bench) sent() link.Message {
	select {
	case m := <-b.out.C():
		return m.Message
	default:
		return nil
	}
}

func outcome(box *mail.Box[Answer]) call.Outcome {
	select {
	case o := <-box.C():
		return o.Outcome
	default:
		return nil
	}
}

// book submits a non-idempotent call and answers the request for the load.
func (b *bench) book(t *testing.T) (call.ID, *mail.Box[Answer], link.Send) {
	id, reply := b.submit(http.MethodPost, "", "")
	ask := b.sent().(link.Exchange).Message.(codec.LoadRequest)
	qt.Assert(t, b.sent(), qt.IsNil)
	b.receive(loadKnown{ask.Target, call.Load{Incarnation: self}})
	send := b.sent().(link.Send)
	qt.Assert(t, send.Target, qt.Equals, ask.Target)
	return id, reply, send
}

func (b *bench) result(s link.Send, o call.Outcome, heard bool) {
	r := call.Result{Attempt: s.ID, Outcome: o}
	if heard {
		r.Load.Incarnation = self
	}
	b.finish(r)
}

// TestLoadFirst guards against a refusal of a non-idempotent call whose target is not known yet, and
// against a key that names another process.
func TestLoadFirst(t *testing.T) {
	b := newBench(3)
	_, _, send := b.book(t)
	key, err := ledger.ParseKey(send.Request.Key)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, key.Incarnation, qt.Equals, self)
	qt.Assert(t, key.Target, qt.Equals, send.Target)

	// A target without a load is left for another one, each once.
	_, reply := b.submit(http.MethodPost, "", "")
	asked := map[ident.Target]bool{}
	for m := b.sent(); m != nil; m = b.sent() {
		if send, ok := m.(link.Send); ok {
			b.result(send, call.Answered{Status: 200}, true)
			break
		}
		target := m.(link.Exchange).Message.(codec.LoadRequest).Target
		qt.Assert(t, asked[target], qt.IsFalse)
		asked[target] = true
		b.receive(loadUnknown{target})
	}
	qt.Assert(t, outcome(reply), qt.IsNotNil)
}

// TestLostLink guards against a second dispatch of a non-idempotent call after its link was lost, and
// against a refusal that says not run of a call that may have run.
func TestLostLink(t *testing.T) {
	tests := []struct {
		name  string
		then  call.Outcome
		heard bool
		want  call.Outcome
	}{
		{"joined to the first send", call.Answered{Status: 200}, true, call.Answered{Status: 200}},
		{"owner restarted", call.Refused{Kind: errs.OwnerGone}, true, call.Unknown{}},
		{"owner overloaded", call.Refused{Kind: errs.Overloaded}, true, call.Unknown{}},
		{"owner unreachable until the deadline", call.Refused{Kind: errs.PeerUnreachable}, false, call.Unknown{}},
		{"link lost until the deadline", call.Unknown{Kind: errs.PeerLost}, false, call.Unknown{}},
		{"target failed", call.Unknown{Kind: errs.TargetFailed}, true, call.Unknown{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(3)
			id, reply, first := b.book(t)
			b.result(first, call.Unknown{Kind: errs.PeerLost}, false)
			for range 100 {
				b.clock.now = b.clock.now.Add(300 * time.Millisecond)
				b.wake(again{id})
				send, ok := b.sent().(link.Send)
				if !ok {
					break
				}
				qt.Assert(t, send.Target, qt.Equals, first.Target)
				qt.Assert(t, send.Request.Key, qt.Equals, first.Request.Key)
				b.result(send, test.then, test.heard)
			}
			got := outcome(reply)
			if _, ok := test.want.(call.Unknown); ok {
				_, unknown := got.(call.Unknown)
				qt.Assert(t, unknown, qt.IsTrue, qt.Commentf("%v", got))
				return
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// TestIssuedKey guards against a not-run answer to a resend when the owner did not speak, and against
// another target for a keyed call.
func TestIssuedKey(t *testing.T) {
	key := ledger.NewKey("t1", self, 1).String()
	tests := []struct {
		name   string
		result call.Refused
		heard  bool
		want   errs.Kind
	}{
		{"owner unreachable", call.Refused{Kind: errs.PeerUnreachable}, false, errs.OwnerUnreachable},
		{"own mailbox full", call.Refused{Kind: errs.Busy}, false, errs.OwnerUnreachable},
		{"owner busy", call.Refused{Kind: errs.Busy}, true, errs.Busy},
		{"owner restarted", call.Refused{Kind: errs.OwnerGone}, true, errs.OwnerGone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(3)
			_, reply := b.submit(http.MethodPost, key, "")
			send := b.sent().(link.Send)
			qt.Assert(t, send.Target, qt.Equals, ident.Target("t1"))
			b.result(send, test.result, test.heard)
			qt.Assert(t, b.sent(), qt.IsNil)
			qt.Assert(t, outcome(reply).(call.Refused).Kind, qt.Equals, test.want)
		})
	}
}

// TestRetry guards against retries on the same target, without delay or without allowance.
func TestRetry(t *testing.T) {
	b := newBench(3)
	id, reply := b.submit(http.MethodGet, "", "")
	first := b.sent().(link.Send)
	qt.Assert(t, first.Request.Allowance, qt.Equals, entryAllowance-keptAllowance)
	b.result(first, call.Refused{Kind: errs.Draining}, true)
	qt.Assert(t, b.sent(), qt.IsNil)
	b.wake(again{id})
	second := b.sent().(link.Send)
	qt.Assert(t, second.Target, qt.Not(qt.Equals), first.Target)
	qt.Assert(t, second.Request.Allowance, qt.Equals, 0)
	b.result(second, call.Refused{Kind: errs.Overloaded}, true)
	b.wake(again{id})
	third := b.sent().(link.Send)
	qt.Assert(t, third.Request.Allowance, qt.Equals, 0)
	b.result(third, call.Refused{Kind: errs.Overloaded}, true)
	qt.Assert(t, outcome(reply).(call.Refused).Kind, qt.Equals, errs.Overloaded)
	qt.Assert(t, b.calls, qt.HasLen, 0)
	qt.Assert(t, b.alarms.Len(), qt.Equals, 0)

	b.submit(http.MethodGet, "", "a context that is not known")
	qt.Assert(t, b.sent().(link.Send).Request.Allowance, qt.Equals, 0)
}

// TestLostRead guards against a read that is answered as unknown because its VM failed, while other targets are left.
func TestLostRead(t *testing.T) {
	b := newBench(3)
	id, reply := b.submit(http.MethodGet, "", "")
	first := b.sent().(link.Send)
	b.result(first, call.Unknown{Kind: errs.PeerLost}, false)
	b.wake(again{id})
	second := b.sent().(link.Send)
	qt.Assert(t, second.Target, qt.Not(qt.Equals), first.Target)
	b.result(second, call.Answered{Status: http.StatusOK}, true)
	qt.Assert(t, outcome(reply).(call.Answered).Status, qt.Equals, http.StatusOK)
}

// TestHedge guards against hedges of writes, on the same target or above the budget, and against a loser that runs on.
func TestHedge(t *testing.T) {
	b := newBench(3)
	for range 200 {
		b.submit(http.MethodGet, "", "")
		send := b.sent().(link.Send)
		b.clock.now = b.clock.now.Add(time.Millisecond)
		b.result(send, call.Answered{Status: 200}, true)
	}
	id, reply := b.submit(http.MethodGet, "", "")
	first := b.sent().(link.Send)
	b.wake(hedge{id})
	second := b.sent().(link.Send)
	qt.Assert(t, second.Target, qt.Not(qt.Equals), first.Target)
	b.wake(hedge{id})
	qt.Assert(t, b.sent(), qt.IsNil)
	b.result(second, call.Answered{Status: 200}, true)
	qt.Assert(t, outcome(reply), qt.DeepEquals, call.Outcome(call.Answered{Status: 200}))
	qt.Assert(t, b.sent(), qt.Equals, link.Message(link.Cancel{ID: first.ID}))

	id, _ = b.submit(http.MethodGet, "", "")
	b.sent()
	b.wake(hedge{id})
	b.result(b.sent().(link.Send), call.Refused{Kind: errs.Overloaded}, true)
	b.wake(hedge{id})
	qt.Assert(t, b.sent(), qt.IsNil, qt.Commentf("one hedge a call, and no retry while the first attempt runs"))
	b.wake(deadline{id})

	for b.sent() != nil || b.retries.Hedge() {
		continue
	}
	id, _ = b.submit(http.MethodGet, "", "")
	b.sent()
	b.wake(hedge{id})
	qt.Assert(t, b.sent(), qt.IsNil, qt.Commentf("no budget"))
	b.wake(deadline{id})

	_, _ = b.submit(http.MethodPost, ledger.NewKey("t1", self, 1).String(), "")
	alarms := b.alarms.Len()
	qt.Assert(t, alarms, qt.Equals, 1, qt.Commentf("a write has a deadline and no hedge"))
}

// TestBounds guards against an unbounded number of calls.
func TestBounds(t *testing.T) {
	b := newBench(3, WithMaxCalls(1))
	b.submit(http.MethodGet, "", "")
	_, reply := b.submit(http.MethodGet, "", "")
	qt.Assert(t, outcome(reply).(call.Refused).Kind, qt.Equals, errs.Busy)
}

// TestPause guards against calls taken after a pause before the release is confirmed or the wait is
// over, and against targets that are ejected because this process paused.
func TestPause(t *testing.T) {
	for _, end := range []func(b *bench){
		func(b *bench) { b.receive(Confirmed{}) },
		func(b *bench) {
			for _, w := range b.alarms.Due(b.clock.now.Add(holdTime)) {
				b.wake(w)
			}
		},
	} {
		b := newBench(3)
		var before []call.ID
		for range 30 {
			id, _ := b.submit(http.MethodGet, "", "")
			before = append(before, id)
		}
		for b.sent() != nil {
			continue
		}
		b.clock.now = b.clock.now.Add(time.Minute)
		b.receive(Paused{})
		_, held := b.submit(http.MethodGet, "", "")
		qt.Assert(t, b.sent(), qt.IsNil)
		for _, id := range before {
			b.wake(deadline{id})
			b.sent()
		}
		for _, c := range b.status().InUse[0].Candidates {
			qt.Assert(t, c.State, qt.Equals, route.Healthy)
		}
		end(b)
		send, ok := b.sent().(link.Send)
		if !ok {
			send = b.sent().(link.Send) // The first message was a probe.
		}
		b.result(send, call.Answered{Status: 200}, true)
		qt.Assert(t, outcome(held), qt.IsNotNil)
	}
}

// TestDeadline guards against an unknown outcome of a call that was never sent, and a not-run of one that was.
func TestDeadline(t *testing.T) {
	b := newBench(3)
	id, reply := b.submit(http.MethodPost, "", "")
	b.wake(deadline{id})
	qt.Assert(t, outcome(reply).(call.Refused).Kind, qt.Equals, errs.DeadlineExceeded)
	id, reply = b.submit(http.MethodGet, "", "")
	b.wake(deadline{id})
	qt.Assert(t, outcome(reply).(call.Unknown).Kind, qt.Equals, errs.DeadlineInFlight)
}

// TestNoNewWork guards against new work for targets that are withdrawn, draining or on a failed VM.
func TestNoNewWork(t *testing.T) {
	for _, test := range []struct {
		name    string
		message Message
	}{
		{"draining", PeerDraining{"vm-t1"}},
		{"down", PeerDown{"vm-t1"}},
		{"withdrawn", ReleaseChanged{release(1)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, used := range []bool{true, false} {
				b := newBench(2)
				if used {
					b.table("s")
				}
				b.receive(test.message)
				for range 100 {
					b.submit(http.MethodGet, "", "")
					qt.Assert(t, b.sent().(link.Send).Target, qt.Equals, ident.Target("t0"))
				}
			}
		})
	}
}
