package roster

import (
	"time"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
)

// A Lapsed says that a peer has found the entry of a target missing after the store was out of reach, and
// trusts it until a time. It comes from peers only.
type Lapsed struct {
	Target   note.Target
	Until    time.Time
	Revision Revision
}

func (Lapsed) change() {}

// At implements Change.
func (c Lapsed) At() Revision { return c.Revision }

// After returns what has changed after a revision, and whether that is all that is published because the
// changes since the revision are not known one by one.
func (r *Roster) After(revision Revision) (c Changes, whole bool) {
	c.Revision = r.revision
	whole = revision < r.base
	if whole {
		revision = 0
	}
	switch {
	case r.configured <= revision:
	case whole || r.heldAt(revision) == 0:
		c.Changes = append(c.Changes, Configured{Config: r.config, Revision: r.configured})
	default:
		c.Changes = append(c.Changes, r.reconfigured(r.heldAt(revision)))
	}
	for name, e := range r.entries {
		switch {
		case e.Revision <= revision:
		case e.unusable:
			c.Changes = append(c.Changes, Unusable{Name: name, Revision: e.Revision})
		case !e.lapses.IsZero():
			c.Changes = append(c.Changes, Lapsed{Target: e.Target, Until: e.lapses, Revision: e.Revision})
		default:
			c.Changes = append(c.Changes, e.Registered)
		}
	}
	if whole {
		return c, true
	}
	for name, at := range r.removals {
		if at > revision {
			c.Changes = append(c.Changes, Removed{Name: name, Revision: at})
		}
	}
	return c, false
}

// heldAt returns the revision of the config that was the newest one at a revision, as far as it was known here, or 0.
func (r *Roster) heldAt(revision Revision) Revision {
	var base Revision
	for _, at := range r.held {
		if at <= revision {
			base = at
		}
	}
	return base
}

// reconfigured returns what has changed in the config since the one of a revision.
func (r *Roster) reconfigured(revision Revision) Reconfigured {
	c := Reconfigured{Config: r.config, Base: revision, Revision: r.configured}
	c.Routes = map[ident.Route]note.Route{}
	for name, at := range r.routes {
		if at > revision {
			c.Routes[name] = r.config.Routes[name]
		}
	}
	for name, at := range r.dropped {
		if at > revision {
			c.Dropped = append(c.Dropped, name)
		}
	}
	return c
}

func (r *Roster) lapse(c Lapsed) bool {
	e, ok := r.entries[c.Target.Name]
	if !ok {
		r.register(Registered{Target: c.Target, Revision: c.Revision})
		if e, ok = r.entries[c.Target.Name]; !ok {
			return false
		}
		e.lapses = c.Until
		return true
	}
	if c.Revision >= e.Revision && e.lapses.IsZero() {
		e.Revision, e.lapses = c.Revision, c.Until
	}
	return false
}
