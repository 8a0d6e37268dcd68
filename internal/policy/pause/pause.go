// Package pause detects that the process did not run for a while, and estimates the arrival time of data that it
// reads afterwards.
package pause

import "time"

const (
	// TickInterval is the time between ticks of a task loop.
	TickInterval = 100 * time.Millisecond
	// Threshold is the gap above which a pause is assumed. Calls can exceed their deadline by that much. A gap
	// wrongly taken for a pause makes the router delay new calls for up to 500 ms and clear its load estimates,
	// so the value is above 432 ms, the largest gap measured on an overloaded machine.
	Threshold = 500 * time.Millisecond
)

// A Detector detects gaps in the execution of a task loop. After a gap, the state of the task is out of date:
// queued calls may have expired, deadlines must be checked again before dispatch, and load estimates and ejections no
// longer apply.
type Detector struct{ lastRun time.Time }

// NewDetector returns a Detector that starts at now.
func NewDetector(now time.Time) Detector { return Detector{lastRun: now} }

// RecordRun records that the loop runs at now. It returns the time since the previous call and whether that was a
// pause. The loop calls it before each message, not only on ticks, because a message may be read before the
// first tick after a pause.
func (d *Detector) RecordRun(now time.Time) (time.Duration, bool) {
	gap := now.Sub(d.lastRun)
	d.lastRun = now
	return gap, gap > Threshold
}
