// Package retry decides whether a call is retried after an attempt, and limits retries and hedges by budgets.
package retry

import (
	"net/netip"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/policy/shed"
)

// A Decision is the action after an attempt: Stop, Withhold, Retry or Reattach.
type Decision interface{ decision() }

// Stop means that no further attempt is made.
type Stop struct{}

// Withhold means that no further attempt is made because the budgets allow none at present.
type Withhold struct{}

// Retry means that the call is retried after a delay.
type Retry struct {
	Delay  time.Duration
	Reason Reason
}

// Reattach means that the request is sent again with the same key to the same daemon process after a delay, to get
// the outcome of the run that may still be in progress. The ledger of that daemon joins it to the original request,
// so the call does not run a second time. Its reason is always LinkLost.
type Reattach struct{ Delay time.Duration }

func (Stop) decision()     {}
func (Withhold) decision() {}
func (Retry) decision()    {}
func (Reattach) decision() {}

// A Reason is the cause of a retry or reattachment.
type Reason string

const (
	// ProvedNotRun means that the attempt was refused before it ran.
	ProvedNotRun Reason = "ProvedNotRun"
	// IdempotentUnknown means that the outcome is unknown, but the call is idempotent.
	IdempotentUnknown Reason = "IdempotentUnknown"
	// LinkLost means that this or an earlier attempt lost its connection to the peer. The request is sent again with
	// the same key (see Reattach).
	LinkLost Reason = "LinkLost"
)

// An Attempt describes a call after one of its attempts has ended.
type Attempt struct {
	Caller     netip.Addr
	Service    ident.Service
	Outcome    call.Outcome
	Idempotent bool
	// OwnerBound is true if the call's key names its owner, the one daemon process through which the call may
	// run, so that no other target may run it.
	OwnerBound bool
	// Keyed is true if the attempt carried a key, by which the daemon beside the target recognizes a resent
	// request.
	Keyed bool
	// MayHaveRun is true if an earlier attempt may have run.
	MayHaveRun bool
	// HasUntriedTarget is true if there is a target at which the call has not been tried yet.
	HasUntriedTarget bool
	// Retries and Reattachments count those made so far.
	Retries       int
	Reattachments int
	// RetryAllowance is the number of retries still allowed on all levels of the chain of calls.
	RetryAllowance int
	Deadline       time.Time
	// Claim is what the call has at stake.
	Claim shed.Claim
}

// Decide returns the action after an attempt. If that is a retry, it deducts the retry from the budgets.
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
	if a.MayHaveRun && !a.Idempotent || a.MayHaveRun && a.OwnerBound {
		// The refusal says nothing about the earlier attempt, so only the daemon that got that attempt may be
		// asked again.
		if a.Keyed && (o.Kind == errs.PeerUnreachable || o.Kind == errs.Busy) {
			return p.reattach(a, now)
		}
		return Stop{}
	}
	if a.OwnerBound || !retryable(o.Kind) || o.Kind == errs.Quarantined && !a.HasUntriedTarget {
		return Stop{}
	}
	delay := p.jitteredBackoff(baseRetryDelay, maxRetryDelay, a.Retries)
	// Retry-After applies to one target, so it delays the retry only if the retry may go to that target.
	if !a.HasUntriedTarget && o.RetryAfter > delay {
		delay = o.RetryAfter + p.jitteredBackoff(baseRetryDelay, maxRetryDelay, a.Retries)
	}
	if o.Kind == errs.PeerUnreachable || o.Kind == errs.Quarantined {
		// The call did not reach a target, so a retry adds no load to targets and only uses up the allowance.
		return retryWithoutBudget(a, delay, ProvedNotRun, now)
	}
	return p.retryWithBudget(a, delay, ProvedNotRun, now)
}

func retryWithoutBudget(a Attempt, delay time.Duration, reason Reason, now time.Time) Decision {
	if a.RetryAllowance < 1 || !a.Deadline.After(now.Add(delay)) {
		return Stop{}
	}
	return Retry{Delay: delay, Reason: reason}
}

func (p *Policy) afterUnknown(a Attempt, o call.Unknown, now time.Time) Decision {
	switch {
	case o.Kind == errs.DeadlineInFlight || o.Kind == errs.CallerGone:
		return Stop{}
	case o.Kind == errs.PeerLost && a.Keyed && (!a.Idempotent || a.OwnerBound):
		return p.reattach(a, now)
	case !a.Idempotent || a.OwnerBound || o.Kind == errs.AnswerTooLarge:
		return Stop{}
	}
	return p.retryWithBudget(a, p.jitteredBackoff(baseRetryDelay, maxRetryDelay, a.Retries), IdempotentUnknown, now)
}

func (p *Policy) reattach(a Attempt, now time.Time) Decision {
	delay := p.jitteredBackoff(baseReattachDelay, maxReattachDelay, a.Reattachments)
	if !a.Deadline.After(now.Add(delay)) {
		return Stop{}
	}
	return Reattach{Delay: delay}
}

func (p *Policy) retryWithBudget(a Attempt, delay time.Duration, reason Reason, now time.Time) Decision {
	d := retryWithoutBudget(a, delay, reason, now)
	if _, ok := d.(Retry); ok && !p.takeRetry(a, now) {
		return Withhold{}
	}
	return d
}

// retryable reports whether another target may accept a call that one target refused. OwnerGone and KeyExpired
// concern only the internal key, which the daemon itself issued for this attempt; the next attempt gets a new key. A
// call whose caller sent a key is OwnerBound and is not retried at all. A request that is quarantined at one target
// because it crashed that target may complete on others; they have their own evidence and refuse it if that suffices.
func retryable(kind errs.Kind) bool {
	switch kind {
	case errs.Busy, errs.Overloaded, errs.QueueTimeout, errs.TargetShed, errs.TargetDown, errs.TargetReplaced, errs.TargetSlow, errs.TargetCold,
		errs.PeerUnreachable, errs.Draining, errs.Withdrawn, errs.Unconfirmed, errs.LedgerFull,
		errs.OwnerGone, errs.KeyExpired, errs.Quarantined:
		return true
	}
	return false
}

// FinalOutcome returns the final outcome of a call whose last attempt ended with o. If an earlier attempt may have
// run, a later refusal does not prove that the call has not run.
func FinalOutcome(o call.Outcome, earlier *call.Unknown) call.Outcome {
	if r, ok := o.(call.Refused); ok && earlier != nil {
		return call.Unknown{Kind: earlier.Kind, Detail: earlier.Detail + "; the retry was refused: " + string(r.Kind)}
	}
	return o
}
