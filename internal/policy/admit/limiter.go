package admit

import "time"

// A limiter holds the state from which the limit on calls in flight is derived. It is a *gradientLimiter or a
// *kneeLimiter.
type limiter interface{ limiter() }

func (*gradientLimiter) limiter() {}
func (*kneeLimiter) limiter()     {}

// SetSlots changes the declared number of slots of the target.
func (g *Gate) SetSlots(slots int) {
	switch l := g.limiter.(type) {
	case *gradientLimiter:
		l.setSlots(slots)
	case *kneeLimiter:
		l.slots = max(slots, 1)
	}
}

// addSample records a run: its service time, its duration relative to the mean of its route, and the largest
// number of calls in flight with it.
func (g *Gate) addSample(serviceTime time.Duration, relativeDuration float64, inFlight int) {
	switch l := g.limiter.(type) {
	case *gradientLimiter:
		l.addSample(serviceTime, inFlight)
	case *kneeLimiter:
		l.addSample(serviceTime, relativeDuration, inFlight)
	}
}

// recordShed records that the target has refused a call. A gate that relies on the declared slots ignores this, since
// the target may have refused the call for another reason.
func (g *Gate) recordShed(now time.Time) {
	if l, ok := g.limiter.(*gradientLimiter); ok {
		l.recordShed(now)
	}
}

// slots returns the declared number of slots, at least 1. The limit never exceeds it.
func (g *Gate) slots() int {
	switch l := g.limiter.(type) {
	case *gradientLimiter:
		return int(l.slots)
	case *kneeLimiter:
		return l.slots
	}
	return 1
}

// Limit returns how many calls may be in flight at present.
func (g *Gate) Limit() int {
	switch l := g.limiter.(type) {
	case *gradientLimiter:
		return l.current()
	case *kneeLimiter:
		return l.current()
	}
	return 1
}

// MeanServiceTime returns the moving average of the service times of all calls, normalized to a slowness of 1.
func (g *Gate) MeanServiceTime() time.Duration {
	switch l := g.limiter.(type) {
	case *gradientLimiter:
		return l.meanServiceTime()
	case *kneeLimiter:
		return time.Duration(l.meanServiceTime)
	}
	return 0
}
