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

// costs hold how long the calls of each kind run at the usual speed of the target.
type costs map[ident.Route]time.Duration

// of returns the cost of a kind, or 0 when it is not known.
func (c costs) of(kind ident.Route) time.Duration { return c[kind] }

// add takes a run, and returns how many times longer it took than calls of its kind usually do.
func (c costs) add(kind ident.Route, work time.Duration) float64 {
	if kind == "" {
		return 1
	}
	old, ok := c[kind]
	if !ok || old == 0 {
		if len(c) < maxKinds {
			c[kind] = work
		}
		return 1
	}
	c[kind] = old + time.Duration(costSmoothing*float64(work-old))
	return float64(work) / float64(old)
}
