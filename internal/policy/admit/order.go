package admit

import (
	"time"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
)

// maxWait returns how long a call of the rank that states no aim may wait in the queue.
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

// A waiting is a queued call.
type waiting struct {
	Arrival
	since time.Time
	// prime is until when a start gives an answer of full value. It is zero for a call that states no aim.
	prime time.Time
	// until is when the call is given up.
	until time.Time
	// cost is how long calls of this kind run with the target at its best at the moment, or 0 when that is not known.
	cost time.Duration
}

// held reports whether the call was sent with a bound on the time that it is held.
func (w *waiting) held() bool { return !w.HoldUntil.IsZero() }

func (g *Gate) newWaiting(a Arrival, now time.Time) *waiting {
	w := &waiting{Arrival: a, since: now, cost: g.costs.of(a.Kind)}
	if w.cost == 0 {
		w.cost = a.Usual
	}
	w.cost = time.Duration(float64(w.cost) * g.sensor.floor)
	switch {
	case a.Aim.IsZero():
		w.until = now.Add(maxWait(a.Rank))
	case a.Final:
		// What depends on a call whose caller cannot come back is lost with it, however late it is.
		w.until = a.Deadline.Add(-w.cost)
		w.prime = w.until
	default:
		w.prime = a.Aim.Add(-w.cost)
		w.until = a.Deadline.Add(-w.cost)
		if w.cost > 0 && w.late(now) {
			hold := min(lateHold, time.Duration(lateShare*float64(a.Deadline.Sub(now))))
			w.until = earlier(w.until, now.Add(hold))
		}
	}
	if w.held() {
		if g.sensor.fasterElsewhere(w, now) {
			w.HoldUntil = now
		}
		w.until = earlier(w.until, w.HoldUntil)
	}
	w.until = earlier(w.until, a.Deadline)
	return w
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// lateKind returns why a call is not run that could not end before its deadline here. Another target may be faster.
func (w *waiting) lateKind(now time.Time) errs.Kind {
	if w.held() && w.Deadline.After(now) {
		return errs.TargetSlow
	}
	return errs.DeadlineExceeded
}

// late reports whether an answer cannot have its full value any more.
func (w *waiting) late(now time.Time) bool { return !w.prime.IsZero() && w.prime.Before(now) }

// before reports whether a is served before b. A call that can still have its full value goes before one that
// cannot, then the higher rank, then the shorter call, which gains as much with less of the target's time. Of
// equals the older goes first or, under overload, the newer: the older has waited in vain already.
func before(a, b *waiting, overloaded bool, now time.Time) bool {
	if la, lb := a.late(now), b.late(now); la != lb {
		return lb
	}
	if oa, ob := a.Rank.Order(), b.Rank.Order(); oa != ob {
		return oa < ob
	}
	if a.cost != b.cost && a.cost > 0 && b.cost > 0 {
		return a.cost < b.cost
	}
	if a.prime.IsZero() && overloaded {
		return a.since.After(b.since)
	}
	return a.since.Before(b.since)
}
