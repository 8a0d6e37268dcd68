// Package admit decides which calls a target may run now, which wait and which are refused.
package admit

import (
	"slices"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
)

const (
	// queuePerSlot bounds the length of the queue. Time bounds it first in normal service.
	queuePerSlot = 8
	// overloadAfter is how long calls must have been waiting without a break before the queue
	// turns to last in, first out: as long as a Normal call may wait.
	overloadAfter = 100 * time.Millisecond
	// shortestRetry is the least time after which a refused caller is told to come back. A slot is free again
	// after about a tenth of a second.
	shortestRetry = 100 * time.Millisecond
	// lateHold is how long a call waits that cannot make its aim any more, and lateShare the part of the
	// time that it has left. The rest is for its caller, which may come back once more.
	lateHold  = 500 * time.Millisecond
	lateShare = 0.25
	// shortRun is how short a run may be against those of its kind. The work of the users' calls spreads by a third.
	shortRun = 0.6
	// delaySmoothing weighs a dispatched call in the reported queue delay.
	delaySmoothing = 0.1
)

// A Gate is the admission to one target.
type Gate struct {
	limiter limiter
	// timed says that the slots and the times of the calls are known well enough to tell when there is room again.
	timed     bool
	costs     costs
	sensor    sensor
	inFlight  int
	queue     []*waiting // in the order of arrival
	yielded   []Step
	busySince time.Time // when the queue was last empty, while it is not
	delay     time.Duration
}

// An Option sets a property of a Gate.
type Option func(*Gate)

// WithFixedSlots makes the gate trust the number of slots, up to the point above which the target was found to
// slow down. Without it, the limit follows the latency of the target, whose slots may be stated too high.
func WithFixedSlots() Option {
	return func(g *Gate) { g.limiter, g.timed = newKnee(g.slots()), true }
}

// NewGate returns a Gate to a target with the number of slots.
func NewGate(slots int, options ...Option) *Gate {
	g := &Gate{limiter: newGradient(slots), costs: costs{}, sensor: newSensor()}
	for _, o := range options {
		o(g)
	}
	return g
}

// Arrive decides on a call. Steps must follow a Wait.
func (g *Gate) Arrive(a Arrival, now time.Time) Decision {
	w := g.newWaiting(a, now)
	if g.tooLate(w, now) {
		return Refuse{Kind: w.lateKind(now)}
	}
	if g.inFlight < g.Limit() {
		switch when := g.starts(w, now); {
		case when == startNow && len(g.queue) == 0:
			g.start(0)
			return Start{}
		case when == startMeasured && w.until.Before(now.Add(measureTimeout)):
			w.until = now.Add(measureTimeout)
		case when == startLater && !w.until.After(now):
			return g.refuse(errs.TargetSlow, now)
		}
	}
	if !w.until.After(now) || g.inFlight >= g.Limit() && g.hopeless(w, now) {
		return g.refuse(errs.Overloaded, now)
	}
	if len(g.queue) >= queuePerSlot*g.slots() && !g.makeRoom(w, now) {
		return g.refuse(errs.Overloaded, now)
	}
	if len(g.queue) == 0 {
		g.busySince = now
	}
	g.queue = append(g.queue, w)
	return Wait{}
}

func (g *Gate) refuse(kind errs.Kind, now time.Time) Decision {
	return Refuse{Kind: kind, RetryAfter: g.retryAfter(kind, len(g.queue), now)}
}

// hopeless reports whether a call would wait in vain: one that states an aim and would miss it, while others that
// can make theirs take every slot. It had better come back later. One that has come back waits for a while,
// since a second refusal loses it.
func (g *Gate) hopeless(w *waiting, now time.Time) bool {
	if w.cost == 0 || w.prime.IsZero() {
		return false
	}
	start := now.Add(g.ahead(w, now))
	if w.late(now) {
		return !w.Returned || start.After(w.until)
	}
	return start.After(w.prime) || start.After(w.until)
}

// tooLate reports whether the call cannot end before its deadline. A call to an idle target is
// tried in any case, since otherwise one slow spell could refuse calls with short deadlines forever; but not
// beside a target that is measured to be slow for long, which a measurement shows to be fast again.
func (g *Gate) tooLate(w *waiting, now time.Time) bool {
	if !w.Deadline.After(now) {
		return true
	}
	slow := g.sensor.works && g.sensor.floor >= slowFrom
	if !slow && (g.inFlight == 0 || w.cost > 0 && g.costs.stale(w.Kind, now)) {
		return false
	}
	run := g.expected(w)
	if w.cost > 0 {
		run = time.Duration(shortRun * float64(run))
	}
	return now.Add(run).After(w.Deadline)
}

// expected returns how long a call is expected to run with the target at its best.
func (g *Gate) expected(w *waiting) time.Duration {
	if w.cost > 0 {
		return w.cost
	}
	return g.Latency()
}

// ahead estimates how long a call would wait: until the calls that are served before it have run.
func (g *Gate) ahead(w *waiting, now time.Time) time.Duration {
	if g.inFlight < g.Limit() {
		return 0
	}
	work := g.Latency()
	overloaded := g.overloaded(now)
	for _, other := range g.queue {
		if before(other, w, overloaded, now) {
			work += g.expected(other)
		}
	}
	return work / time.Duration(g.Limit())
}

// makeRoom drops the queued call that would be served last, if the new one would be served before it.
func (g *Gate) makeRoom(w *waiting, now time.Time) bool {
	overloaded := g.overloaded(now)
	last := 0
	for i := range g.queue {
		if !before(g.queue[i], g.queue[last], overloaded, now) {
			last = i
		}
	}
	if !before(w, g.queue[last], overloaded, now) {
		return false
	}
	victim := g.remove(last)
	g.yielded = append(g.yielded, Drop{victim.Call, errs.Overloaded, g.retryAfter(errs.Overloaded, len(g.queue), now)})
	return true
}

func (g *Gate) remove(i int) *waiting {
	w := g.queue[i]
	g.queue = slices.Delete(g.queue, i, i+1)
	return w
}

// overloaded reports whether calls have been waiting without a break for a while.
func (g *Gate) overloaded(now time.Time) bool {
	return len(g.queue) > 0 && now.Sub(g.busySince) > overloadAfter
}

func (g *Gate) start(waited time.Duration) {
	g.inFlight++
	g.delay += time.Duration(delaySmoothing * float64(waited-g.delay))
}

// Done notes that a dispatched call has ended.
func (g *Gate) Done(end End, ran Run, now time.Time) {
	switch end {
	case Completed:
		work := ran.Took
		if ran.Slowness > 1 {
			work = time.Duration(float64(work) / ran.Slowness)
		}
		stretch := g.costs.add(ran.Kind, work, now)
		g.sample(work, stretch, max(ran.InFlight, g.inFlight))
	case Shed:
		g.shed(now)
	case Failed:
	}
	g.inFlight--
}

// Forget removes a queued call whose caller gave up, and reports whether it was queued.
func (g *Gate) Forget(id call.ID) bool {
	i := slices.IndexFunc(g.queue, func(w *waiting) bool { return w.Call == id })
	if i >= 0 {
		g.remove(i)
	}
	return i >= 0
}

// Flush removes all queued calls and returns them as dropped.
func (g *Gate) Flush(kind errs.Kind, now time.Time) []Step {
	g.dropAll(now, func(*waiting) errs.Kind { return kind })
	return g.takeYielded()
}

// Steps decides on queued calls: those that may run and those that waited too long. It asks for a
// measurement when a call could run and the speed of the target is not known.
func (g *Gate) Steps(now time.Time) []Step {
	g.expire(now)
	steps := g.takeYielded()
	for g.inFlight < g.Limit() && len(g.queue) > 0 {
		i, when := g.next(now)
		switch when {
		case startLater:
			return g.dropUnheld(steps, now)
		case startMeasured:
			if g.sensor.ask(now) {
				steps = append(steps, Measure{})
			}
			return steps
		case startNow:
		}
		w := g.remove(i)
		if g.tooLate(w, now) {
			steps = append(steps, Drop{w.Call, w.lateKind(now), 0})
			continue
		}
		g.start(now.Sub(w.since))
		steps = append(steps, Dispatch{w.Call})
	}
	return steps
}

// expire drops the calls that have waited for as long as they may.
func (g *Gate) expire(now time.Time) {
	g.dropAll(now, func(w *waiting) errs.Kind {
		switch {
		case g.inFlight >= g.Limit() && w.cost > 0 && w.late(now) && !w.Returned && !w.Final:
			return errs.Overloaded
		case w.until.After(now):
			return ""
		case !w.Deadline.After(now):
			return errs.DeadlineExceeded
		case !w.held():
			return errs.QueueTimeout
		case g.inFlight < g.Limit():
			return errs.TargetSlow
		}
		return errs.Overloaded
	})
}

// dropUnheld drops the calls that may not be held until the target is fast again.
func (g *Gate) dropUnheld(steps []Step, now time.Time) []Step {
	g.dropAll(now, func(w *waiting) errs.Kind {
		if !w.held() || w.HoldUntil.After(now) {
			return ""
		}
		return errs.TargetSlow
	})
	return append(steps, g.takeYielded()...)
}

// dropAll drops the queued calls for which why returns a kind.
func (g *Gate) dropAll(now time.Time, why func(w *waiting) errs.Kind) {
	queue := g.queue
	g.queue = nil
	for i, w := range queue {
		kind := why(w)
		if kind == "" {
			g.queue = append(g.queue, w)
			continue
		}
		g.yielded = append(g.yielded, Drop{w.Call, kind, g.retryAfter(kind, len(g.queue)+len(queue)-i-1, now)})
	}
}

func (g *Gate) takeYielded() []Step {
	steps := g.yielded
	g.yielded = nil
	return steps
}

// next returns the queued call that is served next and when it starts. Calls that wait for the end of a slow
// spell are passed over when another can start.
func (g *Gate) next(now time.Time) (int, startTime) {
	overloaded := g.overloaded(now)
	best, when := 0, startLater
	for i, w := range g.queue {
		at := g.starts(w, now)
		if (at == startLater) != (when == startLater) && at == startLater {
			continue
		}
		if (at == startLater) != (when == startLater) || before(w, g.queue[best], overloaded, now) {
			best, when = i, at
		}
	}
	return best, when
}

// Next returns when Steps must be called next, if a call waits.
func (g *Gate) Next(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, w := range g.queue {
		if next.IsZero() || w.until.Before(next) {
			next = w.until
		}
	}
	if len(g.queue) > 0 && g.inFlight < g.Limit() {
		if at := g.sensor.next(now); at.Before(next) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// retryAfter returns when a refused caller may come back: after the table's delay for the kind and the time that
// the queue takes to empty. Where the slots are known, it is the time that the work ahead takes, and in a
// longer overload the time that it has lasted, since it may last as long again.
func (g *Gate) retryAfter(kind errs.Kind, queued int, now time.Time) time.Duration {
	after := errs.AnswerTo(kind).RetryAfter
	if after == 0 {
		return 0
	}
	empty := g.Latency() * time.Duration(queued) / time.Duration(g.Limit())
	if !g.timed {
		return after + empty
	}
	after = max(shortestRetry, 2*empty)
	if len(g.queue) > 0 {
		after = max(after, now.Sub(g.busySince))
	}
	return after
}

// InFlight returns the number of dispatched calls.
func (g *Gate) InFlight() int { return g.inFlight }

// Queued returns the number of waiting calls.
func (g *Gate) Queued() int { return len(g.queue) }

// QueueDelay returns how long recently dispatched calls waited.
func (g *Gate) QueueDelay() time.Duration { return g.delay }
