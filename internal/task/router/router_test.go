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
	"jacinthcross/internal/task/dialer"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/wire/codec"
)

// Makes property tests reproducible. -rapid.seed overrides the seed.
func init() { flag.Set("rapid.seed", "1") }

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// A harness drives a Task without its loop, so that each step is complete when the call returns.
type harness struct {
	*Task
	clock   *fakeClock
	toLinks *mail.Box[dialer.Message]
	toLocal *mail.Box[local.Message]
}

var testIncarnation = ident.Incarnation{1}

func testRelease(targets int) *note.Release {
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

func newHarness(targets int, options ...Option) *harness {
	h := &harness{clock: &fakeClock{time.Unix(1000, 0)}, toLinks: mail.NewBox[dialer.Message](4096), toLocal: mail.NewBox[local.Message](4096)}
	h.Task = newTask(Config{VM: "own", DataCentre: "dc", Inbox: mail.NewBox[Message](64), Local: h.toLocal, Dialer: h.toLinks},
		append(options, WithClock(h.clock))...)
	h.receive(ReleaseChanged{testRelease(targets)})
	// Records calls, so that the retry budget allows the retries of the tests.
	for range 50 {
		h.retryPolicy.RecordCall(netip.Addr{})
	}
	return h
}

func (h *harness) submit(method, key, context string) (call.ID, *mail.Box[Answer]) {
	reply := mail.NewBox[Answer](1)
	id := call.NextID()
	h.receive(Submit{ID: id, Context: context, Reply: reply, Request: call.Request{Service: "s", Method: method, Key: key}})
	return id, reply
}

// nextSent returns the next message to a link, or nil.
func (h *harness) nextSent() link.Message {
	select {
	case m := <-h.toLinks.C():
		return m.Message
	default:
		return nil
	}
}

func takeOutcome(box *mail.Box[Answer]) call.Outcome {
	select {
	case o := <-box.C():
		return o.Outcome
	default:
		return nil
	}
}

// submitWrite submits a non-idempotent call and answers its load request.
func (h *harness) submitWrite(t *testing.T) (call.ID, *mail.Box[Answer], link.Send) {
	id, reply := h.submit(http.MethodPost, "", "")
	loadRequest := h.nextSent().(link.Exchange).Message.(codec.LoadRequest)
	qt.Assert(t, h.nextSent(), qt.IsNil)
	h.receive(loadReport{loadRequest.Target, call.Load{Incarnation: testIncarnation}})
	send := h.nextSent().(link.Send)
	qt.Assert(t, send.Target, qt.Equals, loadRequest.Target)
	return id, reply, send
}

func (h *harness) result(s link.Send, o call.Outcome, fromOwner bool) {
	r := call.Result{Attempt: s.ID, Outcome: o}
	if fromOwner {
		r.Load.Incarnation = testIncarnation
	}
	h.handleResult(r)
}

// Guards against refusing a non-idempotent call because there is no load report of its target yet, and against a key that
// names another incarnation.
func TestLoadRequestedBeforeWrite(t *testing.T) {
	h := newHarness(3)
	_, _, send := h.submitWrite(t)
	key, err := ledger.ParseKey(send.Request.Key)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, key.Incarnation, qt.Equals, testIncarnation)
	qt.Assert(t, key.Target, qt.Equals, send.Target)

	// After a failed load request another target is tried, each one once.
	_, reply := h.submit(http.MethodPost, "", "")
	requested := map[ident.Target]bool{}
	for m := h.nextSent(); m != nil; m = h.nextSent() {
		if send, ok := m.(link.Send); ok {
			h.result(send, call.Answered{Status: 200}, true)
			break
		}
		target := m.(link.Exchange).Message.(codec.LoadRequest).Target
		qt.Assert(t, requested[target], qt.IsFalse)
		requested[target] = true
		h.receive(loadFailure{target})
	}
	qt.Assert(t, takeOutcome(reply), qt.IsNotNil)
}

// Guards against running a non-idempotent call a second time after its link was lost, and against an outcome of NotRun
// for a call that may have run.
func TestReattachAfterLostLink(t *testing.T) {
	tests := []struct {
		name      string
		later     call.Outcome
		fromOwner bool
		want      call.Outcome
	}{
		{"reattached to the first attempt", call.Answered{Status: 200}, true, call.Answered{Status: 200}},
		{"owner restarted", call.Refused{Kind: errs.OwnerGone}, true, call.Unknown{}},
		{"owner overloaded", call.Refused{Kind: errs.Overloaded}, true, call.Unknown{}},
		{"owner unreachable until the deadline", call.Refused{Kind: errs.PeerUnreachable}, false, call.Unknown{}},
		{"link lost until the deadline", call.Unknown{Kind: errs.PeerLost}, false, call.Unknown{}},
		{"target failed", call.Unknown{Kind: errs.TargetFailed}, true, call.Unknown{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(3)
			id, reply, first := h.submitWrite(t)
			h.result(first, call.Unknown{Kind: errs.PeerLost}, false)
			for range 100 {
				h.clock.now = h.clock.now.Add(300 * time.Millisecond)
				h.handleTimer(retryTimer{id})
				send, ok := h.nextSent().(link.Send)
				if !ok {
					break
				}
				qt.Assert(t, send.Target, qt.Equals, first.Target)
				qt.Assert(t, send.Request.Key, qt.Equals, first.Request.Key)
				h.result(send, test.later, test.fromOwner)
			}
			got := takeOutcome(reply)
			if _, ok := test.want.(call.Unknown); ok {
				_, unknown := got.(call.Unknown)
				qt.Assert(t, unknown, qt.IsTrue, qt.Commentf("%v", got))
				return
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// Guards against an outcome of NotRun for a repeated call with a key if the refusal is not from the owner of the key, and
// against sending a call with a key to another target.
func TestCallWithKey(t *testing.T) {
	key := ledger.NewKey("t1", testIncarnation, 1).String()
	tests := []struct {
		name      string
		result    call.Refused
		fromOwner bool
		want      errs.Kind
	}{
		{"owner unreachable", call.Refused{Kind: errs.PeerUnreachable}, false, errs.OwnerUnreachable},
		{"queue of outgoing calls full", call.Refused{Kind: errs.Busy}, false, errs.OwnerUnreachable},
		{"owner busy", call.Refused{Kind: errs.Busy}, true, errs.Busy},
		{"owner restarted", call.Refused{Kind: errs.OwnerGone}, true, errs.OwnerGone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(3)
			_, reply := h.submit(http.MethodPost, key, "")
			send := h.nextSent().(link.Send)
			qt.Assert(t, send.Target, qt.Equals, ident.Target("t1"))
			h.result(send, test.result, test.fromOwner)
			qt.Assert(t, h.nextSent(), qt.IsNil)
			qt.Assert(t, takeOutcome(reply).(call.Refused).Kind, qt.Equals, test.want)
		})
	}
}

// Guards against retries on the same target, without delay or beyond the allowance.
func TestRetry(t *testing.T) {
	h := newHarness(3)
	id, reply := h.submit(http.MethodGet, "", "")
	first := h.nextSent().(link.Send)
	qt.Assert(t, first.Request.RetryAllowance, qt.Equals, initialAllowance-reservedAllowance)
	h.result(first, call.Refused{Kind: errs.Draining}, true)
	qt.Assert(t, h.nextSent(), qt.IsNil)
	h.handleTimer(retryTimer{id})
	second := h.nextSent().(link.Send)
	qt.Assert(t, second.Target, qt.Not(qt.Equals), first.Target)
	qt.Assert(t, second.Request.RetryAllowance, qt.Equals, 0)
	h.result(second, call.Refused{Kind: errs.Overloaded}, true)
	h.handleTimer(retryTimer{id})
	third := h.nextSent().(link.Send)
	qt.Assert(t, third.Request.RetryAllowance, qt.Equals, 0)
	h.result(third, call.Refused{Kind: errs.Overloaded}, true)
	qt.Assert(t, takeOutcome(reply).(call.Refused).Kind, qt.Equals, errs.Overloaded)
	qt.Assert(t, h.calls, qt.HasLen, 0)
	qt.Assert(t, h.timers.Len(), qt.Equals, 0)

	h.submit(http.MethodGet, "", "unknown context")
	qt.Assert(t, h.nextSent().(link.Send).Request.RetryAllowance, qt.Equals, 0)
}

// Guards against an unknown outcome of a read whose VM failed although other targets are available.
func TestReadRetriedAfterLostVM(t *testing.T) {
	h := newHarness(3)
	id, reply := h.submit(http.MethodGet, "", "")
	first := h.nextSent().(link.Send)
	h.result(first, call.Unknown{Kind: errs.PeerLost}, false)
	h.handleTimer(retryTimer{id})
	second := h.nextSent().(link.Send)
	qt.Assert(t, second.Target, qt.Not(qt.Equals), first.Target)
	h.result(second, call.Answered{Status: http.StatusOK}, true)
	qt.Assert(t, takeOutcome(reply).(call.Answered).Status, qt.Equals, http.StatusOK)
}

// Guards against hedges of writes, on the same target or beyond the budget, and against a losing attempt that is not
// cancelled.
func TestHedge(t *testing.T) {
	h := newHarness(3)
	for range 200 {
		h.submit(http.MethodGet, "", "")
		send := h.nextSent().(link.Send)
		h.clock.now = h.clock.now.Add(time.Millisecond)
		h.result(send, call.Answered{Status: 200}, true)
	}
	id, reply := h.submit(http.MethodGet, "", "")
	first := h.nextSent().(link.Send)
	h.handleTimer(hedgeTimer{id})
	second := h.nextSent().(link.Send)
	qt.Assert(t, second.Target, qt.Not(qt.Equals), first.Target)
	h.handleTimer(hedgeTimer{id})
	qt.Assert(t, h.nextSent(), qt.IsNil)
	h.result(second, call.Answered{Status: 200}, true)
	qt.Assert(t, takeOutcome(reply), qt.DeepEquals, call.Outcome(call.Answered{Status: 200}))
	qt.Assert(t, h.nextSent(), qt.Equals, link.Message(link.Cancel{ID: first.ID}))

	id, _ = h.submit(http.MethodGet, "", "")
	h.nextSent()
	h.handleTimer(hedgeTimer{id})
	h.result(h.nextSent().(link.Send), call.Refused{Kind: errs.Overloaded}, true)
	h.handleTimer(hedgeTimer{id})
	qt.Assert(t, h.nextSent(), qt.IsNil, qt.Commentf("one hedge per call, and no retry while the first attempt runs"))
	h.handleTimer(deadlineTimer{id})

	for h.nextSent() != nil || h.retryPolicy.TakeHedge() {
		continue
	}
	id, _ = h.submit(http.MethodGet, "", "")
	h.nextSent()
	h.handleTimer(hedgeTimer{id})
	qt.Assert(t, h.nextSent(), qt.IsNil, qt.Commentf("no budget"))
	h.handleTimer(deadlineTimer{id})

	_, _ = h.submit(http.MethodPost, ledger.NewKey("t1", testIncarnation, 1).String(), "")
	timers := h.timers.Len()
	qt.Assert(t, timers, qt.Equals, 1, qt.Commentf("a write has a deadline and no hedge"))
}

// Guards against an unbounded number of pending calls.
func TestMaxCalls(t *testing.T) {
	h := newHarness(3, WithMaxCalls(1))
	h.submit(http.MethodGet, "", "")
	_, reply := h.submit(http.MethodGet, "", "")
	qt.Assert(t, takeOutcome(reply).(call.Refused).Kind, qt.Equals, errs.Busy)
}

// Guards against starting calls after a process pause before the release is confirmed or the hold time is over, and
// against ejecting targets because this process was paused.
func TestPause(t *testing.T) {
	for _, end := range []func(h *harness){
		func(h *harness) { h.receive(ReleaseConfirmed{}) },
		func(h *harness) {
			for _, w := range h.timers.PopDue(h.clock.now.Add(maxHoldTime)) {
				h.handleTimer(w)
			}
		},
	} {
		h := newHarness(3)
		var before []call.ID
		for range 30 {
			id, _ := h.submit(http.MethodGet, "", "")
			before = append(before, id)
		}
		for h.nextSent() != nil {
			continue
		}
		h.clock.now = h.clock.now.Add(time.Minute)
		h.receive(ProcessResumed{})
		_, held := h.submit(http.MethodGet, "", "")
		qt.Assert(t, h.nextSent(), qt.IsNil)
		for _, id := range before {
			h.handleTimer(deadlineTimer{id})
			h.nextSent()
		}
		for _, c := range h.status().InUse[0].Candidates {
			qt.Assert(t, c.State, qt.Equals, route.Healthy)
		}
		end(h)
		send, ok := h.nextSent().(link.Send)
		if !ok {
			send = h.nextSent().(link.Send) // The first message was a probe.
		}
		h.result(send, call.Answered{Status: 200}, true)
		qt.Assert(t, takeOutcome(held), qt.IsNotNil)
	}
}

// Guards against an unknown outcome of a call that was never sent, and against an outcome of NotRun for a call that was
// sent.
func TestDeadline(t *testing.T) {
	h := newHarness(3)
	id, reply := h.submit(http.MethodPost, "", "")
	h.handleTimer(deadlineTimer{id})
	qt.Assert(t, takeOutcome(reply).(call.Refused).Kind, qt.Equals, errs.DeadlineExceeded)
	id, reply = h.submit(http.MethodGet, "", "")
	h.handleTimer(deadlineTimer{id})
	qt.Assert(t, takeOutcome(reply).(call.Unknown).Kind, qt.Equals, errs.DeadlineInFlight)
}

// Guards against new calls to targets that are withdrawn, draining or on a failed VM.
func TestUnavailableTargetsGetNoCalls(t *testing.T) {
	for _, test := range []struct {
		name    string
		message Message
	}{
		{"draining", PeerDraining{"vm-t1"}},
		{"down", PeerDown{"vm-t1"}},
		{"withdrawn", ReleaseChanged{testRelease(1)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, tableExists := range []bool{true, false} {
				h := newHarness(2)
				if tableExists {
					h.table("s")
				}
				h.receive(test.message)
				for range 100 {
					h.submit(http.MethodGet, "", "")
					qt.Assert(t, h.nextSent().(link.Send).Target, qt.Equals, ident.Target("t0"))
				}
			}
		})
	}
}
