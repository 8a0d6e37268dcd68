// Package place decides how long a call may be held at a target, when it is redirected to another one, and when the
// caller of a refused call should retry. It also recognizes requests that were refused before.
package place

import (
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
)

const (
	// holdShare limits how long a call is held at a target in the data centre of the daemon, as a fraction of the
	// call's spare time: the time until its soft deadline minus its usual latency. The rest of the spare time is left
	// for another target, which may be slow as well.
	holdShare = 0.35
	// MaxRedirects is how many times a call is redirected before its caller gets the refusal. After that many redirects,
	// the other targets of a larger service are probably overloaded, too, and the caller still has time to retry. A call
	// whose caller cannot retry may instead queue at the target that the routing table picks first.
	MaxRedirects = 6
)

// A Placement describes the placement of a call at a target, for HoldUntil.
type Placement struct {
	// SoftDeadline is the soft deadline of the call, or zero if it has none.
	SoftDeadline time.Time
	// UsualLatency is the usual latency of calls of the route, or 0 if unknown.
	UsualLatency time.Duration
	// SameDataCentre means that the target and the daemon are in the same data centre.
	SameDataCentre bool
	// MayQueue means that the call may queue at the target without being redirected, because no target could start it at
	// once or because it has been redirected MaxRedirects times.
	MayQueue bool
}

// HoldUntil returns the time until which a call may wait at a target before the target's daemon refuses it and it is
// redirected. If MayQueue is set, it returns the zero time, which means that the call is not redirected. A call
// with a soft deadline may wait for a short time at a target in the daemon's data centre, because redirecting it would
// take longer. Otherwise the result is now.
func HoldUntil(p Placement, now time.Time) time.Time {
	if p.MayQueue {
		return time.Time{}
	}
	if !p.SameDataCentre || p.SoftDeadline.IsZero() {
		return now
	}
	spare := p.SoftDeadline.Sub(now) - p.UsualLatency
	return now.Add(max(0, time.Duration(holdShare*float64(spare))))
}

// minRetryTimeFactor is how many times the route's timeout a caller must allow to have time for a retry.
const minRetryTimeFactor = 1.1

// CallerCannotRetry reports whether the caller of a call has no time to retry after a refusal, because the time it
// allows for all attempts is at most minRetryTimeFactor times the route's timeout. This is the case for calls that
// targets make on behalf of others.
func CallerCannotRetry(allowed, timeout time.Duration) bool {
	return allowed > 0 && timeout > 0 && float64(allowed) <= minRetryTimeFactor*float64(timeout)
}

// Redirectable reports whether a call that a daemon refused with this kind may be redirected, since another target may
// start it at once. With these kinds the call has not run.
func Redirectable(kind errs.Kind) bool {
	switch kind {
	case errs.TargetSlow, errs.Overloaded, errs.QueueTimeout, errs.Busy, errs.Draining, errs.Withdrawn, errs.TargetDown, errs.TargetReplaced, errs.PeerUnreachable, errs.TargetCold, errs.DataCentreEvacuated:
		return true
	}
	return false
}

// StartsInTime reports whether a call that starts at the given time can end by its soft deadline, or by its deadline if
// the soft deadline is not set or cannot be met any more.
func StartsInTime(q *call.Request, start, now time.Time) bool {
	end := q.Deadline
	if q.SoftDeadline.After(now.Add(q.UsualLatency)) && q.SoftDeadline.Before(end) {
		end = q.SoftDeadline
	}
	return !start.Add(q.UsualLatency).After(end)
}
