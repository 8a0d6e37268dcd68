package roster_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/roster"
)

func evacuated(name ident.DataCentre, revision roster.Revision) roster.Change {
	return roster.DataCentreEvacuated{DataCentre: name, Revision: revision}
}

func restored(name ident.DataCentre, revision roster.Revision) roster.Change {
	return roster.DataCentreRestored{DataCentre: name, Revision: revision}
}

func evacuatedIn(r *roster.Roster) []ident.DataCentre {
	return slices.Sorted(maps.Keys(r.Release().Evacuated))
}

// Guards against an evacuation that an older read or an older state of a peer ends or brings back, and against one that is
// missed or kept because the key was written or removed between two reads.
func TestEvacuationNeverRegresses(t *testing.T) {
	for _, test := range []struct {
		name    string
		updates []update
		want    []ident.DataCentre
	}{
		{"evacuated", []update{{changes: []roster.Change{evacuated("d", 2)}, revision: 2}}, []ident.DataCentre{"d"}},
		{"restored", []update{
			{changes: []roster.Change{evacuated("d", 2)}, revision: 2},
			{changes: []roster.Change{restored("d", 3)}, revision: 3},
		}, nil},
		{"evacuated again", []update{
			{changes: []roster.Change{evacuated("d", 2), restored("d", 3), evacuated("d", 4)}, revision: 4},
		}, []ident.DataCentre{"d"}},
		{"an older evacuation after the restore", []update{
			{changes: []roster.Change{evacuated("d", 2), restored("d", 3)}, revision: 3},
			{changes: []roster.Change{evacuated("d", 2)}, revision: 2},
		}, nil},
		{"an older restore after the second evacuation", []update{
			{changes: []roster.Change{evacuated("d", 4)}, revision: 4},
			{changes: []roster.Change{restored("d", 3)}, revision: 4},
		}, []ident.DataCentre{"d"}},
		{"two data centres, one restored", []update{
			{changes: []roster.Change{evacuated("d", 2), evacuated("e", 3)}, revision: 3},
			{changes: []roster.Change{restored("d", 4)}, revision: 4},
		}, []ident.DataCentre{"e"}},
		{"in a snapshot", []update{{changes: []roster.Change{evacuated("d", 2)}, revision: 5, snapshot: true}}, []ident.DataCentre{"d"}},
		{"missing in a snapshot", []update{
			{changes: []roster.Change{evacuated("d", 2)}, revision: 2},
			{changes: []roster.Change{evacuated("e", 3)}, revision: 5, snapshot: true},
		}, []ident.DataCentre{"e"}},
		{"missing in a snapshot of the same revision", []update{
			{changes: []roster.Change{evacuated("d", 2)}, revision: 2},
			{revision: 2, snapshot: true},
			{changes: []roster.Change{evacuated("d", 2)}, revision: 2},
		}, nil},
		{"missing in a stale snapshot", []update{
			{changes: []roster.Change{evacuated("d", 4)}, revision: 4},
			{revision: 3, snapshot: true},
		}, []ident.DataCentre{"d"}},
		{"newer than the revision of its snapshot", []update{
			{changes: []roster.Change{evacuated("d", 6)}, revision: 5, snapshot: true},
			{changes: []roster.Change{evacuated("d", 6)}, revision: 6},
		}, []ident.DataCentre{"d"}},
		{"an older evacuation after a snapshot without it", []update{
			{revision: 5, snapshot: true},
			{changes: []roster.Change{evacuated("d", 4)}, revision: 4},
		}, nil},
		{"a newer evacuation after a snapshot without it", []update{
			{revision: 5, snapshot: true},
			{changes: []roster.Change{evacuated("d", 6)}, revision: 6},
		}, []ident.DataCentre{"d"}},
		{"an outage does not end it", []update{
			{changes: []roster.Change{evacuated("d", 2)}, revision: 2},
			{changes: []roster.Change{evacuated("d", 2)}, revision: 9, snapshot: true, interrupted: true},
		}, []ident.DataCentre{"d"}},
		{"an older evacuation after more restores than are kept", []update{
			{changes: []roster.Change{evacuated("d", 2), restored("d", 3)}, revision: 3},
			{changes: manyRestored(300), revision: 1000},
			{changes: []roster.Change{evacuated("d", 2)}, revision: 1000},
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := roster.New()
			for _, u := range test.updates {
				c := roster.Changes{Changes: u.changes, Revision: u.revision}
				if u.snapshot {
					r.ApplySnapshot(roster.Snapshot(c), u.interrupted, start)
				} else {
					r.Apply(c, u.interrupted, start)
				}
			}
			qt.Assert(t, evacuatedIn(r), qt.DeepEquals, test.want)
			// A daemon that gets the state from this one, at once or in parts, agrees.
			peer := roster.New()
			for range 2 {
				c, full := r.ChangesAfter(peer.Revision())
				if full {
					peer.ApplySnapshot(roster.Snapshot(c), false, start)
				} else {
					peer.Apply(c, false, start)
				}
				qt.Assert(t, evacuatedIn(peer), qt.DeepEquals, test.want)
			}
		})
	}
}

func manyRestored(n int) []roster.Change {
	var out []roster.Change
	for i := range n {
		out = append(out, restored(ident.DataCentre(fmt.Sprintf("x%d", i)), roster.Revision(100+i)))
	}
	return out
}

// Guards against a release that is not announced after an evacuation or a restore, or that is announced without a change.
func TestEvacuationReportsItsEffect(t *testing.T) {
	r := roster.New()
	for _, test := range []struct {
		change roster.Change
		want   bool
	}{
		{evacuated("d", 2), true},
		{evacuated("d", 3), false},
		{restored("e", 4), false},
		{restored("d", 5), true},
		{restored("d", 6), false},
		{evacuated("d", 6), false},
		{evacuated("d", 7), true},
	} {
		got := r.Apply(roster.Changes{Changes: []roster.Change{test.change}, Revision: test.change.ChangeRevision()}, false, start)
		qt.Assert(t, got, qt.Equals, test.want, qt.Commentf("%#v", test.change))
	}
	r.ApplySnapshot(roster.Snapshot{Revision: 8}, false, start)
	// A peer with an older state learns of the end.
	c, full := r.ChangesAfter(7)
	qt.Assert(t, full, qt.IsTrue)
	qt.Assert(t, c.Changes, qt.HasLen, 0)
}
