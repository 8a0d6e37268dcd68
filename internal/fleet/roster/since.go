package roster

import (
	"time"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
)

// A TargetLapsed reports that the entry of a target has lapsed: a peer found it missing after the store had been
// unreachable, and keeps using the target until DropAt. It is received from peers only.
type TargetLapsed struct {
	Target   note.Target
	DropAt   time.Time
	Revision Revision
}

func (TargetLapsed) change() {}

// ChangeRevision implements Change.
func (c TargetLapsed) ChangeRevision() Revision { return c.Revision }

// ChangesAfter returns the changes after a revision. If the individual changes since that revision are not known, it
// returns the full published state, and full is true.
func (r *Roster) ChangesAfter(revision Revision) (c Changes, full bool) {
	if revision < r.historyStart {
		return r.state(), true
	}
	c.Revision, c.Era = r.revision, r.era
	switch base := r.configRevisionAt(revision); {
	case r.configRevision <= revision:
	case base == 0:
		c.Changes = append(c.Changes, ConfigUpdated{Config: r.config, Revision: r.configRevision})
	default:
		c.Changes = append(c.Changes, r.configDelta(base))
	}
	for name, e := range r.entries {
		if e.revision > revision {
			c.Changes = append(c.Changes, e.changes(name)...)
		}
	}
	c.Changes = append(c.Changes, r.evacuations.changesAfter(revision, false)...)
	for name, m := range r.removals {
		if m.revision > revision {
			c.Changes = append(c.Changes, TargetRemoved{Name: name, Revision: m.revision})
		}
	}
	return c, false
}

// state returns the full published state.
func (r *Roster) state() Changes {
	c := Changes{Revision: r.revision, Era: r.era}
	if r.config.Version > 0 {
		c.Changes = append(c.Changes, ConfigUpdated{Config: r.config, Revision: r.configRevision})
	}
	for name, e := range r.entries {
		c.Changes = append(c.Changes, e.changes(name)...)
	}
	c.Changes = append(c.Changes, r.evacuations.changesAfter(0, true)...)
	return c
}

// changes returns the changes that give a peer the entry. A peer decides on a pending report itself, since its decision
// has no revision that the peer could ask for.
func (e *entry) changes(name ident.Target) []Change {
	switch {
	case e.unusable:
		return []Change{TargetUnusable{Name: name, Revision: e.revision}}
	case !e.dropAt.IsZero():
		return []Change{TargetLapsed{Target: e.Target, DropAt: e.dropAt, Revision: e.revision}}
	}
	var c []Change
	if e.registered {
		c = append(c, e.TargetRegistered)
	}
	if e.pending != nil && e.pending.Revision == e.revision {
		c = append(c, e.pending.TargetRegistered)
	}
	return c
}

// configRevisionAt returns the last recorded config revision that is not later than the given revision, or 0 if there
// is none.
func (r *Roster) configRevisionAt(revision Revision) Revision {
	var newest Revision
	for _, at := range r.configRevisions {
		if at <= revision {
			newest = at
		}
	}
	return newest
}

// configDelta returns the changes in the config since the config with the given revision.
func (r *Roster) configDelta(revision Revision) ConfigDelta {
	c := ConfigDelta{Config: r.config, Base: revision, Revision: r.configRevision}
	c.Routes = map[ident.Route]note.Route{}
	for name, at := range r.routeRevisions {
		if at > revision {
			c.Routes[name] = r.config.Routes[name]
		}
	}
	for name, at := range r.removedRoutes {
		if at > revision {
			c.RemovedRoutes = append(c.RemovedRoutes, name)
		}
	}
	return c
}

// markLapsed marks an entry as lapsed. If the entry is not known yet, and its removal at this or a later revision is
// not known either, it adds the entry and returns true. Otherwise it returns false, since the release stays the same.
func (r *Roster) markLapsed(c TargetLapsed) bool {
	e, ok := r.entries[c.Target.Name]
	if !ok {
		removed := r.removals[c.Target.Name]
		if c.Revision <= removed.revision {
			return false
		}
		if _, ended := (&entry{ended: removed.ended}).endedProcess(c.Target.StartedAt); ended {
			return false
		}
		delete(r.removals, c.Target.Name)
		e = &entry{revision: c.Revision, ended: removed.ended}
		e.use(TargetRegistered{Target: c.Target, Revision: c.Revision})
		e.dropAt = c.DropAt
		r.entries[c.Target.Name] = e
		return true
	}
	if c.Revision >= e.revision && e.dropAt.IsZero() && e.inUse() {
		e.revision, e.dropAt = c.Revision, c.DropAt
	}
	return false
}
