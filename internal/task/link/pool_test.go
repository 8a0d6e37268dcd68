package link

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func closed(s *callStream) bool {
	select {
	case _, ok := <-s.calls:
		return !ok
	default:
		return false
	}
}

// Guards against keeping idle streams that no call needs, and against closing idle streams that calls need.
func TestTrimClosesUnusedStreams(t *testing.T) {
	for _, test := range []struct {
		name string
		// idle is the number of streams in the pool, taken is the number of them that are in use at the same time between
		// two trims, and want is the number that remain after the second trim.
		idle, taken, want int
	}{
		{"none used", 5, 0, 0},
		{"some used", 5, 2, 2},
		{"all used", 5, 5, 5},
		{"none kept", 0, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			var p streamPool
			for range test.idle {
				p.put(newCallStream())
			}
			p.trim()
			qt.Assert(t, len(p.idle), qt.Equals, test.idle)
			var taken []*callStream
			for range test.taken {
				taken = append(taken, p.take())
			}
			for _, s := range taken {
				p.put(s)
			}
			all := append([]*callStream(nil), p.idle...)
			p.trim()
			qt.Assert(t, len(p.idle), qt.Equals, test.want)
			open := 0
			for _, s := range all {
				if !closed(s) {
					open++
				}
			}
			qt.Assert(t, open, qt.Equals, test.want)
		})
	}
}

// Guards against an unbounded number of idle streams.
func TestIdleStreamsAreBounded(t *testing.T) {
	var p streamPool
	for range maxIdleStreams {
		p.put(newCallStream())
	}
	s := newCallStream()
	p.put(s)
	qt.Assert(t, closed(s), qt.IsTrue)
	qt.Assert(t, len(p.idle), qt.Equals, maxIdleStreams)
}
