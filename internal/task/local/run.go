package local

import (
	"slices"
	"strconv"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/policy/admit"
	"jacinthcross/internal/policy/ledger"
)

// maxDigested is the longest body of a request whose completion is remembered although no target has crashed, in bytes.
// The digest of a longer one takes more than some 50 us.
const maxDigested = 64 << 10

// A run is a call that is queued, or dispatched when it has a conn. It keeps the gate and the
// ledger that admitted it, since a release can put another target in their place.
type run struct {
	Run
	gate    *admit.Gate
	arrived time.Time
	ledger  *ledger.Ledger // nil for a call without a key
	key     ledger.Key
	sum     ident.Digest
	conn    *conn
	started time.Time
	token   string
	retries int
	// slowness and among are those of the target when the call was dispatched.
	slowness float64
	among    int
}

func (r *run) ran(now time.Time) admit.Run {
	return admit.Run{Kind: r.Request.Route, Took: now.Sub(r.started), Slowness: r.slowness, InFlight: r.among}
}

type waiter struct {
	id    call.ID
	reply *mail.Box[call.Result]
}

// digest returns the digest of the request. It is computed once and only when needed, since it reads the body.
func (r *run) digest() ident.Digest {
	if r.sum == (ident.Digest{}) {
		r.sum = r.Request.Digest()
	}
	return r.sum
}

// arrive decides on a call: ledger first, so that a resend finds its outcome also
// when the target is withdrawn or the daemon drains.
func (t *Task) arrive(m Run) {
	if t.ledger == nil || m.Target != t.target.Name {
		t.refuseAbsent(m)
		return
	}
	now := t.clock.Now()
	r := &run{Run: m, gate: t.gate, arrived: now}
	if m.Request.Key != "" {
		if !t.beginKeyed(r) {
			return
		}
	} else if !m.Request.Idempotent && !t.keyless {
		t.refuse(m, errs.KeyRequired, "a non-idempotent call needs a key between daemons")
		return
	}
	if kind, ok := t.closed(r, now); ok {
		t.refuseRun(r, kind)
		return
	}
	t.runs[m.ID] = r
	if !t.confirmed && r.ledger != nil {
		t.hold(r)
		return
	}
	t.admit(r, now)
}

// admit asks the gate for a slot of the target.
func (t *Task) admit(r *run, now time.Time) {
	q := &r.Request
	switch d := r.gate.Arrive(admit.Arrival{
		Call: r.ID, Rank: q.Rank, Deadline: q.Deadline, Kind: q.Route, Usual: q.Usual, Elsewhere: q.Elsewhere, Aim: q.Aim, HoldUntil: q.HoldUntil, Returned: q.Returned, Final: q.Final,
	}, now).(type) {
	case admit.Start:
		t.dispatch(r, now)
	case admit.Wait:
		if r.gate.InFlight() >= r.gate.Limit() {
			event.CallQueued.Log("request", r.Request.ID, "rank", r.Request.Rank, "queued", r.gate.Queued(), "running", r.gate.InFlight(), "limit", r.gate.Limit())
		}
		t.advanceGate(now)
	case admit.Refuse:
		t.turnAway(r, call.Refused{Kind: d.Kind, RetryAfter: d.RetryAfter})
	}
}

// refuseAbsent refuses a call for a target that is not beside this daemon. An earlier send of a key
// may have run while it was, and the ledger of that time has gone.
func (t *Task) refuseAbsent(m Run) {
	if m.Request.Key != "" {
		t.refuse(m, errs.OwnerGone, "the daemon that owned the key has restarted or has another target")
		return
	}
	t.refuse(m, errs.Withdrawn, "target "+strconv.Quote(string(m.Target))+" is not beside this daemon")
}

// beginKeyed asks the ledger, answers the call when it must not run, and reports whether it may run.
func (t *Task) beginKeyed(r *run) bool {
	key, err := ledger.ParseKey(r.Request.Key)
	if err != nil {
		t.refuse(r.Run, errs.KindOf(err), err.Error())
		return false
	}
	switch d := t.ledger.Begin(key, r.digest()).(type) {
	case ledger.Run:
		r.key, r.ledger = key, t.ledger
		return true
	case ledger.Join:
		t.waiters[key] = append(t.waiters[key], waiter{r.ID, r.Reply})
		t.joined[r.ID] = key
	case ledger.Replay:
		t.reply(r.ID, r.Reply, d.Outcome, 0)
	case ledger.Refuse:
		t.refuse(r.Run, d.Kind, d.Detail)
	}
	return false
}

// closed returns why no new call is taken, if so.
func (t *Task) closed(r *run, now time.Time) (errs.Kind, bool) {
	switch {
	case !t.present:
		return errs.Withdrawn, true
	case t.draining, t.target.Draining:
		return errs.Draining, true
	case t.down:
		return errs.TargetDown, true
	case t.replaced:
		return errs.TargetReplaced, true
	case t.crashes.Active(now) && t.crashes.Quarantined(r.digest(), now):
		return errs.Quarantined, true
	}
	return "", false
}

// dispatch sends a call to the target, unless something has changed while it waited.
func (t *Task) dispatch(r *run, now time.Time) {
	if kind, ok := t.closed(r, now); ok || !r.Request.Deadline.After(now) {
		if !ok {
			kind = errs.DeadlineExceeded
		}
		r.gate.Done(admit.Failed, admit.Run{}, now)
		t.refuseRun(r, kind)
		return
	}
	r.started, r.among = now, r.gate.InFlight()
	if slowness, at := r.gate.Slowness(); now.Sub(at) <= reportSlowness {
		r.slowness = slowness
	}
	r.token = strconv.FormatUint(uint64(r.ID), 36) + "-" + t.self.String()[:8]
	t.tokens[r.token] = r.ID
	t.notify(Context{
		Token: r.token, Deadline: r.Request.Deadline, Rank: r.Request.Rank,
		Depth: r.Request.Depth, Allowance: r.Request.Allowance,
	})
	t.alarms.Set(r.ID, r.Request.Deadline)
	event.CallDispatched.Log("request", r.Request.ID, "target", r.Target, "waited", now.Sub(r.arrived),
		"running", r.gate.InFlight(), "limit", r.gate.Limit(), "queued", r.gate.Queued(), "slowness", r.slowness, "left", r.Request.Deadline.Sub(now))
	t.send(r, t.take(r.Request.Idempotent, now))
}

func (t *Task) send(r *run, c *conn) {
	r.conn = c
	c.jobs.TryPut(job{id: r.ID, target: r.Target, request: r.Request, token: r.token})
}

// complete takes the end of a call. What comes from a connection that no longer carries the call is dropped.
func (t *Task) complete(m completed) {
	r, ok := t.runs[m.id]
	if !ok || r.conn != m.conn {
		return
	}
	now := t.clock.Now()
	if m.unsent {
		t.drop(m.conn)
		t.send(r, t.newConn())
		return
	}
	if m.broken {
		t.suspect(m.conn)
	}
	if _, answered := m.outcome.(call.Answered); answered && (t.crashes.Active(now) || len(r.Request.Body) <= maxDigested) {
		t.crashes.Completed(r.digest(), now)
	}
	r.gate.Done(endOf(m.outcome), r.ran(now), now)
	if m.loaded && m.conn.target == t.target.Address {
		t.gate.Sense(m.load.Slowness, now)
	}
	event.CallEnded.Log("request", r.Request.ID, "target", r.Target, "ran", now.Sub(r.started), "outcome", call.Label(m.outcome),
		"targetRunning", m.load.Running, "targetWaiting", m.load.Waiting, "slowness", m.load.Slowness, "startSlowness", r.slowness)
	if o, ok := m.outcome.(call.Refused); ok && o.Kind == errs.TargetReplaced && r.Target == t.target.Name {
		// All others would get the same answer until the entry of the new target is known.
		t.replaced = true
		t.flush(errs.TargetReplaced)
	}
	switch {
	case m.reusable:
		t.keep(m.conn, now)
	case m.broken:
		m.conn.close()
	default:
		t.drop(m.conn)
	}
	if m.refused && m.conn.target == t.target.Address && t.present {
		// Before the reply, whose load then says so.
		t.markDown(dialError(m.outcome), now)
	}
	t.end(r, m.outcome)
	t.advanceGate(now)
}

// lose takes an idle connection that the target ended out of use. The end of one that carries a
// call comes with the end of the call.
func (t *Task) lose(c *conn) {
	i := slices.Index(t.idle, c)
	if i < 0 {
		return
	}
	t.suspect(c)
	t.idle = slices.Delete(t.idle, i, i+1)
	c.close()
}

// expire ends a held or dispatched call whose deadline has passed. The connection of a dispatched
// one is closed, so that the late answer reaches nobody and the target sees the cancellation.
func (t *Task) expire(id call.ID) {
	if r, ok := t.runs[id]; ok && r.conn == nil {
		t.refuseRun(r, errs.DeadlineExceeded)
		return
	}
	t.abandon(id, call.Unknown{Kind: errs.DeadlineInFlight, Detail: "the deadline passed while the target ran the call"})
}

func (t *Task) abandon(id call.ID, o call.Outcome) {
	r, ok := t.runs[id]
	if !ok || r.conn == nil {
		return
	}
	now := t.clock.Now()
	t.drop(r.conn)
	r.gate.Done(admit.Failed, r.ran(now), now)
	t.end(r, o)
	t.advanceGate(now)
}

// cancel ends a call whose caller has gone. A keyed call that was dispatched runs on,
// so that a resend finds its outcome.
func (t *Task) cancel(id call.ID) {
	if key, ok := t.joined[id]; ok {
		t.leave(id, key)
		return
	}
	r, ok := t.runs[id]
	switch {
	case !ok:
		return
	case r.conn == nil && len(t.waiters[r.key]) > 0:
		// A resend of the key still waits for it.
	case r.conn == nil:
		r.gate.Forget(id)
		t.refuseRun(r, errs.CallerGone)
	case r.ledger == nil:
		t.abandon(id, call.Unknown{Kind: errs.CallerGone})
	}
}

// leave takes out a resend that waits for a running call.
func (t *Task) leave(id call.ID, key ledger.Key) {
	delete(t.joined, id)
	t.waiters[key] = slices.DeleteFunc(t.waiters[key], func(w waiter) bool { return w.id == id })
	t.ledger.Leave(key)
}
