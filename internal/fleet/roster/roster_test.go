package roster_test

import (
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/roster"
)

var start = time.Unix(1_700_000_000, 0)

// registered returns the report of a target whose address ends in n.
func registered(name string, n byte, revision roster.Revision, change ...func(*roster.TargetRegistered)) roster.TargetRegistered {
	r := roster.TargetRegistered{
		Target: note.Target{
			Name: ident.Target(name), Service: "s", VM: ident.VM(name), DataCentre: "d", Slots: 9, StartedAt: start,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80),
		},
		Sequence: uint64(revision), Revision: revision,
	}
	for _, c := range change {
		c(&r)
	}
	return r
}

func draining(r *roster.TargetRegistered) { r.Target.Draining = true }

func sequence(n uint64) func(*roster.TargetRegistered) {
	return func(r *roster.TargetRegistered) { r.Sequence = n }
}

func startedAt(at time.Time) func(*roster.TargetRegistered) {
	return func(r *roster.TargetRegistered) { r.Target.StartedAt = at }
}

func configured(version uint64, revision roster.Revision) roster.ConfigUpdated {
	return roster.ConfigUpdated{Config: roster.Config{Version: version, Services: map[ident.Service]note.Service{"s": {Name: "s"}}}, Revision: revision}
}

// An update is the result of a read from the store, with the time since the previous read.
type update struct {
	after       time.Duration
	changes     []roster.Change
	revision    roster.Revision
	snapshot    bool
	interrupted bool
}

// targets returns the names of the targets of a release. The names of draining targets are in parentheses.
func targets(r *note.Release) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(r.Targets)) {
		if r.Targets[name].Draining {
			names = append(names, "("+string(name)+")")
		} else {
			names = append(names, string(name))
		}
	}
	return names
}

// Guards against a stale read or a delayed report that restores an older state, and against a deletion during an
// outage that removes a running target.
func TestRosterNeverRegresses(t *testing.T) {
	tests := []struct {
		name    string
		updates []update
		want    []string
		version uint64
	}{
		{"a target", []update{{changes: []roster.Change{configured(2, 1), registered("a", 1, 2)}, revision: 2}}, []string{"a"}, 2},
		{"a removed target", []update{
			{changes: []roster.Change{registered("a", 1, 2)}, revision: 2},
			{changes: []roster.Change{roster.TargetRemoved{Name: "a", Revision: 3}}, revision: 3},
		}, nil, 0},
		{"a report from before the removal", []update{
			{changes: []roster.Change{registered("a", 1, 2)}, revision: 2},
			{changes: []roster.Change{roster.TargetRemoved{Name: "a", Revision: 4}}, revision: 4},
			{changes: []roster.Change{registered("a", 1, 3)}, revision: 4},
		}, nil, 0},
		{"a target that registers again", []update{
			{changes: []roster.Change{registered("a", 1, 2)}, revision: 2},
			{changes: []roster.Change{roster.TargetRemoved{Name: "a", Revision: 4}}, revision: 4},
			{changes: []roster.Change{registered("a", 1, 5, startedAt(start.Add(time.Second)))}, revision: 5},
		}, []string{"a"}, 0},
		{"a draining target", []update{
			{changes: []roster.Change{registered("a", 1, 2)}, revision: 2},
			{changes: []roster.Change{registered("a", 1, 3, draining)}, revision: 3},
		}, []string{"(a)"}, 0},
		{"a delayed report after draining began", []update{
			{changes: []roster.Change{registered("a", 1, 3, draining)}, revision: 3},
			{changes: []roster.Change{registered("a", 1, 4, sequence(2))}, revision: 4},
		}, []string{"(a)"}, 0},
		{"a new process under the name of a draining one", []update{
			{changes: []roster.Change{registered("a", 1, 3, draining)}, revision: 3},
			{changes: []roster.Change{registered("a", 1, 4, sequence(1), startedAt(start.Add(time.Second)))}, revision: 4},
		}, []string{"a"}, 0},
		{"an older config", []update{
			{changes: []roster.Change{configured(7, 5)}, revision: 5},
			{changes: []roster.Change{configured(3, 2)}, revision: 5},
		}, nil, 7},
		{"an unusable config", []update{
			{changes: []roster.Change{configured(7, 5)}, revision: 5},
			{changes: []roster.Change{roster.ConfigInvalid{Revision: 6}}, revision: 6},
		}, nil, 7},
		{"an unusable entry next to a usable one", []update{
			{changes: []roster.Change{registered("a", 1, 2), roster.TargetUnusable{Name: "b", Revision: 3}}, revision: 3},
		}, []string{"a"}, 0},
		{"an entry that becomes unusable and usable again", []update{
			{changes: []roster.Change{registered("a", 1, 2)}, revision: 2},
			{changes: []roster.Change{roster.TargetUnusable{Name: "a", Revision: 3}}, revision: 3},
			{changes: []roster.Change{registered("a", 1, 4)}, revision: 4},
		}, []string{"a"}, 0},
		{"an address with a new target while the old entry remains", []update{
			{changes: []roster.Change{registered("a", 1, 2), registered("b", 1, 3, startedAt(start.Add(time.Second)))}, revision: 3},
		}, []string{"b"}, 0},
		{"a stale snapshot", []update{
			{changes: []roster.Change{registered("a", 1, 2), registered("b", 2, 3)}, revision: 3},
			{changes: []roster.Change{registered("a", 1, 2)}, revision: 2, snapshot: true},
		}, []string{"a", "b"}, 0},
		{"a snapshot without a target", []update{
			{changes: []roster.Change{registered("a", 1, 2), registered("b", 2, 3)}, revision: 3},
			{changes: []roster.Change{registered("a", 1, 2)}, revision: 4, snapshot: true},
		}, []string{"a"}, 0},
		{"an entry newer than the revision of its snapshot", []update{
			{changes: []roster.Change{registered("a", 1, 9)}, revision: 4, snapshot: true},
			{changes: []roster.Change{registered("a", 1, 6, draining)}, revision: 6},
		}, []string{"a"}, 0},
		{"lapsed in an outage, not back yet", []update{
			{changes: []roster.Change{registered("a", 1, 2)}, revision: 2},
			{changes: []roster.Change{roster.TargetRemoved{Name: "a", Revision: 3}}, revision: 3, interrupted: true},
			{after: roster.LapseGrace - time.Millisecond},
		}, []string{"a"}, 0},
		{"lapsed in an outage and back", []update{
			{changes: []roster.Change{registered("a", 1, 2)}, revision: 2},
			{changes: []roster.Change{roster.TargetRemoved{Name: "a", Revision: 3}}, revision: 3, interrupted: true},
			{after: time.Second, changes: []roster.Change{registered("a", 1, 4)}, revision: 4},
			{after: time.Minute},
		}, []string{"a"}, 0},
		{"lapsed in an outage and not back in time", []update{
			{changes: []roster.Change{registered("a", 1, 2)}, revision: 2},
			{changes: []roster.Change{roster.TargetRemoved{Name: "a", Revision: 3}}, revision: 3, interrupted: true},
			{after: roster.LapseGrace},
		}, nil, 0},
		{"missing in the snapshot after an outage", []update{
			{changes: []roster.Change{registered("a", 1, 2)}, revision: 2},
			{changes: nil, revision: 9, snapshot: true, interrupted: true},
		}, []string{"a"}, 0},
		{"draining and removed in an outage", []update{
			{changes: []roster.Change{registered("a", 1, 2, draining)}, revision: 2},
			{changes: []roster.Change{roster.TargetRemoved{Name: "a", Revision: 3}}, revision: 3, interrupted: true},
		}, nil, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, now := roster.New(), start
			for _, u := range test.updates {
				now = now.Add(u.after)
				c := roster.Changes{Changes: u.changes, Revision: u.revision}
				if u.snapshot {
					r.ApplySnapshot(roster.Snapshot(c), u.interrupted, now)
				} else {
					r.Apply(c, u.interrupted, now)
				}
				r.DropLapsed(now)
				r.SettlePending(now)
			}
			qt.Assert(t, targets(r.Release()), qt.DeepEquals, test.want)
			qt.Assert(t, r.Release().Version, qt.Equals, test.version)
		})
	}
}

// Guards against a peer that misses a change, a removal or a lapse, or that gets changes that it already has.
func TestPeersGetMissingChanges(t *testing.T) {
	r := roster.New()
	r.ApplySnapshot(roster.Snapshot{Changes: []roster.Change{configured(2, 1), registered("a", 1, 2), registered("b", 2, 3)}, Revision: 3}, false, start)
	r.Apply(roster.Changes{Changes: []roster.Change{registered("c", 3, 5), roster.TargetRemoved{Name: "b", Revision: 6}}, Revision: 6}, false, start)
	r.Apply(roster.Changes{Changes: []roster.Change{roster.TargetRemoved{Name: "a", Revision: 7}}, Revision: 7}, true, start)
	tests := []struct {
		name  string
		after roster.Revision
		full  bool
		count int
	}{
		{"up to date", 7, false, 0},
		{"only the lapse is missing", 6, false, 1},
		{"the changes since the snapshot", 3, false, 3},
		{"a revision before the snapshot", 2, true, 3},
		{"a new daemon", 0, true, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, full := r.ChangesAfter(test.after)
			qt.Assert(t, full, qt.Equals, test.full)
			qt.Assert(t, c.Changes, qt.HasLen, test.count)
			qt.Assert(t, c.Revision, qt.Equals, roster.Revision(7))
		})
	}
	// A peer that applies them holds the same release and drops the lapsed entry at the same time.
	peer := roster.New()
	peer.Apply(roster.Changes{Changes: []roster.Change{configured(2, 1), registered("a", 1, 2), registered("b", 2, 3)}, Revision: 3}, false, start)
	c, _ := r.ChangesAfter(3)
	peer.Apply(c, false, start)
	qt.Assert(t, targets(peer.Release()), qt.DeepEquals, targets(r.Release()))
	expired := start.Add(roster.LapseGrace)
	qt.Assert(t, peer.DropLapsed(expired), qt.IsTrue)
	qt.Assert(t, r.DropLapsed(expired), qt.IsTrue)
	qt.Assert(t, targets(peer.Release()), qt.DeepEquals, []string{"c"})
	qt.Assert(t, targets(r.Release()), qt.DeepEquals, []string{"c"})
}

// Guards against a daemon that keeps a reverted change: its peer has not seen the config in between, and therefore does
// not report that the change was reverted.
func TestRevertedConfigChange(t *testing.T) {
	config := func(version uint64, revision roster.Revision, timeout time.Duration) roster.Change {
		return roster.ConfigUpdated{Revision: revision, Config: roster.Config{
			Version: version, Routes: map[ident.Route]note.Route{"r": {Name: "r", Timeout: timeout}, "s": {Name: "s", Timeout: time.Duration(version)}},
		}}
	}
	for _, test := range []struct {
		name string
		// seen are the configs that the peer has held, and own the configs of the daemon that requests changes from it.
		seen, own []roster.Change
	}{
		{"the peer has not seen the change", []roster.Change{config(1, 1, 10), config(3, 3, 10)}, []roster.Change{config(1, 1, 10), config(2, 2, 20)}},
		{"both have seen the change", []roster.Change{config(1, 1, 10), config(2, 2, 20), config(3, 3, 10)}, []roster.Change{config(1, 1, 10), config(2, 2, 20)}},
		{"the requesting daemon has not seen the change", []roster.Change{config(1, 1, 10), config(2, 2, 20), config(3, 3, 10)}, []roster.Change{config(1, 1, 10)}},
		{"the peer has seen only the last config", []roster.Change{config(3, 3, 10)}, []roster.Change{config(2, 2, 20)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			peer, own := roster.New(), roster.New()
			for _, c := range test.seen {
				peer.Apply(roster.Changes{Changes: []roster.Change{c}, Revision: c.ChangeRevision()}, false, start)
			}
			for _, c := range test.own {
				own.Apply(roster.Changes{Changes: []roster.Change{c}, Revision: c.ChangeRevision()}, false, start)
			}
			c, _ := peer.ChangesAfter(own.Revision())
			own.Apply(c, false, start)
			if own.Revision() < peer.Revision() {
				// The delta cannot be applied, so the full state is requested.
				c, full := peer.ChangesAfter(0)
				qt.Assert(t, c.Changes, qt.HasLen, 1)
				if full {
					own.ApplySnapshot(roster.Snapshot(c), false, start)
				} else {
					own.Apply(c, false, start)
				}
			}
			qt.Assert(t, own.Revision(), qt.Equals, roster.Revision(3))
			qt.Assert(t, own.Release().Routes["r"].Timeout, qt.Equals, time.Duration(10))
			qt.Assert(t, own.Release().Routes["s"].Timeout, qt.Equals, time.Duration(3))
		})
	}
}
