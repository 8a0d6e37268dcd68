// Package pause recognises that the process was stopped for a while and resumed late.
package pause

import "time"

const (
	// Interval is the time between the ticks of a task loop.
	Interval = 100 * time.Millisecond
	// Threshold is the gap that counts as a pause. A call can run past its deadline by as much, while
	// a gap that is no pause makes the router hold new calls for up to 500 ms and discard loads. It is
	// above the largest gap measured on an overloaded machine, 432 ms (docs/results.md, Pauses).
	Threshold = 500 * time.Millisecond
)

// A Detector finds gaps between the times at which a task loop was seen to run. After one, what the
// task holds is as old as the gap: queued calls may have expired, deadlines must be compared
// again before dispatch, and loads and ejections no longer hold.
type Detector struct{ last time.Time }

// NewDetector returns a Detector that starts at now.
func NewDetector(now time.Time) Detector { return Detector{last: now} }

// Seen notes that the loop runs at now, and returns the length of the gap before it when that was a pause.
// The loop calls it before each message, not only on ticks: after a pause a message may be read first.
func (d *Detector) Seen(now time.Time) (time.Duration, bool) {
	gap := now.Sub(d.last)
	d.last = now
	return gap, gap > Threshold
}
