package admit

import "time"

// A limiter decides how many calls may be in flight: a gradient or a knee.
type limiter interface{ limiter() }

func (*gradient) limiter() {}
func (*knee) limiter()     {}

// SetSlots changes the number of slots.
func (g *Gate) SetSlots(slots int) {
	switch l := g.limiter.(type) {
	case *gradient:
		l.setSlots(slots)
	case *knee:
		l.slots = max(slots, 1)
	}
}

// sample takes a run: its work, its stretch against others of its kind, and the most calls that were in flight with it.
func (g *Gate) sample(work time.Duration, stretch float64, inFlight int) {
	switch l := g.limiter.(type) {
	case *gradient:
		l.sample(work, inFlight)
	case *knee:
		l.sample(work, stretch, inFlight)
	}
}

// shed takes the refusal of a call by the target. It says nothing of slots that are trusted: the target may have had
// another reason.
func (g *Gate) shed(now time.Time) {
	if l, ok := g.limiter.(*gradient); ok {
		l.shed(now)
	}
}

// slots returns how many calls may be in flight at the most.
func (g *Gate) slots() int {
	switch l := g.limiter.(type) {
	case *gradient:
		return int(l.slots)
	case *knee:
		return l.slots
	}
	return 1
}

// Limit returns how many calls may be in flight.
func (g *Gate) Limit() int {
	switch l := g.limiter.(type) {
	case *gradient:
		return l.current()
	case *knee:
		return l.current()
	}
	return 1
}

// Latency returns the smoothed latency of the target.
func (g *Gate) Latency() time.Duration {
	switch l := g.limiter.(type) {
	case *gradient:
		return l.latency()
	case *knee:
		return time.Duration(l.work)
	}
	return 0
}
