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

// Ticks are the times of regular ticks that tell when bytes read from a socket may have arrived.
type Ticks struct {
	// last is the last tick.
	last time.Time
	// before and resumed are the ticks around the last pause, and zero when there was none.
	before, resumed time.Time
}

// NewTicks returns Ticks that start at now.
func NewTicks(now time.Time) Ticks { return Ticks{last: now} }

// Next returns the Ticks after a tick at now.
func (t Ticks) Next(now time.Time) Ticks {
	if now.Sub(t.last) > Threshold {
		// When the window of an earlier pause was still open, the sockets may hold what arrived during that one.
		if t.resumed.IsZero() || t.last.Sub(t.resumed) >= Window {
			t.before = t.last
		}
		t.resumed = now
	}
	t.last = now
	return t
}

// Arrival returns the earliest time at which bytes read from a socket may have arrived, and
// whether that is the time of the read. After a pause, it is the last tick before the pause.
func (t Ticks) Arrival(read time.Time) (arrived time.Time, exact bool) {
	if t.last.IsZero() {
		return read, true
	}
	// The readers may run before the tick that ends a pause.
	t = t.upTo(read)
	if t.resumed.IsZero() || read.Sub(t.resumed) >= Window {
		return read, true
	}
	return t.before, false
}

func (t Ticks) upTo(read time.Time) Ticks {
	if read.Sub(t.last) > Threshold {
		return t.Next(read)
	}
	return t
}
