// Package retry decides whether a call is tried again.
package retry

import (
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"time"
)

// A Decision is what to do after an attempt: Stop or Again.
type Decision interface{ decision() }

// Stop says that the outcome goes to the caller.
type Stop struct{}

// Again says that another attempt follows after a delay.
type Again struct {
	After  time.Duration
	Reason Reason
}

func (Stop) decision()  {}
func (Again) decision() {}

// A Reason is why a call is tried again.
type Reason string

// The reasons.
const (
	// ProvedNotRun is the reason after a refusal.
	ProvedNotRun Reason = "ProvedNotRun"
	// IdempotentUnknown is the reason after an unknown outcome of an idempotent call.
	IdempotentUnknown Reason = "IdempotentUnknown"
)

// An Attempt is what is known when an attempt has ended.
type Attempt struct {
	Outcome    call.Outcome
	Idempotent bool
	// Bound is true when the key of the call names one owner, so that no other target may run it.
	Bound     bool
	Allowance int
	Deadline  time.Time
}

// Decide returns whether the call is tried again.
func Decide(a Attempt, now time.Time) Decision {
	if a.Allowance < 1 || !a.Deadline.After(now) {
		return Stop{}
	}
	switch o := a.Outcome.(type) {
	case call.Answered:
		return Stop{}
	case call.Refused:
		if a.Bound || !retryable(o.Kind) {
			return Stop{}
		}
		return Again{Reason: ProvedNotRun}
	case call.Unknown:
		if !a.Idempotent || o.Kind == errs.DeadlineInFlight || o.Kind == errs.CallerGone {
			return Stop{}
		}
		return Again{Reason: IdempotentUnknown}
	}
	return Stop{}
}

// retryable reports whether another target may accept what one refused.
func retryable(kind errs.Kind) bool {
	switch kind {
	case errs.Busy, errs.Overloaded, errs.QueueTimeout, errs.TargetShed, errs.TargetDown,
		errs.PeerUnreachable, errs.Draining, errs.Withdrawn, errs.Unconfirmed, errs.LedgerFull:
		return true
	}
	return false
}
