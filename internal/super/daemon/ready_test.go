package daemon

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
)

// TestReady guards against a daemon that reports readiness before it listens for callers, before it has a release with
// services, or during a planned stop.
func TestReady(t *testing.T) {
	served := note.NewRelease()
	served.Services = map[ident.Service]note.Service{"a": {}}
	for _, test := range []struct {
		name      string
		listening bool
		release   *note.Release
		draining  bool
		want      bool
	}{
		{"all conditions met", true, served, false, true},
		{"not listening", false, served, false, false},
		{"no release", true, nil, false, false},
		{"release without services", true, note.NewRelease(), false, false},
		{"stopping", true, served, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			st := newSharedState()
			st.listening.Store(test.listening)
			st.release.Store(test.release)
			st.draining.Store(test.draining)
			qt.Assert(t, st.ready(), qt.Equals, test.want)
		})
	}
}
