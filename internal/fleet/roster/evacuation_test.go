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

func changesUpTo(revision roster.Revision, c ...roster.Change) update {
	return update{changes: c, revision: revision}
}

func snapshotAt(revision roster.Revision, c ...roster.Change) update {
	return update{changes: c, revision: revision, snapshot: true}
}

// applyEvacuations applies an update and reports whether it had an effect.
func applyEvacuations(r *roster.Roster, u update) bool {
	c := roster.Changes{Changes: u.changes, Revision: u.revision}
	if u.snapshot {
		return r.ApplySnapshot(roster.Snapshot(c), u.interrupted, start)
	}
	return r.Apply(c, u.interrupted, start)
}

func evacuatedIn(r *roster.Roster) []ident.DataCentre {
	return slices.Sorted(maps.Keys(r.Release().Evacuated))
}

// Guards against an evacuation that an older read or an older state of a peer ends or brings back, against one that is
// missed or kept because the key was written or removed between two reads, and against a change that is not announced.
func TestEvacuationNeverRegresses(t *testing.T) {
	var manyRestored []roster.Change
	for i := range 300 {
		manyRestored = append(manyRestored, restored(ident.DataCentre(fmt.Sprintf("x%d", i)), roster.Revision(100+i)))
	}
	evacuated2, d := changesUpTo(2, evacuated("d", 2)), []ident.DataCentre{"d"}
	for _, test := range []struct {
		name    string
		updates []update
		want    []ident.DataCentre
	}{
		{"evacuated", []update{evacuated2}, d},
		{"restored", []update{evacuated2, changesUpTo(3, restored("d", 3))}, nil},
		{"evacuated again", []update{evacuated2, changesUpTo(3, restored("d", 3)), changesUpTo(4, evacuated("d", 4))}, d},
		{"an older evacuation after the restore", []update{evacuated2, changesUpTo(3, restored("d", 3)), evacuated2}, nil},
		{"an older restore after the second evacuation", []update{changesUpTo(4, evacuated("d", 4)), changesUpTo(4, restored("d", 3))}, d},
		{"two, one restored", []update{changesUpTo(3, evacuated("d", 2), evacuated("e", 3)), changesUpTo(4, restored("e", 4))}, d},
		{"in a snapshot", []update{snapshotAt(5, evacuated("d", 2))}, d},
		{"missing in a snapshot", []update{changesUpTo(2, evacuated("e", 2)), snapshotAt(5, evacuated("d", 3))}, d},
		{"missing in a snapshot of the same revision", []update{evacuated2, snapshotAt(2), evacuated2}, nil},
		{"missing in a stale snapshot", []update{changesUpTo(4, evacuated("d", 4)), snapshotAt(3)}, d},
		{"newer than the revision of its snapshot", []update{snapshotAt(5, evacuated("d", 6)), changesUpTo(6, evacuated("d", 6))}, d},
		{"an older evacuation after a snapshot without it", []update{snapshotAt(5), changesUpTo(4, evacuated("d", 4))}, nil},
		{"a newer evacuation after a snapshot without it", []update{snapshotAt(5), changesUpTo(6, evacuated("d", 6))}, d},
		{"an older evacuation after more restores than are kept", []update{evacuated2, changesUpTo(3, restored("d", 3)), changesUpTo(1000, manyRestored...), evacuated2}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := roster.New()
			for _, u := range test.updates {
				before := evacuatedIn(r)
				qt.Assert(t, applyEvacuations(r, u), qt.Equals, !slices.Equal(before, evacuatedIn(r)))
			}
			qt.Assert(t, evacuatedIn(r), qt.DeepEquals, test.want)
			// A peer with an older revision agrees, whether it holds nothing or what was known at first.
			first := roster.New()
			applyEvacuations(first, test.updates[0])
			for _, peer := range []*roster.Roster{roster.New(), first} {
				if peer.Revision() == r.Revision() {
					continue
				}
				c, full := r.ChangesAfter(peer.Revision())
				applyEvacuations(peer, update{changes: c.Changes, revision: c.Revision, snapshot: full})
				qt.Assert(t, evacuatedIn(peer), qt.DeepEquals, test.want)
			}
		})
	}
}

// Guards against an evacuation that ends because the store returned from an older copy, against one that the copy brings
// back for good, and against one that stays although the operators do not write it again.
func TestEvacuationOfAnOlderEra(t *testing.T) {
	for _, test := range []struct {
		name string
		// copied and later are the evacuations in the copy and those that the operators write in the new era.
		copied, later []roster.Change
		// wantAtOnce and want are in force after the copy and after the grace period.
		wantAtOnce, want []ident.DataCentre
	}{
		{"not written again", nil, nil, []ident.DataCentre{"d"}, nil},
		{"written again", nil, []roster.Change{evacuated("d", 3)}, []ident.DataCentre{"d"}, []ident.DataCentre{"d"}},
		{"in the copy", []roster.Change{evacuated("d", 1)}, nil, []ident.DataCentre{"d"}, []ident.DataCentre{"d"}},
		{"an older one in the copy, restored again", []roster.Change{evacuated("e", 1)}, []roster.Change{restored("e", 3)}, []ident.DataCentre{"d", "e"}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := roster.New()
			r.Apply(roster.Changes{Changes: []roster.Change{evacuated("d", 50)}, Revision: 50}, false, start)
			r.ApplySnapshot(roster.Snapshot{Changes: test.copied, Revision: 2, Era: 1}, false, start)
			qt.Assert(t, evacuatedIn(r), qt.DeepEquals, test.wantAtOnce)
			r.Apply(roster.Changes{Changes: test.later, Revision: 3, Era: 1}, false, start)
			end := start.Add(roster.LapseGrace)
			if at, ok := r.NextChange(); ok {
				qt.Assert(t, at, qt.Equals, end)
			}
			r.DropLapsed(end)
			qt.Assert(t, evacuatedIn(r), qt.DeepEquals, test.want)
		})
	}
}
