package local

import (
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/policy/admit"
)

// A PendingBody is the body of a call that is still at the sender of the call. It is requested when the call may start,
// so that a refusal costs no more than a small message. The call holds a slot until the body is there.
type PendingBody struct {
	Size int
	// Digest is the digest of the request with its body. It is set for a call with a key.
	Digest ident.Digest
	// Requests receives the ID of the call when the call may start. The answer is a BodyReceived or a BodyFailed.
	Requests *mail.Box[call.ID]
}

// A BodyReceived carries the whole body of a call that was requested.
type BodyReceived struct {
	ID   call.ID
	Body []byte
}

// A BodyFailed reports that the body of a call was requested but will not arrive. Nothing was sent to the target.
type BodyFailed struct {
	ID     call.ID
	Detail string
}

func (BodyReceived) message() {}
func (BodyFailed) message()   {}

// hasDigest reports whether the digest of the request is known before its body.
func (r *activeCall) hasDigest() bool {
	return r.Pending == nil || r.Pending.Digest != (ident.Digest{})
}

// requestBody requests the body of a call that may start.
func (t *Task) requestBody(r *activeCall, now time.Time) {
	if !r.Pending.Requests.TryPut(r.ID) {
		// The stream has not taken the request for an earlier call yet.
		t.coldLimit.WithdrawSend()
		r.gate.Done(admit.Failed, admit.FinishedCall{}, now)
		t.refuse(r, errs.Busy)
		return
	}
	r.awaitsBody = true
	t.timers.Set(r.ID, r.Request.Deadline)
	event.BodyRequested.Log("request", r.Request.ID, "target", r.Target, "bytes", r.Pending.Size, "waited", now.Sub(r.arrivedAt),
		"left", r.Request.Deadline.Sub(now))
}

// handleBodyReceived dispatches a call whose body is there. The call was admitted before, so it runs although the daemon
// or the target drains.
func (t *Task) handleBodyReceived(m BodyReceived) {
	r, ok := t.calls[m.ID]
	if !ok || !r.awaitsBody {
		return
	}
	r.awaitsBody, r.hadRoom = false, true
	r.Request.Body, r.Pending = m.Body, nil
	t.timers.Remove(r.ID)
	now := t.clock.Now()
	if !t.coldLimit.MayStart(now) {
		// The target has become cold, or got other calls, while the body was on its way.
		t.refuseAwaiting(r, call.Refused{Kind: errs.TargetCold, RetryAfter: errs.ResponseFor(errs.TargetCold).RetryAfter})
		return
	}
	// The call was counted when its body was requested, which may be longer ago than the window of the limit.
	t.coldLimit.RecordSend(now)
	t.dispatch(r, now)
	t.advanceGate(now)
}

// handleBodyFailed refuses a call whose body does not arrive. Another target may get it.
func (t *Task) handleBodyFailed(m BodyFailed) {
	r, ok := t.calls[m.ID]
	if !ok || !r.awaitsBody {
		return
	}
	event.BodyFailed.Log("request", r.Request.ID, "target", r.Target, "bytes", r.Pending.Size, "error", m.Detail)
	t.refuseAwaiting(r, call.Refused{Kind: errs.Busy, RetryAfter: errs.ResponseFor(errs.Busy).RetryAfter, Detail: m.Detail})
}

// cancelPending ends a call whose caller has gone before its body was there. A resend that waits for its outcome has to
// send the body itself.
func (t *Task) cancelPending(r *activeCall) {
	o := call.Refused{Kind: errs.CallerGone}
	if len(t.joinedCalls[r.key]) > 0 {
		o = call.Refused{Kind: errs.Busy, RetryAfter: errs.ResponseFor(errs.Busy).RetryAfter}
	}
	if r.awaitsBody {
		t.refuseAwaiting(r, o)
		return
	}
	r.gate.Cancel(r.ID)
	t.refuseWithOutcome(r, o)
}

// refuseAwaitingBodies refuses the calls that wait for their bodies. They were admitted to a target that is gone.
func (t *Task) refuseAwaitingBodies(kind errs.Kind) {
	var awaiting []*activeCall
	for _, r := range t.calls {
		if r.awaitsBody {
			awaiting = append(awaiting, r)
		}
	}
	for _, r := range awaiting {
		t.refuseAwaiting(r, call.Refused{Kind: kind, RetryAfter: errs.ResponseFor(kind).RetryAfter})
	}
}

// refuseAwaiting refuses a call that holds a slot while it waits for its body.
func (t *Task) refuseAwaiting(r *activeCall, o call.Refused) {
	now := t.clock.Now()
	r.awaitsBody = false
	r.gate.Done(admit.Failed, admit.FinishedCall{}, now)
	t.refuseWithOutcome(r, o)
	t.advanceGate(now)
}
