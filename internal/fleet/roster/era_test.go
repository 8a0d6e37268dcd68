package roster_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/roster"
)

// A read is a snapshot or changes of an era, with the time since the previous read.
type read struct {
	after    time.Duration
	snapshot bool
	roster.Changes
}

func snapshotOf(era roster.Era, revision roster.Revision, changes ...roster.Change) read {
	return read{snapshot: true, Changes: roster.Changes{Era: era, Revision: revision, Changes: changes}}
}

func changesOf(era roster.Era, revision roster.Revision, changes ...roster.Change) read {
	return read{Changes: roster.Changes{Era: era, Revision: revision, Changes: changes}}
}

func (r read) later(d time.Duration) read {
	r.after = d
	return r
}

// apply applies reads to a roster and returns the time of the last one.
func apply(r *roster.Roster, reads ...read) time.Time {
	now := start
	for _, u := range reads {
		now = now.Add(u.after)
		if u.snapshot {
			r.ApplySnapshot(roster.Snapshot(u.Changes), false, now)
		} else {
			r.Apply(u.Changes, false, now)
		}
		r.DropLapsed(now)
		r.SettlePending(now)
	}
	return now
}

// Guards against a restore of the store from an older copy that is ignored, that takes the config or a process of a target
// back, that removes targets which run, or after which the state of the older era is used.
func TestStoreReturnsFromOlderCopy(t *testing.T) {
	removedA := roster.TargetRemoved{Name: "a", Revision: 30}
	nextProcess := startedAt(start.Add(time.Second))
	tests := []struct {
		name    string
		reads   []read
		want    []string
		version uint64
	}{
		{"a lower version of the config", []read{
			snapshotOf(0, 20, configured(7, 20)), snapshotOf(1, 10, configured(5, 4)),
		}, nil, 7},
		{"a lower version that is published again", []read{
			snapshotOf(0, 20, configured(7, 20)), snapshotOf(1, 10, configured(5, 4)), changesOf(1, 11, configured(6, 11)),
		}, nil, 7},
		{"the next version at a lower revision", []read{
			snapshotOf(0, 20, configured(7, 20)), snapshotOf(1, 10, configured(5, 4)), changesOf(1, 11, configured(8, 11)),
		}, nil, 8},
		{"an older config after the next version", []read{
			snapshotOf(0, 20, configured(7, 20)), snapshotOf(1, 10), changesOf(1, 11, configured(8, 11)), changesOf(1, 12, configured(7, 12)),
		}, nil, 8},
		{"an entry that is missing, within the grace period", []read{
			snapshotOf(0, 20, registered("a", 1, 20)), snapshotOf(1, 10), changesOf(1, 11).later(roster.LapseGrace - time.Millisecond),
		}, []string{"a"}, 0},
		{"an entry that stays missing", []read{
			snapshotOf(0, 20, registered("a", 1, 20)), snapshotOf(1, 10), changesOf(1, 11).later(roster.LapseGrace),
		}, nil, 0},
		{"an entry that is missing in two snapshots of the era, within the grace period", []read{
			snapshotOf(0, 20, registered("a", 1, 20)), snapshotOf(1, 10), snapshotOf(1, 12).later(time.Second),
		}, []string{"a"}, 0},
		{"a target that has left, of which a peer has not heard", []read{
			snapshotOf(0, 20, registered("a", 1, 20, draining)), changesOf(0, 30, removedA), snapshotOf(1, 10),
			snapshotOf(1, 10, roster.TargetLapsed{Target: registered("a", 1, 20).Target, DropAt: start.Add(time.Minute), Revision: 10}),
		}, nil, 0},
		{"an entry that is written again", []read{
			snapshotOf(0, 20, registered("a", 1, 20)), snapshotOf(1, 10), changesOf(1, 11, registered("a", 1, 11, sequence(21))).later(time.Second),
			changesOf(1, 12).later(time.Minute),
		}, []string{"a"}, 0},
		{"an entry with a lower revision", []read{
			snapshotOf(0, 20, registered("a", 1, 20)), snapshotOf(1, 10, registered("a", 1, 5)), changesOf(1, 11).later(time.Minute),
		}, []string{"a"}, 0},
		{"a removal in the new era", []read{
			snapshotOf(0, 20, registered("a", 1, 20)), snapshotOf(1, 10, registered("a", 1, 5)), changesOf(1, 11, roster.TargetRemoved{Name: "a", Revision: 11}),
		}, nil, 0},
		{"a removal that is undone", []read{
			snapshotOf(0, 20, registered("a", 1, 20)), changesOf(0, 30, removedA), snapshotOf(1, 10, registered("a", 1, 5)).later(time.Minute),
			changesOf(1, 11).later(time.Second),
		}, nil, 0},
		{"a removed process that reports again", []read{
			snapshotOf(0, 20, registered("a", 1, 20)), changesOf(0, 30, removedA), snapshotOf(1, 10, registered("a", 1, 5)).later(time.Minute),
			changesOf(1, 11, registered("a", 1, 11, sequence(31))),
		}, []string{"a"}, 0},
		{"a new process after a removal at a higher revision", []read{
			snapshotOf(0, 20, registered("a", 1, 20)), changesOf(0, 30, removedA), snapshotOf(1, 10), changesOf(1, 11, registered("a", 1, 11, nextProcess)),
		}, []string{"a"}, 0},
		{"a target that was draining", []read{
			snapshotOf(0, 20, registered("a", 1, 20, draining)), snapshotOf(1, 10, registered("a", 1, 5)), changesOf(1, 11, registered("a", 1, 11)),
		}, []string{"(a)"}, 0},
		{"a target that was draining, whose entry is missing and returns late", []read{
			snapshotOf(0, 20, registered("a", 1, 20, draining)), snapshotOf(1, 10), changesOf(1, 11).later(roster.LapseGrace),
			changesOf(1, 12, registered("a", 1, 12)),
		}, nil, 0},
		{"a target that drained and was removed", []read{
			snapshotOf(0, 20, registered("a", 1, 20, draining)), changesOf(0, 30, removedA), snapshotOf(1, 10, registered("a", 1, 5)).later(time.Minute),
			changesOf(1, 11).later(time.Minute),
		}, nil, 0},
		{"a process that another one has replaced", []read{
			snapshotOf(0, 20, registered("a", 1, 20)), changesOf(0, 30, registered("a", 1, 30, nextProcess, draining)),
			snapshotOf(1, 10, registered("a", 1, 5)).later(time.Minute),
		}, []string{"(a)"}, 0},
		{"a late snapshot of the older era", []read{
			snapshotOf(0, 20, configured(7, 20), registered("a", 1, 20)), snapshotOf(1, 10, registered("b", 2, 5)),
			snapshotOf(0, 40, configured(8, 40), registered("c", 3, 40)), changesOf(1, 11).later(time.Minute),
		}, []string{"b"}, 7},
		{"late changes of the older era", []read{
			snapshotOf(0, 20, registered("a", 1, 20)), snapshotOf(1, 10, registered("a", 1, 5)), changesOf(0, 40, removedA, registered("c", 3, 40)),
		}, []string{"a"}, 0},
		{"changes of a newer era without a snapshot", []read{
			snapshotOf(0, 20, registered("a", 1, 20)), changesOf(1, 40, registered("c", 3, 40), removedA),
		}, []string{"a"}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := roster.New()
			apply(r, test.reads...)
			qt.Assert(t, targets(r.Release()), qt.DeepEquals, test.want)
			qt.Assert(t, r.Release().Version, qt.Equals, test.version)
		})
	}
}

// Guards against a peer of another era that gets changes which it would apply to the revisions of its own era, and against
// a daemon in a newer era that takes state from a peer in an older one.
func TestPeersOfDifferentEras(t *testing.T) {
	older := []read{snapshotOf(0, 20, configured(7, 20), registered("a", 1, 19)), changesOf(0, 21, registered("b", 2, 21))}
	newer := append(older, snapshotOf(1, 10, configured(5, 4), registered("a", 1, 6)), changesOf(1, 12, registered("c", 3, 12)))
	tests := []struct {
		name      string
		peer, own []read
		full      bool
		want      []string
		era       ident.Era
		version   uint64
	}{
		{"the peer is in the newer era", newer, older, true, []string{"a", "b", "c"}, 1, 7},
		{"the peer is in the older era", older, newer, false, []string{"a", "b", "c"}, 1, 7},
		{"a new daemon asks", newer, nil, true, []string{"a", "b", "c"}, 1, 7},
		{"both in the newer era", newer, newer[:3], false, []string{"a", "b", "c"}, 1, 7},
		{"a daemon that started with the older copy asks for the state", newer, []read{snapshotOf(1, 9, configured(5, 4))}, true, []string{"a", "b", "c"}, 1, 7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			peer, own := roster.New(), roster.New()
			now := apply(peer, test.peer...)
			apply(own, test.own...)
			c, full := peer.ChangesFor(own.Era(), own.Revision())
			qt.Assert(t, full, qt.Equals, test.full)
			if full {
				own.ApplySnapshot(roster.Snapshot(c), false, now)
			} else {
				own.Apply(c, false, now)
			}
			r := own.Release()
			qt.Assert(t, targets(r), qt.DeepEquals, test.want)
			qt.Assert(t, r.Head.Era, qt.Equals, test.era)
			qt.Assert(t, r.Version, qt.Equals, test.version)
		})
	}
}

// Guards against a config delta that is applied to a config other than its base: after a restore, two daemons may hold
// different configs of the older era, whose revisions say nothing in the new one.
func TestConfigDeltasAfterRestore(t *testing.T) {
	config := func(version uint64, revision roster.Revision, timeout time.Duration) roster.Change {
		return roster.ConfigUpdated{Revision: revision, Config: roster.Config{
			Version: version, Routes: map[ident.Route]note.Route{"r": {Name: "r", Timeout: timeout}, "s": {Name: "s", Timeout: time.Duration(version)}},
		}}
	}
	tests := []struct {
		name string
		// own and peer are the configs of both daemons before the restore.
		own, peer roster.Change
	}{
		{"the peer held a newer config", config(6, 21, 10), config(7, 22, 20)},
		{"the peer held an older config", config(7, 22, 10), config(6, 21, 20)},
		{"both held the same config", config(7, 22, 20), config(7, 22, 20)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			own, peer := roster.New(), roster.New()
			restored := []read{snapshotOf(1, 20, config(5, 4, 30)), changesOf(1, 22)}
			apply(own, append([]read{snapshotOf(0, 22, test.own)}, restored...)...)
			apply(peer, append([]read{snapshotOf(0, 22, test.peer)}, restored...)...)
			for _, next := range []read{changesOf(1, 23, config(8, 23, 40)), changesOf(1, 24, config(9, 24, 40))} {
				apply(peer, next)
				c, full := peer.ChangesFor(own.Era(), own.Revision())
				qt.Assert(t, full, qt.IsFalse)
				qt.Assert(t, own.NeedsSnapshot(c), qt.IsFalse)
				own.Apply(c, false, start)
				qt.Assert(t, own.Release().Routes, qt.DeepEquals, peer.Release().Routes)
			}
		})
	}
}
