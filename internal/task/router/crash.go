package router

import (
	"slices"
	"time"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/policy/crash"
)

// digest returns the digest of the request. It is computed only on first use, since it reads the whole body.
func (p *pendingCall) digest() ident.Digest {
	if p.cachedDigest == (ident.Digest{}) {
		p.cachedDigest = p.Request.Digest()
	}
	return p.cachedDigest
}

// isQuarantined reports whether the request of a call crashes targets. A call with a key of its caller is left to the
// ledger of the key's owner: it may have run before, and then has an outcome.
func (t *Task) isQuarantined(p *pendingCall, now time.Time) bool {
	return t.suspects.HasSuspects() && p.Request.Key == "" && t.suspects.IsQuarantined(p.Request.Service, p.digest(), now)
}

// needsTrial reports whether a call may be sent only to the trial target of its request (see crash.TrialTarget). A call
// that needs an internal key is sent as usual; the daemons beside the other targets refuse it.
func (t *Task) needsTrial(p *pendingCall, now time.Time) bool {
	return t.suspects.HasSuspects() && p.Request.Key == "" && (t.keyless || p.Request.Idempotent) &&
		t.suspects.NeedsTrial(p.Request.Service, p.digest(), now)
}

// sendTrial sends a call to the trial target of its request, or refuses it if it was sent there before.
func (t *Task) sendTrial(p *pendingCall) {
	target, ok := crash.TrialTarget(p.digest(), t.release.AvailableTargets(p.Request.Service))
	if !ok || slices.Contains(p.tried, target.Name) || slices.Contains(p.refusedBy, target.Name) {
		t.conclude(p, refusal(errs.Busy, "the request was in flight during several crashes and is tried on one target only"))
		return
	}
	// The call may wait there, since no other target may run it.
	p.Request.HoldUntil = time.Time{}
	t.send(p, &attempt{target: target})
}
