package link_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/task/link"
)

// TestTransitClock guards against a delay that is missed, and against one that is measured because the clocks of two VMs
// differ.
func TestTransitClock(t *testing.T) {
	type message struct{ sent, received, want time.Duration }
	const s, ms = time.Second, time.Millisecond
	for _, test := range []struct {
		name     string
		messages []message
	}{
		{"the receiver has run for longer", []message{{10 * s, 500 * s, 0}, {11 * s, 501 * s, 0}, {12 * s, 502*s + 900*ms, 900 * ms}}},
		{"the sender has run for longer", []message{{500 * s, 10 * s, 0}, {501 * s, 11*s + 5*ms, 5 * ms}}},
		{"the first message was slow", []message{{10 * s, 10*s + 800*ms, 0}, {11 * s, 11 * s, 0}, {12 * s, 12*s + 300*ms, 300 * ms}}},
		{"the clocks drift apart", []message{{10 * s, 10 * s, 0}, {40 * s, 40*s + 3*ms, 3 * ms}, {70 * s, 70*s + 6*ms, 3 * ms}, {100 * s, 100*s + 9*ms, 3 * ms}}},
		{"the clock of the sender stood still", []message{{10 * s, 10 * s, 0}, {11 * s, 16 * s, 5 * s}, {40 * s, 45 * s, 5 * s}, {71 * s, 76 * s, 0}}},
		{"no message for long", []message{{10 * s, 10 * s, 0}, {500 * s, 501 * s, 0}}},
		{"the time of sending is unknown", []message{{10 * s, 10 * s, 0}, {0, 50 * s, 0}, {11 * s, 11*s + ms, ms}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := link.NewTransitClock()
			for _, m := range test.messages {
				qt.Assert(t, c.Delay(m.sent, m.received), qt.Equals, m.want)
			}
		})
	}
}
