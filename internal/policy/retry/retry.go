// Package retry decides whether a call is tried again.
package retry

import (
	"net/netip"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
)

// A Decision is what to do after an attempt: Stop, Again or Reattach.
type Decision interface{ decision() }

// Stop says that no other attempt follows.
type Stop struct{}

// Again says that another attempt follows after a delay.
type Again struct {
	After  time.Duration
	Reason Reason
}

// Reattach says that the same key goes to the same daemon process again after a delay. The ledger
// there joins it to the first send, so that this is not a second run.
type Reattach struct{ After time.Duration }

func (Stop) decision()     {}
func (Again) decision()    {}
func (Reattach) decision() {}

// A Reason is why a call is tried again.
type Reason string

// The reasons.
const (
	// ProvedNotRun is the reason after a refusal.
	ProvedNotRun Reason = "ProvedNotRun"
	// IdempotentUnknown is the reason after an unknown outcome of an idempotent call.
	IdempotentUnknown Reason = "IdempotentUnknown"
	// LinkLost is the reason of a reattachment.
	LinkLost Reason = "LinkLost"
)

// An Attempt is what is known of a call when one of its attempts has ended.
type Attempt struct {
	Caller     netip.Addr
	Service    ident.Service
	Outcome    call.Outcome
	Idempotent bool
	// Bound is true when the key of the call names one owner, so that no other target may run it.
	Bound bool
	// Keyed is true when the attempt carried a key, by which the daemon beside the target joins it to a resend.
	Keyed bool
	// Uncertain is true when an earlier attempt may have run.
	Uncertain bool
	// Untried is true when a target is left that has not refused the call.
	Untried bool
	// Retries and Reattachments are those made so far.
	Retries       int
	Reattachments int
	Allowance     int
	Deadline      time.Time
}

// Decide returns what follows an attempt, and pays for a retry out of the budgets.
func (p *Policy) Decide(a Attempt, now time.Time) Decision {
	switch o := a.Outcome.(type) {
	case call.Refused:
		return p.afterRefusal(a, o, now)
	case call.Unknown:
		return p.afterUnknown(a, o, now)
	}
	return Stop{}
}

func (p *Policy) afterRefusal(a Attempt, o call.Refused, now time.Time) Decision {
	if a.Uncertain && !a.Idempotent || a.Uncertain && a.Bound {
		// The refusal proves nothing about the earlier attempt, so only its owner may be asked again.
		if a.Keyed && (o.Kind == errs.PeerUnreachable || o.Kind == errs.Busy) {
			return p.reattach(a, now)
		}
		return Stop{}
	}
	if a.Bound || !retryable(o.Kind) || o.Kind == errs.Quarantined && !a.Untried {
		return Stop{}
	}
	delay := p.delay(firstDelay, longestDelay, a.Retries)
	// Retry-After is the word of one target, so that it delays only a retry that may go to that target.
	if !a.Untried && o.RetryAfter > delay {
		delay = o.RetryAfter + p.delay(firstDelay, longestDelay, a.Retries)
	}
	if o.Kind == errs.PeerUnreachable || o.Kind == errs.Quarantined {
		// No target was asked, so the retry adds no load to one and costs only the allowance.
		return unpaid(a, delay, ProvedNotRun, now)
	}
	return p.again(a, delay, ProvedNotRun, now)
}

func unpaid(a Attempt, delay time.Duration, reason Reason, now time.Time) Decision {
	if a.Allowance < 1 || !a.Deadline.After(now.Add(delay)) {
		return Stop{}
	}
	return Again{After: delay, Reason: reason}
}

func (p *Policy) afterUnknown(a Attempt, o call.Unknown, now time.Time) Decision {
	switch {
	case o.Kind == errs.DeadlineInFlight || o.Kind == errs.CallerGone:
		return Stop{}
	case o.Kind == errs.PeerLost && a.Keyed && (!a.Idempotent || a.Bound):
		return p.reattach(a, now)
	case !a.Idempotent || a.Bound || o.Kind == errs.AnswerTooLarge:
		return Stop{}
	}
	return p.again(a, p.delay(firstDelay, longestDelay, a.Retries), IdempotentUnknown, now)
}

func (p *Policy) reattach(a Attempt, now time.Time) Decision {
	delay := p.delay(firstReattach, longestReattach, a.Reattachments)
	if !a.Deadline.After(now.Add(delay)) {
		return Stop{}
	}
	return Reattach{After: delay}
}

func (p *Policy) again(a Attempt, delay time.Duration, reason Reason, now time.Time) Decision {
	d := unpaid(a, delay, reason, now)
	if _, ok := d.(Again); ok && !p.take(a, now) {
		return Stop{}
	}
	return d
}

// retryable reports whether another target may accept what one refused. An owner that has gone or an
// expired epoch concerns only the internal key of the attempt: the next one gets a new key. A request that one
// target refuses since it crashed there may complete on the others; these refuse it too when it may crash them.
func retryable(kind errs.Kind) bool {
	switch kind {
	case errs.Busy, errs.Overloaded, errs.QueueTimeout, errs.TargetShed, errs.TargetDown, errs.TargetReplaced, errs.TargetSlow,
		errs.PeerUnreachable, errs.Draining, errs.Withdrawn, errs.Unconfirmed, errs.LedgerFull,
		errs.OwnerGone, errs.KeyExpired, errs.Quarantined:
		return true
	}
	return false
}

// Settle returns the outcome of a call whose last attempt ended with o. When an earlier attempt may
// have run, the refusal of a later one does not prove that the call was not run.
func Settle(o call.Outcome, earlier *call.Unknown) call.Outcome {
	if r, ok := o.(call.Refused); ok && earlier != nil {
		return call.Unknown{Kind: earlier.Kind, Detail: earlier.Detail + "; then refused: " + string(r.Kind)}
	}
	return o
}
