// Package shed decides which calls bear a shortage of retries: the platform limits them, and when targets turn many calls
// away, the limit is too small for all. The decision needs no network, clock or memory.
package shed

import (
	"time"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
)

// A Mode says whether retries are shared by what their lack costs callers.
type Mode string

const (
	// Equal gives a retry to each call that asks for one while any are left.
	Equal Mode = "Equal"
	// ByCost keeps retries for the calls whose refusal costs most (see RetryShare).
	ByCost Mode = "ByCost"
)

// A Claim is what a call that asks for a retry has at stake.
type Claim struct {
	Rank ident.Rank
	// Returned is true if the call was refused before and its caller has sent it again. The caller gives up after a second
	// refusal.
	Returned bool
	// Final is true if the caller has no time to send the call again. These are above all calls of targets on behalf of
	// others: the refusal also fails the call that they serve, whose work is then lost.
	Final bool
}

// Shares of the retries that a call may use up. A call whose caller sends it again loses some tens of milliseconds by a
// refusal and not its answer, so it leaves at least half of the retries to the others.
const (
	returnedShare = 1
	finalShare    = 0.85
	urgentShare   = 0.5
	normalShare   = 0.4
	deferredShare = 0.25
)

// RetryShare returns which part of the retries may be used up before a call no longer gets one.
func RetryShare(c Claim) float64 {
	switch {
	case c.Returned:
		return returnedShare
	case c.Final:
		return finalShare
	}
	switch c.Rank {
	case ident.Urgent:
		return urgentShare
	case ident.Normal:
		return normalShare
	case ident.Deferred:
		return deferredShare
	}
	return normalShare
}

// shedReturn is when the caller of a call that a target turned away comes back. The daemon beside a target sends no more
// calls than the target has slots, so the target has turned the call away for a reason that does not concern the next one
// or another target. Waiting longer would only use up the time of the call.
const shedReturn = 40 * time.Millisecond

// ReturnAfter returns when the caller of a call that was refused for lack of a retry should send it again, given the
// usual time for the kind of error.
func ReturnAfter(kind errs.Kind, usual time.Duration) time.Duration {
	if kind == errs.TargetShed {
		return min(usual, shedReturn)
	}
	return usual
}
