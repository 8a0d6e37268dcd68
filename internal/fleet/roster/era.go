package roster

import (
	"slices"
	"time"

	"jacinthcross/internal/base/ident"
)

// Era returns the era of the store that the roster holds the state of.
func (r *Roster) Era() Era { return r.era }

// startEra begins a newer era, before its first snapshot is applied. The revisions of the era before say nothing about
// those of the new one, which start again at a lower number, so revision 0 replaces them: each change of the new era is
// newer. What was known of processes stays known, since the store may return entries of processes that have ended.
func (r *Roster) startEra(era Era, now time.Time) {
	r.era, r.revision, r.historyStart = era, 0, 0
	r.forgetConfigRevisions()
	r.evacuations.startEra(now)
	for _, e := range r.entries {
		e.revision, e.Revision, e.dropAt = 0, 0, time.Time{}
		if e.pending != nil {
			e.pending.Revision, e.pending.settleAt = 0, now.Add(maxWriteDelay)
		}
		e.ended = endedBy(e.ended, now)
	}
	for name, m := range r.removals {
		r.removals[name] = removal{ended: endedBy(m.ended, now)}
	}
}

// endedBy returns the processes with their end moved to now: reports of them that the store returns are as late as those
// of a process that ended just now.
func endedBy(ended []process, now time.Time) []process {
	ended = slices.Clone(ended)
	for i := range ended {
		ended[i].endedAt = now
	}
	return ended
}

// lapse keeps an entry that is missing in the store in use for LapseGrace.
func (e *entry) lapse(revision Revision, now time.Time) {
	e.revision = revision
	if e.dropAt.IsZero() {
		e.dropAt = now.Add(LapseGrace)
	}
}

// forgetConfigRevisions makes the config in force one of an older era. Peers that hold the same revision of the new era may
// have kept another config, so no changes are computed from it.
func (r *Roster) forgetConfigRevisions() {
	r.configRevision, r.configRevisions = 0, nil
	r.routeRevisions, r.removedRoutes = map[ident.Route]Revision{}, map[ident.Route]Revision{}
}

// HasOlderConfig reports whether the config in force was published in an older era and has not been published again.
func (r *Roster) HasOlderConfig() bool { return r.config.Version > 0 && r.configRevision == 0 }

// supersedesConfig reports whether a config has a higher version than the one in force and no lower revision. Revision 0
// is that of a config that a peer has kept from an older era. A config that was kept is also superseded by one of the
// same version, which the operators have published again.
func (r *Roster) supersedesConfig(c ConfigUpdated) bool {
	switch {
	case c.Version == r.config.Version:
		return c.Revision > 0 && r.HasOlderConfig()
	case c.Revision == 0:
		return c.Version > r.config.Version
	}
	return c.Version > r.config.Version && c.Revision >= r.configRevision
}

// ChangesFor returns what a peer needs that holds the state of an era up to a revision: the changes after the revision, or
// the full state if the peer is in an older era, in which case full is true. A peer of a newer era gets no changes.
func (r *Roster) ChangesFor(era Era, revision Revision) (c Changes, full bool) {
	switch {
	case era < r.era:
		return r.state(), true
	case era > r.era:
		return Changes{Revision: r.revision, Era: r.era}, false
	}
	return r.ChangesAfter(revision)
}
