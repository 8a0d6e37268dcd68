package admit

import (
	"time"

	"jacinthcross/internal/base/ident"
)

const (
	// costSmoothing weighs a new run in the cost of its kind: a change of the work shows after some ten calls.
	costSmoothing = 0.1
	// maxKinds bounds the kinds of calls that are told apart. A config has some tens of routes.
	maxKinds = 4096
)

// staleAfter is how long a cost is trusted to refuse calls for it. Then one is tried, since a cost that refuses all
// calls of its kind would never be learnt anew.
const staleAfter = time.Second

// A cost is how long the calls of a kind run, and when one of them ended last.
type cost struct {
	work time.Duration
	at   time.Time
}

// costs hold how long the calls of each kind run at the usual speed of the target.
type costs map[ident.Route]cost

// of returns the cost of a kind, or 0 when it is not known.
func (c costs) of(kind ident.Route) time.Duration { return c[kind].work }

// stale reports whether no call of a kind has ended for long.
func (c costs) stale(kind ident.Route, now time.Time) bool { return now.Sub(c[kind].at) > staleAfter }

// add takes a run, and returns how many times longer it took than calls of its kind usually do.
func (c costs) add(kind ident.Route, work time.Duration, now time.Time) float64 {
	if kind == "" {
		return 1
	}
	old := c[kind].work
	if old == 0 {
		if len(c) < maxKinds {
			c[kind] = cost{work, now}
		}
		return 1
	}
	c[kind] = cost{old + time.Duration(costSmoothing*float64(work-old)), now}
	return float64(work) / float64(old)
}
