// Package place decides how long a call may be held beside a target and when it is sent on to another.
package place

import (
	"time"

	"jacinthcross/internal/base/errs"
)

const (
	// holdShare is the part of the time to spare until its aim for which a call is held beside a target of the own
	// data centre. The rest is left for another target, which may be slow as well.
	holdShare = 0.35
	// MaxBounces bounds the targets that give a call back before it is refused. In a larger service that many have seen
	// the same overload, and a refusal then is early enough for the caller to come back. A call whose caller cannot come
	// back waits at the best target instead.
	MaxBounces = 6
)

// A Call is what is known of a call that is being placed.
type Call struct {
	Aim time.Time
	// Cost is how long calls of its route usually take, or 0 when that is not known.
	Cost time.Duration
	// Near says that the target is in the own data centre.
	Near bool
	// Pressed says that no target could start the call at once.
	Pressed bool
}

// Hold returns until when a call may wait beside a target before it is given back, or the zero time when it may
// wait for as long as it has. It waits there when no target could start it, and for a short time where the way to
// another target costs more.
func Hold(c Call, now time.Time) time.Time {
	if c.Pressed {
		return time.Time{}
	}
	if !c.Near || c.Aim.IsZero() {
		return now
	}
	spare := c.Aim.Sub(now) - c.Cost
	return now.Add(max(0, time.Duration(holdShare*float64(spare))))
}

// finalSlack is how much more time than the route's timeout a caller has to allow to be able to come back.
const finalSlack = 1.1

// Final reports whether the caller of a call has no time to come back after a refusal: it allows no more than the
// route gives one try. The calls that targets make for others are of this kind.
func Final(allowed, timeout time.Duration) bool {
	return allowed > 0 && timeout > 0 && float64(allowed) <= finalSlack*float64(timeout)
}

// Bounces reports whether a refusal by a daemon says that another target may start the call at once. Nothing
// was sent to the target.
func Bounces(kind errs.Kind) bool {
	switch kind {
	case errs.TargetSlow, errs.Overloaded, errs.QueueTimeout, errs.Busy, errs.Draining, errs.Withdrawn, errs.TargetDown, errs.TargetReplaced, errs.PeerUnreachable:
		return true
	}
	return false
}
