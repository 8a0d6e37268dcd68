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

// maxDigestedBody is the size in bytes of the largest body of a request whose completion is always recorded. The
// completion of a request with a larger body is recorded only while a crash is known, since computing the digest of the
// body takes more than about 50 us.
const maxDigestedBody = 64 << 10

// An activeCall is a call that is queued or held, or dispatched if it has a conn. It keeps the gate and the ledger that
// admitted it, since a new release can replace the gate and the ledger of the task.
type activeCall struct {
	Run
	gate         *admit.Gate
	arrivedAt    time.Time
	ledger       *ledger.Ledger // nil for a call without a key
	key          ledger.Key
	cachedDigest ident.Digest
	conn         *conn
	dispatchedAt time.Time
	token        string // see CallContext.Token
	retries      int
	// slowness and inFlight are the values of the target when the call was dispatched.
	slowness float64
	inFlight int
	// suspect is true if the request was suspected of crashing targets when the call was dispatched.
	suspect bool
	// awaitsBody is true while the call holds a slot until its body arrives, and hadRoom after the body has arrived.
	awaitsBody bool
	hadRoom    bool
}

func (r *activeCall) finishedCall(now time.Time) admit.FinishedCall {
	return admit.FinishedCall{Route: r.Request.Route, Duration: now.Sub(r.dispatchedAt), Slowness: r.slowness, InFlight: r.inFlight}
}

// A joinedCall is a resend that waits for the outcome of an earlier call with the same key, which may not have been
// dispatched yet.
type joinedCall struct {
	id    call.ID
	reply *mail.Box[call.Result]
}

// digest returns the digest of the request. It is computed only on first use, since it reads the whole body.
func (r *activeCall) digest() ident.Digest {
	if r.cachedDigest == (ident.Digest{}) {
		r.cachedDigest = r.Request.Digest()
	}
	return r.cachedDigest
}

// handleRun decides on a new call. The ledger comes first, so that a resend gets its outcome even if the target is
// withdrawn or the daemon is draining.
func (t *Task) handleRun(m Run) {
	if t.ledger == nil || m.Target != t.target.Name {
		t.refuseOtherTarget(m)
		return
	}
	now := t.clock.Now()
	r := &activeCall{Run: m, gate: t.gate, arrivedAt: now}
	if m.Pending != nil {
		r.cachedDigest = m.Pending.Digest
	}
	if m.Request.Key != "" {
		if !t.beginKey(r) {
			return
		}
	} else if !m.Request.Idempotent && !t.allowKeyless {
		t.refuseUnregistered(m, errs.KeyRequired, "non-idempotent calls between daemons require a key")
		return
	}
	if kind, refused := t.refusalReason(r, now); refused {
		t.refuse(r, kind)
		return
	}
	t.calls[m.ID] = r
	if !t.releaseConfirmed && r.ledger != nil {
		t.hold(r)
		return
	}
	t.admit(r, now)
}

// admit asks the gate to admit a call.
func (t *Task) admit(r *activeCall, now time.Time) {
	q := &r.Request
	t.checkColdState(now)
	switch d := r.gate.Admit(admit.Arrival{
		Call: r.ID, Rank: q.Rank, Deadline: q.Deadline, Route: q.Route, UsualLatency: q.UsualLatency, MinOtherSlowness: q.MinOtherSlowness, SoftDeadline: q.SoftDeadline, HoldUntil: q.HoldUntil, RetriedByCaller: q.RetriedByCaller, CallerCannotRetry: q.CallerCannotRetry,
	}, now).(type) {
	case admit.Start:
		t.dispatch(r, now)
	case admit.Wait:
		if r.gate.InFlight() >= r.gate.Limit() {
			event.CallQueued.Log("request", r.Request.ID, "rank", r.Request.Rank, "queued", r.gate.Queued(), "running", r.gate.InFlight(), "limit", r.gate.Limit())
		}
		t.advanceGate(now)
	case admit.Refuse:
		t.refuseWithOutcome(r, call.Refused{Kind: d.Kind, RetryAfter: d.RetryAfter})
	}
}

// refuseOtherTarget refuses a call for a target that is not the daemon's own. If the daemon served that target before, an
// earlier send of the call with the same key may have run there, but the ledger that recorded it was discarded with the
// target.
func (t *Task) refuseOtherTarget(m Run) {
	if m.Request.Key != "" {
		t.refuseUnregistered(m, errs.OwnerGone, "the daemon that received the call has no record of its key: the daemon has restarted or has another target")
		return
	}
	t.refuseUnregistered(m, errs.Withdrawn, "target "+strconv.Quote(string(m.Target))+" is not served by this daemon")
}

// beginKey passes the key of a call to Ledger.Begin and reports whether the call may run. If not, it answers the call or
// joins it to the earlier call with that key.
func (t *Task) beginKey(r *activeCall) bool {
	key, err := ledger.ParseKey(r.Request.Key)
	if err != nil {
		t.refuseUnregistered(r.Run, errs.KindOf(err), err.Error())
		return false
	}
	switch d := t.ledger.Begin(key, r.digest()).(type) {
	case ledger.Run:
		r.key, r.ledger = key, t.ledger
		return true
	case ledger.Join:
		t.joinedCalls[key] = append(t.joinedCalls[key], joinedCall{r.ID, r.Reply})
		t.joinedKeys[r.ID] = key
	case ledger.Replay:
		t.reply(r.ID, r.Reply, d.Outcome, 0)
	case ledger.Refuse:
		t.refuseUnregistered(r.Run, d.Kind, d.Detail)
	}
	return false
}

// refusalReason returns why a call may not run, or false if it may run.
func (t *Task) refusalReason(r *activeCall, now time.Time) (errs.Kind, bool) {
	switch {
	case !t.hasTarget:
		return errs.Withdrawn, true
	case (t.draining || t.target.Draining) && !r.hadRoom:
		return errs.Draining, true
	case t.isEvacuated():
		return errs.DataCentreEvacuated, true
	case now.Before(t.refuseUntil):
		return errs.Busy, true
	case t.down:
		return errs.TargetDown, true
	case t.replaced:
		return errs.TargetReplaced, true
	case !r.hasDigest():
		// The evidence against the request is checked when its body is there.
		return "", false
	case t.mayCrash(now) && t.isQuarantined(r.digest(), now):
		return errs.Quarantined, true
	case !t.mayTry(r, now):
		return errs.Busy, true
	}
	return "", false
}

// dispatch sends a call to the target. It refuses the call if, while the call was queued, its deadline has passed or a
// reason to refuse it has arisen.
func (t *Task) dispatch(r *activeCall, now time.Time) {
	if kind, refused := t.refusalReason(r, now); refused || !r.Request.Deadline.After(now) {
		if !refused {
			kind = errs.DeadlineExceeded
		}
		t.coldLimit.WithdrawSend()
		r.gate.Done(admit.Failed, admit.FinishedCall{}, now)
		t.refuse(r, kind)
		return
	}
	if r.Pending != nil {
		t.requestBody(r, now)
		return
	}
	r.suspect = t.isSuspect(r, now)
	if r.suspect && t.runsSuspect(now) {
		t.coldLimit.WithdrawSend()
		r.gate.Done(admit.Failed, admit.FinishedCall{}, now)
		t.isolate(r, now)
		return
	}
	r.dispatchedAt, r.inFlight = now, r.gate.InFlight()
	if slowness, at := r.gate.Slowness(); now.Sub(at) <= maxSlownessAge {
		r.slowness = slowness
	}
	r.token = strconv.FormatUint(uint64(r.ID), 36) + "-" + t.incarnation.String()[:8]
	t.callsByToken[r.token] = r.ID
	t.onContext(CallContext{
		Token: r.token, Deadline: r.Request.Deadline, Rank: r.Request.Rank,
		Depth: r.Request.Depth, RetryAllowance: r.Request.RetryAllowance,
	})
	t.timers.Set(r.ID, r.Request.Deadline)
	event.CallDispatched.Log("request", r.Request.ID, "target", r.Target, "waited", now.Sub(r.arrivedAt),
		"running", r.gate.InFlight(), "limit", r.gate.Limit(), "queued", r.gate.Queued(), "slowness", r.slowness, "left", r.Request.Deadline.Sub(now))
	t.send(r, t.takeConn(&r.Request, now))
}

func (t *Task) send(r *activeCall, c *conn) {
	r.conn = c
	c.jobs.TryPut(job{id: r.ID, target: r.Target, request: r.Request, token: r.token})
}

// handleResult records the result of a call. It is ignored if the connection no longer carries the call.
func (t *Task) handleResult(m callResult) {
	r, ok := t.calls[m.id]
	if !ok || r.conn != m.conn {
		return
	}
	now := t.clock.Now()
	if m.unsent {
		t.closeConn(m.conn)
		if t.isEvacuated() {
			r.gate.Done(admit.Failed, admit.FinishedCall{}, now)
			r.conn = nil
			t.refuse(r, errs.DataCentreEvacuated)
			t.advanceGate(now)
			return
		}
		t.send(r, t.newConn())
		return
	}
	if m.connLost {
		t.suspectCrash(m.conn)
	}
	if hasCompleted(m.outcome) && (t.mayCrash(now) || len(r.Request.Body) <= maxDigestedBody) {
		t.recordCompletion(r, now)
	}
	r.gate.Done(gateResult(m.outcome), r.finishedCall(now), now)
	if m.hasLoad && m.conn.target == t.target.Address {
		t.gate.RecordSlowness(m.load.Slowness, now)
	}
	event.CallEnded.Log("request", r.Request.ID, "target", r.Target, "ran", now.Sub(r.dispatchedAt), "outcome", call.OutcomeLabel(m.outcome),
		"targetRunning", m.load.Running, "targetWaiting", m.load.Waiting, "slowness", m.load.Slowness, "startSlowness", r.slowness)
	if o, ok := m.outcome.(call.Refused); ok && o.Kind == errs.TargetReplaced && r.Target == t.target.Name {
		// All other calls would be refused in the same way until the release names the new target.
		t.replaced = true
		t.refuseQueued(errs.TargetReplaced)
	}
	if _, refused := m.outcome.(call.Refused); refused {
		m.conn.refusedIDs = append(m.conn.refusedIDs, r.Request.ID)
	}
	switch {
	case m.reusable:
		t.putConn(m.conn, now)
	case m.connLost:
		m.conn.close()
	default:
		t.closeConn(m.conn)
	}
	if m.dialFailed && m.conn.target == t.target.Address && t.hasTarget {
		// This precedes the reply, so that its load reports the target as down.
		t.markDown(dialError(m.outcome), now)
	}
	t.finish(r, m.outcome)
	t.advanceGate(now)
}

// handleConnClosed removes an idle connection that the target closed. If the connection carries a call, the result of
// the call reports the close.
func (t *Task) handleConnClosed(c *conn) {
	i := slices.Index(t.idle, c)
	if i < 0 {
		return
	}
	t.suspectCrash(c)
	t.idle = slices.Delete(t.idle, i, i+1)
	c.close()
	if len(t.idle) == 0 && t.gate.InFlight() == 0 {
		// The target may have been replaced while it ran no call.
		t.coldLimit.Recheck()
	}
}

// handleDeadline ends a held or dispatched call whose deadline has passed, or an isolated call that may not wait any
// longer. For a dispatched call it closes the connection, so that a late response is discarded and the target can detect
// the cancellation.
func (t *Task) handleDeadline(id call.ID) {
	if r, ok := t.calls[id]; ok && r.conn == nil {
		kind := errs.DeadlineExceeded
		if r.Request.Deadline.After(t.clock.Now()) {
			// An isolated call returns to its router, which may find a target that runs no suspect.
			kind = errs.Busy
		}
		if r.awaitsBody {
			t.refuseAwaiting(r, call.Refused{Kind: kind, RetryAfter: errs.ResponseFor(kind).RetryAfter})
			return
		}
		t.refuse(r, kind)
		return
	}
	t.abandonCall(id, call.Unknown{Kind: errs.DeadlineInFlight, Detail: "the deadline passed while the target ran the call"})
}

func (t *Task) abandonCall(id call.ID, o call.Outcome) {
	r, ok := t.calls[id]
	if !ok || r.conn == nil {
		return
	}
	now := t.clock.Now()
	t.closeConn(r.conn)
	t.recordAbandoned(r, now)
	r.gate.Done(admit.Failed, r.finishedCall(now), now)
	t.finish(r, o)
	t.advanceGate(now)
}

// handleCancel ends a call whose caller has gone. A call with a key that was dispatched continues, so that a resend
// gets its outcome.
func (t *Task) handleCancel(id call.ID) {
	if key, ok := t.joinedKeys[id]; ok {
		t.cancelJoined(id, key)
		return
	}
	r, ok := t.calls[id]
	switch {
	case !ok:
		return
	case r.Pending != nil:
		t.cancelPending(r)
	case r.conn == nil && len(t.joinedCalls[r.key]) > 0:
		// A resend of the same key is waiting for the outcome.
	case r.conn == nil:
		r.gate.Cancel(id)
		t.refuse(r, errs.CallerGone)
	case r.ledger == nil:
		t.abandonCall(id, call.Unknown{Kind: errs.CallerGone})
	}
}

// cancelJoined removes a resend that was waiting for the outcome of an earlier call.
func (t *Task) cancelJoined(id call.ID, key ledger.Key) {
	delete(t.joinedKeys, id)
	t.joinedCalls[key] = slices.DeleteFunc(t.joinedCalls[key], func(j joinedCall) bool { return j.id == id })
	t.ledger.CancelJoin(key)
}
