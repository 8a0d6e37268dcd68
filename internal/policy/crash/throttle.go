package crash

import "time"

// maxCrashes is the number of crashes of a target within crashPeriod that are recorded. Something between a daemon and its
// target that closes each connection looks like a target that crashes many times a second.
const (
	maxCrashes  = 2
	crashPeriod = time.Second
)

// A Throttle limits the crashes of a target that are recorded.
type Throttle struct{ recorded []time.Time }

// Allow reports whether to record a crash, and counts it if so.
func (h *Throttle) Allow(now time.Time) bool {
	if n := len(h.recorded); n == maxCrashes {
		if now.Sub(h.recorded[0]) < crashPeriod {
			return false
		}
		h.recorded = h.recorded[1:]
	}
	h.recorded = append(h.recorded, now)
	return true
}
