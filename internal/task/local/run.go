package local

import (
	"fmt"
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/policy/admit"
	"jacinthcross/internal/policy/ledger"
	"strconv"
	"time"
)

// arrive decides on a call: ledger first, so that a resend finds its outcome also
// when the target is withdrawn or the daemon drains.
func (t *Task) arrive(m Run) {
	if t.ledger == nil || m.Target != t.target.Name {
		t.refuse(m, errs.Withdrawn, fmt.Sprintf("target %q is not beside this daemon", m.Target))
		return
	}
	now := t.clock.Now()
	r := &run{Run: m}
	if m.Request.Key != "" {
		if !t.beginKeyed(r) {
			return
		}
	} else if !m.Request.Idempotent {
		t.refuse(m, errs.KeyRequired, "a non-idempotent call needs a key between daemons")
		return
	}
	if kind, ok := t.closed(); ok {
		t.refuseRun(r, kind)
		return
	}
	t.runs[m.ID] = r
	switch d := t.gate.Arrive(admit.Arrival{Call: m.ID, Rank: m.Request.Rank, Deadline: m.Request.Deadline}, now).(type) {
	case admit.Start:
		t.dispatch(r, now)
	case admit.Wait:
		t.advanceGate(now)
	case admit.Refuse:
		t.end(r, call.Refused{Kind: d.Kind, RetryAfter: d.RetryAfter})
	}
}

// beginKeyed asks the ledger, answers the call when it must not run, and reports whether it may run.
func (t *Task) beginKeyed(r *run) bool {
	key, err := ledger.ParseKey(r.Request.Key)
	if err != nil {
		t.refuse(r.Run, errs.KindOf(err), err.Error())
		return false
	}
	switch d := t.ledger.Begin(key, r.Request.Digest()).(type) {
	case ledger.Run:
		r.key, r.keyed = key, true
		return true
	case ledger.Join:
		t.waiters[key] = append(t.waiters[key], waiter{r.ID, r.Reply})
	case ledger.Replay:
		t.reply(r.ID, r.Reply, d.Outcome, 0)
	case ledger.Refuse:
		t.refuse(r.Run, d.Kind, d.Detail)
	}
	return false
}

func (t *Task) closed() (errs.Kind, bool) {
	switch {
	case !t.present:
		return errs.Withdrawn, true
	case t.draining:
		return errs.Draining, true
	}
	return "", false
}

// refuseRun answers a call that was not dispatched and frees its key.
func (t *Task) refuseRun(r *run, kind errs.Kind) {
	t.end(r, call.Refused{Kind: kind, RetryAfter: errs.AnswerTo(kind).RetryAfter})
}

func (t *Task) dispatch(r *run, now time.Time) {
	r.started = now
	r.token = strconv.FormatUint(uint64(r.ID), 36) + "-" + t.self.String()[:8]
	t.tokens[r.token] = r.ID
	t.notify(Context{
		Token: r.token, Deadline: r.Request.Deadline, Rank: r.Request.Rank,
		Depth: r.Request.Depth, Allowance: r.Request.Allowance,
	})
	if n := len(t.idle); n > 0 {
		r.conn = t.idle[n-1]
		t.idle = t.idle[:n-1]
	} else {
		r.conn = newConn(t.engine, t.target.Address, t.inbox, t.maxBody, t.Stopping())
	}
	t.alarms.Set(r.ID, r.Request.Deadline)
	r.conn.jobs.TryPut(job{id: r.ID, request: r.Request, token: r.token})
}

func (t *Task) complete(m completed) {
	r, ok := t.runs[m.id]
	if !ok || r.conn != m.conn {
		return
	}
	now := t.clock.Now()
	t.gate.Done(endOf(m.outcome), now.Sub(r.started), now)
	if m.reusable {
		t.idle = append(t.idle, m.conn)
	} else {
		m.conn.close()
	}
	t.end(r, m.outcome)
	t.advanceGate(now)
}

// expire ends a dispatched call whose deadline has passed. Its connection is closed, so that
// the late answer reaches nobody and the target sees the cancellation.
func (t *Task) expire(id call.ID) {
	t.abandon(id, call.Unknown{Kind: errs.DeadlineInFlight, Detail: "the deadline passed while the target ran the call"})
}

func (t *Task) abandon(id call.ID, o call.Outcome) {
	r, ok := t.runs[id]
	if !ok || r.conn == nil {
		return
	}
	now := t.clock.Now()
	r.conn.close()
	t.gate.Done(admit.Failed, now.Sub(r.started), now)
	t.end(r, o)
	t.advanceGate(now)
}

// cancel ends a call whose caller has gone. A keyed call that was dispatched runs on,
// so that a resend finds its outcome.
func (t *Task) cancel(id call.ID) {
	r, ok := t.runs[id]
	switch {
	case !ok:
		return
	case r.conn == nil:
		t.gate.Forget(id)
		t.refuseRun(r, errs.CallerGone)
	case !r.keyed:
		t.abandon(id, call.Unknown{Kind: errs.CallerGone})
	}
}

// end answers a call and those that joined it, and settles its key.
func (t *Task) end(r *run, o call.Outcome) {
	delete(t.runs, r.ID)
	t.alarms.Clear(r.ID)
	if r.token != "" {
		delete(t.tokens, r.token)
		t.notify(Context{Token: r.token, Closed: true})
	}
	t.reply(r.ID, r.Reply, o, r.retries)
	if r.keyed {
		if _, notRun := o.(call.Refused); notRun {
			t.ledger.Release(r.key)
		} else {
			t.ledger.Finish(r.key, o)
		}
		for _, w := range t.waiters[r.key] {
			t.reply(w.id, w.reply, o, 0)
		}
		delete(t.waiters, r.key)
	}
	t.checkEmpty()
}

func (t *Task) advanceGate(now time.Time) {
	for _, s := range t.gate.Steps(now) {
		switch s := s.(type) {
		case admit.Dispatch:
			if r, ok := t.runs[s.Call]; ok {
				t.dispatch(r, now)
			}
		case admit.Drop:
			if r, ok := t.runs[s.Call]; ok {
				t.end(r, call.Refused{Kind: s.Kind, RetryAfter: s.RetryAfter})
			}
		}
	}
	t.armGate()
}

func (t *Task) armGate() {
	if at, ok := t.gate.Next(); ok {
		t.alarms.Set(gateAlarm{}, at)
		return
	}
	t.alarms.Clear(gateAlarm{})
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
