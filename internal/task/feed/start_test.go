package feed

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/fleet/roster"
)

// Guards against a start that costs the store more than a stale read, or that misses what came after it.
func TestStartReadsStaleAndFollows(t *testing.T) {
	reads, _ := reader()
	b := newBench(t, reads)
	q := b.question()
	qt.Assert(t, q.whole && q.stale, qt.IsTrue)
	q.answer <- roster.Snapshot{Changes: on(3, 1, 2), Revision: 3}
	qt.Assert(t, b.release().Targets, qt.HasLen, 2)
	q = b.question()
	qt.Assert(t, q.whole, qt.IsFalse)
	qt.Assert(t, q.after, qt.Equals, roster.Revision(3))
	q.answer <- roster.Changes{Changes: on(5, 3), Revision: 5}
	qt.Assert(t, b.release().Targets, qt.HasLen, 3)
	qt.Assert(t, b.question().after, qt.Equals, roster.Revision(5))
}

// Guards against watches of all daemons that start together, which return with the entry of each target, and against a
// daemon that goes on without a watch where there are no targets.
func TestEmptyStoreIsReadAgain(t *testing.T) {
	reads, _ := reader()
	for _, test := range []struct {
		name string
		// empty is how many reads find no target.
		empty int
	}{
		{"targets register soon", 2},
		{"no targets", maxEmptyReads},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t, reads)
			var last time.Time
			for i := range test.empty {
				q := b.question()
				qt.Assert(t, q.whole && q.stale, qt.IsTrue, qt.Commentf("read %d", i))
				qt.Assert(t, i == 0 || time.Since(last) >= emptyGap, qt.IsTrue, qt.Commentf("read %d after %s", i, time.Since(last)))
				last = time.Now()
				q.answer <- roster.Snapshot{Revision: roster.Revision(i + 1)}
			}
			if test.empty < maxEmptyReads {
				b.question().answer <- roster.Snapshot{Changes: on(9, 1, 2), Revision: 9}
			}
			qt.Assert(t, b.question().whole, qt.IsFalse)
		})
	}
}
