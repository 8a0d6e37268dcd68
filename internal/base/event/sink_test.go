package event

import (
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSinkNeverBlocks guards against tasks that wait for the reader of the log, and against lines that are lost without
// being counted.
func TestSinkNeverBlocks(t *testing.T) {
	const extra = 10
	s := &sink{lines: make(chan []byte, maxQueuedLines)}
	var _ io.Writer = s
	line := []byte("line")
	for range maxQueuedLines + extra {
		n, err := s.Write(line)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n, qt.Equals, len(line))
	}
	qt.Assert(t, s.dropped.Load(), qt.Equals, int64(extra))
	// klog reuses its buffer.
	copy(line, "LINE")
	qt.Assert(t, string(<-s.lines), qt.Equals, "line")
}

// TestDecisionRateLimit guards against an unlimited rate of log lines about single calls, and against a limit that
// blocks them for good after a burst or after the clock was set back.
func TestDecisionRateLimit(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name string
		// after is the time between using up the burst and the next lines.
		after time.Duration
		want  int
	}{
		{"at once", 0, 0},
		{"half a second later", time.Second / 2, decisionLinesPerSecond / 2},
		{"a minute later", time.Minute, decisionLineBurst},
		{"clock set back", -time.Minute, decisionLineBurst},
	} {
		t.Run(test.name, func(t *testing.T) {
			var b tokenBucket
			taken := func(at time.Time) int {
				n := 0
				for b.take(at) {
					n++
				}
				return n
			}
			qt.Assert(t, taken(start), qt.Equals, decisionLineBurst)
			qt.Assert(t, taken(start.Add(test.after)), qt.Equals, test.want)
		})
	}
}
