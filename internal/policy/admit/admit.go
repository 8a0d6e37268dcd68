// Package admit decides which calls a target may run now, which wait and which are refused.
package admit

import (
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"slices"
	"time"
)

// A Decision is what to do with an arriving call: Start, Wait or Refuse.
type Decision interface{ decision() }

// Start says that the call may be dispatched now; Done must follow.
type Start struct{}

// Wait says that the call is queued; a Step decides on it later.
type Wait struct{}

// Refuse says that the call is not run.
type Refuse struct {
	Kind       errs.Kind
	RetryAfter time.Duration
}

func (Start) decision()  {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// A Step is what became of a queued call: Dispatch or Drop.
type Step interface{ step() }

// A Dispatch says that a queued call may be dispatched now; Done must follow.
type Dispatch struct{ Call call.ID }

// A Drop says that a queued call is not run.
type Drop struct {
	Call call.ID
	Kind errs.Kind
}

func (Dispatch) step() {}
func (Drop) step()     {}

// An Arrival is a call that asks to be run.
type Arrival struct {
	Call     call.ID
	Rank     ident.Rank
	Deadline time.Time
}

type waiting struct {
	Arrival
	until time.Time
}

// queuePerSlot bounds the length of the queue. Time bounds it first in normal service.
const queuePerSlot = 8

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
	slots    int
	inFlight int
	queue    []waiting
}

// NewGate returns a Gate to a target with the number of slots.
func NewGate(slots int) *Gate { return &Gate{slots: slots} }

// SetSlots changes the number of slots.
func (g *Gate) SetSlots(slots int) { g.slots = slots }

// Arrive decides on a call.
func (g *Gate) Arrive(a Arrival, now time.Time) Decision {
	if !a.Deadline.After(now) {
		return Refuse{Kind: errs.DeadlineExceeded}
	}
	if g.inFlight < g.slots && len(g.queue) == 0 {
		g.inFlight++
		return Start{}
	}
	if len(g.queue) >= queuePerSlot*g.slots {
		return Refuse{Kind: errs.Overloaded}
	}
	until := now.Add(maxWait(a.Rank))
	if a.Deadline.Before(until) {
		until = a.Deadline
	}
	g.queue = append(g.queue, waiting{a, until})
	slices.SortStableFunc(g.queue, func(a, b waiting) int { return a.Rank.Order() - b.Rank.Order() })
	return Wait{}
}

// Done notes that a dispatched call has ended.
func (g *Gate) Done(_ call.ID, _ time.Duration, _ time.Time) { g.inFlight-- }

// Forget removes a queued call whose caller gave up, and reports whether it was queued.
func (g *Gate) Forget(id call.ID) bool {
	n := len(g.queue)
	g.queue = slices.DeleteFunc(g.queue, func(w waiting) bool { return w.Call == id })
	return len(g.queue) < n
}

// Steps decides on queued calls: those that may run and those that waited too long.
func (g *Gate) Steps(now time.Time) []Step {
	var steps []Step
	g.queue = slices.DeleteFunc(g.queue, func(w waiting) bool {
		if w.until.After(now) {
			return false
		}
		kind := errs.QueueTimeout
		if !w.Deadline.After(now) {
			kind = errs.DeadlineExceeded
		}
		steps = append(steps, Drop{w.Call, kind})
		return true
	})
	for g.inFlight < g.slots && len(g.queue) > 0 {
		steps = append(steps, Dispatch{g.queue[0].Call})
		g.queue = g.queue[1:]
		g.inFlight++
	}
	return steps
}

// Next returns when Steps must be called next, if a call waits.
func (g *Gate) Next() (time.Time, bool) {
	var next time.Time
	for _, w := range g.queue {
		if next.IsZero() || w.until.Before(next) {
			next = w.until
		}
	}
	return next, !next.IsZero()
}

// InFlight returns the number of dispatched calls.
func (g *Gate) InFlight() int { return g.inFlight }

// Queued returns the number of waiting calls.
func (g *Gate) Queued() int { return len(g.queue) }

// Limit returns how many calls may be in flight.
func (g *Gate) Limit() int { return g.slots }
