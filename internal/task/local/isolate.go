package local

import (
	"time"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/policy/crash"
)

// maxIsolatedCalls limits the calls that wait because the target runs a suspect. Suspects are few and run one after the
// other, so further calls would time out.
const maxIsolatedCalls = 64

// isSuspect reports whether the request of a call is suspected of crashing targets.
func (t *Task) isSuspect(r *activeCall, now time.Time) bool {
	return t.suspects.HasSuspects() && t.suspects.IsSuspect(t.target.Service, r.digest(), now)
}

// mayTry reports whether the target may run a call as far as trials are concerned. A request that needs a trial runs on
// one target of the service only.
func (t *Task) mayTry(r *activeCall, now time.Time) bool {
	if !t.suspects.HasSuspects() || !t.suspects.NeedsTrial(t.target.Service, r.digest(), now) {
		return true
	}
	trial, ok := crash.TrialTarget(r.digest(), t.release.AvailableTargets(t.target.Service))
	return ok && trial.VM == t.vm
}

// runsSuspect reports whether the target runs a call whose request is a suspect. If two suspects ran together, a crash
// would not tell which of them is the cause, and the sound one would be quarantined with it. Several calls of one suspect
// would all reach the target before the crash by the first is known.
func (t *Task) runsSuspect(now time.Time) bool {
	for _, r := range t.calls {
		if r.conn != nil && t.isSuspect(r, now) {
			return true
		}
	}
	return false
}

// isolate holds a call until the target runs no suspect, at most until the time at which the call would be
// redirected to another target.
func (t *Task) isolate(r *activeCall, now time.Time) {
	until := r.Request.Deadline
	if !r.Request.HoldUntil.IsZero() {
		until = r.Request.HoldUntil
	}
	if len(t.isolated) >= maxIsolatedCalls || !until.After(now) {
		t.refuse(r, errs.Busy)
		return
	}
	t.isolated = append(t.isolated, r.ID)
	t.timers.Set(r.ID, until)
}

// refuseIsolated refuses all isolated calls.
func (t *Task) refuseIsolated(kind errs.Kind) {
	for _, r := range t.takeIsolated() {
		t.refuse(r, kind)
	}
}

// takeIsolated removes all isolated calls and returns those that still wait.
func (t *Task) takeIsolated() []*activeCall {
	ids := t.isolated
	t.isolated = nil
	return t.waitingCalls(ids)
}
