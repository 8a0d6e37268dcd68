package feed

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"jacinthcross/internal/fleet/roster"
)

// Guards against an answer of the store whose handling fails and ends the process, or ends the reads of the store.
func TestReadGoesOnAfterFailure(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer any
	}{
		{"panic", func() { panic("test") }},
		{"error", errors.New("test")},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 1)
			q := h.nextStoreCall()
			qt.Assert(t, q.snapshot, qt.IsTrue)
			q.answer <- test.answer
			q = h.nextStoreCall()
			qt.Assert(t, q.snapshot, qt.IsTrue)
			q.answer <- roster.Snapshot{Changes: registrations(3, 1, 2), Revision: 3}
			select {
			case r := <-h.releases:
				qt.Assert(t, r.Head.Serial > 0, qt.IsTrue)
			case <-time.After(testTimeout):
				t.Fatal("no release after the failure")
			}
		})
	}
}
