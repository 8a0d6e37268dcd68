package pause

import "time"

const (
	// ArrivalWindow is the time after a pause during which sockets may still hold data that arrived during the pause.
	// Readers need a few milliseconds to drain them, or some 100 ms on a busy machine.
	ArrivalWindow = 200 * time.Millisecond
	// InexactArrivalDelay is how long a call with an inexact arrival time is held before it is passed on, so that the reader
	// of its connection can first notice that the other end has closed the connection in the meantime.
	InexactArrivalDelay = 50 * time.Millisecond
)

// A TickRecord keeps the time of the last regular tick and of the last process pause. From them it infers when bytes
// read from a socket may have arrived. Time for which the machine is suspended counts as part of a pause, although
// the monotonic clock does not advance.
type TickRecord struct {
	// lastTick is the time of the last tick, and totalSuspended the total time that the machine had been
	// suspended by then.
	lastTick       time.Time
	totalSuspended time.Duration
	// beforePause is the last tick before the last pause, minus the time for which the machine was suspended during
	// the pause, since the monotonic clock stands still then. resumedAt is the first tick after the pause. Both are
	// zero if there was no pause.
	beforePause, resumedAt time.Time
}

// NewTickRecord returns a record whose first tick is now. totalSuspended is the time for which the machine has been
// suspended so far.
func NewTickRecord(now time.Time, totalSuspended time.Duration) TickRecord {
	return TickRecord{lastTick: now, totalSuspended: totalSuspended}
}

// WithTick returns the updated record after a further tick at now.
func (t TickRecord) WithTick(now time.Time, totalSuspended time.Duration) TickRecord {
	suspendedFor := totalSuspended - t.totalSuspended
	if now.Sub(t.lastTick)+suspendedFor > Threshold {
		// If less than ArrivalWindow had passed since an earlier pause, the sockets may also hold data from that
		// pause, so beforePause stays at the tick before the earlier pause.
		if t.resumedAt.IsZero() || t.lastTick.Sub(t.resumedAt) >= ArrivalWindow {
			t.beforePause = t.lastTick
		}
		t.beforePause = t.beforePause.Add(-suspendedFor)
		t.resumedAt = now
	}
	t.lastTick, t.totalSuspended = now, totalSuspended
	return t
}

// SuspendedSinceTick returns how long the machine has been suspended since the last tick.
func (t TickRecord) SuspendedSinceTick(totalSuspended time.Duration) time.Duration {
	return totalSuspended - t.totalSuspended
}

// WallClockJumpedForward reports whether, since the last tick, the wall clock has advanced by more than Threshold further
// than the monotonic clock. This happens when the wall clock is set forward and when the machine is suspended.
func (t TickRecord) WallClockJumpedForward(now time.Time) bool {
	wall, monotonic := now.Round(0).Sub(t.lastTick.Round(0)), now.Sub(t.lastTick)
	return wall-monotonic > Threshold
}

// TotalSuspended returns the total time that the machine had been suspended by the last tick.
func (t TickRecord) TotalSuspended() time.Duration { return t.totalSuspended }

// Arrival returns the earliest time at which bytes read from a socket may have arrived, and whether that time is
// exact. Within ArrivalWindow after a pause, the time is the last tick before the pause and not exact. Otherwise it
// is the time of the read.
func (t TickRecord) Arrival(read time.Time, totalSuspended time.Duration) (arrived time.Time, exact bool) {
	if t.lastTick.IsZero() {
		return read, true
	}
	// After a pause, readers may run before the tick that ends it.
	if read.Sub(t.lastTick)+t.SuspendedSinceTick(totalSuspended) > Threshold {
		t = t.WithTick(read, totalSuspended)
	}
	if t.resumedAt.IsZero() || read.Sub(t.resumedAt) >= ArrivalWindow {
		return read, true
	}
	return t.beforePause, false
}
