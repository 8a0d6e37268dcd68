package pause

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestArrival guards against deadlines that count from a read after a pause, and against calls
// outside the window of a pause that are taken for old ones.
func TestArrival(t *testing.T) {
	const long = 3 * time.Second
	tests := []struct {
		name string
		// ticks and read are offsets from the start.
		ticks []time.Duration
		read  time.Duration
		want  time.Duration
		exact bool
	}{
		{"no pause", []time.Duration{Interval}, 2 * Interval, 2 * Interval, true},
		{"late tick", []time.Duration{Interval}, Interval + Threshold, Interval + Threshold, true},
		{"read before the tick that ends the pause", []time.Duration{Interval}, long, Interval, false},
		{"read after the tick that ends the pause", []time.Duration{Interval, long}, long + Window/2, Interval, false},
		{"read after the window", []time.Duration{Interval, long, long + Interval, long + Window}, long + Window, long + Window, true},
		{"second pause within the window", []time.Duration{Interval, long, long + Interval, 2 * long}, 2 * long, Interval, false},
		{"second pause after the window", []time.Duration{Interval, long, long + Window, 2 * long}, 2 * long, long + Window, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			ticks := NewTicks(start, 0)
			for _, at := range test.ticks {
				ticks = ticks.Next(start.Add(at), 0)
			}
			arrived, exact := ticks.Arrival(start.Add(test.read), 0)
			qt.Assert(t, arrived.Sub(start), qt.Equals, test.want)
			qt.Assert(t, exact, qt.Equals, test.exact)
		})
	}
}

// Guards against deadlines that count from a read after a suspension of the machine, which the steady clock does not
// show, and against a time of day that was set and is taken for one.
func TestArrivalAfterSuspension(t *testing.T) {
	const slept = 3 * time.Second
	for _, test := range []struct {
		name string
		// ticked says that a tick has followed the suspension of a length before the read at an offset.
		ticked bool
		slept  time.Duration
		read   time.Duration
		want   time.Duration
		exact  bool
	}{
		{"none", false, 0, 50 * time.Millisecond, 50 * time.Millisecond, true},
		{"short", false, Threshold / 2, 50 * time.Millisecond, 50 * time.Millisecond, true},
		{"read before the tick", false, slept, 50 * time.Millisecond, -slept, false},
		{"read after the tick", true, slept, Interval + Window/2, -slept, false},
		{"read after the window", true, slept, Interval + Window, Interval + Window, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			ticks := NewTicks(start, time.Minute)
			if test.ticked {
				ticks = ticks.Next(start.Add(Interval), time.Minute+test.slept)
			}
			arrived, exact := ticks.Arrival(start.Add(test.read), time.Minute+test.slept)
			qt.Assert(t, arrived.Sub(start), qt.Equals, test.want)
			qt.Assert(t, exact, qt.Equals, test.exact)
		})
	}
}
