package pause

import "time"

const (
	// Window is the time after a pause in which the sockets may still hold what arrived during it.
	// Readers need a few milliseconds to drain them; a busy machine delays them by some 100 ms.
	Window = 200 * time.Millisecond
	// Settle is how long a call of unknown arrival waits before it is passed on, so that the reader
	// of its connection sees whether the other end has closed it meanwhile.
	Settle = 50 * time.Millisecond
)

// Ticks are the times of regular ticks that tell when bytes read from a socket may have arrived. A machine that is
// suspended counts that time as part of a pause, although its steady clock does not.
type Ticks struct {
	// last is the last tick, and suspended for how long the machine had been suspended in all then.
	last      time.Time
	suspended time.Duration
	// before and resumed are the ticks around the last pause, and zero when there was none. A suspension lies
	// between before and its tick.
	before, resumed time.Time
}

// NewTicks returns Ticks that start at now, at a machine that has been suspended for a time in all.
func NewTicks(now time.Time, suspended time.Duration) Ticks {
	return Ticks{last: now, suspended: suspended}
}

// Next returns the Ticks after a tick at now.
func (t Ticks) Next(now time.Time, suspended time.Duration) Ticks {
	slept := suspended - t.suspended
	if now.Sub(t.last)+slept > Threshold {
		// When the window of an earlier pause was still open, the sockets may hold what arrived during that one.
		if t.resumed.IsZero() || t.last.Sub(t.resumed) >= Window {
			t.before = t.last
		}
		t.before = t.before.Add(-slept)
		t.resumed = now
	}
	t.last, t.suspended = now, suspended
	return t
}

// Slept returns for how long the machine has been suspended since the last tick.
func (t Ticks) Slept(suspended time.Duration) time.Duration { return suspended - t.suspended }

// Shifted reports whether the time of day has moved on further than the steady clock since the last tick, as it does
// when it is set or when the machine is suspended.
func (t Ticks) Shifted(read time.Time) bool {
	ofDay, steady := read.Round(0).Sub(t.last.Round(0)), read.Sub(t.last)
	return ofDay-steady > Threshold
}

// Suspended returns for how long the machine had been suspended in all at the last tick.
func (t Ticks) Suspended() time.Duration { return t.suspended }

// Arrival returns the earliest time at which bytes read from a socket may have arrived, and
// whether that is the time of the read. After a pause, it is the last tick before the pause.
func (t Ticks) Arrival(read time.Time, suspended time.Duration) (arrived time.Time, exact bool) {
	if t.last.IsZero() {
		return read, true
	}
	// The readers may run before the tick that ends a pause.
	if read.Sub(t.last)+t.Slept(suspended) > Threshold {
		t = t.Next(read, suspended)
	}
	if t.resumed.IsZero() || read.Sub(t.resumed) >= Window {
		return read, true
	}
	return t.before, false
}
