package admit

import (
	"time"

	"jacinthcross/internal/base/ident"
)

const (
	// serviceTimeSmoothing is the weight of a new run in the mean service time of its route: a change shows after
	// about ten calls.
	serviceTimeSmoothing = 0.1
	// maxRoutes limits the routes that are tracked. The platform's largest config has about 2,000 routes.
	maxRoutes = 4096
)

// staleAfter is how long a service time may be used to refuse calls. After that, a call is let through, since an
// estimate that makes the gate refuse every call of the route would never be corrected.
const staleAfter = time.Second

// A serviceTime is the mean run time of the calls of a route, and when one of them last ended.
type serviceTime struct {
	mean      time.Duration
	updatedAt time.Time
}

// serviceTimes holds the service time of each route, normalized to a slowness of 1.
type serviceTimes map[ident.Route]serviceTime

// mean returns the mean service time of a route, or 0 if it is not known.
func (c serviceTimes) mean(route ident.Route) time.Duration { return c[route].mean }

// stale reports whether no call of the route has ended within staleAfter.
func (c serviceTimes) stale(route ident.Route, now time.Time) bool {
	return now.Sub(c[route].updatedAt) > staleAfter
}

// add records a run and returns its duration as a multiple of the route's previous mean, or 1 if there is none.
func (c serviceTimes) add(route ident.Route, took time.Duration, now time.Time) float64 {
	if route == "" {
		return 1
	}
	mean := c[route].mean
	if mean == 0 {
		if len(c) < maxRoutes {
			c[route] = serviceTime{took, now}
		}
		return 1
	}
	c[route] = serviceTime{mean + time.Duration(serviceTimeSmoothing*float64(took-mean)), now}
	return float64(took) / float64(mean)
}
