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
	t.reply(m.ID, m.Reply, call.Refused{Kind: kind, RetryAfter: errs.AnswerTo(kind).RetryAfter, Detail: detail}, 0)
}

// refuseRun answers a call that was not dispatched and frees its key.
func (t *Task) refuseRun(r *run, kind errs.Kind) {
	t.turnAway(r, call.Refused{Kind: kind, RetryAfter: errs.AnswerTo(kind).RetryAfter})
}

// turnAway answers a call that was not dispatched with a refusal, and logs what that was decided from.
func (t *Task) turnAway(r *run, o call.Refused) {
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
	event.CallRefused.Log("request", r.Request.ID, "target", r.Target, "reason", o.Kind, "waited", now.Sub(r.arrived),
		"left", r.Request.Deadline.Sub(now), "retryAfter", o.RetryAfter, "queued", queued, "running", running, "limit", limit,
		"slowness", slowness, "measured", measured, "elsewhere", r.Request.Elsewhere)
	t.end(r, o)
}

// end answers a call and those that joined it, and settles its key.
func (t *Task) end(r *run, o call.Outcome) {
	delete(t.runs, r.ID)
	t.alarms.Clear(r.ID)
	if r.token != "" {
		delete(t.tokens, r.token)
		t.notify(Context{Token: r.token, Closed: true})
	}
	r.Reply.Put(call.Result{
		Attempt: r.ID, Outcome: o, Load: t.load(), RetriesUsed: r.retries, Sent: r.conn != nil && !neverSent(o),
	}, t.Stopping())
	if r.ledger != nil {
		r.ledger.Finish(r.key, o)
		for _, w := range t.waiters[r.key] {
			t.reply(w.id, w.reply, o, 0)
			delete(t.joined, w.id)
		}
		delete(t.waiters, r.key)
	}
	t.checkEmpty()
}

// neverSent reports whether the outcome of a dispatched call shows that no connection could be opened for it.
func neverSent(o call.Outcome) bool {
	r, ok := o.(call.Refused)
	return ok && r.Kind == errs.TargetDown
}

// flush answers all queued and held calls as not run.
func (t *Task) flush(kind errs.Kind) {
	t.refuseHeld(kind)
	if t.gate != nil {
		now := t.clock.Now()
		t.step(t.gate.Flush(kind, now), now)
	}
}

func (t *Task) advanceGate(now time.Time) {
	// A step that the task refuses leaves room for the next. A measurement is asked for once.
	for steps := t.gate.Steps(now); len(steps) > 0; steps = t.gate.Steps(now) {
		t.step(steps, now)
	}
	if at, ok := t.gate.Next(now); ok {
		t.alarms.Set(gateAlarm{}, at)
		return
	}
	t.alarms.Clear(gateAlarm{})
}

func (t *Task) step(steps []admit.Step, now time.Time) {
	for _, s := range steps {
		switch s := s.(type) {
		case admit.Dispatch:
			if r, ok := t.runs[s.Call]; ok {
				t.dispatch(r, now)
			}
		case admit.Drop:
			if r, ok := t.runs[s.Call]; ok {
				t.turnAway(r, call.Refused{Kind: s.Kind, RetryAfter: s.RetryAfter})
			}
		case admit.Measure:
			t.measure()
		}
	}
}

// endOf returns what the end of a call tells of the target's load.
func endOf(o call.Outcome) admit.End {
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

// dialError returns why a connection could not be opened.
func dialError(o call.Outcome) error {
	if r, ok := o.(call.Refused); ok {
		return errors.New(r.Detail)
	}
	return nil
}
