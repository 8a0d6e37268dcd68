package event

import (
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a log that makes tasks wait for its reader, and against lines that are lost without a count.
func TestSinkNeverBlocks(t *testing.T) {
	const extra = 10
	s := &sink{lines: make(chan []byte, sinkLines)}
	var _ io.Writer = s
	line := []byte("line")
	for range sinkLines + extra {
		n, err := s.Write(line)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n, qt.Equals, len(line))
	}
	qt.Assert(t, s.dropped.Load(), qt.Equals, int64(extra))
	// The logger reuses its buffer.
	copy(line, "LINE")
	qt.Assert(t, string(<-s.lines), qt.Equals, "line")
}

// Guards against a volume of decisions without bound, and against one that stays closed after a burst or when the
// time of day is set back.
func TestBudgetOfDecisions(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name string
		// after is when lines are taken, once a burst has been used up at the start.
		after time.Duration
		want  int
	}{
		{"at once", 0, 0},
		{"half a second later", time.Second / 2, lineRate / 2},
		{"a minute later", time.Minute, lineBurst},
		{"clock set back", -time.Minute, lineBurst},
	} {
		t.Run(test.name, func(t *testing.T) {
			var b budget
			taken := func(at time.Time) int {
				n := 0
				for b.take(at) {
					n++
				}
				return n
			}
			qt.Assert(t, taken(start), qt.Equals, lineBurst)
			qt.Assert(t, taken(start.Add(test.after)), qt.Equals, test.want)
		})
	}
}
