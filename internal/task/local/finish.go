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

func (t *Task) refuse(m Run, kind errs.Kind, detail string) {
	t.reply(m.ID, m.Reply, call.Refused{Kind: kind, RetryAfter: errs.ResponseFor(kind).RetryAfter, Detail: detail}, 0)
}

// refuseRun refuses a call that was not sent to the target, with the default retry delay of the error kind. Its key may
// be used again.
func (t *Task) refuseRun(r *run, kind errs.Kind) {
	t.refuseWith(r, call.Refused{Kind: kind, RetryAfter: errs.ResponseFor(kind).RetryAfter})
}

// refuseWith refuses a call that was not sent to the target, and logs the values on which the decision is based.
func (t *Task) refuseWith(r *run, o call.Refused) {
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

// finish sends the outcome of a call to its caller and to the resends that joined it, and records it in the ledger.
func (t *Task) finish(r *run, o call.Outcome) {
	delete(t.runs, r.ID)
	t.alarms.Remove(r.ID)
	if r.token != "" {
		delete(t.runsByToken, r.token)
		t.onContext(CallContext{Token: r.token, Ended: true})
	}
	r.Reply.Put(call.Result{
		Attempt: r.ID, Outcome: o, Load: t.load(), RetriesUsed: r.retries, Sent: r.conn != nil && !neverSent(o),
	}, t.Stopping())
	if r.ledger != nil {
		r.ledger.Finish(r.key, o)
		for _, w := range t.waiters[r.key] {
			t.reply(w.id, w.reply, o, 0)
			delete(t.joinedKeys, w.id)
		}
		delete(t.waiters, r.key)
	}
	t.checkDrained()
}

// neverSent reports whether a dispatched call was not sent because no connection could be opened.
func neverSent(o call.Outcome) bool {
	r, ok := o.(call.Refused)
	return ok && r.Kind == errs.TargetDown
}

// refuseQueued refuses all queued and held calls.
func (t *Task) refuseQueued(kind errs.Kind) {
	t.refuseHeld(kind)
	if t.gate != nil {
		now := t.clock.Now()
		t.applySteps(t.gate.Flush(kind, now), now)
	}
}

func (t *Task) advanceGate(now time.Time) {
	// If the task refuses a dispatched call, its slot is free for the next one. Steps asks for a measurement only once.
	for steps := t.gate.Actions(now); len(steps) > 0; steps = t.gate.Actions(now) {
		t.applySteps(steps, now)
	}
	if at, ok := t.gate.NextActionAt(now); ok {
		t.alarms.Set(gateAlarm{}, at)
		return
	}
	t.alarms.Remove(gateAlarm{})
}

func (t *Task) applySteps(steps []admit.Action, now time.Time) {
	for _, s := range steps {
		switch s := s.(type) {
		case admit.Dispatch:
			if r, ok := t.runs[s.Call]; ok {
				t.dispatch(r, now)
			}
		case admit.Drop:
			if r, ok := t.runs[s.Call]; ok {
				t.refuseWith(r, call.Refused{Kind: s.Kind, RetryAfter: s.RetryAfter})
			}
		case admit.Measure:
			t.measure()
		}
	}
}

// admitEnd converts the outcome of a call to the gate's classification.
func admitEnd(o call.Outcome) admit.Result {
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
