package feed

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/fleet/roster"
)

// Guards against a daemon that reads more than one stale snapshot from the store at its start, or that misses the
// changes after it.
func TestStartReadsOneStaleSnapshot(t *testing.T) {
	reader, _ := readerAndFollower()
	h := newHarness(t, reader)
	q := h.nextStoreCall()
	qt.Assert(t, q.snapshot && q.stale, qt.IsTrue)
	q.answer <- roster.Snapshot{Changes: registrations(3, 1, 2), Revision: 3}
	qt.Assert(t, h.nextRelease().Targets, qt.HasLen, 2)
	q = h.nextStoreCall()
	qt.Assert(t, q.snapshot, qt.IsFalse)
	qt.Assert(t, q.after, qt.Equals, roster.Revision(3))
	q.answer <- roster.Changes{Changes: registrations(5, 3), Revision: 5}
	qt.Assert(t, h.nextRelease().Targets, qt.HasLen, 3)
	qt.Assert(t, h.nextStoreCall().after, qt.Equals, roster.Revision(5))
}

// Guards against daemons that start together and all watch an empty store, so that each new entry ends the watches of
// all of them, and against a daemon that never starts a watch when there are no targets.
func TestEmptyStoreIsReadAgain(t *testing.T) {
	reader, _ := readerAndFollower()
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
			h := newHarness(t, reader)
			var last time.Time
			for i := range test.empty {
				q := h.nextStoreCall()
				qt.Assert(t, q.snapshot && q.stale, qt.IsTrue, qt.Commentf("read %d", i))
				qt.Assert(t, i == 0 || time.Since(last) >= emptyReadInterval, qt.IsTrue, qt.Commentf("read %d after %s", i, time.Since(last)))
				last = time.Now()
				q.answer <- roster.Snapshot{Revision: roster.Revision(i + 1)}
			}
			if test.empty < maxEmptyReads {
				h.nextStoreCall().answer <- roster.Snapshot{Changes: registrations(9, 1, 2), Revision: 9}
			}
			qt.Assert(t, h.nextStoreCall().snapshot, qt.IsFalse)
		})
	}
}
