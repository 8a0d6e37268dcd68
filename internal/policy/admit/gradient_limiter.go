package admit

import (
	"math"
	"time"
)

const (
	// longSmoothing and recentSmoothing are the weights of a sample in the long-term and the recent average of the
	// latency. With exponential service times the recent average varies by about a quarter, well within
	// latencyTolerance.
	longSmoothing   = 0.01
	recentSmoothing = 0.1
	// latencyTolerance is the ratio of the recent to the long-term average above which the limit falls.
	latencyTolerance = 2.0
	// minGradient is the smallest factor by which a completed call changes the limit, and shedFactor the factor by
	// which a shed call changes it.
	minGradient = 0.9
	shedFactor  = 0.8
	// minLimitShare is the fraction of the slots below which latency alone does not lower the limit; only
	// refusals by the target do. On a fast target a stall of 10 ms looks like a rise in latency; without this
	// bound it lowered the limit to 1, which caused queueing delays of 50 ms.
	minLimitShare = 0.5
)

// A gradientLimiter adjusts the limit on calls in flight between 1 and the number of slots, by the ratio of the
// long-term to the recent latency.
type gradientLimiter struct {
	slots         float64
	limit         float64 // fractional, so that small changes add up
	longAverage   float64 // nanoseconds
	recentAverage float64
	lastShedAt    time.Time
}

func newGradientLimiter(slots int) *gradientLimiter {
	n := float64(max(slots, 1))
	return &gradientLimiter{slots: n, limit: n}
}

func (l *gradientLimiter) setSlots(slots int) {
	n := float64(max(slots, 1))
	if l.limit == l.slots {
		l.limit = n
	}
	l.slots, l.limit = n, min(l.limit, n)
}

// addSample records the service time of a completed call. The limit grows only while at least half of it is in use.
func (l *gradientLimiter) addSample(took time.Duration, inFlight int) {
	v := float64(took)
	if l.longAverage == 0 {
		l.longAverage, l.recentAverage = v, v
		return
	}
	l.longAverage += longSmoothing * (v - l.longAverage)
	l.recentAverage += recentSmoothing * (v - l.recentAverage)
	if l.longAverage > latencyTolerance*l.recentAverage {
		// After a slow period, decay the long-term average faster. Otherwise it would hide a new rise in latency
		// for hundreds of calls.
		l.longAverage *= 0.95
	}
	gradient := max(minGradient, min(1, latencyTolerance*l.longAverage/l.recentAverage))
	switch {
	case gradient < 1:
		l.limit = min(l.limit, max(l.limit*gradient, l.slots*minLimitShare))
	case float64(inFlight)*2 >= l.limit:
		l.limit += 1 / l.limit
	}
	l.limit = max(1, min(l.limit, l.slots))
}

// recordShed lowers the limit after the target has refused a call. A burst of refusals within the mean service time
// lowers it only once.
func (l *gradientLimiter) recordShed(now time.Time) {
	if now.Sub(l.lastShedAt) < l.meanServiceTime() {
		return
	}
	l.lastShedAt = now
	l.limit = max(1, l.limit*shedFactor)
}

// current returns the limit as a whole number of calls.
func (l *gradientLimiter) current() int { return int(math.Floor(l.limit + 1e-9)) }

// meanServiceTime returns the recent average of the service times.
func (l *gradientLimiter) meanServiceTime() time.Duration { return time.Duration(l.recentAverage) }
