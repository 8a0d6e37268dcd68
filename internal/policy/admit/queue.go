package admit

import (
	"time"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
)

// maxWait returns how long a call of the given rank and without an aim may be queued.
func maxWait(r ident.Rank) time.Duration {
	switch r {
	case ident.Urgent:
		return 50 * time.Millisecond
	case ident.Normal:
		return 100 * time.Millisecond
	case ident.Deferred:
		return 200 * time.Millisecond
	}
	return 100 * time.Millisecond
}

// A queuedCall is a call that waits for admission.
type queuedCall struct {
	Arrival
	arrivedAt time.Time
	// startBy is the latest start at which the call still meets its aim. It is zero for a call without an aim.
	startBy time.Time
	// dropAt is when the call is dropped if it has not started.
	dropAt time.Time
	// serviceTime is the expected run time at the current baseline speed of the target, or 0 if unknown.
	serviceTime time.Duration
}

// holdLimited reports whether the call has a HoldUntil, so that another target may serve it.
func (q *queuedCall) holdLimited() bool { return !q.HoldUntil.IsZero() }

func (g *Gate) newQueuedCall(a Arrival, now time.Time) *queuedCall {
	q := &queuedCall{Arrival: a, arrivedAt: now, serviceTime: g.serviceTimes.of(a.Route)}
	if q.serviceTime == 0 {
		q.serviceTime = a.UsualDuration
	}
	q.serviceTime = time.Duration(float64(q.serviceTime) * g.tracker.baseline)
	switch {
	case a.SoftDeadline.IsZero():
		q.dropAt = now.Add(maxWait(a.Rank))
	case a.CallerCannotRetry:
		// If the caller cannot retry, whatever depends on the call is lost with it. So it may wait for as long as
		// it can end before its deadline, even if it misses its aim.
		q.dropAt = a.Deadline.Add(-q.serviceTime)
		q.startBy = q.dropAt
	default:
		q.startBy = a.SoftDeadline.Add(-q.serviceTime)
		q.dropAt = a.Deadline.Add(-q.serviceTime)
		if q.serviceTime > 0 && q.missedAim(now) {
			hold := min(maxLateWait, time.Duration(lateWaitShare*float64(a.Deadline.Sub(now))))
			q.dropAt = earlier(q.dropAt, now.Add(hold))
		}
	}
	if q.holdLimited() {
		if g.tracker.fasterElsewhere(q, now) {
			q.HoldUntil = now
		}
		q.dropAt = earlier(q.dropAt, q.HoldUntil)
	}
	q.dropAt = earlier(q.dropAt, a.Deadline)
	return q
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// missedDeadlineKind returns the error kind for a call that cannot end before its deadline on this target. It is
// TargetSlow if another target may still be fast enough.
func (q *queuedCall) missedDeadlineKind(now time.Time) errs.Kind {
	if q.holdLimited() && q.Deadline.After(now) {
		return errs.TargetSlow
	}
	return errs.DeadlineExceeded
}

// missedAim reports whether the call can no longer meet its aim.
func (q *queuedCall) missedAim(now time.Time) bool {
	return !q.startBy.IsZero() && q.startBy.Before(now)
}

// servedBefore reports whether a is served before b. Calls that can still meet their aim go first, then the higher
// rank, then the shorter call, which is worth as much for less of the target's time. Among equals the older goes
// first. Under overload the newer of two calls without an aim goes first, since the older has probably waited too
// long already.
func servedBefore(a, b *queuedCall, overloaded bool, now time.Time) bool {
	if la, lb := a.missedAim(now), b.missedAim(now); la != lb {
		return lb
	}
	if oa, ob := a.Rank.Order(), b.Rank.Order(); oa != ob {
		return oa < ob
	}
	if a.serviceTime != b.serviceTime && a.serviceTime > 0 && b.serviceTime > 0 {
		return a.serviceTime < b.serviceTime
	}
	if a.startBy.IsZero() && overloaded {
		return a.arrivedAt.After(b.arrivedAt)
	}
	return a.arrivedAt.Before(b.arrivedAt)
}
