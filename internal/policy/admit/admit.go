// Package admit decides which calls a target may run now, which wait and which are refused.
package admit

import (
	"slices"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
)

type waiting struct {
	Arrival
	since time.Time
	until time.Time
}

const (
	// queuePerSlot bounds the length of the queue. Time bounds it first in normal service.
	queuePerSlot = 8
	// overloadAfter is how long calls must have been waiting without a break before the queue
	// turns to last in, first out: as long as a Normal call may wait.
	overloadAfter = 100 * time.Millisecond
	// delaySmoothing weighs a dispatched call in the reported queue delay.
	delaySmoothing = 0.1
	ranks          = 3
)

// maxWait returns how long a call of the rank may wait in the queue.
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

// A Gate is the admission to one target.
type Gate struct {
	limiter   limiter
	inFlight  int
	queues    [ranks][]waiting // oldest first
	queued    int
	yielded   []Step
	busySince time.Time // when the queue was last empty, while it is not
	delay     time.Duration
}

// NewGate returns a Gate to a target with the number of slots.
func NewGate(slots int) *Gate { return &Gate{limiter: newLimiter(slots)} }

// SetSlots changes the number of slots.
func (g *Gate) SetSlots(slots int) { g.limiter.setSlots(slots) }

// Arrive decides on a call.
func (g *Gate) Arrive(a Arrival, now time.Time) Decision {
	if g.tooLate(a, now) {
		return Refuse{Kind: errs.DeadlineExceeded}
	}
	if g.inFlight < g.Limit() && g.queued == 0 {
		g.start(0)
		return Start{}
	}
	if g.queued >= queuePerSlot*int(g.limiter.slots) && !g.makeRoom(a.Rank, now) {
		return Refuse{Kind: errs.Overloaded, RetryAfter: g.retryAfter(errs.Overloaded)}
	}
	until := now.Add(maxWait(a.Rank))
	if a.Deadline.Before(until) {
		until = a.Deadline
	}
	if g.queued == 0 {
		g.busySince = now
	}
	g.queued++
	o := a.Rank.Order()
	g.queues[o] = append(g.queues[o], waiting{a, now, until})
	return Wait{}
}

// tooLate reports whether the call cannot end before its deadline. A call to an idle target is
// tried in any case, since otherwise one slow spell could refuse calls with short deadlines forever.
func (g *Gate) tooLate(a Arrival, now time.Time) bool {
	if !a.Deadline.After(now) {
		return true
	}
	return g.inFlight > 0 && now.Add(g.Latency()).After(a.Deadline)
}

// makeRoom drops one queued call for a call of the rank: of the lowest rank below it or, under
// overload, the oldest of its own rank, which last in, first out would serve last.
func (g *Gate) makeRoom(r ident.Rank, now time.Time) bool {
	own := r.Order()
	for o := ranks - 1; o >= own; o-- {
		n := len(g.queues[o])
		if n == 0 || o == own && !g.overloaded(now) {
			continue
		}
		victim := n - 1
		if g.overloaded(now) {
			victim = 0
		}
		g.drop(g.queues[o][victim], errs.Overloaded)
		g.queues[o] = slices.Delete(g.queues[o], victim, victim+1)
		return true
	}
	return false
}

func (g *Gate) drop(w waiting, kind errs.Kind) {
	g.queued--
	g.yielded = append(g.yielded, Drop{w.Call, kind, g.retryAfter(kind)})
}

// overloaded reports whether calls have been waiting without a break for a while.
func (g *Gate) overloaded(now time.Time) bool {
	return g.queued > 0 && now.Sub(g.busySince) > overloadAfter
}

func (g *Gate) start(waited time.Duration) {
	g.inFlight++
	g.delay += time.Duration(delaySmoothing * float64(waited-g.delay))
}

// Done notes that a dispatched call has ended.
func (g *Gate) Done(end End, took time.Duration, now time.Time) {
	switch end {
	case Completed:
		g.limiter.sample(took, g.inFlight)
	case Shed:
		g.limiter.shed(now)
	case Failed:
	}
	g.inFlight--
}

// Forget removes a queued call whose caller gave up, and reports whether it was queued.
func (g *Gate) Forget(id call.ID) bool {
	for o := range g.queues {
		if i := slices.IndexFunc(g.queues[o], func(w waiting) bool { return w.Call == id }); i >= 0 {
			g.queues[o] = slices.Delete(g.queues[o], i, i+1)
			g.queued--
			return true
		}
	}
	return false
}

// Flush removes all queued calls and returns them as dropped.
func (g *Gate) Flush(kind errs.Kind) []Step {
	for o := range g.queues {
		for _, w := range g.queues[o] {
			g.drop(w, kind)
		}
		g.queues[o] = nil
	}
	return g.takeYielded()
}

// Steps decides on queued calls: those that may run and those that waited too long.
func (g *Gate) Steps(now time.Time) []Step {
	for o := range g.queues {
		g.queues[o] = slices.DeleteFunc(g.queues[o], func(w waiting) bool {
			expired := !w.until.After(now)
			if expired {
				kind := errs.QueueTimeout
				if !w.Deadline.After(now) {
					kind = errs.DeadlineExceeded
				}
				g.drop(w, kind)
			}
			return expired
		})
	}
	steps := g.takeYielded()
	for g.inFlight < g.Limit() && g.queued > 0 {
		w := g.take(now)
		if g.tooLate(w.Arrival, now) {
			steps = append(steps, Drop{w.Call, errs.DeadlineExceeded, 0})
			continue
		}
		g.start(now.Sub(w.since))
		steps = append(steps, Dispatch{w.Call})
	}
	return steps
}

func (g *Gate) takeYielded() []Step {
	steps := g.yielded
	g.yielded = nil
	return steps
}

// take removes the call that is served next: the most urgent rank, the oldest call or, under overload, the newest.
func (g *Gate) take(now time.Time) waiting {
	o := slices.IndexFunc(g.queues[:], func(q []waiting) bool { return len(q) > 0 })
	i := 0
	if g.overloaded(now) {
		i = len(g.queues[o]) - 1
	}
	w := g.queues[o][i]
	g.queues[o] = slices.Delete(g.queues[o], i, i+1)
	g.queued--
	return w
}

// Next returns when Steps must be called next, if a call waits.
func (g *Gate) Next() (time.Time, bool) {
	var next time.Time
	for _, q := range g.queues {
		for _, w := range q {
			if next.IsZero() || w.until.Before(next) {
				next = w.until
			}
		}
	}
	return next, !next.IsZero()
}

// retryAfter returns the table's delay for the kind plus the time that the queue takes to empty.
func (g *Gate) retryAfter(kind errs.Kind) time.Duration {
	after := errs.AnswerTo(kind).RetryAfter
	if after == 0 {
		return 0
	}
	return after + g.Latency()*time.Duration(g.queued)/time.Duration(g.Limit())
}

// InFlight returns the number of dispatched calls.
func (g *Gate) InFlight() int { return g.inFlight }

// Queued returns the number of waiting calls.
func (g *Gate) Queued() int { return g.queued }

// Limit returns how many calls may be in flight.
func (g *Gate) Limit() int { return g.limiter.current() }

// Latency returns the smoothed latency of the target.
func (g *Gate) Latency() time.Duration { return g.limiter.latency() }

// QueueDelay returns how long recently dispatched calls waited.
func (g *Gate) QueueDelay() time.Duration { return g.delay }
