package roster

import "time"

// DropLapsed drops the lapsed entries and evacuations whose grace period is over and reports whether there were any.
func (r *Roster) DropLapsed(now time.Time) bool {
	changed := r.evacuations.dropLapsed(now)
	for name, e := range r.entries {
		if !e.dropAt.IsZero() && !e.dropAt.After(now) {
			delete(r.entries, name)
			if e.target().Draining {
				e.recordEnd(e.TargetRegistered, now)
			}
			// The process in use may be running: if it reports again, it is used at once unless it was draining.
			r.recordRemoval(name, removal{e.revision, e.ended})
			changed = true
		}
	}
	return changed
}

// NextChange returns the earliest time at which DropLapsed or SettlePending may have an effect, and whether there is any.
func (r *Roster) NextChange() (time.Time, bool) {
	var next time.Time
	for _, e := range r.evacuations.known {
		if !e.dropAt.IsZero() && (next.IsZero() || e.dropAt.Before(next)) {
			next = e.dropAt
		}
	}
	for _, e := range r.entries {
		if !e.dropAt.IsZero() && (next.IsZero() || e.dropAt.Before(next)) {
			next = e.dropAt
		}
		if p := e.pending; p != nil && (next.IsZero() || p.settleAt.Before(next)) {
			next = p.settleAt
		}
	}
	return next, !next.IsZero()
}
