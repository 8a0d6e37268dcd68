package pause

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestArrival guards against deadlines that are counted from a read after a pause although the data arrived earlier,
// and against an earlier arrival time for calls that were read later than ArrivalWindow after a pause.
func TestArrival(t *testing.T) {
	const long = 3 * time.Second
	tests := []struct {
		name string
		// ticks and read are offsets from the start of the test.
		ticks []time.Duration
		read  time.Duration
		want  time.Duration
		exact bool
	}{
		{"no pause", []time.Duration{TickInterval}, 2 * TickInterval, 2 * TickInterval, true},
		{"late tick", []time.Duration{TickInterval}, TickInterval + Threshold, TickInterval + Threshold, true},
		{"read before the tick that ends the pause", []time.Duration{TickInterval}, long, TickInterval, false},
		{"read after the tick that ends the pause", []time.Duration{TickInterval, long}, long + ArrivalWindow/2, TickInterval, false},
		{"read after the window", []time.Duration{TickInterval, long, long + TickInterval, long + ArrivalWindow}, long + ArrivalWindow, long + ArrivalWindow, true},
		{"second pause within the window", []time.Duration{TickInterval, long, long + TickInterval, 2 * long}, 2 * long, TickInterval, false},
		{"second pause after the window", []time.Duration{TickInterval, long, long + ArrivalWindow, 2 * long}, 2 * long, long + ArrivalWindow, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			ticks := NewTickRecord(start, 0)
			for _, at := range test.ticks {
				ticks = ticks.WithTick(start.Add(at), 0)
			}
			arrived, exact := ticks.Arrival(start.Add(test.read), 0)
			qt.Assert(t, arrived.Sub(start), qt.Equals, test.want)
			qt.Assert(t, exact, qt.Equals, test.exact)
		})
	}
}

// TestArrivalAfterSuspension guards against deadlines that are counted from a read after the machine was suspended,
// which the monotonic clock does not show.
func TestArrivalAfterSuspension(t *testing.T) {
	const suspension = 3 * time.Second
	for _, test := range []struct {
		name string
		// tickBeforeRead adds a tick between the suspension and the read.
		tickBeforeRead bool
		suspendedFor   time.Duration
		read           time.Duration
		want           time.Duration
		exact          bool
	}{
		{"no suspension", false, 0, 50 * time.Millisecond, 50 * time.Millisecond, true},
		{"suspension below the threshold", false, Threshold / 2, 50 * time.Millisecond, 50 * time.Millisecond, true},
		{"read before the tick", false, suspension, 50 * time.Millisecond, -suspension, false},
		{"read after the tick", true, suspension, TickInterval + ArrivalWindow/2, -suspension, false},
		{"read after the window", true, suspension, TickInterval + ArrivalWindow, TickInterval + ArrivalWindow, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			ticks := NewTickRecord(start, time.Minute)
			if test.tickBeforeRead {
				ticks = ticks.WithTick(start.Add(TickInterval), time.Minute+test.suspendedFor)
			}
			arrived, exact := ticks.Arrival(start.Add(test.read), time.Minute+test.suspendedFor)
			qt.Assert(t, arrived.Sub(start), qt.Equals, test.want)
			qt.Assert(t, exact, qt.Equals, test.exact)
		})
	}
}
