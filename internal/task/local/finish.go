package local

import (
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/policy/admit"
)

func (t *Task) reply(id call.ID, to *mail.Box[call.Result], o call.Outcome, retries int) {
	to.Put(call.Result{Attempt: id, Outcome: o, Load: t.load(), RetriesUsed: retries}, t.Stopping())
}

// refuseUnregistered refuses a call that has no entry in calls yet, with the default retry delay of the error kind.
func (t *Task) refuseUnregistered(m Run, kind errs.Kind, detail string) {
	t.reply(m.ID, m.Reply, call.Refused{Kind: kind, RetryAfter: errs.ResponseFor(kind).RetryAfter, Detail: detail}, 0)
}

// refuse refuses a call that was not sent to the target, with the default retry delay of the error kind. Since
// nothing ran, a later send with the same key may run.
func (t *Task) refuse(r *activeCall, kind errs.Kind) {
	t.refuseWithOutcome(r, call.Refused{Kind: kind, RetryAfter: errs.ResponseFor(kind).RetryAfter})
}

// refuseWithOutcome refuses a call that was not sent to the target with a given outcome, and logs the values on which
// the decision is based.
func (t *Task) refuseWithOutcome(r *activeCall, o call.Refused) {
	now := t.clock.Now()
	var queued, running, limit int
	var slowness float64
	var measured time.Duration
	if r.gate != nil {
		queued, running, limit = r.gate.Queued(), r.gate.InFlight(), r.gate.Limit()
		var at time.Time
		if slowness, at = r.gate.Slowness(); !at.IsZero() {
			measured = now.Sub(at)
		}
	}
	event.CallRefused.Log("request", r.Request.ID, "target", r.Target, "reason", o.Kind, "waited", now.Sub(r.arrivedAt),
		"left", r.Request.Deadline.Sub(now), "retryAfter", o.RetryAfter, "queued", queued, "running", running, "limit", limit,
		"slowness", slowness, "measured", measured, "elsewhere", r.Request.MinOtherSlowness)
	t.finish(r, o)
}

// finish sends the outcome of a call to the task that requested it and to the resends that joined it, and records it in
// the ledger.
func (t *Task) finish(r *activeCall, o call.Outcome) {
	delete(t.calls, r.ID)
	t.timers.Remove(r.ID)
	if r.token != "" {
		delete(t.callsByToken, r.token)
		t.onContext(CallContext{Token: r.token, Ended: true})
	}
	r.Reply.Put(call.Result{
		Attempt: r.ID, Outcome: o, Load: t.load(), RetriesUsed: r.retries, Sent: r.conn != nil && !neverSent(o),
	}, t.Stopping())
	if r.ledger != nil {
		r.ledger.Finish(r.key, o)
		for _, j := range t.joinedCalls[r.key] {
			t.reply(j.id, j.reply, o, 0)
			delete(t.joinedKeys, j.id)
		}
		delete(t.joinedCalls, r.key)
	}
	if r.conn != nil && len(t.isolated) > 0 {
		// Those that still have to wait are isolated again.
		t.admitWaiting(t.takeIsolated(), t.clock.Now())
	}
	t.checkDrained()
}

// neverSent reports whether a dispatched call was not sent because no connection could be opened.
func neverSent(o call.Outcome) bool {
	r, ok := o.(call.Refused)
	return ok && r.Kind == errs.TargetDown
}

// refuseQueued refuses all queued, held and isolated calls.
func (t *Task) refuseQueued(kind errs.Kind) {
	t.refuseHeld(kind)
	t.refuseIsolated(kind)
	if t.gate != nil {
		now := t.clock.Now()
		t.applyActions(t.gate.Flush(kind, now), now)
	}
}

// advanceGate carries out the actions that the admission gate requests, and sets the timer for the next ones.
func (t *Task) advanceGate(now time.Time) {
	// This is repeated because the task may refuse a call that the gate dispatches, which frees the slot for the next
	// call. The loop ends, since Actions requests a measurement only once.
	for actions := t.gate.Actions(now); len(actions) > 0; actions = t.gate.Actions(now) {
		t.applyActions(actions, now)
	}
	if at, ok := t.gate.NextActionAt(now); ok {
		t.timers.Set(gateTimer{}, at)
		return
	}
	t.timers.Remove(gateTimer{})
}

func (t *Task) applyActions(actions []admit.Action, now time.Time) {
	for _, a := range actions {
		switch a := a.(type) {
		case admit.Dispatch:
			if r, ok := t.calls[a.Call]; ok {
				t.dispatch(r, now)
			}
		case admit.Drop:
			if r, ok := t.calls[a.Call]; ok {
				t.refuseWithOutcome(r, call.Refused{Kind: a.Kind, RetryAfter: a.RetryAfter})
			}
		case admit.Measure:
			t.measure()
		}
	}
}

// gateResult converts the outcome of a call to the gate's classification.
func gateResult(o call.Outcome) admit.Result {
	switch o := o.(type) {
	case call.Answered:
		return admit.Completed
	case call.Refused:
		if o.Kind == errs.TargetShed {
			return admit.Shed
		}
	case call.Unknown:
	}
	return admit.Failed
}

// dialError returns the reason why a connection could not be opened.
func dialError(o call.Outcome) error {
	if r, ok := o.(call.Refused); ok {
		return errors.New(r.Detail)
	}
	return nil
}
