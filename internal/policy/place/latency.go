package place

import (
	"time"

	"jacinthcross/internal/base/ident"
)

// costSmoothing weighs a new answer in the cost of its route.
const costSmoothing = 0.1

// Costs hold how long the calls of each route take, as the daemon sees it at which they enter.
type Costs map[ident.Route]time.Duration

// Of returns the cost of a route, or 0 when it is not known.
func (c Costs) Of(r ident.Route) time.Duration { return c[r] }

// Add takes the time that an answer took.
func (c Costs) Add(r ident.Route, took time.Duration) {
	if old, ok := c[r]; ok {
		took = old + time.Duration(costSmoothing*float64(took-old))
	}
	c[r] = took
}
