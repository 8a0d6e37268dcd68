// Package admit controls the admission of calls to a target: which calls start now, which are queued and which are
// refused.
package admit

import (
	"slices"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/policy/warm"
)

const (
	// maxQueuedPerSlot limits the queue length per slot. Under normal load, calls are dropped because of their
	// waiting time before the queue is full.
	maxQueuedPerSlot = 8
	// overloadAfter is how long the queue must have been non-empty before servedBefore prefers the newer of two otherwise
	// equal calls without a soft deadline. It equals the maximum wait of a Normal call.
	overloadAfter = 100 * time.Millisecond
	// minRetryAfter is the shortest retry delay of a gate that relies on the declared slots. A slot is free again
	// after about 100 ms.
	minRetryAfter = 100 * time.Millisecond
	// maxLateWait and lateWaitShare limit the time in the queue for a call that can no longer meet its soft deadline
	// (Arrival.SoftDeadline). lateWaitShare is a fraction of the time left until its deadline. The rest is left for
	// the caller to retry once more.
	maxLateWait   = 500 * time.Millisecond
	lateWaitShare = 0.25
	// minRunFactor is the shortest run time assumed for a call, as a fraction of the mean service time of the route.
	// On the platform, service times differ from the mean by up to a third, so 0.6 leaves a small margin.
	minRunFactor = 0.6
	// queueDelaySmoothing is the weight of one dispatched call in the reported queue delay.
	queueDelaySmoothing = 0.1
)

// A Gate controls admission to one target. It is not safe for concurrent use.
type Gate struct {
	limiter limiter
	// trustDeclaredSlots is set by WithDeclaredSlots. The slots and service times are then known well enough to estimate
	// when a slot becomes free.
	trustDeclaredSlots bool
	serviceTimes       serviceTimes
	tracker            slownessTracker
	inFlight           int
	queue              []*queuedCall // in order of arrival
	pendingDrops       []Action      // returned by the next call of Actions or Flush
	nonEmptySince      time.Time     // when the queue became non-empty, valid only while it is
	queueDelay         time.Duration
	// starts limits the calls that start while the target is cold. It is nil without WithStartLimit.
	starts *warm.Limiter
}

// An Option configures a Gate.
type Option func(*Gate)

// WithDeclaredSlots makes the gate rely on the declared number of slots. The limit is lowered only if the target is
// found to slow down when most of them are in use. Without this option the limit follows the latency of the target,
// whose declared slots may be too high.
func WithDeclaredSlots() Option {
	return func(g *Gate) { g.limiter, g.trustDeclaredSlots = newKneeLimiter(g.slots()), true }
}

// NewGate returns a Gate for a target with the given number of slots.
func NewGate(slots int, options ...Option) *Gate {
	g := &Gate{limiter: newGradientLimiter(slots), serviceTimes: serviceTimes{}, tracker: newSlownessTracker()}
	for _, o := range options {
		o(g)
	}
	return g
}

// Admit decides whether a call starts, waits or is refused. After a Wait, Actions must be called.
func (g *Gate) Admit(a Arrival, now time.Time) Decision {
	q := g.newQueuedCall(a, now)
	if g.missesDeadline(q, now) {
		return Refuse{Kind: q.deadlineErrorKind(now)}
	}
	if g.mayStart(now) {
		switch when := g.decideStart(q, now); {
		case when == startNow && len(g.queue) == 0:
			g.recordStart(0, now)
			return Start{}
		case when == startAfterMeasurement && q.dropAt.Before(now.Add(measureTimeout)):
			q.dropAt = now.Add(measureTimeout)
		case when == startLater && !q.dropAt.After(now):
			return g.refuse(errs.TargetSlow, now)
		}
	}
	if until, pending := g.starts.CheckPending(now); pending && q.dropAt.Before(until) {
		q.dropAt = until
	}
	if g.isCold(now) && (!q.dropAt.After(now) || g.startsTooLateWhileCold(q, now) || len(g.queue) >= maxQueuedPerSlot*g.slots()) {
		return Refuse{Kind: errs.TargetCold, RetryAfter: g.coldRetryAfter(q, now)}
	}
	if !q.dropAt.After(now) || g.inFlight >= g.Limit() && g.wouldStartTooLate(q, now) {
		return g.refuse(errs.Overloaded, now)
	}
	if len(g.queue) >= maxQueuedPerSlot*g.slots() && !g.evictFor(q, now) {
		return g.refuse(errs.Overloaded, now)
	}
	if len(g.queue) == 0 {
		g.nonEmptySince = now
	}
	g.queue = append(g.queue, q)
	return Wait{}
}

func (g *Gate) refuse(kind errs.Kind, now time.Time) Decision {
	return Refuse{Kind: kind, RetryAfter: g.retryAfter(kind, len(g.queue), now)}
}

// wouldStartTooLate reports whether the call, after the calls that are served before it, would start after its latest
// useful start or only after it is dropped. It is then refused at once, so that its caller can retry earlier. If a
// call is already too late and is a retry by its caller, it is refused only if it would be dropped before it starts,
// since a second refusal is final. A call without a soft deadline, or with an unknown service time, never starts too
// late.
func (g *Gate) wouldStartTooLate(q *queuedCall, now time.Time) bool {
	if q.serviceTime == 0 || q.latestStart.IsZero() {
		return false
	}
	start := now.Add(g.estimatedWait(q, now))
	if q.missedLatestStart(now) {
		return !q.RetriedByCaller || start.After(q.dropAt)
	}
	return start.After(q.latestStart) || start.After(q.dropAt)
}

// missesDeadline reports whether the call cannot end before its deadline. This is always the case after the deadline.
// Before it, an idle target gets the call anyway, and so does a target whose service time for the route is stale.
// Otherwise the gate could refuse calls with short deadlines forever after one slow period. A persistently slow target
// does not get such a call, since a measurement will show when the target is fast again.
func (g *Gate) missesDeadline(q *queuedCall, now time.Time) bool {
	if !q.Deadline.After(now) {
		return true
	}
	persistentlySlow := g.tracker.enabled && g.tracker.baseline >= slowThreshold
	if !persistentlySlow && (g.inFlight == 0 || q.serviceTime > 0 && g.serviceTimes.stale(q.Route, now)) {
		return false
	}
	run := g.expectedServiceTime(q)
	if q.serviceTime > 0 {
		run = time.Duration(minRunFactor * float64(run))
	}
	return now.Add(run).After(q.Deadline)
}

// expectedServiceTime returns the expected run time of a call, scaled by the target's baseline slowness
// (slownessTracker.baseline). If q.serviceTime is not known, it returns the mean of all routes, without scaling.
func (g *Gate) expectedServiceTime(q *queuedCall) time.Duration {
	if q.serviceTime > 0 {
		return q.serviceTime
	}
	return g.MeanServiceTime()
}

// estimatedWait estimates the time until a slot is free for q. It divides the work ahead of q among the slots: one
// mean service time for the calls in flight, and the service times of the queued calls that are served before q.
func (g *Gate) estimatedWait(q *queuedCall, now time.Time) time.Duration {
	if g.inFlight < g.Limit() {
		return 0
	}
	work := g.MeanServiceTime()
	overloaded := g.overloaded(now)
	for _, other := range g.queue {
		if servedBefore(other, q, overloaded, now) {
			work += g.expectedServiceTime(other)
		}
	}
	return work / time.Duration(g.Limit())
}

// evictFor drops the queued call that would be served last, provided that q would be served before it. It reports
// whether a call was dropped.
func (g *Gate) evictFor(q *queuedCall, now time.Time) bool {
	overloaded := g.overloaded(now)
	last := 0
	for i := range g.queue {
		if !servedBefore(g.queue[i], g.queue[last], overloaded, now) {
			last = i
		}
	}
	if !servedBefore(q, g.queue[last], overloaded, now) {
		return false
	}
	victim := g.remove(last)
	g.pendingDrops = append(g.pendingDrops, Drop{victim.Call, errs.Overloaded, g.retryAfter(errs.Overloaded, len(g.queue), now)})
	return true
}

func (g *Gate) remove(i int) *queuedCall {
	q := g.queue[i]
	g.queue = slices.Delete(g.queue, i, i+1)
	return q
}

// overloaded reports whether the queue has been non-empty for longer than overloadAfter.
func (g *Gate) overloaded(now time.Time) bool {
	return len(g.queue) > 0 && now.Sub(g.nonEmptySince) > overloadAfter
}

func (g *Gate) recordStart(waited time.Duration, now time.Time) {
	g.inFlight++
	g.starts.RecordSend(now)
	g.queueDelay += time.Duration(queueDelaySmoothing * float64(waited-g.queueDelay))
}

// Done records the end of a dispatched call.
func (g *Gate) Done(result Result, finished FinishedCall, now time.Time) {
	switch result {
	case Completed:
		serviceTime := finished.Duration
		if finished.Slowness > 1 {
			serviceTime = time.Duration(float64(serviceTime) / finished.Slowness)
		}
		relativeDuration := g.serviceTimes.add(finished.Route, serviceTime, now)
		g.addSample(serviceTime, relativeDuration, max(finished.InFlight, g.inFlight))
	case Shed:
		g.recordShed(now)
	case Failed:
	}
	g.inFlight--
}

// Cancel removes a queued call whose caller has given up, and reports whether it was queued.
func (g *Gate) Cancel(id call.ID) bool {
	i := slices.IndexFunc(g.queue, func(q *queuedCall) bool { return q.Call == id })
	if i >= 0 {
		g.remove(i)
	}
	return i >= 0
}

// Flush drops every queued call and returns the drops, all of them with the given error kind.
func (g *Gate) Flush(kind errs.Kind, now time.Time) []Action {
	g.dropWhere(now, func(*queuedCall) errs.Kind { return kind })
	return g.takePendingDrops()
}

// Actions returns the actions due for queued calls: those to dispatch and those to drop. It asks for a measurement
// when a call could start but the slowness of the target is not known.
func (g *Gate) Actions(now time.Time) []Action {
	g.dropExpired(now)
	g.dropLateWhileCold(now)
	actions := g.takePendingDrops()
	for len(g.queue) > 0 && g.mayStart(now) {
		i, when := g.nextQueued(now)
		switch when {
		case startLater:
			return g.dropHoldExpired(actions, now)
		case startAfterMeasurement:
			if g.tracker.tryRequestMeasurement(now) {
				actions = append(actions, Measure{})
			}
			return actions
		case startNow:
		}
		q := g.remove(i)
		if g.missesDeadline(q, now) {
			actions = append(actions, Drop{q.Call, q.deadlineErrorKind(now), 0})
			continue
		}
		g.recordStart(now.Sub(q.arrivedAt), now)
		actions = append(actions, Dispatch{q.Call})
	}
	return actions
}

// dropExpired drops the calls that have reached their maximum wait. While all slots are in use, it also drops the
// calls that are too late to start and whose caller can still retry.
func (g *Gate) dropExpired(now time.Time) {
	cold := g.isCold(now)
	g.dropWhere(now, func(q *queuedCall) errs.Kind {
		switch {
		case g.inFlight >= g.Limit() && q.serviceTime > 0 && q.missedLatestStart(now) && !q.RetriedByCaller && !q.CallerCannotRetry:
			return errs.Overloaded
		case q.dropAt.After(now):
			return ""
		case !q.Deadline.After(now):
			return errs.DeadlineExceeded
		case cold:
			return errs.TargetCold
		// The call may not be redirected, so it has waited for its maximum time here.
		case !q.redirectable():
			return errs.QueueTimeout
		// A slot is free, so the call was held because the target is slow.
		case g.inFlight < g.Limit():
			return errs.TargetSlow
		}
		return errs.Overloaded
	})
}

// dropHoldExpired drops the calls that may not be held any longer while the target is slow.
func (g *Gate) dropHoldExpired(actions []Action, now time.Time) []Action {
	g.dropWhere(now, func(q *queuedCall) errs.Kind {
		if !q.redirectable() || q.HoldUntil.After(now) {
			return ""
		}
		return errs.TargetSlow
	})
	return append(actions, g.takePendingDrops()...)
}

// dropWhere drops the queued calls for which reasonFor returns a kind of error.
func (g *Gate) dropWhere(now time.Time, reasonFor func(q *queuedCall) errs.Kind) {
	queue := g.queue
	g.queue = nil
	for i, q := range queue {
		kind := reasonFor(q)
		if kind == "" {
			g.queue = append(g.queue, q)
			continue
		}
		g.pendingDrops = append(g.pendingDrops, Drop{q.Call, kind, g.retryAfter(kind, len(g.queue)+len(queue)-i-1, now)})
	}
}

func (g *Gate) takePendingDrops() []Action {
	drops := g.pendingDrops
	g.pendingDrops = nil
	return drops
}

// nextQueued returns the index of the queued call that is served next, and when it may start. A call that must start
// later is skipped if another call may start now or after a measurement.
func (g *Gate) nextQueued(now time.Time) (int, startDecision) {
	overloaded := g.overloaded(now)
	best, bestDecision := 0, startLater
	for i, q := range g.queue {
		decision := g.decideStart(q, now)
		if (decision == startLater) != (bestDecision == startLater) && decision == startLater {
			continue
		}
		if (decision == startLater) != (bestDecision == startLater) || servedBefore(q, g.queue[best], overloaded, now) {
			best, bestDecision = i, decision
		}
	}
	return best, bestDecision
}

// NextActionAt returns when Actions must be called next. It returns false if no call is queued.
func (g *Gate) NextActionAt(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, q := range g.queue {
		if next.IsZero() || q.dropAt.Before(next) {
			next = q.dropAt
		}
	}
	if len(g.queue) > 0 && g.inFlight < g.Limit() {
		if start := g.starts.StartTime(0, now); start.After(now) {
			return earlier(next, start), true
		}
		if at := g.tracker.nextCheck(now); at.Before(next) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// retryAfter returns how long a refused caller should wait before it retries, or 0 if the error kind has no retry
// delay. Normally this is the default delay of the kind plus the estimated time to drain the queue. If the gate
// relies on the declared slots, it is the longest of minRetryAfter, twice the time to drain the queue, and the time for
// which the queue has been non-empty, since the overload may last as long again.
func (g *Gate) retryAfter(kind errs.Kind, queued int, now time.Time) time.Duration {
	after := errs.ResponseFor(kind).RetryAfter
	if after == 0 {
		return 0
	}
	if kind == errs.TargetCold {
		return max(minRetryAfter, g.starts.StartTime(queued, now).Sub(now))
	}
	drainTime := g.MeanServiceTime() * time.Duration(queued) / time.Duration(g.Limit())
	if !g.trustDeclaredSlots {
		return after + drainTime
	}
	after = max(minRetryAfter, 2*drainTime)
	if len(g.queue) > 0 {
		after = max(after, now.Sub(g.nonEmptySince))
	}
	return after
}

// InFlight returns the number of dispatched calls that have not ended.
func (g *Gate) InFlight() int { return g.inFlight }

// Queued returns the number of queued calls.
func (g *Gate) Queued() int { return len(g.queue) }

// QueueDelay returns the moving average of the time that dispatched calls were queued.
func (g *Gate) QueueDelay() time.Duration { return g.queueDelay }
