package pause

import "time"

const (
	// Window is the time after a pause during which sockets may still hold data that arrived during the pause.
	// Readers need a few milliseconds to drain them, or some 100 ms on a busy machine.
	Window = 200 * time.Millisecond
	// Settle is how long a call with an inexact arrival time is held before it is passed on, so that the reader
	// of its connection can notice whether the other end has closed it meanwhile.
	Settle = 50 * time.Millisecond
)

// Ticks records regular ticks, from which it is inferred when bytes read from a socket may have arrived. Time
// for which the machine is suspended counts as part of a pause, although the monotonic clock does not advance.
type Ticks struct {
	// lastTick is the time of the last tick, and totalSuspended the total time that the machine had been
	// suspended by then.
	lastTick       time.Time
	totalSuspended time.Duration
	// beforePause and resumedAt are the ticks before and after the last pause, or zero if there was none. The
	// length of a suspension is subtracted from beforePause, because the monotonic clock leaves it out.
	beforePause, resumedAt time.Time
}

// NewTicks returns a record whose first tick is now. totalSuspended is the time for which the machine has been
// suspended so far.
func NewTicks(now time.Time, totalSuspended time.Duration) Ticks {
	return Ticks{lastTick: now, totalSuspended: totalSuspended}
}

// Next returns the record after a further tick at now.
func (t Ticks) Next(now time.Time, totalSuspended time.Duration) Ticks {
	suspendedFor := totalSuspended - t.totalSuspended
	if now.Sub(t.lastTick)+suspendedFor > Threshold {
		// If the window of an earlier pause was still open, the sockets may also hold data from that pause.
		if t.resumedAt.IsZero() || t.lastTick.Sub(t.resumedAt) >= Window {
			t.beforePause = t.lastTick
		}
		t.beforePause = t.beforePause.Add(-suspendedFor)
		t.resumedAt = now
	}
	t.lastTick, t.totalSuspended = now, totalSuspended
	return t
}

// Slept returns how long the machine has been suspended since the last tick.
func (t Ticks) Slept(totalSuspended time.Duration) time.Duration {
	return totalSuspended - t.totalSuspended
}

// Shifted reports whether the wall clock has advanced further than the monotonic clock since the last tick.
// This happens when the wall clock is set and when the machine is suspended.
func (t Ticks) Shifted(now time.Time) bool {
	wall, monotonic := now.Round(0).Sub(t.lastTick.Round(0)), now.Sub(t.lastTick)
	return wall-monotonic > Threshold
}

// Suspended returns the total time that the machine had been suspended by the last tick.
func (t Ticks) Suspended() time.Duration { return t.totalSuspended }

// Arrival returns the earliest time at which bytes read from a socket may have arrived, and whether that time
// is exact. Outside the window of a pause, it is the time of the read. Within it, it is the last tick before
// the pause and not exact.
func (t Ticks) Arrival(read time.Time, totalSuspended time.Duration) (arrived time.Time, exact bool) {
	if t.lastTick.IsZero() {
		return read, true
	}
	// After a pause, readers may run before the tick that ends it.
	if read.Sub(t.lastTick)+t.Slept(totalSuspended) > Threshold {
		t = t.Next(read, totalSuspended)
	}
	if t.resumedAt.IsZero() || read.Sub(t.resumedAt) >= Window {
		return read, true
	}
	return t.beforePause, false
}
