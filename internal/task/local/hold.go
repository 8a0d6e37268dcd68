package local

import (
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
)

// maxHeldCalls limits the calls with keys that are held until the release is confirmed. A target can rarely run more
// than this number of calls in the 1.5 s that a confirmation can take, so further calls would time out.
const maxHeldCalls = 64

// hold keeps a call with a key until the release is confirmed. Refusing it would make calls with keys fail whenever a
// daemon starts, although a confirmation takes only milliseconds if peers respond.
func (t *Task) hold(r *activeCall) {
	if len(t.held) >= maxHeldCalls {
		t.refuse(r, errs.Unconfirmed)
		return
	}
	t.held = append(t.held, r.ID)
	t.timers.Set(r.ID, r.Request.Deadline)
}

// admitHeld records that the release is confirmed and admits the held calls in order of arrival.
func (t *Task) admitHeld() {
	t.releaseConfirmed = true
	t.admitWaiting(t.takeHeld(), t.clock.Now())
}

// admitWaiting admits calls that had to wait, in order of arrival, unless there is a reason to refuse them by now.
func (t *Task) admitWaiting(waiting []*activeCall, now time.Time) {
	for _, r := range waiting {
		t.timers.Remove(r.ID)
		if kind, refused := t.refusalReason(r, now); refused {
			t.refuse(r, kind)
			continue
		}
		t.admit(r, now)
	}
}

// refuseHeld refuses all held calls.
func (t *Task) refuseHeld(kind errs.Kind) {
	for _, r := range t.takeHeld() {
		t.refuse(r, kind)
	}
}

// takeHeld removes all held calls and returns those that still wait.
func (t *Task) takeHeld() []*activeCall {
	ids := t.held
	t.held = nil
	return t.waitingCalls(ids)
}

// waitingCalls returns the calls with the given IDs that were not cancelled and whose deadline has not passed.
func (t *Task) waitingCalls(ids []call.ID) []*activeCall {
	var all []*activeCall
	for _, id := range ids {
		if r, ok := t.calls[id]; ok {
			all = append(all, r)
		}
	}
	return all
}
