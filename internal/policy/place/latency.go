package place

import (
	"time"

	"jacinthcross/internal/base/ident"
)

// latencySmoothing is the weight of a new answer in the average latency of its route.
const latencySmoothing = 0.1

// Latencies holds the average latency of the calls of each route, as measured at the daemon where they enter.
type Latencies map[ident.Route]time.Duration

// Of returns the average latency of a route, or 0 if unknown.
func (c Latencies) Of(r ident.Route) time.Duration { return c[r] }

// Add records the latency of an answer.
func (c Latencies) Add(r ident.Route, took time.Duration) {
	if old, ok := c[r]; ok {
		took = old + time.Duration(latencySmoothing*float64(took-old))
	}
	c[r] = took
}
