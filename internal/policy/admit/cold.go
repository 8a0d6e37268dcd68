package admit

import (
	"slices"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/policy/warm"
)

// WithStartLimit makes the gate start calls only as the limiter of the target allows while the target is cold. The gate
// records in the limiter each call that it starts.
func WithStartLimit(l *warm.Limiter) Option { return func(g *Gate) { g.starts = l } }

// mayStart reports whether a slot is free and the target is not so cold that no call may start now.
func (g *Gate) mayStart(now time.Time) bool { return g.inFlight < g.Limit() && g.starts.MayStart(now) }

// isCold reports whether calls wait because the target is cold and not because its slots are in use or because a check
// that may soon tell that it is warm has not ended.
func (g *Gate) isCold(now time.Time) bool {
	_, pending := g.starts.CheckPending(now)
	return g.inFlight < g.Limit() && g.starts.Limited(now) && !pending
}

// startsTooLateWhileCold reports whether the limit of a cold target lets a new call start only after the call is
// dropped, or after its latest useful start if its caller can retry.
func (g *Gate) startsTooLateWhileCold(q *queuedCall, now time.Time) bool {
	start := g.coldStartTime(q, now)
	if start.After(q.dropAt) {
		return true
	}
	return q.serviceTime > 0 && !q.latestStart.IsZero() && !q.missedLatestStart(now) && start.After(q.latestStart)
}

// coldStartTime returns when the limit of a cold target lets a new call start after the queued ones that are served
// before it.
func (g *Gate) coldStartTime(q *queuedCall, now time.Time) time.Time {
	overloaded, ahead := g.overloaded(now), 0
	for _, other := range g.queue {
		if servedBefore(other, q, overloaded, now) {
			ahead++
		}
	}
	return g.starts.StartTime(ahead, now)
}

// coldRetryAfter returns how long the caller of a call that is refused by a cold target should wait: until a call of its
// rank would start.
func (g *Gate) coldRetryAfter(q *queuedCall, now time.Time) time.Duration {
	return max(minRetryAfter, g.coldStartTime(q, now).Sub(now))
}

// dropLateWhileCold drops the queued calls that the limit of a cold target lets start only after they would be dropped,
// for example because more important calls have arrived since.
func (g *Gate) dropLateWhileCold(now time.Time) {
	if len(g.queue) == 0 || !g.isCold(now) {
		return
	}
	overloaded := g.overloaded(now)
	order := slices.Clone(g.queue)
	slices.SortStableFunc(order, func(a, b *queuedCall) int {
		switch {
		case servedBefore(a, b, overloaded, now):
			return -1
		case servedBefore(b, a, overloaded, now):
			return 1
		}
		return 0
	})
	late, ahead := map[call.ID]bool{}, 0
	for _, q := range order {
		if g.starts.StartTime(ahead, now).After(q.dropAt) {
			late[q.Call] = true
			continue
		}
		ahead++
	}
	if len(late) == 0 {
		return
	}
	g.dropWhere(now, func(q *queuedCall) errs.Kind {
		if late[q.Call] {
			return errs.TargetCold
		}
		return ""
	})
}
