package roster_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/roster"
)

// lateLimit is above the time after which a late report has been read: 6 s and the 2 s that it takes to each daemon.
const lateLimit = 9 * time.Second

// reports returns one update for each report, 100 ms apart and with increasing revisions.
func reports(changes ...roster.Change) []update {
	var updates []update
	for i, c := range changes {
		revision := roster.Revision(10 + i)
		switch ch := c.(type) {
		case roster.TargetRegistered:
			ch.Revision = revision
			c = ch
		case roster.TargetRemoved:
			ch.Revision = revision
			c = ch
		}
		updates = append(updates, update{after: 100 * time.Millisecond, changes: []roster.Change{c}, revision: revision})
	}
	return updates
}

// process returns a function that makes reports of a process of target "a" that started the given time after start.
func process(startedAfter time.Duration) func(n uint64, change ...func(*roster.TargetRegistered)) roster.Change {
	return func(n uint64, change ...func(*roster.TargetRegistered)) roster.Change {
		return registered("a", 1, 0, append(change, sequence(n), startedAt(start.Add(startedAfter)))...)
	}
}

// Guards against a report that the store applies late over a later state of its target: one of an ended process that
// takes the place of the process that runs, or one that brings back a draining or removed target. The clocks of targets
// step, so that the process that started last may have the earliest start time.
func TestReportsAppliedLate(t *testing.T) {
	removed := roster.TargetRemoved{Name: "a"}
	for _, clock := range []struct {
		name    string
		restart time.Duration
	}{{"steady clock", time.Minute}, {"clock stepped back", -2 * time.Second}, {"clock stepped ahead", time.Hour}} {
		first, second := process(0), process(clock.restart)
		tests := []struct {
			name    string
			updates []update
			want    []string
		}{
			{"of an ended process, over draining", reports(first(1), second(1), second(2, draining), first(2)), []string{"(a)"}},
			{"of an ended process, over draining of which nothing else was read", reports(first(1), second(1, draining), first(2)), []string{"(a)"}},
			{"of an ended process, twice", reports(first(1), second(1), second(2, draining), first(2), first(3)), []string{"(a)"}},
			{"of an ended process that was draining, over ready", reports(first(1), first(2, draining), second(1), second(2), first(3, draining), second(3)), []string{"a"}},
			{"of an ended process, over the removal of the next one", reports(first(1), second(1), second(2, draining), removed, first(2)), nil},
			{"of the process that drains", reports(first(1), first(3, draining), first(2)), []string{"(a)"}},
			{"of a process that drained, over its removal", reports(first(1), first(3, draining), removed, first(2)), nil},
			{"of a process that left without draining, over its removal", reports(first(1), removed, first(2)), nil},
			{"of a process that left, over the next one", reports(first(1), removed, second(1), second(2), second(3, draining), first(2)), []string{"(a)"}},
		}
		for _, test := range tests {
			t.Run(clock.name+", "+test.name, func(t *testing.T) {
				qt.Assert(t, targets(play(test.updates).Release()), qt.DeepEquals, test.want)
				// A daemon that follows this one hears of each change, or of the last state only.
				qt.Assert(t, targets(playFollowing(test.updates).Release()), qt.DeepEquals, test.want)
			})
		}
	}
}

// Guards against the rules on late reports that keep a running target out of use: each process that goes on reporting is
// used, whatever its clock says, at the latest when no late report can arrive any more.
func TestRunningProcessesAreUsed(t *testing.T) {
	first, next, earlier := process(0), process(time.Minute), process(-2*time.Second)
	removed := roster.TargetRemoved{Name: "a"}
	then := func(updates []update, more ...update) []update { return append(updates, more...) }
	wait := update{after: lateLimit}
	tests := []struct {
		name    string
		updates []update
		want    []string
	}{
		{"a restart after draining", reports(first(1, draining), next(1)), []string{"a"}},
		{"a restart after draining, by a clock that stepped back, second report", reports(first(1, draining), earlier(1), earlier(2)), []string{"a"}},
		{"a restart after draining, by a clock that stepped back, one report", then(reports(first(1, draining), earlier(1)), wait), []string{"a"}},
		{"a restart after a removal", reports(first(1), removed, next(1)), []string{"a"}},
		{"a restart after a removal, by a clock that stepped back", reports(first(1), removed, earlier(1), earlier(2)), []string{"a"}},
		{"a silent process whose entry was removed, second report", reports(first(1), removed, first(5), first(6)), []string{"a"}},
		{"a silent process whose entry was removed, one report", then(reports(first(1), removed, first(5)), wait), []string{"a"}},
		{"a silent process whose entry was removed long ago", then(then(reports(first(1), removed), wait), update{changes: []roster.Change{registered("a", 1, 20)}, revision: 20}), []string{"a"}},
		{"a process beside a late report of one that drained", reports(next(1), first(9, draining), next(2), next(3)), []string{"a"}},
		{"a process taken for an ended one", then(reports(first(1), next(1), first(2)), wait), []string{"a"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, targets(play(test.updates).Release()), qt.DeepEquals, test.want)
			qt.Assert(t, targets(playFollowing(test.updates).Release()), qt.DeepEquals, test.want)
		})
	}
}

// Guards against a report that stays undecided, since nothing wakes the task that owns the roster.
func TestPendingReportsAreSettled(t *testing.T) {
	r := play(reports(process(0)(1, draining), process(-time.Second)(1)))
	at, ok := r.NextChange()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, r.SettlePending(at.Add(-time.Millisecond)), qt.IsFalse)
	qt.Assert(t, r.SettlePending(at), qt.IsTrue)
	_, ok = r.NextChange()
	qt.Assert(t, ok, qt.IsFalse)
}

// play applies updates to a new roster.
func play(updates []update) *roster.Roster {
	r, now := roster.New(), start
	for _, u := range updates {
		now = now.Add(u.after)
		applyUpdate(r, u, now)
	}
	return r
}

// playFollowing applies updates to a roster and returns that of a daemon that follows it.
func playFollowing(updates []update) *roster.Roster {
	source, follower, now := roster.New(), roster.New(), start
	for _, u := range updates {
		now = now.Add(u.after)
		applyUpdate(source, u, now)
		c, full := source.ChangesAfter(follower.Revision())
		applyUpdate(follower, update{changes: c.Changes, revision: c.Revision, snapshot: full}, now)
	}
	return follower
}

func applyUpdate(r *roster.Roster, u update, now time.Time) {
	c := roster.Changes{Changes: u.changes, Revision: u.revision}
	if u.snapshot {
		r.ApplySnapshot(roster.Snapshot(c), u.interrupted, now)
	} else {
		r.Apply(c, u.interrupted, now)
	}
	r.DropLapsed(now)
	r.SettlePending(now)
}

// Guards against an entry of another writer that takes a target out of use. Its service is one that no config names; its
// name, address, port, time and state are those that do most harm.
func TestEntriesOfAnotherWriter(t *testing.T) {
	foreign := func(r *roster.TargetRegistered) { r.Target.Service = "exporter" }
	own := process(0)
	tests := []struct {
		name    string
		changes []roster.Change
		want    []string
	}{
		{"on the address of the target, started later", []roster.Change{own(1), registered("z", 1, 0, foreign, startedAt(start.Add(time.Hour)))}, []string{"a"}},
		{"on the address of the target, started earlier", []roster.Change{own(1), registered("z", 1, 0, foreign, startedAt(start.Add(-time.Hour)))}, []string{"a"}},
		{"before the target registers", []roster.Change{registered("z", 1, 0, foreign, startedAt(start.Add(time.Hour))), own(1)}, []string{"a"}},
		{"on an address of its own", []roster.Change{own(1), registered("z", 9, 0, foreign)}, []string{"a"}},
		{"draining", []roster.Change{own(1), registered("z", 1, 0, foreign, draining, startedAt(start.Add(time.Hour)))}, []string{"a"}},
		{"removed again", []roster.Change{own(1), registered("z", 1, 0, foreign), roster.TargetRemoved{Name: "z"}}, []string{"a"}},
		{"over the entry of the target", []roster.Change{own(1), registered("a", 1, 0, foreign)}, nil},
		{"over the entry of the target, which reports again", []roster.Change{own(1), registered("a", 9, 0, foreign), own(2)}, []string{"a"}},
		{"over the entry of the target, draining, with its time and a higher sequence", []roster.Change{own(1), registered("a", 1, 0, foreign, draining, sequence(99)), own(2)}, []string{"a"}},
		{"over the entry of the target, started later", []roster.Change{own(1), registered("a", 9, 0, foreign, startedAt(start.Add(time.Hour))), own(2)}, []string{"a"}},
		{"over the entry of a draining target, which reports again", []roster.Change{own(1, draining), registered("a", 9, 0, foreign), own(2)}, []string{"(a)"}},
		{"under the name of a target, removed before that registers", []roster.Change{registered("a", 9, 0, foreign, startedAt(start.Add(time.Hour))), roster.TargetRemoved{Name: "a"}, own(1)}, []string{"a"}},
		{"under the name of a target that registers later", []roster.Change{registered("a", 9, 0, foreign, draining, startedAt(start.Add(time.Hour))), own(1)}, []string{"a"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			updates := append([]update{{changes: []roster.Change{configured(2, 1)}, revision: 1}}, reports(test.changes...)...)
			qt.Assert(t, targets(play(updates).Release()), qt.DeepEquals, test.want)
			qt.Assert(t, targets(playFollowing(updates).Release()), qt.DeepEquals, test.want)
		})
	}
}

// Guards against a target that stays out of use because its entry is older than the config that names its service.
func TestServiceNamedLater(t *testing.T) {
	route := note.Route{Name: "r", Split: []note.Share{{Service: "s", Weight: 1}}}
	for i, c := range []roster.Config{
		{Version: 5, Services: map[ident.Service]note.Service{"s": {Name: "s"}}},
		{Version: 5, Routes: map[ident.Route]note.Route{"r": route}},
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			r := play([]update{{changes: []roster.Change{roster.ConfigUpdated{Config: roster.Config{Version: 2}, Revision: 1}, registered("a", 1, 2)}, revision: 2}})
			qt.Assert(t, targets(r.Release()), qt.HasLen, 0)
			applyUpdate(r, update{changes: []roster.Change{roster.ConfigUpdated{Config: c, Revision: 3}}, revision: 3}, start)
			qt.Assert(t, targets(r.Release()), qt.DeepEquals, []string{"a"})
		})
	}
}
