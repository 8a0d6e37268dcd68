package admit

import (
	"time"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
)

// maxWaitWithoutSoftDeadline returns how long a call of the given rank and without a soft deadline may be queued.
func maxWaitWithoutSoftDeadline(r ident.Rank) time.Duration {
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
	// latestStart is the latest time at which the call can start and still meet its soft deadline or, if its caller
	// cannot retry, its deadline. It is zero for a call without a soft deadline.
	latestStart time.Time
	// dropAt is when the call is dropped if it has not started.
	dropAt time.Time
	// serviceTime is the expected run time, scaled by the target's baseline slowness (slownessTracker.baseline), or 0
	// if unknown.
	serviceTime time.Duration
}

// redirectable reports whether the call may be redirected to another target. The daemon where it entered sets
// HoldUntil for exactly these calls.
func (q *queuedCall) redirectable() bool { return !q.HoldUntil.IsZero() }

func (g *Gate) newQueuedCall(a Arrival, now time.Time) *queuedCall {
	q := &queuedCall{Arrival: a, arrivedAt: now, serviceTime: g.serviceTimes.mean(a.Route)}
	if q.serviceTime == 0 {
		q.serviceTime = a.UsualLatency
	}
	q.serviceTime = time.Duration(float64(q.serviceTime) * g.tracker.baseline)
	switch {
	case a.SoftDeadline.IsZero():
		q.dropAt = now.Add(maxWaitWithoutSoftDeadline(a.Rank))
	case a.CallerCannotRetry:
		// If the caller cannot retry, a refusal also fails the work that depends on the call. So the call may wait
		// for as long as it can still end before its deadline, even if it misses its soft deadline.
		q.dropAt = a.Deadline.Add(-q.serviceTime)
		q.latestStart = q.dropAt
	default:
		q.latestStart = a.SoftDeadline.Add(-q.serviceTime)
		q.dropAt = a.Deadline.Add(-q.serviceTime)
		if q.serviceTime > 0 && q.missedLatestStart(now) {
			hold := min(maxLateWait, time.Duration(lateWaitShare*float64(a.Deadline.Sub(now))))
			q.dropAt = earlier(q.dropAt, now.Add(hold))
		}
	}
	if q.redirectable() {
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

// deadlineErrorKind returns the error kind for a call that cannot end before its deadline on this target. It is
// TargetSlow if another target may still be fast enough.
func (q *queuedCall) deadlineErrorKind(now time.Time) errs.Kind {
	if q.redirectable() && q.Deadline.After(now) {
		return errs.TargetSlow
	}
	return errs.DeadlineExceeded
}

// missedLatestStart reports whether it is too late for the call to start: it can no longer meet its soft deadline or,
// if its caller cannot retry, its deadline.
func (q *queuedCall) missedLatestStart(now time.Time) bool {
	return !q.latestStart.IsZero() && q.latestStart.Before(now)
}

// servedBefore reports whether a is served before b. Calls that are not too late to start go first, then the higher
// rank, then the shorter call, since its answer is worth as much and takes less time. Among equals the older call
// goes first. Under overload, the newer of two calls without a soft deadline goes first, since the older call has
// probably waited too long already.
func servedBefore(a, b *queuedCall, overloaded bool, now time.Time) bool {
	if la, lb := a.missedLatestStart(now), b.missedLatestStart(now); la != lb {
		return lb
	}
	if oa, ob := a.Rank.Position(), b.Rank.Position(); oa != ob {
		return oa < ob
	}
	if a.serviceTime != b.serviceTime && a.serviceTime > 0 && b.serviceTime > 0 {
		return a.serviceTime < b.serviceTime
	}
	if a.latestStart.IsZero() && overloaded {
		return a.arrivedAt.After(b.arrivedAt)
	}
	return a.arrivedAt.Before(b.arrivedAt)
}
