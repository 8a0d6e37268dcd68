// Package roster holds what the platform publishes: the config of the operators and the entries of the targets.
package roster

import (
	"maps"
	"net/netip"
	"time"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
)

// LapseGrace is how long an entry that was removed while the store could not be read is trusted after the
// store is back. The platform states that lapsed entries of living targets are back within about two seconds.
const LapseGrace = 2200 * time.Millisecond

// maxRemovals bounds the removals that are remembered, so that an older report does not bring a target back.
const maxRemovals = 4096

// A Roster is the newest state that is known. It never goes back: each part keeps the change with the highest revision.
type Roster struct {
	revision Revision
	// base is the revision after which each change is known.
	base       Revision
	config     Config
	configured Revision
	// held are the revisions of the last configs, with that in force as the last.
	held []Revision
	// routes has the revision at which each route changed last, and dropped those at which routes went.
	routes  map[ident.Route]Revision
	dropped map[ident.Route]Revision
	// release is the last one that was built, whose index of routes serves the next.
	release  *note.Release
	entries  map[ident.Target]*entry
	removals map[ident.Target]Revision
}

type entry struct {
	Registered
	// unusable is true while the newest report names no target to use.
	unusable bool
	// lapses is when an entry that has lapsed is dropped, or zero.
	lapses time.Time
}

// New returns an empty Roster.
func New() *Roster {
	return &Roster{
		entries: map[ident.Target]*entry{}, removals: map[ident.Target]Revision{},
		routes: map[ident.Route]Revision{}, dropped: map[ident.Route]Revision{},
	}
}

// Revision returns the revision up to which all changes are known.
func (r *Roster) Revision() Revision { return r.revision }

// Version returns the version of the config, or 0 when none is known.
func (r *Roster) Version() uint64 { return r.config.Version }

// Replace takes all that is published and reports whether anything changed. A snapshot that is older than
// what is known brings nothing back. After an interruption, entries that are missing are dropped only after LapseGrace.
func (r *Roster) Replace(s Snapshot, interrupted bool, now time.Time) bool {
	if s.Revision < r.revision {
		return false
	}
	r.base = s.Revision
	present := map[ident.Target]bool{}
	for _, c := range s.Changes {
		switch c := c.(type) {
		case Registered:
			present[c.Target.Name] = true
		case Lapsed:
			present[c.Target.Name] = true
		case Unusable:
			present[c.Name] = true
		case Configured, Reconfigured, Misconfigured, Removed:
		}
	}
	changed := r.Apply(Changes(s), interrupted, now)
	for name, e := range r.entries {
		if !present[name] && e.Revision <= s.Revision {
			changed = r.remove(Removed{Name: name, Revision: s.Revision}, interrupted, now) || changed
		}
	}
	return changed
}

// Lacks reports whether changes build on another config than the one in force, so that all has to be read.
func (r *Roster) Lacks(c Changes) bool {
	for _, one := range c.Changes {
		if one, ok := one.(Reconfigured); ok && one.Revision > r.configured && one.Base != r.configured {
			return true
		}
	}
	return false
}

// Apply takes changes and reports whether any had an effect. Those that build on another config have none.
func (r *Roster) Apply(c Changes, interrupted bool, now time.Time) bool {
	if r.Lacks(c) {
		return false
	}
	changed := false
	for _, one := range c.Changes {
		switch one := one.(type) {
		case Configured:
			changed = r.configure(one) || changed
		case Reconfigured:
			changed = r.configure(r.whole(one)) || changed
		case Registered:
			changed = r.register(one) || changed
		case Removed:
			changed = r.remove(one, interrupted, now) || changed
		case Unusable:
			changed = r.disable(one) || changed
		case Lapsed:
			changed = r.lapse(one) || changed
		case Misconfigured:
		}
	}
	r.revision = max(r.revision, c.Revision)
	return changed
}

// maxHeld bounds the configs that are remembered by their revision. Peers ask within seconds of a change.
const maxHeld = 64

// Configured returns the revision of the config in force.
func (r *Roster) Configured() Revision { return r.configured }

// configure takes a config whose version is higher than that in force.
func (r *Roster) configure(c Configured) bool {
	if c.Version <= r.config.Version || c.Revision < r.configured {
		return false
	}
	for name, route := range c.Routes {
		if old, ok := r.config.Routes[name]; !ok || !old.Equal(route) {
			r.routes[name] = c.Revision
			delete(r.dropped, name)
		}
	}
	for name := range r.config.Routes {
		if _, ok := c.Routes[name]; !ok {
			delete(r.routes, name)
			r.dropped[name] = c.Revision
		}
	}
	r.config, r.configured, r.release = c.Config, c.Revision, nil
	r.held = append(r.held, c.Revision)
	if len(r.held) > maxHeld {
		r.held = r.held[1:]
	}
	return true
}

// whole returns the config that a change of the one in force leads to.
func (r *Roster) whole(c Reconfigured) Configured {
	routes := maps.Clone(r.config.Routes)
	if routes == nil {
		routes = map[ident.Route]note.Route{}
	}
	maps.Copy(routes, c.Routes)
	for _, name := range c.Dropped {
		delete(routes, name)
	}
	c.Routes = routes
	return Configured{Config: c.Config, Revision: c.Revision}
}

func (r *Roster) register(c Registered) bool {
	e, ok := r.entries[c.Target.Name]
	if !ok {
		if removed, ok := r.removals[c.Target.Name]; ok && c.Revision <= removed {
			return false
		}
		delete(r.removals, c.Target.Name)
		r.entries[c.Target.Name] = &entry{Registered: c}
		return true
	}
	if c.Revision < e.Revision || c.Revision == e.Revision && e.lapses.IsZero() {
		return false
	}
	if c.Target.StartedAt.Equal(e.Target.StartedAt) {
		// A report that was delayed on its way may be written after a later one of the same run.
		if c.Sequence < e.Sequence {
			c.Target, c.Sequence = e.Target, e.Sequence
		}
		// A run that drains never takes calls again.
		c.Target.Draining = c.Target.Draining || e.Target.Draining
	}
	changed := c.Target != e.Target || e.unusable || !e.lapses.IsZero()
	e.Registered, e.unusable, e.lapses = c, false, time.Time{}
	return changed
}

func (r *Roster) disable(c Unusable) bool {
	e, ok := r.entries[c.Name]
	if !ok || c.Revision <= e.Revision || e.unusable {
		return false
	}
	e.Revision, e.unusable = c.Revision, true
	return true
}

func (r *Roster) remove(c Removed, interrupted bool, now time.Time) bool {
	e, ok := r.entries[c.Name]
	if !ok {
		r.removed(c)
		return false
	}
	if c.Revision < e.Revision {
		return false
	}
	if interrupted && !e.Target.Draining && !e.unusable {
		e.Revision = c.Revision
		if e.lapses.IsZero() {
			e.lapses = now.Add(LapseGrace)
		}
		return false
	}
	delete(r.entries, c.Name)
	r.removed(c)
	return true
}

func (r *Roster) removed(c Removed) {
	if len(r.removals) >= maxRemovals {
		for name, at := range r.removals {
			delete(r.removals, name)
			r.base = max(r.base, at)
			break
		}
	}
	r.removals[c.Name] = max(r.removals[c.Name], c.Revision)
}

// Advance drops the entries that have lapsed, and reports whether there were any.
func (r *Roster) Advance(now time.Time) bool {
	changed := false
	for name, e := range r.entries {
		if !e.lapses.IsZero() && !e.lapses.After(now) {
			delete(r.entries, name)
			r.removed(Removed{Name: name, Revision: e.Revision})
			changed = true
		}
	}
	return changed
}

// Next returns when Advance has to be called next, if any entry has lapsed.
func (r *Roster) Next() (time.Time, bool) {
	var next time.Time
	for _, e := range r.entries {
		if !e.lapses.IsZero() && (next.IsZero() || e.lapses.Before(next)) {
			next = e.lapses
		}
	}
	return next, !next.IsZero()
}

// Release returns the release that is in force. Of the entries with one address only the newest names a
// target, since an address is given to another target when the first has ended.
func (r *Roster) Release() *note.Release {
	release := note.NewRelease()
	release.Head = ident.Head{Serial: ident.Serial(r.revision)}
	release.Version, release.Limits = r.config.Version, r.config.Limits
	if r.config.Routes != nil {
		release.Routes, release.Services = r.config.Routes, r.config.Services
	}
	if r.release != nil {
		release.ShareRoutes(r.release)
	}
	r.release = release
	at := map[netip.AddrPort]*entry{}
	for _, e := range r.entries {
		if e.unusable {
			continue
		}
		if other, ok := at[e.Target.Address]; !ok || e.newer(other) {
			at[e.Target.Address] = e
		}
	}
	for _, e := range at {
		t := e.Target
		t.HealthPath = release.Services[t.Service].HealthPath
		release.Targets[t.Name] = t
	}
	return release
}

func (e *entry) newer(other *entry) bool {
	if !e.Target.StartedAt.Equal(other.Target.StartedAt) {
		return e.Target.StartedAt.After(other.Target.StartedAt)
	}
	return e.Revision > other.Revision
}
