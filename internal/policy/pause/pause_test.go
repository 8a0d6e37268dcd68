package pause

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRecordRun guards against pauses that are missed or reported twice, and against late ticks taken for pauses.
func TestRecordRun(t *testing.T) {
	tests := []struct {
		name string
		gaps []time.Duration
		want []bool
	}{
		{"regular ticks", []time.Duration{TickInterval, TickInterval}, []bool{false, false}},
		{"late tick", []time.Duration{Threshold}, []bool{false}},
		{"pause, once", []time.Duration{TickInterval, 3 * time.Second, 0, TickInterval}, []bool{false, true, false, false}},
		{"two pauses", []time.Duration{2 * time.Second, 2 * time.Second}, []bool{true, true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			d := NewDetector(now)
			for i, gap := range test.gaps {
				now = now.Add(gap)
				length, paused := d.RecordRun(now)
				qt.Assert(t, length, qt.Equals, gap)
				qt.Assert(t, paused, qt.Equals, test.want[i])
			}
		})
	}
}
