package admit

import (
	"math"
	"time"
)

const (
	// smoothing of the long and of the recent average of the latency. With exponential service
	// times the recent average then varies by about a quarter, far from the tolerance.
	longSmoothing   = 0.01
	recentSmoothing = 0.1
	// tolerance is how far the recent latency may rise above the long average before the limit falls.
	tolerance = 2.0
	// minGradient bounds the fall of the limit by one completion, and shedFactor that by one shed call.
	minGradient = 0.9
	shedFactor  = 0.8
	// latencyFloor is the part of the slots below which latency alone does not lower the limit. A stall of
	// 10 ms looks like a rise of the latency of a fast target, and a limit of 1 made of it queues of 50 ms.
	latencyFloor = 0.5
)

// A gradient moves the number of calls that may be in flight between 1 and the number of slots, by the
// ratio of the usual to the recent latency.
type gradient struct {
	slots    float64
	limit    float64
	long     float64 // nanoseconds
	recent   float64
	shrunkAt time.Time
}

func newGradient(slots int) *gradient {
	n := float64(max(slots, 1))
	return &gradient{slots: n, limit: n}
}

func (l *gradient) setSlots(slots int) {
	n := float64(max(slots, 1))
	if l.limit == l.slots {
		l.limit = n
	}
	l.slots, l.limit = n, min(l.limit, n)
}

// sample takes the latency of a completed call. The limit grows only while it is in use.
func (l *gradient) sample(took time.Duration, inFlight int) {
	v := float64(took)
	if l.long == 0 {
		l.long, l.recent = v, v
		return
	}
	l.long += longSmoothing * (v - l.long)
	l.recent += recentSmoothing * (v - l.recent)
	if l.long > tolerance*l.recent {
		// After a slow spell the long average must not hide a new rise for hundreds of calls.
		l.long *= 0.95
	}
	gradient := max(minGradient, min(1, tolerance*l.long/l.recent))
	switch {
	case gradient < 1:
		l.limit = min(l.limit, max(l.limit*gradient, l.slots*latencyFloor))
	case float64(inFlight)*2 >= l.limit:
		l.limit += 1 / l.limit
	}
	l.limit = max(1, min(l.limit, l.slots))
}

// shed takes the refusal of a call by the target. One burst of refusals lowers the limit once.
func (l *gradient) shed(now time.Time) {
	if now.Sub(l.shrunkAt) < l.latency() {
		return
	}
	l.shrunkAt = now
	l.limit = max(1, l.limit*shedFactor)
}

// current returns the whole number of calls that may be in flight.
func (l *gradient) current() int { return int(math.Floor(l.limit + 1e-9)) }

// latency returns the smoothed latency.
func (l *gradient) latency() time.Duration { return time.Duration(l.recent) }
